package ccpeer

import (
	"context"
	"net"
	"time"

	"coriandercross/io/cccount"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Errors of calls to peers.
var (
	// ErrUnreachable reports a call that was certainly not delivered.
	ErrUnreachable = errors.New("peer can't be reached")
	// ErrInDoubt reports a call that failed but may have been carried out, or may still be.
	ErrInDoubt = errors.New("reply of the peer was lost")
	// ErrNoMethod reports a call of a method that this release does not have.
	ErrNoMethod = errors.New("method is unknown")
)

// RPC method names of Handler. Poke differs from the Go name: a release that changed it could not communicate with
// processes of earlier releases.
const (
	methodGossip              = "/coriandercross/Gossip"
	methodRun                 = "/coriandercross/Run"
	methodPlace               = "/coriandercross/Place"
	methodReport              = "/coriandercross/Report"
	methodConfig              = "/coriandercross/Config"
	methodNotifyBucketChanged = "/coriandercross/Poke"
)

// maxMessageBytes is the largest size of a message.
const maxMessageBytes = 16 << 20

// encoding implements drpc.Encoding with CBOR.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(msg drpc.Message) ([]byte, error) {
	return cbor.Marshal(msg)
}

// Unmarshal implements drpc.Encoding. It fails if the message is not valid.
func (encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	if err := cbor.Unmarshal(buf, msg); err != nil {
		return errors.Wrap(err, "decoding a message")
	}
	if m, ok := msg.(Message); ok {
		return m.Check()
	}
	return nil
}

// Handler handles the calls between the owners of shards. Its methods are called from many goroutines.
type Handler interface {
	Gossip(ctx context.Context, in *Gossip) (*Gossip, error)
	Run(ctx context.Context, in *RunRequest) (*RunReply, error)
	Place(ctx context.Context, in *PlaceRequest) (*PlaceReply, error)
	Report(ctx context.Context, in *ReportRequest) (*ReportReply, error)
	Config(ctx context.Context, in *ConfigRequest) (*ConfigReply, error)
	NotifyBucketChanged(ctx context.Context, in *BucketChanged) (*BucketChanged, error)
}

// Serve serves the calls that arrive on a listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	mux := handlers{
		methodGossip:              unary(h.Gossip),
		methodRun:                 unary(h.Run),
		methodPlace:               unary(h.Place),
		methodReport:              unary(h.Report),
		methodConfig:              unary(h.Config),
		methodNotifyBucketChanged: unary(h.NotifyBucketChanged),
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return errors.Wrap(server.Serve(ctx, l), "serving peers")
}

// managerOptions returns the options that limit the size of messages.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// handlers implements drpc.Handler. It maps RPC method names to handlers.
type handlers map[string]func(drpc.Stream) error

// HandleRPC implements drpc.Handler.
func (h handlers) HandleRPC(stream drpc.Stream, rpc string) error {
	f, ok := h[rpc]
	if !ok {
		return errors.Wrap(ErrNoMethod, rpc)
	}
	return f(stream)
}

// unary returns a stream handler that receives one request, calls f, and sends its reply.
func unary[In, Out any](f func(context.Context, *In) (*Out, error)) func(drpc.Stream) error {
	return func(stream drpc.Stream) error {
		in := new(In)
		if err := stream.MsgRecv(in, encoding{}); err != nil {
			return err
		}
		out, err := f(stream.Context(), in)
		if err != nil {
			return err
		}
		return stream.MsgSend(out, encoding{})
	}
}

// ClientConfig sets up a Client.
type ClientConfig struct {
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// ControlTimeout is the timeout of control calls. Calls that carry work (Run, Place) are bounded by their context
	// only.
	ControlTimeout time.Duration
	// Connections is the largest number of idle connections to one peer, in each of the two pools.
	Connections int
	// OnBytes, unless nil, is called with the number of bytes of control calls and of documents, sent and received.
	OnBytes func(n int)
}

// Client calls peers. A drpc connection carries one call at a time, so calls take connections from a pool. Control
// calls have a pool of their own. Methods may be called from any goroutine. They fail with ErrUnreachable if the call
// was certainly not delivered, and with ErrInDoubt if it may have been carried out.
type Client struct {
	cfg     ClientConfig
	traffic *drpcpool.Pool[string, drpcpool.Conn]
	control *drpcpool.Pool[string, drpcpool.Conn]
}

