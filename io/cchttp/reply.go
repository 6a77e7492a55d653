// Package cchttp holds what the HTTP interfaces share: typed handlers, and errors in one format.
package cchttp

import (
	"encoding/json"
	"net/http"
	"strconv"

	"coriandercross/core/ccjob"
	"coriandercross/core/ccteam"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// ErrBadRequest reports a request that breaks the interface's rules.
var ErrBadRequest = errors.New("request is malformed")

// ErrTooLarge reports a body over its limit.
var ErrTooLarge = errors.New("body is over its limit")

// ErrorReply is the body of every reply that is not a success.
type ErrorReply struct {
	// Error names the error; names are stable.
	Error string
	// Message is for people.
	Message string
	// Outcome says whether the work may have run.
	Outcome ccwork.Outcome
	// RetryAfterMs is the time after which a retry can help; 0 when none will.
	RetryAfterMs int64 `json:",omitempty"`
}

// errorMapping maps an error to its reply.
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

// errorMappings are searched in order. An error in doubt goes before the ones it wraps.
var errorMappings = []errorMapping{
	{ccstore.ErrInDoubt, "InDoubt", http.StatusGatewayTimeout, ccwork.Unknown, longRetryMs},
	{ErrBadRequest, "BadRequest", http.StatusBadRequest, ccwork.NotRun, 0},
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

// WriteError writes an error.
func WriteError(w http.ResponseWriter, err error) {
	for _, r := range errorMappings {
		if errors.Is(err, r.err) {
			writeErrorReply(w, r.status, ErrorReply{Error: r.name, Message: err.Error(), Outcome: r.outcome, RetryAfterMs: r.retryAfterMs})
			return
		}
	}
	name := ccwork.ReasonOf(err)
	writeErrorReply(w, http.StatusServiceUnavailable, ErrorReply{Error: name, Message: err.Error(), Outcome: ccwork.NotRun, RetryAfterMs: longRetryMs})
}

// WriteResultError writes the outcome of a request that has no answer.
func WriteResultError(w http.ResponseWriter, r ccwork.Result) {
	e := ErrorReply{Error: r.Reason, Outcome: r.Outcome, RetryAfterMs: r.RetryAfterMs}
	reason := ccwork.ErrorOf(r.Reason)
	status := http.StatusServiceUnavailable
	for _, rule := range errorMappings {
		if reason != nil && errors.Is(reason, rule.err) {
			status = rule.status
			e.RetryAfterMs = rule.retryAfterMs
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

// writeErrorReply writes an error with its headers.
func writeErrorReply(w http.ResponseWriter, status int, e ErrorReply) {
	w.Header().Set("Outcome", string(e.Outcome))
	if e.RetryAfterMs > 0 {
		const msPerSecond = 1_000
		w.Header().Set("Retry-After", strconv.FormatInt((e.RetryAfterMs+msPerSecond-1)/msPerSecond, 10))
	}
	WriteJSON(w, status, e)
}

// WriteJSON writes a value as the whole reply.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// The status is out already; a caller that has gone can't be told of a failure.
	_ = enc.Encode(v)
}

// Validator is a request body that checks itself.
type Validator interface {
	Check() error
}

// HandleJSON turns a typed function into a handler that decodes a strict JSON body of at most limit
// bytes and encodes the reply.
func HandleJSON[In Validator, Out any](limit int64, newIn func() In, f func(r *http.Request, in In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in := newIn()
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
		dec.DisallowUnknownFields()
		if err := dec.Decode(in); err != nil {
			WriteError(w, bodyError(err))
			return
		}
		if err := in.Check(); err != nil {
			WriteError(w, err)
			return
		}
		serveReply(w, r, in, f)
	}
}

// HandleGet turns a typed function into a handler without a body.
func HandleGet[Out any](f func(r *http.Request) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		serveReply(w, r, struct{}{}, func(r *http.Request, _ struct{}) (Out, error) { return f(r) })
	}
}

// serveReply calls a typed function and writes what it returns.
func serveReply[In, Out any](w http.ResponseWriter, r *http.Request, in In, f func(*http.Request, In) (Out, error)) {
	out, err := f(r, in)
	if err != nil {
		WriteError(w, err)
		return
	}
	WriteJSON(w, http.StatusOK, out)
}

// bodyError names the fault of a body that can't be decoded.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errors.Wrapf(ErrTooLarge, "limit is %d bytes", tooLarge.Limit)
	}
	return errors.Mark(errors.Wrap(err, "decoding the body"), ErrBadRequest)
}
