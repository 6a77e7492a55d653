package cccell

import (
	"math"
	"sort"

	"coriandercross/core/ccwork"
)

// Schedule runs one scheduling round: it places waiting tasks and orders the polls, stops and advice requests that are
// due. It is called after each batch of events and at least once per tick.
func (c *Cell) Schedule(now, nowUnix ms) {
	c.roundAt = now
	for j := range c.scheduled {
		c.startDueRuns(j, now, nowUnix)
	}
	c.settleArrivals(now)
	c.expireLeases(now)
	c.moveStragglers(now)
	handedOver := c.handoverComplete(now)
	if handedOver {
		clear(c.begunBefore)
		clear(c.unclaimed)
		c.priorRanUnstored = false
	}
	c.initialPollDone = c.initialPollDone || c.initialPollComplete()
	if now < c.authorityUntil && !c.startsHeld {
		c.usable = c.usable[:0]
		c.held = map[string]int{}
		c.unknownRunning = c.boundUnknownRunning(now)
		c.liveAttempts = 0
		for _, w := range c.workers {
			w.heldFor, w.heldMs = nil, 0
			c.liveAttempts += int64(len(w.attempts))
			if c.usableWorker(w, now) {
				c.usable = append(c.usable, w)
			}
		}
		for _, s := range c.waiting(now, handedOver) {
			if !handedOver && c.awaitsHandover(s.job) {
				c.requestAdviceEarly(s, now)
				continue
			}
			if !c.limitToCap(s, now) {
				continue
			}
			c.place(s, now)
			c.holdWorkers(s, now)
			c.holdForTrial(s, now)
		}
		c.endCapWaits(now)
	}
	c.scheduleStops(now)
	c.schedulePolls(now)
}

// waiting returns the stages with tasks to be started, in the order in which they are placed. It includes stages of
// adopted jobs before the handover is complete, once the initial poll is done.
func (c *Cell) waiting(now ms, handedOver bool) []*stage {
	var list []*stage
	for s := range c.open {
		switch s.unplaced = s.countUnplaced(); {
		case s.unplaced == 0:
			s.placementDelay.add(now, "")
		case !handedOver && c.awaitsHandover(s.job):
			s.placementDelay.add(now, delayHandover)
			if c.initialPollDone {
				list = append(list, s)
			}
		case now < s.notBefore:
			s.placementDelay.add(now, delayRetry)
		default:
			list = append(list, s)
		}
	}
	c.shares.BeginRound(now)
	for _, s := range list {
		s.job.team.Wait()
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
		if x.job.arrivedAt != y.job.arrivedAt {
			return x.job.arrivedAt < y.job.arrivedAt
		}
		if x.id.Job != y.id.Job {
			return x.id.Job < y.id.Job
		}
		if x.id.Run != y.id.Run {
			return x.id.Run < y.id.Run
		}
		return x.id.Stage < y.id.Stage
	})
	for i, s := range list {
		s.ahead = i
	}
	return list
}

// requestAdviceEarly requests tickets for a stage whose tasks may not start before the handover is complete. When
// a leader was lost, all stages with missing tasks would otherwise request tickets at the same moment, when the
// authority of that leader has ended.
func (c *Cell) requestAdviceEarly(s *stage, now ms) {
	if c.queue(s.job).Advice == nil || now < s.notBefore {
		return
	}
	if s.unplaced = s.capRoomBeside(ccwork.Size{}, s.unplaced); s.unplaced == 0 {
		return
	}
	if _, fitting := c.candidates(s, true, now); fitting < s.unplaced {
		c.requestAdvice(s, now)
	}
}

// countUnplaced returns the number of tasks to be started. A gang counts only when no member is live.
func (s *stage) countUnplaced() int {
	n := s.spec.Count - s.done.count()
	for i, attempts := range s.tasks {
		if len(attempts) > 0 && !s.done.has(i) && !s.needsStart(i) {
			n--
		}
	}
	if s.spec.Gang && n < s.spec.Count {
		return 0 // Some members are live, or all are done.
	}
	return n
}

