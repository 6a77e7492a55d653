package cccell

const (
	// lookWaitMs is how long an answer waits for an end: it also bounds the time to notice a connection that went silent.
	longPollTimeoutMs = 1000
	// lookGapMs is the least time between two looks at a worker, so that ends that come together are read together.
	minPollIntervalMs ms = 25
	// unnotedGapMs is the time between looks while ends can't be noted: a waiting look would return at once.
	unackedPollIntervalMs ms = 400
	// silentGapMs is the time between looks at a worker that does not answer.
	silentPollIntervalMs ms = 400
	// maxFirstLooks is the number of workers that are read for the first time side by side. A look costs about 0.3 ms of processor; thousands
	// at once would keep fellows and callers waiting for a second.
	maxFirstPolls = 256
	// stopRetryMs is the time between two stops of one attempt.
	stopRetryIntervalMs ms = 400
)

// unread reports whether the worker has not been read since this leader alone gives orders.
func (c *Cell) needsFreshPoll(w *worker) bool {
	return !w.admitted || w.answeredPollSentAt < c.handoverAt
}

// look orders the looks that are due.
func (c *Cell) schedulePolls(now ms) {
	firstPolls := 0
	for _, w := range c.workers {
		if w.pollInFlight && c.needsFreshPoll(w) {
			firstPolls++
		}
	}
	for _, w := range c.workers {
		urgent := w.pollInFlight && !w.urgentPollInFlight && w.inDoubtResolved()
		if !urgent && (w.pollInFlight || now-w.pollDoneAt < minPollIntervalMs || !c.pollDue(w, now)) {
			continue
		}
		if c.needsFreshPoll(w) && !urgent {
			if firstPolls == maxFirstPolls {
				continue
			}
			firstPolls++
		}
		o := PollOrder{OrderHeader: c.header(w), AckedEnd: w.ackedEnd, worker: w, urgent: urgent}
		if w.incarnation != w.newestIncarnation() {
			o.AckedEnd = 0 // Ends are numbered anew in each life.
		}
		if w.admitted && w.silentSince == 0 && len(w.unackedEnds) == 0 && !urgent {
			o.WaitMs = c.longPollTimeout(w, now)
		}
		// A look that is not answered may renew the lease all the same: a silent worker's has to come to its end.
		if w.listed && w.admitted && w.silentSince == 0 && now < c.authorityUntil {
			o.LeaseUntilMs = w.nextLeaseEnd(now, c.cfg.LeaseMs)
			w.leaseUntil = max(w.leaseUntil, o.LeaseUntilMs)
		}
		if urgent {
			w.urgentPollInFlight = true
		} else {
			w.pollInFlight = true
		}
		w.pollSentAt = now
		c.stats.Polls++
		c.orders.Polls = append(c.orders.Polls, o)
	}
}

// lookWait returns how long a look at a worker may wait for an end. Load pattern: the leader was lost in silence; what its jobs miss is
// started again once every worker was read after its authority has ended, and a look that waits, or was sent before, delays that.
func (c *Cell) longPollTimeout(w *worker, now ms) int64 {
	switch {
	case now < c.handoverAt:
		return min(longPollTimeoutMs, int64(c.handoverAt-now))
	case c.needsFreshPoll(w):
		return 0
	case w.slowdown.current(now) > stragglerFactor:
		return slowWorkerPollTimeoutMs
	}
	return longPollTimeoutMs
}

// doubtSettled reports whether a stop was confirmed, after the look under way was sent, for a start in doubt.
func (w *worker) inDoubtResolved() bool {
	for _, a := range w.attempts {
		if a.stopConfirmed && a.state == inDoubt && a.confirmedAt >= w.pollSentAt {
			return true
		}
	}
	return false
}

// wantsLook reports whether a worker has to be looked at now.
func (c *Cell) pollDue(w *worker, now ms) bool {
	since := now - w.pollDoneAt
	switch {
	case w.silentSince != 0:
		return since >= silentPollIntervalMs
	case !w.admitted || (c.needsFreshPoll(w) && now >= c.handoverAt):
		return true
	case len(w.unackedEnds) > 0:
		return since >= unackedPollIntervalMs
	}
	return len(w.attempts) > 0 || w.ackedEnd > w.confirmedAck
}

// stop orders the stops that are due.
func (c *Cell) scheduleStops(now ms) {
	for _, w := range c.workers {
		if w.silentSince != 0 && now-w.silentSince > silentPollIntervalMs && w.pollDoneAt > w.silentSince {
			continue // The stop follows when the worker is heard again.
		}
		for _, a := range w.attempts {
			if a.state == inDoubt && !a.stopWanted && now-a.inDoubtSince > inDoubtGraceMs {
				a.stopWanted = true
			}
			if !a.stopWanted || a.stopInFlight || (a.stopSentAt != 0 && now-a.stopSentAt < stopRetryIntervalMs) {
				continue
			}
			if a.stopConfirmed && a.confirmedAt != 0 && now-a.stopSentAt < confirmedStopRetryMs {
				continue
			}
			a.stopInFlight, a.stopSentAt = true, now
			c.stats.Stops++
			c.orders.Stops = append(c.orders.Stops, StopOrder{OrderHeader: c.header(w), Task: a.task, Attempt: a.number, attempt: a})
		}
	}
}

const (
	// doubtMs is the time, after the start was given up, that lists have to show it before it is stopped.
	inDoubtGraceMs ms = 150
	// stopAgainMs is the time after which a confirmed stop without an end is repeated.
	confirmedStopRetryMs ms = 2000
)
