package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Replies of a worker can overtake each other. A poll that was sent before a start was confirmed must not end the
// attempt because its list lacks it. A list older than one that was read must not bring back an attempt that has ended.
func TestPollRepliesOutOfOrder(t *testing.T) {
	reply := func(sent, clock ms) Reply {
		return Reply{Outcome: Executed, ClockMs: int64(clock), IncarnationMs: 1000, Sent: sent, Received: clock}
	}
	task := TaskID{Job: "j"}
	tests := map[string]struct {
		// Times at which the second poll is sent and at which the worker writes its reply. The start is confirmed at
		// 1120.
		sent, clock ms
		running     bool
		ended       bool
		attempts    int
		startsAgain bool
	}{
		"PolledBeforeTheStart":     {sent: 1110, clock: 1115, attempts: 1},
		"PolledAfterTheStart":      {sent: 1130, clock: 1140, startsAgain: true},
		"ShowsItRunning":           {sent: 1130, clock: 1140, running: true, attempts: 1},
		"OlderThanTheListOfItsEnd": {sent: 1130, clock: 1140, running: true, ended: true, attempts: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w"))
			c.AddJob(testJob("j", 1), 1100, 1100)
			got := runStarts(c, 1120)
			assert.Equal(t, len(got), 1)
			w := c.workers["w"]
			if test.ended {
				c.OnPollReply(&PollOrder{worker: w}, reply(1150, 1200), &TaskLists{Ended: []EndedTask{{Number: 1, Task: task, Attempt: got[0].Attempt, End: EndDone}}}, 1200)
			}
			lists := &TaskLists{}
			if test.running {
				lists.Running = []RunningTask{{Task: task, Attempt: got[0].Attempt}}
			}
			c.OnPollReply(&PollOrder{worker: w}, reply(test.sent, test.clock), lists, 1210)
			assert.Equal(t, len(w.attempts), test.attempts)
			assert.Equal(t, len(runStarts(c, 1220)) == 1, test.startsAgain)
		})
	}
}

// A failure that two lists contain counts once.
func TestFailureCountsOnce(t *testing.T) {
	c := readyCell(t, testWorker("w"))
	j := testJob("j", 1)
	c.AddJob(j, 1100, 1100)
	for range j.Queue.MaxAttempts - 1 {
		got := runStarts(c, 1120)
		assert.Equal(t, len(got), 1)
		s := c.stageOf(got[0].Task)
		a := s.tasks[0][0]
		c.endAttempt(a, EndFailed, "", 1130)
		c.endAttempt(a, EndFailed, "", 1130)
	}
	assert.Equal(t, c.jobs["j"].final, State(""))
}

// Guards against starts on a worker that still holds a poll for its earlier incarnation. Such a poll was sent before the
// restart was known and acknowledges end numbers of the earlier incarnation. While it is pending, the worker drops ends
// of the new incarnation that have these numbers, although no leader has read them. No task may start there until a poll
// of the new incarnation was answered. Seen in the soak (seed 4014): nine tasks were done, dropped and started again.
func TestNoStartDuringPollOfEarlierIncarnation(t *testing.T) {
	c := readyCell(t, testWorker("w"))
	w := c.workers["w"]
	w.ackedEnd, w.confirmedAck = 13, 12 // Confirmed ends are not named.
	c.AddJob(testJob("a", 1), 1100, 1100)
	c.Schedule(1100, 1100)
	out := c.TakeOrders()
	assert.Equal(t, len(out.Starts), 1)
	assert.Equal(t, len(out.Polls), 1)
	oldPoll := out.Polls[0]
	c.OnStartReply(&out.Starts[0], executedReply(1105), 1105)
	assert.Equal(t, oldPoll.AckedEnd, int64(13))
	newReply := func(now ms) Reply {
		return Reply{Outcome: Executed, ClockMs: int64(now), IncarnationMs: 2000, Sent: now - 2, Received: now}
	}
	urgentPoll := PollOrder{worker: w, urgent: true}
	// This reply reports the new incarnation while the first poll is still pending at the worker.
	c.OnPollReply(&urgentPoll, newReply(1150), &TaskLists{}, 1150)
	c.AddJob(testJob("b", 1), 1160, 1160)
	c.Schedule(1160, 1160)
	out = c.TakeOrders()
	assert.Equal(t, len(out.Starts), 0)
	c.OnPollReply(&oldPoll, newReply(2100), &TaskLists{}, 2100)
	c.Schedule(2110, 2110)
	assert.Equal(t, len(c.TakeOrders().Starts), 0)
	c.Schedule(2130, 2130)
	out = c.TakeOrders()
	assert.Equal(t, len(out.Polls), 1)
	assert.Equal(t, out.Polls[0].AckedEnd, int64(0))
	c.OnPollReply(&out.Polls[0], newReply(2140), &TaskLists{}, 2140)
	c.Schedule(2150, 2150)
	assert.Assert(t, len(c.TakeOrders().Starts) > 0)
}

