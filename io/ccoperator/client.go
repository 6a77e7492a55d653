package ccoperator

import (
	"io"
	"net/http"
	"time"

	"coriandercross/io/cchttp"
	"coriandercross/io/ccnode"

	"github.com/cockroachdb/errors"
)

// ErrInDoubt reports an edit whose result is not known: it may have been accepted.
var ErrInDoubt = cchttp.ErrInDoubt

// callTimeout bounds one call.
const callTimeout = 15 * time.Second

// Client calls the HTTP interface for operators. Its methods block until the reply, and fail with cchttp.ErrUnreachable
// or the error that the reply names.
type Client struct {
	http cchttp.Client
}

// NewClient returns a client for the process at address, an IP address and port.
func NewClient(address string) *Client {
	return &Client{http: cchttp.Client{Address: address, Timeout: callTimeout}}
}

// Config returns the configuration in force at the process.
func (c *Client) Config() (ConfigReply, error) {
	return call[ConfigReply](c, http.MethodGet, configPath, nil)
}

// Apply submits an edit of the configuration. It fails with ccteam.ErrConflict, ccteam.ErrInvalid, or ErrInDoubt.
func (c *Client) Apply(in *ApplyRequest) (ApplyReply, error) {
	return call[ApplyReply](c, http.MethodPut, configPath, in)
}

// History returns the last edits of the configuration, the newest last.
func (c *Client) History() (HistoryReply, error) {
	return call[HistoryReply](c, http.MethodGet, historyPath, nil)
}

// Revisions returns the revision in force at each living process.
func (c *Client) Revisions() (RevisionsReply, error) {
	return call[RevisionsReply](c, http.MethodGet, revisionsPath, nil)
}

// Dump returns a snapshot of the state of the process.
func (c *Client) Dump() (ccnode.Dump, error) {
	return call[ccnode.Dump](c, http.MethodGet, dumpPath, nil)
}

// DumpRaw writes a snapshot of the state of the process to w, as the JSON that the process returned.
func (c *Client) DumpRaw(w io.Writer) error {
	data, err := c.http.CallRaw(http.MethodGet, dumpPath, nil)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return errors.Wrap(err, "writing a dump")
}

// Drain starts a planned stop of the process.
func (c *Client) Drain() error {
	var out DrainReply
	return c.http.Call(http.MethodPost, drainPath, nil, &out)
}

// call makes one call and decodes its reply.
func call[Out any](c *Client, method, path string, in any) (Out, error) {
	var out Out
	err := c.http.Call(method, path, in, &out)
	return out, err
}
