package ccwork

import "github.com/cockroachdb/errors"

// Outcome is what is known about the execution of a request or a task.
type Outcome string

const (
	// Ran means that the work was executed and its response is complete.
	Ran Outcome = "Ran"
	// NotRun means that the work was not executed, so that a retry is safe.
	NotRun Outcome = "NotRun"
	// Unknown means that a worker may have received the work.
	Unknown Outcome = "Unknown"
)

// Errors that say why work was not run, or why its outcome is unknown.
var (
	// ErrBadOutcome reports an unknown outcome.
	ErrBadOutcome = errors.New("outcome is none of Ran, NotRun, Unknown")
	// ErrDeadline reports work that can't start before its deadline.
	ErrDeadline = errors.New("work can't start before its deadline")
	// ErrOverload reports work that was refused to protect work accepted earlier.
	ErrOverload = errors.New("too much work is waiting")
	// ErrQuota reports work beyond the quota of its team.
	ErrQuota = errors.New("team quota exceeded")
	// ErrImpossible reports work for which no worker is large enough.
	ErrImpossible = errors.New("no worker is large enough")
	// ErrNoOwner reports that no process owns a worker that could take the work.
	ErrNoOwner = errors.New("no process owns a suitable worker")
	// ErrFenced reports that the authority over a worker ended before the work was sent.
	ErrFenced = errors.New("ownership of the worker ended")
	// ErrDraining reports that the process is draining and takes no new work.
	ErrDraining = errors.New("process is draining")
	// ErrCancelled reports that the caller cancelled the work.
	ErrCancelled = errors.New("work was cancelled")
	// ErrInProgress reports that a request with the same ID is being executed.
	ErrInProgress = errors.New("request with this ID is in progress")
	// ErrTruncated reports an incomplete response.
	ErrTruncated = errors.New("response was truncated")
	// ErrRefused reports that the worker refused the work.
	ErrRefused = errors.New("worker refused the work")
	// ErrStore reports that the store could not be written.
	ErrStore = errors.New("store could not be written")
	// ErrUnknownKind reports a team or kind that is not in the configuration.
	ErrUnknownKind = errors.New("no such team or kind in the configuration")
)

// Check returns ErrBadOutcome for an unknown outcome.
func (o Outcome) Check() error {
	switch o {
	case Ran, NotRun, Unknown:
		return nil
	}
	return errors.Wrapf(ErrBadOutcome, "%q", string(o))
}

// reasons maps the names used on the wire to the errors.
var reasons = map[string]error{
	"Deadline":    ErrDeadline,
	"Overload":    ErrOverload,
	"Quota":       ErrQuota,
	"Impossible":  ErrImpossible,
	"NoOwner":     ErrNoOwner,
	"Fenced":      ErrFenced,
	"Draining":    ErrDraining,
	"Cancelled":   ErrCancelled,
	"InProgress":  ErrInProgress,
	"Truncated":   ErrTruncated,
	"Refused":     ErrRefused,
	"Store":       ErrStore,
	"UnknownKind": ErrUnknownKind,
}

// ReasonOf returns the wire name of err: "" for nil and "Internal" for an error that has none.
func ReasonOf(err error) string {
	if err == nil {
		return ""
	}
	for name, reason := range reasons {
		if errors.Is(err, reason) {
			return name
		}
	}
	return "Internal"
}

// ErrInternal stands for a reason that this release does not know.
var ErrInternal = errors.New("internal error")

// ErrorOf returns the error with the given wire name: nil for "" and ErrInternal for an unknown name.
func ErrorOf(name string) error {
	if name == "" {
		return nil
	}
	if err, ok := reasons[name]; ok {
		return err
	}
	return ErrInternal
}

// Result is the result of one request.
type Result struct {
	// Outcome says whether the request ran.
	Outcome Outcome
	// Reason is the wire name of the error, or "" if the request ran without error.
	Reason string
	// Failed is true if the request ran and reported failure.
	Failed bool
	// Worker is the ID of the worker that received the request.
	Worker string
	// Answer is the complete response; empty unless Outcome is Ran.
	Answer []byte
	// RetryAfterMs is the time after which a retry may succeed.
	RetryAfterMs int64
}

// NotRunResult returns a result with the outcome NotRun and err as the reason.
func NotRunResult(err error) Result {
	return Result{Outcome: NotRun, Reason: ReasonOf(err)}
}

// UnknownResult returns a result with the outcome Unknown and err as the reason.
func UnknownResult(err error) Result {
	return Result{Outcome: Unknown, Reason: ReasonOf(err)}
}