// As TestNoStartDuringPollOfEarlierIncarnation, but the worker was not registered while it restarted, so that its state here was dropped. Seen in the soak (seed 1).
func TestNoStartDuringPollSentBeforeWorkerWasDropped(t *testing.T) {
	c := readyCell(t, testWorker("w"))
	w := c.workers["w"]
	w.ackedEnd, w.confirmedAck, w.priorLeasesEndAt = 13, 12, 0
	c.AddJob(testJob("a", 1), 1100, 1100)
	c.Schedule(1100, 1100)
	out := c.TakeOrders()
	assert.Equal(t, len(out.Starts), 1)
	assert.Equal(t, len(out.Polls), 1)
	oldPoll := out.Polls[0]
	assert.Equal(t, oldPoll.AckedEnd, int64(13))
	c.OnStartReply(&out.Starts[0], executedReply(1105), 1105)
	c.MarkUnlisted("w")
	newReply := func(now ms) Reply {
		return Reply{Outcome: Executed, ClockMs: 1_000_000 + int64(now), IncarnationMs: 2000, Sent: now - 2, Received: now}
	}
	c.OnPollReply(&PollOrder{worker: w, urgent: true}, newReply(1150), &TaskLists{}, 1150)
	// round runs a round, answers its polls and returns the number of its starts.
	round := func(now ms) int {
		c.Schedule(now, now)
		out := c.TakeOrders()
		for i := range out.Polls {
			assert.Equal(t, out.Polls[i].AckedEnd, int64(0))
			c.OnPollReply(&out.Polls[i], newReply(now+5), &TaskLists{}, now+5)
		}
		return len(out.Starts)
	}
	assert.Equal(t, round(1160), 0)
	restarted := testWorker("w")
	restarted.IncarnationMs = 2000
	c.SetWorker(restarted, 1300)
	c.AddJob(testJob("b", 1), 1300, 1300)
	for now := ms(1300); now < 2100; now += 50 {
		assert.Equal(t, round(now), 0, "at %d", now)
	}
	c.OnPollReply(&oldPoll, newReply(2100), &TaskLists{}, 2100)
	assert.Equal(t, round(2110), 0)
	assert.Equal(t, round(2130), 0)
	assert.Assert(t, round(2150) > 0)
}

// A worker that is not registered is dropped once the last poll of it has ended, also one without a reply.
func TestUnlistedWorkerIsDroppedAfterItsLastPoll(t *testing.T) {
	c := readyCell(t, testWorker("w"))
	c.AddJob(testJob("a", 1), 1100, 1100)
	c.Schedule(1100, 1100)
	out := c.TakeOrders()
	assert.Equal(t, len(out.Polls), 1)
	c.MarkUnlisted("w")
	const late = 100_000
	c.Schedule(late, late)
	assert.Equal(t, len(c.workers), 1)
	assert.Equal(t, len(c.workers["w"].attempts), 0)
	c.OnPollReply(&out.Polls[0], Reply{Outcome: ReplyLost, Sent: 1100, Received: late}, nil, late)
	c.Schedule(late+1, late+1)
	assert.Equal(t, len(c.workers), 0)
}

