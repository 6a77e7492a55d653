package ccserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccintake"
	"coriandercross/io/cclog"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// hangTimeout ends a test that hangs.
const hangTimeout = 30 * time.Second

// testServer is a server whose handler answers 200 with the length of the body, 429 if there is no room for it, and 404,
// without reading it, below /none. Requests below /hold are answered once hold is closed.
type testServer struct {
	t       *testing.T
	address string
	hold    chan struct{}
	intake  *Intake
	// got receives the length of each body that was read.
	got chan int
}

// startServer starts a server of callers with the given limits.
func startServer(t *testing.T, limits ccintake.Limits) *testServer {
	t.Helper()
	clock := ccclock.NewSystem()
	in := NewIntake(Config{Limits: limits, Clock: clock, Log: log.New(io.Discard), Sampler: cclog.NewSampler(clock), Metrics: NewMetrics(prometheus.NewRegistry())})
	l, err := in.Listen(Callers, "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testServer{t: t, address: l.Addr().String(), hold: make(chan struct{}), intake: in, got: make(chan int, 1000)}
	server := in.NewServer(ServerConfig{Kind: Callers, Handler: http.HandlerFunc(s.serve)})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/none") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	data, err := io.ReadAll(r.Body)
	switch {
	case errors.Is(err, ccintake.ErrNoRoom):
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.got <- len(data)
	if strings.HasPrefix(r.URL.Path, "/hold") {
		<-s.hold
	}
	_, _ = fmt.Fprint(w, len(data))
}

// client is a connection to the server.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

// connect opens a connection.
func (s *testServer) connect() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(hangTimeout)))
	s.t.Cleanup(func() { _ = c.Close() })
	return &client{s.t, c, bufio.NewReader(c)}
}

// post sends the head of a request with a body of n bytes, and the first sent bytes of it.
func (c *client) post(path string, n, sent int) {
	c.t.Helper()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, n, strings.Repeat("x", sent))
	assert.NilError(c.t, err)
}

// status reads a response and returns its status, 0 if the connection was closed, and whether it stays open.
func (c *client) status() (status int, open bool) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(c.t, err)
	return resp.StatusCode, !resp.Close
}

// awaitHeld waits until bodies hold n bytes.
func (s *testServer) awaitHeld(n int64) {
	s.t.Helper()
	for end := time.Now().Add(hangTimeout); ; time.Sleep(time.Millisecond) {
		s.intake.mu.Lock()
		held := s.intake.account.Held()
		s.intake.mu.Unlock()
		if held == n {
			return
		}
		assert.Assert(s.t, time.Now().Before(end), "bodies hold %d bytes instead of %d", held, n)
	}
}

// block is what one reservation holds.
const block = reserveBytes * defaultBodyFactor

// wide are limits that a test does not meet.
var wide = ccintake.Limits{CallerConns: 100, OperatorConns: 8, ReadinessConns: 8, PeerConns: 8, BodyBytes: 1 << 30}

// TestConnectionAfterResponse checks what becomes of a connection: a body that was not read is read and dropped if it has
// arrived, and otherwise the response comes at once and closes the connection.
func TestConnectionAfterResponse(t *testing.T) {
	tests := map[string]struct {
		path    string
		n, sent int
		status  int
		open    bool
	}{
		"Whole":                 {"/", 100, 100, http.StatusOK, true},
		"WholeAndLarge":         {"/", 1 << 20, 1 << 20, http.StatusOK, true},
		"Empty":                 {"/", 0, 0, http.StatusOK, true},
		"LeftUnread":            {"/none", 100, 100, http.StatusNotFound, true},
		"LeftUnreadAndLarge":    {"/none", 1 << 20, 1000, http.StatusNotFound, false},
		"LeftUnreadAndNotWhole": {"/none", 100, 50, http.StatusNotFound, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := startServer(t, wide).connect()
			c.post(test.path, test.n, test.sent)
			status, open := c.status()
			assert.Equal(t, status, test.status)
			assert.Equal(t, open, test.open)
			if !test.open {
				return
			}
			c.post("/", 10, 10)
			status, _ = c.status()
			assert.Equal(t, status, http.StatusOK)
		})
	}
}

// TestChunkedBodies checks that chunked bodies are read and leave the connection open.
func TestChunkedBodies(t *testing.T) {
	for name, size := range map[string]int{"Small": 1, "Large": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			c := startServer(t, wide).connect()
			chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat(chunk, 4)+"0\r\n\r\n")
			assert.NilError(t, err)
			status, open := c.status()
			assert.Assert(t, status == http.StatusOK && open)
		})
	}
}

