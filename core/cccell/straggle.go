package cccell

import "sort"

// Stragglers. Load pattern: workers that turn several times slower, or on which tasks stand still, while their health is good.
// The tasks of a stage are alike, so that each is measured against its siblings: a task that will take far longer than
// they do, for no reason of the worker's kind or the data's place, is moved, or copied where copies may run, once. A
// worker on which tasks lag behind their siblings gets less work until it has caught up.

const (
	// lagFactor is how many times longer than its siblings a task has to take to be moved. Tasks of a stage differ by a third.
	stragglerFactor float64 = 2.2
	// judgeShare is the share of the usual time that a task must have run before it is judged.
	minElapsedShare float64 = 0.7
	// gainFactor is how many times the usual time a task must still need for a move to pay.
	minRemainingFactor float64 = 1.4
	// moveMs is the time that a move itself takes: a stop, its end in a list, and a start.
	moveCostMs float64 = 200
	// minPeers is the number of siblings that make a reference.
	minSiblings int = 3
	// standMs is the time without progress after which a task stands still, standShare the same as a share of its whole time.
	stallMs    ms      = 1600
	stallShare float64 = 0.05
	// startupMs is the time after which a task that lasts should be at work.
	startupMs ms = 5000
	// maxMoves bounds the moves of one task: work that is long by its own nature is long elsewhere, too.
	maxMoves int = 1
	// lagWeight is the weight of one task in a worker's lag, lagCap bounds one sample, lagHalfMs is the time in which a lag halves.
	slowdownWeight float64 = 0.35
	slowdownCap    float64 = 8
	slowdownHalfMs ms      = 4000
	// checkMs is the time between two checks.
	checkIntervalMs ms = 100
	// hurryWaitMs is how long a look waits at a worker that lags: its tasks' progress is needed soon.
	slowWorkerPollTimeoutMs int64 = 250
)

// lag is how many times longer tasks take on a worker than their siblings elsewhere.
type slowdown struct {
	value float64
	at    ms
}

// now returns the lag, which fades: a worker that has caught up gets work again.
func (d *slowdown) current(now ms) float64 {
	if d.value <= 1 {
		return 1
	}
	return 1 + (d.value-1)/(1+float64(now-d.at)/float64(slowdownHalfMs))
}

// add takes in one task.
func (d *slowdown) add(sample float64, now ms) {
	d.value = d.current(now) + (min(sample, slowdownCap)-d.current(now))*slowdownWeight
	d.at = now
}

// pastMs returns how long an attempt has run.
func (a *attempt) elapsedMs(now ms) float64 {
	return float64(now - a.sentAt)
}

// totalMs projects how long an attempt takes in all, 0 when nothing is known yet.
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

// usual returns the time that a task of the stage usually takes on the fastest kind beside its data, and false while too
// few are known.
func (c *Cell) usualMs(s *stage, now ms) (float64, bool) {
	durations := append([]float64(nil), s.durations...)
	for _, attempts := range s.tasks {
		for _, a := range attempts {
			if t := a.projectedTotalMs(now); t > 0 && a.percent >= 10 {
				durations = append(durations, t/c.expectedSlowness(s, a.worker))
			}
		}
	}
	if len(durations) < minSiblings {
		return 0, false
	}
	sort.Float64s(durations)
	return durations[len(durations)/2], true
}

// factor returns how many times longer a task takes on a worker by its kind and place.
func (c *Cell) expectedSlowness(s *stage, w *worker) float64 {
	f := c.kinds.slowness(w.kind)
	if s.spec.DataRack != "" && s.spec.DataRack != w.rack {
		f *= c.cfg.RemoteFactor
	}
	return f
}

// straggle moves or copies what lags.
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
			usualMs, known = c.usualMs(s, now)
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

// checkLag moves an attempt if it lags.
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
		if a.percent == 0 && float64(now-a.sentAt) < 0.1*float64(s.spec.EstimateMs) {
			return // A long task has not reached its first percent yet.
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
		return // The first percents come late and are rounded: they say little.
	}
	if observedMs := float64(w.pollDoneAt - a.sentAt); totalMs == 0 && observedMs > minElapsedShare*expectedMs {
		totalMs = slowdownCap * expectedMs // Not one percent in most of the usualMs time.
	}
	if totalMs < stragglerFactor*expectedMs || totalMs-a.elapsedMs(now) < minRemainingFactor*usualMs+moveCostMs {
		return
	}
	w.slowdown.add(totalMs/expectedMs, now)
	c.move(s, a, "lags", totalMs, usualMs, now)
}

// move copies an attempt where copies may run, and else stops it, so that it starts elsewhere.
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
