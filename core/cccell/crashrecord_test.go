package cccell

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// losePoll makes a poll of a worker fail.
func losePoll(c *Cell, w *worker, now ms) {
	c.OnPollReply(&PollOrder{OrderHeader: c.header(w), worker: w}, Reply{Outcome: ReplyLost, Sent: now, Received: now}, nil, now)
}

// answerPoll answers a poll of a worker with the attempts that the cell has there.
func answerPoll(c *Cell, w *worker, now ms) {
	r := executedReply(now)
	r.IncarnationMs = w.newestIncarnation()
	lists := &TaskLists{}
	for k := range w.attempts {
		lists.Running = append(lists.Running, RunningTask{Task: k.task, Attempt: k.number})
	}
	c.OnPollReply(&PollOrder{OrderHeader: c.header(w), worker: w}, r, lists, now)
}

// A write in flight shared its crashes with the cell, which changed them.
func TestCrashesOfWriteInFlightDoNotChange(t *testing.T) {
	c := readyCell(t, testWorker("w1"))
	c.AddJob(testJob("a", 1), 1100, 1100)
	runStarts(c, 1100)
	losePoll(c, c.workers["w1"], 1200)
	writes := c.NextWrites(100, 1200)
	assert.Equal(t, len(writes), 1)
	before := fmt.Sprintf("%+v", writes[0].Progress)
	answerPoll(c, c.workers["w1"], 1250)
	assert.Equal(t, fmt.Sprintf("%+v", writes[0].Progress), before)
}

// A withdrawn suspicion stayed in the store, where the next leader found it.
func TestWithdrawnCrashIsWritten(t *testing.T) {
	c := readyCell(t, testWorker("w1"))
	c.AddJob(testJob("a", 1), 1100, 1100)
	runStarts(c, 1100)
	losePoll(c, c.workers["w1"], 1200)
	c.OnWritten(c.NextWrites(100, 1200), 5, 1210)
	answerPoll(c, c.workers["w1"], 1250)
	assert.Equal(t, len(c.stageOf(TaskID{Job: "a"}).crashes), 0)
	assert.Equal(t, len(c.NextWrites(100, 1300)), 1)
}

// A poll fails, the reply to a start shows that the worker is there, and it then crashes. The crash was not recorded while
// the leases lasted.
func TestCrashAfterStartReplyIsRecorded(t *testing.T) {
	c := readyCell(t, testWorker("w1"))
	w := c.workers["w1"]
	c.AddJob(testJob("a", 1), 1100, 1100)
	out := runRound(c, 1100)
	losePoll(c, w, 1110)
	c.OnStartReply(&out.Starts[0], executedReply(1120), 1120)
	c.AddJob(testJob("b", 1), 1130, 1130)
	assert.Equal(t, len(runStarts(c, 1130)), 1)
	losePoll(c, w, 1200)
	assert.Equal(t, len(c.stageOf(TaskID{Job: "b"}).crashes), 1)
}

// A task that a prior leader started counted as started at the takeover.
func TestAdoptedTaskHasNotJustStarted(t *testing.T) {
	c := testCell(2, 1000)
	c.SetHandover(1000)
	c.SetWorker(testWorker("w"), 1000)
	c.Adopt(StoredJob{Job: testJob("a", 1)}, 1000, 1000)
	pollAll(t, c, 1050, map[string]*TaskLists{"w": {Running: []RunningTask{{Task: TaskID{Job: "a"}, Attempt: 1<<attemptBits + 1, Percent: 60}}}})
	w := c.workers["w"]
	losePoll(c, w, 1500)
	losePoll(c, w, 1900)
	crashes := c.stageOf(TaskID{Job: "a"}).crashes[0]
	assert.Equal(t, len(crashes), 1)
	assert.Assert(t, !crashes[0].recent(), "%+v", crashes[0])
}

// Three workers had crashed before the start of a task was sent to them. The task was blamed, although it never ran.
func TestTaskThatNeverRanIsNotBlamed(t *testing.T) {
	var infos []WorkerInfo
	for i := range 6 {
		infos = append(infos, testWorker(fmt.Sprintf("w%d", i)))
	}
	c := readyCell(t, infos...)
	c.AddJob(testJob("a", 1), 1100, 1100)
	type restart struct {
		at   ms
		info WorkerInfo
	}
	var restarts []restart
	starts := 0
	for now := ms(1100); now < 30_000; now += 50 {
		out := runRound(c, now)
		for i := range out.Starts {
			w := c.workers[out.Starts[i].WorkerID]
			if starts++; starts > 3 {
				c.OnStartReply(&out.Starts[i], executedReply(now), now)
				continue
			}
			c.OnStartReply(&out.Starts[i], Reply{Outcome: ReplyLost, Sent: now, Received: now}, now)
			losePoll(c, w, now)
			restarts = append(restarts, restart{now + 3300, w.info})
		}
		for i := range restarts {
			if r := &restarts[i]; r.at <= now && r.info.ID != "" {
				c.MarkUnlisted(r.info.ID)
				info := r.info
				info.ID, info.IncarnationMs = r.info.ID+"x", int64(now)
				c.SetWorker(info, now)
				r.info.ID = ""
			}
		}
		for _, w := range c.workers {
			if w.silentSince == 0 {
				answerPoll(c, w, now)
			}
		}
	}
	assert.Equal(t, starts, 4)
	assert.Equal(t, c.jobs["a"].final, State(""))
}
