// Package cccount counts the bytes of connections, so that the cost of control can be told.
package cccount

import (
	"context"
	"net"
	"time"
)

// Dialer returns a dial function whose connections tell onBytes of each read and write. It fits
// http.Transport; onBytes is called from many goroutines and must not block.
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

// countingConn counts the bytes of a connection.
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