// After a poll that failed the worker may have restarted, so the next one names no end. Seen in the soak (seed 1): the next incarnation forgot ends that no leader had read.
func TestPollAfterFailedPollNamesNoEnd(t *testing.T) {
	c := readyCell(t, testWorker("w"))
	w := c.workers["w"]
	w.ackedEnd, w.confirmedAck = 13, 12
	c.AddJob(testJob("a", 1), 1100, 1100)
	poll := func(now ms) PollOrder {
		c.Schedule(now, now)
		out := c.TakeOrders()
		assert.Equal(t, len(out.Polls), 1)
		return out.Polls[0]
	}
	failed := poll(1100)
	assert.Equal(t, failed.AckedEnd, int64(13))
	c.OnPollReply(&failed, Reply{Outcome: ReplyLost, Sent: 1100, Received: 1400}, nil, 1400)
	// A reply to a stop ends the silence, but does not tell the incarnation.
	c.OnStopReply(&StopOrder{attempt: &attempt{worker: w}}, executedReply(1410), 1410)
	assert.Equal(t, w.silentSince, ms(0))
	first := poll(1430)
	assert.Equal(t, first.AckedEnd, int64(0))
	assert.Equal(t, first.WaitMs, int64(0))
	c.OnPollReply(&first, executedReply(1435), &TaskLists{}, 1435)
	second := poll(1470)
	assert.Equal(t, second.AckedEnd, int64(13))
}

// A poll names an end until the worker has confirmed that it has forgotten it, and not longer. Seen in the soak: a poll
// was executed by the next incarnation of the worker, which forgot an end of the same number that no leader had read, so
// that a task was started again after it was done.
func TestConfirmedEndsAreNotNamedAgain(t *testing.T) {
	tests := map[string]struct {
		confirmed, want int64
	}{
		"Unconfirmed": {12, 13},
		"Confirmed":   {13, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w"))
			c.workers["w"].ackedEnd, c.workers["w"].confirmedAck = 13, test.confirmed
			c.AddJob(testJob("a", 1), 1100, 1100)
			c.Schedule(1100, 1100)
			out := c.TakeOrders()
			assert.Equal(t, len(out.Polls), 1)
			assert.Equal(t, out.Polls[0].AckedEnd, test.want)
		})
	}
}

// A worker has restarted, and its next process has executed a start before the leader knows of the restart. The task is
// done there. A poll that names an end of the earlier process would let the next one forget that unread. Seen in the soak (seed 92009).
func TestNoEndIsNamedWhileAStartIsInDoubt(t *testing.T) {
	c := readyCell(t, testWorker("w"))
	w := c.workers["w"]
	c.AddJob(testJob("a", 2), 1100, 1100)
	c.Schedule(1100, 1100)
	out := c.TakeOrders()
	assert.Equal(t, len(out.Starts), 2)
	assert.Equal(t, len(out.Polls), 1)
	// The start in doubt may be that of the next process, and so may the one that was confirmed by a reply that names none.
	lost := Reply{Outcome: ReplyLost, Sent: 1100, Received: 1400}
	c.OnStartReply(&out.Starts[0], lost, 1400)
	c.OnStartReply(&out.Starts[1], executedReply(1105), 1105)
	w.ackedEnd = 13
	c.Schedule(1600, 1600)
	out = c.TakeOrders()
	assert.Equal(t, len(out.Stops), 1)
	c.OnStopReply(&out.Stops[0], executedReply(1605), 1605)
	c.Schedule(1610, 1610)
	out = c.TakeOrders()
	assert.Equal(t, len(out.Polls), 1) // Beside the one in flight.
	assert.Equal(t, out.Polls[0].AckedEnd, int64(0))
	c.OnPollReply(&out.Polls[0], executedReply(1615), &TaskLists{}, 1615)
	assert.Equal(t, len(w.attempts), 0)
	w.pollInFlight = false
	c.Schedule(2100, 2100)
	out = c.TakeOrders()
	assert.Equal(t, len(out.Polls), 1)
	assert.Equal(t, out.Polls[0].AckedEnd, int64(13))
}

