package cccell

// heardFrom notes an answer of a worker: its clock, and that it can be reached.
func (w *worker) heardFrom(r *Reply) {
	if r.ClockMs > 0 && (w.clockAt == 0 || r.Received >= w.clockAt) {
		w.clock, w.clockAt = r.ClockMs, r.Received
	}
	w.silentSince = 0
}

// OnStartReply takes in the answer to a start.
func (c *Cell) OnStartReply(o *StartOrder, r Reply, now ms) {
	a := o.attempt
	w := a.worker
	if w.attempts[attemptKey{a.task, a.number}] != a {
		return // A list of the worker, or its lapse, has settled it already.
	}
	if r.Outcome != ReplyLost && r.Outcome != Unsent && r.Reason != OtherIncarnation {
		w.heardFrom(&r)
	}
	switch {
	case r.Outcome == Executed:
		c.confirm(a, now)
		a.surelySince = r.Received
	case r.Outcome == ReplyLost:
		// It may be running, or start seconds later. A list shows it, or a stop makes sure that it never runs.
		if a.state == ordered {
			a.state, a.doubtSince = inDoubt, now
		}
		w.health.refused = now + refusedMs
		if a.stage.spec.Gang {
			c.stopGang(a.stage, now)
		}
		c.cfg.Log("start in doubt", "Job", a.task.Job, "Task", a.task, "Attempt", a.number, "Worker", w.info.ID, "AfterMs", now-o.attempt.sentAt)
	default:
		c.refused(a, r, now)
	}
}

// confirm notes that an attempt runs.
func (c *Cell) confirm(a *attempt, now ms) {
	if a.state == running {
		return
	}
	a.state = running
	a.movedAt = now
	if j := a.stage.job; !j.started {
		j.started = true
		if j.shown == "" {
			c.change(j)
		}
	}
}

// refused takes back an attempt that the worker has not begun.
func (c *Cell) refused(a *attempt, r Reply, now ms) {
	w, s := a.worker, a.stage
	w.release(a)
	c.cfg.Log("start refused", "Job", a.task.Job, "Task", a.task, "Attempt", a.number, "Worker", w.info.ID, "Outcome", r.Outcome, "Reason", r.Reason)
	switch r.Reason {
	case Fenced:
		c.depose(w)
	case NoTicket:
		s.tickets.drop(w.info.ID)
	case OtherIncarnation:
		w.looked = false
	case Malformed:
		s.notBefore = now + malformedPauseMs
	case OldAttempt, LateLease:
		// The next attempt has a higher number, and the answer has set the clock right.
	default:
		w.health.refused = now + refusedMs
		if r.Outcome == Unsent {
			w.silent(now)
		}
	}
	if s.spec.Gang {
		c.stopGang(s, now)
	}
}

// malformedPauseMs keeps a job that workers don't accept from being sent again at once.
const malformedPauseMs ms = 500

// silent notes that a call could not be delivered.
func (w *worker) silent(now ms) {
	if w.silentSince == 0 {
		w.silentSince = now
	}
}

// depose notes that a worker obeys another leader.
func (c *Cell) depose(w *worker) {
	if !c.deposed {
		c.cfg.Log("deposed", "Worker", w.info.ID, "Token", c.cfg.Token)
	}
	c.deposed = true
}

// stopGang stops every attempt of a gang that is not complete.
func (c *Cell) stopGang(s *stage, now ms) {
	for _, list := range s.tasks {
		for _, a := range list {
			a.stopping = true
		}
	}
	s.notBefore = max(s.notBefore, now+gangPauseMs)
}

// gangPauseMs lets the room of a gang that could not start come free before the next try.
const gangPauseMs ms = 100

// OnStopReply takes in the answer to a stop.
func (c *Cell) OnStopReply(o *StopOrder, r Reply, now ms) {
	a := o.attempt
	a.stopInCall = false
	switch {
	case r.Outcome == Executed:
		a.worker.heardFrom(&r)
		a.stopped = true
		// From now on a list shows the attempt or its end, or it never ran and never will.
		if a.surelySince == 0 {
			a.surelySince = r.Received
		}
	case r.Reason == Fenced:
		c.depose(a.worker)
	case r.Reason == OtherIncarnation:
		a.worker.looked = false
	}
}

