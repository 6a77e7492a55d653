package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Replies that came after the timeout of the poll were dropped, and tasks that were done by them started again.
func TestLateReplyCounts(t *testing.T) {
	tests := map[string]struct {
		reply  Reply
		failed ms // When another poll was sent that has failed before the reply came, 0 for none.
		done   bool
		silent bool
	}{
		"Late":               {reply: Reply{Outcome: Executed, ClockMs: 1210, IncarnationMs: 1000, Sent: 1200, Received: 2700}, done: true},
		"OtherFailedSince":   {reply: Reply{Outcome: Executed, ClockMs: 1210, IncarnationMs: 1000, Sent: 1200, Received: 2700}, failed: 2300, done: true, silent: true},
		"EarlierIncarnation": {reply: Reply{Outcome: Executed, ClockMs: 1210, IncarnationMs: 900, Sent: 900, Received: 2700}, silent: true},
		"Refused":            {reply: Reply{Outcome: Refused, Reason: OtherIncarnation, Sent: 1200, Received: 2700}, silent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w1"))
			c.AddJob(testJob("j", 1), 1100, 1100)
			starts := runStarts(c, 1110)
			assert.Equal(t, len(starts), 1)
			c.OnStartReply(&starts[0], executedReply(1112), 1112)
			c.Schedule(1200, 1200)
			polls := c.TakeOrders().Polls
			assert.Equal(t, len(polls), 1)
			c.OnPollReply(&polls[0], Reply{Outcome: ReplyLost, Sent: 1200, Received: 1900}, &TaskLists{}, 1900)
			w := c.workers["w1"]
			assert.Assert(t, w.silentSince != 0)
			if test.failed != 0 {
				c.Schedule(test.failed, test.failed)
				polls := c.TakeOrders().Polls
				assert.Equal(t, len(polls), 1)
				c.OnPollReply(&polls[0], Reply{Outcome: Unsent, Sent: test.failed, Received: test.failed}, &TaskLists{}, test.failed)
			}
			c.OnLateReply(&polls[0], test.reply, doneList(starts), 2700)
			assert.Equal(t, c.jobs["j"].final == Completed, test.done)
			assert.Equal(t, w.silentSince != 0, test.silent)
			assert.Equal(t, w.failedPolls > 0, true)
		})
	}
}

// A worker whose replies are late gets no tasks, and its polls more time, until its replies are in time again.
func TestWorkerWithLateReplies(t *testing.T) {
	c := readyCell(t, testWorker("w1"))
	now := ms(1100)
	poll := func(delay ms, late bool) int64 {
		t.Helper()
		now += 500
		c.Schedule(now, now)
		polls := c.TakeOrders().Polls
		assert.Equal(t, len(polls), 1)
		sent := now
		now += ms(polls[0].WaitMs) + delay
		r := Reply{Outcome: Executed, ClockMs: int64(now), IncarnationMs: 1000, Sent: sent, Received: now}
		if late {
			c.OnPollReply(&polls[0], Reply{Outcome: ReplyLost, Sent: sent, Received: now}, &TaskLists{}, now)
			c.OnLateReply(&polls[0], r, &TaskLists{}, now)
		} else {
			c.OnPollReply(&polls[0], r, &TaskLists{}, now)
		}
		return polls[0].ExtraMs
	}
	c.AddJob(testJob("j", 1), now, now)
	starts := runStarts(c, now+10)
	c.OnStartReply(&starts[0], executedReply(now+12), now+12) // Keeps the worker polled.
	assert.Equal(t, poll(20, false), int64(0))
	poll(1500, true)
	assert.Assert(t, !c.workers["w1"].usable(now))
	assert.Equal(t, poll(1500, false), int64(2*1500))
	assert.Assert(t, !c.workers["w1"].usable(now))
	for range 2 {
		poll(20, false)
	}
	assert.Assert(t, c.workers["w1"].usable(now))
	assert.Equal(t, poll(20, false), int64(0))
}
