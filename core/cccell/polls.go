package cccell

const (
	// longPollTimeoutMs is how long a worker may hold the reply to a poll until an attempt ends. It also bounds the
	// time in which a silent connection is noticed.
	longPollTimeoutMs = 1000
	// minPollIntervalMs is the minimum interval between two polls of a worker, so that ends at about the same time are
	// read by one poll.
	minPollIntervalMs ms = 25
	// unackedPollIntervalMs is the interval between polls while ends that were read are not persisted yet. The worker
	// would reply to a long poll at once, since it still lists these ends.
	unackedPollIntervalMs ms = 400
	// silentPollIntervalMs is the interval between polls of a worker that does not reply.
	silentPollIntervalMs ms = 400
	// quickPollIntervalMs is the interval between the first maxQuickPolls polls of a worker that a new leader has not
	// read yet. Typical load: workers leave a part of the calls unanswered while the leader changes, and no task of an
	// adopted job starts before every worker was read.
	quickPollIntervalMs ms  = 30
	maxQuickPolls       int = 5
	// maxFirstPolls bounds the concurrent first polls, those of workers for which needsFreshPoll or probed is true. A poll
	// costs about 0.3 ms of processor time; thousands at once would delay the replies to peers and callers by a second.
	maxFirstPolls = 256
	// stopRetryIntervalMs is the interval between two stops of one attempt.
	stopRetryIntervalMs ms = 400
)

// mayRunUnknown reports whether a worker is not admitted, or has not answered a poll that was sent after the end of the
// prior leader's authority. Such a worker may run tasks that this leader does not know.
func (c *Cell) mayRunUnknown(w *worker) bool {
	return !w.admitted || w.answeredPollSentAt < c.handoverAt
}

// needsFreshPoll reports whether a worker may run tasks that this leader does not know, or have ends of such tasks.
func (c *Cell) needsFreshPoll(w *worker) bool {
	return c.mayRunUnknown(w) || w.readPollSentAt < c.handoverAt
}

// awaited reports whether a worker may run tasks of prior leaders, or have ends of them, that this leader does not know and that do
// not count as lost. They count as lost once the leases at the worker have ended, which the leader renews while it reads the ends.
func (c *Cell) awaited(w *worker, now ms) bool {
	switch {
	case !c.needsFreshPoll(w), c.hasEnded(w):
		return false
	case w.moreEnds && w.readPollSentAt < c.handoverAt:
		return !w.leasesExpired(now)
	}
	return now < w.priorLeasesEndAt
}

