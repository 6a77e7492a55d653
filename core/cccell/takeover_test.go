package cccell

import (
	"fmt"
	"testing"

	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// testQueue returns a queue without a policy service.
func testQueue() Queue {
	return Queue{Name: "q", Service: "s", MaxAttempts: 3, TargetMs: 500, SlackFactor: 1.5}
}

// testJob returns a job of one stage.
func testJob(id string, count int) *Job {
	return &Job{ID: id, Queue: testQueue(), Spec: "spec", Stages: []Stage{{Count: count, Size: ccwork.Size{MilliCores: 1000, MemoryMB: 100}, EstimateMs: 500}}}
}

// testWorker returns a worker with capacity for 16 tasks of testJob.
func testWorker(id string) WorkerInfo {
	return WorkerInfo{
		ID: id, Address: id + ":1", Service: "s", Labels: []string{"a", "r1-" + id}, IncarnationMs: 1000,
		Capacity: ccwork.Size{MilliCores: 16000, MemoryMB: 16000},
	}
}

// testCell returns a cell of a leader with the given token.
func testCell(token int64, now ms) *Cell {
	return New(Config{Token: token, LeaseMs: 4000, PriorLeaseMs: 4000, AuthorityMs: 3000, PriorAuthorityMs: 3000, RemoteFactor: 2}, now)
}

// executedReply is the successful reply of a worker in its first incarnation.
func executedReply(now ms) Reply {
	return Reply{Outcome: Executed, ClockMs: int64(now), IncarnationMs: 1000, Sent: now - 2, Received: now}
}

// pollAll runs a round and answers each of its polls with the lists of its worker.
func pollAll(t *testing.T, c *Cell, now ms, lists map[string]*TaskLists) Orders {
	t.Helper()
	c.Schedule(now, now)
	out := c.TakeOrders()
	for i := range out.Polls {
		l := lists[out.Polls[i].WorkerID]
		if l == nil {
			l = &TaskLists{}
		}
		c.OnPollReply(&out.Polls[i], executedReply(now), l, now)
	}
	return out
}

// A new leader reads the ends of one task from several workers in any order. Each failure must count once, whether or
// not the store has it already. Seen on the test bench: a task was started again after its last permitted failure.
func TestFailuresListedInAnyOrder(t *testing.T) {
	task := TaskID{Job: "j"}
	ended := func(attempt int64) *TaskLists {
		return &TaskLists{Ended: []EndedTask{{Number: 1, Task: task, Attempt: attempt, End: EndFailed}}}
	}
	tests := map[string]struct {
		stored *Progress
		lists  []map[string]*TaskLists
		want   State
	}{
		"LatestFirst": {
			lists: []map[string]*TaskLists{{"w2": ended(9)}, {"w1": ended(5)}, {"w3": ended(12)}},
			want:  Failed,
		},
		"OneStored": {
			stored: &Progress{Runs: map[int]RunProgress{0: {Stages: map[int]StageProgress{0: {Failures: []Failure{{Attempts: []int64{9}}}}}}}},
			lists:  []map[string]*TaskLists{{"w2": ended(9)}, {"w1": ended(5)}},
			want:   "",
		},
		"OneStoredAndAllListed": {
			stored: &Progress{Runs: map[int]RunProgress{0: {Stages: map[int]StageProgress{0: {Failures: []Failure{{Attempts: []int64{9}}}}}}}},
			lists:  []map[string]*TaskLists{{"w2": ended(9)}, {"w1": ended(5)}, {"w3": ended(12)}},
			want:   Failed,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			for _, id := range []string{"w1", "w2", "w3"} {
				c.SetWorker(testWorker(id), 1000)
			}
			c.Adopt(StoredJob{Job: testJob("j", 1), Progress: test.stored}, 1000, 1000)
			c.Schedule(1000, 1000)
			polls := map[string]*PollOrder{}
			out := c.TakeOrders()
			for i := range out.Polls {
				polls[out.Polls[i].WorkerID] = &out.Polls[i]
			}
			for i, lists := range test.lists {
				for id, l := range lists {
					c.OnPollReply(polls[id], executedReply(ms(1020+i)), l, ms(1020+i))
				}
			}
			assert.Equal(t, c.jobs["j"].final, test.want)
		})
	}
}

