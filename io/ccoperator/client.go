package ccoperator

import (
	"io"
	"net/http"
	"time"

	"coriandercross/io/cchttp"
	"coriandercross/io/ccnode"

	"github.com/cockroachdb/errors"
)

// ErrInDoubt reports an edit that may have been accepted.
var ErrInDoubt = cchttp.ErrInDoubt

// callTimeout bounds one call.
const callTimeout = 15 * time.Second

// Client calls the operators' interface of a process. Its methods block until the reply, and fail
// with cchttp.ErrUnreachable or the error that the reply names.
type Client struct {
	http cchttp.Client
}

// NewClient returns a client of the process at an IP and port.
func NewClient(address string) *Client {
	return &Client{http: cchttp.Client{Address: address, Timeout: callTimeout}}
}

// Config returns the configuration in force.
func (c *Client) Config() (ConfigReply, error) {
	return call[ConfigReply](c, http.MethodGet, configPath, nil)
}

// Apply sends an edit. It fails with ccteam.ErrConflict, ccteam.ErrInvalid, or ErrInDoubt.
func (c *Client) Apply(in *ApplyRequest) (ApplyReply, error) {
	return call[ApplyReply](c, http.MethodPut, configPath, in)
}

// History returns the past edits.
func (c *Client) History() (HistoryReply, error) {
	return call[HistoryReply](c, http.MethodGet, historyPath, nil)
}

// Revisions returns the revision in force at each living process.
func (c *Client) Revisions() (RevisionsReply, error) {
	return call[RevisionsReply](c, http.MethodGet, revisionsPath, nil)
}

// Dump returns the state of the process.
func (c *Client) Dump() (ccnode.Dump, error) {
	return call[ccnode.Dump](c, http.MethodGet, dumpPath, nil)
}

// DumpRaw writes the state of the process as JSON.
func (c *Client) DumpRaw(w io.Writer) error {
	data, err := c.http.CallRaw(http.MethodGet, dumpPath, nil)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return errors.Wrap(err, "writing a dump")
}

// Drain begins a planned stop.
func (c *Client) Drain() error {
	var out DrainReply
	return c.http.Call(http.MethodPost, drainPath, nil, &out)
}

// call sends one call and decodes its reply.
func call[Out any](c *Client, method, path string, in any) (Out, error) {
	var out Out
	err := c.http.Call(method, path, in, &out)
	return out, err
}
