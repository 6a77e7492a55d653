// Package ccworkersim simulates workers by the published worker protocol, and checks their events against the
// invariants of the system. It is used by tests and by stand-in servers. It uses no sockets and no clock: callers pass
// in the time.
package ccworkersim

import (
	"sort"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
)

type ms = ccclock.Millis

// Attempt is an attempt that a worker has started.
type Attempt struct {
	Task    cccell.TaskID
	Attempt int64
	Size    ccwork.Size
	// StartedAt and EndsAt are in the time of the test. EndsAt is 0 for an attempt that runs until it is stopped.
	StartedAt, EndsAt ms
	// CrashesAt is when the attempt crashes its worker, unless it ends before; 0 if it doesn't.
	CrashesAt ms
	// End is how the attempt ends at EndsAt.
	End        cccell.End
	Checkpoint string
}

// Worker is a simulated worker. It starts every task that it is ordered to start, whether or not it has the capacity.
// The methods take the time of the test.
type Worker struct {
	Info cccell.WorkerInfo
	// MaxLeaseMs is the maximum length of a lease. ClockOffset is the time of the worker's clock at time 0 of the test,
	// and Rate the rate of that clock; 0 means 1.
	MaxLeaseMs  int64
	ClockOffset int64
	Rate        float64
	// Plan returns how long an attempt runs, how it ends, and the size of the task. An attempt with a runMs of 0 runs
	// until it is stopped.
	Plan func(t cccell.TaskID, attempt int64) (runMs ms, end cccell.End, size ccwork.Size)
	// Crashes returns the time after which an attempt at a task crashes the worker, and false for a task that doesn't.
	// OnCrash is called after such a crash. Both may be nil.
	Crashes func(t cccell.TaskID) (after ms, crashes bool)
	OnCrash func()
	// SameID is true if the incarnations share an identifier, as those of the platform may: the next one executes orders
	// that were meant for an earlier one. Its clock begins at 0 then.
	SameID bool
	// EndsPerReply bounds the ends in the reply to a poll; 0 means no bound.
	EndsPerReply int
	// Checker receives the events of the worker; it may be nil.
	Checker *Checker

	token int64
	// leaseUntil is the end of the lease on the worker's clock.
	leaseUntil int64
	attempts   map[cccell.TaskID]map[int64]*Attempt
	// highestEnded is, by task, the highest attempt that ended or was stopped before it started. Only higher ones may
	// start.
	highestEnded map[cccell.TaskID]int64
	// ended are the ends that were not acknowledged yet, and lastNumber is the number of the last end.
	ended      []cccell.EndedTask
	lastNumber int64
	// lastUncertain is the number of the last end that was listed when the lease lapsed.
	lastUncertain int64
	down          bool
	// priorCapacities are the capacities before Info.Capacity, oldest first.
	priorCapacities []priorCapacity
}

// Clock returns the time of the worker's clock.
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

// Crash ends the worker's process and all of its attempts.
func (w *Worker) Crash(now ms) {
	w.AdvanceTo(now)
	w.endProcess(now)
}

// endProcess ends the worker's process and all of its attempts, which have been brought up to the given time.
func (w *Worker) endProcess(now ms) {
	w.down = true
	for _, list := range w.attempts {
		for _, a := range list {
			w.Checker.onEnd(w, a, cccell.EndVanished, now)
			w.Checker.onCrash(a)
		}
	}
	for i := range w.ended {
		w.Checker.onLost(&w.ended[i])
	}
	w.attempts, w.highestEnded, w.ended = nil, nil, nil
}

// Restart starts a new incarnation of the worker, which knows nothing of the previous one.
func (w *Worker) Restart(now ms) {
	if !w.down {
		w.Crash(now)
	}
	w.down = false
	w.token, w.leaseUntil, w.lastNumber, w.lastUncertain = 0, 0, 0, 0
	if w.SameID {
		w.ClockOffset -= w.Clock(now)
	}
	w.Info.IncarnationMs += int64(now) + 1
}

// AdvanceTo ends the attempts that are due by the given time, and all attempts if the lease has lapsed or an attempt has
// crashed the worker.
func (w *Worker) AdvanceTo(now ms) {
	if w.down || w.crashDue(now) {
		return
	}
	w.endDue(now)
}

// endDue ends the attempts that are due by the given time, and all attempts if the lease has lapsed.
func (w *Worker) endDue(now ms) {
	for _, a := range w.sortedAttempts() {
		if a.EndsAt != 0 && a.EndsAt <= now && w.Clock(a.EndsAt) <= w.leaseUntil {
			w.endAttempt(a, a.End, a.EndsAt)
		}
	}
	if w.Clock(now) > w.leaseUntil {
		// After the lapse, a leader may count attempts whose ends it has not acknowledged as lost and start their tasks
		// again. So an acknowledgement of these ends that arrives later does not count.
		for i := range w.ended {
			w.lastUncertain = max(w.lastUncertain, w.ended[i].Number)
			w.Checker.onLost(&w.ended[i])
		}
		for _, a := range w.sortedAttempts() {
			w.endAttempt(a, cccell.EndLapsed, now)
		}
	}
}

// Finish lets all running attempts complete their tasks.
func (w *Worker) Finish(now ms) {
	w.AdvanceTo(now)
	for _, a := range w.sortedAttempts() {
		w.endAttempt(a, cccell.EndDone, now)
	}
}

// sortedAttempts returns the running attempts, ordered by number.
func (w *Worker) sortedAttempts() []*Attempt {
	var out []*Attempt
	for _, list := range w.attempts {
		for _, a := range list {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Attempt < out[b].Attempt })
	return out
}

