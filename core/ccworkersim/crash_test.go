package ccworkersim

import (
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

var deadly = cccell.TaskID{Job: "deadly"}

// newCrashWorker returns a worker on which the task deadly crashes it after 30 ms, and every attempt runs for runMs.
func newCrashWorker(id string, runMs ms, c *Checker) *Worker {
	return &Worker{
		Info: cccell.WorkerInfo{ID: id, IncarnationMs: 1, Capacity: ccwork.Size{MilliCores: 4000, MemoryMB: 4000}}, MaxLeaseMs: 6000, Checker: c,
		Plan:    func(cccell.TaskID, int64) (ms, cccell.End, ccwork.Size) { return runMs, cccell.EndDone, ccwork.Size{} },
		Crashes: func(t cccell.TaskID) (ms, bool) { return 30, t == deadly },
	}
}

// newCrashChecker returns a checker for tasks that depend on no others and may fail once.
func newCrashChecker() *Checker {
	c := NewChecker()
	c.MaxAttempts = 1
	c.LongRunning = func(cccell.TaskID) bool { return false }
	c.DependsOn = func(cccell.TaskID) []cccell.TaskID { return nil }
	return c
}

// start orders a worker to start an attempt under a lease of the given length in ms.
func start(w *Worker, t cccell.TaskID, attempt, leaseMs int64, now ms) cccell.Reply {
	return w.Start(&cccell.StartOrder{
		OrderHeader: cccell.OrderHeader{IncarnationMs: w.Info.IncarnationMs, Token: 1}, Task: t, Attempt: attempt, LeaseUntilMs: w.Clock(now) + leaseMs,
	}, now)
}

func TestAttemptCrashesWorker(t *testing.T) {
	cases := map[string]struct {
		runMs   ms
		leaseMs int64
		up      bool
	}{
		"RunsOnAfterCrashTime":  {runMs: 100, leaseMs: 3000},
		"RunsUntilStopped":      {leaseMs: 3000},
		"EndsBefore":            {runMs: 20, leaseMs: 3000, up: true},
		"LeaseLapsesBeforehand": {runMs: 100, leaseMs: 20, up: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			checker := newCrashChecker()
			w := newCrashWorker("w", tc.runMs, checker)
			crashes := 0
			w.OnCrash = func() { crashes++ }
			neighbour := cccell.TaskID{Job: "neighbour"}
			assert.Equal(t, start(w, deadly, 1, tc.leaseMs, 1000).Outcome, cccell.Executed)
			assert.Equal(t, start(w, neighbour, 2, tc.leaseMs, 1000).Outcome, cccell.Executed)
			w.AdvanceTo(1029)
			assert.Assert(t, w.Up())
			w.AdvanceTo(1200)
			assert.Equal(t, w.Up(), tc.up)
			under, caused := checker.CrashedUnder(deadly)
			neighbourUnder, neighbourCaused := checker.CrashedUnder(neighbour)
			assert.Equal(t, neighbourCaused, 0)
			if tc.up {
				assert.Equal(t, crashes+under+caused+neighbourUnder, 0)
				return
			}
			assert.Equal(t, crashes, 1)
			assert.Equal(t, under, 1)
			assert.Equal(t, caused, 1)
			assert.Equal(t, neighbourUnder, 1)
			assert.Equal(t, checker.Live(deadly)+checker.Live(neighbour), 0)
			assert.Equal(t, start(w, neighbour, 3, tc.leaseMs, 1200).Outcome, cccell.Unsent)
			w.Restart(1300)
			assert.Equal(t, start(w, neighbour, 4, tc.leaseMs, 1300).Outcome, cccell.Executed)
		})
	}
}

// A worker that has been due to crash when a call arrives does not execute the call.
func TestNoCallAfterCrash(t *testing.T) {
	checker := newCrashChecker()
	w := newCrashWorker("w", 0, checker)
	start(w, deadly, 1, 3000, 1000)
	neighbour := cccell.TaskID{Job: "neighbour"}
	assert.Equal(t, start(w, neighbour, 2, 3000, 1100).Outcome, cccell.Unsent)
	assert.Equal(t, checker.Live(neighbour), 0)
}

// Of two tasks that were due to crash a worker, the second did not get to it.
func TestFirstCrashIsTheCause(t *testing.T) {
	checker := newCrashChecker()
	w := newCrashWorker("w", 0, checker)
	later := cccell.TaskID{Job: "later"}
	w.Crashes = func(t cccell.TaskID) (ms, bool) {
		if t == later {
			return 40, true
		}
		return 30, true
	}
	start(w, later, 1, 3000, 1000)
	start(w, deadly, 2, 3000, 1000)
	w.AdvanceTo(1200)
	_, caused := checker.CrashedUnder(deadly)
	assert.Equal(t, caused, 1)
	under, caused := checker.CrashedUnder(later)
	assert.Equal(t, under, 1)
	assert.Equal(t, caused, 0)
}

// A task may be started twice more after it has crashed three workers. Crashes with another cause don't count.
func TestCrashBudget(t *testing.T) {
	cases := map[string]struct {
		otherCrashes, starts, violations int
	}{
		"FiveStarts":        {starts: 5},
		"SixStarts":         {starts: 6, violations: 1},
		"OneLinePerTask":    {starts: 9, violations: 1},
		"CrashedByOthers":   {otherCrashes: 4, starts: 5},
		"CountedAllTheSame": {otherCrashes: 4, starts: 6, violations: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			checker := newCrashChecker()
			now := ms(1000)
			for i := range tc.otherCrashes + tc.starts {
				w := newCrashWorker("w", 0, checker)
				start(w, deadly, int64(i+1), 3000, now)
				if i < tc.otherCrashes {
					w.Crash(now + 10)
				}
				now += 100
				w.AdvanceTo(now)
				assert.Assert(t, !w.Up())
			}
			assert.Equal(t, len(checker.Violations), tc.violations, "%v", checker.Violations)
			under, caused := checker.CrashedUnder(deadly)
			assert.Equal(t, under, tc.otherCrashes+tc.starts)
			assert.Equal(t, caused, tc.starts)
		})
	}
}

// A failure whose end was lost with its worker may still have been read by a leader.
func TestFailuresIncludeLostEnds(t *testing.T) {
	checker := newCrashChecker()
	w := newCrashWorker("w", 10, checker)
	w.Plan = func(cccell.TaskID, int64) (ms, cccell.End, ccwork.Size) { return 10, cccell.EndFailed, ccwork.Size{} }
	start(w, deadly, 1, 3000, 1000)
	w.AdvanceTo(1020)
	w.Crash(1030)
	assert.Equal(t, checker.Failures(deadly), 1)
}
