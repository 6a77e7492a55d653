package ccserver

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"coriandercross/core/ccintake"

	"github.com/cockroachdb/errors"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// bodyTimeout is the time in which the body of a request has to be complete unless SetBodyTimeout says less.
	bodyTimeout = 30 * time.Second
	// defaultBodyFactor is ServerConfig.BodyFactor of requests and jobs: a byte is held as it was read, decoded, encoded for
	// the store, and on its way to the leader.
	defaultBodyFactor = 4
	// reserveBytes is the part of a body for which room is taken at a time. Ordinary bodies are smaller.
	reserveBytes = 4 << 10
	// drainBytes and drainTimeout bound what is read of a body that its handler has left unread, so that the connection can
	// be used again.
	drainBytes   = 16 << 10
	drainTimeout = 50 * time.Millisecond
	// lingerTimeout is the time for which a connection is read on after a response to an incomplete request, so that the
	// client gets the response before the connection is reset.
	lingerTimeout = 500 * time.Millisecond
)

// ServerConfig configures a server.
type ServerConfig struct {
	Kind    Kind
	Handler http.Handler
	// BodyFactor is what a byte of a body occupies in all forms in which it is held at a time, in bytes; 0 for
	// defaultBodyFactor.
	BodyFactor int64
}

// NewServer returns an HTTP server for a listener of the intake.
func (in *Intake) NewServer(cfg ServerConfig) *http.Server {
	return &http.Server{
		Handler:           &handler{cfg: cfg, intake: in},
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			c, ok := nc.(*conn)
			if !ok {
				return ctx
			}
			ctx, cancel := context.WithCancel(context.WithValue(ctx, connKey{}, c))
			c.mu.Lock()
			c.cancel = cancel
			c.mu.Unlock()
			return ctx
		},
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// handler accounts for the requests of a server.
type handler struct {
	cfg    ServerConfig
	intake *Intake
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.cfg.Handler.ServeHTTP(w, r) // The listener is not one of the intake.
		return
	}
	whole := r.ContentLength == 0
	if h.intake.begin(c, whole) {
		w.Header().Set("Connection", "close")
	}
	if whole {
		h.cfg.Handler.ServeHTTP(w, r)
		return
	}
	defer h.intake.release(c)
	control := http.NewResponseController(w)
	body := &body{ReadCloser: r.Body, conn: c, control: control, factor: cmp.Or(h.cfg.BodyFactor, defaultBodyFactor)}
	body.setDeadline(bodyTimeout)
	rw := &replyWriter{ResponseWriter: w, body: body}
	if r.Header.Get("Expect") == "" {
		rw.drainBytes = drainBytes
	}
	// net/http looks at the body of its own request.
	accounted := r.WithContext(r.Context())
	accounted.Body = body
	h.cfg.Handler.ServeHTTP(rw, accounted)
	rw.begin()
}

// body is a request body whose memory is accounted for.
type body struct {
	io.ReadCloser
	conn    *conn
	control *http.ResponseController
	// factor is ServerConfig.BodyFactor.
	factor int64
	// read and reserved are in bytes of the body.
	read, reserved int64
	complete       bool
	// err is the error of an earlier Read.
	err error
}

// setDeadline bounds the time in which the rest of the body has to arrive.
func (b *body) setDeadline(d time.Duration) {
	// The connection is gone if this fails, which the next read reports.
	_ = b.control.SetReadDeadline(time.Now().Add(d))
}

// Read implements io.Reader. It fails with ccintake.ErrNoRoom or ccintake.ErrBodyLate, and then again.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.read == b.reserved {
		if b.err = b.conn.intake.reserve(b.conn, reserveBytes*b.factor); b.err != nil {
			b.conn.intake.report(b.conn.kind, bodyRefused)
			return 0, b.err
		}
		b.reserved += reserveBytes
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.reserved-b.read)])
	b.read += int64(n)
	b.end(err)
	return n, b.err
}

// end handles the end of the body, or an error of a read.
func (b *body) end(err error) {
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
		b.conn.intake.serve(b.conn)
		// The connection is gone if this fails. net/http finds that out.
		_ = b.control.SetReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.intake.report(b.conn.kind, bodyLate)
		err = errors.Mark(err, ccintake.ErrBodyLate)
	}
	b.err = err
}

// drain reads up to limit bytes of the body without keeping them.
func (b *body) drain(limit int64) {
	if b.err != nil || limit == 0 {
		return
	}
	b.setDeadline(drainTimeout)
	// An error means that the body is not complete, so that the connection is closed.
	_, _ = io.CopyN(io.Discard, b.ReadCloser, limit)
	if n, err := b.ReadCloser.Read(make([]byte, 1)); n == 0 && errors.Is(err, io.EOF) {
		b.end(err)
	}
}

// replyWriter makes a response to a request whose body is not complete close the connection: net/http would read the rest
// of the body before it sends the response.
type replyWriter struct {
	http.ResponseWriter
	body *body
	// drainBytes is how much is read of a body that the handler has left unread.
	drainBytes int64
	begun      bool
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *replyWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w *replyWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *replyWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// begin prepares the connection for the response.
func (w *replyWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if !w.body.complete {
		w.body.drain(w.drainBytes)
	}
	if !w.body.complete {
		w.Header().Set("Connection", "close")
		w.body.setDeadline(lingerTimeout)
	}
}

// SetBodyTimeout bounds the time in which the rest of a request's body has to arrive. It has no effect on a body that is
// complete.
func SetBodyTimeout(r *http.Request, d time.Duration) {
	if b, ok := r.Body.(*body); ok && !b.complete {
		b.setDeadline(min(d, bodyTimeout))
	}
}