// A new leader polls thousands of workers a few hundred at a time, and reaches all of them.
func TestFirstPollsAreBounded(t *testing.T) {
	const workers = 3000
	c := testCell(1, 1000)
	for i := range workers {
		c.SetWorker(testWorker(fmt.Sprintf("w%d", i)), 1000)
	}
	polled := map[string]bool{}
	now, maxPolls := ms(1000), 0
	for len(polled) < workers && now < 3000 {
		out := pollAll(t, c, now, nil)
		maxPolls = max(maxPolls, len(out.Polls))
		for i := range out.Polls {
			polled[out.Polls[i].WorkerID] = true
		}
		now += 20
	}
	assert.Equal(t, len(polled), workers)
	assert.Assert(t, maxPolls <= maxFirstPolls, "%d polls at once", maxPolls)
	assert.Assert(t, now < 1500, "all polled after %d ms", now-1000)
}

// A drained worker must not be in the roster. The next leader starts missing tasks only once the leases have ended at
// each worker of the roster that does not reply. Seen on the test bench: adopted jobs started 4.7 s late after each
// takeover of a rolling restart.
func TestRosterOmitsDrainedWorkers(t *testing.T) {
	tests := map[string]struct {
		draining, listed, polled, busy bool
		want                           bool
	}{
		"Serving":              {listed: true, polled: true, want: true},
		"DrainingAndEmpty":     {draining: true, listed: true, polled: true, want: false},
		"DrainingAndUnlisted":  {draining: true, polled: true, want: false},
		"DrainingAndBusy":      {draining: true, listed: true, polled: true, busy: true, want: true},
		"DrainingAndNotPolled": {draining: true, listed: true, want: true},
		"UnlistedAndEmpty":     {polled: true, want: false},
		"UnlistedAndNotPolled": {want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			c.SetHandover(1000)
			info := testWorker("w")
			c.SetWorker(info, 1000)
			lists := &TaskLists{}
			if test.busy {
				c.Adopt(StoredJob{Job: testJob("j", 1)}, 1000, 1000)
				lists.Running = []RunningTask{{Task: TaskID{Job: "j"}, Attempt: 1<<attemptBits + 1}}
			}
			if test.polled {
				pollAll(t, c, 1010, map[string]*TaskLists{"w": lists})
			}
			if test.draining {
				info.Draining = true
				c.SetWorker(info, 1020)
			}
			if !test.listed {
				c.MarkUnlisted("w")
			}
			assert.Equal(t, len(c.Roster()) == 1, test.want)
		})
	}
}

// A worker without a registration had ends that were not stored, as the store was down, and the roster omitted it. The next
// leader did not know the worker and started the tasks again that were done there (soak seed 9140).
func TestRosterKeepsWorkersWithUnstoredEnds(t *testing.T) {
	tests := map[string]struct {
		draining, stored bool
		want             bool
	}{
		"Unlisted":            {want: true},
		"UnlistedAndDraining": {draining: true, want: true},
		"UnlistedAndStored":   {stored: true, want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			c.SetHandover(1000)
			info := testWorker("w")
			c.SetWorker(info, 1000)
			c.Adopt(StoredJob{Job: testJob("j", 1)}, 1000, 1000)
			lists := &TaskLists{Ended: []EndedTask{{Number: 1, Task: TaskID{Job: "j"}, Attempt: 1<<attemptBits + 1, End: EndDone}}}
			pollAll(t, c, 1010, map[string]*TaskLists{"w": lists})
			if test.draining {
				info.Draining = true
				c.SetWorker(info, 1020)
			}
			c.MarkUnlisted("w")
			if test.stored {
				c.OnWritten(c.NextWrites(10, 1030), 1, 1030)
			}
			assert.Equal(t, len(c.Roster()) == 1, test.want)
		})
	}
}

