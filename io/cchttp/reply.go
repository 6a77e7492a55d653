// Package cchttp has the common parts of the HTTP interfaces for callers and operators: handlers with typed bodies, a
// client, and one format of errors.
package cchttp

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"coriandercross/core/ccintake"
	"coriandercross/core/ccjob"
	"coriandercross/core/ccteam"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// ErrBadRequest reports a request that does not follow the interface.
var ErrBadRequest = errors.New("request is malformed")

// ErrTooLarge reports a request body above its size limit.
var ErrTooLarge = errors.New("request body is too large")

// ErrorReply is the JSON body of every response that does not report success.
type ErrorReply struct {
	// Error is the name of the error. Names never change.
	Error string
	// Message is a text for people, without a stable format.
	Message string
	// Outcome says whether the work may have run.
	Outcome ccwork.Outcome
	// RetryAfterMs is the time after which a retry may succeed, 0 if a retry can't help.
	RetryAfterMs int64 `json:",omitempty"`
}

// errorMapping maps a Go error to the fields of its response.
type errorMapping struct {
	err          error
	name         string
	status       int
	outcome      ccwork.Outcome
	retryAfterMs int64
}

const (
	shortRetryMs = 200
	longRetryMs  = 1_000
)

// errorMappings are searched in order. ccstore.ErrInDoubt is first since an error in doubt may wrap some of the others.
var errorMappings = []errorMapping{
	{ccstore.ErrInDoubt, "InDoubt", http.StatusGatewayTimeout, ccwork.Unknown, longRetryMs},
	{ErrBadRequest, "BadRequest", http.StatusBadRequest, ccwork.NotRun, 0},
	{ccintake.ErrNoRoom, "NoRoom", http.StatusTooManyRequests, ccwork.NotRun, longRetryMs},
	{ccintake.ErrBodyLate, "BodyLate", http.StatusServiceUnavailable, ccwork.NotRun, longRetryMs},
	{ErrTooLarge, "TooLarge", http.StatusRequestEntityTooLarge, ccwork.NotRun, 0},
	{ccjob.ErrBadJob, "BadJob", http.StatusBadRequest, ccwork.NotRun, 0},
	{ccjob.ErrDifferent, "Different", http.StatusConflict, ccwork.NotRun, 0},
	{ccjob.ErrNoJob, "NoJob", http.StatusNotFound, ccwork.NotRun, 0},
	{ccteam.ErrInvalid, "Invalid", http.StatusUnprocessableEntity, ccwork.NotRun, 0},
	{ccteam.ErrConflict, "Conflict", http.StatusConflict, ccwork.NotRun, 0},
	{ccwork.ErrUnknownKind, "UnknownKind", http.StatusNotFound, ccwork.NotRun, 0},
	{ccwork.ErrImpossible, "Impossible", http.StatusUnprocessableEntity, ccwork.NotRun, 0},
	{ccwork.ErrQuota, "Quota", http.StatusTooManyRequests, ccwork.NotRun, longRetryMs},
	{ccwork.ErrOverload, "Overload", http.StatusTooManyRequests, ccwork.NotRun, longRetryMs},
	{ccwork.ErrDeadline, "Deadline", http.StatusServiceUnavailable, ccwork.NotRun, longRetryMs},
	{ccwork.ErrDraining, "Draining", http.StatusServiceUnavailable, ccwork.NotRun, shortRetryMs},
	{ccstore.ErrTooLarge, "Store", http.StatusServiceUnavailable, ccwork.NotRun, longRetryMs},
	{ccstore.ErrUnavailable, "Store", http.StatusServiceUnavailable, ccwork.NotRun, longRetryMs},
}

// WriteError writes the response for an error. Errors without a mapping get status 503.
func WriteError(w http.ResponseWriter, err error) {
	for _, m := range errorMappings {
		if errors.Is(err, m.err) {
			writeErrorReply(w, m.status, ErrorReply{Error: m.name, Message: err.Error(), Outcome: m.outcome, RetryAfterMs: m.retryAfterMs})
			return
		}
	}
	name := ccwork.ReasonOf(err)
	writeErrorReply(w, http.StatusServiceUnavailable, ErrorReply{Error: name, Message: err.Error(), Outcome: ccwork.NotRun, RetryAfterMs: longRetryMs})
}

// WriteResultError writes the response for a request whose outcome is not ccwork.Ran. The status follows from r.Reason,
// and is 504 if the outcome is ccwork.Unknown.
func WriteResultError(w http.ResponseWriter, r ccwork.Result) {
	e := ErrorReply{Error: r.Reason, Outcome: r.Outcome, RetryAfterMs: r.RetryAfterMs}
	reason := ccwork.ErrorOf(r.Reason)
	status := http.StatusServiceUnavailable
	for _, m := range errorMappings {
		if reason != nil && errors.Is(reason, m.err) {
			status = m.status
			e.RetryAfterMs = m.retryAfterMs
		}
	}
	if reason != nil {
		e.Message = reason.Error()
	}
	if e.RetryAfterMs == 0 && status == http.StatusServiceUnavailable {
		e.RetryAfterMs = shortRetryMs
	}
	if r.Outcome == ccwork.Unknown {
		status = http.StatusGatewayTimeout
		e.RetryAfterMs = max(r.RetryAfterMs, longRetryMs)
	}
	writeErrorReply(w, status, e)
}

// writeErrorReply writes an error response with its headers. Retry-After is in whole seconds, rounded up.
func writeErrorReply(w http.ResponseWriter, status int, e ErrorReply) {
	w.Header().Set("Outcome", string(e.Outcome))
	if e.RetryAfterMs > 0 {
		const msPerSecond = 1_000
		w.Header().Set("Retry-After", strconv.FormatInt((e.RetryAfterMs+msPerSecond-1)/msPerSecond, 10))
	}
	WriteJSON(w, status, e)
}

// WriteJSON writes v as the JSON body of a response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// The error is ignored: the status has been sent, and a failed write means that the client has disconnected.
	_ = enc.Encode(v)
}

// Validator is a request body with a check of its own.
type Validator interface {
	Check() error
}

// HandleJSON returns a handler that strictly decodes a JSON body of at most limit bytes, checks it, calls f and encodes
// its reply.
func HandleJSON[In Validator, Out any](limit int64, newIn func() In, f func(r *http.Request, in In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := ReadBody(w, r, limit)
		if err != nil {
			WriteError(w, err)
			return
		}
		in := newIn()
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		if err := dec.Decode(in); err != nil {
			WriteError(w, errors.Mark(errors.Wrap(err, "decoding the body"), ErrBadRequest))
			return
		}
		if err := in.Check(); err != nil {
			WriteError(w, err)
			return
		}
		serveReply(w, r, in, f)
	}
}

// HandleGet returns a handler that calls f without decoding a body and encodes its reply.
func HandleGet[Out any](f func(r *http.Request) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		serveReply(w, r, struct{}{}, func(r *http.Request, _ struct{}) (Out, error) { return f(r) })
	}
}

// serveReply calls f and writes its reply or its error.
func serveReply[In, Out any](w http.ResponseWriter, r *http.Request, in In, f func(*http.Request, In) (Out, error)) {
	out, err := f(r, in)
	if err != nil {
		WriteError(w, err)
		return
	}
	WriteJSON(w, http.StatusOK, out)
}
