package ccruntimes

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// The errors of a queue are the factors by which predictions and estimates were off, in either direction, and those of
// all queues are kept together. The number of queues is bounded.
func TestErrors(t *testing.T) {
	l := New()
	for i := range 100 {
		took := 1000.0
		l.RecordError("a", took*1.5, took/4, took)
		l.RecordError(fmt.Sprint("q", i), took/3, took*10, took)
	}
	byQueue := map[string]QueueError{}
	for _, e := range l.Errors() {
		byQueue[e.Queue] = e
	}
	assert.Assert(t, len(byQueue) <= maxErrorQueues)
	a, all := byQueue["a"], byQueue[AllQueues]
	assert.Equal(t, a.Runs, int64(100))
	assert.Assert(t, Factor(a.PredictedP50, 1.5) < 1.2 && Factor(a.EstimateP90, 4) < 1.2, "%+v", a)
	assert.Equal(t, all.Runs, int64(200))
	assert.Assert(t, all.EstimateP90 > 8 && all.PredictedP50 < 3.3, "%+v", all)
}
