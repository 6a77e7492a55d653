package cccell

// health follows a worker's own results. Load pattern: workers that fail whatever they start, or
// part of it, while they answer as healthy. A few results decide, since a worker that ends work at
// once draws more than its share of it.
type health struct {
	// score falls towards 0 with each failure and rises towards 1 with each task that is done.
	score float64
	// until is the end of the present quarantine, strikes the number of those in a row.
	quarantinedUntil ms
	quarantines      int
	// refused is the end of a short pause after the worker turned a start away.
	noStartsUntil ms
}

const (
	// healthWeight is the weight of one result: three failures in a row bring the score below healthFloor.
	healthWeight    = 0.3
	quarantineScore = 0.36
	// quarantineMs is the first quarantine; it doubles with each further one, to at most quarantineMaxMs.
	quarantineMs    ms = 2000
	quarantineMaxMs ms = 16000
	// refusedMs is the pause after a worker that answered that it can't take work now.
	refusalDelayMs ms = 300
	// maxQuarantined is the share of the workers that may be in quarantine at a time, so that bad jobs can't empty the fleet.
	maxQuarantined = 0.25
)

// usable reports whether the worker may get work.
func (h *health) usable(now ms) bool {
	return now >= h.quarantinedUntil && now >= h.noStartsUntil
}

// ended takes in a result. It returns true when a quarantine begins.
func (h *health) record(ok bool, now ms, mayBegin bool) bool {
	if ok {
		h.score += (1 - h.score) * healthWeight
		h.quarantines = 0
		return false
	}
	h.score -= h.score * healthWeight
	if h.score >= quarantineScore || now < h.quarantinedUntil || !mayBegin {
		return false
	}
	h.quarantinedUntil = now + min(quarantineMs<<h.quarantines, quarantineMaxMs)
	h.quarantines = min(h.quarantines+1, 4)
	// One more failure after the quarantine begins the next one.
	h.score = quarantineScore / (1 - healthWeight) * 0.99
	return true
}
