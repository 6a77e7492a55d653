package cccell

import "slices"

// recordEnd handles a row of a worker's list of ends. The worker may forget the end once what it has changed is
// persisted: the progress of its job, or the record of a job that this leader does not know.
func (c *Cell) recordEnd(w *worker, e *EndedTask, now ms) {
	a := w.attempts[attemptKey{e.Task, e.Attempt}]
	if a != nil && a.stage == nil {
		w.removeAttempt(a)
		a = nil
	}
	if a == nil {
		// Started by a prior leader, or removed here before its end was listed.
		a = &attempt{task: e.Task, number: e.Attempt, worker: w, stage: c.foundStage(e.Task, now)}
		c.logLostEnd(a, e.End, now)
		if a.stage != nil && c.notePrior(a, a.stage) {
			c.finishBefore(a.stage, now)
			if e.End == EndDone {
				c.logStartedTwice(a, a.stage)
			}
		}
	}
	c.endAttempt(a, e.End, e.Checkpoint, now)
	unacked := unackedEnd{number: e.Number}
	if e.End == EndDone || e.End == EndFailed {
		if j := c.jobs[e.Task.Job]; j != nil {
			unacked.job, unacked.version = j, j.version
		} else if u := c.recordUnknownEnd(w, e, now); u != nil {
			unacked.unknown, unacked.version = u, u.version
		}
	}
	w.unackedEnds = append(w.unackedEnds, unacked)
}

// endAttempt removes an attempt, which frees its capacity, and applies its end to the task: done, failed, or to be
// started again.
func (c *Cell) endAttempt(a *attempt, end End, checkpoint string, now ms) {
	w, s := a.worker, a.stage
	w.removeAttempt(a)
	if s == nil {
		return
	}
	if end != EndDone {
		c.learnUnfinished(a, end, now)
	}
	if checkpoint != "" {
		s.saveCheckpoint(a.task.Index, checkpoint)
	}
	j := s.job
	if j.final != "" {
		return
	}
	switch end {
	case EndDone:
		c.taskDone(a, now)
		return
	case EndFailed:
		c.taskFailed(a, now)
	case EndVanished:
		c.stats.Vanished++
	case EndLapsed:
		c.stats.Lapsed++
	}
	if j.final == "" && (end != EndStopped || !a.stopWanted) {
		c.cfg.Log("task ended early", "Job", a.task.Job, "Task", a.task, "Attempt", a.number, "Worker", w.info.ID, "End", end,
			"RanMs", a.ranMs(now), "Percent", a.percent, "Saved", s.checkpoints[a.task.Index] != "")
	}
	if s.spec.Gang && (end == EndVanished || end == EndLapsed || end == EndStopped || end == EndFailed) {
		// The remaining members of the gang can't work without this one.
		c.stopGang(s, now)
	}
}

// Reasons for which an attempt is taken for lost, as they appear in logs.
const (
	// lostLease: the leases at the worker have ended.
	lostLease = "Lease"
	// lostRestart: the worker has started again.
	lostRestart = "Restart"
	// lostUnlisted: the worker's lists have neither the attempt nor its end.
	lostUnlisted = "Unlisted"
)

// lostAttempt says when and why an attempt was taken for lost.
type lostAttempt struct {
	at  ms
	why string
}

// loseAttempt ends an attempt that is taken for lost, so that its task may be started again.
func (c *Cell) loseAttempt(a *attempt, why string, now ms) {
	if s := a.stage; s != nil && s.job.final == "" {
		s.lost[attemptKey{a.task, a.number}] = lostAttempt{now, why}
	}
	c.endAttempt(a, EndVanished, "", now)
}

// logLostEnd logs the end of an attempt that was taken for lost before.
func (c *Cell) logLostEnd(a *attempt, end End, now ms) {
	if a.stage == nil {
		return
	}
	l, ok := a.stage.lost[attemptKey{a.task, a.number}]
	if !ok {
		return
	}
	if end == EndDone {
		c.stats.LostDone++
	}
	c.cfg.Log("end of a lost attempt", "Job", a.task.Job, "Task", a.task, "Attempt", a.number, "Worker", a.worker.info.ID, "End", end, "Why", l.why, "LostMs", now-l.at,
		"Done", a.stage.done.has(a.task.Index), "Again", len(a.stage.live(a.task.Index)))
}

