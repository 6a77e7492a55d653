package ccwork

import "github.com/cockroachdb/errors"

// Outcome says what is known of the execution of a piece of work.
type Outcome string

const (
	// Ran means that the work was executed and its answer is complete.
	Ran Outcome = "Ran"
	// NotRun means that nobody executed the work, so that a retry is safe.
	NotRun Outcome = "NotRun"
	// Unknown means that a worker may have received the work.
	Unknown Outcome = "Unknown"
)

// Errors that say why work was not run, or why its outcome is unknown.
var (
	// ErrBadOutcome reports an outcome outside the three.
	ErrBadOutcome = errors.New("outcome is none of Ran, NotRun, Unknown")
	// ErrDeadline reports work that can't start before its deadline.
	ErrDeadline = errors.New("work can't start before its deadline")
	// ErrOverload reports work refused to protect work that was accepted before.
	ErrOverload = errors.New("too much work is waiting")
	// ErrQuota reports work beyond its team's quota.
	ErrQuota = errors.New("quota of the team is used up")
	// ErrImpossible reports work that no worker is large enough for.
	ErrImpossible = errors.New("no worker is large enough")
	// ErrNoOwner reports that no process owns a worker that could take the work.
	ErrNoOwner = errors.New("no process owns a fitting worker")
	// ErrFenced reports that the authority over a worker ended before the work was sent.
	ErrFenced = errors.New("ownership of the worker ended")
	// ErrDraining reports that the process is stopping and takes no new work.
	ErrDraining = errors.New("process is draining")
	// ErrCancelled reports that the caller withdrew the work.
	ErrCancelled = errors.New("work was cancelled")
	// ErrInProgress reports that the same request ID is being executed.
	ErrInProgress = errors.New("request with this ID is in progress")
	// ErrTruncated reports an answer without its end.
	ErrTruncated = errors.New("answer was truncated")
	// ErrRefused reports that the worker turned the work away.
	ErrRefused = errors.New("worker refused the work")
	// ErrStore reports that the store could not be written.
	ErrStore = errors.New("store could not be written")
	// ErrUnknownKind reports a team or kind that the configuration does not have.
	ErrUnknownKind = errors.New("no such team or kind in the configuration")
)

// Check returns ErrBadOutcome for any other text.
func (o Outcome) Check() error {
	switch o {
	case Ran, NotRun, Unknown:
		return nil
	}
	return errors.Wrapf(ErrBadOutcome, "%q", string(o))
}

// reasons maps the names used on wires to the errors.
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

// ReasonOf returns the wire name of err, "" for nil and "Internal" for any other error.
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

// ErrorOf returns the error with the given wire name, nil for "".
func ErrorOf(name string) error {
	if name == "" {
		return nil
	}
	if err, ok := reasons[name]; ok {
		return err
	}
	return ErrInternal
}

// Result is the outcome of one request.
type Result struct {
	// Outcome is one of the three.
	Outcome Outcome
	// Reason is the wire name of an error, "" when the work ran without fault.
	Reason string
	// Failed is true when the work ran and reported failure.
	Failed bool
	// Worker is the ID of the worker that received the work.
	Worker string
	// Answer is the whole answer; empty unless Outcome is Ran.
	Answer []byte
	// RetryAfterMs is the time after which a retry can help.
	RetryAfterMs int64
}

// NotRunResult returns a NotRun result with err as its reason.
func NotRunResult(err error) Result {
	return Result{Outcome: NotRun, Reason: ReasonOf(err)}
}

// UnknownResult returns an Unknown result with err as its reason.
func UnknownResult(err error) Result {
	return Result{Outcome: Unknown, Reason: ReasonOf(err)}
}
