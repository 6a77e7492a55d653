package cccell

import (
	"fmt"
	"slices"
	"testing"

	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// readyCell returns a cell of which all workers are admitted.
func readyCell(t *testing.T, workers ...WorkerInfo) *Cell {
	t.Helper()
	c := testCell(1, 1000)
	c.SetHandover(1000)
	for _, w := range workers {
		c.SetWorker(w, 1000)
	}
	pollAll(t, c, 1000, nil)
	c.ExtendAuthority(1 << 40)
	return c
}

// runRound returns the orders of a round and treats its polls as not sent.
func runRound(c *Cell, now ms) Orders {
	c.Schedule(now, now)
	out := c.TakeOrders()
	for i := range out.Polls {
		out.Polls[i].worker.pollInFlight = false // Each test answers the polls that it is about.
	}
	return out
}

// runStarts returns the starts of a round and confirms them.
func runStarts(c *Cell, now ms) []StartOrder {
	out := runRound(c, now)
	for i := range out.Starts {
		c.OnStartReply(&out.Starts[i], executedReply(now), now)
	}
	return out.Starts
}

// Waiting jobs are started in the order of their latency targets, with a head start for the higher priority, and
// long-running ones first.
func TestPlacementOrder(t *testing.T) {
	job := func(id string, priority int, longRunning bool) *Job {
		j := testJob(id, 1)
		j.Queue.Name, j.Queue.Priority = fmt.Sprint("q", priority), priority
		j.Stages[0].LongRunning = longRunning
		j.Stages[0].Size = ccwork.Size{MilliCores: 16000, MemoryMB: 100}
		return j
	}
	tests := map[string]struct {
		jobs []*Job
		want string
	}{
		"PriorityFirst":      {[]*Job{job("batch", 2, false), job("urgent", 0, false)}, "urgent"},
		"LongRunningFirst":   {[]*Job{job("urgent", 0, false), job("long-running", 1, true)}, "long-running"},
		"OlderOfEqualsFirst": {[]*Job{job("first", 0, false), job("second", 0, false)}, "first"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w1"))
			for i, j := range test.jobs {
				c.AddJob(j, ms(1100+i), 1100)
			}
			got := runStarts(c, 1200)
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].Task.Job, test.want)
		})
	}
}

// The attempts on a worker never exceed its capacity: starts in doubt and attempts being stopped still count.
func TestStartsInDoubtHoldCapacity(t *testing.T) {
	c := readyCell(t, testWorker("w1"))
	c.AddJob(testJob("a", 16), 1100, 1100)
	c.Schedule(1100, 1100)
	out := c.TakeOrders()
	assert.Equal(t, len(out.Starts), 16)
	for i := range out.Starts {
		c.OnStartReply(&out.Starts[i], Reply{Outcome: ReplyLost, Sent: 1100, Received: 1400}, 1400)
	}
	c.AddJob(testJob("b", 1), 1400, 1400)
	c.Schedule(1900, 1900)
	out = c.TakeOrders()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.Stops), 16)
	// The stops are confirmed, and a later poll lists no task: only now is the capacity free.
	for i := range out.Stops {
		c.OnStopReply(&out.Stops[i], executedReply(1910), 1910)
	}
	var got []StartOrder
	for now := ms(1950); now < 2200 && len(got) == 0; now += 50 {
		got = pollAll(t, c, now, nil).Starts
	}
	assert.Equal(t, len(got), 16)
}

// A gang starts as a whole or not at all, with one attempt number.
func TestGangStartsWhole(t *testing.T) {
	c := readyCell(t, testWorker("w1"))
	gang := testJob("g", 4)
	gang.Stages[0].Gang = true
	gang.Stages[0].Size.MilliCores = 5000
	c.AddJob(gang, 1100, 1100)
	assert.Equal(t, len(runStarts(c, 1150)), 0, "three fit, four are needed")
	c.SetWorker(testWorker("w2"), 1200)
	pollAll(t, c, 1200, nil)
	got := runStarts(c, 1300)
	assert.Equal(t, len(got), 4)
	for _, o := range got {
		assert.Equal(t, o.Attempt, got[0].Attempt)
	}
}

// A draining worker gets no tasks, and its long-running tasks are moved at once.
func TestDrainMovesLongRunningTasks(t *testing.T) {
	c := readyCell(t, testWorker("w1"), testWorker("w2"))
	j := testJob("l", 1)
	j.Stages[0].LongRunning = true
	c.AddJob(j, 1100, 1100)
	got := runStarts(c, 1100)
	assert.Equal(t, len(got), 1)
	info := testWorker(got[0].WorkerID)
	info.Draining, info.DrainLeftMs = true, 5000
	c.SetWorker(info, 1500)
	out := runRound(c, 1500)
	assert.Equal(t, len(out.Stops), 1)
	c.OnStopReply(&out.Stops[0], executedReply(1510), 1510)
	ended := &TaskLists{Ended: []EndedTask{{Number: 1, Task: got[0].Task, Attempt: got[0].Attempt, End: EndStopped}}}
	var restarted []StartOrder
	for now := ms(1550); now < 3000 && len(restarted) == 0; now += 50 {
		restarted = pollAll(t, c, now, map[string]*TaskLists{got[0].WorkerID: ended}).Starts
	}
	assert.Equal(t, len(restarted), 1)
	assert.Assert(t, restarted[0].WorkerID != got[0].WorkerID)
	assert.Assert(t, restarted[0].Attempt > got[0].Attempt)
}

