package ccworkersim

import (
	"fmt"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"
)

// Checker collects what workers saw and says which promises were broken. It knows nothing of leaders.
type Checker struct {
	// LongRunning, DependsOn and MaxAttempts describe the jobs.
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
	notedDone map[cccell.TaskID]bool
	failures  map[cccell.TaskID]map[int64]bool
	// begun holds the times of all starts, doneAt those of the ends that were as they should be.
	begun  map[cccell.TaskID][]ms
	doneAt map[attemptOf]ms
}

// attemptOf names an attempt.
type attemptOf struct {
	task    cccell.TaskID
	attempt int64
}

// NewChecker returns a judge.
func NewChecker() *Checker {
	return &Checker{
		live: map[cccell.TaskID]map[*Run]*Worker{}, used: map[*Worker]ccwork.Size{}, done: map[cccell.TaskID]bool{},
		notedDone: map[cccell.TaskID]bool{}, failures: map[cccell.TaskID]map[int64]bool{},
		begun: map[cccell.TaskID][]ms{}, doneAt: map[attemptOf]ms{},
	}
}

// breaks notes a broken promise.
func (j *Checker) breaks(format string, args ...any) {
	j.Violations = append(j.Violations, fmt.Sprintf(format, args...))
}

// started judges a start.
func (j *Checker) started(w *Worker, r *Run, now ms) {
	if j == nil {
		return
	}
	j.Starts++
	j.begun[r.Task] = append(j.begun[r.Task], now)
	for other, ow := range j.live[r.Task] {
		j.breaks("Twice: %v attempt %d on %s at %d while attempt %d runs on %s", r.Task, r.Attempt, w.Info.ID, now, other.Attempt, ow.Info.ID)
	}
	if j.notedDone[r.Task] && !j.LongRunning(r.Task) {
		j.breaks("Again: %v attempt %d on %s at %d after it was done and noted", r.Task, r.Attempt, w.Info.ID, now)
	}
	for _, before := range j.DependsOn(r.Task) {
		if !j.done[before] {
			j.breaks("Order: %v at %d before %v was done", r.Task, now, before)
		}
	}
	if len(j.failures[r.Task]) >= j.MaxAttempts && !j.LongRunning(r.Task) {
		j.breaks("Budget: %v attempt %d at %d after %d failures", r.Task, r.Attempt, now, len(j.failures[r.Task]))
	}
	if j.live[r.Task] == nil {
		j.live[r.Task] = map[*Run]*Worker{}
	}
	j.live[r.Task][r] = w
	j.used[w] = j.used[w].Plus(r.Size)
	used := j.used[w]
	if !used.Fits(&w.Info.Capacity) {
		j.breaks("Room: %s holds %+v of %+v at %d", w.Info.ID, used, w.Info.Capacity, now)
	}
}

// ended judges an end.
func (j *Checker) ended(w *Worker, r *Run, how cccell.End, now ms) {
	if j == nil {
		return
	}
	delete(j.live[r.Task], r)
	j.used[w] = j.used[w].Minus(r.Size)
	switch how {
	case cccell.EndDone:
		j.done[r.Task] = true
		j.doneAt[attemptOf{r.Task, r.Attempt}] = now
	case cccell.EndFailed:
		if j.failures[r.Task] == nil {
			j.failures[r.Task] = map[int64]bool{}
		}
		j.failures[r.Task][r.Attempt] = true
	}
}

// noted judges that a worker was told to forget an end.
func (j *Checker) noted(_ *Worker, e *cccell.EndedTask) {
	if j == nil {
		return
	}
	if e.End == cccell.EndDone {
		j.notedDone[e.Task] = true
		at := j.doneAt[attemptOf{e.Task, e.Attempt}]
		for _, begun := range j.begun[e.Task] {
			if begun > at && !j.LongRunning(e.Task) {
				j.breaks("Again: %v started at %d, done at %d, which was noted later", e.Task, begun, at)
			}
		}
	}
}

// lost takes back an end that nobody can ever note, since its worker crashed with it.
func (j *Checker) lost(e *cccell.EndedTask) {
	if j != nil && e.End == cccell.EndFailed {
		delete(j.failures[e.Task], e.Attempt)
	}
}

// Done reports whether a task has ended as it should.
func (j *Checker) Done(t cccell.TaskID) bool {
	return j.done[t]
}

// Live returns the number of attempts at a task that run.
func (j *Checker) Live(t cccell.TaskID) int {
	return len(j.live[t])
}

// Started reports whether any attempt at a task ever began.
func (j *Checker) Started(t cccell.TaskID) bool {
	return len(j.begun[t]) > 0
}
