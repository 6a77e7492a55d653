package cccell

// heardFrom notes an answer of a worker: its clock, and that it can be reached.
func (w *worker) recordReply(r *Reply) {
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
		w.recordReply(&r)
	}
	switch {
	case r.Outcome == Executed:
		c.confirmStart(a, now)
		a.confirmedAt = r.Received
	case r.Outcome == ReplyLost:
		// It may be running, or start seconds later. A list shows it, or a stop makes sure that it never runs.
		if a.state == ordered {
			a.state, a.inDoubtSince = inDoubt, now
		}
		w.health.noStartsUntil = now + refusalDelayMs
		if a.stage.spec.Gang {
			c.stopGang(a.stage, now)
		}
		c.cfg.Log("start in doubt", "Job", a.task.Job, "Task", a.task, "Attempt", a.number, "Worker", w.info.ID, "AfterMs", now-o.attempt.sentAt)
	default:
		c.startRefused(a, r, now)
	}
}

// confirm notes that an attempt runs.
func (c *Cell) confirmStart(a *attempt, now ms) {
	if a.state == running {
		return
	}
	a.state = running
	a.progressAt = now
	if j := a.stage.job; !j.started {
		j.started = true
		if j.published == "" {
			c.publishState(j)
		}
	}
}

// refused takes back an attempt that the worker has not begun.
func (c *Cell) startRefused(a *attempt, r Reply, now ms) {
	w, s := a.worker, a.stage
	w.removeAttempt(a)
	c.cfg.Log("start refused", "Job", a.task.Job, "Task", a.task, "Attempt", a.number, "Worker", w.info.ID, "Outcome", r.Outcome, "Reason", r.Reason)
	switch r.Reason {
	case Fenced:
		c.depose(w)
	case NoTicket:
		s.tickets.expire(w.info.ID)
	case OtherIncarnation:
		w.admitted = false
	case Malformed:
		s.notBefore = now + malformedRetryDelayMs
	case OldAttempt, LateLease:
		// The next attempt has a higher number, and the answer has set the clock right.
	default:
		w.health.noStartsUntil = now + refusalDelayMs
		if r.Outcome == Unsent {
			w.markSilent(now)
		}
	}
	if s.spec.Gang {
		c.stopGang(s, now)
	}
}

// malformedPauseMs keeps a job that workers don't accept from being sent again at once.
const malformedRetryDelayMs ms = 500

// silent notes that a call could not be delivered.
func (w *worker) markSilent(now ms) {
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
			a.stopWanted = true
		}
	}
	s.notBefore = max(s.notBefore, now+gangRetryDelayMs)
}

// gangPauseMs lets the room of a gang that could not start come free before the next try.
const gangRetryDelayMs ms = 100

// OnStopReply takes in the answer to a stop.
func (c *Cell) OnStopReply(o *StopOrder, r Reply, now ms) {
	a := o.attempt
	a.stopInFlight = false
	switch {
	case r.Outcome == Executed:
		a.worker.recordReply(&r)
		a.stopConfirmed = true
		// From now on a list shows the attempt or its end, or it never ran and never will.
		if a.confirmedAt == 0 {
			a.confirmedAt = r.Received
		}
	case r.Reason == Fenced:
		c.depose(a.worker)
	case r.Reason == OtherIncarnation:
		a.worker.admitted = false
	}
}

// OnPollReply takes in the answer to a look.
func (c *Cell) OnPollReply(o *PollOrder, r Reply, lists *TaskLists, now ms) {
	w := o.worker
	if o.urgent {
		w.urgentPollInFlight = false
	} else {
		w.pollInFlight = false
	}
	w.pollDoneAt = now
	if r.Outcome != Executed {
		switch {
		case r.Reason == Fenced:
			c.depose(w)
		case r.Reason == OtherIncarnation:
			w.admitted = false
		}
		if w.silentSince == 0 {
			c.cfg.Log("worker silent", "Worker", w.info.ID, "Outcome", r.Outcome, "Reason", r.Reason, "Attempts", len(w.attempts))
		}
		w.markSilent(now)
		return
	}
	if w.silentSince != 0 {
		c.cfg.Log("worker heard again", "Worker", w.info.ID, "SilentMs", now-w.silentSince)
	}
	if r.IncarnationMs != 0 && w.incarnation != r.IncarnationMs {
		c.newIncarnation(w, r.IncarnationMs, now)
	}
	w.recordReply(&r)
	w.confirmedAck = max(w.confirmedAck, o.AckedEnd)
	w.answeredPollSentAt = max(w.answeredPollSentAt, r.Sent)
	for i := range lists.Ended {
		e := &lists.Ended[i]
		if e.Number <= w.readEnd {
			continue
		}
		w.readEnd = e.Number
		c.recordEnd(w, e, now)
	}
	if r.ClockMs < w.listsClock {
		w.advanceAck()
		return // A newer list was read already: what this one shows as running may have ended.
	}
	w.listsClock = r.ClockMs
	present := make(map[attemptKey]bool, len(lists.Running))
	for i := range lists.Running {
		t := &lists.Running[i]
		present[attemptKey{t.Task, t.Attempt}] = true
		c.recordRunning(w, t, now)
	}
	if len(lists.Ended) < maxEndsListed {
		c.endMissing(w, present, r, now)
	}
	// A look that was meant for an earlier life makes the worker forget ends of this one that nobody has read: what it shows is no
	// ground to start anything beside. Such a look may still wait there while a hurried one is answered.
	if forEarlier := (o.AckedEnd > 0 && o.IncarnationMs != w.incarnation) || (o.urgent && w.pollInFlight); !w.admitted && !forEarlier {
		w.admitted = true
		c.cfg.Log("worker taken", "Worker", w.info.ID, "Born", w.incarnation, "Running", len(lists.Running), "Ended", len(lists.Ended), "Token", c.cfg.Token)
	}
	w.advanceAck()
}

