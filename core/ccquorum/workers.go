package ccquorum

import (
	"maps"
	"slices"
)

// Workers confirm a leader as well, since each refuses the orders of a leader once it has seen the token of a later one. A
// leader that the store does not confirm needs half of the workers besides the voters, and most of them after
// MaxWithHalfMs. The roster in the store names the workers that count, so that a successor knows them: once it has reached more than
// half of them with its token, the prior leader has lost its authority, even if none of the voters can be reached because all their VMs
// were replaced. If it has reached so many that the others are not most of them, the prior leader loses it after MaxWithHalfMs: half of
// the workers may have been lost together with the VMs, and nothing shows that they don't confirm a leader behind a partition.
//
// A worker that has restarted has forgotten the tokens, so it is not the worker that it was: neither for the prior leader,
// which needs the incarnations of the roster, nor for the successor, to which the restart shows that the earlier
// incarnation no longer confirms anybody. A leader writes a roster only after its handover is complete, so that the one in the
// store is that of all leaders which may still have authority.

// WorkerAuthorityMs is the time for which a leader that the store does not confirm may give orders after half of the workers
// have confirmed it. It covers a long poll and the interval between two polls.
const WorkerAuthorityMs ms = 2000

// MaxWithHalfMs bounds the time since the last confirmation by the store for which half of the workers confirm a leader.
const MaxWithHalfMs ms = 3000

// Incarnations holds the start times of workers' processes, in Unix milliseconds, by the IDs of the workers.
type Incarnations map[string]int64

// needed returns the number of workers whose confirmation a leader needs. So many and the released ones of a successor always
// have a worker in common.
func (w Incarnations) needed() int {
	return (len(w) + 1) / 2
}

// most returns the number of workers whose confirmation a leader needs after MaxWithHalfMs: two thirds.
func (w Incarnations) most() int {
	return len(w) - len(w)/3
}

// ProposeWorkers adds a roster that is about to be written to the store.
func (t *Term) ProposeWorkers(roster Incarnations) {
	if n := len(t.rosters); n > 0 && maps.Equal(t.rosters[n-1], roster) {
		return // Repeated after a write that has failed.
	}
	t.rosters = append(t.rosters, roster)
}

// RecordedWorkers records that the store has the given roster, and that no write of another one can be carried out later.
func (t *Term) RecordedWorkers(roster Incarnations) {
	t.rosters = []Incarnations{roster}
}

// InEachRoster returns the IDs of the workers that are in each roster that the store may hold.
func (t *Term) InEachRoster() map[string]bool {
	out := map[string]bool{}
	if len(t.rosters) == 0 {
		return out
	}
	for id := range t.rosters[0] {
		out[id] = true
	}
	for _, roster := range t.rosters[1:] {
		maps.DeleteFunc(out, func(id string, _ bool) bool {
			_, ok := roster[id]
			return !ok
		})
	}
	return out
}

// ConfirmByWorkers records the confirmations by the workers. confirmedAt returns the time on the leader's clock at which the
// newest call was sent that an incarnation of a worker has executed, 0 for none.
func (t *Term) ConfirmByWorkers(confirmedAt func(id string, startMs int64) ms) {
	halfAt, mostAt, found := ms(0), ms(0), false
	for _, roster := range t.rosters {
		if len(roster) == 0 {
			continue
		}
		times := make([]ms, 0, len(roster))
		for id, startMs := range roster {
			at := confirmedAt(id, startMs)
			if at < t.validFrom {
				at = 0
			}
			times = append(times, at)
		}
		slices.Sort(times)
		half, most := times[len(times)-roster.needed()], times[len(times)-roster.most()]
		if !found {
			halfAt, mostAt, found = half, most, true
		}
		halfAt, mostAt = min(halfAt, half), min(mostAt, most)
	}
	t.halfAt, t.mostAt = halfAt, mostAt
}

// authorityByWorkers returns the time up to which the workers' confirmations allow a leader to rely on the voters.
func (t *Term) authorityByWorkers() (until ms, needed bool) {
	for _, roster := range t.rosters {
		needed = needed || len(roster) > 0
	}
	if t.halfAt > 0 && t.storeAt > 0 {
		until = min(t.halfAt+WorkerAuthorityMs, t.storeAt+MaxWithHalfMs)
	}
	if t.mostAt > 0 {
		until = max(until, t.mostAt+WorkerAuthorityMs)
	}
	return until, needed
}

// AwaitWorkers names the workers of which each leader that may still have authority needs half. needMost is true if it needs most of
// them after MaxWithHalfMs; leaders of earlier releases don't.
func (h *Handover) AwaitWorkers(roster Incarnations, needMost bool) {
	h.roster, h.reached, h.needMost = roster, map[string]bool{}, needMost
}

// ReachWorkers looks for workers that no longer confirm any prior leader. reached reports whether the given incarnation of a
// worker has executed a call with the new leader's token, or is known to have ended.
func (h *Handover) ReachWorkers(reached func(id string, startMs int64) bool, now ms) {
	if len(h.roster) == 0 || h.left() < h.roster.needed() {
		return
	}
	for id, startMs := range h.roster {
		if !h.reached[id] && reached(id, startMs) {
			h.reached[id] = true
		}
	}
	byStoreUntil := h.wonAt + h.authorityMs
	switch left := h.left(); {
	case left < h.roster.needed():
		h.endsAt = min(h.endsAt, max(byStoreUntil, now+WorkerAuthorityMs))
	case h.needMost && left < h.roster.most():
		h.endsAt = min(h.endsAt, max(byStoreUntil, h.wonAt+MaxWithHalfMs, now+WorkerAuthorityMs))
	}
}

// left returns the number of workers that may still confirm a prior leader.
func (h *Handover) left() int {
	return len(h.roster) - len(h.reached)
}

// Reached returns the number of workers that no longer confirm any prior leader, of how many in the roster.
func (h *Handover) Reached() (reached, of int) {
	return len(h.reached), len(h.roster)
}
