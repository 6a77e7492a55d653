package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	runs  map[string][]*runRecord // By task.
	open  map[string]*runRecord   // By worker, task and attempt.
	// broken lists the breaks of rules.
	broken []string
}

// runRecord is one run of a task.
type runRecord struct {
	task, worker string
	attempt      int64
	began, ended time.Time
	how          string
	// listed is true if the worker lists the end, noted if last_seen has reached it. lapsed is true if the lease of the worker
	// ended between the two.
	listed, noted, lapsed bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, runs: map[string][]*runRecord{}, open: map[string]*runRecord{}}, nil
}

// add writes a line.
func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(kind, format, args...)
}

// write writes a line. The caller holds mu.
func (r *record) write(kind, format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %-9s %s\n", time.Since(r.began).Seconds(), kind, fmt.Sprintf(format, args...))
}

func openKey(worker string, k runKey) string {
	return fmt.Sprintf("%s %s %d", worker, k.task, k.attempt)
}

// runBegan records the begin of a run.
func (r *record) runBegan(worker string, k runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &runRecord{task: k.task, worker: worker, attempt: k.attempt, began: time.Now()}
	r.runs[k.task] = append(r.runs[k.task], run)
	r.open[openKey(worker, k)] = run
	r.write("run", "%s attempt %d begins on %s", k.task, k.attempt, worker)
}

// runEnded records the end of a run. listed is false if the worker does not list it.
func (r *record) runEnded(worker string, k runKey, how string, listed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.open[openKey(worker, k)]
	if run == nil || run.how != "" {
		return
	}
	run.ended, run.how, run.listed = time.Now(), how, listed
	r.write("end", "%s attempt %d on %s: %s", k.task, k.attempt, worker, how)
}

// endNoted records that last_seen has reached the end of a run. lapsedAt is the last time at which the worker had no lease.
func (r *record) endNoted(worker string, k runKey, lapsedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.open[openKey(worker, k)]; run != nil && !run.noted {
		run.noted, run.lapsed = true, lapsedAt.After(run.ended)
	}
}

// breaks records that a rule was broken.
func (r *record) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("BROKEN", format, args...)
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// checkTwice applies the rule TWICE, but for its part on machines in touch.
func (r *record) checkTwice() {
	type found struct{ first, second *runRecord }
	var again, beside []found
	r.mu.Lock()
	for _, runs := range r.runs {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				switch {
				case a.how == "" || b.began.Before(a.ended):
					beside = append(beside, found{a, b})
				case a.how == "done" && a.noted && !a.lapsed:
					again = append(again, found{a, b})
				}
			}
		}
	}
	r.mu.Unlock()
	byTask := func(a, b found) int { return strings.Compare(a.first.task, b.first.task) }
	slices.SortFunc(again, byTask)
	slices.SortFunc(beside, byTask)
	at := func(t time.Time) float64 { return t.Sub(r.began).Seconds() }
	for _, f := range again {
		r.breaks("TWICE: %s attempt %d ended done on %s at %.3f, which was taken note of, and attempt %d began on %s at %.3f",
			f.first.task, f.first.attempt, f.first.worker, at(f.first.ended), f.second.attempt, f.second.worker, at(f.second.began))
	}
	for _, f := range beside {
		r.breaks("TWICE: %s attempt %d ran on %s from %.3f to %.3f, and attempt %d began on %s at %.3f",
			f.first.task, f.first.attempt, f.first.worker, at(f.first.began), at(f.first.ended), f.second.attempt, f.second.worker, at(f.second.began))
	}
}

// count returns the number of tasks that have begun, that run now, and that have ended done.
func (r *record) count() (begun, running, done int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runs := range r.runs {
		begun++
		isDone := false
		for _, run := range runs {
			if run.how == "" {
				running++
			}
			isDone = isDone || run.how == "done"
		}
		if isDone {
			done++
		}
	}
	return begun, running, done
}

// checkLasts applies the part of the rule LOST that holds at any time of the day for tasks that last: from 6 s after its last
// run, a task must not be without a run for 3 s. until is the end of the play.
func (r *record) checkLasts(task string, until time.Time) {
	const mayRest, mayMiss = 6 * time.Second, 3 * time.Second
	r.mu.Lock()
	runs := slices.Clone(r.runs[task])
	r.mu.Unlock()
	for i, run := range runs {
		if run.how == "" {
			continue
		}
		next := until
		if i+1 < len(runs) {
			next = runs[i+1].began
		}
		if gap := next.Sub(run.ended); gap > mayRest+mayMiss {
			r.breaks("LOST: %s ended %s at %.3f and did not run for %.3f s, with capacity for it", task, run.how, run.ended.Sub(r.began).Seconds(), gap.Seconds())
		}
	}
}

// begun returns how many runs of a task have begun.
func (r *record) begun(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs[task])
}

// ended returns how many runs of a task have ended in a way.
func (r *record) ended(task, how string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, run := range r.runs[task] {
		if run.how == how {
			n++
		}
	}
	return n
}

// workerOf returns the worker of the first run of a task, "" if none has begun.
func (r *record) workerOf(task string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if runs := r.runs[task]; len(runs) > 0 {
		return runs[0].worker
	}
	return ""
}
