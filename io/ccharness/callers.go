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

// Response is what a caller saw of one request.
type Response struct {
	ID      string
	Entry   string
	Status  int
	Outcome ccwork.Outcome
	Reason  string
	Body    string
	TookMs  int64
	AtMs    int64
}

// Callers send requests and keep what they saw.
type Callers struct {
	c         *Cluster
	mu        sync.Mutex
	responses []Response
	http      http.Client
}

// callerTimeout bounds a request of a caller.
const callerTimeout = 90 * time.Second

// NewCallers returns callers who have sent nothing.
func (c *Cluster) NewCallers() *Callers {
	return &Callers{c: c, http: http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Send sends a request to an entry process and returns what the caller sees.
func (l *Callers) Send(e *Entry, team, kind, id, body string) Response {
	a := Response{ID: id, Entry: e.Name, AtMs: time.Now().UnixMilli()}
	url := fmt.Sprintf("http://%s/v1/teams/%s/kinds/%s/requests", e.Settings.Listen.Callers, team, kind)
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(fmt.Sprintf("building a request: %v", err))
	}
	// A caller must know whether its request may have been sent twice: no silent repeats.
	req.GetBody = nil
	req.Header.Set(cccaller.RequestIDHeader, id)
	l.do(req, &a)
	a.TookMs = time.Now().UnixMilli() - a.AtMs
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responses = append(l.responses, a)
	return a
}

// do sends a request and takes in the reply.
func (l *Callers) do(req *http.Request, a *Response) {
	a.Outcome = ccwork.Unknown
	resp, err := l.http.Do(req)
	if err != nil {
		a.Reason = "NoReply"
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		a.Reason = "Truncated"
		return
	}
	a.Status = resp.StatusCode
	if resp.StatusCode == http.StatusOK {
		a.Outcome = ccwork.Ran
		a.Body = string(data)
		return
	}
	var e cchttp.ErrorReply
	if json.Unmarshal(data, &e) != nil {
		a.Reason = "NoError"
		return
	}
	a.Outcome = e.Outcome
	a.Reason = e.Error
}

// Responses returns what callers saw so far.
func (l *Callers) Responses() []Response {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.responses)
}

// StartLoad sends requests in the background from several callers until stop is called, which returns
// once the last has its answer. Each caller goes to the processes in turn, as a balancer would.
func (l *Callers) StartLoad(callers int, entries func() []*Entry, team, kind, prefix string, body func(id string) string) (stop func()) {
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
				l.Send(up[(i+n)%len(up)], team, kind, id, body(id))
			}
		})
	}
	return func() { close(done); wg.Wait() }
}

// ResponseSummary is the callers' own account of a session.
type ResponseSummary struct {
	Sent    int
	Ran     int
	NotRun  int
	Unknown int
	// WrongBody are responses that are not the complete answer to the caller's own request.
	WrongBody []string
	// FalseNotRun are requests that the caller was told did not run, and that did.
	FalseNotRun []string
}

// CheckResponses compares the responses with the workers' records. Want returns the right answer to a request.
func CheckResponses(team string, responses []Response, v *Verdict, want func(id string) string) ResponseSummary {
	var t ResponseSummary
	runs := v.StartCounts()
	ranBy := map[string]bool{}
	for _, a := range responses {
		if a.Outcome != ccwork.NotRun {
			ranBy[a.ID] = true
		}
	}
	for _, a := range responses {
		t.Sent++
		switch a.Outcome {
		case ccwork.Ran:
			t.Ran++
			if a.Body != want(a.ID) {
				t.WrongBody = append(t.WrongBody, a.ID)
			}
		case ccwork.NotRun:
			t.NotRun++
			if runs[team+"/"+a.ID] > 0 && !ranBy[a.ID] {
				t.FalseNotRun = append(t.FalseNotRun, a.ID)
			}
		default:
			t.Unknown++
		}
	}
	return t
}
