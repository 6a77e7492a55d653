package cccell

// health rates a worker by the results of its attempts. It matters when workers fail all or part of their tasks while
// they reply as if healthy. A worker that fails tasks at once is free again at once and gets more than its share of
// them, so a few results are enough for a quarantine.
type health struct {
	// score is the moving average of the results, 1 for a completed task and 0 for a failure.
	score float64
	// quarantinedFrom and quarantinedUntil are the begin and the end of the current quarantine. quarantines is the number of
	// quarantines without a completed task between them.
	quarantinedFrom, quarantinedUntil ms
	quarantines                       int
	// noStartsUntil is the end of a short delay after the worker has refused a start or did not reply to it.
	noStartsUntil ms
}

const (
	// healthWeight is the weight of one result. Three failures in a row bring the score from 1 to below
	// quarantineScore.
	healthWeight    = 0.3
	quarantineScore = 0.36
	// quarantineMs is the length of the first quarantine. It doubles with each further one, up to quarantineMaxMs.
	quarantineMs    ms = 2000
	quarantineMaxMs ms = 16000
	// refusalDelayMs is the time without starts on a worker after it has refused one, or did not reply to one.
	refusalDelayMs ms = 300
	// maxQuarantined is the share of the workers that may be in quarantine at a time, so that jobs which fail
	// everywhere can't make all workers unusable.
	maxQuarantined = 0.25
)

// usable reports whether the worker may get tasks.
func (h *health) usable(now ms) bool {
	return !h.inQuarantine(now) && now >= h.noStartsUntil
}

// inQuarantine reports whether the worker is in quarantine.
func (h *health) inQuarantine(now ms) bool {
	return now < h.quarantinedUntil
}

// lastResort reports whether the worker is in quarantine and may get tasks that no other worker may run: it has had the rest of a
// first quarantine. Load: a task that only one worker may run fails again and again through its own fault.
func (h *health) lastResort(now ms) bool {
	return h.inQuarantine(now) && now >= h.quarantinedFrom+quarantineMs && now >= h.noStartsUntil
}

// record adds a result. It returns true when a quarantine begins; mayBegin allows that.
func (h *health) record(ok bool, now ms, mayBegin bool) bool {
	if ok {
		h.score += (1 - h.score) * healthWeight
		h.quarantines = 0
		return false
	}
	h.score -= h.score * healthWeight
	if h.score >= quarantineScore || h.inQuarantine(now) || !mayBegin {
		return false
	}
	h.quarantinedFrom, h.quarantinedUntil = now, now+min(quarantineMs<<h.quarantines, quarantineMaxMs)
	h.quarantines = min(h.quarantines+1, 4)
	// The first failure after the quarantine begins the next one.
	h.score = quarantineScore / (1 - healthWeight) * 0.99
	return true
}