const (
	// longRunningRank ranks long-running tasks before all others: each has to run again within seconds, however full
	// the cell is.
	longRunningRank = -1e9
	// priorityRankMs is the time by which each step of lower priority moves a job back in the order of placement.
	priorityRankMs = 4000
)

// rank returns the position of a stage in the order of placement; the lowest is placed first. Typical load: bursts of
// short jobs on top of long-running load. Jobs are ordered by the time at which they would miss their latency target,
// with a head start for higher priorities, so that no job waits forever. If the configuration has teams, work beyond what
// its team is owed comes later; see ccfair.
func (c *Cell) rank(s *stage) float64 {
	if s.spec.LongRunning {
		return longRunningRank + float64(s.readyAt)
	}
	q := c.queue(s.job)
	later := float64(q.Priority) * priorityRankMs
	if c.hasTeams {
		w := c.work(s)
		return w.Due() + later
	}
	return float64(s.job.arrivedAt) + q.SlackFactor*float64(c.chainMs(s.job)) + float64(q.TargetMs) + later
}

// chainMs returns the expected duration of the longest chain of dependent stages of a job.
func (c *Cell) chainMs(j *job) int64 {
	if c.cfg.RunTimes != nil {
		return c.learnedChainMs(j)
	}
	return j.criticalPathMs
}

// eligible reports whether a worker may run tasks of a stage, accepts tasks now, is not held for another stage unless the
// tasks end before it is needed, and is large enough for one task when empty. Tickets are not checked.
func (c *Cell) eligible(s *stage, w *worker, now ms) bool {
	return c.suits(s, w) && c.usableWorker(w, now) && (w.heldFor == nil || w.heldFor == s || c.endsInTime(s, w, now)) && (w.health.usable(now) || c.onlyWorker(s, w, now))
}

// suits reports whether a worker may run tasks of a stage, and is large enough for one of them when empty.
func (c *Cell) suits(s *stage, w *worker) bool {
	return w.info.Service == c.queue(s.job).Service && (s.spec.Label == "" || w.info.hasLabel(s.spec.Label)) && s.need.Fits(&w.info.Capacity)
}

// onlyWorker reports whether no worker but one, and others in quarantine, may run tasks of a stage as far as is known.
func (c *Cell) onlyWorker(s *stage, w *worker, now ms) bool {
	for _, other := range c.workers {
		if other != w && !other.health.inQuarantine(now) && other.listed && other.admitted && other.drainSince == 0 && other.silentSince == 0 && !s.tickets.denied[other.info.ID] && c.suits(s, other) {
			return false
		}
	}
	return true
}

// fitting returns how many more tasks of a stage fit on a worker now.
func (c *Cell) fitting(s *stage, w *worker) int {
	free := w.free()
	n := s.tasksIn(&free)
	if s.spec.MaxPerWorker > 0 {
		n = min(n, s.spec.MaxPerWorker-s.perWorker[w])
	}
	if s.spec.BestEffortCPU && s.job.spec.Team != "" {
		n = min(n, w.bestEffortRoom(s.spec.Size.MilliCores, n))
	}
	return max(n, 0)
}

// tasksIn returns how many tasks of the stage fit into a capacity, at most all of them.
func (s *stage) tasksIn(free *ccwork.Size) int {
	n := int64(s.spec.Count)
	n = min(n, fit(free.MilliCores, s.need.MilliCores, n), fit(free.MemoryMB, s.need.MemoryMB, n), fit(free.Accelerators, s.need.Accelerators, n))
	return int(max(n, 0))
}

// fit returns how often need fits into free, or limit when nothing is needed. Nothing fits when free is negative: more
// runs than the present capacity of the worker.
func fit(free, need, limit int64) int64 {
	switch {
	case free < 0:
		return 0
	case need <= 0:
		return limit
	}
	return free / need
}