// TestOldestIncompleteBodyMakesRoom checks that the body that was begun first is given up for a new one, and that a whole
// body is not.
func TestOldestIncompleteBodyMakesRoom(t *testing.T) {
	limits := wide
	limits.BodyBytes = 4 * block
	s := startServer(t, limits)
	defer close(s.hold)
	held := s.connect()
	held.post("/hold", 10, 10)
	<-s.got
	first, second := s.connect(), s.connect()
	first.post("/", 100, 50)
	s.awaitHeld(2 * block)
	second.post("/", 100, 50)
	s.awaitHeld(3 * block)
	third := s.connect()
	third.post("/", 100, 100)
	status, _ := third.status()
	assert.Equal(t, status, http.StatusOK)
	status, _ = first.status()
	assert.Equal(t, status, 0, "the oldest body was not given up")
	_, err := second.Write([]byte(strings.Repeat("x", 50)))
	assert.NilError(t, err)
	status, _ = second.status()
	assert.Equal(t, status, http.StatusOK)
}

// TestBodyIsRefusedBesideWholeOnes checks that a body is refused at once if whole ones hold all the memory, and accepted
// when they are done.
func TestBodyIsRefusedBesideWholeOnes(t *testing.T) {
	limits := wide
	limits.BodyBytes = block
	s := startServer(t, limits)
	held := s.connect()
	held.post("/hold", 10, 10)
	<-s.got
	c := s.connect()
	c.post("/", 1<<20, 1000)
	status, open := c.status()
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.Assert(t, !open)
	close(s.hold)
	status, _ = held.status()
	assert.Equal(t, status, http.StatusOK)
	s.awaitHeld(0)
	c = s.connect()
	c.post("/", 1<<20, 1<<20)
	status, _ = c.status()
	assert.Equal(t, status, http.StatusOK)
}

// TestConnectionLimit checks that a silent connection makes room for a new one, that connections which are served do not,
// and that lower limits hold from the next connection on.
func TestConnectionLimit(t *testing.T) {
	limits := wide
	limits.CallerConns = 2
	s := startServer(t, limits)
	silent := s.connect()
	served := s.connect()
	served.post("/hold", 10, 10)
	<-s.got
	c := s.connect()
	c.post("/", 10, 10)
	status, open := c.status()
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, !open, "the listener is full, so the connection has to make room")
	status, _ = silent.status()
	assert.Equal(t, status, 0)
	limits.CallerConns = 1
	s.intake.SetLimits(limits)
	status, _ = s.connect().status()
	assert.Equal(t, status, 0, "the only connection is served, so that another one has to be refused")
	close(s.hold)
	status, _ = served.status()
	assert.Equal(t, status, http.StatusOK)
}

// TestBodyTimeout checks that a body that is not complete in the caller's time is given up with a response.
func TestBodyTimeout(t *testing.T) {
	s := startServer(t, wide)
	in := s.intake
	l, err := in.Listen(Callers, "127.0.0.1:0")
	assert.NilError(t, err)
	failed := make(chan error, 1)
	server := in.NewServer(ServerConfig{Kind: Callers, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		SetBodyTimeout(r, time.Millisecond)
		_, err := io.ReadAll(r.Body)
		failed <- err
		s.serve(w, r)
	})})
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	s.address = l.Addr().String()
	c := s.connect()
	c.post("/", 100, 50)
	err = <-failed
	assert.Assert(t, errors.Is(err, ccintake.ErrBodyLate), "%v", err)
	status, open := c.status()
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, !open)
}

// TestLargeResponseToSlowClient checks that a response that takes longer than writeTimeout arrives whole as long as its client
// takes some of it: each part has its own deadline.
func TestLargeResponseToSlowClient(t *testing.T) {
	s := startServer(t, wide)
	server, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := s.intake.admit(Callers, &pipeConn{Conn: server})
	data := []byte(strings.Repeat("x", 4*writePartBytes))
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(data)
		done <- err
	}()
	got, err := io.ReadAll(io.LimitReader(far, int64(len(data))))
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(data))
	assert.NilError(t, <-done)
	assert.Equal(t, c.Conn.(*pipeConn).deadlines, len(data)/writePartBytes, "one deadline for each part")
}

// pipeConn counts the write deadlines that are set.
type pipeConn struct {
	net.Conn
	deadlines int
}

func (c *pipeConn) SetWriteDeadline(t time.Time) error {
	c.deadlines++
	return c.Conn.SetWriteDeadline(t)
}