// What a reply says holds for the process that it comes from. Seen in the soak (seed 92009): a start that the next process of a crashed worker had executed was taken for
// lost with the earlier one, and its task was started again.
func TestRepliesOfTwoIncarnations(t *testing.T) {
	reply := func(incarnation int64, clock, sent, received ms) Reply {
		return Reply{Outcome: Executed, ClockMs: int64(clock), IncarnationMs: incarnation, Sent: sent, Received: received}
	}
	const earlier, next = 1000, 2000
	tests := map[string]struct {
		// start is the reply to the start, which is sent at 1100 and read at 1190 or, if late, at 1250. The restart is
		// known from a poll sent at 1150 and read at 1200, when the clock of the next process is at 50.
		start Reply
		late  bool
		// attempts is the number of attempts once the restart is known and the start is answered, running is true if the
		// one that is left runs.
		attempts int
		running  bool
	}{
		"Earlier":             {start: reply(earlier, 1150, 1100, 1190), attempts: 0},
		"Next":                {start: reply(next, 40, 1100, 1190), attempts: 1, running: true},
		"UnnamedEarlierClock": {start: reply(0, 1150, 1100, 1190), attempts: 0},
		"UnnamedNextClock":    {start: reply(0, 40, 1100, 1190), attempts: 1},
		"LateEarlier":         {start: reply(earlier, 1150, 1100, 1250), late: true, attempts: 0},
		"LateNext":            {start: reply(next, 40, 1100, 1250), late: true, attempts: 1, running: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w"))
			w := c.workers["w"]
			c.AddJob(testJob("j", 1), 1100, 1100)
			out := runRound(c, 1100)
			assert.Equal(t, len(out.Starts), 1)
			if !test.late {
				c.OnStartReply(&out.Starts[0], test.start, test.start.Received)
			}
			// The next process had not executed the start when it answered.
			c.OnPollReply(&PollOrder{worker: w, OrderHeader: OrderHeader{IncarnationMs: earlier}}, reply(next, 50, 1150, 1200), &TaskLists{}, 1200)
			if test.late {
				c.OnStartReply(&out.Starts[0], test.start, test.start.Received)
			}
			assert.Equal(t, w.incarnation, int64(next))
			assert.Equal(t, len(w.attempts), test.attempts)
			for _, a := range w.attempts {
				assert.Equal(t, a.state == running, test.running)
			}
			clock, _ := w.clockNow(1250)
			assert.Assert(t, clock < 1000, "the clock is that of the earlier process: %d", clock)
			again := runRound(c, 1260)
			assert.Equal(t, len(again.Starts), 1-test.attempts)
			if test.attempts == 1 && !test.running {
				assert.Equal(t, len(again.Stops), 1)
			}
		})
	}
}

