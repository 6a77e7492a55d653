// Package ccquorum decides how long a leader may give orders, and when its successor may begin. A leader keeps its
// authority while the store confirms it, or a majority of the voters and half of the workers do, and most of these after a
// while; the voters are processes that are recorded in the store. The successor waits until the prior leader can't have such a
// majority any more, or not so many workers (workers.go).
//
// Why two leaders never have authority at the same time: the leader record in the store names the leader and the voters,
// and is changed only by a conditional write. A successor therefore knows all voters that the prior leader can count. A
// voter that has seen the successor no longer confirms the prior leader. Once so many voters have seen the successor that
// the others are no majority, the prior leader has no confirmation by a majority that is younger than that. A process
// that has restarted is not the voter that it was, since it does not know whom it has confirmed. The voters of a leader
// whose handover is not complete stay those of the leader before it.
package ccquorum

import (
	"slices"

	"coriandercross/core/ccclock"
)

type ms = ccclock.Millis

const (
	// MinVoters is the least number of voters. Fewer processes are not recorded as voters: only the store confirms their
	// leader.
	MinVoters = 2
	// MaxWithoutStoreMs bounds the time since the last confirmation by the store for which a majority confirms a leader.
	// A successor waits that long if it reaches some of the voters, but too few.
	MaxWithoutStoreMs ms = 12_000
	// MaxWithoutStoreAllMs is the same bound while all voters confirm the leader. A successor that reaches none of the
	// voters waits that long: an outage of the store may last for an hour.
	MaxWithoutStoreAllMs ms = 3_600_000
)

// Voter is a process that can confirm a leader.
type Voter struct {
	VM string `cbor:"1,keyasint"`
	// StartMs is when the process started, in Unix milliseconds. It distinguishes the processes of one VM.
	StartMs int64 `cbor:"2,keyasint"`
}

// majority returns the number of voters that make a majority.
func majority(voters []Voter) int {
	return len(voters)/2 + 1
}

// blocking returns the number of voters without which the others don't make a majority.
func blocking(voters []Voter) int {
	return len(voters) - majority(voters) + 1
}

// Term is a leader's view of its confirmations. It is not safe for concurrent use.
type Term struct {
	self        Voter
	authorityMs ms
	// voterSets holds the voters in the store, and those of writes whose outcome is not known. The leader needs a
	// majority of each.
	voterSets [][]Voter
	// rosters holds the workers in the store, and those of writes whose outcome is not known, as voterSets does. halfAt and mostAt
	// are when half and most of each roster followed the leader for certain, 0 for never.
	rosters        []Incarnations
	halfAt, mostAt ms
	// storeAt is when the last call was sent by which the store has confirmed the leader.
	storeAt ms
	// confirmedAt holds the time at which each voter followed the leader for certain.
	confirmedAt map[Voter]ms
	// validFrom is the time from which confirmations count.
	validFrom ms
}

// NewTerm returns the term of a leader that won the leader record by a write that was sent at a time. voters are those
// in the record.
func NewTerm(self Voter, authorityMs ms, voters []Voter, wonAt ms) *Term {
	return &Term{self: self, authorityMs: authorityMs, voterSets: [][]Voter{voters}, storeAt: wonAt, confirmedAt: map[Voter]ms{}}
}

// ConfirmByStore records that the store has confirmed the leader by a call that was sent at a time.
func (t *Term) ConfirmByStore(sentAt ms) {
	if sentAt >= t.validFrom {
		t.storeAt = max(t.storeAt, sentAt)
	}
}

// Confirm records that a process followed the leader at a time on the leader's clock.
func (t *Term) Confirm(v Voter, at ms) {
	if at >= t.validFrom {
		t.confirmedAt[v] = max(t.confirmedAt[v], at)
	}
}

// Invalidate voids all confirmations from before a time. It is called after the process was suspended, as the clock did
// not count the suspension.
func (t *Term) Invalidate(now ms) {
	t.validFrom, t.storeAt, t.halfAt, t.mostAt = now, 0, 0, 0
	t.confirmedAt = map[Voter]ms{}
}

// Propose adds voters that are about to be written to the store.
func (t *Term) Propose(voters []Voter) {
	t.voterSets = append(t.voterSets, voters)
}

// Recorded records that the store has a leader record of this term with the given voters, written after all earlier
// ones.
func (t *Term) Recorded(voters []Voter) {
	t.voterSets = [][]Voter{voters}
}