// While the store is down, the registrations of workers that have drained and left remain. A new leader must not wait
// for leases at such a worker, but for those at every other one that does not reply. Seen on the test bench: jobs that
// were submitted again after a loss of all power in an outage started 4.6 s late.
func TestDrainedWorkerIsNotAwaited(t *testing.T) {
	tests := map[string]struct {
		draining    bool
		incarnation int64
		want        int
	}{
		"Drained":         {draining: true, incarnation: 1000, want: 1},
		"ServesAgain":     {incarnation: 1000, want: 0},
		"NextIncarnation": {draining: true, incarnation: 900, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			c.SetHandover(1000)
			c.SetWorker(testWorker("w"), 1000)
			gone := testWorker("gone")
			gone.Draining = test.draining
			c.SetWorker(gone, 1000)
			c.AdoptDrained("gone", test.incarnation, 1000)
			c.Adopt(StoredJob{Job: testJob("j", 1)}, 1000, 1000)
			starts := 0
			for now := ms(1000); now < 3000; now += 100 {
				c.ExtendAuthority(now + 1000)
				c.Schedule(now, now)
				out := c.TakeOrders()
				starts += len(out.Starts)
				for i := range out.Polls {
					r := executedReply(now + 10)
					if out.Polls[i].WorkerID == "gone" {
						r = Reply{Outcome: ReplyLost}
					}
					c.OnPollReply(&out.Polls[i], r, &TaskLists{}, now+10)
				}
			}
			assert.Equal(t, starts, test.want)
		})
	}
}

// A worker that registered long after the handover, and went down before it was polled, held up every adopted job for the
// length of a lease, and a worker that went down and up by turns all the time (review/5).
func TestNewWorkersDoNotReopenTheHandover(t *testing.T) {
	const handover, lease = ms(1000), ms(4500)
	tests := map[string]struct {
		registeredAt ms
		want         bool // The second stage of the adopted job starts.
	}{
		"LongAfterTheHandover": {handover + lease + 5000, true},
		// The prior leader may have started tasks there before this leader learned of the worker.
		"RightAfterTheHandover": {handover + 10, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, handover)
			c.SetHandover(handover)
			c.SetWorker(testWorker("w"), handover)
			job := testJob("j", 1)
			job.Stages = append(job.Stages, Stage{Count: 1, Size: job.Stages[0].Size, EstimateMs: 500, After: []int{0}})
			c.Adopt(StoredJob{Job: job}, handover, handover)
			running := &TaskLists{Running: []RunningTask{{Task: TaskID{Job: "j"}, Attempt: 1<<attemptBits + 1}}}
			pollAll(t, c, handover+5, map[string]*TaskLists{"w": running})
			now := test.registeredAt
			c.ExtendAuthority(now + 1000)
			c.SetWorker(testWorker("flapping"), now)
			started := false
			for ; now < test.registeredAt+500; now += 50 {
				c.Schedule(now, now)
				out := c.TakeOrders()
				for i := range out.Starts {
					started = started || out.Starts[i].Task.Stage == 1
				}
				for i := range out.Polls {
					r, lists := executedReply(now+10), &TaskLists{Ended: []EndedTask{{Number: 1, Task: TaskID{Job: "j"}, Attempt: 1<<attemptBits + 1, End: EndDone}}}
					if out.Polls[i].WorkerID == "flapping" {
						r, lists = Reply{Outcome: ReplyLost}, nil
					}
					c.OnPollReply(&out.Polls[i], r, lists, now+10)
				}
			}
			assert.Equal(t, started, test.want)
		})
	}
}

