package cccell

import "sort"

// Stragglers. Load pattern: workers that turn several times slower, or on which tasks stand still, while their health is good.
// The tasks of a stage are alike, so that each is measured against its siblings: a task that will take far longer than
// they do, for no reason of the worker's kind or the data's place, is moved, or copied where copies may run, once. A
// worker on which tasks lag behind their siblings gets less work until it has caught up.

const (
	// lagFactor is how many times longer than its siblings a task has to take to be moved. Tasks of a stage differ by a third.
	lagFactor float64 = 2.2
	// judgeShare is the share of the usual time that a task must have run before it is judged.
	judgeShare float64 = 0.7
	// gainFactor is how many times the usual time a task must still need for a move to pay.
	gainFactor float64 = 1.4
	// moveMs is the time that a move itself takes: a stop, its end in a list, and a start.
	moveMs float64 = 200
	// minPeers is the number of siblings that make a reference.
	minPeers int = 3
	// standMs is the time without progress after which a task stands still, standShare the same as a share of its whole time.
	standMs    ms      = 1600
	standShare float64 = 0.05
	// startupMs is the time after which a task that lasts should be at work.
	startupMs ms = 5000
	// maxMoves bounds the moves of one task: work that is long by its own nature is long elsewhere, too.
	maxMoves int = 1
	// lagWeight is the weight of one task in a worker's lag, lagCap bounds one sample, lagHalfMs is the time in which a lag halves.
	lagWeight float64 = 0.35
	lagCap    float64 = 8
	lagHalfMs ms      = 4000
	// checkMs is the time between two checks.
	checkMs ms = 100
	// hurryWaitMs is how long a look waits at a worker that lags: its tasks' progress is needed soon.
	hurryWaitMs int64 = 250
)

// lag is how many times longer tasks take on a worker than their siblings elsewhere.
type lag struct {
	value float64
	at    ms
}

// now returns the lag, which fades: a worker that has caught up gets work again.
func (l *lag) now(now ms) float64 {
	if l.value <= 1 {
		return 1
	}
	return 1 + (l.value-1)/(1+float64(now-l.at)/float64(lagHalfMs))
}

// add takes in one task.
func (l *lag) add(sample float64, now ms) {
	l.value = l.now(now) + (min(sample, lagCap)-l.now(now))*lagWeight
	l.at = now
}

// pastMs returns how long an attempt has run.
func (a *attempt) pastMs(now ms) float64 {
	return float64(now - a.sentAt)
}

// totalMs projects how long an attempt takes in all, 0 when nothing is known yet.
func (a *attempt) totalMs(now ms) float64 {
	if a.percent <= 0 || a.adopted {
		return 0
	}
	total := float64(a.movedAt-a.sentAt) * 100 / float64(a.percent)
	if stood := now - a.movedAt; stood > standMs && float64(stood) > standShare*total && a.worker.lookDone > a.movedAt {
		total = max(total, a.pastMs(now)*100/float64(a.percent))
	}
	return total
}

// usual returns the time that a task of the stage usually takes on the fastest kind beside its data, and false while too
// few are known.
func (c *Cell) usual(s *stage, now ms) (float64, bool) {
	list := append([]float64(nil), s.took...)
	for _, attempts := range s.tasks {
		for _, a := range attempts {
			if t := a.totalMs(now); t > 0 && a.percent >= 10 {
				list = append(list, t/c.factor(s, a.worker))
			}
		}
	}
	if len(list) < minPeers {
		return 0, false
	}
	sort.Float64s(list)
	return list[len(list)/2], true
}

// factor returns how many times longer a task takes on a worker by its kind and place.
func (c *Cell) factor(s *stage, w *worker) float64 {
	f := c.kinds.slowness(w.kind)
	if s.spec.DataRack != "" && s.spec.DataRack != w.rack {
		f *= c.cfg.RemoteFactor
	}
	return f
}

// straggle moves or copies what lags.
func (c *Cell) straggle(now ms) {
	if now-c.straggledAt < checkMs {
		return
	}
	c.straggledAt = now
	for s := range c.open {
		if s.spec.Gang || s.job.final != "" {
			continue
		}
		usual, known := 0.0, false
		if !s.spec.LongRunning {
			usual, known = c.usual(s, now)
		}
		for _, list := range s.tasks {
			for _, a := range list {
				if a.state == running && !a.stopping && !a.moved {
					c.checkLag(s, a, usual, known, now)
				}
			}
		}
	}
}

// checkLag moves an attempt if it lags.
func (c *Cell) checkLag(s *stage, a *attempt, usual float64, known bool, now ms) {
	w := a.worker
	if s.spec.LongRunning {
		if a.percent < 100 && now-a.sentAt > startupMs && now-a.movedAt > standMs && w.lookDone > a.movedAt {
			w.lag.add(lagCap, now)
			c.move(s, a, "not at work", 0, 0, now)
		}
		return
	}
	stands := now-a.movedAt > standMs && w.lookDone-a.movedAt > standMs
	if !known && !stands {
		return
	}
	total := a.totalMs(now)
	if stands && float64(now-a.movedAt) > max(standShare*total, float64(standMs)) {
		if a.percent == 0 && float64(now-a.sentAt) < 0.1*float64(s.spec.EstimateMs) {
			return // A long task has not reached its first percent yet.
		}
		w.lag.add(lagCap, now)
		c.move(s, a, "stands still", total, usual, now)
		return
	}
	if !known {
		return
	}
	here := usual * c.factor(s, w)
	if a.pastMs(now) < judgeShare*here {
		return // The first percents come late and are rounded: they say little.
	}
	if shown := float64(w.lookDone - a.sentAt); total == 0 && shown > judgeShare*here {
		total = lagCap * here // Not one percent in most of the usual time.
	}
	if total < lagFactor*here || total-a.pastMs(now) < gainFactor*usual+moveMs {
		return
	}
	w.lag.add(total/here, now)
	c.move(s, a, "lags", total, usual, now)
}

// move copies an attempt where copies may run, and else stops it, so that it starts elsewhere.
func (c *Cell) move(s *stage, a *attempt, why string, total, usual float64, now ms) {
	a.moved = true
	if s.moves[a.task.Index] >= maxMoves && !s.spec.LongRunning {
		return
	}
	s.moves[a.task.Index]++
	s.avoid[a.worker.info.ID]++
	c.stats.Moved++
	c.cfg.Log("task moved", "Job", a.task.Job, "Task", a.task, "Attempt", a.number, "Worker", a.worker.info.ID, "Why", why, "Copy", s.spec.Speculative,
		"Percent", a.percent, "RanMs", now-a.sentAt, "TotalMs", int64(total), "UsualMs", int64(usual), "Lag", a.worker.lag.now(now))
	if !s.spec.Speculative {
		a.stopping = true
	}
}
