// Package ccworkersim models workers by their published rules, and judges what they saw. Tests and stand-ins use it; it is free of
// sockets and clocks.
package ccworkersim

import (
	"sort"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
)

type ms = ccclock.Millis

// Run is one attempt that a worker has begun.
type Run struct {
	Task    cccell.TaskID
	Attempt int64
	Size    ccwork.Size
	// StartedAt and EndsAt are points of the test's time; a run that lasts has EndsAt 0.
	StartedAt, EndsAt ms
	// End is how the run ends at EndsAt.
	End        cccell.End
	Checkpoint string
}

// Worker is a worker that starts whatever it is told to. Its methods take the test's time.
type Worker struct {
	Info cccell.WorkerInfo
	// MaxLeaseMs bounds a lease. ClockOffset is the worker's clock at time 0, Rate how fast it goes.
	MaxLeaseMs  int64
	ClockOffset int64
	Rate        float64
	// Plan says how long a task runs and how it ends; 0 lasts.
	Plan func(t cccell.TaskID, attempt int64) (runMs ms, end cccell.End, size ccwork.Size)
	// Checker may be nil.
	Checker *Checker

	token  int64
	until  int64
	runs   map[cccell.TaskID]map[int64]*Run
	over   map[cccell.TaskID]int64
	ended  []cccell.EndedTask
	number int64
	// unsure is the number of the last end that was listed before the lease lapsed.
	unsure int64
	down   bool
}

// Clock returns the worker's own clock.
func (w *Worker) Clock(now ms) int64 {
	rate := w.Rate
	if rate == 0 {
		rate = 1
	}
	return w.ClockOffset + int64(float64(now)*rate)
}

// Up reports whether the worker's process runs.
func (w *Worker) Up() bool {
	return !w.down
}

// Crash ends the process and all that runs.
func (w *Worker) Crash(now ms) {
	w.AdvanceTo(now)
	w.down = true
	for _, list := range w.runs {
		for _, r := range list {
			w.Checker.ended(w, r, cccell.EndVanished, now)
		}
	}
	for i := range w.ended {
		w.Checker.lost(&w.ended[i])
	}
	w.runs, w.over, w.ended = nil, nil, nil
}

// Restart begins a new life: it knows nothing of the one before.
func (w *Worker) Restart(now ms) {
	if !w.down {
		w.Crash(now)
	}
	w.down = false
	w.token, w.until, w.number, w.unsure = 0, 0, 0, 0
	w.Info.IncarnationMs += int64(now) + 1
}

// AdvanceTo carries out what time brings: ends, and the lapse of the lease.
func (w *Worker) AdvanceTo(now ms) {
	if w.down {
		return
	}
	for _, r := range w.sorted() {
		if r.EndsAt != 0 && r.EndsAt <= now && w.Clock(r.EndsAt) <= w.until {
			w.finish(r, r.End, r.EndsAt)
		}
	}
	if w.Clock(now) > w.until {
		// What is noted after the lease has lapsed does not count as noted: nobody could rely on it meanwhile.
		for i := range w.ended {
			w.unsure = max(w.unsure, w.ended[i].Number)
			w.Checker.lost(&w.ended[i])
		}
		for _, r := range w.sorted() {
			w.finish(r, cccell.EndLapsed, now)
		}
	}
}

// sorted returns the runs in a fixed order.
func (w *Worker) sorted() []*Run {
	var out []*Run
	for _, list := range w.runs {
		for _, r := range list {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Attempt < out[b].Attempt })
	return out
}

// finish ends a run and lists its end.
func (w *Worker) finish(r *Run, how cccell.End, now ms) {
	delete(w.runs[r.Task], r.Attempt)
	w.over[r.Task] = max(w.over[r.Task], r.Attempt)
	w.number++
	w.ended = append(w.ended, cccell.EndedTask{Number: w.number, Task: r.Task, Attempt: r.Attempt, End: how, Checkpoint: r.Checkpoint})
	w.Checker.ended(w, r, how, now)
}