// idleTimeout is the idle time after which a connection is closed.
const idleTimeout = 2 * time.Minute

// NewClient returns a client without connections; they are opened by the calls.
func NewClient(cfg ClientConfig) *Client {
	opts := drpcpool.Options{Expiration: idleTimeout, KeyCapacity: cfg.Connections}
	return &Client{
		cfg:     cfg,
		traffic: drpcpool.New[string, drpcpool.Conn](opts),
		control: drpcpool.New[string, drpcpool.Conn](opts),
	}
}

// Close closes all connections.
func (c *Client) Close() {
	_ = c.traffic.Close()
	_ = c.control.Close()
}

// Gossip sends a gossip message to a peer and returns the peer's.
func (c *Client) Gossip(ctx context.Context, address string, in *Gossip) (*Gossip, error) {
	return call[Gossip, Gossip](ctx, c, c.control, address, methodGossip, in)
}

// Run asks the owner of a shard to run a request, and blocks until it has its result.
func (c *Client) Run(ctx context.Context, address string, in *RunRequest) (*RunReply, error) {
	return call[RunRequest, RunReply](ctx, c, c.traffic, address, methodRun, in)
}

// Place asks the owner of a shard to start tasks, or to reserve capacity for them.
func (c *Client) Place(ctx context.Context, address string, in *PlaceRequest) (*PlaceReply, error) {
	return call[PlaceRequest, PlaceReply](ctx, c, c.traffic, address, methodPlace, in)
}

// Report asks an owner for its ready shards and its tasks of one bucket of jobs.
func (c *Client) Report(ctx context.Context, address string, in *ReportRequest) (*ReportReply, error) {
	return call[ReportRequest, ReportReply](ctx, c, c.control, address, methodReport, in)
}

// Config asks a peer for the configuration in force.
func (c *Client) Config(ctx context.Context, address string, in *ConfigRequest) (*ConfigReply, error) {
	return call[ConfigRequest, ConfigReply](ctx, c, c.control, address, methodConfig, in)
}

// NotifyBucketChanged notifies the owner of a bucket of jobs that the bucket's record in the store has changed.
func (c *Client) NotifyBucketChanged(ctx context.Context, address string, in *BucketChanged) error {
	_, err := call[BucketChanged, BucketChanged](ctx, c, c.control, address, methodNotifyBucketChanged, in)
	return err
}

// call makes one call on a connection of a pool.
func call[In, Out any](ctx context.Context, c *Client, pool *drpcpool.Pool[string, drpcpool.Conn], address, method string, in *In) (*Out, error) {
	control := pool == c.control
	if control {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.cfg.ControlTimeout)
		defer cancel()
	}
	dialed := true
	conn := pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		conn, err := c.dial(ctx, address, control)
		dialed = err == nil
		return conn, err
	})
	defer func() { _ = conn.Close() }()
	out := new(Out)
	if err := conn.Invoke(ctx, method, encoding{}, in, out); err != nil {
		if !dialed {
			return nil, errors.Mark(err, ErrUnreachable)
		}
		return nil, errors.Mark(errors.Wrapf(err, "calling %s", method), ErrInDoubt)
	}
	return out, nil
}

// progressConn is a connection that fails if a read receives no byte within stall.
type progressConn struct {
	net.Conn
	stall time.Duration
}

// Read implements net.Conn.
func (c *progressConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.stall)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// dialDocument opens a connection to a peer for one call with a large reply.
func (c *Client) dialDocument(ctx context.Context, address string) (*drpcconn.Conn, error) {
	conn, err := cccount.Dialer(c.cfg.DialTimeout, c.cfg.OnBytes)(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dialing a peer")
	}
	return drpcconn.NewWithOptions(&progressConn{Conn: conn, stall: c.cfg.ControlTimeout}, drpcconn.Options{Manager: managerOptions()}), nil
}

// dial opens a connection to a peer.
func (c *Client) dial(ctx context.Context, address string, control bool) (drpcpool.Conn, error) {
	onBytes := c.cfg.OnBytes
	if !control {
		onBytes = nil
	}
	conn, err := cccount.Dialer(c.cfg.DialTimeout, onBytes)(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dialing a peer")
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}
