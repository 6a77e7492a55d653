package cccell

import "coriandercross/core/ccruntimes"

// Learned run times. Callers' estimates are off by a factor of two and more; the order of placement, stragglers, holds
// and evacuations then go wrong. With Config.RunTimes, the cell learns from finished runs and uses predictions instead.
// Run times are scaled to the fastest worker type in the rack of the data, as those in stage.durations.

// predictionValidMs is how long the prediction for a stage is used before it is made anew.
const predictionValidMs ms = 300

// learns reports whether the run times of a stage are learned.
func (c *Cell) learns(s *stage) bool {
	return c.cfg.RunTimes != nil && s.spec.learnable()
}

// learnable reports whether the tasks of the stage have run times of their own. Those of tasks that use only idle cores
// depend on their neighbours.
func (s *Stage) learnable() bool {
	return !s.LongRunning && !s.BestEffortCPU
}

// workOf returns what is known of a task of a stage of a job before it runs.
func workOf(j *Job, i int) ccruntimes.Work {
	s := &j.Stages[i]
	return ccruntimes.Work{
		Team: j.Team, Queue: j.Queue.Name, Image: s.Image, Stage: i, MilliCores: s.Size.MilliCores, Accelerators: s.Size.Accelerators, EstimateMs: s.EstimateMs,
	}
}

// predict returns the prediction for the tasks of a stage whose run times are learned. The tasks of the stage that are
// done or have got far are the best evidence.
func (c *Cell) predict(s *stage, now ms) *ccruntimes.Prediction {
	if s.predictedAt != 0 && now-s.predictedAt < predictionValidMs {
		return &s.prediction
	}
	w := workOf(s.job.spec, s.id.Stage)
	s.prediction, s.predictedAt = c.cfg.RunTimes.Predict(&w), now
	known := c.knownDurations(s, now)
	medianMs := s.prediction.MedianMs()
	for _, attempts := range s.tasks {
		for _, a := range attempts {
			// One that has run longer than expected, and tells no progress, will take at least that long.
			if ran := c.scaledElapsedMs(a, now); a.state == running && !a.adopted && !a.resumed && a.percent < 10 && ran > medianMs && !a.straggler {
				known = append(known, ran)
			}
		}
	}
	if len(known) > 0 {
		s.prediction = s.prediction.WithSiblings(medianOf(known), len(known))
	}
	return &s.prediction
}

// scaledElapsedMs returns how long an attempt has run, scaled to the fastest worker type in the rack of the data.
func (c *Cell) scaledElapsedMs(a *attempt, now ms) float64 {
	return a.elapsedMs(now) / c.expectedSlowness(a.stage, a.worker)
}

// learnDone records the run time of a task that is done.
func (c *Cell) learnDone(a *attempt, now ms) {
	s := a.stage
	if !c.learns(s) || a.sentAt == 0 || a.adopted || a.resumed {
		return
	}
	tookMs := c.scaledElapsedMs(a, now)
	w := workOf(s.job.spec, s.id.Stage)
	c.cfg.RunTimes.Finished(&w, tookMs, sampleWeight(s))
	if a.expectedMs > 0 && s.spec.EstimateMs > 0 {
		c.cfg.RunTimes.RecordError(w.Queue, a.expectedMs, float64(s.spec.EstimateMs), tookMs)
		if c.cfg.ObserveRunTime != nil {
			c.cfg.ObserveRunTime(w.Queue, ccruntimes.Factor(a.expectedMs, tookMs), ccruntimes.Factor(float64(s.spec.EstimateMs), tookMs))
		}
	}
}

// learnUnfinished records that an attempt has run for some time without getting done.
func (c *Cell) learnUnfinished(a *attempt, end End, now ms) {
	s := a.stage
	if !c.learns(s) || a.state != running || a.sentAt == 0 || a.adopted || a.resumed || a.straggler {
		return // What a straggler took is due to its worker.
	}
	until := now
	if end == EndVanished || end == EndLapsed {
		until = a.progressAt // It may have ended at any time since.
	}
	w := workOf(s.job.spec, s.id.Stage)
	c.cfg.RunTimes.Unfinished(&w, c.scaledElapsedMs(a, until), sampleWeight(s))
}

