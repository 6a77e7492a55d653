package ccserver

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"coriandercross/core/ccintake"

	"github.com/cockroachdb/errors"
)

const (
	// receiveBufferBytes is the size of the receive buffer of a client's connection. The kernel keeps twice as much for its
	// own use.
	receiveBufferBytes = 16 << 10
	// writeTimeout is the time for which a client may take nothing of a response.
	writeTimeout = 10 * time.Second
	// writePartBytes is the part of a response for which writeTimeout begins anew: a large one takes long on a narrow link.
	writePartBytes = 16 << 10
)

// Listen listens for connections of a kind. Those that it accepts are bounded by the intake. Peers send whole documents
// over long links, so their receive buffers are those of the system.
func (in *Intake) Listen(k Kind, address string) (net.Listener, error) {
	var lc net.ListenConfig
	if k != Peers {
		lc.Control = func(_, _ string, rc syscall.RawConn) error {
			var err error
			controlErr := rc.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
			})
			if err = errors.CombineErrors(err, controlErr); err != nil {
				in.cfg.Log.Warn("receive buffers keep the size of the system", "Listener", k, "Error", err)
			}
			return nil
		}
	}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	if k != Peers {
		if err := setBacklog(l, maxConns(&in.cfg.Limits, k)); err != nil {
			in.cfg.Log.Warn("queue of new connections keeps the size of the system", "Listener", k, "Error", err)
		}
	}
	return &listener{Listener: l, intake: in, kind: k}, nil
}

// setBacklog bounds the connections that wait to be accepted. What they have sent counts as memory of the process.
func setBacklog(l net.Listener, n int) error {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return errors.New("listener has no socket")
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "reaching the socket")
	}
	controlErr := rc.Control(func(fd uintptr) { err = syscall.Listen(int(fd), n) })
	return errors.CombineErrors(err, controlErr)
}

// listener is a listener whose connections are bounded.
type listener struct {
	net.Listener
	intake *Intake
	kind   Kind
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.intake.admit(l.kind, nc); c != nil {
			return c, nil
		}
		_ = nc.Close() // Nothing was read from it.
	}
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	intake *Intake
	kind   Kind
	// account is guarded by intake.mu.
	account *ccintake.Conn
	closing sync.Once
	// mu guards cancel, which ends the requests of the connection.
	mu     sync.Mutex
	cancel context.CancelFunc
}

// Read implements net.Conn. A peer owes a request from its last byte on.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.kind == Peers {
		c.intake.await(c)
	}
	return n, err
}

// Write implements net.Conn. It fails if a client, but for a peer, takes nothing for writeTimeout. A client that is being
// answered owes the next request.
func (c *conn) Write(p []byte) (int, error) {
	c.intake.await(c)
	if c.kind == Peers {
		return c.Conn.Write(p)
	}
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writePartBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// CloseWrite shuts down the writing side, as net/http does before it closes a connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It cancels the requests of the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(func() {
		c.mu.Lock()
		cancel := c.cancel
		c.mu.Unlock()
		if cancel != nil {
			cancel()
		}
		c.intake.forget(c)
	})
	return err
}
