// Package cccaller answers callers over HTTP: requests whose callers wait, and jobs.
package cccaller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"coriandercross/core/ccjob"
	"coriandercross/core/ccwork"
	"coriandercross/io/cchttp"
	"coriandercross/io/ccnode"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
)

// Headers of a request.
const (
	RequestIDHeader = "Request-Id"
	DeadlineHeader  = "Deadline-Ms"
	OutcomeHeader   = "Outcome"
	FailedHeader    = "Failed"
	WorkerHeader    = "Worker"
)

// Backend does the work; ccnode.Node implements it.
type Backend interface {
	Execute(ctx context.Context, req ccnode.Request) ccwork.Result
	SubmitJob(ctx context.Context, req ccnode.JobRequest) (*ccjob.Job, error)
	Job(ctx context.Context, team, id string) (*ccjob.Job, error)
	CancelJob(ctx context.Context, team, id string) (*ccjob.Job, error)
	Ready() bool
}

// Config sets up a Server.
type Config struct {
	Backend Backend
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
	Log     *log.Logger
}

// Server answers callers.
type Server struct {
	cfg Config
}

const (
	// maxJobBody bounds a job's body, in bytes.
	maxJobBody = 1 << 20
	// maxDeadlineMs bounds the deadline that a caller may ask for.
	maxDeadlineMs = 3_600_000
	// maxWaitMs bounds the wait for a job's end.
	maxWaitMs = 60_000
	// jobPollInterval is the time between two looks at a job.
	jobPollInterval = 500 * time.Millisecond
)

// Handler returns the HTTP interface for callers.
func Handler(cfg Config) http.Handler {
	s := &Server{cfg: cfg}
	r := mux.NewRouter()
	r.HandleFunc("/v1/teams/{Team}/kinds/{Kind}/requests", s.runRequest).Methods(http.MethodPost)
	r.HandleFunc("/v1/teams/{Team}/jobs", cchttp.HandleJSON(maxJobBody, newSubmitRequest, s.submit)).Methods(http.MethodPost)
	r.HandleFunc("/v1/teams/{Team}/jobs/{ID}", cchttp.HandleGet(s.job)).Methods(http.MethodGet)
	r.HandleFunc("/v1/teams/{Team}/jobs/{ID}/cancel", cchttp.HandleGet(s.cancel)).Methods(http.MethodPost)
	r.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	return r
}

// runRequest runs a runRequest and writes its outcome.
func (s *Server) runRequest(w http.ResponseWriter, r *http.Request) {
	req, err := s.parseRequest(w, r)
	if err != nil {
		cchttp.WriteError(w, err)
		return
	}
	res := s.cfg.Backend.Execute(r.Context(), req)
	if res.Outcome != ccwork.Ran {
		cchttp.WriteResultError(w, res)
		return
	}
	w.Header().Set(OutcomeHeader, string(ccwork.Ran))
	w.Header().Set(FailedHeader, strconv.FormatBool(res.Failed))
	w.Header().Set(WorkerHeader, res.Worker)
	w.Header().Set(RequestIDHeader, req.ID)
	// The length lets the caller tell a complete answer from a truncated one.
	w.Header().Set("Content-Length", strconv.Itoa(len(res.Answer)))
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(res.Answer); err != nil {
		s.cfg.Log.Info("caller went away before the end of the answer", "Request", req.ID, "Err", err)
	}
}

// parseRequest decodes and checks a request.
func (s *Server) parseRequest(w http.ResponseWriter, r *http.Request) (ccnode.Request, error) {
	vars := mux.Vars(r)
	req := ccnode.Request{ID: r.Header.Get(RequestIDHeader), Team: vars["Team"], Kind: vars["Kind"]}
	if err := ccjob.CheckName(req.ID); err != nil {
		return req, errors.Mark(errors.Wrapf(err, "header %s", RequestIDHeader), cchttp.ErrBadRequest)
	}
	if text := r.Header.Get(DeadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxDeadlineMs {
			return req, errors.Wrapf(cchttp.ErrBadRequest, "header %s is %q; use 1 to %d", DeadlineHeader, text, maxDeadlineMs)
		}
		req.DeadlineMs = ms
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBody))
	if err != nil {
		return req, errors.Wrapf(cchttp.ErrTooLarge, "limit is %d bytes, or the body was cut", s.cfg.MaxBody)
	}
	req.Body = body
	return req, nil
}