// sampleWeight returns the weight of one run of a stage. Together its tasks weigh 1: they are alike. The end of one
// member completes a gang.
func sampleWeight(s *stage) float64 {
	if s.spec.Gang {
		return 1
	}
	return 1 / float64(s.spec.Count)
}

// learnedChainMs returns the duration of the longest chain of dependent stages of a job, by what was learned. It is kept
// for predictionValidMs.
func (c *Cell) learnedChainMs(j *job) int64 {
	if j.chainAt != 0 && c.roundAt-j.chainAt < predictionValidMs {
		return j.chainMs
	}
	j.chainMs = j.spec.longestChainMs(func(i int) int64 {
		var p ccruntimes.Prediction
		switch r := j.runs[0]; {
		case !j.spec.Stages[i].learnable():
		case r != nil && j.spec.ScheduledRuns == 0:
			p = *c.predict(r.stages[i], c.roundAt)
		default:
			w := workOf(j.spec, i)
			p = c.cfg.RunTimes.Predict(&w)
		}
		if !p.Known() {
			return j.spec.Stages[i].EstimateMs
		}
		return int64(p.MedianMs())
	})
	j.chainAt = c.roundAt
	return j.chainMs
}

// minPercent is the progress from which the remaining time is extrapolated from it, rather than predicted: progress is
// reported late, in whole percents.
const minPercent = 5

// remainingMs estimates the remaining duration of an attempt.
func (c *Cell) remainingMs(a *attempt, now ms) int64 {
	if a.stage == nil || !c.learns(a.stage) || a.adopted || a.resumed || a.percent >= minPercent {
		return a.remainingMs(now)
	}
	p := c.predict(a.stage, now)
	if !p.Known() {
		return a.remainingMs(now)
	}
	return int64(p.RemainingMs(c.scaledElapsedMs(a, now)) * c.expectedSlowness(a.stage, a.worker))
}

// stragglerQuantile is the share of the known run times that a task without siblings has to exceed to be a straggler:
// three tasks in a hundred take seven times as long as the others, wherever they run.
const stragglerQuantile = 0.99

// stragglerWeight is the weight from which a prediction has that quantile.
const stragglerWeight = 60

// usualWithoutSiblings returns the duration by which a task is judged that has too few siblings, by what was learned. It
// returns false if too little was learned. Where there are enough siblings they will tell soon: when all of them take
// long, it is due to the stage and not to their workers.
func (c *Cell) usualWithoutSiblings(s *stage) (float64, bool) {
	if !c.learns(s) || s.spec.Count >= minSiblings {
		return 0, false
	}
	w := workOf(s.job.spec, s.id.Stage)
	p := c.cfg.RunTimes.Predict(&w)
	if p.Weight < stragglerWeight {
		return 0, false
	}
	usualMs := p.AtMs(stragglerQuantile) / stragglerFactor
	if len(s.durations) > 0 { // Projected durations would count the task itself as its sibling.
		p = p.WithSiblings(medianOf(s.durations), len(s.durations))
	}
	return max(usualMs, p.MedianMs()), true
}

// firstPercentMs returns the time in which a task of a stage should reach its first percent.
func (c *Cell) firstPercentMs(s *stage, now ms) float64 {
	const share = 0.1
	if c.learns(s) {
		if p := c.predict(s, now); p.Enough() {
			return share * p.MedianMs()
		}
	}
	return share * float64(s.spec.EstimateMs)
}

// backfillQuantile is the share of the known run times within which a task has to end to run on a held worker.
const backfillQuantile = 0.9

// endsInTime reports whether the tasks of a stage will end on a held worker before it is needed.
func (c *Cell) endsInTime(s *stage, w *worker, now ms) bool {
	if w.heldMs <= 0 || !c.learns(s) {
		return false
	}
	p := c.predict(s, now)
	return p.Enough() && p.AtMs(backfillQuantile)*c.expectedSlowness(s, w)*w.slowdown.current(now) <= float64(w.heldMs)
}

// expectation returns what is expected of the tasks of a stage, as fields of a log line.
func (c *Cell) expectation(s *stage, now ms) []any {
	if !c.learns(s) {
		return nil
	}
	p := c.predict(s, now)
	if !p.Known() {
		return nil
	}
	return []any{"ExpectMs", int64(p.MedianMs()), "ExpectP90Ms", int64(p.AtMs(0.9)), "ExpectBy", p.Source, "EstimateMs", s.spec.EstimateMs}
}
