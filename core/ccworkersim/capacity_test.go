package ccworkersim

import (
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// A start that brings a worker over its capacity is a violation, from the grace period after the worker has shrunk on.
// Attempts that run continue and count.
func TestStartOverCapacityIsViolation(t *testing.T) {
	cores := func(n int64) ccwork.Size { return ccwork.Size{MilliCores: 1000 * n, MemoryMB: 100 * n} }
	type change struct {
		at    ms
		cores int64
	}
	tests := map[string]struct {
		changes []change
		// startAt is the time of a start of one core, while attempts of four cores run since 0.
		startAt    ms
		violations int
	}{
		"Full":                {startAt: 1000},
		"WithinGrace":         {changes: []change{{1000, 4}}, startAt: 5200},
		"AfterGrace":          {changes: []change{{1000, 4}}, startAt: 5300, violations: 1},
		"ToNothing":           {changes: []change{{1000, 0}}, startAt: 5300, violations: 1},
		"ShrunkAndStillFits":  {changes: []change{{1000, 5}}, startAt: 5300},
		"GrownAgain":          {changes: []change{{1000, 0}, {6000, 16}}, startAt: 6000},
		"StepsWithinGrace":    {changes: []change{{1000, 8}, {4000, 0}}, startAt: 8200},
		"StepsAfterGrace":     {changes: []change{{1000, 4}, {4000, 0}}, startAt: 5300, violations: 1},
		"GrownForAMoment":     {changes: []change{{1000, 0}, {6000, 16}, {6100, 0}}, startAt: 10_300},
		"GrownForAMomentLong": {changes: []change{{1000, 0}, {6000, 16}, {6100, 0}}, startAt: 10_400, violations: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewChecker()
			c.ShrinkGraceMs, c.MaxAttempts = 4300, 3
			c.LongRunning = func(cccell.TaskID) bool { return false }
			c.DependsOn = func(cccell.TaskID) []cccell.TaskID { return nil }
			w := &Worker{
				Info: cccell.WorkerInfo{ID: "w", Capacity: cores(16)}, MaxLeaseMs: 60_000, Checker: c,
				Plan: func(cccell.TaskID, int64) (ms, cccell.End, ccwork.Size) { return 0, cccell.EndDone, cores(1) },
			}
			start := func(index int, now ms) {
				r := w.Start(&cccell.StartOrder{Task: cccell.TaskID{Job: "j", Index: index}, Attempt: 1, LeaseUntilMs: 60_000}, now)
				assert.Equal(t, r.Outcome, cccell.Executed)
			}
			for i := range 4 {
				start(i, 0)
			}
			for _, ch := range test.changes {
				w.SetCapacity(cores(ch.cores), ch.at)
			}
			start(4, test.startAt)
			assert.Equal(t, len(c.Violations), test.violations, "%v", c.Violations)
		})
	}
}
