package cccell

// Late replies. Load: the link to a region is full, so that replies of its workers come seconds late. A worker that has
// told of an end counts as having been heard: its task must not be started again because the leader did not wait for the
// reply. So a reply that comes after the timeout of its poll is read like others, later polls get the time that it has
// needed, and the worker gets no tasks until its replies are in time again.

const (
	// PollTimeoutMs is the time, beyond what a poll allows for, from which its reply is late.
	PollTimeoutMs ms = 700
	// maxReplyDelayMs bounds the delay for which the timeout of polls is extended.
	maxReplyDelayMs ms = 2000
	// replyDelayMargin is the ratio of the extension of a timeout to the delay that was observed.
	replyDelayMargin = 2
)

// OnLateReply handles a reply to a poll that OnPollReply was told to be lost.
func (c *Cell) OnLateReply(o *PollOrder, r Reply, lists *TaskLists, now ms) {
	w := o.worker
	if r.Reason == Fenced {
		c.depose(w)
	}
	if r.Outcome != Executed || c.workers[w.info.ID] != w {
		return
	}
	if r.IncarnationMs != 0 && r.IncarnationMs != w.incarnation && r.Sent < w.incarnationAt {
		return // Of an earlier incarnation, whose number may be higher, or of a later one, which the next poll finds.
	}
	c.cfg.Log("late reply", "Worker", w.info.ID, "AfterMs", r.Received-r.Sent, "Running", len(lists.Running), "Ended", len(lists.Ended))
	if r.IncarnationMs != 0 && w.incarnation != r.IncarnationMs {
		c.handleRestart(w, &r, now)
	}
	w.recordDelay(o, &r)
	if w.clockAt == 0 {
		w.clock, w.clockAt = r.ClockMs, r.Received
	}
	if r.Sent >= w.failedPollSentAt { // Else the worker may have crashed since.
		c.logHeard(w, now)
		w.silentSince = 0
		c.withdrawCrashes(w)
	}
	c.readLists(o, &r, lists, now)
}

// recordDelay records how long a worker has taken to reply to a poll. The reply to a long poll may have come early, so
// that the delay decreases only gradually.
func (w *worker) recordDelay(o *PollOrder, r *Reply) {
	delay := r.Received - r.Sent - ms(o.WaitMs)
	w.replyDelayMs = min(max(delay, w.replyDelayMs/2), maxReplyDelayMs)
}

// repliesLate reports whether replies of a worker to polls have been late. A start would remain in doubt.
func (w *worker) repliesLate() bool {
	return w.replyDelayMs >= PollTimeoutMs
}

// probed reports whether a worker has to be polled, although it has no attempts, to learn whether its replies are in time
// again.
func (w *worker) probed() bool {
	return len(w.attempts) == 0 && w.repliesLate()
}

// extraTimeoutMs returns the time by which the timeout of a poll is extended.
func (w *worker) extraTimeoutMs() int64 {
	if !w.repliesLate() {
		return 0
	}
	return int64(replyDelayMargin * w.replyDelayMs)
}
