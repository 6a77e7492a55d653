// Package cccaller implements the HTTP interface for callers, and a client for it. Callers send requests, whose answer
// they wait for, and submit jobs.
package cccaller

import (
	"context"
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

// Headers of a request and its reply.
const (
	RequestIDHeader = "Request-Id"
	DeadlineHeader  = "Deadline-Ms"
	OutcomeHeader   = "Outcome"
	FailedHeader    = "Failed"
	WorkerHeader    = "Worker"
)

// Backend executes requests and jobs; ccnode.Node implements it.
type Backend interface {
	Execute(ctx context.Context, req ccnode.Request) ccwork.Result
	SubmitJob(ctx context.Context, req ccnode.JobRequest) (*ccjob.Job, error)
	Job(ctx context.Context, team, id string) (*ccjob.Job, error)
	CancelJob(ctx context.Context, team, id string) (*ccjob.Job, error)
	Ready() bool
}

// Config configures the interface.
type Config struct {
	Backend Backend
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int64
	Log     *log.Logger
}

// Server handles the calls of callers.
type Server struct {
	cfg Config
}

const (
	// maxJobBody bounds the body of a job submission, in bytes.
	maxJobBody = 1 << 20
	// maxDeadlineMs bounds the deadline that a caller may set, in milliseconds.
	maxDeadlineMs = 3_600_000
	// maxWaitMs bounds how long a caller may wait for the end of a job, in milliseconds.
	maxWaitMs = 60_000
	// jobPollInterval is the interval at which a job is read while a caller waits for its end.
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

// runRequest runs a request and writes its outcome.
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
	// With the length the caller can distinguish a complete answer from a truncated one.
	w.Header().Set("Content-Length", strconv.Itoa(len(res.Answer)))
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(res.Answer); err != nil {
		s.cfg.Log.Info("caller disconnected before the whole answer was sent", "Request", req.ID, "Err", err)
	}
}

// parseRequest decodes and checks a request.
func (s *Server) parseRequest(w http.ResponseWriter, r *http.Request) (ccnode.Request, error) {
	vars := mux.Vars(r)
	req := ccnode.Request{ID: r.Header.Get(RequestIDHeader), Team: vars["Team"], Kind: vars["Kind"]}
	if err := ccjob.CheckID(req.ID); err != nil {
		return req, errors.Mark(errors.Wrapf(err, "header %s", RequestIDHeader), cchttp.ErrBadRequest)
	}
	if text := r.Header.Get(DeadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxDeadlineMs {
			return req, errors.Wrapf(cchttp.ErrBadRequest, "header %s is %q; use 1 to %d", DeadlineHeader, text, maxDeadlineMs)
		}
		req.DeadlineMs = ms
	}
	var err error
	req.Body, err = cchttp.ReadBody(w, r, s.cfg.MaxBody)
	return req, err
}

// SubmitRequest is the body of a job submission.
type SubmitRequest struct {
	// ID is chosen by the caller, who repeats a submission under the same ID.
	ID   string
	Kind string
	// Tasks holds the payload of each task.
	Tasks TaskList
}

// TaskList decodes at most as many tasks as a job may have.
type TaskList []SubmitTask

// UnmarshalJSON implements json.Unmarshaler.
func (l *TaskList) UnmarshalJSON(data []byte) error {
	*l = nil
	return cchttp.DecodeArray(data, ccjob.MaxTasks, true, func(t SubmitTask) { *l = append(*l, t) })
}

// SubmitTask is one task of a job submission.
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
	return ccjob.CheckID(b.ID)
}

// JobReply is the state of a job as returned to callers.
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

// TaskReply is the result of one task. State is "" until the task has ended.
type TaskReply struct {
	State  ccwork.TaskState
	Result string `json:",omitempty"`
}

// newJobReply converts a job to the form returned to callers.
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

// job returns a job. If the caller sets WaitMs, it waits for at most that time for the job to end.
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

// parseWait returns how long the caller waits for the end of a job.
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

// cancel cancels a job.
func (s *Server) cancel(r *http.Request) (*JobReply, error) {
	vars := mux.Vars(r)
	j, err := s.cfg.Backend.CancelJob(r.Context(), vars["Team"], vars["ID"])
	if err != nil {
		return nil, err
	}
	return newJobReply(j), nil
}

// health reports that the process is running.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	cchttp.WriteJSON(w, http.StatusOK, struct{ Healthy bool }{true})
}

// ready reports to the load balancer whether to send new work to this process.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ready := s.cfg.Backend.Ready()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	cchttp.WriteJSON(w, status, struct{ Ready bool }{ready})
}
