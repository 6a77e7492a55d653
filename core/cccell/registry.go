package cccell

// SetWorker adds or updates a worker as registered in the store.
func (c *Cell) SetWorker(info WorkerInfo, now ms) {
	w := c.workers[info.ID]
	if w == nil {
		w = &worker{attempts: map[attemptKey]*attempt{}, health: health{score: 1}, knownAt: now, recorded: c.isRecorded(info.ID)}
		c.workers[info.ID] = w
	} else if w.info.Capacity != info.Capacity {
		c.cfg.Log("worker capacity changed", "Worker", info.ID, "Before", w.info.Capacity, "Capacity", info.Capacity, "Used", w.used, "Attempts", len(w.attempts))
	}
	if info.Draining && w.drainSince == 0 {
		w.drainSince = now
		c.cfg.Log("worker drains", "Worker", info.ID, "LeftMs", info.DrainLeftMs, "Attempts", len(w.attempts))
		c.evacuate(w, info.DrainLeftMs, now)
	}
	if !info.Draining {
		w.drainSince = 0
	}
	if w.incarnation != 0 && info.IncarnationMs > w.incarnation {
		w.admitted = false // The worker has restarted: its task lists have to be read before it gets tasks.
	}
	before := w.newestIncarnation()
	w.info, w.rack, w.workerType, w.listed = info, info.Rack(), info.Kind(), true
	if w.priorLeasesEndAt == 0 || w.newestIncarnation() != before {
		// The prior leader may give orders until handoverAt, also without contact with this process, and its leases
		// end after that. A leader of an earlier release may do so at a worker that the roster does not have.
		c.awaitPriorLeases(w)
	}
	w.largest = w.largest.Max(info.Capacity)
	c.confirmCrashes(info.Address, info.IncarnationMs, now)
}

// MarkUnlisted records that the registration of a worker was removed from the store. Its leases are not renewed any
// more.
func (c *Cell) MarkUnlisted(id string) {
	w := c.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	c.cfg.Log("worker not listed", "Worker", id, "Attempts", len(w.attempts), "Draining", w.drainSince != 0, "Reached", w.silentSince == 0)
}

// Roster returns the workers that may run tasks. It is stored for the next leader, which waits for the end of the
// leases at the workers that it does not reach.
func (c *Cell) Roster() []WorkerInfo {
	out := make([]WorkerInfo, 0, len(c.workers))
	for _, w := range c.workers {
		if !c.drained(w) {
			info := w.info
			info.LongLease = c.longLease(w, c.roundAt)
			out = append(out, info)
		}
	}
	return out
}

// SetRecorded names the workers that are in each roster that the store may hold. With Config.AwaitRoster, tasks start only on
// these: the registration of a worker may be gone when the next leader reads the workers, and it would neither find the tasks
// there nor wait for the ends of their leases.
func (c *Cell) SetRecorded(ids map[string]bool) {
	c.recorded = ids
	for id, w := range c.workers {
		w.recorded = c.isRecorded(id)
	}
}

// isRecorded reports whether tasks may be started on a worker as far as the roster is concerned.
func (c *Cell) isRecorded(id string) bool {
	return !c.cfg.AwaitRoster || c.recorded[id]
}

// Unrecorded returns the number of registered workers that get no tasks because they are not recorded.
func (c *Cell) Unrecorded() int {
	n := 0
	for _, w := range c.workers {
		if w.listed && (!w.recorded || c.awaitsLeaseRecord(w, c.roundAt)) && w.drainSince == 0 {
			n++
		}
	}
	return n
}

// Drained returns the incarnations of the registered workers that are drained, by ID. They are stored for the next leader:
// while the store is down, the registrations of workers that have left remain.
func (c *Cell) Drained() map[string]int64 {
	out := map[string]int64{}
	for id, w := range c.workers {
		if w.listed && w.info.Draining && c.drained(w) {
			out[id] = w.newestIncarnation()
		}
	}
	return out
}

// AdoptDrained records that the prior leader has found a worker drained. If the worker still drains in the same
// incarnation, no leader can have started a task there since, so that nothing has to be awaited if it does not reply.
func (c *Cell) AdoptDrained(id string, incarnation int64, now ms) {
	if w := c.workers[id]; w != nil && w.info.Draining && w.info.IncarnationMs == incarnation {
		w.priorLeasesEndAt = now
	}
}

// drained reports whether a worker is known to run nothing, has no ends that the next leader must read, and gets no more
// tasks. It matters when a tenth of the workers drain and leave while the leader is replaced.
func (c *Cell) drained(w *worker) bool {
	return (w.drainSince != 0 || !w.listed) && !c.needsFreshPoll(w) && len(w.attempts) == 0 && len(w.unackedEnds) == 0
}

