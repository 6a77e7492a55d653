package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A worker turns several times slower, or tasks on it stand still, while its health is good: what runs there lags behind
// its siblings and is moved, once; equal siblings are left alone.
func TestStragglersMove(t *testing.T) {
	tests := map[string]struct {
		// percent is what the last look shows of the one task that is left, 900 ms after the start; its siblings took 500 ms.
		percent   int
		copies    bool
		straggler bool
		stopped   bool
	}{
		"Slow":         {percent: 30, straggler: true, stopped: true},
		"SlowWithCopy": {percent: 30, copies: true, straggler: true},
		"NearlyDone":   {percent: 90},
		"NoProgress":   {percent: 0, straggler: true, stopped: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w1"), testWorker("w2"))
			j := testJob("a", 6)
			j.Stages[0].Speculative = test.copies
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
			if test.copies {
				copies := runStarts(c, 2050)
				assert.Equal(t, len(copies), 1)
				assert.Assert(t, copies[0].WorkerID != remaining.worker.info.ID)
			}
		})
	}
}

// Estimates are far off, but alike on every kind: only the ratio between kinds counts.
func TestKindSlowness(t *testing.T) {
	k := newKindTable()
	for range kindMinSamples {
		k.add("a", 900, 300)
		k.add("b", 1800, 300)
	}
	assert.Equal(t, k.slowness("a"), 1.0)
	assert.Equal(t, k.slowness("b"), 2.0)
	assert.Equal(t, k.slowness("unknown"), 1.0)
}

// A worker that fails whatever it starts gets no copies work for a while; a single failure does no harm.
func TestQuarantine(t *testing.T) {
	h := health{score: 1}
	assert.Assert(t, !h.record(false, 1000, true))
	assert.Assert(t, h.usable(1000))
	h.record(false, 1000, true)
	assert.Assert(t, h.record(false, 1000, true))
	assert.Assert(t, !h.usable(1000+quarantineMs-1))
	assert.Assert(t, h.usable(1000+quarantineMs))
	// The next failure brings a longer one.
	assert.Assert(t, h.record(false, 4000, true))
	assert.Assert(t, !h.usable(4000+2*quarantineMs-1))
}
