package ccsuccession

import (
	"slices"
	"strings"
)

const (
	// termWindowMs is the time for which a change of the leader counts as recent.
	termWindowMs ms = 10_000
	// demotionMs is the time for which a VM that was replaced because it was slow or silent ranks behind all others. VMs
	// are slow for some seconds at a time, and may be so again.
	demotionMs ms = 30_000
	// promptChanges is the number of changes in termWindowMs that are made without patience: a leader may die, and its
	// successor as well.
	promptChanges = 1
	// basePatienceMs is the additional time for which a leader has to fail after one more change than that. It doubles
	// with each further one, up to maxPatienceMs.
	basePatienceMs ms = 600
	maxPatienceMs  ms = 4800
)

// Demotion is a VM that ranks behind the others for some time.
type Demotion struct {
	VM string `cbor:"1,keyasint"`
	// LeftMs is the time left when the demotion was sent or written.
	LeftMs ms `cbor:"2,keyasint"`
}

// Terms is what a process knows of recent changes of the leader. Tokens rise by one with each term, so that a process
// also counts the terms that it has not seen.
type Terms struct {
	seen    []seenTerm
	demoted map[string]ms
}

// seenTerm is the token of a leader and the time at which this process learned of it.
type seenTerm struct {
	token int64
	at    ms
}

// Began records that this process has learned of a leader.
func (t *Terms) Began(token int64, now ms) {
	if n := len(t.seen); n > 0 && token <= t.seen[n-1].token {
		return
	}
	t.seen = append(t.seen, seenTerm{token, now})
	for len(t.seen) > 1 && now-t.seen[1].at > termWindowMs {
		t.seen = t.seen[1:] // The newest one from before the window remains: it is what the others are counted from.
	}
}

// Recent returns the number of changes of the leader in the last termWindowMs. The first leader that a process learns of
// is no change.
func (t *Terms) Recent(now ms) int {
	if len(t.seen) == 0 {
		return 0
	}
	before := t.seen[0].token
	for _, s := range t.seen {
		if now-s.at > termWindowMs {
			before = s.token
		}
	}
	return int(t.seen[len(t.seen)-1].token - before)
}

// Patience returns for how much longer than usual a leader whose process may be alive has to fail before it is replaced.
// It bounds the number of terms while many processes are slow.
func (t *Terms) Patience(now ms) ms {
	n := t.Recent(now) - promptChanges
	if n < 1 {
		return 0
	}
	const maxDoublings = 8
	return min(basePatienceMs<<min(n-1, maxDoublings), maxPatienceMs)
}

// Demote lets a VM rank behind the others for demotionMs.
func (t *Terms) Demote(vm string, now ms) {
	t.Adopt([]Demotion{{vm, demotionMs}}, now)
}

// Adopt adds demotions that another process has sent.
func (t *Terms) Adopt(list []Demotion, now ms) {
	if t.demoted == nil {
		t.demoted = map[string]ms{}
	}
	for _, d := range list {
		if d.LeftMs > 0 && d.LeftMs <= demotionMs {
			t.demoted[d.VM] = max(t.demoted[d.VM], now+d.LeftMs)
		}
	}
}

// Demoted reports whether a VM ranks behind the others.
func (t *Terms) Demoted(vm string, now ms) bool {
	return now < t.demoted[vm]
}

// Demotions returns the demotions that are in force, for other processes.
func (t *Terms) Demotions(now ms) []Demotion {
	var out []Demotion
	for vm, until := range t.demoted {
		if until <= now {
			delete(t.demoted, vm)
			continue
		}
		out = append(out, Demotion{vm, until - now})
	}
	slices.SortFunc(out, func(a, b Demotion) int { return strings.Compare(a.VM, b.VM) })
	return out
}
