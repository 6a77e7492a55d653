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

// Errors of calls to fellows.
var (
	// ErrUnreachable reports a call that was certainly not delivered.
	ErrUnreachable = errors.New("fellow process can't be reached")
	// ErrInDoubt reports a call that may have been carried out.
	ErrInDoubt = errors.New("reply of the fellow process was lost")
	// ErrNoMethod reports a method that this release does not have.
	ErrNoMethod = errors.New("method is unknown")
)

// Methods.
const (
	methodGossip              = "/coriandercross/Gossip"
	methodRun                 = "/coriandercross/Run"
	methodPlace               = "/coriandercross/Place"
	methodReport              = "/coriandercross/Report"
	methodConfig              = "/coriandercross/Config"
	methodNotifyBucketChanged = "/coriandercross/Poke"
)

// maxMessageBytes bounds a message, in bytes.
const maxMessageBytes = 16 << 20

// encoding implements drpc.Encoding by CBOR.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(msg drpc.Message) ([]byte, error) {
	return cbor.Marshal(msg)
}

// Unmarshal implements drpc.Encoding. It fails when the message's own check does.
func (encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	if err := cbor.Unmarshal(buf, msg); err != nil {
		return errors.Wrap(err, "decoding a message")
	}
	if m, ok := msg.(Message); ok {
		return m.Check()
	}
	return nil
}

// Handler answers the calls of fellows. Its methods are called from many goroutines.
type Handler interface {
	Gossip(ctx context.Context, in *Gossip) (*Gossip, error)
	Run(ctx context.Context, in *RunRequest) (*RunReply, error)
	Place(ctx context.Context, in *PlaceRequest) (*PlaceReply, error)
	Report(ctx context.Context, in *ReportRequest) (*ReportReply, error)
	Config(ctx context.Context, in *ConfigRequest) (*ConfigReply, error)
	NotifyBucketChanged(ctx context.Context, in *BucketChanged) (*BucketChanged, error)
}

// Serve answers calls on a listener until ctx ends.
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
	return errors.Wrap(server.Serve(ctx, l), "serving fellows")
}

// managerOptions bounds the size of messages.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// handlers implements drpc.Handler by method name.
type handlers map[string]func(drpc.Stream) error

// HandleRPC implements drpc.Handler.
func (h handlers) HandleRPC(stream drpc.Stream, rpc string) error {
	f, ok := h[rpc]
	if !ok {
		return errors.Wrap(ErrNoMethod, rpc)
	}
	return f(stream)
}

// unary turns a typed function into a handler of one request and one reply.
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
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// ControlTimeout bounds a call that carries control; calls that carry work end with their context.
	ControlTimeout time.Duration
	// Connections is the number of idle connections kept for traffic to one fellow.
	Connections int
	// OnBytes is told of the bytes of control to and from fellows; it may be nil.
	OnBytes func(n int)
}

// Client calls fellows. A drpc connection carries one call at a time, so that calls take
// connections from a pool; control has a pool of its own. Its methods may be called from any
// goroutine. They fail with ErrUnreachable, or with ErrInDoubt when the call may have been carried out.
type Client struct {
	cfg     ClientConfig
	traffic *drpcpool.Pool[string, drpcpool.Conn]
	control *drpcpool.Pool[string, drpcpool.Conn]
}

// idleTimeout closes connections that carried nothing for so long.
const idleTimeout = 2 * time.Minute

// NewClient returns a client; it opens no connection.
func NewClient(cfg ClientConfig) *Client {
	opts := drpcpool.Options{Expiration: idleTimeout, KeyCapacity: cfg.Connections}
	return &Client{
		cfg:     cfg,
		traffic: drpcpool.New[string, drpcpool.Conn](opts),
		control: drpcpool.New[string, drpcpool.Conn](opts),
	}
}

// Close closes every connection.
func (c *Client) Close() {
	_ = c.traffic.Close()
	_ = c.control.Close()
}

// Gossip sends liveness, load and asks.
func (c *Client) Gossip(ctx context.Context, address string, in *Gossip) (*Gossip, error) {
	return call[Gossip, Gossip](ctx, c, c.control, address, methodGossip, in)
}

// Run asks an owner to run a request.
func (c *Client) Run(ctx context.Context, address string, in *RunRequest) (*RunReply, error) {
	return call[RunRequest, RunReply](ctx, c, c.traffic, address, methodRun, in)
}

// Place asks an owner to start tasks.
func (c *Client) Place(ctx context.Context, address string, in *PlaceRequest) (*PlaceReply, error) {
	return call[PlaceRequest, PlaceReply](ctx, c, c.traffic, address, methodPlace, in)
}

// Report asks an owner for its report.
func (c *Client) Report(ctx context.Context, address string, in *ReportRequest) (*ReportReply, error) {
	return call[ReportRequest, ReportReply](ctx, c, c.control, address, methodReport, in)
}

// Config asks for the configuration in force.
func (c *Client) Config(ctx context.Context, address string, in *ConfigRequest) (*ConfigReply, error) {
	return call[ConfigRequest, ConfigReply](ctx, c, c.control, address, methodConfig, in)
}

// NotifyBucketChanged tells of a change to a bucket.
func (c *Client) NotifyBucketChanged(ctx context.Context, address string, in *BucketChanged) error {
	_, err := call[BucketChanged, BucketChanged](ctx, c, c.control, address, methodNotifyBucketChanged, in)
	return err
}

// call does one call on a connection of a pool.
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

// dial opens one connection.
func (c *Client) dial(ctx context.Context, address string, control bool) (drpcpool.Conn, error) {
	onBytes := c.cfg.OnBytes
	if !control {
		onBytes = nil
	}
	conn, err := cccount.Dialer(c.cfg.DialTimeout, onBytes)(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dialing a fellow")
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}