// The prior leader was lost without notice. When its authority has ended, all workers are polled at once, so that
// missing tasks start a round trip later. Seen on the test bench: adopted jobs started 2 s later, after two long polls
// in sequence.
func TestWorkersArePolledAtTheHandover(t *testing.T) {
	c := testCell(2, 1000)
	handover := ms(1000 + 3000)
	c.SetWorker(testWorker("w"), 1000)
	c.Adopt(StoredJob{Job: testJob("j", 2)}, 1000, 1000)
	lists := &TaskLists{Running: []RunningTask{{Task: TaskID{Job: "j"}, Attempt: 1<<attemptBits + 1}}}
	var poll *PollOrder
	var replyAt ms
	for now := ms(1000); now < handover+1000; now += 10 {
		c.ExtendAuthority(now + 1000)
		if poll != nil && now >= replyAt {
			r := executedReply(now)
			r.Sent = replyAt - ms(poll.WaitMs)
			c.OnPollReply(poll, r, lists, now)
			poll = nil
		}
		c.Schedule(now, now)
		out := c.TakeOrders()
		if len(out.Polls) > 0 {
			poll = &out.Polls[0]
			replyAt = now + ms(poll.WaitMs)
		}
		if len(out.Starts) > 0 {
			assert.Assert(t, now >= handover, "started before the prior authority has ended")
			assert.Assert(t, now < handover+100, "started %d ms after the handover", now-handover)
			assert.Equal(t, out.Starts[0].Task.Index, 1)
			return
		}
	}
	t.Error("the missing task was not started")
}

// Tickets for the missing tasks of adopted jobs are requested while the authority of a lost leader runs out, so that
// the tasks start at the handover. No ticket is requested before the workers are polled, since most tasks are found
// running.
func TestTicketsOfAdoptedJobsAreRequestedEarly(t *testing.T) {
	c := testCell(2, 1000)
	handover := ms(1000 + 3000)
	for _, id := range []string{"w1", "w2"} {
		c.SetWorker(testWorker(id), 1000)
	}
	for _, id := range []string{"found", "missing"} {
		j := testJob(id, 1)
		j.Queue.Advice = &AdviceConfig{DecideMs: 400, PerWorkerMs: 5, ValidMs: 5000}
		c.Adopt(StoredJob{Job: j}, 1000, 1000)
	}
	lists := map[string]*TaskLists{"w1": {Running: []RunningTask{{Task: TaskID{Job: "found"}, Attempt: 1<<attemptBits + 1}}}}
	c.ExtendAuthority(handover + 1000)
	assert.Equal(t, len(pollAll(t, c, 1000, lists).AdviceRequests), 0)
	out := pollAll(t, c, 1050, lists)
	assert.Equal(t, len(out.AdviceRequests), 1)
	assert.Equal(t, out.AdviceRequests[0].Stage.Job, "missing")
	assert.Equal(t, len(out.Starts), 0)
	c.OnAdviceReply(&AdviceReply{Stage: out.AdviceRequests[0].Stage, Workers: []string{"w1", "w2"}, Tickets: map[string]string{"w2": "ticket"}, ValidMs: 5000}, 1500)
	for now := ms(1600); now < handover+100; now += 20 {
		out = pollAll(t, c, now, lists)
		assert.Equal(t, len(out.AdviceRequests), 0)
		if len(out.Starts) > 0 {
			assert.Assert(t, now >= handover)
			assert.Equal(t, out.Starts[0].WorkerID, "w2")
			return
		}
	}
	t.Error("the missing task was not started")
}

// Adopted jobs keep their age: the job that has waited longest starts first, in whichever order the jobs are read.
// Formerly each takeover treated all of them as new.
func TestAdoptedJobsKeepTheirAge(t *testing.T) {
	const nowUnix = 1_000_000
	tests := map[string]struct {
		first, second int64
		want          string
	}{
		"OlderFirst":     {nowUnix - 5000, nowUnix - 1000, "first"},
		"OlderSecond":    {nowUnix - 1000, nowUnix - 5000, "second"},
		"ClockIsWrong":   {nowUnix + 9000, nowUnix - 1000, "second"},
		"FirstHasNoTime": {0, nowUnix - 1000, "second"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			c.SetHandover(1000)
			w := testWorker("w")
			w.Capacity = ccwork.Size{MilliCores: 1000, MemoryMB: 100} // Capacity for one task.
			c.SetWorker(w, 1000)
			for id, accepted := range map[string]int64{"first": test.first, "second": test.second} {
				j := testJob(id, 1)
				j.AcceptedMs = accepted
				c.Adopt(StoredJob{Job: j}, 1000, nowUnix)
			}
			pollAll(t, c, 1010, nil)
			out := pollAll(t, c, 1050, nil)
			assert.Equal(t, len(out.Starts), 1)
			assert.Equal(t, out.Starts[0].Task.Job, test.want)
		})
	}
}

