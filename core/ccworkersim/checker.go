package ccworkersim

import (
	"fmt"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"
)

// Checker collects what workers saw and says which promises were broken. It knows nothing of leaders.
type Checker struct {
	// LongRunning, After and MaxAttempts describe the jobs.
	LongRunning func(t cccell.TaskID) bool
	DependsOn   func(t cccell.TaskID) []cccell.TaskID
	MaxAttempts int
	// Violations holds one line for each broken promise.
	Violations []string
	// Starts counts starts, Done tasks that ended as they should.
	Starts int
	live   map[cccell.TaskID]map[*Run]*Worker
	used   map[*Worker]ccwork.Size
	done   map[cccell.TaskID]bool
	// noted holds the ends that were forgotten by a worker on a leader's word.
	ackedDone map[cccell.TaskID]bool
	failures  map[cccell.TaskID]map[int64]bool
	// startedAt holds the times of all starts, doneAt those of the ends that were as they should be.
	startedAt map[cccell.TaskID][]ms
	doneAt    map[attemptKey]ms
}

// attemptKey names an attempt.
type attemptKey struct {
	task    cccell.TaskID
	attempt int64
}

// NewChecker returns a judge.
func NewChecker() *Checker {
	return &Checker{
		live: map[cccell.TaskID]map[*Run]*Worker{}, used: map[*Worker]ccwork.Size{}, done: map[cccell.TaskID]bool{},
		ackedDone: map[cccell.TaskID]bool{}, failures: map[cccell.TaskID]map[int64]bool{},
		startedAt: map[cccell.TaskID][]ms{}, doneAt: map[attemptKey]ms{},
	}
}

// violation notes a broken promise.
func (c *Checker) violation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
}

// onStart judges a start.
func (c *Checker) onStart(w *Worker, r *Run, now ms) {
	if c == nil {
		return
	}
	c.Starts++
	c.startedAt[r.Task] = append(c.startedAt[r.Task], now)
	for other, ow := range c.live[r.Task] {
		c.violation("Twice: %v attempt %d on %s at %d while attempt %d runs on %s", r.Task, r.Attempt, w.Info.ID, now, other.Attempt, ow.Info.ID)
	}
	if c.ackedDone[r.Task] && !c.LongRunning(r.Task) {
		c.violation("Again: %v attempt %d on %s at %d after it was done and noted", r.Task, r.Attempt, w.Info.ID, now)
	}
	for _, dep := range c.DependsOn(r.Task) {
		if !c.done[dep] {
			c.violation("Order: %v at %d before %v was done", r.Task, now, dep)
		}
	}
	if len(c.failures[r.Task]) >= c.MaxAttempts && !c.LongRunning(r.Task) {
		c.violation("Budget: %v attempt %d at %d after %d failures", r.Task, r.Attempt, now, len(c.failures[r.Task]))
	}
	if c.live[r.Task] == nil {
		c.live[r.Task] = map[*Run]*Worker{}
	}
	c.live[r.Task][r] = w
	c.used[w] = c.used[w].Plus(r.Size)
	used := c.used[w]
	if !used.Fits(&w.Info.Capacity) {
		c.violation("Room: %s holds %+v of %+v at %d", w.Info.ID, used, w.Info.Capacity, now)
	}
}

// onEnd judges an end.
func (c *Checker) onEnd(w *Worker, r *Run, end cccell.End, now ms) {
	if c == nil {
		return
	}
	delete(c.live[r.Task], r)
	c.used[w] = c.used[w].Minus(r.Size)
	switch end {
	case cccell.EndDone:
		c.done[r.Task] = true
		c.doneAt[attemptKey{r.Task, r.Attempt}] = now
	case cccell.EndFailed:
		if c.failures[r.Task] == nil {
			c.failures[r.Task] = map[int64]bool{}
		}
		c.failures[r.Task][r.Attempt] = true
	}
}

// onAcked judges that a worker was told to forget an end.
func (c *Checker) onAcked(_ *Worker, e *cccell.EndedTask) {
	if c == nil {
		return
	}
	if e.End == cccell.EndDone {
		c.ackedDone[e.Task] = true
		at := c.doneAt[attemptKey{e.Task, e.Attempt}]
		for _, start := range c.startedAt[e.Task] {
			if start > at && !c.LongRunning(e.Task) {
				c.violation("Again: %v started at %d, done at %d, which was noted later", e.Task, start, at)
			}
		}
	}
}

// onLost takes back an end that nobody can ever note, since its worker crashed with it.
func (c *Checker) onLost(e *cccell.EndedTask) {
	if c != nil && e.End == cccell.EndFailed {
		delete(c.failures[e.Task], e.Attempt)
	}
}

// Done reports whether a task has ended as it should.
func (c *Checker) Done(t cccell.TaskID) bool {
	return c.done[t]
}

// Live returns the number of attempts at a task that run.
func (c *Checker) Live(t cccell.TaskID) int {
	return len(c.live[t])
}

// Started reports whether any attempt at a task ever began.
func (c *Checker) Started(t cccell.TaskID) bool {
	return len(c.startedAt[t]) > 0
}
