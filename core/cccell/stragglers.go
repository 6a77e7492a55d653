package cccell

import "slices"

// Stragglers. They matter when workers become several times slower, or tasks stall on them, while their health score is
// good. The tasks of a stage are alike, so each is compared with its siblings. A task that takes far longer than its
// siblings, for which neither the worker's type nor the place of the data accounts, is moved once, or copied if its
// stage is speculative. A worker whose tasks take longer than their siblings elsewhere gets fewer tasks until it has
// recovered.

const (
	// stragglerFactor is the ratio of a task's projected duration to the usual one from which the task is a straggler.
	// Tasks of one stage differ by about a third.
	stragglerFactor float64 = 2.2
	// minElapsedShare is the share of the usual duration that a task must have run before it can be a straggler.
	minElapsedShare float64 = 0.7
	// minRemainingFactor: a move is worthwhile when the remaining time of a task is longer than moveCostMs plus this
	// factor times the usual duration.
	minRemainingFactor float64 = 1.4
	// moveCostMs is the time that a move takes: a stop, a poll that lists its end, and a start.
	moveCostMs float64 = 200
	// minSiblings is the number of siblings with a known duration from which the usual duration is computed.
	minSiblings int = 3
	// A task has stalled after stallMs without progress, if that is also more than stallShare of its projected
	// duration.
	stallMs    ms      = 1600
	stallShare float64 = 0.05
	// startupMs is the time in which a long-running task should reach 100 percent, which means that it serves.
	startupMs ms = 5000
	// maxMoves bounds the moves of one task: a task with more work than its siblings takes as long elsewhere.
	maxMoves int = 1
	// slowdownWeight is the weight of one task in a worker's slowdown, slowdownCap bounds one sample, and
	// slowdownHalfMs is the time after the last sample at which half of the slowdown above 1 is left.
	slowdownWeight float64 = 0.35
	slowdownCap    float64 = 8
	slowdownHalfMs ms      = 4000
	// checkIntervalMs is the interval between two searches for stragglers.
	checkIntervalMs ms = 100
	// slowWorkerPollTimeoutMs is how long a slow worker may hold the reply to a poll: the progress of its tasks is
	// needed sooner.
	slowWorkerPollTimeoutMs int64 = 250
)

// slowdown is a moving average of the ratio of task durations on a worker to those of their siblings elsewhere.
type slowdown struct {
	value float64
	at    ms
}

// current returns the slowdown at a time, at least 1. It decays towards 1, so that a worker that has recovered gets
// tasks again.
func (d *slowdown) current(now ms) float64 {
	if d.value <= 1 {
		return 1
	}
	return 1 + (d.value-1)/(1+float64(now-d.at)/float64(slowdownHalfMs))
}

// add adds the ratio of one task.
func (d *slowdown) add(sample float64, now ms) {
	d.value = d.current(now) + (min(sample, slowdownCap)-d.current(now))*slowdownWeight
	d.at = now
}

// elapsedMs returns how long an attempt has run.
func (a *attempt) elapsedMs(now ms) float64 {
	return float64(now - a.sentAt)
}

// projectedTotalMs returns the projected duration of an attempt, or 0 when it has no progress or an unknown start. It
// extrapolates from the last progress, or from now when the attempt has stalled.
func (a *attempt) projectedTotalMs(now ms) float64 {
	if a.percent <= 0 || a.adopted {
		return 0
	}
	totalMs := float64(a.progressAt-a.sentAt) * 100 / float64(a.percent)
	if sinceProgress := now - a.progressAt; sinceProgress > stallMs && float64(sinceProgress) > stallShare*totalMs && a.worker.pollDoneAt > a.progressAt {
		totalMs = max(totalMs, a.elapsedMs(now)*100/float64(a.percent))
	}
	return totalMs
}

// usualMs returns the median duration of the stage's tasks, scaled to the fastest worker type in the rack of the
// data. Completed tasks count, and running ones from 10 percent on by their projection. It returns false when fewer
// than minSiblings durations are known.
func (c *Cell) usualMs(s *stage, now ms) (float64, bool) {
	durations := c.knownDurations(s, now)
	if len(durations) < minSiblings {
		return 0, false
	}
	return medianOf(durations), true
}

