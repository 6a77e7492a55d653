package cccell

// leases is what the leader knows of the lease at a worker, on the clock of the worker's present incarnation. All tasks on a
// worker share one lease; each order with a later end extends it, and none shortens it.
type leases struct {
	// sent is the latest end that this leader has sent to the present incarnation. Orders repeat or extend it.
	sent int64
	// possible is a bound for the end of a lease that orders for earlier incarnations may have left. It is never sent: an
	// order that carried it would make it true, and a successor waits for leases of Config.LeaseMs only.
	possible int64
	// unfenced is true while orders for earlier incarnations can still be carried out, and extend the lease.
	unfenced bool
	// unrecorded is true while the roster in the store does not tell of possible.
	unrecorded bool
}

// longestLease returns the length of the longest lease that a worker may hold.
func (c *Cell) longestLease() ms {
	return max(c.cfg.LeaseMs, c.cfg.MaxLeaseMs)
}

// longestPriorLease returns the length of the longest lease that prior leaders may have left at any worker.
func (c *Cell) longestPriorLease() ms {
	return max(c.cfg.PriorLeaseMs, c.longestLease())
}

// next returns the end of a lease of the given length that begins now, by the worker's clock. It is never before an end that
// was sent earlier.
func (l *leases) next(clock int64, length ms) int64 {
	return max(l.sent, clock+int64(length))
}

// give records an end that is sent to the worker.
func (l *leases) give(until int64) {
	l.sent = max(l.sent, until)
}

// restart begins the leases of a new incarnation. possible bounds the lease that it may hold already, 0 for none.
func (l *leases) restart(possible int64) {
	*l = leases{possible: possible, unfenced: possible > 0, unrecorded: possible > 0}
}

// raise records that the lease may end as late as a given time.
func (l *leases) raise(possible int64) {
	l.possible = max(l.possible, possible)
}

// fence records that no order for an earlier incarnation can be carried out any more. possible bounds the lease that these
// may have left.
func (l *leases) fence(possible int64) {
	if l.unfenced {
		l.possible, l.unfenced = possible, false
	}
}

// long reports whether the lease may end later than one of the given length that begins now, by the worker's clock.
func (l *leases) long(clock int64, length ms) bool {
	return l.possible > clock+int64(length)
}

// expired reports whether the lease has ended by the worker's clock, and the tasks are killed.
func (l *leases) expired(clock int64) bool {
	return clock > max(l.sent, l.possible)+expiryMarginMs
}

// longLease reports whether a worker may hold a lease that ends later than those that the leader gives. The next leader has to
// know if it does not reach the worker.
func (c *Cell) longLease(w *worker, now ms) bool {
	clock, known := w.clockNow(now)
	if !known { // Not reached so far: what prior leaders may have left counts.
		return w.priorLeasesEndAt > now+maxLeaseDuration(c.cfg.LeaseMs)
	}
	return w.leases.long(clock, c.cfg.LeaseMs)
}

// awaitsLeaseRecord reports whether a worker gets no tasks, since the next leader would not wait long enough for the end of its
// lease. Load: workers restart, and the leader is lost and they are cut off soon after.
func (c *Cell) awaitsLeaseRecord(w *worker, now ms) bool {
	return c.cfg.AwaitRoster && w.leases.unrecorded && c.longLease(w, now)
}

// RosterStored records that the store has a roster, and that no write of an earlier one can be carried out later.
func (c *Cell) RosterStored(roster []WorkerInfo) {
	for i := range roster {
		// The rosters after this one have LongLease as well, for as long as it is true.
		if w := c.workers[roster[i].ID]; w != nil && roster[i].LongLease {
			w.leases.unrecorded = false
		}
	}
}

// priorLease returns the length of the longest lease that prior leaders may have left at an incarnation of a worker. If it is
// not the incarnation of the prior leader's roster, orders that were meant for that one may have given it the longest lease.
func (c *Cell) priorLease(w *worker, incarnation int64) ms {
	if p := &w.priorInfo; p.LongLease || (p.ID != "" && p.IncarnationMs != incarnation) {
		return c.longestPriorLease()
	}
	return c.cfg.PriorLeaseMs
}

// awaitPriorLeases sets when the leases of prior leaders have ended at a worker that this leader does not reach.
func (c *Cell) awaitPriorLeases(w *worker) {
	w.priorLeasesEndAt = c.handoverAt + maxLeaseDuration(c.priorLease(w, w.newestIncarnation()))
}
