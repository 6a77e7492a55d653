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

	token        int64
	leaseUntil   int64
	runs         map[cccell.TaskID]map[int64]*Run
	highestEnded map[cccell.TaskID]int64
	ended        []cccell.EndedTask
	lastNumber   int64
	// lastUncertain is the number of the last end that was listed before the lease lapsed.
	lastUncertain int64
	down          bool
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
			w.Checker.onEnd(w, r, cccell.EndVanished, now)
		}
	}
	for i := range w.ended {
		w.Checker.onLost(&w.ended[i])
	}
	w.runs, w.highestEnded, w.ended = nil, nil, nil
}

// Restart begins a new life: it knows nothing of the one before.
func (w *Worker) Restart(now ms) {
	if !w.down {
		w.Crash(now)
	}
	w.down = false
	w.token, w.leaseUntil, w.lastNumber, w.lastUncertain = 0, 0, 0, 0
	w.Info.IncarnationMs += int64(now) + 1
}

// AdvanceTo carries out what time brings: ends, and the lapse of the lease.
func (w *Worker) AdvanceTo(now ms) {
	if w.down {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.EndsAt != 0 && r.EndsAt <= now && w.Clock(r.EndsAt) <= w.leaseUntil {
			w.endRun(r, r.End, r.EndsAt)
		}
	}
	if w.Clock(now) > w.leaseUntil {
		// What is noted after the lease has lapsed does not count as noted: nobody could rely on it meanwhile.
		for i := range w.ended {
			w.lastUncertain = max(w.lastUncertain, w.ended[i].Number)
			w.Checker.onLost(&w.ended[i])
		}
		for _, r := range w.sortedRuns() {
			w.endRun(r, cccell.EndLapsed, now)
		}
	}
}

// sortedRuns returns the runs in a fixed order.
func (w *Worker) sortedRuns() []*Run {
	var out []*Run
	for _, list := range w.runs {
		for _, r := range list {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Attempt < out[b].Attempt })
	return out
}

// endRun ends a run and lists its end.
func (w *Worker) endRun(r *Run, end cccell.End, now ms) {
	delete(w.runs[r.Task], r.Attempt)
	w.highestEnded[r.Task] = max(w.highestEnded[r.Task], r.Attempt)
	w.lastNumber++
	w.ended = append(w.ended, cccell.EndedTask{Number: w.lastNumber, Task: r.Task, Attempt: r.Attempt, End: end, Checkpoint: r.Checkpoint})
	w.Checker.onEnd(w, r, end, now)
}

// checkCall takes in what every call carries: one that does not reach the process, is meant for another life, or comes from an
// earlier leader does nothing.
func (w *Worker) checkCall(c *cccell.OrderHeader, now ms) (cccell.Reply, bool) {
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

// extendLease takes in the end of a lease.
func (w *Worker) extendLease(until int64, now ms) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.Clock(now)+w.MaxLeaseMs))
}

// reply returns an answer.
func (w *Worker) reply(now ms, o cccell.Outcome, r cccell.Reason) cccell.Reply {
	return cccell.Reply{Outcome: o, Reason: r, ClockMs: w.Clock(now), IncarnationMs: w.Info.IncarnationMs, Sent: now, Received: now}
}

// Start begins an attempt.
func (w *Worker) Start(o *cccell.StartOrder, now ms) cccell.Reply {
	if r, refused := w.checkCall(&o.OrderHeader, now); refused {
		return r
	}
	if o.LeaseUntilMs <= w.Clock(now) {
		return w.reply(now, cccell.Refused, cccell.LateLease)
	}
	w.extendLease(o.LeaseUntilMs, now)
	if w.runs[o.Task][o.Attempt] != nil {
		return w.reply(now, cccell.Executed, "")
	}
	if over, ok := w.highestEnded[o.Task]; ok && o.Attempt <= over {
		return w.reply(now, cccell.Refused, cccell.OldAttempt)
	}
	runMs, end, size := w.Plan(o.Task, o.Attempt)
	r := &Run{Task: o.Task, Attempt: o.Attempt, Size: size, StartedAt: now, End: end, Checkpoint: o.Checkpoint}
	if runMs > 0 {
		r.EndsAt = now + runMs
	}
	if w.runs == nil {
		w.runs, w.highestEnded = map[cccell.TaskID]map[int64]*Run{}, map[cccell.TaskID]int64{}
	}
	if w.runs[o.Task] == nil {
		w.runs[o.Task] = map[int64]*Run{}
	}
	w.runs[o.Task][o.Attempt] = r
	w.Checker.onStart(w, r, now)
	return w.reply(now, cccell.Executed, "")
}

// Stop ends an attempt, or makes sure that it never begins.
func (w *Worker) Stop(o *cccell.StopOrder, now ms) cccell.Reply {
	if r, refused := w.checkCall(&o.OrderHeader, now); refused {
		return r
	}
	if r := w.runs[o.Task][o.Attempt]; r != nil {
		w.endRun(r, cccell.EndStopped, now)
		return w.reply(now, cccell.Executed, "")
	}
	if w.highestEnded == nil {
		w.runs, w.highestEnded = map[cccell.TaskID]map[int64]*Run{}, map[cccell.TaskID]int64{}
	}
	w.highestEnded[o.Task] = max(w.highestEnded[o.Task], o.Attempt)
	return w.reply(now, cccell.Executed, "")
}

// Poll renews the lease, forgets ends, and returns the lists.
func (w *Worker) Poll(o *cccell.PollOrder, now ms) (cccell.Reply, *cccell.TaskLists) {
	if r, refused := w.checkCall(&o.OrderHeader, now); refused {
		return r, &cccell.TaskLists{}
	}
	if o.LeaseUntilMs > 0 {
		w.extendLease(o.LeaseUntilMs, now)
	}
	for len(w.ended) > 0 && w.ended[0].Number <= o.AckedEnd {
		if w.ended[0].Number > w.lastUncertain {
			w.Checker.onAcked(w, &w.ended[0])
		}
		w.ended = w.ended[1:]
	}
	lists := &cccell.TaskLists{Ended: append([]cccell.EndedTask(nil), w.ended...)}
	for _, r := range w.sortedRuns() {
		t := cccell.RunningTask{Task: r.Task, Attempt: r.Attempt, Percent: 100}
		if r.EndsAt > 0 {
			t.Percent = int(100 * (now - r.StartedAt) / (r.EndsAt - r.StartedAt))
		}
		lists.Running = append(lists.Running, t)
	}
	return w.reply(now, cccell.Executed, ""), lists
}
