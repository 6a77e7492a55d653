package cccell

// Confirmations by workers. Load: the store is down, or all entry VMs are replaced at once. A worker that executes a call has
// not seen the token of a later leader; see ccquorum. Workers that run nothing are polled for it as well, as long as the
// leader needs them.

const (
	// idlePollIntervalMs is the interval between polls of workers that run nothing, while they are needed.
	idlePollIntervalMs ms = 800
	// busyShare is the share of workers with attempts from which the idle ones are not needed: more than the two thirds that confirm a
	// leader for long.
	busyShare = 0.8
)

// PollIdle sets whether workers that run nothing are polled as well.
func (c *Cell) PollIdle(on bool) {
	c.pollIdle = on
}

// idleNeeded reports whether workers that run nothing have to be polled.
func (c *Cell) idleNeeded() bool {
	if !c.pollIdle {
		return false
	}
	busy := 0
	for _, w := range c.workers {
		if len(w.attempts) > 0 && w.silentSince == 0 {
			busy++
		}
	}
	return float64(busy) < busyShare*float64(len(c.workers))
}

// WorkerConfirmedAt returns when the newest poll was sent that an incarnation of a worker has executed, 0 for none.
func (c *Cell) WorkerConfirmedAt(id string, incarnation int64) ms {
	w := c.workers[id]
	if w == nil || w.incarnation != incarnation {
		return 0
	}
	return w.answeredPollSentAt
}

// hasEnded reports whether a worker of the prior leader's roster is known to have ended, since another one has answered this leader at
// its address. Load: many workers are lost together with the entry VMs, and others take their places.
func (c *Cell) hasEnded(w *worker) bool {
	prior := &w.priorInfo
	if prior.ID == "" || w.newestIncarnation() != prior.IncarnationMs {
		return false
	}
	id, answered := c.answering[prior.Address]
	return answered && id != prior.ID
}

// WorkerReached reports whether an incarnation of a worker has executed a poll of this leader, or has ended.
func (c *Cell) WorkerReached(id string, incarnation int64) bool {
	w := c.workers[id]
	if w == nil {
		return false
	}
	if w.listed && w.info.IncarnationMs != incarnation {
		return true
	}
	return w.answeredPollSentAt > 0 || c.hasEnded(w) // By this incarnation, or by one that shows that this one has ended.
}