// medianOf returns the median of a list that is not empty; of an even number, the larger of the two in the middle.
func medianOf(durations []float64) float64 {
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// knownDurations returns the scaled durations of the tasks of a stage that are done, and the projected ones of those
// that run, from 10 percent on.
func (c *Cell) knownDurations(s *stage, now ms) []float64 {
	durations := append([]float64(nil), s.durations...)
	for _, attempts := range s.tasks {
		for _, a := range attempts {
			if t := a.projectedTotalMs(now); t > 0 && a.percent >= 10 {
				durations = append(durations, t/c.expectedSlowness(s, a.worker))
			}
		}
	}
	return durations
}

// expectedSlowness returns the ratio of a task's expected duration on a worker to that on the fastest worker type in
// the rack of the data.
func (c *Cell) expectedSlowness(s *stage, w *worker) float64 {
	f := c.workerTypes.slowness(w.workerType)
	if s.spec.DataRack != "" && s.spec.DataRack != w.rack {
		f *= c.cfg.RemoteFactor
	}
	return f
}

// moveStragglers moves or copies stragglers.
func (c *Cell) moveStragglers(now ms) {
	if now-c.stragglersCheckedAt < checkIntervalMs {
		return
	}
	c.stragglersCheckedAt = now
	for s := range c.open {
		if s.spec.Gang || s.job.final != "" {
			continue
		}
		usualMs, known := 0.0, false
		if !s.spec.LongRunning {
			if usualMs, known = c.usualMs(s, now); !known {
				usualMs, known = c.usualWithoutSiblings(s)
			}
		}
		for _, list := range s.tasks {
			for _, a := range list {
				if a.state == running && !a.stopWanted && !a.straggler {
					c.checkStraggler(s, a, usualMs, known, now)
				}
			}
		}
	}
}

// checkStraggler moves or copies an attempt if it is a straggler.
func (c *Cell) checkStraggler(s *stage, a *attempt, usualMs float64, known bool, now ms) {
	w := a.worker
	if s.spec.LongRunning {
		if a.percent < 100 && now-a.sentAt > startupMs && now-a.progressAt > stallMs && w.pollDoneAt > a.progressAt {
			w.slowdown.add(slowdownCap, now)
			c.move(s, a, "not at work", 0, 0, now)
		}
		return
	}
	stalled := now-a.progressAt > stallMs && w.pollDoneAt-a.progressAt > stallMs
	if !known && !stalled {
		return
	}
	totalMs := a.projectedTotalMs(now)
	if stalled && float64(now-a.progressAt) > max(stallShare*totalMs, float64(stallMs)) {
		if a.percent == 0 && a.elapsedMs(now) < c.firstPercentMs(s, now) {
			return // A long task may not have reached its first percent yet.
		}
		w.slowdown.add(slowdownCap, now)
		c.move(s, a, "stands still", totalMs, usualMs, now)
		return
	}
	if !known {
		return
	}
	expectedMs := usualMs * c.expectedSlowness(s, w)
	if a.elapsedMs(now) < minElapsedShare*expectedMs {
		return // The first percents are reported late and rounded, so a projection from them is not reliable.
	}
	if observedMs := float64(w.pollDoneAt - a.sentAt); totalMs == 0 && observedMs > minElapsedShare*expectedMs {
		totalMs = slowdownCap * expectedMs // Less than one percent in most of the usual duration.
	}
	if totalMs < stragglerFactor*expectedMs || totalMs-a.elapsedMs(now) < minRemainingFactor*usualMs+moveCostMs {
		return
	}
	w.slowdown.add(totalMs/expectedMs, now)
	c.move(s, a, "lags", totalMs, usualMs, now)
}

// move handles a straggler. If its stage is speculative, a later round starts a copy; otherwise the attempt is stopped,
// and its task starts again elsewhere. A task that was moved maxMoves times stays, unless it is long-running.
func (c *Cell) move(s *stage, a *attempt, why string, totalMs, usualMs float64, now ms) {
	a.straggler = true
	if s.moves[a.task.Index] >= maxMoves && !s.spec.LongRunning {
		return
	}
	s.moves[a.task.Index]++
	s.avoid[a.worker.info.ID]++
	c.stats.Moved++
	c.cfg.Log("task moved", "Job", a.task.Job, "Task", a.task, "Attempt", a.number, "Worker", a.worker.info.ID, "Why", why, "Copy", s.spec.Speculative,
		"Percent", a.percent, "RanMs", now-a.sentAt, "TotalMs", int64(totalMs), "UsualMs", int64(usualMs), "Lag", a.worker.slowdown.current(now))
	if !s.spec.Speculative {
		a.stopWanted = true
	}
}