// A reply of the earlier process of a worker that arrives after one of the next process does not count.
func TestRepliesOfAnEarlierIncarnationDontCount(t *testing.T) {
	const earlier, next = 1000, 2000
	// begin returns a cell that knows of the restart, with a start in doubt and the stop that was sent to the earlier process.
	begin := func(t *testing.T) (*Cell, *worker, StopOrder) {
		c := readyCell(t, testWorker("w"))
		w := c.workers["w"]
		c.AddJob(testJob("j", 1), 1100, 1100)
		out := runRound(c, 1100)
		assert.Equal(t, len(out.Starts), 1)
		c.OnStartReply(&out.Starts[0], Reply{Outcome: ReplyLost, Sent: 1100, Received: 1400}, 1400)
		out = runRound(c, 1600)
		assert.Equal(t, len(out.Stops), 1)
		c.OnPollReply(&PollOrder{worker: w, OrderHeader: OrderHeader{IncarnationMs: earlier}}, Reply{Outcome: Executed, ClockMs: 50, IncarnationMs: next, Sent: 1600, Received: 1620}, &TaskLists{}, 1620)
		assert.Equal(t, len(w.attempts), 1)
		return c, w, out.Stops[0]
	}
	tests := map[string]func(c *Cell, w *worker, stop *StopOrder){
		"Stop": func(c *Cell, _ *worker, stop *StopOrder) {
			c.OnStopReply(stop, Reply{Outcome: Executed, ClockMs: 1610, IncarnationMs: earlier, Sent: 1600, Received: 1630}, 1630)
		},
		"StopUnnamed": func(c *Cell, _ *worker, stop *StopOrder) {
			c.OnStopReply(stop, Reply{Outcome: Executed, ClockMs: 1610, Sent: 1600, Received: 1630}, 1630)
		},
		"Poll": func(c *Cell, w *worker, _ *StopOrder) {
			c.OnPollReply(&PollOrder{worker: w, OrderHeader: OrderHeader{IncarnationMs: earlier}}, Reply{Outcome: Executed, ClockMs: 1610, IncarnationMs: earlier, Sent: 1600, Received: 1630}, &TaskLists{}, 1630)
		},
	}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			c, w, stop := begin(t)
			late(c, w, &stop)
			assert.Equal(t, w.incarnation, int64(next))
			clock, _ := w.clockNow(1640)
			assert.Assert(t, clock < 1000, "the clock is that of the earlier process: %d", clock)
			c.OnPollReply(&PollOrder{worker: w, OrderHeader: OrderHeader{IncarnationMs: next}}, Reply{Outcome: Executed, ClockMs: 90, IncarnationMs: next, Sent: 1650, Received: 1660}, &TaskLists{}, 1660)
			assert.Equal(t, len(w.attempts), 1, "only a stop that the next process has confirmed voids the start")
		})
	}
}

// The registration of a worker was removed while it restarted. A start in doubt may still reach the next process, which has
// given it no lease before. Seen in the soak (seed 92009): 12 such tasks were started elsewhere at once.
func TestStartInDoubtOutlivesARestartOfAnUnlistedWorker(t *testing.T) {
	c := readyCell(t, testWorker("w"), testWorker("x"))
	c.AddJob(testJob("j", 1), 1100, 1100)
	out := runRound(c, 1100)
	assert.Equal(t, len(out.Starts), 1)
	c.OnStartReply(&out.Starts[0], Reply{Outcome: ReplyLost, Sent: 1100, Received: 1400}, 1400)
	w := c.workers[out.Starts[0].WorkerID]
	w.priorLeasesEndAt = 0
	c.MarkUnlisted(w.info.ID)
	c.OnPollReply(&PollOrder{worker: w}, Reply{Outcome: Executed, ClockMs: 10_000, IncarnationMs: 2000, Sent: 1450, Received: 1455}, &TaskLists{}, 1455)
	out = runRound(c, 1460)
	assert.Equal(t, len(w.attempts), 1)
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.Stops), 1)
}

// A start that was meant for the earlier process of a worker may give a longer lease in the next one, whose clock begins
// anew: workers shorten it to a length of their own. Found by TestCellModelSameID.
func TestLeaseOfANextIncarnationIsAwaited(t *testing.T) {
	c := New(Config{Token: 1, LeaseMs: 4000, MaxLeaseMs: 6000, AuthorityMs: 1 << 30, RemoteFactor: 2}, 1000)
	c.SetWorker(testWorker("w"), 1000)
	w := c.workers["w"]
	c.OnPollReply(&PollOrder{worker: w}, executedReply(1010), &TaskLists{}, 1010)
	c.AddJob(testJob("j", 1), 1100, 1100)
	out := runRound(c, 1100)
	assert.Equal(t, len(out.Starts), 1)
	c.OnStartReply(&out.Starts[0], Reply{Outcome: ReplyLost, Sent: 1100, Received: 1400}, 1400)
	c.OnPollReply(&PollOrder{worker: w}, Reply{Outcome: Executed, ClockMs: 300, IncarnationMs: 2000, Sent: 1450, Received: 1455}, &TaskLists{}, 1455)
	losePoll(c, w, 1500)
	runRound(c, 7400)
	assert.Equal(t, len(w.attempts), 1)
	runRound(c, 7900)
	assert.Equal(t, len(w.attempts), 0)
}

