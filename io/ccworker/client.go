package ccworker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccwork"
	"coriandercross/io/cccount"

	"github.com/cockroachdb/errors"
)

// Config configures a Client.
type Config struct {
	Clock ccclock.Clock
	// Connections is the largest number of connections to one worker.
	Connections int
	// StartTimeout bounds a call that starts tasks. SyncTimeout bounds a sync, in addition to the time for which the
	// worker may delay its reply.
	StartTimeout time.Duration
	SyncTimeout  time.Duration
	// MaxAnswer bounds the answer to a request, in bytes.
	MaxAnswer int64
	// OnControlBytes is called after each read and write on the connections of syncs, with the number of bytes. It may
	// be nil.
	OnControlBytes func(n int)
}

// Client calls workers. Its methods may be called from any goroutine, and block until the reply, the timeout, or the
// end of ctx.
type Client struct {
	cfg Config
	// traffic carries requests, their answers, and the starts of tasks. control carries syncs on connections of its
	// own, so that a large body does not delay the renewal of leases.
	traffic *http.Client
	control *http.Client
	// mu protects tables, the task table read last from each worker, by worker ID.
	mu     sync.Mutex
	tables map[string]table
}

// table is the task table read last from one worker.
type table struct {
	boot    string
	version uint64
	rows    []ccledger.Row
}

// controlConnections is the number of connections to each worker that are set aside for syncs.
const controlConnections = 2

// NewClient returns a client. It opens no connection.
func NewClient(cfg Config) *Client {
	return &Client{
		cfg:     cfg,
		traffic: &http.Client{Transport: newTransport(cfg.Connections-controlConnections, cfg.StartTimeout, nil)},
		control: &http.Client{Transport: newTransport(controlConnections, cfg.SyncTimeout, cfg.OnControlBytes)},
		tables:  map[string]table{},
	}
}

// UsableConnections returns how many of a worker's connections are left for tasks.
func UsableConnections(total int64) int64 {
	return max(total-controlConnections, 0)
}

// newTransport returns a transport with at most n connections to one worker.
func newTransport(n int, dialTimeout time.Duration, onBytes func(n int)) *http.Transport {
	return &http.Transport{
		DialContext:         cccount.Dialer(dialTimeout, onBytes),
		MaxConnsPerHost:     n,
		MaxIdleConnsPerHost: n,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// Permit allows this process to start work on one worker, and to renew the leases of the worker's tasks, until a point
// in time.
type Permit struct {
	Worker  string
	Address string
	Epoch   uint64
	// Until is when the permit ends, on the clock of this process.
	Until ccclock.Millis
	// LeaseMs is how long the work keeps running when its lease is not renewed.
	LeaseMs int64
}

// notAfterUnixMs returns the end of the permit on the wall clock, in Unix milliseconds.
func (p *Permit) notAfterUnixMs(clock ccclock.Clock) int64 {
	remaining := p.Until - clock.Now()
	return time.Now().Add(remaining.Duration()).UnixMilli()
}

// Request is a request to be run on a worker.
type Request struct {
	Task string
	Team string
	Kind string
	Size ccwork.Size
	Body []byte
}

// Run executes a request on a worker and returns its outcome. It sends nothing once the permit has ended. It calls
// onStarted when the worker has confirmed the start, before it reads the answer.
func (c *Client) Run(ctx context.Context, p Permit, in Request, onStarted func()) ccwork.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	b := &fencedBody{clock: c.cfg.Clock, until: p.Until, body: bytes.NewReader(in.Body)}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			// The permit may have ended while the request waited for a connection.
			if b.expired() {
				cancel(ccwork.ErrFenced)
			}
		},
		WroteHeaders: func() { b.headersSent.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+p.Address+RunPath, b)
	if err != nil {
		return ccwork.NotRunResult(err)
	}
	req.ContentLength = int64(len(in.Body))
	if len(in.Body) == 0 {
		req.Body = http.NoBody
	}
	c.setHeaders(req, &p, &in)
	if b.expired() {
		return ccwork.NotRunResult(ccwork.ErrFenced)
	}
	resp, err := c.traffic.Do(req)
	if err != nil {
		return c.failedRun(b, err, p.Worker)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readAnswer(resp, p.Worker, onStarted)
}

// setHeaders adds the headers that describe the request to the worker.
func (c *Client) setHeaders(req *http.Request, p *Permit, in *Request) {
	size, _ := json.Marshal(in.Size)
	req.Header.Set(TaskHeader, in.Task)
	req.Header.Set(TeamHeader, in.Team)
	req.Header.Set(KindHeader, in.Kind)
	req.Header.Set(SizeHeader, string(size))
	req.Header.Set(EpochHeader, strconv.FormatUint(p.Epoch, 10))
	req.Header.Set(LeaseHeader, strconv.FormatInt(p.LeaseMs, 10))
	req.Header.Set(NotAfterHeader, strconv.FormatInt(p.notAfterUnixMs(c.cfg.Clock), 10))
}

// failedRun returns the outcome of a request to which there was no reply.
func (c *Client) failedRun(b *fencedBody, err error, worker string) ccwork.Result {
	r := ccwork.UnknownResult(ccwork.ErrTruncated)
	switch {
	case b.blocked.Load() && !b.headersSent.Load():
		r = ccwork.NotRunResult(ccwork.ErrFenced)
	case errors.Is(err, syscall.ECONNREFUSED):
		r = ccwork.NotRunResult(ccwork.ErrRefused)
	}
	r.Worker = worker
	return r
}

// readAnswer reads the reply of a worker to a request.
func (c *Client) readAnswer(resp *http.Response, worker string, onStarted func()) ccwork.Result {
	r := ccwork.Result{Outcome: ccwork.Unknown, Worker: worker}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.Outcome = ccwork.NotRun
		r.Reason = ccwork.ReasonOf(ccwork.ErrRefused)
		return r
	default:
		r.Reason = ccwork.ReasonOf(ErrBadReply)
		return r
	}
	onStarted()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxAnswer+1))
	outcome := resp.Trailer.Get(OutcomeTrailer)
	if err != nil || int64(len(body)) > c.cfg.MaxAnswer || outcome == "" {
		r.Reason = ccwork.ReasonOf(ccwork.ErrTruncated)
		return r
	}
	if ccwork.TaskState(outcome) == ccwork.Stopped {
		r.Reason = ccwork.ReasonOf(ccwork.ErrCancelled)
		return r
	}
	r.Outcome = ccwork.Ran
	r.Failed = ccwork.TaskState(outcome) == ccwork.Failed
	r.Answer = body
	return r
}

