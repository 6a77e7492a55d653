package cccell

// SetWorker takes in what a worker says of itself.
func (c *Cell) SetWorker(info WorkerInfo, now ms) {
	w := c.workers[info.ID]
	if w == nil {
		w = &worker{attempts: map[attemptKey]*attempt{}, health: health{score: 1}}
		// The leader before may go on for a while where this one is not heard, and its leases outlast it.
		w.priorLeasesEndAt = max(now, c.handoverAt) + maxLeaseDuration(c.cfg.PriorLeaseMs)
		c.workers[info.ID] = w
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
		w.admitted = false // It has started again; what it runs is read first.
	}
	w.info, w.rack, w.kind, w.listed = info, info.Rack(), info.Kind(), true
}

// MarkUnlisted tells that the store has no entry of a worker any more. Its lease is not renewed.
func (c *Cell) MarkUnlisted(id string) {
	w := c.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	c.cfg.Log("worker not listed", "Worker", id, "Attempts", len(w.attempts), "Draining", w.drainSince != 0, "Reached", w.silentSince == 0)
}

// Roster returns the workers that may run something, for the next leader: it waits until the leases have lapsed of those that it
// does not reach.
func (c *Cell) Roster() []WorkerInfo {
	out := make([]WorkerInfo, 0, len(c.workers))
	for _, w := range c.workers {
		if !c.drained(w) {
			out = append(out, w.info)
		}
	}
	return out
}

// emptied reports whether a worker is known to run nothing, and gets nothing any more. Load pattern: a tenth of the workers drain and
// leave, and the leader is replaced meanwhile.
func (c *Cell) drained(w *worker) bool {
	return (w.drainSince != 0 || !w.listed) && !c.needsFreshPoll(w) && len(w.attempts) == 0
}

// AddUnlistedWorker takes in a worker that an earlier leader used and that the store does not list: tasks
// may run there until their leases lapse.
func (c *Cell) AddUnlistedWorker(info WorkerInfo, now ms) {
	if c.workers[info.ID] != nil {
		return
	}
	c.SetWorker(info, now)
	w := c.workers[info.ID]
	w.listed = false
}

// evacuate stops what a draining worker can't finish in the time that it leaves, so that the work is
// saved and goes on elsewhere.
func (c *Cell) evacuate(w *worker, leftMs int64, now ms) {
	for _, a := range w.attempts {
		s := a.stage
		if s == nil || a.stopWanted {
			continue
		}
		if s.spec.LongRunning || (s.spec.Checkpoints && a.remainingMs(now) > leftMs) {
			a.stopWanted = true
		}
	}
}

// remainingMs guesses how long an attempt will run on.
func (a *attempt) remainingMs(now ms) int64 {
	ran := int64(now - a.sentAt)
	if a.percent > 0 && a.percent < 100 {
		return ran * int64(100-a.percent) / int64(a.percent)
	}
	return max(a.stage.spec.EstimateMs-ran, 0)
}

// settled reports whether everything that an earlier leader may have started is known by now, and that it starts nothing
// more: it could where a worker is new, or has just started again, and has seen no token yet.
func (c *Cell) handoverComplete(now ms) bool {
	if now < c.handoverAt {
		return false
	}
	for _, w := range c.workers {
		// A worker that was read before may have started again since, and taken orders of the leader before.
		if c.needsFreshPoll(w) && now < w.priorLeasesEndAt {
			return false
		}
	}
	return true
}

// survey reports whether every worker was read or did not answer, so that what jobs miss is known but for the latter.
func (c *Cell) initialPollComplete() bool {
	for _, w := range c.workers {
		if !w.admitted && w.silentSince == 0 {
			return false
		}
	}
	return true
}

// silentMs returns how long calls to a worker have gone unanswered.
func (w *worker) silentMs(now ms) ms {
	if w.silentSince == 0 {
		return 0
	}
	return now - w.silentSince
}

// lapse frees what a worker that can't be reached, or is gone, can't be running any more.
func (c *Cell) expireLeases(now ms) {
	for id, w := range c.workers {
		if w.silentSince == 0 && w.listed {
			continue
		}
		if w.leasesExpired(now) {
			if len(w.attempts) > 0 {
				c.cfg.Log("worker lapsed", "Worker", id, "Attempts", len(w.attempts), "Listed", w.listed, "SilentMs", w.silentMs(now))
			}
			for _, a := range w.attempts {
				c.endAttempt(a, EndVanished, "", now)
			}
			if !w.listed {
				delete(c.workers, id)
			}
		}
	}
}

// SetWorkers takes in all workers that the store lists.
func (c *Cell) SetWorkers(list []WorkerInfo, now ms) {
	listed := map[string]bool{}
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
