// Package ccstore is a client of the key-value store that the process in io/ccnode uses: reads, compare-and-swap writes
// and watches, over HTTP. No other package knows the protocol of that store. The errors are also used for another store
// (io/cccontrol, platform/ccplatform).
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
	// ErrConflict reports a write that was based on a version that is no longer the newest.
	ErrConflict = errors.New("store holds a newer version")
	// ErrUnavailable reports a call that the store has certainly not carried out.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrInDoubt reports a write that may have been carried out, or may still be.
	ErrInDoubt = errors.New("reply of the store was lost")
	// ErrTooLarge reports a value larger than MaxValueBytes.
	ErrTooLarge = errors.New("value is too large for the store")
)

// MaxValueBytes is the largest size of a value that the store accepts.
const MaxValueBytes = 1 << 20

// VersionHeader is the HTTP header that holds the version of a value in requests and replies.
const VersionHeader = "Version"

// Value is the value of a key with its version. Version is 0 if the key does not exist.
type Value struct {
	Version uint64
	Data    []byte
}

// Config sets up a Client.
type Config struct {
	// Address is the store's IP and port.
	Address string
	// Timeout is the timeout of a call other than a watch.
	Timeout time.Duration
	// WatchTimeout is the time after which the store replies to a watch without changes.
	WatchTimeout time.Duration
	// OnCall, unless nil, is called after each call with its kind ("Get", "Put" or "Watch") and its error.
	OnCall func(kind string, err error)
	// OnBytes, unless nil, is called with the number of bytes of all calls, sent and received.
	OnBytes func(n int)
}

// Client calls the store. Its methods may be called from any goroutine. They block until the reply arrives, the timeout
// has passed, or ctx ends.
type Client struct {
	cfg  Config
	http *http.Client
}

// NewClient returns a client without connections; they are opened by the calls.
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

// idleConns is the largest number of idle connections to the store.
const idleConns = 4

// Get returns the value of a key, an empty Value if the key does not exist. It fails with ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	v, err := c.get(ctx, c.url("values", key))
	c.cfg.OnCall("Get", err)
	return v, err
}

// Watch blocks until the key has a version higher than after, but for the watch timeout at most, and returns the value.
// It fails with ErrUnavailable.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.WatchTimeout+c.cfg.Timeout)
	defer cancel()
	u := fmt.Sprintf("%s?After=%d&TimeoutMs=%d", c.url("watch", key), after, c.cfg.WatchTimeout.Milliseconds())
	v, err := c.get(ctx, u)
	c.cfg.OnCall("Watch", err)
	return v, err
}

// Put writes a value if the key's version is still v.Version, and returns the new version. It fails with ErrConflict,
// ErrTooLarge or ErrUnavailable if nothing was written, and with ErrInDoubt if the write may have been carried out, or
// may still be.
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

// url returns the URL of a key. kind is the part of the path that selects the API, "values" or "watch".
func (c *Client) url(kind, key string) string {
	return "http://" + c.cfg.Address + "/v1/" + kind + "/" + url.PathEscape(key)
}

// get makes one HTTP call for a Get or a Watch.
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

// put makes the HTTP call for a Put.
func (c *Client) put(ctx context.Context, key string, v Value) (uint64, error) {
	// http.NewRequest sets GetBody for a bytes.Reader, and the transport may then resend a request automatically.
	// NopCloser hides the type, so that a write is sent only once.
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

// drainBody reads the rest of a response body, so that the connection can be reused, and closes it.
func drainBody(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, body)
	_ = body.Close()
}
