package cccell

import "slices"

// listedEnd takes in an end that a worker lists, and notes what the store must have before the
// worker may forget it.
func (c *Cell) listedEnd(w *worker, e *EndedTask, now ms) {
	a := w.attempts[attemptKey{e.Task, e.Attempt}]
	if a == nil {
		// Ordered by an earlier leader, or settled before its end was listed.
		a = &attempt{task: e.Task, number: e.Attempt, worker: w, stage: c.stageOf(e.Task)}
	}
	c.ended(a, e.End, e.Checkpoint, now)
	dep := endDep{number: e.Number}
	if a.stage != nil && (e.End == EndDone || e.End == EndFailed) {
		dep.job, dep.version = a.stage.job, a.stage.job.version
	}
	w.ends = append(w.ends, dep)
}

// ended settles an attempt: its room is free, and its task is done, failed or waits again.
func (c *Cell) ended(a *attempt, how End, checkpoint string, now ms) {
	w, s := a.worker, a.stage
	w.release(a)
	if s == nil {
		return
	}
	if checkpoint != "" {
		s.save(a.task.Index, checkpoint)
	}
	j := s.job
	if j.final != "" {
		return
	}
	switch how {
	case EndDone:
		c.done(a, now)
		return
	case EndFailed:
		c.failed(a, now)
	case EndVanished:
		c.stats.Vanished++
	case EndLapsed:
		c.stats.Lapsed++
	}
	if j.final == "" && (how != EndStopped || !a.stopping) {
		c.cfg.Log("task ended early", "Job", a.task.Job, "Task", a.task, "Attempt", a.number, "Worker", w.info.ID, "End", how,
			"RanMs", a.ranMs(now), "Percent", a.percent, "Saved", s.saved[a.task.Index] != "")
	}
	if s.spec.Gang && (how == EndVanished || how == EndLapsed || how == EndStopped || how == EndFailed) {
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
func (c *Cell) done(a *attempt, now ms) {
	s := a.stage
	a.worker.health.ended(true, now, false)
	if s.spec.LongRunning {
		return
	}
	i := a.task.Index
	if s.done.has(i) {
		return
	}
	if a.sentAt > 0 && !a.adopted && s.saved[i] == "" && !s.spec.BestEffortCPU {
		c.kinds.add(a.worker.kind, int64(now-a.sentAt), s.spec.EstimateMs)
		if usual, known := c.usual(s, now); known {
			a.worker.lag.add(a.pastMs(now)/(usual*c.factor(s, a.worker)), now)
		}
		s.took = append(s.took, a.pastMs(now)/c.factor(s, a.worker))
	}
	s.done.add(i)
	if s.spec.Gang {
		// A gang is done as a whole.
		for k := 0; k < s.spec.Count; k++ {
			s.done.add(k)
		}
	}
	for _, other := range s.tasks[i] {
		other.stopping = true
	}
	c.touch(s.job)
	if s.finished() {
		c.advance(s.job.runs[s.id.Run], now)
	}
}

// failed counts a failure, and fails the job when a task has no attempts left.
func (c *Cell) failed(a *attempt, now ms) {
	s, w := a.stage, a.worker
	c.stats.Failures++
	s.avoid[w.info.ID]++
	if w.health.ended(false, now, c.mayQuarantine(now)) {
		c.stats.Quarantined++
		c.cfg.Log("worker in quarantine", "Worker", w.info.ID, "UntilMs", w.health.until-now, "Job", a.task.Job)
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
	c.touch(s.job)
	if len(s.failures[i]) >= max(c.queue(s.job).MaxAttempts, 1) && !s.done.has(i) {
		c.finish(s.job, Failed, now)
	}
}

// mayQuarantine reports whether one more worker may be set aside.
func (c *Cell) mayQuarantine(now ms) bool {
	n := 0
	for _, w := range c.workers {
		if now < w.health.until {
			n++
		}
	}
	return float64(n+1) <= maxQuarantined*float64(len(c.workers))
}
