package cccell

import (
	"sort"

	"coriandercross/core/ccwork"
)

// Schedule places what waits, and orders every look, stop and call that is due. It is called after each batch of
// events and at least every tick.
func (c *Cell) Schedule(now, nowUnix ms) {
	for j := range c.scheduled {
		c.begin(j, now, nowUnix)
	}
	c.lapse(now)
	c.straggle(now)
	settled := c.settled(now)
	c.surveyed = c.surveyed || c.survey()
	if now < c.authority {
		c.usable = c.usable[:0]
		for _, w := range c.workers {
			if w.usable(now) {
				c.usable = append(c.usable, w)
			}
		}
		for _, s := range c.waiting(now, settled) {
			if s.job.adopted && !settled {
				c.askEarly(s, now)
				continue
			}
			c.place(s, now)
		}
	}
	c.stop(now)
	c.look(now)
}

// waiting returns the stages with tasks to start, in the order of their turns; among them, once the workers were read, those of adopted
// jobs that may not start yet.
func (c *Cell) waiting(now ms, settled bool) []*stage {
	var list []*stage
	for s := range c.open {
		switch s.missing = s.countMissing(); {
		case s.missing == 0:
			s.waits.waited(now, "")
		case s.job.adopted && !settled:
			s.waits.waited(now, waitSettle)
			if c.surveyed {
				list = append(list, s)
			}
		case now < s.notBefore:
			s.waits.waited(now, waitPause)
		default:
			list = append(list, s)
		}
	}
	rank := make(map[*stage]float64, len(list))
	for _, s := range list {
		rank[s] = c.rank(s)
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if rank[x] != rank[y] {
			return rank[x] < rank[y]
		}
		if x.job.arrived != y.job.arrived {
			return x.job.arrived < y.job.arrived
		}
		if x.id.Job != y.id.Job {
			return x.id.Job < y.id.Job
		}
		if x.id.Run != y.id.Run {
			return x.id.Run < y.id.Run
		}
		return x.id.Stage < y.id.Stage
	})
	return list
}

// askEarly asks for tickets of a stage before its tasks may be started. Load pattern: a leader was lost, and all that its jobs miss
// would ask at the same moment, when its authority has ended.
func (c *Cell) askEarly(s *stage, now ms) {
	if c.queue(s.job).Advice == nil || now < s.notBefore {
		return
	}
	if _, rooms := c.candidates(s, true, now); rooms < s.missing {
		c.ask(s, s.missing, now)
	}
}

// countMissing returns the number of tasks that wait. A gang waits as a whole.
func (s *stage) countMissing() int {
	n := 0
	for i := range s.tasks {
		if s.idle(i) {
			n++
		}
	}
	if s.spec.Gang && n < s.spec.Count {
		return 0 // Some members are still there, or all are done.
	}
	return n
}

const (
	// lastingRank puts tasks that last first: each has to be back within seconds, however full the cell is.
	lastingRank = -1e9
	// priorityRankMs is how much longer work of the next lower priority waits at equal lateness.
	priorityRankMs = 4000
)

// rank returns a stage's place in the order; the lowest goes first. Load pattern: bursts of short work over a base of
// long work. Work goes by the time when it would miss its aim, with a head start for the higher priority, so that
// nothing waits for ever.
func (c *Cell) rank(s *stage) float64 {
	if s.spec.LongRunning {
		return lastingRank + float64(s.readyAt)
	}
	q := c.queue(s.job)
	due := float64(s.job.arrived) + q.SlackFactor*float64(s.job.spec.CriticalPathMs()) + float64(q.TargetMs)
	return due + float64(q.Priority)*priorityRankMs
}

// suits reports whether a worker may ever run tasks of a stage and takes work now.
func (c *Cell) suits(s *stage, w *worker, now ms) bool {
	return w.info.Service == c.queue(s.job).Service && w.usable(now) && (s.spec.Label == "" || w.info.has(s.spec.Label)) &&
		s.need.Fits(&w.info.Capacity)
}

// roomFor returns how many more tasks of a stage fit on a worker now.
func (c *Cell) roomFor(s *stage, w *worker) int {
	free := w.free()
	n := int64(s.spec.Count)
	n = min(n, fit(free.MilliCores, s.need.MilliCores, n), fit(free.MemoryMB, s.need.MemoryMB, n), fit(free.Accelerators, s.need.Accelerators, n))
	if s.spec.MaxPerWorker > 0 {
		n = min(n, int64(s.spec.MaxPerWorker-s.perWorker[w]))
	}
	return int(max(n, 0))
}

// fit returns how often need goes into free, at most n.
func fit(free, need, n int64) int64 {
	if need <= 0 {
		return n
	}
	return free / need
}

// cost ranks workers for a stage by the time that a task would take there, against the best place.
func (c *Cell) cost(s *stage, w *worker, now ms) float64 {
	cost := c.factor(s, w) * w.lag.now(now)
	if n := s.avoid[w.info.ID]; n > 0 {
		cost *= 1 + float64(n)
	}
	return cost * (2 - w.health.score)
}

