package cchttp

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// Errors of a client.
var (
	// ErrUnreachable reports a call without a reply.
	ErrUnreachable = errors.New("process can't be reached")
	// ErrInDoubt reports a call that may have been carried out.
	ErrInDoubt = errors.New("call may have been carried out")
)

// Client calls one of the HTTP interfaces.
type Client struct {
	// Address is the IP and port of the process.
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Call sends a JSON body, or none when in is nil, and decodes the reply into out. It fails with
// ErrUnreachable, ErrInDoubt, or the error that the reply names.
func (c *Client) Call(method, path string, in, out any) error {
	data, err := c.CallRaw(method, path, in)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, out), "decoding a reply")
}

// CallRaw sends a JSON body, or none when in is nil, and returns the reply as it is. It fails as Call does.
func (c *Client) CallRaw(method, path string, in any) ([]byte, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encoding a request")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+c.Address+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "building a request")
	}
	hc := http.Client{Timeout: c.Timeout}
	resp, err := hc.Do(req)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Mark(err, ErrInDoubt)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, replyError(resp.StatusCode, data)
	}
	return data, nil
}

// replyError returns the error that a reply names.
func replyError(status int, data []byte) error {
	var e ErrorReply
	if json.Unmarshal(data, &e) != nil || e.Error == "" {
		return errors.Newf("status %d", status)
	}
	err := errors.Newf("%s: %s", e.Error, e.Message)
	for _, r := range errorMappings {
		if r.name == e.Error {
			err = errors.Mark(err, r.err)
		}
	}
	if e.Outcome == ccwork.Unknown {
		err = errors.Mark(err, ErrInDoubt)
	}
	return err
}
