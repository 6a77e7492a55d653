package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Answers of a worker overtake each other. A list that was sent for before a start was confirmed does not show that the task is gone, and
// one that is older than another that was read does not bring back what has ended.
func TestPollRepliesOutOfOrder(t *testing.T) {
	reply := func(sent, clock ms) Reply {
		return Reply{Outcome: Executed, ClockMs: int64(clock), IncarnationMs: 1000, Sent: sent, Received: clock}
	}
	task := TaskID{Job: "j"}
	tests := map[string]struct {
		// Times at which the second look is sent, and at which the worker writes its answer. The start is confirmed at 1120.
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

// A failure that two lists name counts once.
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

// A look that was sent before the worker was known to have started again carries the number of an end of the earlier life, and makes the
// new life forget as many ends unread, for as long as it waits there. Nothing is started on the worker meanwhile. Seen in the soak (seed
// 4014) as nine tasks that were done, forgotten and started again.
func TestNoStartDuringPollOfEarlierIncarnation(t *testing.T) {
	c := readyCell(t, testWorker("w"))
	w := c.workers["w"]
	w.ackedEnd, w.confirmedAck = 13, 13
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
	c.OnPollReply(&urgentPoll, newReply(1150), &TaskLists{}, 1150) // The answer tells of the new life; the first look still waits there.
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
