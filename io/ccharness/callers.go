package ccharness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"coriandercross/core/ccwork"
	"coriandercross/io/cccaller"
	"coriandercross/io/cchttp"
)

// Response is the result of one request, as its caller received it.
type Response struct {
	// ID is that of the request.
	ID string
	// Entry is the name of the entry process to which the request was sent.
	Entry string
	// Status is the HTTP status, or 0 if no complete response arrived.
	Status  int
	Outcome ccwork.Outcome
	// Reason is the error code in the response, or NoReply, Truncated or NoError if there is none.
	Reason string
	Body   string
	TookMs int64
	// AtMs is the time at which the request was sent, in Unix milliseconds.
	AtMs int64
}

// Callers sends requests and records the responses.
type Callers struct {
	c         *Cluster
	mu        sync.Mutex
	responses []Response
	http      http.Client
}

const callerTimeout = 90 * time.Second

// NewCallers returns a Callers without responses.
func (c *Cluster) NewCallers() *Callers {
	return &Callers{c: c, http: http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Send sends a request to an entry process and returns the response. Without a complete response, the outcome is
// Unknown.
func (cs *Callers) Send(e *Entry, team, kind, id, body string) Response {
	r := Response{ID: id, Entry: e.Name, AtMs: time.Now().UnixMilli()}
	url := fmt.Sprintf("http://%s/v1/teams/%s/kinds/%s/requests", e.Settings.Listen.Callers, team, kind)
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(fmt.Sprintf("building a request: %v", err))
	}
	// Without GetBody, net/http does not resend the request automatically: a caller must know how often its request
	// was sent.
	req.GetBody = nil
	req.Header.Set(cccaller.RequestIDHeader, id)
	cs.do(req, &r)
	r.TookMs = time.Now().UnixMilli() - r.AtMs
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.responses = append(cs.responses, r)
	return r
}

// do sends a request and fills in the response.
func (cs *Callers) do(req *http.Request, r *Response) {
	r.Outcome = ccwork.Unknown
	resp, err := cs.http.Do(req)
	if err != nil {
		r.Reason = "NoReply"
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Reason = "Truncated"
		return
	}
	r.Status = resp.StatusCode
	if resp.StatusCode == http.StatusOK {
		r.Outcome = ccwork.Ran
		r.Body = string(data)
		return
	}
	var e cchttp.ErrorReply
	if json.Unmarshal(data, &e) != nil {
		r.Reason = "NoError"
		return
	}
	r.Outcome = e.Outcome
	r.Reason = e.Error
}

// Responses returns the responses so far.
func (cs *Callers) Responses() []Response {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return slices.Clone(cs.responses)
}

// StartLoad starts callers that send requests in the background. Each caller has one request in progress at a time, and
// sends its requests by turns to the processes that entries returns, as a load balancer would. The returned function
// ends the load, and returns once each caller has the response to its last request.
func (cs *Callers) StartLoad(callers int, entries func() []*Entry, team, kind, prefix string, body func(id string) string) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				up := entries()
				id := fmt.Sprintf("%s-%d-%d", prefix, i, n)
				cs.Send(up[(i+n)%len(up)], team, kind, id, body(id))
			}
		})
	}
	return func() { close(done); wg.Wait() }
}

// ResponseSummary holds the number of responses by outcome, and the violations found in them.
type ResponseSummary struct {
	Sent    int
	Ran     int
	NotRun  int
	Unknown int
	// WrongBody lists the IDs of requests whose response has the outcome Ran and a body other than the expected one.
	WrongBody []string
	// FalseNotRun lists the IDs of requests that a worker ran although every response has the outcome NotRun.
	FalseNotRun []string
}

// CheckResponses compares the responses with the workers' records. The function want returns the expected body for a
// request ID.
func CheckResponses(team string, responses []Response, v *Verdict, want func(id string) string) ResponseSummary {
	var t ResponseSummary
	starts := v.StartCounts()
	// mayHaveRun holds the requests with a response other than NotRun: a caller may send one request several times.
	mayHaveRun := map[string]bool{}
	for _, r := range responses {
		if r.Outcome != ccwork.NotRun {
			mayHaveRun[r.ID] = true
		}
	}
	for _, r := range responses {
		t.Sent++
		switch r.Outcome {
		case ccwork.Ran:
			t.Ran++
			if r.Body != want(r.ID) {
				t.WrongBody = append(t.WrongBody, r.ID)
			}
		case ccwork.NotRun:
			t.NotRun++
			if starts[team+"/"+r.ID] > 0 && !mayHaveRun[r.ID] {
				t.FalseNotRun = append(t.FalseNotRun, r.ID)
			}
		default:
			t.Unknown++
		}
	}
	return t
}