// OnPollReply takes in the answer to a look.
func (c *Cell) OnPollReply(o *PollOrder, r Reply, lists *TaskLists, now ms) {
	w := o.worker
	if o.hurried {
		w.hurried = false
	} else {
		w.looking = false
	}
	w.lookDone = now
	if r.Outcome != Executed {
		switch {
		case r.Reason == Fenced:
			c.depose(w)
		case r.Reason == OtherIncarnation:
			w.looked = false
		}
		if w.silentSince == 0 {
			c.cfg.Log("worker silent", "Worker", w.info.ID, "Outcome", r.Outcome, "Reason", r.Reason, "Attempts", len(w.attempts))
		}
		w.silent(now)
		return
	}
	if w.silentSince != 0 {
		c.cfg.Log("worker heard again", "Worker", w.info.ID, "SilentMs", now-w.silentSince)
	}
	if r.IncarnationMs != 0 && w.life != r.IncarnationMs {
		c.newLife(w, r.IncarnationMs, now)
	}
	w.heardFrom(&r)
	w.told = max(w.told, o.AckedEnd)
	w.readAt = max(w.readAt, r.Sent)
	for i := range lists.Ended {
		e := &lists.Ended[i]
		if e.Number <= w.heard {
			continue
		}
		w.heard = e.Number
		c.listedEnd(w, e, now)
	}
	if r.ClockMs < w.listedAt {
		w.forget()
		return // A newer list was read already: what this one shows as running may have ended.
	}
	w.listedAt = r.ClockMs
	present := make(map[attemptKey]bool, len(lists.Running))
	for i := range lists.Running {
		t := &lists.Running[i]
		present[attemptKey{t.Task, t.Attempt}] = true
		c.listedRunning(w, t, now)
	}
	if len(lists.Ended) < maxEndsListed {
		c.missing(w, present, r, now)
	}
	// A look that was meant for an earlier life makes the worker forget ends of this one that nobody has read: what it shows is no
	// ground to start anything beside. Such a look may still wait there while a hurried one is answered.
	if foreign := (o.AckedEnd > 0 && o.IncarnationMs != w.life) || (o.hurried && w.looking); !w.looked && !foreign {
		w.looked = true
		c.cfg.Log("worker taken", "Worker", w.info.ID, "Born", w.life, "Running", len(lists.Running), "Ended", len(lists.Ended), "Token", c.cfg.Token)
	}
	w.forget()
}

// maxEndsListed is the number of ends in one list; a full list may leave some out.
const maxEndsListed = 500

// newLife notes that a worker has started again: nothing that ran in its earlier life runs now, but
// an order in doubt may still arrive.
func (c *Cell) newLife(w *worker, born int64, now ms) {
	if w.life != 0 {
		c.cfg.Log("worker started again", "Worker", w.info.ID, "Born", born, "Before", w.life, "Attempts", len(w.attempts))
	}
	w.life = born
	w.seen, w.heard, w.told, w.ends = 0, 0, 0, nil
	w.clockAt, w.until, w.listedAt = 0, 0, 0
	w.health = health{score: 1}
	w.looked = false
	for _, a := range w.attempts {
		if a.state == running {
			c.ended(a, EndVanished, "", now)
			continue
		}
		a.state, a.surelySince, a.stopping, a.stopped = inDoubt, 0, true, false
	}
}

// missing settles the attempts that a list sent after their confirmation does not show.
func (c *Cell) missing(w *worker, present map[attemptKey]bool, r Reply, now ms) {
	for key, a := range w.attempts {
		if present[key] || a.surelySince == 0 || r.Sent <= a.surelySince {
			continue
		}
		c.ended(a, EndVanished, "", now)
	}
}

// listedRunning takes in a task that a worker says it runs.
func (c *Cell) listedRunning(w *worker, t *RunningTask, now ms) {
	a := w.attempts[attemptKey{t.Task, t.Attempt}]
	if a == nil {
		a = c.adoptAttempt(w, t, now)
	}
	if a.stage != nil {
		c.confirm(a, now)
	}
	if t.Percent > a.percent {
		a.percent, a.movedAt = t.Percent, now
	}
	if t.Checkpoint != "" && a.stage != nil {
		a.stage.save(a.task.Index, t.Checkpoint)
	}
}

// save keeps the newest checkpoint of a task.
func (s *stage) save(index int, checkpoint string) {
	if s.spec.Gang {
		index = 0
	}
	s.saved[index] = checkpoint
}

// adoptAttempt takes over an attempt that an earlier leader ordered. One that nobody needs is stopped.
func (c *Cell) adoptAttempt(w *worker, t *RunningTask, now ms) *attempt {
	a := &attempt{task: t.Task, number: t.Attempt, worker: w, state: running, sentAt: now, movedAt: now, surelySince: now, adopted: true}
	s := c.stageOf(t.Task)
	if s == nil {
		a.stopping = true
		c.cfg.Log("stray task", "Job", t.Task.Job, "Task", t.Task, "Attempt", t.Attempt, "Worker", w.info.ID)
		w.hold(a)
		return a
	}
	a.stage, a.need, a.state = s, s.need, ordered
	unneeded := s.job.final != "" || s.done.has(t.Task.Index) || (!s.spec.Speculative && len(s.tasks[t.Task.Index]) > 0)
	a.stopping = unneeded
	w.hold(a)
	c.cfg.Log("task adopted", "Job", t.Task.Job, "Task", t.Task, "Attempt", t.Attempt, "Worker", w.info.ID, "Unneeded", unneeded)
	return a
}

// stageOf returns the stage of a task, nil when no job in memory has it.
func (c *Cell) stageOf(t TaskID) *stage {
	j := c.jobs[t.Job]
	if j == nil {
		return nil
	}
	o := j.runs[t.Run]
	if o == nil || t.Stage < 0 || t.Stage >= len(o.stages) {
		return nil
	}
	s := o.stages[t.Stage]
	if t.Index < 0 || t.Index >= s.spec.Count {
		return nil
	}
	return s
}
