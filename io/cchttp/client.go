package cchttp

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// Errors of a client.
var (
	// ErrUnreachable reports a call that was certainly not sent, since there was no connection.
	ErrUnreachable = errors.New("process can't be reached")
	// ErrInDoubt reports a call that the process may have executed: there was no response in time, it broke off, or it
	// says so.
	ErrInDoubt = errors.New("call may have been executed")
)

// Client calls an HTTP interface of a process.
type Client struct {
	// Address is the IP:PORT of the process.
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Call sends in as a JSON body, or no body if in is nil, and decodes the response into out. It fails with
// ErrUnreachable, with ErrInDoubt, or with the error that the response names.
func (c *Client) Call(method, path string, in, out any) error {
	data, err := c.CallRaw(method, path, in)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, out), "decoding the response")
}

// CallRaw sends in as a JSON body, or no body if in is nil, and returns the body of the response. It fails like Call.
func (c *Client) CallRaw(method, path string, in any) ([]byte, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encoding the request")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+c.Address+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "creating the request")
	}
	hc := http.Client{Timeout: c.Timeout}
	resp, err := hc.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, errors.Mark(err, ErrUnreachable)
		}
		return nil, errors.Mark(err, ErrInDoubt)
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

// replyError returns the error that an ErrorReply describes, marked with the Go error of that name.
func replyError(status int, data []byte) error {
	var e ErrorReply
	if json.Unmarshal(data, &e) != nil || e.Error == "" {
		return errors.Newf("unexpected status %d", status)
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
