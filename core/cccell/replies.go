package cccell

// recordReply records that a worker has replied, and the clock that it reported. The reply must not be of an earlier
// incarnation.
func (c *Cell) recordReply(w *worker, r *Reply) {
	w.silentSince = 0
	switch {
	case r.ClockMs == 0 || (w.clockAt != 0 && r.Received < w.clockAt):
	case w.clockAt == 0 || r.ClockMs >= w.clock:
		w.clock, w.clockAt = r.ClockMs, r.Received
	case r.Sent >= w.clockAt:
		// A later incarnation has executed the order, which may have given it the longest lease. The clock of the earlier one
		// stands for the time until a poll tells of the restart.
		c.cfg.Log("clock of a worker went back", "Worker", w.info.ID, "ClockMs", r.ClockMs, "Before", w.clock)
		w.admitted = false
		clock, _ := w.clockNow(r.Received)
		w.leases.raise(clock + int64(c.longestLease()))
	}
}

// OnStartReply handles the reply to a start.
func (c *Cell) OnStartReply(o *StartOrder, r Reply, now ms) {
	c.startsPending--
	a := o.attempt
	w := a.worker
	c.correctFenced(&o.OrderHeader, w, &r)
	if w.attempts[attemptKey{a.task, a.number}] != a {
		return // The attempt was removed already: a task list showed its end or lacked it, or the worker's leases ended.
	}
	if r.Outcome != ReplyLost && r.Outcome != Unsent && r.Reason != OtherIncarnation {
		switch {
		case r.Outcome == Executed && w.outlived(&r):
			c.loseAttempt(a, lostRestart, now) // Executed by an earlier incarnation, which has ended.
			return
		case r.Outcome == Executed && r.IncarnationMs != 0:
			a.incarnation = r.IncarnationMs
		case r.Outcome == Executed:
			a.confirmedClock = r.ClockMs
		}
		if !w.maybeEarlier(&o.OrderHeader, &r) {
			c.recordNewer(w, &r, now)
			c.recordReply(w, &r)
		}
	}
	switch {
	case r.Outcome == Executed:
		c.confirmStart(a, now)
		a.confirmedAt = r.Received
	case r.Outcome == ReplyLost:
		// The task may run now or start seconds later. Either a task list shows it, or a confirmed stop prevents the
		// start.
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

// confirmStart records that an attempt runs.
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

// startRefused removes an attempt that the worker has not started.
func (c *Cell) startRefused(a *attempt, r Reply, now ms) {
	w, s := a.worker, a.stage
	w.removeAttempt(a)
	if s.crash(a.task.Index, a.number) != nil { // Recorded for a restart of the worker that was found meanwhile.
		s.removeCrash(a.task.Index, a.number)
		c.markDirty(s.job)
	}
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
		// The next attempt has a higher number, and this reply has corrected the worker's clock.
	case EarlierOrder:
		// The next one is for the present incarnation.
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

// malformedRetryDelayMs is the delay before a stage is placed again after a worker has rejected a start as malformed,
// so that the start is not repeated at once.
const malformedRetryDelayMs ms = 500

// markSilent records that a poll failed or that a start did not reach the worker; see worker.silentSince.
func (w *worker) markSilent(now ms) {
	if w.silentSince == 0 {
		w.silentSince, w.fellSilentAt, w.silentTrialJob = now, now, w.trialJob()
	}
}

// depose records that a worker has seen the token of a newer leader.
func (c *Cell) depose(w *worker) {
	if !c.deposed {
		c.cfg.Log("deposed", "Worker", w.info.ID, "Token", c.cfg.Token)
	}
	c.deposed = true
}

// stopGang stops the remaining attempts of a gang that is no longer complete.
func (c *Cell) stopGang(s *stage, now ms) {
	for _, list := range s.tasks {
		for _, a := range list {
			a.stopWanted = true
		}
	}
	s.notBefore = max(s.notBefore, now+gangRetryDelayMs)
}

// gangRetryDelayMs is the delay before a gang is started again, so that the capacity of its stopped attempts is free by
// then.
const gangRetryDelayMs ms = 100

// OnStopReply handles the reply to a stop.
func (c *Cell) OnStopReply(o *StopOrder, r Reply, now ms) {
	a := o.attempt
	a.stopInFlight = false
	c.correctFenced(&o.OrderHeader, a.worker, &r)
	switch {
	case r.Outcome == Executed && a.worker.maybeEarlier(&o.OrderHeader, &r):
		// The start may still reach the present incarnation.
	case r.Outcome == Executed:
		c.recordNewer(a.worker, &r, now)
		c.recordReply(a.worker, &r)
		a.stopConfirmed = true
		// A poll that is sent after this confirmation shows the attempt or its end. If it shows neither, the attempt
		// never ran and never will.
		if a.confirmedAt == 0 {
			a.confirmedAt = r.Received
		}
	case r.Reason == Fenced:
		c.depose(a.worker)
	case r.Reason == OtherIncarnation:
		a.worker.admitted = false
	}
}

// OnPollReply handles the reply to a poll. Replies may arrive out of order.
func (c *Cell) OnPollReply(o *PollOrder, r Reply, lists *TaskLists, now ms) {
	w := o.worker
	if o.urgent {
		w.urgentPollInFlight = false
	} else {
		w.pollInFlight = false
	}
	w.pollDoneAt = now
	c.correctFenced(&o.OrderHeader, w, &r)
	if r.Reason == EarlierOrder {
		return
	}
	if r.Outcome != Executed {
		w.failedPolls++
		w.failedPollSentAt = max(w.failedPollSentAt, r.Sent)
		w.replyDelayMs /= 2
		switch {
		case r.Reason == Fenced:
			c.depose(w)
		case r.Reason == OtherIncarnation:
			w.admitted = false
		}
		fellSilent := w.silentSince == 0
		w.markSilent(now)
		switch {
		case fellSilent:
			c.cfg.Log("worker silent", "Worker", w.info.ID, "Outcome", r.Outcome, "Reason", r.Reason, "Attempts", len(w.attempts))
			c.suspectRecent(w, now)
		case w.failedPolls >= suspectAllPolls:
			c.suspectAll(w, now)
		}
		return
	}
	if w.outlived(&r) {
		return
	}
	c.logHeard(w, now)
	if r.IncarnationMs != 0 && w.incarnation != r.IncarnationMs {
		c.handleRestart(w, &r, now)
	}
	c.recordReply(w, &r)
	w.recordDelay(o, &r)
	w.failedPolls = 0
	c.withdrawCrashes(w)
	c.readLists(o, &r, lists, now)
}

// logHeard logs that a worker which was silent has replied.
func (c *Cell) logHeard(w *worker, now ms) {
	if w.silentSince != 0 {
		c.cfg.Log("worker heard again", "Worker", w.info.ID, "SilentMs", now-w.silentSince)
	}
}

// readLists handles the lists in a reply to a poll.
func (c *Cell) readLists(o *PollOrder, r *Reply, lists *TaskLists, now ms) {
	w := o.worker
	w.confirmedAck = max(w.confirmedAck, o.AckedEnd)
	w.answeredPollSentAt = max(w.answeredPollSentAt, r.Sent)
	c.answering[o.Address] = w.info.ID
	if !lists.EndsCutOff {
		w.readPollSentAt = max(w.readPollSentAt, r.Sent)
	}
	if r.ClockMs >= w.listsClock {
		c.setMoreEnds(w, lists)
	}
	for i := range lists.Ended {
		e := &lists.Ended[i]
		if e.Number <= w.readEnd {
			continue
		}
		w.readEnd = e.Number
		c.recordEnd(w, e, now)
	}
	if r.ClockMs < w.listsClock {
		w.advanceAck(now)
		return // Newer lists were handled already, so a task that is running by these lists may have ended.
	}
	w.listsClock = r.ClockMs
	present := make(map[attemptKey]bool, len(lists.Running))
	for i := range lists.Running {
		t := &lists.Running[i]
		present[attemptKey{t.Task, t.Attempt}] = true
		c.recordRunning(w, t, now)
	}
	if !lists.EndsCutOff {
		c.endMissing(w, present, *r, now)
	}
	// A poll that was sent to an earlier incarnation acknowledges end numbers of that incarnation. When a restarted
	// worker handles it, the worker drops ends of the same numbers that no leader has read. Its lists are then
	// incomplete, so the worker is not admitted by this reply. The same holds for an urgent poll while such a poll may
	// still be pending at the worker, and until the worker has seen the token of its present incarnation.
	listsMayBeIncomplete := (o.AckedEnd > 0 && o.IncarnationMs != w.incarnation) || (o.urgent && w.pollInFlight) || c.forEarlier(&o.OrderHeader, w)
	if !w.admitted && !listsMayBeIncomplete {
		w.admitted = true
		w.leases.fence(r.ClockMs + int64(c.longestLease()))
		c.cfg.Log("worker taken", "Worker", w.info.ID, "Born", w.incarnation, "Running", len(lists.Running), "Ended", len(lists.Ended), "Token", c.cfg.Token, "KnownMs", now-w.knownAt)
	}
	w.advanceAck(now)
}

// setMoreEnds records whether a worker may have ends that it has not listed.
func (c *Cell) setMoreEnds(w *worker, lists *TaskLists) {
	if lists.EndsCutOff && !w.moreEnds && w.readPollSentAt < c.handoverAt {
		c.cfg.Log("ends of a worker are read in parts", "Worker", w.info.ID, "Listed", len(lists.Ended), "Running", len(lists.Running))
	}
	w.moreEnds = lists.EndsCutOff
}

// outlived reports whether a reply comes from an earlier incarnation than the present one. The call was sent before the
// present one was known; the clock of a machine can be set back between two incarnations, so that a lower number alone
// does not tell.
func (w *worker) outlived(r *Reply) bool {
	return r.IncarnationMs != 0 && r.IncarnationMs < w.incarnation && r.Sent < w.incarnationAt
}

// maybeEarlier reports whether the reply to an order may come from an earlier incarnation than the present one. On the
// platform, only polls are known to have replies that name the incarnation.
func (w *worker) maybeEarlier(h *OrderHeader, r *Reply) bool {
	return w.outlived(r) || (r.IncarnationMs == 0 && h.IncarnationMs < w.incarnation && r.Sent < w.incarnationAt)
}

// recordNewer handles a restart of the worker of which the reply to an order tells. An incarnation with a lower number is
// left to the next poll.
func (c *Cell) recordNewer(w *worker, r *Reply, now ms) {
	if r.IncarnationMs > w.incarnation {
		c.handleRestart(w, r, now)
	}
}

// ranBefore reports whether an attempt ran in an earlier incarnation of its worker than the one that sent a reply. A
// clock that is ahead of the present one is that of an earlier incarnation, since each begins a new clock.
func (a *attempt) ranBefore(r *Reply) bool {
	if a.incarnation != 0 {
		return a.incarnation != r.IncarnationMs
	}
	return r.ClockMs > 0 && a.confirmedClock > r.ClockMs
}

// overtook reports whether the present incarnation may have executed the start after it had written a reply, although that reply
// arrived later than the confirmation. The two readings of its clock are then at most as far apart as the call and the
// confirmation.
func (a *attempt) overtook(r *Reply) bool {
	ahead := a.confirmedClock - r.ClockMs
	return a.state == running && a.incarnation == 0 && ahead > 0 && ahead <= int64(a.confirmedAt-r.Sent)
}

// handleRestart resets the state of a worker whose reply tells of a new incarnation, also at its first reply. The attempts
// that ran in the earlier incarnation have ended, but a start in doubt may still reach the new one, and the new one may
// have confirmed a start already.
func (c *Cell) handleRestart(w *worker, r *Reply, now ms) {
	if w.incarnation != 0 {
		c.cfg.Log("worker started again", "Worker", w.info.ID, "Born", r.IncarnationMs, "Before", w.incarnation, "Attempts", len(w.attempts))
	}
	for _, a := range w.attempts {
		if a.incarnation != r.IncarnationMs && !a.overtook(r) {
			c.suspectCrash(a, now)
		}
	}
	before := w.incarnation
	if before != 0 {
		c.countRestart(w)
	}
	w.incarnation, w.incarnationAt = r.IncarnationMs, now
	w.ackedEnd, w.readEnd, w.confirmedAck, w.unackedEnds, w.moreEnds = 0, 0, 0, nil, false
	w.clockAt, w.listsClock = 0, 0
	w.health = health{score: 1}
	w.admitted = false
	for _, a := range w.attempts {
		switch {
		case a.incarnation == r.IncarnationMs: // Its start was confirmed by the new incarnation.
		case a.overtook(r):
			a.priorIncarnation = before // The next list tells which incarnation has it.
		case a.state == running && a.ranBefore(r):
			c.loseAttempt(a, lostRestart, now)
		default:
			a.state, a.confirmedAt, a.stopWanted, a.stopConfirmed = inDoubt, 0, true, false
		}
	}
	possible := int64(0)
	if before != 0 || c.priorLease(w, r.IncarnationMs) > c.cfg.PriorLeaseMs {
		// The lease in a start or a poll that was meant for the earlier incarnation ends by the clock of that one, which may
		// be far ahead. The worker shortens it.
		possible = r.ClockMs + int64(c.longestLease())
	}
	w.leases.restart(possible)
	c.confirmCrashes(w.info.Address, r.IncarnationMs, now)
}

// endMissing ends the attempts that were confirmed before the poll was sent but are not in its list. A list says
// nothing about an attempt that was not confirmed by then, since the start may reach the worker later.
func (c *Cell) endMissing(w *worker, present map[attemptKey]bool, r Reply, now ms) {
	crashed := false
	for key, a := range w.attempts {
		if present[key] || a.confirmedAt == 0 || r.Sent <= a.confirmedAt {
			continue
		}
		if a.priorIncarnation != 0 {
			c.suspectCrash(a, now)
			crashed = true
		}
		c.loseAttempt(a, lostUnlisted, now)
	}
	if crashed {
		c.confirmCrashes(w.info.Address, w.incarnation, now)
	}
}

// recordRunning handles a row of a worker's list of running tasks.
func (c *Cell) recordRunning(w *worker, t *RunningTask, now ms) {
	a := w.attempts[attemptKey{t.Task, t.Attempt}]
	if a == nil {
		a = c.adoptAttempt(w, t, now)
	}
	a.incarnation, a.priorIncarnation = w.incarnation, 0
	if a.stage != nil {
		c.confirmStart(a, now)
	}
	if t.Percent > a.percent {
		a.percent, a.progressAt = t.Percent, now
	}
	w.endTrial(a, now)
	if t.Checkpoint != "" && a.stage != nil {
		a.stage.saveCheckpoint(a.task.Index, t.Checkpoint)
	}
}

// saveCheckpoint keeps the newest checkpoint of a task, or of a gang under index 0.
func (s *stage) saveCheckpoint(index int, checkpoint string) {
	if s.spec.Gang {
		index = 0
	}
	s.checkpoints[index] = checkpoint
}

// adoptAttempt adds an attempt that a prior leader started. An attempt that is not needed any more is stopped.
func (c *Cell) adoptAttempt(w *worker, t *RunningTask, now ms) *attempt {
	a := &attempt{task: t.Task, number: t.Attempt, worker: w, state: running, sentAt: now, progressAt: now, confirmedAt: now, adopted: true}
	s := c.foundStage(t.Task, now)
	if s == nil {
		j := c.jobs[t.Task.Job]
		a.stopWanted = !c.cfg.PriorUnstored || (j != nil && j.doneRuns.Has(t.Task.Run))
		if c.unknown(t.Task.Job) {
			c.noteUnclaimed(t.Task.Job)
		}
		c.cfg.Log("stray task", "Job", t.Task.Job, "Task", t.Task, "Attempt", t.Attempt, "Worker", w.info.ID)
		w.addAttempt(a)
		return a
	}
	c.assignToStage(a, s, now)
	return a
}

// assignToStage adds an attempt that a prior leader started to the attempts of its task. It is stopped if it is not needed.
func (c *Cell) assignToStage(a *attempt, s *stage, now ms) {
	if c.notePrior(a, s) {
		c.logStartedTwice(a, s)
		c.finishBefore(s, now)
	}
	unneeded := s.job.final != "" || s.done.has(a.task.Index) || (!s.spec.Speculative && len(s.live(a.task.Index)) > 0)
	a.stage, a.need, a.state = s, s.need, ordered
	a.stopWanted = a.stopWanted || unneeded
	a.worker.addAttempt(a)
	c.cfg.Log("task adopted", "Job", a.task.Job, "Task", a.task, "Attempt", a.number, "Worker", a.worker.info.ID, "Unneeded", unneeded)
}

// foundStage returns the stage of a task that a worker has listed, or nil when no job in memory has that task. It begins the
// run of the task if need be.
func (c *Cell) foundStage(t TaskID, now ms) *stage {
	if j := c.jobs[t.Job]; j != nil {
		c.runOf(j, t.Run, now)
	}
	return c.stageOf(t)
}

// stageOf returns the stage of a task, or nil when no job in memory has that task.
func (c *Cell) stageOf(t TaskID) *stage {
	s := c.stageByID(StageID{Job: t.Job, Run: t.Run, Stage: t.Stage})
	if s == nil || t.Index < 0 || t.Index >= s.spec.Count {
		return nil
	}
	return s
}

// stageByID returns a stage, or nil when no job in memory has it.
func (c *Cell) stageByID(id StageID) *stage {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	r := j.runs[id.Run]
	if r == nil || id.Stage < 0 || id.Stage >= len(r.stages) {
		return nil
	}
	return r.stages[id.Stage]
}
