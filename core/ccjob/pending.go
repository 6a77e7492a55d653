package ccjob

import (
	"slices"
)

// TakeCompletions returns the completions to be written. If the write fails, the caller must give them back by
// ReturnCompletions.
func (d *Driver) TakeCompletions() []Completion {
	out := d.completions
	d.completions = nil
	return out
}

// ReturnCompletions gives back completions that were not written.
func (d *Driver) ReturnCompletions(completions []Completion) {
	d.completions = append(completions, d.completions...)
}

// CompletionsPersisted marks the tasks whose completions were written as ones that the workers may forget.
func (d *Driver) CompletionsPersisted(completions []Completion) {
	for _, e := range completions {
		r := d.jobs[e.Key]
		if r != nil && e.Index >= 0 {
			d.forgets[TaskID(e.Key, e.Index, r.tasks[e.Index].attempt)] = true
		}
	}
}

// TakeForget returns the ended tasks that the workers may forget.
func (d *Driver) TakeForget() []string {
	return drainSet(&d.forgets)
}

// TakeStops returns the tasks to be stopped. A task that later reports still show as running is returned again.
func (d *Driver) TakeStops() []string {
	return drainSet(&d.stops)
}

// drainSet returns the sorted members of a set and empties it.
func drainSet(set *map[string]bool) []string {
	if len(*set) == 0 {
		return nil
	}
	out := make([]string, 0, len(*set))
	for id := range *set {
		out = append(out, id)
	}
	slices.Sort(out)
	*set = map[string]bool{}
	return out
}

// Counts is the state of a driver in a state dump.
type Counts struct {
	Jobs    int
	Waiting int
	Placing int
	Placed  int
	// Doubtful is the number of tasks in doubt. It is printed under its field name.
	Doubtful int
}

// Counts returns the number of jobs, and of tasks in each phase except ended.
func (d *Driver) Counts() Counts {
	c := Counts{Jobs: len(d.jobs)}
	for _, r := range d.jobs {
		for i := range r.tasks {
			switch r.tasks[i].phase {
			case waiting:
				c.Waiting++
			case placing:
				c.Placing++
			case placed:
				c.Placed++
			case inDoubt:
				c.Doubtful++
			}
		}
	}
	return c
}

// Active reports whether the driver needs a round of messages now. It must be called once in each round.
func (d *Driver) Active() bool {
	if !d.loaded {
		return false
	}
	if d.hasWork() {
		d.idleRounds = 0
		return true
	}
	d.idleRounds++
	return d.idleRounds <= lingerRounds
}

// hasWork reports whether a job has not ended, tasks of an ended job may still run, or anything waits to be sent or
// written.
func (d *Driver) hasWork() bool {
	if len(d.completions)+len(d.forgets)+len(d.stops) > 0 {
		return true
	}
	for _, r := range d.jobs {
		if !r.jobEnded && !r.complete() || r.jobEnded && r.mayRun() {
			return true
		}
	}
	return false
}

// complete reports whether every task has ended.
func (r *jobRun) complete() bool {
	for i := range r.tasks {
		if r.tasks[i].phase != ended {
			return false
		}
	}
	return true
}

// mayRun reports whether a task of the job runs or may run.
func (r *jobRun) mayRun() bool {
	for i := range r.tasks {
		if p := r.tasks[i].phase; p != ended && p != waiting {
			return true
		}
	}
	return false
}