// notePrior reports whether a prior leader has started an attempt at a task of a stage. If so, other tasks of the job may run at
// workers that have not replied.
func (c *Cell) notePrior(a *attempt, s *stage) bool {
	prior := a.number>>attemptBits < c.cfg.Token
	s.job.adopted = s.job.adopted || prior
	return prior
}

// logStartedTwice logs an attempt of a prior leader at a task that this leader has started as well, with what tells why it did
// not wait: since when it knows the worker, and how it has learned of the job.
func (c *Cell) logStartedTwice(a *attempt, s *stage) {
	if s.spec.Speculative {
		return
	}
	for _, other := range s.live(a.task.Index) {
		if other.number>>attemptBits != c.cfg.Token {
			continue
		}
		w, j := a.worker, s.job
		c.cfg.Log("task started twice", "Job", j.spec.ID, "Task", a.task, "Attempt", a.number, "Worker", w.info.ID, "KnownMs", c.roundAt-w.knownAt, "Listed", w.listed, "Again", other.number,
			"AgainMs", c.roundAt-other.sentAt, "Source", j.source, "Adopted", j.adopted, "Returning", j.spec.Returning, "LeasesEndMs", w.priorLeasesEndAt-c.roundAt)
		return
	}
}

// ranMs returns how long an attempt ran, or 0 when the time of its start is not known.
func (a *attempt) ranMs(now ms) ms {
	if a.sentAt == 0 || a.adopted {
		return 0
	}
	return now - a.sentAt
}

// taskDone records that an attempt has completed its task.
func (c *Cell) taskDone(a *attempt, now ms) {
	s := a.stage
	a.worker.health.record(true, now, false)
	if s.spec.LongRunning {
		return
	}
	i := a.task.Index
	if s.done.has(i) {
		return
	}
	if a.sentAt > 0 && !a.adopted && s.checkpoints[i] == "" && !s.spec.BestEffortCPU {
		c.workerTypes.add(a.worker.workerType, int64(now-a.sentAt), s.spec.EstimateMs)
		if usualMs, known := c.usualMs(s, now); known {
			a.worker.slowdown.add(a.elapsedMs(now)/(usualMs*c.expectedSlowness(s, a.worker)), now)
		}
		s.durations = append(s.durations, a.elapsedMs(now)/c.expectedSlowness(s, a.worker))
	} else if c.learns(s) && a.sentAt > 0 && !a.adopted && !a.resumed {
		s.durations = append(s.durations, c.scaledElapsedMs(a, now)) // It has saved checkpoints, but started from none.
	}
	c.learnDone(a, now)
	s.done.add(i)
	if s.spec.Gang {
		// The end of one member completes the gang.
		for k := 0; k < s.spec.Count; k++ {
			s.done.add(k)
		}
	}
	for _, other := range s.live(i) {
		other.stopWanted = true
	}
	c.markDirty(s.job)
	if s.finished() {
		c.advanceRun(s.job.runs[s.id.Run], now)
	}
}

// taskFailed counts a failed attempt, and fails the job when the task may not be attempted again.
func (c *Cell) taskFailed(a *attempt, now ms) {
	s, w := a.stage, a.worker
	c.stats.Failures++
	s.avoid[w.info.ID]++
	if w.health.record(false, now, c.mayQuarantine(now)) {
		c.stats.Quarantined++
		c.cfg.Log("worker in quarantine", "Worker", w.info.ID, "UntilMs", w.health.quarantinedUntil-now, "Job", a.task.Job)
	}
	if s.spec.LongRunning {
		return
	}
	i := a.task.Index
	if s.spec.Gang {
		i = 0
	}
	if slices.Contains(s.failures[i], a.number) {
		return // Counted already, by this leader, by a prior one, or through another member of the gang.
	}
	s.failures[i] = append(s.failures[i], a.number)
	c.markDirty(s.job)
	if len(s.failures[i]) >= max(c.queue(s.job).MaxAttempts, 1) && !s.done.has(i) {
		c.finish(s.job, Failed, now)
	}
}

// mayQuarantine reports whether one more worker may be put into quarantine.
func (c *Cell) mayQuarantine(now ms) bool {
	n := 0
	for _, w := range c.workers {
		if w.health.inQuarantine(now) {
			n++
		}
	}
	return float64(n+1) <= maxQuarantined*float64(len(c.workers))
}