// Oldest returns the running attempt with the lowest number, and false if there is none.
func (w *Worker) Oldest() (Attempt, bool) {
	list := w.sortedAttempts()
	if len(list) == 0 {
		return Attempt{}, false
	}
	return *list[0], true
}

// endAttempt ends an attempt and adds it to the list of ends.
func (w *Worker) endAttempt(a *Attempt, end cccell.End, now ms) {
	delete(w.attempts[a.Task], a.Attempt)
	w.highestEnded[a.Task] = max(w.highestEnded[a.Task], a.Attempt)
	w.lastNumber++
	w.ended = append(w.ended, cccell.EndedTask{Number: w.lastNumber, Task: a.Task, Attempt: a.Attempt, End: end, Checkpoint: a.Checkpoint})
	w.Checker.onEnd(w, a, end, now)
}

// checkCall does the checks that every call has in common. It returns true with the reply if the call is not to be
// executed: the worker is down, the call is for another incarnation, or it is from an earlier leader.
func (w *Worker) checkCall(h *cccell.OrderHeader, now ms) (cccell.Reply, bool) {
	w.AdvanceTo(now)
	if w.down {
		return cccell.Reply{Outcome: cccell.Unsent, Sent: now, Received: now}, true
	}
	switch {
	case !w.SameID && h.IncarnationMs != w.Info.IncarnationMs:
		return w.reply(now, cccell.Refused, cccell.OtherIncarnation), true
	case h.Token < w.token:
		return w.reply(now, cccell.Refused, cccell.Fenced), true
	}
	w.token = h.Token
	return cccell.Reply{}, false
}

// extendLease extends the lease to a time of the worker's clock, but by no more than MaxLeaseMs.
func (w *Worker) extendLease(until int64, now ms) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.Clock(now)+w.MaxLeaseMs))
}

// reply returns a reply with the state of the worker.
func (w *Worker) reply(now ms, o cccell.Outcome, r cccell.Reason) cccell.Reply {
	return cccell.Reply{Outcome: o, Reason: r, ClockMs: w.Clock(now), IncarnationMs: w.Info.IncarnationMs, Sent: now, Received: now}
}

// Start starts an attempt.
func (w *Worker) Start(o *cccell.StartOrder, now ms) cccell.Reply {
	if r, refused := w.checkCall(&o.OrderHeader, now); refused {
		return r
	}
	if o.LeaseUntilMs <= w.Clock(now) {
		return w.reply(now, cccell.Refused, cccell.LateLease)
	}
	w.extendLease(o.LeaseUntilMs, now)
	if w.attempts[o.Task][o.Attempt] != nil {
		return w.reply(now, cccell.Executed, "")
	}
	if highest, ok := w.highestEnded[o.Task]; ok && o.Attempt <= highest {
		return w.reply(now, cccell.Refused, cccell.OldAttempt)
	}
	runMs, end, size := w.Plan(o.Task, o.Attempt)
	a := &Attempt{Task: o.Task, Attempt: o.Attempt, Size: size, StartedAt: now, End: end, Checkpoint: o.Checkpoint}
	if runMs > 0 {
		a.EndsAt = now + runMs
	}
	a.CrashesAt = w.crashTime(o.Task, now)
	if w.attempts == nil {
		w.attempts, w.highestEnded = map[cccell.TaskID]map[int64]*Attempt{}, map[cccell.TaskID]int64{}
	}
	if w.attempts[o.Task] == nil {
		w.attempts[o.Task] = map[int64]*Attempt{}
	}
	w.attempts[o.Task][o.Attempt] = a
	w.Checker.onStart(w, a, now)
	return w.reply(now, cccell.Executed, "")
}

// Stop ends an attempt, or ensures that it is never started.
func (w *Worker) Stop(o *cccell.StopOrder, now ms) cccell.Reply {
	if r, refused := w.checkCall(&o.OrderHeader, now); refused {
		return r
	}
	if a := w.attempts[o.Task][o.Attempt]; a != nil {
		w.endAttempt(a, cccell.EndStopped, now)
		return w.reply(now, cccell.Executed, "")
	}
	if w.highestEnded == nil {
		w.attempts, w.highestEnded = map[cccell.TaskID]map[int64]*Attempt{}, map[cccell.TaskID]int64{}
	}
	w.highestEnded[o.Task] = max(w.highestEnded[o.Task], o.Attempt)
	return w.reply(now, cccell.Executed, "")
}

// Poll renews the lease, deletes the acknowledged ends, and returns the running tasks and the other ends.
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
	ended := w.ended
	if n := w.EndsPerReply; n > 0 && len(ended) > n {
		ended = ended[:n]
	}
	lists := &cccell.TaskLists{Ended: append([]cccell.EndedTask(nil), ended...), EndsCutOff: w.EndsPerReply > 0 && len(ended) == w.EndsPerReply}
	for _, a := range w.sortedAttempts() {
		t := cccell.RunningTask{Task: a.Task, Attempt: a.Attempt, Percent: 100}
		if a.EndsAt > 0 {
			t.Percent = int(100 * (now - a.StartedAt) / (a.EndsAt - a.StartedAt))
		}
		lists.Running = append(lists.Running, t)
	}
	return w.reply(now, cccell.Executed, ""), lists
}

// LeaseUntil returns the end of the lease on the worker's clock.
func (w *Worker) LeaseUntil() int64 {
	return w.leaseUntil
}
