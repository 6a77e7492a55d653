// Package ccstore talks to the platform's key-value store: reads, compare-and-swap writes and
// watches, over HTTP. It is the only package that knows the store's wire.
package ccstore

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"coriandercross/io/cccount"

	"github.com/cockroachdb/errors"
)

// Errors of the store.
var (
	// ErrConflict reports a write on a version that is no longer the newest.
	ErrConflict = errors.New("store holds a newer version")
	// ErrUnavailable reports a call that the store did not carry out for certain.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrInDoubt reports a write that may or may not have taken effect.
	ErrInDoubt = errors.New("reply of the store was lost")
	// ErrTooLarge reports a value over MaxValueBytes.
	ErrTooLarge = errors.New("value is too large for the store")
)

// MaxValueBytes is the largest value that the store takes, in bytes.
const MaxValueBytes = 1 << 20

// VersionHeader carries a value's version in requests and replies.
const VersionHeader = "Version"

// Value is a value with its version; version 0 means that the key does not exist.
type Value struct {
	Version uint64
	Data    []byte
}

// Config sets up a Client.
type Config struct {
	// Address is the store's IP and port.
	Address string
	// Timeout bounds one call other than a watch.
	Timeout time.Duration
	// WatchTimeout bounds one watch.
	WatchTimeout time.Duration
	// OnCall is told of each call by its kind: "Get", "Put" or "Watch".
	OnCall func(kind string, err error)
	// OnBytes is told of the bytes of all calls; it may be nil.
	OnBytes func(n int)
}

// Client calls the store. Its methods may be called from any goroutine, and block until the
// reply, the timeout, or the end of ctx.
type Client struct {
	cfg  Config
	http *http.Client
}

// NewClient returns a client; it opens no connection.
func NewClient(cfg Config) *Client {
	if cfg.OnCall == nil {
		cfg.OnCall = func(string, error) {}
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: &http.Transport{
		DialContext:         cccount.Dialer(cfg.Timeout, cfg.OnBytes),
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     time.Minute,
	}}}
}

const idleConns = 4

// Get returns the value of a key. It fails with ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	v, err := c.get(ctx, c.url("values", key))
	c.cfg.OnCall("Get", err)
	return v, err
}

// Watch waits until the key has a version above after, or for the watch timeout, and returns the
// value. It fails with ErrUnavailable.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.WatchTimeout+c.cfg.Timeout)
	defer cancel()
	u := fmt.Sprintf("%s?After=%d&TimeoutMs=%d", c.url("watch", key), after, c.cfg.WatchTimeout.Milliseconds())
	v, err := c.get(ctx, u)
	c.cfg.OnCall("Watch", err)
	return v, err
}

// Put writes a value if the key's version is still v.Version, and returns the new version. It
// fails with ErrConflict, ErrTooLarge or ErrUnavailable, when nothing was written, and with
// ErrInDoubt when it may take effect, now or later.
func (c *Client) Put(ctx context.Context, key string, v Value) (uint64, error) {
	if len(v.Data) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "%d bytes", len(v.Data))
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	version, err := c.put(ctx, key, v)
	c.cfg.OnCall("Put", err)
	return version, err
}

// url builds the address of a key.
func (c *Client) url(kind, key string) string {
	return "http://" + c.cfg.Address + "/v1/" + kind + "/" + url.PathEscape(key)
}

// get does one reading call.
func (c *Client) get(ctx context.Context, u string) (Value, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Value{}, errors.Wrap(err, "building a store request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, errors.Mark(errors.Wrap(err, "reading from the store"), ErrUnavailable)
	}
	defer drainBody(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Value{}, nil
	default:
		return Value{}, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return Value{}, errors.Mark(errors.Wrap(err, "reading a value"), ErrUnavailable)
	}
	version, err := strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return Value{}, errors.Mark(errors.Wrap(err, "reading a version"), ErrUnavailable)
	}
	return Value{Version: version, Data: data}, nil
}

// put does one write.
func (c *Client) put(ctx context.Context, key string, v Value) (uint64, error) {
	// A reader without a known type hides GetBody from the transport, which then can't send the
	// write a second time on its own.
	body := io.NopCloser(bytes.NewReader(v.Data))
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.url("values", key), body)
	if err != nil {
		return 0, errors.Wrap(err, "building a store request")
	}
	req.ContentLength = int64(len(v.Data))
	req.Header.Set(VersionHeader, strconv.FormatUint(v.Version, 10))
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return 0, errors.Mark(err, ErrUnavailable)
		}
		return 0, errors.Mark(errors.Wrap(err, "writing to the store"), ErrInDoubt)
	}
	defer drainBody(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		version, err := strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
		return version, errors.Mark(err, ErrInDoubt)
	case http.StatusConflict:
		return 0, ErrConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return 0, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	return 0, errors.Wrapf(ErrInDoubt, "status %d", resp.StatusCode)
}

// drainBody lets the connection be used again.
func drainBody(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, body)
	_ = body.Close()
}
