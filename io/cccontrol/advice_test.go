package cccontrol

import (
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// advisedCell returns a cell with a worker and a job whose stage needs a call of callMs to the policy service, and the
// requests of the first round.
func advisedCell(callMs float64, now ms) (*cccell.Cell, []cccell.AdviceRequest) {
	size := ccwork.Size{MilliCores: 1000, MemoryMB: 100}
	c := cccell.New(cccell.Config{Token: 1, LeaseMs: 4000, AuthorityMs: 60_000}, now)
	c.SetWorker(cccell.WorkerInfo{ID: "w", Service: "s", Capacity: size}, now)
	c.Schedule(now, now)
	polls := c.TakeOrders().Polls
	for i := range polls {
		c.OnPollReply(&polls[i], cccell.Reply{ClockMs: int64(now), IncarnationMs: 1, Sent: now, Received: now}, &cccell.TaskLists{}, now)
	}
	q := cccell.Queue{Name: "q", Service: "s", Advice: &cccell.AdviceConfig{DecideMs: callMs, ValidMs: 5000}}
	c.AddJob(&cccell.Job{ID: "j", Queue: q, Stages: []cccell.Stage{{Count: 1, Size: size}}}, now, now)
	c.Schedule(now, now)
	return c, c.TakeOrders().AdviceRequests
}

// TestRequestsOfDeadPeerAreReassigned checks that an advice request is assigned to another process once the peer that
// has it counts as dead, unless the result of the request has arrived.
func TestRequestsOfDeadPeerAreReassigned(t *testing.T) {
	const callMs = 700
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
			now := ms(5000)
			cell, requests := advisedCell(callMs, now)
			assert.Equal(t, len(requests), 1)
			l := &leadership{p: p, cell: cell}
			l.dispatcher = newAdviceDispatcher(l)
			l.dispatcher.peers[p.cfg.VM].draining = true // The leader itself gets no requests.
			for _, vm := range []string{"a", "b", "c"} {
				l.dispatcher.peer(vm, false).recordReply(now)
			}
			l.dispatcher.dispatch(requests, now)
			assert.Equal(t, len(l.dispatcher.peers["a"].takeRequests()), 1)
			if test.complete {
				l.dispatcher.complete("a", &cccell.AdviceReply{ID: requests[0].ID, Stage: requests[0].Stage, Workers: requests[0].Workers}, now)
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
