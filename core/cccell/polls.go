package cccell

const (
	// lookWaitMs is how long an answer waits for an end: it also bounds the time to notice a connection that went silent.
	lookWaitMs = 1000
	// lookGapMs is the least time between two looks at a worker, so that ends that come together are read together.
	lookGapMs ms = 25
	// unnotedGapMs is the time between looks while ends can't be noted: a waiting look would return at once.
	unnotedGapMs ms = 400
	// silentGapMs is the time between looks at a worker that does not answer.
	silentGapMs ms = 400
	// maxFirstLooks is the number of workers that are read for the first time side by side. A look costs about 0.3 ms of processor; thousands
	// at once would keep fellows and callers waiting for a second.
	maxFirstLooks = 256
	// stopRetryMs is the time between two stops of one attempt.
	stopRetryMs ms = 400
)

// unread reports whether the worker has not been read since this leader alone gives orders.
func (c *Cell) unread(w *worker) bool {
	return !w.looked || w.readAt < c.handover
}

// look orders the looks that are due.
func (c *Cell) look(now ms) {
	first := 0
	for _, w := range c.workers {
		if w.looking && c.unread(w) {
			first++
		}
	}
	for _, w := range c.workers {
		hurried := w.looking && !w.hurried && w.doubtSettled()
		if !hurried && (w.looking || now-w.lookDone < lookGapMs || !c.wantsLook(w, now)) {
			continue
		}
		if c.unread(w) && !hurried {
			if first == maxFirstLooks {
				continue
			}
			first++
		}
		o := PollOrder{OrderHeader: c.call(w), AckedEnd: w.seen, worker: w, hurried: hurried}
		if w.life != w.born() {
			o.AckedEnd = 0 // Ends are numbered anew in each life.
		}
		if w.looked && w.silentSince == 0 && len(w.ends) == 0 && !hurried {
			o.WaitMs = c.lookWait(w, now)
		}
		// A look that is not answered may renew the lease all the same: a silent worker's has to come to its end.
		if w.listed && w.looked && w.silentSince == 0 && now < c.authority {
			o.LeaseUntilMs = w.nextUntil(now, c.cfg.LeaseMs)
			w.until = max(w.until, o.LeaseUntilMs)
		}
		if hurried {
			w.hurried = true
		} else {
			w.looking = true
		}
		w.lookSent = now
		c.stats.Polls++
		c.out.Polls = append(c.out.Polls, o)
	}
}

// lookWait returns how long a look at a worker may wait for an end. Load pattern: the leader was lost in silence; what its jobs miss is
// started again once every worker was read after its authority has ended, and a look that waits, or was sent before, delays that.
func (c *Cell) lookWait(w *worker, now ms) int64 {
	switch {
	case now < c.handover:
		return min(lookWaitMs, int64(c.handover-now))
	case c.unread(w):
		return 0
	case w.lag.now(now) > lagFactor:
		return hurryWaitMs
	}
	return lookWaitMs
}

// doubtSettled reports whether a stop was confirmed, after the look under way was sent, for a start in doubt.
func (w *worker) doubtSettled() bool {
	for _, a := range w.attempts {
		if a.stopped && a.state == inDoubt && a.surelySince >= w.lookSent {
			return true
		}
	}
	return false
}

// wantsLook reports whether a worker has to be looked at now.
func (c *Cell) wantsLook(w *worker, now ms) bool {
	since := now - w.lookDone
	switch {
	case w.silentSince != 0:
		return since >= silentGapMs
	case !w.looked || (c.unread(w) && now >= c.handover):
		return true
	case len(w.ends) > 0:
		return since >= unnotedGapMs
	}
	return len(w.attempts) > 0 || w.seen > w.told
}

// stop orders the stops that are due.
func (c *Cell) stop(now ms) {
	for _, w := range c.workers {
		if w.silentSince != 0 && now-w.silentSince > silentGapMs && w.lookDone > w.silentSince {
			continue // The stop follows when the worker is heard again.
		}
		for _, a := range w.attempts {
			if a.state == inDoubt && !a.stopping && now-a.doubtSince > doubtMs {
				a.stopping = true
			}
			if !a.stopping || a.stopInCall || (a.stopSent != 0 && now-a.stopSent < stopRetryMs) {
				continue
			}
			if a.stopped && a.surelySince != 0 && now-a.stopSent < stopAgainMs {
				continue
			}
			a.stopInCall, a.stopSent = true, now
			c.stats.Stops++
			c.out.Stops = append(c.out.Stops, StopOrder{OrderHeader: c.call(w), Task: a.task, Attempt: a.number, attempt: a})
		}
	}
}

const (
	// doubtMs is the time, after the start was given up, that lists have to show it before it is stopped.
	doubtMs ms = 150
	// stopAgainMs is the time after which a confirmed stop without an end is repeated.
	stopAgainMs ms = 2000
)
