package cccontrol

import (
	"testing"

	"coriandercross/core/cccell"

	"gotest.tools/v3/assert"
)

// A call to the policy service whose process is gone is made by another one, and one that is answered is not made again.
func TestCallsOfALostProcessAreMadeByAnother(t *testing.T) {
	const callMs = 700
	ask := cccell.AdviceRequest{Stage: cccell.StageID{Job: "j"}, Workers: []string{"w"}, CallMs: callMs}
	tests := map[string]struct {
		answered bool
		// goneMs is the time without a word of the process that was asked first.
		goneMs ms
		again  bool
	}{
		"Gone":             {false, 1000, true},
		"SlowButThere":     {false, 300, false},
		"AnsweredThenGone": {true, 1000, false},
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
			l.dispatcher.dispatch([]cccell.AdviceRequest{ask}, now)
			assert.Equal(t, len(l.dispatcher.peers["a"].takeRequests()), 1)
			if test.answered {
				l.dispatcher.complete("a", ask.Stage)
			}
			now += test.goneMs
			for _, vm := range []string{"b", "c"} {
				l.dispatcher.peer(vm, false).recordReply(now)
			}
			l.dispatcher.dispatch(nil, now)
			made := len(l.dispatcher.peers["b"].takeRequests()) + len(l.dispatcher.peers["c"].takeRequests())
			assert.Equal(t, made == 1, test.again)
			assert.Equal(t, made == 0, !test.again)
		})
	}
}
