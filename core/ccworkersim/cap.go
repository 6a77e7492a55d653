package ccworkersim

import "coriandercross/core/ccwork"

// checkCap checks that a start keeps its team within the cap. The rule of the platform allows a tenth more and one task;
// this check allows neither, but for a task that is larger than the cap and has started while nothing else of its team
// was running.
func (c *Checker) checkCap(w *Worker, a *Attempt, now ms) {
	if c.Team == nil {
		return
	}
	team, size := c.Team(a.Task)
	var running ccwork.Size
	tasks := 0
	for t, attempts := range c.live {
		if other, otherSize := c.Team(t); other == team {
			tasks += len(attempts)
			running = running.Plus(otherSize.Times(int64(len(attempts))))
		}
	}
	if tasks == 1 {
		return
	}
	limit := c.Cap(team, now)
	exceeded := func(running, limit int64) bool { return limit > 0 && running > limit }
	if exceeded(running.MilliCores, limit.MilliCores) || exceeded(running.MemoryMB, limit.MemoryMB) || exceeded(running.Accelerators, limit.Accelerators) {
		c.violation("cap exceeded: %v attempt %d of %+v on %s at %d brings %d tasks of team %s to %+v of %+v", a.Task, a.Attempt, size, w.Info.ID, now, tasks, team, running, limit)
	}
}
