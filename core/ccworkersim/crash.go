package ccworkersim

import "coriandercross/core/cccell"

const (
	// crashBudget is the number of workers that a task may crash before its further starts are counted.
	crashBudget = 3
	// maxStartsAfterCrashes is the number of times that a task may be started after that.
	maxStartsAfterCrashes = 2
)

// taskCrashes counts the crashes of workers that were running a task.
type taskCrashes struct {
	// under counts all crashes; caused counts those that the task caused.
	under, caused int
	// startsAfter counts the starts since caused reached crashBudget.
	startsAfter int
}

// crashTime returns when an attempt at a task that starts now crashes the worker, or 0 if it doesn't.
func (w *Worker) crashTime(t cccell.TaskID, now ms) ms {
	if w.Crashes == nil {
		return 0
	}
	after, crashes := w.Crashes(t)
	if !crashes {
		return 0
	}
	return now + max(after, 1)
}

// crashDue crashes the worker if an attempt was due to crash it by the given time, and reports whether it did. Of several
// such attempts the first is the cause.
func (w *Worker) crashDue(now ms) bool {
	var cause *Attempt
	for _, a := range w.sortedAttempts() {
		// An attempt ends before its crash if its run time is shorter or the lease lapses.
		if a.CrashesAt == 0 || a.CrashesAt > now || (a.EndsAt != 0 && a.EndsAt < a.CrashesAt) || w.Clock(a.CrashesAt) > w.leaseUntil {
			continue
		}
		if cause == nil || a.CrashesAt < cause.CrashesAt {
			cause = a
		}
	}
	if cause == nil {
		return false
	}
	w.endDue(cause.CrashesAt)
	w.Checker.onCause(cause)
	w.endProcess(cause.CrashesAt)
	if w.OnCrash != nil {
		w.OnCrash()
	}
	return true
}

// crashesOf returns the counts of a task, which it adds if there are none.
func (c *Checker) crashesOf(t cccell.TaskID) *taskCrashes {
	if c.crashes[t] == nil {
		c.crashes[t] = &taskCrashes{}
	}
	return c.crashes[t]
}

// onCause records that an attempt crashes its worker.
func (c *Checker) onCause(a *Attempt) {
	if c != nil {
		c.crashesOf(a.Task).caused++
	}
}

// onCrash records that the worker that ran an attempt has crashed, whatever the cause.
func (c *Checker) onCrash(a *Attempt) {
	if c != nil {
		c.crashesOf(a.Task).under++
	}
}

// checkCrashes checks a start of a task that may have crashed workers.
func (c *Checker) checkCrashes(w *Worker, a *Attempt, now ms) {
	n := c.crashes[a.Task]
	if n == nil || n.caused < crashBudget {
		return
	}
	if n.startsAfter++; n.startsAfter == maxStartsAfterCrashes+1 {
		c.violation("crash budget exceeded: %v attempt %d on %s at %d is start number %d after it crashed %d workers", a.Task, a.Attempt, w.Info.ID, now, n.startsAfter, crashBudget)
	}
}

// CrashedUnder returns the number of times that a worker crashed while it ran a task, and how often the task was the
// cause.
func (c *Checker) CrashedUnder(t cccell.TaskID) (under, caused int) {
	if n := c.crashes[t]; n != nil {
		return n.under, n.caused
	}
	return 0, 0
}

// Failures returns the number of attempts at a task that have failed. It includes those whose ends may be unknown to
// all leaders.
func (c *Checker) Failures(t cccell.TaskID) int {
	return c.failedAttempts[t]
}
