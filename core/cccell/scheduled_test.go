package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A job of very many runs that are all due took all memory of the leader at once, and that of each next one.
func TestRunsOfAJobAreOpenedInPart(t *testing.T) {
	tests := map[string]struct {
		runs, tasks int
		// most is the largest number of runs that may be open.
		most int
	}{
		"ManyRuns":  {20_000, 1, 2000},
		"WideRuns":  {300, maxTasks, 100},
		"AFewStill": {50, 4, 50},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w"))
			j := testJob("a", test.tasks)
			j.ScheduledRuns = test.runs
			assert.NilError(t, j.Check())
			c.AddJob(j, 1100, 1100)
			n := len(c.jobs["a"].runs)
			assert.Assert(t, n <= test.most, "%d runs", n)
			assert.Assert(t, n >= min(test.runs, 16), "%d runs", n)
		})
	}
}

// All runs of a job are carried out, also when more are due than are opened at once.
func TestAllRunsOfAJobAreCarriedOut(t *testing.T) {
	const runs = 1500
	c := readyCell(t, testWorker("w"))
	pollAll(t, c, 1000+minPollIntervalMs+10, nil) // The first poll was sent before the handover.
	j := testJob("a", 1)
	j.ScheduledRuns = runs
	c.AddJob(j, 1100, 1100)
	lists := &TaskLists{}
	seen := map[int]bool{}
	for now := ms(1200); c.jobs["a"].final == "" && now < 200_000; now += 50 {
		out := pollAll(t, c, now, map[string]*TaskLists{"w": lists})
		for i := range out.Starts {
			o := &out.Starts[i]
			assert.Assert(t, !seen[o.Task.Run], "run %d began twice", o.Task.Run)
			seen[o.Task.Run] = true
			c.OnStartReply(o, executedReply(now), now)
			lists.Ended = append(lists.Ended, EndedTask{Number: int64(len(lists.Ended) + 1), Task: o.Task, Attempt: o.Attempt, End: EndDone})
		}
	}
	assert.Equal(t, c.jobs["a"].final, Completed)
	assert.Equal(t, len(seen), runs)
}
