package cccontrol

import (
	"slices"
	"testing"

	"coriandercross/core/cccell"

	"gotest.tools/v3/assert"
)

// TestEarlyCompletions checks that a peer remembers an early completion without showing it, until it is written, and that
// a peer that needs all states gets it as well.
func TestEarlyCompletions(t *testing.T) {
	tests := map[string]struct {
		written, full bool
		want          []string
	}{
		"Early":        {false, false, []string{"j"}},
		"EarlyAndFull": {false, true, []string{"j"}},
		"Written":      {true, false, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leader, peer := newStateCache(), newStateCache()
			leader.beginTerm(3, []cccell.StateChange{{Job: "j", State: cccell.Running}}, 1000)
			_, seq := leader.position()
			if got := leader.rememberEarly([]string{"j"}, 1100); got != seq+1 {
				t.Errorf("position %d after %d", got, seq)
			}
			if test.written {
				leader.apply([]cccell.StateChange{{Job: "j", State: cccell.Completed}, {Job: "j", State: cccell.Completed, Written: true}}, 1200)
			}
			if test.full {
				seq = -1
			}
			last, _, changes, _ := leader.changesSince(3, seq)
			peer.merge("j", cccell.Running, 1000)
			peer.applyReplicated(3, last, changes, 1300)
			got := peer.completions(nil)
			slices.Sort(got)
			assert.DeepEqual(t, got, test.want)
			state, _ := peer.state("j")
			assert.Equal(t, state == cccell.Completed, test.written)
			peer.expire(1000, 9000, true)
			assert.Equal(t, len(peer.completions(nil)), len(test.want), "an early completion was forgotten while the store is lost")
		})
	}
}

// TestExcessIsReplicated checks that a peer knows which jobs are beyond the budgets of their teams until they have ended,
// also if it has the job already, or needs all states.
func TestExcessIsReplicated(t *testing.T) {
	tests := map[string]struct {
		full bool
		end  cccell.State
		want []string
	}{
		"Change": {false, "", []string{"j"}},
		"Full":   {true, "", []string{"j"}},
		"Ended":  {false, cccell.Completed, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leader, peer := newStateCache(), newStateCache()
			leader.beginTerm(3, nil, 1000)
			_, seq := leader.position()
			leader.merge("j", cccell.Queued, 1000) // Both have accepted the job themselves.
			peer.merge("j", cccell.Queued, 1000)
			changes := []cccell.StateChange{{Job: "j", State: cccell.Queued}, {Job: "j", State: cccell.Queued, Excess: true}}
			if test.end != "" {
				changes = append(changes, cccell.StateChange{Job: "j", State: test.end})
			}
			leader.apply(changes, 1100)
			if test.full {
				seq = -1
			}
			last, _, replicated, _ := leader.changesSince(3, seq)
			peer.applyReplicated(3, last, replicated, 1200)
			assert.DeepEqual(t, peer.excessJobs(), test.want)
			assert.DeepEqual(t, leader.excessJobs(), test.want)
		})
	}
}
