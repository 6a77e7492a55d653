package cccell

import "sort"

// Holds. Typical load: a gang whose tasks each need a whole worker waits, while small tasks that are due later take each
// core or accelerator as it becomes free, so that no worker is ever empty. Workers are therefore held for the stages of
// large tasks that are due first: they get no tasks of stages that are due later. Holds are chosen anew in each round in
// the order of placement, so stages can't wait for each other's holds.

const (
	// maxTasksOfLarge is the number of tasks that fit on an empty worker up to which the tasks are large.
	maxTasksOfLarge = 2
	// holdAfterMs is the time that a stage waits before workers are held for it. Before that, workers that are empty
	// now are better used by the stages that can start at once. holdAfterPart is the part of the time that a job can
	// spare, as a divisor, after which they are held in a cell with teams.
	holdAfterMs   ms = 8000
	holdAfterPart ms = 4
	// maxHeldShare is the largest share of the workers of a service that are held: held workers run fewer tasks.
	maxHeldShare = 0.3
)

// holdCandidate is a worker that could be held for a stage.
type holdCandidate struct {
	w *worker
	// tasks is the number of tasks of the stage that fit once the running tasks have ended.
	tasks int
	// held is true when the worker was held for the stage in the last round.
	held bool
	// busyMs is the time until the running tasks will have ended, 0 when tasks of the stage fit now.
	busyMs int64
}

// holdWorkers holds workers for the tasks of a stage that were not placed in this round.
func (c *Cell) holdWorkers(s *stage, now ms) {
	missing := c.capRoom(s, s.countUnplaced())
	if missing == 0 || s.spec.LongRunning || now-s.readyAt < c.holdAfter(s) || c.deferred(s, now) {
		s.held = nil
		return
	}
	service := c.queue(s.job).Service
	limit := c.maxHeld(service) - c.held[service]
	if limit <= 0 {
		s.held = nil
		return
	}
	list := c.holdCandidates(s, now)
	sort.Slice(list, func(a, b int) bool {
		x, y := &list[a], &list[b]
		if x.busyMs != y.busyMs {
			return x.busyMs < y.busyMs
		}
		if x.held != y.held {
			return x.held
		}
		return x.w.info.ID < y.w.info.ID
	})
	s.held = map[*worker]bool{}
	for i := range list {
		if missing <= 0 || len(s.held) == limit {
			break
		}
		list[i].w.heldFor, list[i].w.heldMs = s, list[i].busyMs
		s.held[list[i].w] = true
		missing -= list[i].tasks
	}
	c.held[service] += len(s.held)
}

// maxHeld returns the largest number of workers of a service that may be held.
func (c *Cell) maxHeld(service string) int {
	n := 0
	for _, w := range c.usable {
		if w.info.Service == service {
			n++
		}
	}
	return int(maxHeldShare * float64(n))
}

// holdCandidates returns the workers that may run a stage, if its tasks are large.
func (c *Cell) holdCandidates(s *stage, now ms) []holdCandidate {
	var list []holdCandidate
	for _, w := range c.usable {
		if !c.mayHold(s, w, now) || !s.isLargeFor(w) {
			continue
		}
		h := holdCandidate{w: w, held: s.held[w]}
		h.tasks, h.busyMs = c.fittingLater(s, w, now)
		if h.tasks > 0 {
			list = append(list, h)
		}
	}
	return list
}

// mayHold reports whether a worker may be held for a stage: it may run its tasks. The ticket may have expired, since it
// is renewed when they are started.
func (c *Cell) mayHold(s *stage, w *worker, now ms) bool {
	if _, allowed := s.tickets.allowed[w.info.ID]; !allowed && c.queue(s.job).Advice != nil {
		return false
	}
	return (w.heldFor == nil || w.heldFor == s) && c.eligible(s, w, now)
}

// isLargeFor reports whether the tasks of a stage are large in proportion to a worker.
func (s *stage) isLargeFor(w *worker) bool {
	need, capacity := s.need, &w.info.Capacity
	const more = maxTasksOfLarge + 1
	return min(fit(capacity.MilliCores, need.MilliCores, more), fit(capacity.MemoryMB, need.MemoryMB, more), fit(capacity.Accelerators, need.Accelerators, more)) <= maxTasksOfLarge
}

// fittingLater returns how many tasks of a stage fit on a worker once the running tasks, but for the long-running ones,
// have ended, and the time until then. The time is 0 when as many fit now.
func (c *Cell) fittingLater(s *stage, w *worker, now ms) (tasks int, busyMs int64) {
	free := w.free()
	fitNow := s.tasksIn(&free)
	for _, a := range w.attempts {
		if a.stage == nil || a.stage.spec.LongRunning {
			continue
		}
		free = free.Plus(a.need)
		busyMs = max(busyMs, c.remainingMs(a, now))
	}
	if tasks = s.tasksIn(&free); tasks == fitNow {
		busyMs = 0
	}
	return tasks, busyMs
}

// holdAfter returns the time that a stage waits before workers are held for it. If the configuration has teams, it is
// shorter for a job with little time to spare: beside 2.5 times the usual batch work, small tasks take all room that
// becomes free, and a large task whose job has to start within 10 s would never find any.
func (c *Cell) holdAfter(s *stage) ms {
	if !c.hasTeams {
		return holdAfterMs
	}
	w := c.work(s)
	return max(0, min(holdAfterMs, ms(w.TargetMs-w.LeftMs)/holdAfterPart))
}
