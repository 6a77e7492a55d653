package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Two tasks of a stage were lost with their worker. They are tried on different workers, and nothing else starts on a
// worker that was empty until the trial is over. Seen on the test bench: both crashed the next worker together, so that
// it was not known which of them did.
func TestTrialsRunApart(t *testing.T) {
	tests := map[string]struct {
		// ranMs is how long the tasks had run when their worker crashed.
		ranMs ms
		trial bool
	}{
		"JustStarted": {ranMs: 100, trial: true},
		"RanForLong":  {ranMs: recentStartMs + 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w1"), testWorker("w2"), testWorker("w3"))
			c.AddJob(testJob("a", 2), 1100, 1100)
			got := runStarts(c, 1100)
			assert.Equal(t, len(got), 2)
			assert.Equal(t, got[0].WorkerID, got[1].WorkerID, "packed on one worker")
			crashedAt := 1100 + test.ranMs
			w := c.workers[got[0].WorkerID]
			reply := executedReply(crashedAt)
			reply.IncarnationMs = int64(crashedAt)
			c.OnPollReply(&PollOrder{OrderHeader: c.header(w), worker: w}, reply, &TaskLists{}, crashedAt)
			trials := runStarts(c, crashedAt+20)
			assert.Equal(t, len(trials), 2)
			assert.Equal(t, trials[0].WorkerID != trials[1].WorkerID, test.trial)
			if !test.trial {
				return
			}
			c.AddJob(testJob("b", 40), crashedAt+20, crashedAt+20)
			beside := runStarts(c, crashedAt+40)
			assert.Equal(t, len(beside), 16, "one worker is left")
			overAt := crashedAt + 20 + trialMs
			for i := range trials {
				w := c.workers[trials[i].WorkerID]
				reply := executedReply(overAt)
				reply.IncarnationMs = w.incarnation
				c.OnPollReply(&PollOrder{OrderHeader: c.header(w), worker: w}, reply, &TaskLists{Running: []RunningTask{{Task: trials[i].Task, Attempt: trials[i].Attempt}}}, overAt)
			}
			assert.Equal(t, len(runStarts(c, overAt+20)), 24)
		})
	}
}

// Three tasks were lost with a worker, and two workers are left, one of them busy. Each gets one trial, so the third task
// waits.
func TestTrialsDoNotShareWorker(t *testing.T) {
	c := readyCell(t, testWorker("w1"), testWorker("w2"))
	one := testJob("one", 2)
	one.Stages[0].MaxPerWorker = 1
	c.AddJob(one, 1100, 1100)
	assert.Equal(t, len(runStarts(c, 1100)), 2)
	c.AddJob(testJob("two", 2), 1120, 1120)
	got := runStarts(c, 1120)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].WorkerID, got[1].WorkerID, "packed on one worker")
	w := c.workers[got[0].WorkerID]
	reply := executedReply(1200)
	reply.IncarnationMs = 1200
	c.OnPollReply(&PollOrder{OrderHeader: c.header(w), worker: w}, reply, &TaskLists{}, 1200)
	trials := runStarts(c, 1220)
	assert.Equal(t, len(trials), 2)
	assert.Assert(t, trials[0].WorkerID != trials[1].WorkerID)
}