// A leader whose authority has ended starts no task and renews no lease, and continues once it is confirmed.
func TestNoOrdersWithoutAuthority(t *testing.T) {
	c := testCell(1, 1000)
	c.SetHandover(1000)
	c.SetWorker(testWorker("w"), 1000)
	pollAll(t, c, 1010, nil)
	ended := ms(1000 + 3000)
	c.AddJob(testJob("j", 1), ended, ended)
	out := pollAll(t, c, ended, nil)
	assert.Equal(t, len(out.Starts), 0)
	for _, poll := range out.Polls {
		assert.Equal(t, poll.LeaseUntilMs, int64(0))
	}
	c.ExtendAuthority(ended + 1000)
	out = pollAll(t, c, ended+50, nil)
	assert.Equal(t, len(out.Starts), 1)
}

// Until its authority has ended, the prior leader may start tasks even on a worker that this leader has polled: a
// worker that has restarted has seen no token. Lists read before the handover therefore don't show which tasks are
// missing.
func TestPollsBeforeTheHandoverDoNotCount(t *testing.T) {
	c := testCell(2, 1000)
	handover := ms(1000 + 3000)
	c.ExtendAuthority(handover + 1000)
	c.SetWorker(testWorker("w"), 1000)
	c.Adopt(StoredJob{Job: testJob("j", 1)}, 1000, 1000)
	pollAll(t, c, 1010, nil)
	c.Schedule(handover+10, handover+10)
	out := c.TakeOrders()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.Polls), 1)
	// This poll finds the last start of the prior leader.
	found := &TaskLists{Running: []RunningTask{{Task: TaskID{Job: "j"}, Attempt: 1<<attemptBits + 9}}}
	c.OnPollReply(&out.Polls[0], Reply{Outcome: Executed, ClockMs: int64(handover) + 20, IncarnationMs: 1000, Sent: handover + 10, Received: handover + 20}, found, handover+20)
	c.Schedule(handover+30, handover+30)
	out = c.TakeOrders()
	assert.Equal(t, len(out.Starts), 0)
}

// Load: a leader takes over while workers leave some calls unanswered. A worker that has not been read yet is polled again
// at once, a few times. Seen on the test bench: a poll that was lost twice held up all adopted jobs for 2.2 s.
func TestLostFirstPollIsRepeatedAtOnce(t *testing.T) {
	c := testCell(2, 1000)
	c.SetHandover(1000)
	c.SetWorker(testWorker("w"), 1000)
	var polls []ms
	for now := ms(1000); now < 3000; now += 10 {
		c.Schedule(now, now)
		out := c.TakeOrders()
		for i := range out.Polls {
			assert.Equal(t, out.Polls[i].Quick, len(polls) < maxQuickPolls)
			polls = append(polls, now)
			c.OnPollReply(&out.Polls[i], Reply{Outcome: ReplyLost, Sent: now, Received: now}, nil, now)
		}
	}
	assert.Assert(t, len(polls) > maxQuickPolls)
	for i := 1; i < len(polls); i++ {
		want := silentPollIntervalMs
		if i < maxQuickPolls {
			want = quickPollIntervalMs
		}
		assert.Equal(t, polls[i]-polls[i-1], want)
	}
}