// Authority returns the time until which the leader may give orders.
func (t *Term) Authority() ms {
	until := t.storeAt + t.authorityMs
	if t.storeAt == 0 {
		until = 0
	}
	majorityAt, allAt := t.confirmations()
	var byVoters ms
	if majorityAt > 0 && t.storeAt > 0 {
		byVoters = min(majorityAt+t.authorityMs, t.storeAt+MaxWithoutStoreMs)
	}
	if allAt > 0 && t.storeAt > 0 {
		byVoters = max(byVoters, min(allAt+t.authorityMs, t.storeAt+MaxWithoutStoreAllMs))
	}
	if byWorkers, needed := t.authorityByWorkers(); needed {
		byVoters = min(byVoters, byWorkers)
	}
	return max(until, byVoters)
}

// StoreConfirmedAt returns when the last call was sent by which the store has confirmed the leader, 0 for none since the
// process was suspended.
func (t *Term) StoreConfirmedAt() ms {
	return t.storeAt
}

// confirmations returns the latest times at which a majority, and all, of each set of voters followed the leader, 0 for
// never. The leader itself always follows.
func (t *Term) confirmations() (majorityAt, allAt ms) {
	for i, voters := range t.voterSets {
		if len(voters) < MinVoters {
			return 0, 0
		}
		var times []ms
		needed := majority(voters)
		if slices.Contains(voters, t.self) {
			needed--
		}
		for _, v := range voters {
			if v != t.self {
				times = append(times, t.confirmedAt[v])
			}
		}
		slices.SortFunc(times, func(a, b ms) int { return int(b - a) })
		if i == 0 || times[needed-1] < majorityAt {
			majorityAt = times[needed-1]
		}
		if last := times[len(times)-1]; i == 0 || last < allAt {
			allAt = last
		}
	}
	return majorityAt, allAt
}

// Handover is a new leader's view of the end of the prior leader's authority.
type Handover struct {
	voters []Voter
	// settled is true when the handover to the prior leader was complete, so that no leader before it has authority.
	settled     bool
	authorityMs ms
	wonAt       ms
	released    map[Voter]bool
	// roster has the workers that the prior leaders need half of, or most if needMost is set and the store does not confirm them for
	// some time. reached has those that no longer confirm them.
	roster   Incarnations
	reached  map[string]bool
	needMost bool
	endsAt   ms
}

// NewHandover returns the handover to a leader that won the leader record at a time. voters are those of the record that
// it has replaced, settled tells whether the prior leader has written them, and priorAuthorityMs is the longest time for
// which a leader of these voters may act after a confirmation.
func NewHandover(voters []Voter, settled bool, priorAuthorityMs, wonAt ms) *Handover {
	h := &Handover{voters: voters, settled: settled, authorityMs: priorAuthorityMs, wonAt: wonAt, released: map[Voter]bool{}, endsAt: wonAt + MaxWithoutStoreAllMs + priorAuthorityMs}
	if len(voters) < MinVoters {
		h.endsAt = wonAt + priorAuthorityMs // Only the store has confirmed the prior leader.
	}
	return h
}

// Follows records that a process follows the new leader now. If it is not the voter of its VM, that voter has ended.
func (h *Handover) Follows(v Voter, now ms) {
	h.release(now, func(old Voter) bool { return old.VM == v.VM && old.StartMs <= v.StartMs })
}

// Ended records that a process is known to have ended.
func (h *Handover) Ended(v Voter, now ms) {
	h.release(now, func(old Voter) bool { return old == v })
}

// release records that voters no longer confirm the prior leader.
func (h *Handover) release(now ms, is func(Voter) bool) {
	if len(h.voters) < MinVoters || len(h.released) >= blocking(h.voters) {
		return
	}
	for _, old := range h.voters {
		if is(old) {
			h.released[old] = true
		}
	}
	if len(h.released) > 0 {
		// From now on, the prior leader has no confirmation by all voters.
		h.endsAt = min(h.endsAt, max(h.wonAt+MaxWithoutStoreMs, now)+h.authorityMs)
	}
	if len(h.released) >= blocking(h.voters) {
		h.endsAt = min(h.endsAt, now+h.authorityMs)
	}
}

// PriorLeaderEnded records that the term of the prior leader is known to have ended. Leaders before it may still act
// unless the handover to it was complete.
func (h *Handover) PriorLeaderEnded(now ms) {
	if h.settled {
		h.endsAt = min(h.endsAt, now)
	}
}

// VotersLeft returns the number of voters that may still confirm the prior leader.
func (h *Handover) VotersLeft() int {
	return len(h.voters) - len(h.released)
}

// EndsAt returns the time at which the authority of all prior leaders has ended, as far as is known. It becomes earlier
// when the remaining voters are no majority.
func (h *Handover) EndsAt() ms {
	return h.endsAt
}
