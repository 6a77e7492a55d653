package ccharness

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// crowdHangTimeout ends a client of a crowd that neither gets on nor is disconnected. It bounds a test, not the product.
	crowdHangTimeout = 60 * time.Second
	// crowdStay is the time for which a crowd stays connected when it has sent all, so that its effect is seen.
	crowdStay = time.Second
)

// Crowd is a set of clients that connect to one address at the same time and keep their connections open.
type Crowd struct {
	Address string
	Size    int
	// Send sends what client n sends.
	Send func(c net.Conn, n int)
}

// Connect connects the clients and returns crowdStay after all have sent what they send, or were disconnected. leave
// closes the connections.
func (crowd Crowd) Connect() (leave func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var wg sync.WaitGroup
	for n := range crowd.Size {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.DialTimeout("tcp", crowd.Address, crowdHangTimeout)
			if err != nil {
				return // The process may refuse the connection.
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			if c.SetWriteDeadline(time.Now().Add(crowdHangTimeout)) == nil {
				crowd.Send(c, n)
			}
		}()
	}
	wg.Wait()
	time.Sleep(crowdStay)
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// SendAll writes data and reports whether the connection has taken all of it.
func SendAll(c net.Conn, data string) bool {
	_, err := io.WriteString(c, data)
	return err == nil
}

// ContentLength returns the header line.
func ContentLength(n int) string {
	return fmt.Sprintf("Content-Length: %d", n)
}

// Chunked encodes data in chunks of the given size, without the last chunk that ends the body.
func Chunked(data string, size int) string {
	var b bytes.Buffer
	for len(data) > 0 {
		n := min(size, len(data))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	return b.String()
}
