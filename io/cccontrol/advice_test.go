package cccontrol

import (
	"testing"

	"coriandercross/core/cccell"

	"gotest.tools/v3/assert"
)

// TestRequestsOfDeadPeerAreReassigned checks that an advice request is assigned to another process once the peer that
// has it counts as dead, unless the result of the request has arrived.
func TestRequestsOfDeadPeerAreReassigned(t *testing.T) {
	const callMs = 700
	request := cccell.AdviceRequest{Stage: cccell.StageID{Job: "j"}, Workers: []string{"w"}, CallMs: callMs}
	tests := map[string]struct {
		complete bool
		// silentMs is the time since the last reply to the peer that has the request.
		silentMs   ms
		reassigned bool
	}{
		"Dead":             {false, 1000, true},
		"SlowButAlive":     {false, 300, false},
		"CompleteThenDead": {true, 1000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFollower(t, nil)
			l := &leadership{p: p}
			l.dispatcher = newAdviceDispatcher(l)
			l.dispatcher.peers[p.cfg.VM].inFlight, l.dispatcher.peers[p.cfg.VM].busyUntil = 1, 1<<40 // The leader itself is busy.
			now := ms(5000)
			for _, vm := range []string{"a", "b", "c"} {
				l.dispatcher.peer(vm, false).recordReply(now)
			}
			l.dispatcher.dispatch([]cccell.AdviceRequest{request}, now)
			assert.Equal(t, len(l.dispatcher.peers["a"].takeRequests()), 1)
			if test.complete {
				l.dispatcher.complete("a", request.Stage)
			}
			now += test.silentMs
			for _, vm := range []string{"b", "c"} {
				l.dispatcher.peer(vm, false).recordReply(now)
			}
			l.dispatcher.dispatch(nil, now)
			assigned := len(l.dispatcher.peers["b"].takeRequests()) + len(l.dispatcher.peers["c"].takeRequests())
			assert.Equal(t, assigned == 1, test.reassigned)
			assert.Equal(t, assigned == 0, !test.reassigned)
		})
	}
}