// schedulePolls orders the polls that are due.
func (c *Cell) schedulePolls(now ms) {
	firstPolls, idleNeeded := 0, c.idleNeeded()
	for _, w := range c.workers {
		if w.pollInFlight && (c.needsFreshPoll(w) || w.probed()) {
			firstPolls++
		}
	}
	for _, w := range c.workers {
		urgent := w.pollInFlight && !w.urgentPollInFlight && w.stopConfirmedDuringPoll()
		due := c.pollDue(w, now) || (idleNeeded && now-w.pollDoneAt >= idlePollIntervalMs)
		if !urgent && (w.pollInFlight || now-w.pollDoneAt < minPollIntervalMs || !due) {
			continue
		}
		if (c.needsFreshPoll(w) || w.probed()) && !urgent {
			if firstPolls == maxFirstPolls {
				continue
			}
			firstPolls++
		}
		o := PollOrder{OrderHeader: c.header(w), AckedEnd: w.ackedEnd, Quick: c.quickPoll(w), ExtraMs: w.extraTimeoutMs(), worker: w, urgent: urgent}
		withheld := c.ackWithheld(w, now)
		if w.incarnation != w.newestIncarnation() || w.ackedEnd <= w.confirmedAck || withheld || w.failedPolls > 0 {
			// Each incarnation numbers its ends from 1. An end that the worker has forgotten is not named again: the
			// next incarnation may execute the poll, and would forget an unread end of that number. A restart breaks
			// the poll in flight, so after a failed poll the worker's incarnation has to be read first.
			o.AckedEnd = 0
		}
		if w.admitted && w.silentSince == 0 && w.failedPolls == 0 && len(w.unackedEnds) == 0 && !withheld && !urgent && (len(w.attempts) > 0 || !idleNeeded) {
			o.WaitMs = c.longPollTimeout(w, now)
		}
		// A poll without a reply may have renewed the leases. A silent worker's leases have to end, so they are not
		// renewed.
		if w.listed && w.admitted && w.silentSince == 0 && now < c.authorityUntil {
			o.LeaseUntilMs = w.giveLease(now, c.cfg.LeaseMs)
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

// longPollTimeout returns how long a worker may hold the reply to a poll. When the prior leader was lost without
// notice, the tasks missing from its jobs start once every worker has answered a poll that was sent after the end of
// the prior leader's authority. A long poll that is pending then would delay that.
func (c *Cell) longPollTimeout(w *worker, now ms) int64 {
	switch {
	case now < c.handoverAt:
		return min(longPollTimeoutMs, int64(c.handoverAt-now))
	case c.needsFreshPoll(w), w.probed():
		return 0
	case w.slowdown.current(now) > stragglerFactor || w.trialJob() != "":
		return slowWorkerPollTimeoutMs
	}
	return longPollTimeoutMs
}

// ackWithheld reports whether there is an end that the worker may not forget yet, although it is persisted. While the
// prior leader may still give orders, it could start the task again on the next incarnation of the worker, which has
// neither the end nor this leader's token. While a start is in doubt, the worker may have restarted, and the next
// incarnation may have executed it and would forget its end unread.
func (c *Cell) ackWithheld(w *worker, now ms) bool {
	return w.ackedEnd > w.confirmedAck && (now < c.handoverAt || w.startInDoubt())
}

// startInDoubt reports whether the reply to a start on the worker was lost and no list has shown the attempt since.
func (w *worker) startInDoubt() bool {
	for _, a := range w.attempts {
		if a.state == inDoubt {
			return true
		}
	}
	return false
}

// quickPoll reports whether a poll that the worker does not answer is repeated at once.
func (c *Cell) quickPoll(w *worker) bool {
	return c.needsFreshPoll(w) && w.failedPolls < maxQuickPolls
}

// stopConfirmedDuringPoll reports whether a stop for a start in doubt was confirmed after the last poll was sent. A new
// poll then shows whether the attempt exists; the last one may not.
func (w *worker) stopConfirmedDuringPoll() bool {
	for _, a := range w.attempts {
		if a.stopConfirmed && a.state == inDoubt && a.confirmedAt >= w.pollSentAt {
			return true
		}
	}
	return false
}

// pollDue reports whether a worker has to be polled now.
func (c *Cell) pollDue(w *worker, now ms) bool {
	since := now - w.pollDoneAt
	switch {
	case w.silentSince != 0 && c.quickPoll(w):
		return since >= quickPollIntervalMs
	case w.silentSince != 0:
		return since >= silentPollIntervalMs
	case !w.admitted:
		return true
	case w.moreEnds && len(w.unackedEnds) == 0 && !c.ackWithheld(w, now):
		return true // It lists the next ends once it has forgotten those before.
	case !w.moreEnds && c.needsFreshPoll(w) && now >= c.handoverAt:
		return true
	case len(w.unackedEnds) > 0 || c.ackWithheld(w, now):
		return since >= unackedPollIntervalMs || w.stopConfirmedDuringPoll()
	}
	return len(w.attempts) > 0 || w.ackedEnd > w.confirmedAck || (w.probed() && since >= silentPollIntervalMs)
}

// scheduleStops orders the stops that are due.
func (c *Cell) scheduleStops(now ms) {
	for _, w := range c.workers {
		if w.silentSince != 0 && now-w.silentSince > silentPollIntervalMs && w.pollDoneAt > w.silentSince {
			continue // The stop is sent when the worker replies again.
		}
		for _, a := range w.attempts {
			if a.stage == nil && now-a.sentAt > strayGraceMs {
				a.stopWanted = true
			}
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
	// inDoubtGraceMs is the time that a start in doubt has to appear in a task list before it is stopped.
	inDoubtGraceMs ms = 150
	// confirmedStopRetryMs is the time after which a stop is repeated that was confirmed but after which no end was
	// listed.
	confirmedStopRetryMs ms = 2000
)
