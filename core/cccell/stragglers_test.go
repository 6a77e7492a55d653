package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A worker becomes several times slower, or its tasks stall, while its health score is good. Its task is slower than
// its siblings and is moved once; a task as fast as its siblings is not moved.
func TestStragglersMove(t *testing.T) {
	tests := map[string]struct {
		// percent is the progress of the last remaining task 900 ms after its start. Its siblings took 500 ms.
		percent     int
		speculative bool
		straggler   bool
		stopped     bool
	}{
		"Slow":         {percent: 30, straggler: true, stopped: true},
		"SlowWithCopy": {percent: 30, speculative: true, straggler: true},
		"NearlyDone":   {percent: 90},
		"NoProgress":   {percent: 0, straggler: true, stopped: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w1"), testWorker("w2"))
			j := testJob("a", 6)
			j.Stages[0].Speculative = test.speculative
			c.AddJob(j, 1100, 1100)
			got := runStarts(c, 1100)
			assert.Equal(t, len(got), 6)
			s := c.stageOf(got[0].Task)
			var remaining *attempt
			for _, o := range got {
				a := s.tasks[o.Task.Index][0]
				if o.Task.Index == 5 {
					remaining = a
					continue
				}
				c.endAttempt(a, EndDone, "", 1600)
			}
			remaining.worker.pollDoneAt = 2000
			c.recordRunning(remaining.worker, &RunningTask{Task: remaining.task, Attempt: remaining.number, Percent: test.percent}, 2000)
			c.stragglersCheckedAt = 0
			c.moveStragglers(2000)
			assert.Equal(t, remaining.straggler, test.straggler)
			assert.Equal(t, remaining.stopWanted, test.stopped)
			if test.speculative {
				copies := runStarts(c, 2050)
				assert.Equal(t, len(copies), 1)
				assert.Assert(t, copies[0].WorkerID != remaining.worker.info.ID)
			}
		})
	}
}

// Estimates that are wrong by the same factor for every type do no harm: only the ratio between types counts.
func TestWorkerTypeSlowness(t *testing.T) {
	k := newWorkerTypeTable()
	for range workerTypeMinSamples {
		k.add("a", 900, 300)
		k.add("b", 1800, 300)
	}
	assert.Equal(t, k.slowness("a"), 1.0)
	assert.Equal(t, k.slowness("b"), 2.0)
	assert.Equal(t, k.slowness("unknown"), 1.0)
}

// A worker that fails repeatedly gets no tasks for a while; a single failure has no effect.
func TestQuarantine(t *testing.T) {
	h := health{score: 1}
	assert.Assert(t, !h.record(false, 1000, true))
	assert.Assert(t, h.usable(1000))
	h.record(false, 1000, true)
	assert.Assert(t, h.record(false, 1000, true))
	assert.Assert(t, !h.usable(1000+quarantineMs-1))
	assert.Assert(t, h.usable(1000+quarantineMs))
	// The next failure begins a longer quarantine.
	assert.Assert(t, h.record(false, 4000, true))
	assert.Assert(t, !h.usable(4000+2*quarantineMs-1))
}