// cost is proportional to the expected duration of a task of the stage on a worker. It is higher on a worker where
// tasks of the stage failed or were stragglers, and on one with a low health score.
func (c *Cell) cost(s *stage, w *worker, now ms) float64 {
	cost := c.expectedSlowness(s, w) * w.slowdown.current(now)
	if n := s.avoid[w.info.ID]; n > 0 {
		cost *= 1 + float64(n)
	}
	return cost * (2 - w.health.score)
}

// place starts as many tasks of a stage as fit, those of a gang only if all fit. It requests tickets when the workers
// with a ticket have too little capacity.
func (c *Cell) place(s *stage, now ms) {
	advised := c.queue(s.job).Advice != nil
	if c.placeTrials(s, advised, now) {
		return
	}
	list, fitting := c.candidates(s, advised, now)
	if fitting < s.unplaced {
		reason := delayCapacity
		if advised && c.requestAdvice(s, now) {
			reason = delayTicket
		}
		s.placementDelay.add(now, reason)
		c.logWaiting(s, now)
		if s.spec.Gang || len(list) == 0 {
			return
		}
	} else if s.overCap != "" {
		s.placementDelay.add(now, s.overCap)
		c.logWaiting(s, now)
	} else {
		s.placementDelay.add(now, "")
		c.logPlacementDelay(s, now)
	}
	number := int64(0)
	if s.spec.Gang {
		number = c.nextAttempt()
	}
	left := s.unplaced
	if room := c.startRoom(); room < left && !(s.spec.Gang && room > 0) { // A gang starts whole, or not at all.
		left = room
		s.placementDelay.add(now, delayRound)
	}
	for i := 0; i < s.spec.Count && left > 0 && len(list) > 0; i++ {
		if !s.needsStart(i) || s.onTrial(i, now) {
			continue
		}
		k := c.best(s, list)
		w := list[k].w
		if live := s.live(i); len(live) > 0 && live[0].worker == w {
			continue // A copy on the same worker would be as slow.
		}
		if number == 0 || !s.spec.Gang {
			number = c.nextAttempt()
		}
		c.start(s, i, w, number, now)
		left--
		if c.fitting(s, w) == 0 {
			list = append(list[:k], list[k+1:]...)
		}
	}
}

// candidate is a worker that may get tasks of a stage.
type candidate struct {
	w *worker
	// fitting is the number of tasks that fit; cost is the result of Cell.cost.
	fitting int
	cost    float64
}

// candidates returns the workers with capacity that may run the stage now, and the number of its tasks that fit on
// them.
func (c *Cell) candidates(s *stage, advised bool, now ms) (list []candidate, fitting int) {
	add := func(w *worker) {
		if !c.eligible(s, w, now) {
			return
		}
		if n := c.fitting(s, w); n > 0 {
			list = append(list, candidate{w: w, fitting: n, cost: c.cost(s, w, now)})
			fitting += n
		}
	}
	if !advised {
		for _, w := range c.usable {
			add(w)
		}
		return list, fitting
	}
	for id, tk := range s.tickets.allowed {
		if w := c.workers[id]; w != nil && tk.usable(w, now) {
			add(w)
		}
	}
	return list, fitting
}

// stageWaitsMs is the time after which a stage whose tasks could not all be placed is logged.
const stageWaitsMs ms = 5000

// logWaiting logs once that the tasks of a stage have not been placed for stageWaitsMs, and the reasons so far.
func (c *Cell) logWaiting(s *stage, now ms) {
	d := &s.placementDelay
	if d.waitLogged || now-s.readyAt < stageWaitsMs {
		return
	}
	d.waitLogged = true
	c.logDelay("stage waits", s, now, append([]any{"Unplaced", s.unplaced, "Requested", s.tickets.requested}, c.expectation(s, now)...)...)
}

// logPlacementDelay logs once, when all tasks of a stage can be placed, how long and for which reasons they were
// delayed.
func (c *Cell) logPlacementDelay(s *stage, now ms) {
	if s.placementDelay.logged {
		return
	}
	s.placementDelay.logged = true
	c.logDelay("stage placed", s, now, c.expectation(s, now)...)
}

