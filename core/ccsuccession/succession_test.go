package ccsuccession

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// unevenCell returns the processor time of 30 VMs, 12 large ones among them.
func unevenCell() []float64 {
	var cores []float64
	for i := range 30 {
		if i < 12 {
			cores = append(cores, 0.8)
		} else {
			cores = append(cores, 0.192)
		}
	}
	return cores
}

// plays is the number of plays of each test on the model, by seeds from 0 on. SUCCESSION_PLAYS sets another.
const plays = 30

// play plays a day on cells that have run for a while.
func play(t *testing.T, day func(t *testing.T, m *model)) {
	t.Helper()
	n := plays
	if s := os.Getenv("SUCCESSION_PLAYS"); s != "" {
		var err error
		n, err = strconv.Atoi(s)
		assert.NilError(t, err)
	}
	for seed := range uint64(n) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newModel(seed, unevenCell())
			m.step(m.between(3000, 4000))
			m.changes, m.placed = nil, nil
			day(t, m)
		})
	}
}

// between returns a random time.
func (m *model) between(from, to ms) ms {
	return from + ms(m.rand.IntN(int(to-from)))
}

// chance returns true once in n times.
func (m *model) chance(n int) bool {
	return m.rand.IntN(n) == 0
}

// slowDown lets n processes run x times slower, none of which is slow yet. If best is true, these are the best
// candidates, and else random ones.
func (m *model) slowDown(n int, x float64, best bool) {
	order := m.rand.Perm(len(m.procs))
	if best {
		for i := range order {
			order[i] = i
		}
	}
	for _, i := range order {
		if p := m.procs[i]; n > 0 && p.slow == 1 && !p.dead && p != m.record.leader {
			p.slow = x
			n--
		}
	}
}

// normal lets all processes run normally again.
func (m *model) normal() {
	for _, p := range m.procs {
		p.slow = 1
	}
}

// kill ends the process of the leader without a trace: calls to it stay without a reply.
func (m *model) kill() {
	m.record.leader.dead = true
	m.record.leader.lead = nil
}

// TestSlowLeaderHandsOverOnce plays the load of issue 31: a fifth of the VMs, the leader among them, run 6 times slower for
// some seconds. The leader changes once at most, and no second passes without a placed stage.
func TestSlowLeaderHandsOverOnce(t *testing.T) {
	play(t, func(t *testing.T, m *model) {
		m.record.leader.slow = 6
		m.slowDown(5, 6, m.chance(2))
		m.step(m.between(3000, 15000))
		m.normal()
		m.step(5000)
		assert.Assert(t, len(m.changes) <= 1, "leader replaced at %v", m.changes)
		assert.Assert(t, m.longestGap() < 10, "nothing placed for %d00 ms, leader replaced at %v", m.longestGap(), m.changes)
	})
}

// TestSlowObserversKeepLeader lets up to half of the VMs run slower, but not the leader. It stays.
func TestSlowObserversKeepLeader(t *testing.T) {
	play(t, func(t *testing.T, m *model) {
		m.slowDown(int(m.between(6, 15)), float64(m.between(3, 12)), m.chance(2))
		m.step(m.between(3000, 25000))
		m.normal()
		m.step(3000)
		assert.Equal(t, len(m.changes), 0, "leader replaced at %v", m.changes)
	})
}

// TestDeadLeaderIsReplacedInTime kills the leader while a part of the others is slow. Without slow ones, the first in rank
// campaigns after the timeout of a call, as it did before this package.
func TestDeadLeaderIsReplacedInTime(t *testing.T) {
	tests := map[string]struct {
		slow   int
		withIn ms
	}{
		// The call under way when the leader dies, a reply that was on its way, the contacts, the store.
		"NoneSlow":  {0, modelCallTimeout + modelReplyAfter + 250},
		"FifthSlow": {6, modelCallTimeout + modelReplyAfter + 250 + 6*modelRankDelay},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, m *model) {
				m.slowDown(test.slow, 6, m.chance(2))
				m.step(1000)
				killedAt := m.now
				m.kill()
				m.step(8000)
				assert.Equal(t, len(m.changes), 1, "leader replaced at %v", m.changes)
				took := m.changes[0] - killedAt
				assert.Assert(t, took <= test.withIn, "took %d ms", took)
			})
		})
	}
}

// TestSlowLeadersDontAlternate lets the best candidates run slower again and again, for as long as they are normal
// between: the lead does not come back to one of them within demotionMs.
func TestSlowLeadersDontAlternate(t *testing.T) {
	play(t, func(t *testing.T, m *model) {
		led := map[string]int{m.record.leader.id.VM: 1}
		for range 4 {
			before := m.record.token
			m.record.leader.slow = 6
			m.slowDown(1, 6, true)
			m.step(m.between(1000, 4000))
			m.normal()
			m.step(m.between(500, 2000))
			if m.record.token > before {
				led[m.record.leader.id.VM]++
			}
		}
		for vm, n := range led {
			assert.Assert(t, n <= 1, "%s has led %d times; leader replaced at %v", vm, n, m.changes)
		}
	})
}

// TestTermsAreBounded lets random processes run slower by random factors for random times. In any 10 s the leader changes
// six times at most.
func TestTermsAreBounded(t *testing.T) {
	play(t, func(t *testing.T, m *model) {
		for range 20 {
			m.normal()
			if m.chance(2) {
				m.record.leader.slow = 2 + 98*m.rand.Float64()
			}
			m.slowDown(int(m.between(0, 29)), 2+98*m.rand.Float64(), m.chance(2))
			m.step(m.between(100, 3000))
		}
		const most = 6
		for i := most; i < len(m.changes); i++ {
			assert.Assert(t, m.changes[i]-m.changes[i-most] > termWindowMs, "leader replaced at %v", m.changes)
		}
	})
}