// A worker was found to have started again while a start was on its way. The start did not reach it, and a crash under the
// task counted all the same: a task with two other crashes was given up.
func TestStartThatDidNotHappenIsNoCrash(t *testing.T) {
	tests := map[string]struct {
		reply   Reply
		crashes int
	}{
		"Unsent":           {reply: Reply{Outcome: Unsent, Sent: 1110, Received: 1130}},
		"OtherIncarnation": {reply: Reply{Outcome: Refused, Reason: OtherIncarnation, Sent: 1110, Received: 1130}},
		"InDoubt":          {reply: Reply{Outcome: ReplyLost, Sent: 1110, Received: 1130}, crashes: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w1"))
			c.AddJob(testJob("j", 1), 1100, 1100)
			c.Schedule(1110, 1110)
			starts := c.TakeOrders().Starts
			assert.Equal(t, len(starts), 1)
			s := c.stageOf(starts[0].Task)
			restarted := Reply{Outcome: Executed, ClockMs: 5, IncarnationMs: 2000, Sent: 1115, Received: 1120}
			c.OnPollReply(&PollOrder{worker: c.workers["w1"]}, restarted, &TaskLists{}, 1120)
			c.OnStartReply(&starts[0], test.reply, 1130)
			assert.Equal(t, len(s.crashes[0]), test.crashes)
		})
	}
}

// A worker restarts and executes a start just after it has written its reply to a poll. The confirmation of the start overtakes
// that reply, which is the first to tell of the restart. The attempt was taken for one of the earlier incarnation, and its task
// started a second time.
func TestStartConfirmedBesideARestart(t *testing.T) {
	const bornBefore, born, polledClock = 1000, 2000, 470
	tests := map[string]struct {
		// confirmedClock is the clock at which the worker confirmed the start.
		confirmedClock int64
		// executed is true if the present incarnation has executed the start, kept if the attempt is kept until the next list.
		executed, kept bool
		// crashes is the number of recorded crashes of the task.
		crashes int
	}{
		"ExecutedAfterThePoll":       {confirmedClock: 480, executed: true, kept: true},
		"ExecutedByTheEarlier":       {confirmedClock: 50_000, crashes: 1},
		"ExecutedByAYoungEarlier":    {confirmedClock: 480, kept: true, crashes: 1},
		"ExecutedByASomewhatEarlier": {confirmedClock: 500, crashes: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w"))
			w := c.workers["w"]
			reply := func(sent, received ms, clock, incarnation int64) Reply {
				return Reply{Outcome: Executed, ClockMs: clock, IncarnationMs: incarnation, Sent: sent, Received: received}
			}
			c.OnPollReply(&PollOrder{worker: w}, reply(1050, 1060, 50_000, bornBefore), &TaskLists{}, 1060)
			c.AddJob(testJob("j", 1), 1100, 1100)
			out := runRound(c, 1105)
			assert.Equal(t, len(out.Starts), 1)
			task, attempt := out.Starts[0].Task, out.Starts[0].Attempt
			c.OnStartReply(&out.Starts[0], Reply{Outcome: Executed, ClockMs: test.confirmedClock, Sent: 1105, Received: 1120}, 1120)
			c.OnPollReply(&PollOrder{worker: w}, reply(1100, 1125, polledClock, born), &TaskLists{}, 1125)
			assert.Equal(t, len(w.attempts) == 1, test.kept)
			lists := &TaskLists{}
			if test.executed {
				lists.Running = []RunningTask{{Task: task, Attempt: attempt}}
			}
			c.OnPollReply(&PollOrder{worker: w}, reply(1130, 1140, polledClock+30, born), lists, 1140)
			assert.Equal(t, len(c.jobs["j"].runs[0].stages[0].crashes[0]), test.crashes)
			again := runRound(c, 1150)
			assert.Equal(t, len(again.Starts) == 0, test.executed)
			assert.Equal(t, len(again.Stops), 0)
		})
	}
}
