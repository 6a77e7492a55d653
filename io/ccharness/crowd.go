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
	// Again makes each client connect again whenever it is disconnected.
	Again bool
}

// crowd is a Crowd that has connected.
type crowd struct {
	Crowd
	mu sync.Mutex
	// conns are the connections of the clients, nil once they have left.
	conns map[net.Conn]bool
}

// Connect connects the clients and returns crowdStay after all have sent what they send, or were disconnected; with Again,
// crowdStay after they have begun. leave closes the connections.
func (cfg Crowd) Connect() (leave func()) {
	c := &crowd{Crowd: cfg, conns: map[net.Conn]bool{}}
	var wg sync.WaitGroup
	for n := range cfg.Size {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for c.visit(n) && cfg.Again {
			}
		}()
	}
	if !cfg.Again {
		wg.Wait()
	}
	time.Sleep(crowdStay)
	return func() {
		c.mu.Lock()
		conns := c.conns
		c.conns = nil
		c.mu.Unlock()
		for nc := range conns {
			_ = nc.Close()
		}
		wg.Wait()
	}
}

// visit connects client n and sends what it sends. With Again, it returns when the client is disconnected. It reports false
// once the crowd has left.
func (c *crowd) visit(n int) bool {
	nc, err := net.DialTimeout("tcp", c.Address, crowdHangTimeout)
	c.mu.Lock()
	left := c.conns == nil
	if !left && err == nil {
		c.conns[nc] = true
	}
	c.mu.Unlock()
	if err != nil {
		return !left // The process may refuse the connection.
	}
	if left {
		_ = nc.Close()
		return false
	}
	if nc.SetDeadline(time.Now().Add(crowdHangTimeout)) == nil {
		c.Send(nc, n)
	}
	if c.Again {
		_, _ = io.Copy(io.Discard, nc) // Until the process closes the connection, or the crowd leaves.
		c.mu.Lock()
		delete(c.conns, nc)
		c.mu.Unlock()
		_ = nc.Close()
	}
	return true
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
