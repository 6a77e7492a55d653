package ccworkersim

import (
	"fmt"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// TestStartOverCapIsViolation checks both bounds: the cap, and that of the platform, the cap, a tenth of it and the task
// that starts. Tasks on all workers count until they have ended.
func TestStartOverCapIsViolation(t *testing.T) {
	cores := func(n int64) ccwork.Size { return ccwork.Size{MilliCores: 1000 * n, MemoryMB: 100 * n} }
	tests := map[string]struct {
		cap     ccwork.Size
		overrun int64
		// running tasks of one core of the team start at 0, and others tasks of another team, on four workers.
		running, others int
		// endsAt is when the running tasks end, 0 for never. At 1000, a task of two cores starts.
		endsAt     ms
		violations int
	}{
		"NoCap":              {ccwork.Size{}, 10, 14, 0, 0, 0},
		"Below":              {cores(10), 10, 9, 0, 0, 0},
		"AtOverrun":          {cores(10), 10, 11, 0, 0, 0},
		"AboveOverrun":       {cores(10), 10, 12, 0, 0, 1},
		"AtCap":              {cores(10), 0, 8, 0, 0, 0},
		"AboveCap":           {cores(10), 0, 9, 0, 0, 1},
		"OtherTeamCountsNot": {cores(4), 10, 4, 10, 0, 0},
		"Ended":              {cores(10), 10, 12, 0, 900, 0},
		"NotEnded":           {cores(10), 10, 12, 0, 1100, 1},
		"OnlyMemory":         {ccwork.Size{MemoryMB: 500}, 10, 6, 0, 0, 1},
		"FirstIsTooLarge":    {cores(1), 0, 0, 0, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewChecker()
			c.MaxAttempts, c.CapOverrun = 3, test.overrun
			c.LongRunning = func(cccell.TaskID) bool { return false }
			c.DependsOn = func(cccell.TaskID) []cccell.TaskID { return nil }
			c.Team = func(t cccell.TaskID) (string, ccwork.Size) { return t.Job, cores(int64(1 + t.Stage)) }
			c.Cap = func(team string, now ms) ccwork.Size {
				if team == "a" && now > 0 {
					return test.cap
				}
				return ccwork.Size{}
			}
			workers := make([]*Worker, 4)
			for i := range workers {
				workers[i] = &Worker{
					Info: cccell.WorkerInfo{ID: fmt.Sprint(i), Capacity: cores(64)}, MaxLeaseMs: 60_000, Checker: c,
					Plan: func(task cccell.TaskID, _ int64) (ms, cccell.End, ccwork.Size) {
						return test.endsAt * ms(1-task.Stage), cccell.EndDone, cores(int64(1 + task.Stage))
					},
				}
			}
			start := func(task cccell.TaskID, now ms) {
				r := workers[task.Index%len(workers)].Start(&cccell.StartOrder{Task: task, Attempt: 1, LeaseUntilMs: 60_000}, now)
				assert.Equal(t, r.Outcome, cccell.Executed)
			}
			for i := range test.running {
				start(cccell.TaskID{Job: "a", Index: i}, 0)
			}
			for i := range test.others {
				start(cccell.TaskID{Job: "b", Index: i}, 0)
			}
			start(cccell.TaskID{Job: "a", Stage: 1}, 1000)
			assert.Equal(t, len(c.Violations), test.violations, "%v", c.Violations)
		})
	}
}
