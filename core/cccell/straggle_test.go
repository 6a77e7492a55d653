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
		percent int
		copies  bool
		moved   bool
		stopped bool
	}{
		"Slow":          {percent: 30, moved: true, stopped: true},
		"SlowWithCopy":  {percent: 30, copies: true, moved: true},
		"NearlyDone":    {percent: 90},
		"NotYetStarted": {percent: 0, moved: true, stopped: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := ready(t, testWorker("w1"), testWorker("w2"))
			j := testJob("a", 6)
			j.Stages[0].Speculative = test.copies
			c.AddJob(j, 1100, 1100)
			got := starts(c, 1100)
			assert.Equal(t, len(got), 6)
			s := c.stageOf(got[0].Task)
			var last *attempt
			for _, o := range got {
				a := s.tasks[o.Task.Index][0]
				if o.Task.Index == 5 {
					last = a
					continue
				}
				c.ended(a, EndDone, "", 1600)
			}
			last.worker.lookDone = 2000
			c.listedRunning(last.worker, &RunningTask{Task: last.task, Attempt: last.number, Percent: test.percent}, 2000)
			c.straggledAt = 0
			c.straggle(2000)
			assert.Equal(t, last.moved, test.moved)
			assert.Equal(t, last.stopping, test.stopped)
			if test.copies {
				more := starts(c, 2050)
				assert.Equal(t, len(more), 1)
				assert.Assert(t, more[0].WorkerID != last.worker.info.ID)
			}
		})
	}
}

// Estimates are far off, but alike on every kind: only the ratio between kinds counts.
func TestKindsAreLearned(t *testing.T) {
	k := newKindTable()
	for range kindTrust {
		k.add("a", 900, 300)
		k.add("b", 1800, 300)
	}
	assert.Equal(t, k.slowness("a"), 1.0)
	assert.Equal(t, k.slowness("b"), 2.0)
	assert.Equal(t, k.slowness("unknown"), 1.0)
}

// A worker that fails whatever it starts gets no more work for a while; a single failure does no harm.
func TestQuarantine(t *testing.T) {
	h := health{score: 1}
	assert.Assert(t, !h.ended(false, 1000, true))
	assert.Assert(t, h.usable(1000))
	h.ended(false, 1000, true)
	assert.Assert(t, h.ended(false, 1000, true))
	assert.Assert(t, !h.usable(1000+quarantineMs-1))
	assert.Assert(t, h.usable(1000+quarantineMs))
	// The next failure brings a longer one.
	assert.Assert(t, h.ended(false, 4000, true))
	assert.Assert(t, !h.usable(4000+2*quarantineMs-1))
}