// fencedBody is a request body whose first read fails if the permit has ended by then. The HTTP transport buffers the
// headers until it has read the first bytes of the body, so nothing of the request is sent when that read fails.
type fencedBody struct {
	clock ccclock.Clock
	until ccclock.Millis
	body  *bytes.Reader
	// started is true once the body has been read from.
	started bool
	// blocked is true once expired has returned true.
	blocked atomic.Bool
	// headersSent is true once the transport has written the headers.
	headersSent atomic.Bool
}

// expired reports whether the permit has ended, and records it in blocked.
func (b *fencedBody) expired() bool {
	if b.clock.Now() < b.until {
		return false
	}
	b.blocked.Store(true)
	return true
}

// Read implements io.Reader. It fails with ccwork.ErrFenced when the permit has ended before the first read.
func (b *fencedBody) Read(p []byte) (int, error) {
	if !b.started && b.expired() {
		return 0, ccwork.ErrFenced
	}
	b.started = true
	return b.body.Read(p)
}

// Start starts tasks on a worker. It returns the tasks that were not started, by ID, with the reason. After
// ccwork.ErrFenced or ccwork.ErrRefused none of the tasks was started; after any other error each of them may have
// been.
func (c *Client) Start(ctx context.Context, p Permit, tasks []TaskSpec) (map[string]string, error) {
	if c.cfg.Clock.Now() >= p.Until {
		return nil, ccwork.ErrFenced
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.StartTimeout)
	defer cancel()
	req := StartRequest{
		Epoch: p.Epoch, LeaseMs: p.LeaseMs,
		NotAfterUnixMs: p.notAfterUnixMs(c.cfg.Clock), Tasks: tasks,
	}
	var reply StartReply
	err := c.call(ctx, c.traffic, p.Address+TasksPath, &req, &reply, p.Until)
	return reply.Refused, err
}

// SyncOrders are the orders that a sync delivers in addition to the renewal of all leases.
type SyncOrders struct {
	// Stop lists tasks to stop, and Forget ended tasks to drop from the task table.
	Stop   []string
	Forget []string
	// WaitMs is how long the worker may delay its reply until its task table changes, in milliseconds.
	WaitMs int64
}

// Sync renews the leases of a worker's tasks, delivers orders, and returns the task table.
func (c *Client) Sync(ctx context.Context, p Permit, o SyncOrders) ([]ccledger.Row, error) {
	if c.cfg.Clock.Now() >= p.Until {
		return nil, ccwork.ErrFenced
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.SyncTimeout+time.Duration(o.WaitMs)*time.Millisecond)
	defer cancel()
	c.mu.Lock()
	last := c.tables[p.Worker]
	c.mu.Unlock()
	req := SyncRequest{
		Epoch: p.Epoch, LeaseMs: p.LeaseMs, Stop: o.Stop, Forget: o.Forget,
		Boot: last.boot, Since: last.version, WaitMs: o.WaitMs,
	}
	var reply SyncReply
	if err := c.call(ctx, c.control, p.Address+SyncPath, &req, &reply, p.Until); err != nil {
		return nil, err
	}
	if err := reply.Check(); err != nil {
		return nil, err
	}
	next := table{boot: reply.Boot, version: reply.Version, rows: last.rows}
	if !reply.Unchanged {
		next.rows = ledgerRows(reply.Rows)
	}
	c.mu.Lock()
	c.tables[p.Worker] = next
	c.mu.Unlock()
	return next.rows, nil
}

// Forget discards the task table read last from a worker.
func (c *Client) Forget(worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.tables, worker)
}

// call posts a JSON request and decodes the reply. It sends nothing at or after the time until, and then fails with
// ccwork.ErrFenced.
func (c *Client) call(ctx context.Context, client *http.Client, address string, in, out any, until ccclock.Millis) error {
	data, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encoding a request to a worker")
	}
	b := &fencedBody{clock: c.cfg.Clock, until: until, body: bytes.NewReader(data)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, b)
	if err != nil {
		return errors.Wrap(err, "building a request to a worker")
	}
	req.ContentLength = int64(len(data))
	req.Header["User-Agent"] = nil
	resp, err := client.Do(req)
	switch {
	case err != nil && b.blocked.Load():
		return ccwork.ErrFenced
	case errors.Is(err, syscall.ECONNREFUSED):
		return errors.Mark(err, ccwork.ErrRefused)
	case err != nil:
		return errors.Wrap(err, "calling a worker")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusConflict || resp.StatusCode == http.StatusServiceUnavailable {
		return errors.Wrapf(ccwork.ErrRefused, "status %d", resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrBadReply, "status %d", resp.StatusCode)
	}
	return errors.Mark(json.NewDecoder(resp.Body).Decode(out), ErrBadReply)
}