// AdoptWorker adds a worker of the prior leader's roster, after those that are registered in the store. On one that is not
// registered, tasks may run until their leases end.
func (c *Cell) AdoptWorker(info WorkerInfo, now ms) {
	w := c.workers[info.ID]
	if w == nil {
		c.SetWorker(info, now)
		w = c.workers[info.ID]
		w.listed = false
	}
	w.largest = w.largest.Max(info.Capacity)
	w.priorInfo = info
	c.awaitPriorLeases(w)
	if c.priorLease(w, w.newestIncarnation()) > c.cfg.PriorLeaseMs {
		c.cfg.Log("long lease awaited", "Worker", info.ID, "Marked", info.LongLease, "Incarnation", w.newestIncarnation(), "Recorded", info.IncarnationMs)
	}
}

// AwaitUnknownWorkers records that tasks may run on workers of which the store does not tell this leader. The handover is then
// complete when the leases that the prior leader gave have ended.
func (c *Cell) AwaitUnknownWorkers() {
	c.unknownWorkers = true
}

// evacuate stops tasks on a draining worker so that they continue elsewhere: long-running tasks at once, and tasks with
// checkpoints that would not be done when the worker leaves. Other tasks run on.
func (c *Cell) evacuate(w *worker, leftMs int64, now ms) {
	for _, a := range w.attempts {
		s := a.stage
		if s == nil || a.stopWanted {
			continue
		}
		if s.spec.LongRunning || (s.spec.Checkpoints && c.remainingMs(a, now) > leftMs) {
			a.stopWanted = true
		}
	}
}

// remainingMs estimates the remaining duration of an attempt from its progress, or from the estimate while there is none.
func (a *attempt) remainingMs(now ms) int64 {
	ran := int64(now - a.sentAt)
	if a.percent > 0 && a.percent < 100 {
		return ran * int64(100-a.percent) / int64(a.percent)
	}
	return max(a.stage.spec.EstimateMs-ran, 0)
}

// handoverComplete reports whether the prior leader can start no more tasks, and each attempt that it may have started
// is known or its lease has ended. Until handoverAt the prior leader can start tasks on a worker that has seen no token
// of this leader: on a new worker, or on one that has just restarted.
func (c *Cell) handoverComplete(now ms) bool {
	if now < c.handoverAt || (c.unknownWorkers && now < c.handoverAt+maxLeaseDuration(c.longestPriorLease())) {
		return false
	}
	for _, w := range c.workers {
		// A poll before handoverAt does not count: the worker may have restarted since and executed orders of the prior
		// leader.
		if c.awaited(w, now) {
			return false
		}
	}
	return true
}

// initialPollComplete reports whether every worker is admitted or silent. It is then known which tasks run on the
// admitted workers, so the other tasks are missing unless a silent worker runs them.
func (c *Cell) initialPollComplete() bool {
	for _, w := range c.workers {
		if !w.admitted && w.silentSince == 0 {
			return false
		}
	}
	return true
}

// silentMs returns how long the worker has been silent; see worker.silentSince.
func (w *worker) silentMs(now ms) ms {
	if w.silentSince == 0 {
		return 0
	}
	return now - w.silentSince
}

// expireLeases ends the attempts on silent and unlisted workers whose leases have ended, and drops such workers when
// they are unlisted and no poll of them is in flight.
func (c *Cell) expireLeases(now ms) {
	for id, w := range c.workers {
		if w.silentSince == 0 && w.listed {
			continue
		}
		if w.leasesExpired(now) {
			if len(w.attempts) > 0 {
				c.cfg.Log("worker lapsed", "Worker", id, "Attempts", len(w.attempts), "Listed", w.listed, "SilentMs", w.silentMs(now))
			}
			c.suspectAll(w, now)
			for _, a := range w.attempts {
				c.loseAttempt(a, lostLease, now)
			}
			c.confirmKnownCrashes(w.info.Address, now)
			// A poll in flight may acknowledge ends of an earlier incarnation. If the worker registers again meanwhile,
			// it must not be admitted before that poll has ended.
			if !w.listed && !w.pollInFlight && !w.urgentPollInFlight {
				delete(c.workers, id)
			}
		}
	}
}

// SetWorkers replaces the list of registered workers. Workers whose registrations are invalid stay as they are.
func (c *Cell) SetWorkers(list []WorkerInfo, invalid []string, now ms) {
	listed := map[string]bool{}
	for _, id := range invalid {
		listed[id] = true
	}
	for i := range list {
		listed[list[i].ID] = true
		c.SetWorker(list[i], now)
	}
	for id := range c.workers {
		if !listed[id] {
			c.MarkUnlisted(id)
		}
	}
}
