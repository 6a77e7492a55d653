package ccintake

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestJobs checks whether a job of 100 bytes is accepted by a process that has 1000 bytes for jobs.
func TestJobs(t *testing.T) {
	tests := map[string]struct {
		limit, held, recent int64
		bytes               int64
		want                bool
	}{
		"Empty":                 {1000, 0, 0, 100, true},
		"LeavesRoom":            {1000, 800, 0, 100, true},
		"LeavesLess":            {1000, 801, 0, 100, false},
		"RecentCounts":          {1000, 400, 401, 100, false},
		"OrdinaryWhenFull":      {1000, 2000, 0, 0, true},
		"AloneAndLarge":         {1000, 0, 0, 5000, true},
		"AnotherProcessHasLess": {200, 100, 0, 100, false},
		"AnotherProcessHasMore": {5000, 801, 0, 100, false},
		"LeaderTellsNoLimit":    {0, 801, 0, 100, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			j := NewJobs(1000)
			j.Learn(test.limit, test.held)
			j.recent = test.recent
			assert.Equal(t, j.Accept(test.bytes), test.want)
			if test.want {
				j.Forget(test.bytes)
			}
			assert.Equal(t, j.recent, test.recent)
		})
	}
	unbounded := NewJobs(0)
	for range 2 {
		assert.Assert(t, unbounded.Accept(1<<40))
	}
}
