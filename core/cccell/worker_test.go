package cccell

import (
	"math"
	"strings"
	"testing"

	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// The bounds of a registration are the last values that are accepted.
func TestWorkerInfoCheck(t *testing.T) {
	tests := map[string]struct {
		change func(w *WorkerInfo)
		bad    bool
	}{
		"Good":                {func(*WorkerInfo) {}, false},
		"NoID":                {func(w *WorkerInfo) { w.ID = "" }, true},
		"NoAddress":           {func(w *WorkerInfo) { w.Address = "" }, true},
		"NoService":           {func(w *WorkerInfo) { w.Service = "" }, true},
		"IDWithSpace":         {func(w *WorkerInfo) { w.ID = "w " }, true},
		"IDWithWideSpace":     {func(w *WorkerInfo) { w.ID = "w\u00a0" }, true},
		"IDWithControl":       {func(w *WorkerInfo) { w.ID = "w\x00" }, true},
		"IDNotUTF8":           {func(w *WorkerInfo) { w.ID = "w\xff" }, true},
		"LongestID":           {func(w *WorkerInfo) { w.ID = strings.Repeat("w", maxNameBytes) }, false},
		"LongerID":            {func(w *WorkerInfo) { w.ID = strings.Repeat("w", maxNameBytes+1) }, true},
		"LongerLabel":         {func(w *WorkerInfo) { w.Labels = []string{strings.Repeat("l", maxNameBytes+1)} }, true},
		"MostLabels":          {func(w *WorkerInfo) { w.Labels = make([]string, maxLabels) }, false},
		"MoreLabels":          {func(w *WorkerInfo) { w.Labels = make([]string, maxLabels+1) }, true},
		"LargestCapacity":     {func(w *WorkerInfo) { w.Capacity = largestWorker }, false},
		"NoCapacity":          {func(w *WorkerInfo) { w.Capacity = ccwork.Size{} }, false},
		"MoreCores":           {func(w *WorkerInfo) { w.Capacity.MilliCores = largestWorker.MilliCores + 1 }, true},
		"MoreMemory":          {func(w *WorkerInfo) { w.Capacity.MemoryMB = largestWorker.MemoryMB + 1 }, true},
		"MoreAccelerators":    {func(w *WorkerInfo) { w.Capacity.Accelerators = math.MaxInt64 }, true},
		"MemoryBelow0":        {func(w *WorkerInfo) { w.Capacity.MemoryMB = -1 }, true},
		"LatestIncarnation":   {func(w *WorkerInfo) { w.IncarnationMs = maxIncarnationMs }, false},
		"LaterIncarnation":    {func(w *WorkerInfo) { w.IncarnationMs = maxIncarnationMs + 1 }, true},
		"IncarnationBelow0":   {func(w *WorkerInfo) { w.IncarnationMs = -1 }, true},
		"DrainLeftOfAnyValue": {func(w *WorkerInfo) { w.DrainLeftMs = math.MinInt64 }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := testWorker("w")
			test.change(&w)
			err := w.Check()
			assert.Equal(t, errors.Is(err, ErrBadWorker), test.bad, "%v", err)
			assert.Equal(t, err != nil, test.bad)
		})
	}
	// A million of the largest workers don't overflow a sum, also when best-effort tasks count twice.
	assert.NilError(t, largestWorker.Times(2_000_000).Check())
}

// A full reading during an odd registration of a worker took the worker for gone: its leases were not renewed.
func TestInvalidRegistrationUnlistsNoWorker(t *testing.T) {
	shrunk := testWorker("shrunk")
	shrunk.Capacity.MilliCores = 250
	c := readyCell(t, testWorker("good"), shrunk, testWorker("gone"))
	c.SetWorkers([]WorkerInfo{testWorker("good")}, []string{"shrunk", "unknown"}, 1100)
	assert.Assert(t, c.workers["good"].listed && c.workers["shrunk"].listed && !c.workers["gone"].listed)
	assert.Equal(t, c.workers["shrunk"].info.Capacity.MilliCores, int64(250))
	assert.Assert(t, c.workers["unknown"] == nil)
	c.SetWorkers([]WorkerInfo{testWorker("good")}, nil, 1200)
	assert.Assert(t, !c.workers["shrunk"].listed)
}