// A new leader acknowledges no end while the prior leader may still give orders. Found by TestCellModel: the worker forgot
// the success of a task and restarted, and the prior leader, which had not read it, started the task there again.
func TestNoAckBeforeHandover(t *testing.T) {
	tests := map[string]struct {
		now  ms
		want int64
	}{
		"BeforeHandover": {2000, 0},
		"AfterHandover":  {1000 + 3000, 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			c.SetWorker(testWorker("w"), 1000)
			pollAll(t, c, 1000, nil)
			c.workers["w"].ackedEnd = 7
			c.workers["w"].answeredPollSentAt, c.workers["w"].readPollSentAt = test.now, test.now
			c.Schedule(test.now, test.now)
			out := c.TakeOrders()
			assert.Equal(t, len(out.Polls), 1)
			assert.Equal(t, out.Polls[0].AckedEnd, test.want)
			assert.Equal(t, out.Polls[0].WaitMs == 0, test.want == 0)
		})
	}
}

// Store, leader and a worker are lost together. The ends of the first stage that the leader had read are not stored, and one of
// them was listed by that worker alone. The second stage had begun: the tasks of the first one ran again, and the lost tasks of
// the second one waited for them.
func TestStagesBeforeOneThatHasBegunAreFinished(t *testing.T) {
	const begun = 2 // The stage of which a prior leader has started tasks, after stages 0 and 1.
	task := TaskID{Job: "j", Stage: begun, Index: 1}
	tests := map[string]struct {
		lists    *TaskLists
		unknown  *Progress
		reported bool // The job is not found in the store, and reported after the lists were read.
		want     []int
	}{
		"Running":         {lists: &TaskLists{Running: []RunningTask{{Task: task, Attempt: priorAttempt}}}, want: []int{0, 2}},
		"RunningReported": {lists: &TaskLists{Running: []RunningTask{{Task: task, Attempt: priorAttempt}}}, reported: true, want: []int{0, 2}},
		"Done":            {lists: &TaskLists{Ended: []EndedTask{{Number: 1, Task: task, Attempt: priorAttempt, End: EndDone}}}, want: []int{0, 2}},
		"Failed":          {lists: &TaskLists{Ended: []EndedTask{{Number: 1, Task: task, Attempt: priorAttempt, End: EndFailed}}}, want: []int{0, 1, 2}},
		"StoredEnds":      {lists: &TaskLists{}, unknown: &Progress{Runs: map[int]RunProgress{0: {Stages: map[int]StageProgress{begun: {Done: []uint64{1 << 1}}}}}}, want: []int{0, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(Config{Token: 2, LeaseMs: 4000, PriorLeaseMs: 4000, AuthorityMs: 60_000, RemoteFactor: 2, PriorUnstored: true}, 1000)
			c.SetHandover(1000)
			c.SetWorker(testWorker("w"), 1000)
			j := testJob("j", 2)
			size := j.Stages[0].Size
			j.Stages = append(j.Stages, Stage{Count: 1, Size: size, EstimateMs: 500, After: []int{0}}, Stage{Count: 3, Size: size, EstimateMs: 500, After: []int{1}}, Stage{Count: 1, Size: size, EstimateMs: 500, After: []int{0}})
			if !test.reported {
				stored := &Progress{Runs: map[int]RunProgress{0: {Stages: map[int]StageProgress{0: {Done: []uint64{1}}}}}}
				c.Adopt(StoredJob{Job: j, Progress: stored, Revision: 1}, 1000, 1000)
			}
			if test.unknown != nil {
				c.AdoptUnknownEnds("j", test.unknown, 1, 1000)
			}
			pollAll(t, c, 1010, map[string]*TaskLists{"w": test.lists})
			if test.reported {
				c.AddReportedJob(j, true, 1020, 1020)
			}
			started := map[int][]int{}
			for now := ms(1050); now < 1400; now += 50 {
				out := pollAll(t, c, now, map[string]*TaskLists{"w": test.lists})
				for _, o := range out.Starts {
					started[o.Task.Stage] = append(started[o.Task.Stage], o.Task.Index)
				}
			}
			// The fourth stage comes after the first one, too, and has not begun.
			assert.DeepEqual(t, started, map[int][]int{begun: test.want, 3: {0}})
		})
	}
}
