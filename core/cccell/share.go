package cccell

import (
	"slices"
	"sort"

	"coriandercross/core/ccfair"
	"coriandercross/core/ccwork"
)

// teamExceedsLogMs is the least interval between two lines on one team whose jobs exceed its budget.
const teamExceedsLogMs ms = 5000

// settleArrivals charges the jobs that have arrived since the last round to the budgets of their teams, in the order in
// which they were accepted. Jobs that an earlier leader has found to be excess stay so.
func (c *Cell) settleArrivals(now ms) {
	if len(c.arrivals) == 0 {
		return
	}
	sort.SliceStable(c.arrivals, func(a, b int) bool { return c.arrivals[a].acceptedAt < c.arrivals[b].acceptedAt })
	// The prior leader knew the jobs that were accepted before the newest excess of their team.
	knownUntil := map[string]ms{}
	for _, j := range c.arrivals {
		if c.knownExcess[j.spec.ID] {
			knownUntil[j.spec.Team] = j.acceptedAt
		}
	}
	for _, j := range c.arrivals {
		until, known := knownUntil[j.spec.Team]
		switch {
		case known && j.acceptedAt <= until:
			j.excess = c.knownExcess[j.spec.ID]
			if j.team.Adopt(j.acceptedAt, j.excess); !j.excess {
				continue
			}
		case j.team.Arrive(j.acceptedAt):
			j.excess = true
			c.logExcess(j, now)
		default:
			continue
		}
		c.publishExcess(j)
	}
	c.arrivals, c.knownExcess = nil, nil
}

// publishExcess tells the peers that a job is beyond the budget of its team, unless it has ended or has no state for them.
func (c *Cell) publishExcess(j *job) {
	if j.final == "" && !j.unstored {
		c.orders.Changes = append(c.orders.Changes, StateChange{Job: j.spec.ID, State: c.stateOf(j), Excess: true})
	}
}

// AdoptExcess tells the cell which jobs the prior leader found to be beyond the budgets of their teams. It is called
// before the first round.
func (c *Cell) AdoptExcess(jobs []string) {
	c.knownExcess = make(map[string]bool, len(jobs))
	for _, id := range jobs {
		c.knownExcess[id] = true
	}
}

// logExcess logs that a team sends more than its weight.
func (c *Cell) logExcess(j *job, now ms) {
	name := j.spec.Team
	if last, ok := c.excessLoggedAt[name]; ok && now-last < teamExceedsLogMs {
		return
	}
	c.excessLoggedAt[name] = now
	c.cfg.Log("team exceeds its weight", "Team", name, "Weight", j.account.Limits().Weight, "Job", j.spec.ID)
}

// work returns what the order of a stage among those of other teams depends on.
func (c *Cell) work(s *stage) ccfair.Work {
	j, q := s.job, c.queue(s.job)
	chain := c.chainMs(j)
	left := s.leftMs(chain)
	if q.Advice != nil && len(s.tickets.allowed) == 0 {
		left += q.Advice.CallMs(expensiveRequestWorkers)
	}
	arrivedAt := j.arrivedAt
	if j.spec.ScheduledRuns > 0 {
		arrivedAt = j.runs[s.id.Run].stages[0].readyAt
	}
	return ccfair.Work{
		ArrivedAt: arrivedAt, TargetMs: int64(q.SlackFactor*float64(chain)) + q.TargetMs, LeftMs: left,
		Excess: j.excess, Held: j.team.Held(j.running),
	}
}

// deferred reports whether a stage comes after the work of other teams, since its team sends more than it is owed.
func (c *Cell) deferred(s *stage, now ms) bool {
	if !c.hasTeams || !s.job.excess {
		return false
	}
	w := c.work(s)
	return w.Deferred(now)
}

// leftMs returns the expected duration of the longest chain that begins with the stage, given that of the whole job.
func (s *stage) leftMs(chainMs int64) int64 {
	if s.estimatedLeftMs == 0 {
		s.estimatedLeftMs = s.leftByEstimatesMs()
	}
	if whole := s.job.criticalPathMs; whole > 0 {
		return s.estimatedLeftMs * chainMs / whole
	}
	return s.estimatedLeftMs
}

// leftByEstimatesMs returns the duration of the longest chain that begins with the stage, by the callers' estimates.
func (s *stage) leftByEstimatesMs() int64 {
	stages := s.job.spec.Stages
	longest := make([]int64, len(stages))
	for i := s.id.Stage; i < len(stages); i++ {
		if i == s.id.Stage {
			longest[i] = stages[i].EstimateMs
			continue
		}
		for _, after := range stages[i].After {
			if after >= s.id.Stage && longest[after] > 0 {
				longest[i] = max(longest[i], longest[after]+stages[i].EstimateMs)
			}
		}
	}
	return slices.Max(longest)
}

// use counts a task of the stage towards what its team has running. Long-running work doesn't count: it is placed
// before all other work.
func (s *stage) use(size ccwork.Size) {
	if !s.spec.LongRunning {
		s.job.running = s.job.running.Plus(size)
		s.job.team.Use(size)
	}
}

// release takes back what use has counted.
func (s *stage) release(size ccwork.Size) {
	if !s.spec.LongRunning {
		s.job.running = s.job.running.Minus(size)
		s.job.team.Release(size)
	}
}
