package cccontrol

import (
	"testing"

	"coriandercross/core/ccquorum"

	"gotest.tools/v3/assert"
)

// TestEligibleVoters checks that a process that is about to stop is no voter. Load: a roll, and an outage of the store in
// its middle; with the stopped processes still recorded as voters, the others were no majority.
func TestEligibleVoters(t *testing.T) {
	tests := map[string]struct {
		members  []member
		draining []string
		want     []ccquorum.Voter
	}{
		"All":      {[]member{{VM: "b", StartMs: 2}, {VM: "a", StartMs: 1}}, nil, []ccquorum.Voter{{VM: "a", StartMs: 1}, {VM: "b", StartMs: 2}}},
		"Draining": {[]member{{VM: "a", StartMs: 1}, {VM: "b", StartMs: 2}, {VM: "c", StartMs: 3}}, []string{"b"}, []ccquorum.Voter{{VM: "a", StartMs: 1}, {VM: "c", StartMs: 3}}},
		"TooFew":   {[]member{{VM: "a", StartMs: 1}, {VM: "b", StartMs: 2}}, []string{"b"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFollower(t, nil)
			for _, m := range test.members {
				p.members[m.VM] = m
			}
			d := newAdviceDispatcher(&leadership{p: p})
			for _, vm := range test.draining {
				d.peer(vm, true)
			}
			assert.DeepEqual(t, p.eligibleVoters(d.drainingPeers()), test.want)
		})
	}
}
