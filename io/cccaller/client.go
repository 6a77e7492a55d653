package cccaller

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"coriandercross/io/cchttp"
)

// ErrInDoubt reports a submission whose result is not known: the job may have been accepted.
var ErrInDoubt = cchttp.ErrInDoubt

// callTimeout bounds one call, in addition to the wait for the end of a job.
const callTimeout = 15 * time.Second

// Client calls the HTTP interface for callers. Its methods block until the reply, and fail with cchttp.ErrUnreachable
// or the error that the reply names.
type Client struct {
	http cchttp.Client
}

// NewClient returns a client for the process at address, an IP address and port.
func NewClient(address string) *Client {
	return &Client{http: cchttp.Client{Address: address, Timeout: callTimeout + maxWaitMs*time.Millisecond}}
}

// Submit submits a job. It fails with ErrInDoubt when the job may have been accepted.
func (c *Client) Submit(team string, in *SubmitRequest) (*JobReply, error) {
	return c.call(http.MethodPost, "/v1/teams/"+url.PathEscape(team)+"/jobs", in)
}

// Job returns the state of a job. It first waits for the end of the job, for at most waitMs milliseconds.
func (c *Client) Job(team, id string, waitMs int64) (*JobReply, error) {
	path := fmt.Sprintf("%s?WaitMs=%d", jobPath(team, id), waitMs)
	return c.call(http.MethodGet, path, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(team, id string) (*JobReply, error) {
	return c.call(http.MethodPost, jobPath(team, id)+"/cancel", nil)
}

// jobPath returns the URL path of a job.
func jobPath(team, id string) string {
	return "/v1/teams/" + url.PathEscape(team) + "/jobs/" + url.PathEscape(id)
}

// call makes one call whose reply is a job.
func (c *Client) call(method, path string, in any) (*JobReply, error) {
	out := &JobReply{}
	err := c.http.Call(method, path, in, out)
	return out, err
}
