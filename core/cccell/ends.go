package cccell

import "slices"

// listedEnd takes in an end that a worker lists, and notes what the store must have before the
// worker may forget it.
func (c *Cell) recordEnd(w *worker, e *EndedTask, now ms) {
	a := w.attempts[attemptKey{e.Task, e.Attempt}]
	if a == nil {
		// Ordered by an earlier leader, or settled before its end was listed.
		a = &attempt{task: e.Task, number: e.Attempt, worker: w, stage: c.stageOf(e.Task)}
	}
	c.endAttempt(a, e.End, e.Checkpoint, now)
	unacked := unackedEnd{number: e.Number}
	if a.stage != nil && (e.End == EndDone || e.End == EndFailed) {
		unacked.job, unacked.version = a.stage.job, a.stage.job.version
	}
	w.unackedEnds = append(w.unackedEnds, unacked)
}

// ended settles an attempt: its room is free, and its task is done, failed or waits again.
func (c *Cell) endAttempt(a *attempt, end End, checkpoint string, now ms) {
	w, s := a.worker, a.stage
	w.removeAttempt(a)
	if s == nil {
		return
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
		// The others can't work on alone.
		c.stopGang(s, now)
	}
}

// ranMs returns how long an attempt ran, 0 when its start is not known.
func (a *attempt) ranMs(now ms) ms {
	if a.sentAt == 0 || a.adopted {
		return 0
	}
	return now - a.sentAt
}

// done notes that a task has ended as it should.
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
		c.kinds.add(a.worker.kind, int64(now-a.sentAt), s.spec.EstimateMs)
		if usualMs, known := c.usualMs(s, now); known {
			a.worker.slowdown.add(a.elapsedMs(now)/(usualMs*c.expectedSlowness(s, a.worker)), now)
		}
		s.durations = append(s.durations, a.elapsedMs(now)/c.expectedSlowness(s, a.worker))
	}
	s.done.add(i)
	if s.spec.Gang {
		// A gang is done as a whole.
		for k := 0; k < s.spec.Count; k++ {
			s.done.add(k)
		}
	}
	for _, other := range s.tasks[i] {
		other.stopWanted = true
	}
	c.markDirty(s.job)
	if s.finished() {
		c.advanceRun(s.job.runs[s.id.Run], now)
	}
}

// failed counts a failure, and fails the job when a task has no attempts left.
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
		return // Counted already, by this leader or an earlier one, or for another member of the gang.
	}
	s.failures[i] = append(s.failures[i], a.number)
	c.markDirty(s.job)
	if len(s.failures[i]) >= max(c.queue(s.job).MaxAttempts, 1) && !s.done.has(i) {
		c.finish(s.job, Failed, now)
	}
}

// mayQuarantine reports whether one more worker may be set aside.
func (c *Cell) mayQuarantine(now ms) bool {
	n := 0
	for _, w := range c.workers {
		if now < w.health.quarantinedUntil {
			n++
		}
	}
	return float64(n+1) <= maxQuarantined*float64(len(c.workers))
}