// A task on a silent worker starts elsewhere only when all leases there have ended, on a clock that may be 2 % slow.
func TestLeasesOfSilentWorkerExpire(t *testing.T) {
	c := readyCell(t, testWorker("w1"))
	c.AddJob(testJob("a", 1), 1100, 1100)
	got := runStarts(c, 1100)
	assert.Equal(t, len(got), 1)
	c.SetWorker(testWorker("w2"), 1100)
	restarted := ms(0)
	for now := ms(1150); now < 9000 && restarted == 0; now += 50 {
		c.Schedule(now, now)
		out := c.TakeOrders()
		for i := range out.Polls {
			if out.Polls[i].WorkerID == "w1" {
				c.OnPollReply(&out.Polls[i], Reply{Outcome: ReplyLost, Sent: now, Received: now}, nil, now)
			} else {
				c.OnPollReply(&out.Polls[i], executedReply(now), &TaskLists{}, now)
			}
		}
		if len(out.Starts) > 0 {
			restarted = now
			assert.Equal(t, out.Starts[0].WorkerID, "w2")
		}
	}
	// The last lease was sent at 1150 at the latest, and is 4,000 ms long.
	assert.Assert(t, restarted > 1100+4080, "restarted at %d", restarted)
	assert.Assert(t, restarted < 6500, "restarted at %d", restarted)
}

// After the prior leader was lost without notice, the new one starts no task of an adopted job before the prior
// authority has ended and every worker was polled after that. A worker that restarts in between has seen no token and
// takes orders of both. Found by TestCellModel.
func TestWorkerRestartsDuringHandover(t *testing.T) {
	c := testCell(2, 1000)
	c.SetWorker(testWorker("w1"), 1000)
	c.ExtendAuthority(1 << 40)
	c.Adopt(StoredJob{Job: testJob("a", 1)}, 1000, 1000)
	c.AddJob(testJob("new", 1), 1010, 1010)
	polledAt := ms(0)
	for now := ms(1050); now < 9000; now += 50 {
		c.Schedule(now, now)
		out := c.TakeOrders()
		for i := range out.Polls {
			r := executedReply(now)
			r.Sent = now
			if now >= 4000 {
				polledAt = now
			}
			c.OnPollReply(&out.Polls[i], r, &TaskLists{}, now)
		}
		if len(out.Starts) > 0 {
			assert.Equal(t, len(out.Starts), 2)
			assert.Assert(t, now >= 4000 && polledAt > 0, "started at %d, polled at %d", now, polledAt)
			return
		}
	}
	t.Fatal("nothing was started")
}

// Each incarnation numbers its ends from 1, so a poll of a new incarnation must not acknowledge ends of the earlier
// one.
func TestPollOfNewIncarnationAcksNothing(t *testing.T) {
	c := readyCell(t, testWorker("w1"))
	c.workers["w1"].ackedEnd, c.workers["w1"].confirmedAck = 7, 7
	info := testWorker("w1")
	info.IncarnationMs = 2000
	c.SetWorker(info, 1200)
	c.Schedule(1300, 1300)
	out := c.TakeOrders()
	assert.Equal(t, len(out.Polls), 1)
	assert.Equal(t, out.Polls[0].AckedEnd, int64(0))
	assert.Equal(t, out.Polls[0].LeaseUntilMs, int64(0))
}

// TestWaitingStageIsLogged checks that a stage that is never placed leaves a line with the reason, once.
func TestWaitingStageIsLogged(t *testing.T) {
	tests := map[string]struct {
		advice *AdviceConfig
		size   int64
		want   string
	}{
		"Ticket":   {&AdviceConfig{DecideMs: 60_000, ValidMs: 2500}, 1, "TicketMs"},
		"Capacity": {nil, 1 << 40, "RoomMs"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w"))
			logged := 0
			c.cfg.Log = func(event string, kv ...any) {
				if event == "stage waits" {
					logged++
					assert.Assert(t, slices.Contains(kv, any(test.want)), "%v", kv)
				}
			}
			j := testJob("j", 1)
			j.Queue.Advice, j.Stages[0].Size.MilliCores = test.advice, test.size
			c.AddJob(j, 1000, 1000)
			for now := ms(1000); now <= 1000+2*stageWaitsMs; now += 40 {
				runRound(c, now)
				if now < 1000+stageWaitsMs {
					assert.Equal(t, logged, 0)
				}
			}
			assert.Equal(t, logged, 1)
		})
	}
}
