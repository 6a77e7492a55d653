package ccworkersim

import (
	"fmt"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"
)

// Checker records the events of the workers and checks them against the invariants of the system. It depends on the
// workers only, not on the state of any leader.
type Checker struct {
	// LongRunning reports whether a task runs until it is stopped, DependsOn returns the tasks that must have succeeded
	// before a task may start, and MaxAttempts is the number of failures after which a task may not start again.
	LongRunning func(t cccell.TaskID) bool
	DependsOn   func(t cccell.TaskID) []cccell.TaskID
	MaxAttempts int
	// ShrinkGraceMs is the time for which a start may still use the capacity that a worker had before it shrank.
	ShrinkGraceMs ms
	// Team returns the team of a task and the size that counts against the team's cap. Cap returns the highest cap of the
	// team that may be in force; a value of 0 means no limit. Both are nil if there are no teams.
	Team func(t cccell.TaskID) (team string, size ccwork.Size)
	Cap  func(team string, now ms) ccwork.Size
	// CapOverrun is the part of its cap by which a team may exceed it, in percent; the starting task is allowed besides. 0
	// allows neither.
	CapOverrun int64
	// Violations has one line for each violation of an invariant.
	Violations []string
	// Starts is the number of attempts started.
	Starts int
	live   map[cccell.TaskID]map[*Attempt]*Worker
	used   map[*Worker]ccwork.Size
	done   map[cccell.TaskID]bool
	// ackedDone has the tasks that succeeded and whose end was acknowledged, so that a leader has persisted it.
	ackedDone map[cccell.TaskID]bool
	failures  map[cccell.TaskID]map[int64]bool
	// startedAt has the times of all starts of a task, and doneAt the time at which an attempt succeeded.
	startedAt map[cccell.TaskID][]ms
	doneAt    map[attemptKey]ms
	crashes   map[cccell.TaskID]*taskCrashes
	// failedAttempts counts the attempts that failed, also those whose ends no leader may have persisted.
	failedAttempts map[cccell.TaskID]int
}

// attemptKey identifies an attempt.
type attemptKey struct {
	task    cccell.TaskID
	attempt int64
}

// NewChecker returns a checker without events.
func NewChecker() *Checker {
	return &Checker{
		live: map[cccell.TaskID]map[*Attempt]*Worker{}, used: map[*Worker]ccwork.Size{}, done: map[cccell.TaskID]bool{},
		ackedDone: map[cccell.TaskID]bool{}, failures: map[cccell.TaskID]map[int64]bool{},
		startedAt: map[cccell.TaskID][]ms{}, doneAt: map[attemptKey]ms{}, crashes: map[cccell.TaskID]*taskCrashes{}, failedAttempts: map[cccell.TaskID]int{},
	}
}

// violation records a violation.
func (c *Checker) violation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
}

// onStart records a start and checks it.
func (c *Checker) onStart(w *Worker, a *Attempt, now ms) {
	if c == nil {
		return
	}
	c.Starts++
	c.startedAt[a.Task] = append(c.startedAt[a.Task], now)
	for other, ow := range c.live[a.Task] {
		c.violation("two attempts at once: %v attempt %d started on %s at %d while attempt %d runs on %s", a.Task, a.Attempt, w.Info.ID, now, other.Attempt, ow.Info.ID)
	}
	if c.ackedDone[a.Task] && !c.LongRunning(a.Task) {
		c.violation("started again: %v attempt %d on %s at %d after its success was acknowledged", a.Task, a.Attempt, w.Info.ID, now)
	}
	for _, dep := range c.DependsOn(a.Task) {
		if !c.done[dep] {
			c.violation("started too early: %v at %d before %v succeeded", a.Task, now, dep)
		}
	}
	if len(c.failures[a.Task]) >= c.MaxAttempts && !c.LongRunning(a.Task) {
		c.violation("too many failures: %v attempt %d started at %d after %d failures", a.Task, a.Attempt, now, len(c.failures[a.Task]))
	}
	c.checkCrashes(w, a, now)
	if c.live[a.Task] == nil {
		c.live[a.Task] = map[*Attempt]*Worker{}
	}
	c.live[a.Task][a] = w
	c.checkCap(w, a, now)
	c.used[w] = c.used[w].Plus(a.Size)
	if used := c.used[w]; !w.hasCapacity(used, c.ShrinkGraceMs, now) {
		c.violation("capacity exceeded: %s uses %+v of %+v at %d, before %+v", w.Info.ID, used, w.Info.Capacity, now, w.priorCapacities)
	}
}

// onEnd records an end.
func (c *Checker) onEnd(w *Worker, a *Attempt, end cccell.End, now ms) {
	if c == nil {
		return
	}
	delete(c.live[a.Task], a)
	c.used[w] = c.used[w].Minus(a.Size)
	switch end {
	case cccell.EndDone:
		c.done[a.Task] = true
		c.doneAt[attemptKey{a.Task, a.Attempt}] = now
	case cccell.EndFailed:
		if c.failures[a.Task] == nil {
			c.failures[a.Task] = map[int64]bool{}
		}
		c.failures[a.Task][a.Attempt] = true
		c.failedAttempts[a.Task]++
	}
}

// onAcked records that an end was acknowledged, and checks that the task was not started after a success.
func (c *Checker) onAcked(_ *Worker, e *cccell.EndedTask) {
	if c == nil {
		return
	}
	if e.End == cccell.EndDone {
		c.ackedDone[e.Task] = true
		at := c.doneAt[attemptKey{e.Task, e.Attempt}]
		for _, start := range c.startedAt[e.Task] {
			if start > at && !c.LongRunning(e.Task) {
				c.violation("started again: %v at %d after its success at %d, which was acknowledged later", e.Task, start, at)
			}
		}
	}
}

// onLost discards the failure counted for an end that no leader will persist, because the worker crashed or its lease
// lapsed.
func (c *Checker) onLost(e *cccell.EndedTask) {
	if c != nil && e.End == cccell.EndFailed {
		delete(c.failures[e.Task], e.Attempt)
	}
}

// Done reports whether a task has succeeded.
func (c *Checker) Done(t cccell.TaskID) bool {
	return c.done[t]
}

// Live returns the number of running attempts at a task.
func (c *Checker) Live(t cccell.TaskID) int {
	return len(c.live[t])
}

// WorkerOf returns the ID of a worker that runs a task, "" for none.
func (c *Checker) WorkerOf(t cccell.TaskID) string {
	for _, w := range c.live[t] {
		return w.Info.ID
	}
	return ""
}

// Started reports whether any attempt at a task was started.
func (c *Checker) Started(t cccell.TaskID) bool {
	return len(c.startedAt[t]) > 0
}

// StartCount returns the number of attempts at a task that were started.
func (c *Checker) StartCount(t cccell.TaskID) int {
	return len(c.startedAt[t])
}
