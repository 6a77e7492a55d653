package ccworkersim

import "coriandercross/core/ccwork"

// checkCap checks that a start keeps its team within the cap. With CapOverrun, that is the rule of the platform: so many
// percent more, and the task that starts. Otherwise the check allows neither, but for a task that is larger than the cap
// and has started while nothing else of its team was running.
func (c *Checker) checkCap(w *Worker, a *Attempt, now ms) {
	if c.Team == nil {
		return
	}
	team, size := c.Team(a.Task)
	limit := c.Cap(team, now)
	if c.CapOverrun > 0 {
		limit = c.withOverrun(limit, size)
	}
	if running, tasks := c.running(team); tasks == 1 || !exceeds(running, limit) {
		return
	}
	// Attempts on other workers may have ended since these were brought up to the present.
	workers := map[*Worker]bool{}
	for _, attempts := range c.live {
		for _, other := range attempts {
			workers[other] = other != w
		}
	}
	for other, advance := range workers {
		if advance {
			other.AdvanceTo(now)
		}
	}
	if running, tasks := c.running(team); tasks > 1 && exceeds(running, limit) {
		c.violation("cap exceeded: %v attempt %d of %+v on %s at %d brings %d tasks of team %s to %+v of %+v", a.Task, a.Attempt, size, w.Info.ID, now, tasks, team, running, limit)
	}
}

// running returns what a team has running, and in how many tasks.
func (c *Checker) running(team string) (ccwork.Size, int) {
	var sum ccwork.Size
	tasks := 0
	for t, attempts := range c.live {
		if other, size := c.Team(t); other == team {
			tasks += len(attempts)
			sum = sum.Plus(size.Times(int64(len(attempts))))
		}
	}
	return sum, tasks
}

// withOverrun returns the most that a team may have running with a cap when a task of the given size has started.
func (c *Checker) withOverrun(limit, size ccwork.Size) ccwork.Size {
	more := func(limit, size int64) int64 {
		const percent = 100
		if limit == 0 {
			return 0
		}
		return limit + limit*c.CapOverrun/percent + size
	}
	return ccwork.Size{MilliCores: more(limit.MilliCores, size.MilliCores), MemoryMB: more(limit.MemoryMB, size.MemoryMB), Accelerators: more(limit.Accelerators, size.Accelerators)}
}

// exceeds reports whether a size is above a cap, in which 0 means no limit.
func exceeds(size, limit ccwork.Size) bool {
	above := func(size, limit int64) bool { return limit > 0 && size > limit }
	return above(size.MilliCores, limit.MilliCores) || above(size.MemoryMB, limit.MemoryMB) || above(size.Accelerators, limit.Accelerators)
}
