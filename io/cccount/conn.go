// Package cccount counts the bytes that connections carry, for the metrics of control traffic.
package cccount

import (
	"context"
	"net"
	"time"
)

// Dialer returns a function for http.Transport.DialContext. Its connections call onBytes with the number of bytes of
// each read and write. The function onBytes is called from many goroutines and must not block; if it is nil, nothing is
// counted.
func Dialer(timeout time.Duration, onBytes func(n int)) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil || onBytes == nil {
			return c, err
		}
		return &countingConn{Conn: c, onBytes: onBytes}, nil
	}
}

// countingConn is a net.Conn that reports the bytes it reads and writes.
type countingConn struct {
	net.Conn
	onBytes func(n int)
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.onBytes(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.onBytes(n)
	return n, err
}