// SubmitRequest is the body of a submission.
type SubmitRequest struct {
	// ID is the caller's own; a repeat carries the same.
	ID   string
	Kind string
	// Tasks are the payloads of the tasks.
	Tasks []SubmitTask
}

// SubmitTask is one task of a submission.
type SubmitTask struct {
	Payload string `json:",omitempty"`
}

// newSubmitRequest returns an empty submission to decode into.
func newSubmitRequest() *SubmitRequest {
	return &SubmitRequest{}
}

// Check implements cchttp.Validator.
func (b *SubmitRequest) Check() error {
	if b.Kind == "" {
		return errors.Wrap(cchttp.ErrBadRequest, "Kind must be set")
	}
	if len(b.Tasks) == 0 {
		return errors.Wrap(cchttp.ErrBadRequest, "Tasks must have at least one task")
	}
	return ccjob.CheckName(b.ID)
}

// JobReply is a job as callers see it.
type JobReply struct {
	ID         string
	Kind       string
	State      ccjob.State
	Reason     string `json:",omitempty"`
	Tasks      int
	Succeeded  int
	AcceptedAt time.Time
	EndedAt    *time.Time `json:",omitempty"`
	Results    []TaskReply
}

// TaskReply is the end of one task; State is "" until it has ended.
type TaskReply struct {
	State  ccwork.TaskState
	Result string `json:",omitempty"`
}

// newJobReply converts a job for callers.
func newJobReply(j *ccjob.Job) *JobReply {
	out := &JobReply{
		ID: j.ID, Kind: j.Kind, State: j.State, Reason: j.Reason, Tasks: len(j.Tasks),
		AcceptedAt: time.UnixMilli(j.AcceptedAt).UTC(),
	}
	if j.EndedAt > 0 {
		at := time.UnixMilli(j.EndedAt).UTC()
		out.EndedAt = &at
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.State == ccwork.Succeeded {
			out.Succeeded++
		}
		out.Results = append(out.Results, TaskReply{State: t.State, Result: string(t.Result)})
	}
	return out
}

// submit accepts a job.
func (s *Server) submit(r *http.Request, in *SubmitRequest) (*JobReply, error) {
	req := ccnode.JobRequest{ID: in.ID, Team: mux.Vars(r)["Team"], Kind: in.Kind}
	for _, t := range in.Tasks {
		req.Payloads = append(req.Payloads, []byte(t.Payload))
	}
	j, err := s.cfg.Backend.SubmitJob(r.Context(), req)
	if err != nil {
		return nil, err
	}
	return newJobReply(j), nil
}

// job returns a job, after its end when the caller asks to wait.
func (s *Server) job(r *http.Request) (*JobReply, error) {
	vars := mux.Vars(r)
	wait, err := parseWait(r)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(wait)
	for {
		j, err := s.cfg.Backend.Job(r.Context(), vars["Team"], vars["ID"])
		if err != nil {
			return nil, err
		}
		if j.State.Ended() || !time.Now().Before(deadline) {
			return newJobReply(j), nil
		}
		select {
		case <-r.Context().Done():
			return nil, r.Context().Err()
		case <-time.After(jobPollInterval):
		}
	}
}

// parseWait returns how long a caller wants to wait for a job's end.
func parseWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("WaitMs")
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxWaitMs {
		return 0, errors.Wrapf(cchttp.ErrBadRequest, "WaitMs is %q; use 0 to %d", text, maxWaitMs)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// cancel withdraws a job.
func (s *Server) cancel(r *http.Request) (*JobReply, error) {
	vars := mux.Vars(r)
	j, err := s.cfg.Backend.CancelJob(r.Context(), vars["Team"], vars["ID"])
	if err != nil {
		return nil, err
	}
	return newJobReply(j), nil
}

// health tells that the process runs.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	cchttp.WriteJSON(w, http.StatusOK, struct{ Healthy bool }{true})
}

// ready tells the balancer whether to send new work.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ready := s.cfg.Backend.Ready()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	cchttp.WriteJSON(w, status, struct{ Ready bool }{ready})
}
