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
			poll := schedulePoll(t, c, 1200)
			c.OnPollReply(&poll, Reply{Outcome: ReplyLost, Sent: 1200, Received: 1900}, &TaskLists{}, 1900)
			w := c.workers["w1"]
			assert.Assert(t, w.silentSince != 0)
			if test.failed != 0 {
				later := schedulePoll(t, c, test.failed)
				c.OnPollReply(&later, Reply{Outcome: Unsent, Sent: test.failed, Received: test.failed}, &TaskLists{}, test.failed)
			}
			c.OnLateReply(&poll, test.reply, doneList(starts), 2700)
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
		o := schedulePoll(t, c, now)
		sent := now
		now += ms(o.WaitMs) + delay
		r := Reply{Outcome: Executed, ClockMs: int64(now), IncarnationMs: 1000, Sent: sent, Received: now}
		if late {
			c.OnPollReply(&o, Reply{Outcome: ReplyLost, Sent: sent, Received: now}, &TaskLists{}, now)
			c.OnLateReply(&o, r, &TaskLists{}, now)
		} else {
			c.OnPollReply(&o, r, &TaskLists{}, now)
		}
		return o.ExtraMs
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

// A worker without attempts was not polled any more after a late reply, so that it got no tasks for the rest of the term.
func TestIdleWorkerRecoversFromLateReply(t *testing.T) {
	tests := map[string]struct {
		delay ms
		lost  bool // Whether the poll had timed out when the reply came.
	}{
		"InTime":            {delay: 20},
		"JustLate":          {delay: 800, lost: true},
		"Late":              {delay: 3000, lost: true},
		"LateBeforeTimeout": {delay: 800}, // The process was suspended: its timer has not fired yet.
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(1, 1000)
			c.SetHandover(1000)
			c.ExtendAuthority(1 << 40)
			c.SetWorker(testWorker("w1"), 1000)
			poll := schedulePoll(t, c, 1000)
			now := 1000 + test.delay
			r := Reply{Outcome: Executed, ClockMs: 1010, IncarnationMs: 1000, Sent: 1000, Received: now}
			if test.lost {
				c.OnPollReply(&poll, Reply{Outcome: ReplyLost, Sent: 1000, Received: 1300}, &TaskLists{}, 1300)
				c.OnLateReply(&poll, r, &TaskLists{}, now)
			} else {
				c.OnPollReply(&poll, r, &TaskLists{}, now)
			}
			c.AddJob(testJob("j", 1), now, now)
			for deadline := now + 2000; now < deadline && c.jobs["j"].liveAttempts == 0; now += 40 {
				pollAll(t, c, now, nil)
			}
			assert.Equal(t, c.jobs["j"].liveAttempts, 1)
		})
	}
}

// The clock of a machine was set back before its worker started again, so that the present incarnation has a lower number.
// A late reply of the earlier one must not end what runs.
func TestLateReplyOfEarlierIncarnationWithHigherNumber(t *testing.T) {
	c := readyCell(t, testWorker("w1"))
	c.AddJob(testJob("j", 1), 1100, 1100)
	w := c.workers["w1"]
	header := OrderHeader{WorkerID: "w1", IncarnationMs: 1000}
	late := &PollOrder{OrderHeader: header, worker: w}
	c.OnPollReply(late, Reply{Outcome: ReplyLost, Sent: 1110, Received: 1810}, &TaskLists{}, 1810)
	c.OnPollReply(&PollOrder{OrderHeader: header, worker: w}, Reply{Outcome: Executed, ClockMs: 50, IncarnationMs: 900, Sent: 2000, Received: 2002}, &TaskLists{}, 2002)
	var starts []StartOrder
	for now := ms(2030); now < 2500 && len(starts) == 0; now += 40 {
		c.Schedule(now, now)
		orders := c.TakeOrders()
		for i := range orders.Polls {
			c.OnPollReply(&orders.Polls[i], Reply{Outcome: Executed, ClockMs: int64(now) - 1950, IncarnationMs: 900, Sent: now, Received: now + 2}, &TaskLists{}, now+2)
		}
		starts = orders.Starts
	}
	assert.Equal(t, len(starts), 1)
	c.OnStartReply(&starts[0], Reply{Outcome: Executed, ClockMs: 552, IncarnationMs: 900, Sent: 2500, Received: 2502}, 2502)
	assert.Equal(t, len(w.attempts), 1)
	c.OnLateReply(late, Reply{Outcome: Executed, ClockMs: 1112, IncarnationMs: 1000, Sent: 1110, Received: 2600}, &TaskLists{}, 2600)
	assert.Equal(t, w.incarnation, int64(900))
	assert.Equal(t, len(w.attempts), 1)
}

// A reply that is older than a failed poll withdrew the crash that its worker was suspected of, which may have come after it.
func TestLateReplyOlderThanFailureKeepsSuspicion(t *testing.T) {
	tests := map[string]struct {
		failed    ms // When a later poll was sent that has failed, 0 for none.
		suspected bool
	}{
		"Newest":           {suspected: false},
		"OtherFailedSince": {failed: 2300, suspected: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w1"))
			c.AddJob(testJob("j", 1), 1100, 1100)
			starts := runStarts(c, 1110)
			assert.Equal(t, len(starts), 1)
			poll := schedulePoll(t, c, 1200)
			c.OnPollReply(&poll, Reply{Outcome: ReplyLost, Sent: 1200, Received: 1900}, &TaskLists{}, 1900)
			assert.Equal(t, len(c.suspects["w1:1"]), 1)
			if test.failed != 0 {
				later := schedulePoll(t, c, test.failed)
				c.OnPollReply(&later, Reply{Outcome: Unsent, Sent: test.failed, Received: test.failed}, &TaskLists{}, test.failed)
			}
			lists := &TaskLists{Running: []RunningTask{{Task: starts[0].Task, Attempt: starts[0].Attempt}}}
			c.OnLateReply(&poll, Reply{Outcome: Executed, ClockMs: 1210, IncarnationMs: 1000, Sent: 1200, Received: 2700}, lists, 2700)
			assert.Equal(t, len(c.suspects["w1:1"]) == 1, test.suspected)
		})
	}
}

// A new leader's first reply of a worker was late, and older than a poll that had failed; the worker counted as heard.
func TestFirstReplyIsLate(t *testing.T) {
	for name, failed := range map[string]bool{"NoneFailedSince": false, "OtherFailedSince": true} {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			c.SetWorker(testWorker("w1"), 1000)
			poll := schedulePoll(t, c, 1000)
			c.OnPollReply(&poll, Reply{Outcome: ReplyLost, Sent: 1000, Received: 1300}, &TaskLists{}, 1300)
			if failed {
				next := schedulePoll(t, c, 1400)
				c.OnPollReply(&next, Reply{Outcome: Unsent, Sent: 1400, Received: 1401}, &TaskLists{}, 1401)
			}
			c.OnLateReply(&poll, Reply{Outcome: Executed, ClockMs: 1010, IncarnationMs: 1000, Sent: 1000, Received: 1900}, &TaskLists{}, 1900)
			w := c.workers["w1"]
			assert.Equal(t, w.silentSince != 0, failed)
			assert.Assert(t, w.clockAt != 0)
		})
	}
}

// schedulePoll plans a round at now, in ms, and returns the poll that it orders, which must be the only one.
func schedulePoll(t *testing.T, c *Cell, now ms) PollOrder {
	t.Helper()
	c.Schedule(now, now)
	polls := c.TakeOrders().Polls
	assert.Equal(t, len(polls), 1)
	return polls[0]
}