// maxEndsListed is the number of ends in one list; a full list may leave some out.
const maxEndsListed = 500

// newLife notes that a worker has started again: nothing that ran in its earlier life runs now, but
// an order in doubt may still arrive.
func (c *Cell) newIncarnation(w *worker, incarnation int64, now ms) {
	if w.incarnation != 0 {
		c.cfg.Log("worker started again", "Worker", w.info.ID, "Born", incarnation, "Before", w.incarnation, "Attempts", len(w.attempts))
	}
	w.incarnation = incarnation
	w.ackedEnd, w.readEnd, w.confirmedAck, w.unackedEnds = 0, 0, 0, nil
	w.clockAt, w.leaseUntil, w.listsClock = 0, 0, 0
	w.health = health{score: 1}
	w.admitted = false
	for _, a := range w.attempts {
		if a.state == running {
			c.endAttempt(a, EndVanished, "", now)
			continue
		}
		a.state, a.confirmedAt, a.stopWanted, a.stopConfirmed = inDoubt, 0, true, false
	}
}

// missing settles the attempts that a list sent after their confirmation does not show.
func (c *Cell) endMissing(w *worker, present map[attemptKey]bool, r Reply, now ms) {
	for key, a := range w.attempts {
		if present[key] || a.confirmedAt == 0 || r.Sent <= a.confirmedAt {
			continue
		}
		c.endAttempt(a, EndVanished, "", now)
	}
}

// listedRunning takes in a task that a worker says it runs.
func (c *Cell) recordRunning(w *worker, t *RunningTask, now ms) {
	a := w.attempts[attemptKey{t.Task, t.Attempt}]
	if a == nil {
		a = c.adoptAttempt(w, t, now)
	}
	if a.stage != nil {
		c.confirmStart(a, now)
	}
	if t.Percent > a.percent {
		a.percent, a.progressAt = t.Percent, now
	}
	if t.Checkpoint != "" && a.stage != nil {
		a.stage.saveCheckpoint(a.task.Index, t.Checkpoint)
	}
}

// save keeps the newest checkpoint of a task.
func (s *stage) saveCheckpoint(index int, checkpoint string) {
	if s.spec.Gang {
		index = 0
	}
	s.checkpoints[index] = checkpoint
}

// adoptAttempt takes over an attempt that an earlier leader ordered. One that nobody needs is stopped.
func (c *Cell) adoptAttempt(w *worker, t *RunningTask, now ms) *attempt {
	a := &attempt{task: t.Task, number: t.Attempt, worker: w, state: running, sentAt: now, progressAt: now, confirmedAt: now, adopted: true}
	s := c.stageOf(t.Task)
	if s == nil {
		a.stopWanted = true
		c.cfg.Log("stray task", "Job", t.Task.Job, "Task", t.Task, "Attempt", t.Attempt, "Worker", w.info.ID)
		w.addAttempt(a)
		return a
	}
	a.stage, a.need, a.state = s, s.need, ordered
	unneeded := s.job.final != "" || s.done.has(t.Task.Index) || (!s.spec.Speculative && len(s.tasks[t.Task.Index]) > 0)
	a.stopWanted = unneeded
	w.addAttempt(a)
	c.cfg.Log("task adopted", "Job", t.Task.Job, "Task", t.Task, "Attempt", t.Attempt, "Worker", w.info.ID, "Unneeded", unneeded)
	return a
}

// stageOf returns the stage of a task, nil when no job in memory has it.
func (c *Cell) stageOf(t TaskID) *stage {
	j := c.jobs[t.Job]
	if j == nil {
		return nil
	}
	r := j.runs[t.Run]
	if r == nil || t.Stage < 0 || t.Stage >= len(r.stages) {
		return nil
	}
	s := r.stages[t.Stage]
	if t.Index < 0 || t.Index >= s.spec.Count {
		return nil
	}
	return s
}
