package ccjob

import (
	"slices"
)

// TakeCompletions returns the endings to be written, which the caller hands back by ReturnCompletions when
// the write failed.
func (d *Driver) TakeCompletions() []Completion {
	out := d.endings
	d.endings = nil
	return out
}

// ReturnCompletions takes back endings that could not be written.
func (d *Driver) ReturnCompletions(endings []Completion) {
	d.endings = append(endings, d.endings...)
}

// CompletionsPersisted lets the workers forget tasks whose endings were written.
func (d *Driver) CompletionsPersisted(endings []Completion) {
	for _, e := range endings {
		r := d.jobs[e.Key]
		if r != nil && e.Index >= 0 {
			d.forget[TaskID(e.Key, e.Index, r.tasks[e.Index].try)] = true
		}
	}
}

// TakeForget returns the ended tasks that workers may forget.
func (d *Driver) TakeForget() []string {
	return take(&d.forget)
}

// TakeStops returns the tasks to be stopped. A task that is still seen later comes again.
func (d *Driver) TakeStops() []string {
	return take(&d.stops)
}

// take empties a set.
func take(set *map[string]bool) []string {
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

// Counts is a driver in a state dump.
type Counts struct {
	Jobs     int
	Waiting  int
	Placing  int
	Placed   int
	Doubtful int
}

// Counts returns the number of tasks in each phase.
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
			case doubtful:
				c.Doubtful++
			}
		}
	}
	return c
}

// Active reports whether a round is worth its messages. It is called once in each round.
func (d *Driver) Active() bool {
	if !d.loaded {
		return false
	}
	if d.busy() {
		d.idleRounds = 0
		return true
	}
	d.idleRounds++
	return d.idleRounds <= settleRounds
}

// busy reports whether anything is under way or waits.
func (d *Driver) busy() bool {
	if len(d.endings)+len(d.forget)+len(d.stops) > 0 {
		return true
	}
	for _, r := range d.jobs {
		if !r.over && !r.complete() || r.over && r.running() {
			return true
		}
	}
	return false
}

// complete reports whether every task has ended.
func (r *run) complete() bool {
	for i := range r.tasks {
		if r.tasks[i].phase != ended {
			return false
		}
	}
	return true
}

// running reports whether a task runs, or may run.
func (r *run) running() bool {
	for i := range r.tasks {
		if p := r.tasks[i].phase; p != ended && p != waiting {
			return true
		}
	}
	return false
}
