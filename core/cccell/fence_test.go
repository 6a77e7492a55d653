package cccell_test

import (
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"
	"coriandercross/core/ccworkersim"

	"gotest.tools/v3/assert"
)

// An order that was meant for an earlier incarnation of a worker is carried out after the leader has found the restart. It
// gave the new incarnation a long lease, started a task that was started elsewhere, or let it forget an end that no leader had
// read. It is refused, and the leader does not take the refusal for that of a newer leader.
func TestOrdersForAnEarlierIncarnationAreFenced(t *testing.T) {
	const leaseMs, maxLeaseMs, restartAt = 4000, 10_000, 100_000
	type fixture struct {
		cell   *cccell.Cell
		worker *ccworkersim.Worker
		poll   cccell.PollOrder
		start  cccell.StartOrder
	}
	tests := map[string]func(f *fixture, now ms) cccell.Reply{
		"Poll": func(f *fixture, now ms) cccell.Reply {
			r, lists := f.worker.Poll(&f.poll, now)
			f.cell.OnPollReply(&f.poll, r, lists, now)
			return r
		},
		"Start": func(f *fixture, now ms) cccell.Reply {
			r := f.worker.Start(&f.start, now)
			f.cell.OnStartReply(&f.start, r, now)
			return r
		},
	}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			info := cccell.WorkerInfo{ID: "w", Address: "w:1", Service: "s", Labels: []string{"a"}, IncarnationMs: 1000, Capacity: ccwork.Size{MilliCores: 8000, MemoryMB: 8000}}
			f := &fixture{
				cell: cccell.New(cccell.Config{Token: 64, RestartTokens: 63, LeaseMs: leaseMs, MaxLeaseMs: maxLeaseMs, PriorLeaseMs: leaseMs, AuthorityMs: 10 * restartAt, RemoteFactor: 2}, 1000),
				worker: &ccworkersim.Worker{Info: info, MaxLeaseMs: maxLeaseMs, SameID: true, Plan: func(cccell.TaskID, int64) (ms, cccell.End, ccwork.Size) {
					return 60_000, cccell.EndDone, ccwork.Size{MilliCores: 1000}
				}},
			}
			f.cell.SetWorker(info, 1000)
			f.cell.PollIdle(true)
			// play runs a round. The worker carries out its orders, or, with hold, the replies are lost and the orders kept.
			play := func(now ms, hold bool) {
				f.cell.Schedule(now, now)
				out := f.cell.TakeOrders()
				for i := range out.Polls {
					if hold {
						f.poll = out.Polls[i]
						f.cell.OnPollReply(&out.Polls[i], cccell.Reply{Outcome: cccell.ReplyLost, Sent: now, Received: now}, &cccell.TaskLists{}, now)
						continue
					}
					r, lists := f.worker.Poll(&out.Polls[i], now)
					f.cell.OnPollReply(&out.Polls[i], r, lists, now)
				}
				for i := range out.Stops {
					f.cell.OnStopReply(&out.Stops[i], f.worker.Stop(&out.Stops[i], now), now)
				}
				for i := range out.Starts {
					if hold {
						f.start = out.Starts[i]
						f.cell.OnStartReply(&out.Starts[i], cccell.Reply{Outcome: cccell.ReplyLost, Sent: now, Received: now}, now)
						continue
					}
					f.cell.OnStartReply(&out.Starts[i], f.worker.Start(&out.Starts[i], now), now)
				}
			}
			play(1010, false)
			play(restartAt-1000, false)
			f.cell.AddJob(&cccell.Job{ID: "j", Queue: cccell.Queue{Name: "q", Service: "s", MaxAttempts: 3}, Spec: "x", Stages: []cccell.Stage{{Count: 1, Size: ccwork.Size{MilliCores: 1000}, EstimateMs: 300}}}, restartAt, restartAt)
			play(restartAt, true)
			assert.Assert(t, f.start.LeaseUntilMs > restartAt && f.poll.WorkerID != "")
			f.worker.Restart(restartAt + 10)
			for now := ms(restartAt + 500); now < restartAt+1500; now += 100 {
				play(now, false)
			}

			r := late(f, restartAt+1600)
			assert.Equal(t, r.Outcome, cccell.Refused)
			assert.Assert(t, !f.cell.Deposed())
			held := f.worker.LeaseUntil() - f.worker.Clock(restartAt+1600)
			assert.Assert(t, held <= leaseMs, "a lease of %d ms", held)
		})
	}
}

// A worker whose registration lapses and that comes back under its ID still refuses the tokens of before.
func TestTokenOfAWorkerThatCameBackIsNotLower(t *testing.T) {
	info := cccell.WorkerInfo{ID: "w", Address: "w:1", Service: "s", Labels: []string{"a"}, IncarnationMs: 1000, Capacity: ccwork.Size{MilliCores: 8000, MemoryMB: 8000}}
	w := &ccworkersim.Worker{Info: info, MaxLeaseMs: 6000, SameID: true}
	c := cccell.New(cccell.Config{Token: 4, RestartTokens: 3, LeaseMs: 4000, MaxLeaseMs: 6000, PriorLeaseMs: 4000, AuthorityMs: 100_000, RemoteFactor: 2}, 1000)
	var token int64
	poll := func(now ms) {
		c.Schedule(now, now)
		out := c.TakeOrders()
		for i := range out.Polls {
			token = out.Polls[i].Token
			r, lists := w.Poll(&out.Polls[i], now)
			c.OnPollReply(&out.Polls[i], r, lists, now)
		}
	}
	c.SetWorker(w.Info, 1000)
	c.PollIdle(true)
	poll(1010)
	assert.Equal(t, token, int64(1))
	w.Restart(1500)
	c.SetWorker(w.Info, 2000)
	poll(2000)
	poll(2100)
	assert.Equal(t, token, int64(2))
	c.MarkUnlisted("w")
	for now := ms(2200); c.WorkerConfirmedAt("w", w.Info.IncarnationMs) != 0; now += 500 {
		c.Schedule(now, now)
		out := c.TakeOrders()
		for i := range out.Polls {
			c.OnPollReply(&out.Polls[i], cccell.Reply{Outcome: cccell.Unsent, Sent: now, Received: now}, &cccell.TaskLists{}, now)
		}
		assert.Assert(t, now < 30_000, "the worker is not dropped")
	}
	c.SetWorker(w.Info, 30_000)
	poll(30_010)
	assert.Equal(t, token, int64(2))
	assert.Assert(t, !c.Deposed())
}
