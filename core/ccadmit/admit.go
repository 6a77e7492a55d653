// Package ccadmit decides what happens to a submission whose job is not in the store yet: when its tasks start all the
// same, how long the caller waits, and what it is told.
//
// Typical load: the store does not reply for some seconds, or takes a quarter of a second for each call, while callers
// give up after three. Only the store can make an acceptance true, and only callers whose time reaches the end of the
// outage can still be accepted. So the tasks run meanwhile, and the caller waits: a refusal would be untrue once a task
// may have started, and the job of a caller that is accepted in its last moment would have done nothing until then.
package ccadmit

import "coriandercross/core/ccclock"

// ms is an alias that keeps signatures short.
type ms = ccclock.Millis

const (
	// minBeginAfterMs and beginAfterFactor define from which duration of a write the job's tasks start before it: a
	// submission may wait for the write before its own, so that twice the usual duration is no sign of trouble.
	minBeginAfterMs  ms = 25
	beginAfterFactor ms = 2
	// RecheckMs is the interval between two decisions about a submission that waits.
	RecheckMs ms = 40
	// retryBeginMs is the delay before a leader that has not confirmed is asked again to start the job.
	retryBeginMs ms = 200
	// answerMarginMs is the part of the caller's time that is kept for the response to reach it, so that it can act on it.
	answerMarginMs ms = 150
	// inDoubtFraction is the fraction of the caller's time for which a write is retried while no leader runs the job:
	// further retries seldom help, and the caller can use the rest of its time otherwise.
	inDoubtFraction = 0.3
)

// Answer is what a caller is told whose job was not found to be in the store.
type Answer int

const (
	// Unknown means that the job may be accepted already, or may be later.
	Unknown Answer = iota
	// Refused means that the job was not accepted and never will be, unless it is submitted again.
	Refused
)

// Submission is what one process knows of a submission that a caller waits for.
type Submission struct {
	// ArrivedAt is when the submission arrived, BudgetMs the time of the caller from then on.
	ArrivedAt, BudgetMs ms
	// BeginAfterMs is the time from ArrivedAt on after which a leader runs the job, the result of BeginAfter.
	BeginAfterMs ms
	// Returning is true if the caller has used some of its time before: another process may have the job, too.
	Returning bool
	// InDoubt is true once the outcome of a write of this process is unknown.
	InDoubt bool
	// BegunBy is the token of the last leader that has confirmed to run the job, 0 for none.
	BegunBy int64
	// AskedInVain is true if a leader was asked and has not replied: it may run the job.
	AskedInVain bool

	askedAt ms
}

// BeginAfter returns the duration of a write, given the usual one, from which the store counts as slow: tasks start then
// before their job is stored.
func BeginAfter(usualMs ms) ms {
	return minBeginAfterMs + beginAfterFactor*usualMs
}

// BeginDue reports whether the leader with the given token has to be asked to run the job. storeLost is true while this
// process does not reach the store. The caller of BeginDue asks at once if so.
func (s *Submission) BeginDue(token int64, storeLost bool, now ms) bool {
	switch {
	case token == 0 || token == s.BegunBy:
		return false
	case !storeLost && now-s.ArrivedAt < s.BeginAfterMs:
		return false
	case s.askedAt != 0 && now-s.askedAt < retryBeginMs:
		return false
	}
	s.askedAt = now
	return true
}

// AnswerAt returns the time at which the caller gets an answer if the job is not known to be in the store by then. While
// a leader runs the job, that is the end of the caller's time.
func (s *Submission) AnswerAt() ms {
	if s.BegunBy != 0 {
		return s.ArrivedAt + max(s.BudgetMs-answerMarginMs, 0)
	}
	return s.ArrivedAt + ms(inDoubtFraction*float64(s.BudgetMs))
}

// MayHaveBegun reports whether a leader may have started tasks of the job for this process.
func (s *Submission) MayHaveBegun() bool {
	return s.BegunBy != 0 || s.AskedInVain
}

// Answer returns what the caller is told when no write of this process has succeeded. A refusal has to be true
// whatever other processes know: it needs a caller that no other process has seen.
func (s *Submission) Answer() Answer {
	if s.InDoubt || s.MayHaveBegun() || s.Returning {
		return Unknown
	}
	return Refused
}
