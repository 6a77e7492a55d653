package cccell

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Half of the workers were lost together with all entry VMs. That others had taken their addresses did not count as their end, so that
// nothing ran for an hour.
func TestWorkerEndsWhenAnotherAnswersAtItsAddress(t *testing.T) {
	const lost = "lost"
	worker := func(id, address string, incarnation int64) WorkerInfo {
		w := testWorker(id)
		w.Address, w.IncarnationMs = address, incarnation
		return w
	}
	tests := map[string]struct {
		registered []WorkerInfo
		want       bool
	}{
		"NothingElse":          {},
		"OtherAtItsAddress":    {[]WorkerInfo{worker("new", "a:1", 2000)}, true},
		"OtherWithEarlierTime": {[]WorkerInfo{worker("new", "a:1", 500)}, true},
		"OtherElsewhere":       {[]WorkerInfo{worker("new", "b:1", 2000)}, false},
		"LaterIncarnation":     {[]WorkerInfo{worker(lost, "b:1", 2000)}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(Config{Token: 2, LeaseMs: 4000, PriorLeaseMs: 4000, AuthorityMs: 60_000, RemoteFactor: 2}, 1000)
			c.SetHandover(1000)
			for _, w := range test.registered {
				c.SetWorker(w, 1000)
			}
			c.AdoptWorker(worker(lost, "a:1", 1000), 1000)
			assert.Equal(t, c.WorkerReached(lost, 1000), name == "LaterIncarnation", "before any worker has answered")
			c.Schedule(1010, 1010)
			for _, o := range c.TakeOrders().Polls {
				r := Reply{Outcome: ReplyLost, Sent: 1010, Received: 1010}
				if o.WorkerID == "new" {
					r = executedReply(1010)
				}
				c.OnPollReply(&o, r, &TaskLists{}, 1010)
			}
			assert.Equal(t, c.WorkerReached(lost, 1000), test.want)
			assert.Equal(t, c.handoverComplete(1020), test.want && name != "LaterIncarnation", "its leases are awaited unless it has ended")
		})
	}
}

// With more than the former share of workers busy, but fewer than confirm a leader for long, the idle ones were not polled while the
// store was down.
func TestIdleWorkersArePolledUntilMostConfirm(t *testing.T) {
	const workers = 10
	for busy, want := range map[int]bool{0: true, 6: true, 7: true, 8: false, 10: false} {
		t.Run(fmt.Sprint(busy), func(t *testing.T) {
			c := testCell(1, 1000)
			for i := range workers {
				id := fmt.Sprintf("w%d", i)
				c.SetWorker(testWorker(id), 1000)
				if i < busy {
					c.workers[id].addAttempt(&attempt{task: TaskID{Job: "j", Index: i}, number: 1, worker: c.workers[id]})
				}
			}
			c.PollIdle(true)
			assert.Equal(t, c.idleNeeded(), want)
		})
	}
}