// logDelay logs the placement delay of a stage by reason, after the fields kv.
func (c *Cell) logDelay(event string, s *stage, now ms, kv ...any) {
	var byReason []any
	totalMs := ms(0)
	for _, reason := range []string{delayHandover, delayRetry, delayTicket, delayCapacity, delayCap, delayTrial, delayRound} {
		if delay := s.placementDelay.byReason[reason]; delay > 0 {
			totalMs += delay
			byReason = append(byReason, reason+"Ms", delay)
		}
	}
	fields := []any{"Job", s.id.Job, "Run", s.id.Run, "Stage", s.id.Stage, "Tasks", s.spec.Count, "JobAgeMs", now - s.job.arrivedAt, "WaitMs", totalMs}
	fields = append(append(fields, teamField(s.job.spec)...), kv...)
	if s.job.team != nil {
		fields = append(fields, "Ahead", s.ahead, "Excess", s.job.excess, "Held", math.Round(100*s.job.team.Held(s.job.running))/100)
	}
	c.cfg.Log(event, append(fields, byReason...)...)
}

// best returns the index of the worker for the next task. The lowest cost is best; among workers of the same cost it is
// the fullest, so that large tasks still find enough free capacity on another. A stage with SameRack prefers racks that
// run its tasks.
func (c *Cell) best(s *stage, list []candidate) int {
	best, bestScore := 0, 0.0
	for i := range list {
		w := list[i].w
		free := w.free()
		left := freeShare(free.Minus(s.need), w.info.Capacity)
		score := list[i].cost*costWeight + left
		if s.spec.SameRack && s.runsInRack(w.rack) {
			score -= costWeight
		}
		if i == 0 || score < bestScore || score == bestScore && w.info.ID < list[best].w.info.ID {
			best, bestScore = i, score
		}
	}
	return best
}

// costWeight weighs cost against the packing of workers: a difference of a tenth in cost outweighs any packing.
const costWeight = 10

// runsInRack reports whether tasks of the stage run in a rack.
func (s *stage) runsInRack(rack string) bool {
	for w := range s.perWorker {
		if w.rack == rack {
			return true
		}
	}
	return false
}

// freeShare returns the larger of the shares of cores and memory that would stay free.
func freeShare(left, capacity ccwork.Size) float64 {
	cores, memory := 0.0, 0.0
	if capacity.MilliCores > 0 {
		cores = float64(left.MilliCores) / float64(capacity.MilliCores)
	}
	if capacity.MemoryMB > 0 {
		memory = float64(left.MemoryMB) / float64(capacity.MemoryMB)
	}
	return max(cores, memory)
}

// nextAttempt returns an attempt number higher than any before it, of this leader or a prior one.
func (c *Cell) nextAttempt() int64 {
	c.attemptCount++
	return c.cfg.Token<<attemptBits + c.attemptCount
}

// start orders the start of one attempt, and returns it.
func (c *Cell) start(s *stage, index int, w *worker, number int64, now ms) *attempt {
	a := &attempt{
		task:   TaskID{Job: s.id.Job, Run: s.id.Run, Stage: s.id.Stage, Index: index},
		number: number, stage: s, worker: w, need: s.need, sentAt: now, progressAt: now,
	}
	if c.learns(s) {
		a.expectedMs = c.predict(s, now).MedianMs()
	}
	if w.heldFor != nil && w.heldFor != s {
		c.stats.Backfilled++
	}
	w.addAttempt(a)
	delete(s.trialWaitSince, index)
	checkpoint := s.checkpoints[index]
	if s.spec.Gang {
		checkpoint = s.checkpoints[0]
	}
	a.resumed = checkpoint != ""
	ticket, _ := s.tickets.valid(w, now)
	c.stats.Starts++
	c.liveAttempts++
	c.startsPending++
	c.orders.Starts = append(c.orders.Starts, StartOrder{
		OrderHeader: c.header(w), Task: a.task, Attempt: number, Spec: s.job.spec.Spec, Checkpoint: checkpoint, Ticket: ticket, LeaseUntilMs: w.giveLease(now, c.cfg.LeaseMs), attempt: a,
	})
	return a
}