// place starts as many tasks of a stage as fit, and asks for tickets where they are what is missing.
func (c *Cell) place(s *stage, now ms) {
	advised := c.queue(s.job).Advice != nil
	list, rooms := c.candidates(s, advised, now)
	if rooms < s.missing {
		why := waitRoom
		if advised && c.ask(s, s.missing, now) {
			why = waitTicket
		}
		s.waits.waited(now, why)
		if s.spec.Gang || len(list) == 0 {
			return
		}
	} else {
		s.waits.waited(now, "")
		c.tellWaits(s, now)
	}
	number := int64(0)
	if s.spec.Gang {
		number = c.nextAttempt()
	}
	for i := 0; i < s.spec.Count && len(list) > 0; i++ {
		if !s.idle(i) {
			continue
		}
		k := c.best(s, list)
		w := list[k].w
		if len(s.tasks[i]) > 0 && s.tasks[i][0].worker == w {
			continue // A copy beside what lags would lag, too.
		}
		if number == 0 || !s.spec.Gang {
			number = c.nextAttempt()
		}
		c.start(s, i, w, number, now)
		if c.roomFor(s, w) == 0 {
			list = append(list[:k], list[k+1:]...)
		}
	}
}

// candidate is a worker that may get tasks of a stage.
type candidate struct {
	w *worker
	// room is the number of tasks that fit, and cost the time that one would take there against the best place.
	room int
	cost float64
}

// candidates returns the workers with room for a stage that may run it now, and the number of its tasks that fit.
func (c *Cell) candidates(s *stage, advised bool, now ms) (list []candidate, rooms int) {
	add := func(w *worker) {
		if !c.suits(s, w, now) {
			return
		}
		if n := c.roomFor(s, w); n > 0 {
			list = append(list, candidate{w: w, room: n, cost: c.cost(s, w, now)})
			rooms += n
		}
	}
	if !advised {
		for _, w := range c.usable {
			add(w)
		}
		return list, rooms
	}
	for id, k := range s.tickets.allowed {
		if w := c.workers[id]; w != nil && k.usable(w, now) {
			add(w)
		}
	}
	return list, rooms
}

// tellWaits logs, once, what the stage waited for until all its tasks could be started.
func (c *Cell) tellWaits(s *stage, now ms) {
	if s.waits.told {
		return
	}
	s.waits.told = true
	var parts []any
	total := ms(0)
	for _, why := range []string{waitSettle, waitPause, waitTicket, waitRoom, waitTurn} {
		if d := s.waits.by[why]; d > 0 {
			total += d
			parts = append(parts, why+"Ms", d)
		}
	}
	kv := []any{"Job", s.id.Job, "Run", s.id.Run, "Stage", s.id.Stage, "Tasks", s.spec.Count, "JobAgeMs", now - s.job.arrived, "WaitMs", total}
	c.cfg.Log("stage placed", append(kv, parts...)...)
}

// best returns the place in the list of the worker that should get the next task: the soonest end first,
// then the fullest, so that room for large tasks stays in one piece.
func (c *Cell) best(s *stage, list []candidate) int {
	best, bestScore := 0, 0.0
	for i := range list {
		w := list[i].w
		free := w.free()
		left := leftShare(free.Minus(s.need), w.info.Capacity)
		score := list[i].cost*costWeight + left
		if s.spec.SameRack && s.perWorkerRack(w.rack) {
			score -= costWeight
		}
		if i == 0 || score < bestScore || score == bestScore && w.info.ID < list[best].w.info.ID {
			best, bestScore = i, score
		}
	}
	return best
}

// costWeight weighs the time of a task against the packing of workers: a tenth slower outweighs any fit.
const costWeight = 10

// perWorkerRack reports whether tasks of the stage run in a rack.
func (s *stage) perWorkerRack(rack string) bool {
	for w := range s.perWorker {
		if w.rack == rack {
			return true
		}
	}
	return false
}

// leftShare returns the larger of the shares of cores and memory that would stay free.
func leftShare(left, capacity ccwork.Size) float64 {
	cores, memory := 0.0, 0.0
	if capacity.MilliCores > 0 {
		cores = float64(left.MilliCores) / float64(capacity.MilliCores)
	}
	if capacity.MemoryMB > 0 {
		memory = float64(left.MemoryMB) / float64(capacity.MemoryMB)
	}
	return max(cores, memory)
}

// nextAttempt returns a number that is higher than that of any attempt of any leader before.
func (c *Cell) nextAttempt() int64 {
	c.attempts++
	return c.cfg.Token<<attemptBits + c.attempts
}

// start orders one attempt.
func (c *Cell) start(s *stage, index int, w *worker, number int64, now ms) {
	a := &attempt{
		task:   TaskID{Job: s.id.Job, Run: s.id.Run, Stage: s.id.Stage, Index: index},
		number: number, stage: s, worker: w, need: s.need, sentAt: now, movedAt: now,
	}
	w.hold(a)
	saved := s.saved[index]
	if s.spec.Gang {
		saved = s.saved[0]
	}
	until := w.nextUntil(now, c.cfg.LeaseMs)
	w.until = max(w.until, until)
	ticket, _ := s.tickets.valid(w, now)
	c.stats.Starts++
	c.out.Starts = append(c.out.Starts, StartOrder{
		OrderHeader: c.call(w), Task: a.task, Attempt: number, Spec: s.job.spec.Spec, Checkpoint: saved, Ticket: ticket, LeaseUntilMs: until, attempt: a,
	})
}