// refuses takes in what every call carries: one that does not reach the process, is meant for another life, or comes from an
// earlier leader does nothing.
func (w *Worker) refuses(c *cccell.OrderHeader, now ms) (cccell.Reply, bool) {
	if w.down {
		return cccell.Reply{Outcome: cccell.Unsent, Sent: now, Received: now}, true
	}
	w.AdvanceTo(now)
	switch {
	case c.IncarnationMs != w.Info.IncarnationMs:
		return w.reply(now, cccell.Refused, cccell.OtherIncarnation), true
	case c.Token < w.token:
		return w.reply(now, cccell.Refused, cccell.Fenced), true
	}
	w.token = c.Token
	return cccell.Reply{}, false
}

// extend takes in the end of a lease.
func (w *Worker) extend(until int64, now ms) {
	w.until = max(w.until, min(until, w.Clock(now)+w.MaxLeaseMs))
}

// reply returns an answer.
func (w *Worker) reply(now ms, o cccell.Outcome, r cccell.Reason) cccell.Reply {
	return cccell.Reply{Outcome: o, Reason: r, ClockMs: w.Clock(now), IncarnationMs: w.Info.IncarnationMs, Sent: now, Received: now}
}

// Start begins an attempt.
func (w *Worker) Start(o *cccell.StartOrder, now ms) cccell.Reply {
	if r, refused := w.refuses(&o.OrderHeader, now); refused {
		return r
	}
	if o.LeaseUntilMs <= w.Clock(now) {
		return w.reply(now, cccell.Refused, cccell.LateLease)
	}
	w.extend(o.LeaseUntilMs, now)
	if w.runs[o.Task][o.Attempt] != nil {
		return w.reply(now, cccell.Executed, "")
	}
	if over, ok := w.over[o.Task]; ok && o.Attempt <= over {
		return w.reply(now, cccell.Refused, cccell.OldAttempt)
	}
	runMs, end, size := w.Plan(o.Task, o.Attempt)
	r := &Run{Task: o.Task, Attempt: o.Attempt, Size: size, StartedAt: now, End: end, Checkpoint: o.Checkpoint}
	if runMs > 0 {
		r.EndsAt = now + runMs
	}
	if w.runs == nil {
		w.runs, w.over = map[cccell.TaskID]map[int64]*Run{}, map[cccell.TaskID]int64{}
	}
	if w.runs[o.Task] == nil {
		w.runs[o.Task] = map[int64]*Run{}
	}
	w.runs[o.Task][o.Attempt] = r
	w.Checker.started(w, r, now)
	return w.reply(now, cccell.Executed, "")
}

// Stop ends an attempt, or makes sure that it never begins.
func (w *Worker) Stop(o *cccell.StopOrder, now ms) cccell.Reply {
	if r, refused := w.refuses(&o.OrderHeader, now); refused {
		return r
	}
	if r := w.runs[o.Task][o.Attempt]; r != nil {
		w.finish(r, cccell.EndStopped, now)
		return w.reply(now, cccell.Executed, "")
	}
	if w.over == nil {
		w.runs, w.over = map[cccell.TaskID]map[int64]*Run{}, map[cccell.TaskID]int64{}
	}
	w.over[o.Task] = max(w.over[o.Task], o.Attempt)
	return w.reply(now, cccell.Executed, "")
}

// Poll renews the lease, forgets ends, and returns the lists.
func (w *Worker) Poll(o *cccell.PollOrder, now ms) (cccell.Reply, *cccell.TaskLists) {
	if r, refused := w.refuses(&o.OrderHeader, now); refused {
		return r, &cccell.TaskLists{}
	}
	if o.LeaseUntilMs > 0 {
		w.extend(o.LeaseUntilMs, now)
	}
	for len(w.ended) > 0 && w.ended[0].Number <= o.AckedEnd {
		if w.ended[0].Number > w.unsure {
			w.Checker.noted(w, &w.ended[0])
		}
		w.ended = w.ended[1:]
	}
	lists := &cccell.TaskLists{Ended: append([]cccell.EndedTask(nil), w.ended...)}
	for _, r := range w.sorted() {
		t := cccell.RunningTask{Task: r.Task, Attempt: r.Attempt, Percent: 100}
		if r.EndsAt > 0 {
			t.Percent = int(100 * (now - r.StartedAt) / (r.EndsAt - r.StartedAt))
		}
		lists.Running = append(lists.Running, t)
	}
	return w.reply(now, cccell.Executed, ""), lists
}
