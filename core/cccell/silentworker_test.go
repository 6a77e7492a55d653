package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// handoverAtMs is when the authority of the prior leader ends, and newMs a time long after it.
	handoverAtMs ms = 1000
	newMs        ms = handoverAtMs + 4100
	// silentLeaseMs is the length of the leases of the prior leader.
	silentLeaseMs ms = 9000
)

// priorAttempt is the number of an attempt of the prior leader.
const priorAttempt = 1<<attemptBits + 1

// silentCell is a cell of a second leader with three workers, one of which does not reply.
type silentCell struct {
	*Cell
	t *testing.T
	// lists has the lists of the workers that reply.
	lists map[string]*TaskLists
}

// newSilentCell returns a cell that has not polled its workers yet.
func newSilentCell(t *testing.T) *silentCell {
	c := &silentCell{t: t, lists: map[string]*TaskLists{}, Cell: New(Config{
		Token: 2, LeaseMs: 4000, PriorLeaseMs: silentLeaseMs, AuthorityMs: 60_000, RemoteFactor: 2, PriorUnstored: true,
	}, handoverAtMs)}
	c.SetHandover(handoverAtMs)
	for _, id := range []string{"w1", "w2", "silent"} {
		c.SetWorker(testWorker(id), handoverAtMs)
	}
	return c
}

// round runs a round in which all workers but the silent one reply, and returns the started tasks.
func (c *silentCell) round(now ms) []TaskID {
	c.t.Helper()
	c.Schedule(now, now)
	out := c.TakeOrders()
	var started []TaskID
	for i := range out.Starts {
		o := &out.Starts[i]
		started = append(started, o.Task)
		lists := c.listsOf(o.WorkerID)
		lists.Running = append(lists.Running, RunningTask{Task: o.Task, Attempt: o.Attempt})
		c.OnStartReply(o, executedReply(now), now)
	}
	for i := range out.Polls {
		r, lists := executedReply(now), c.listsOf(out.Polls[i].WorkerID)
		if out.Polls[i].WorkerID == "silent" {
			r = Reply{Outcome: ReplyLost, Sent: now, Received: now}
		}
		c.OnPollReply(&out.Polls[i], r, lists, now)
	}
	return started
}

// listsOf returns the lists of a worker, which a test may change.
func (c *silentCell) listsOf(worker string) *TaskLists {
	if c.lists[worker] == nil {
		c.lists[worker] = &TaskLists{}
	}
	return c.lists[worker]
}

// doneByPrior and runByPrior are the lists of a worker with an attempt of the prior leader at the second task of "j".
func doneByPrior() TaskLists {
	return TaskLists{Ended: []EndedTask{{Number: 1, Task: TaskID{Job: "j", Index: 1}, Attempt: priorAttempt, End: EndDone}}}
}

func runByPrior() TaskLists {
	return TaskLists{Running: []RunningTask{{Task: TaskID{Job: "j", Index: 1}, Attempt: priorAttempt}}}
}

// otherByPrior are the lists of a worker with an attempt of the prior leader at another job.
func otherByPrior() TaskLists {
	return TaskLists{Running: []RunningTask{{Task: TaskID{Job: "other"}, Attempt: priorAttempt}}}
}

// Tasks started beside their runs on a worker that did not reply, since a process had reported the job as not begun by the
// prior leader, or nothing was reported of it.
func TestTasksWaitForSilentWorkerThatMayRunThem(t *testing.T) {
	type step = func(c *silentCell, j *Job, now ms)
	report := func(begun bool) step {
		return func(c *silentCell, j *Job, now ms) { c.AddReportedJob(j, begun, now, now) }
	}
	begin := func(begun bool) step {
		return func(c *silentCell, j *Job, now ms) { assert.Assert(c.t, c.AddUnstored(j, begun, now, now)) }
	}
	mark := func(c *silentCell, j *Job, _ ms) { c.MarkBegun(j.ID) }
	markOther := func(c *silentCell, _ *Job, _ ms) { c.MarkBegun("other") }
	other := func(c *silentCell, _ *Job, now ms) { c.AddReportedJob(testJob("other", 1), true, now, now) }
	priorRan := func(c *silentCell, _ *Job, _ ms) { c.NotePriorUnstored() }
	found := func(c *silentCell, j *Job, now ms) { c.AddJob(j, now, now) }
	list := func(lists TaskLists) step { return func(c *silentCell, _ *Job, _ ms) { *c.listsOf("w1") = lists } }
	tests := map[string]struct {
		// before is done before the first polls, after once these are answered.
		before, after []step
		returning     bool
		// at is the time of after.
		at ms
	}{
		// Other workers list attempts of the prior leader at the job.
		"ReportedAndRunsElsewhere":      {before: []step{list(runByPrior())}, after: []step{report(false)}},
		"ReportedAndDoneElsewhere":      {before: []step{list(doneByPrior())}, after: []step{report(false)}},
		"UnstoredAndRunsElsewhere":      {before: []step{list(runByPrior())}, after: []step{begin(false)}},
		"UnstoredAndDoneElsewhere":      {before: []step{list(doneByPrior())}, after: []step{begin(false)}},
		"FoundAndRunsElsewhere":         {before: []step{list(runByPrior())}, after: []step{found}},
		"FoundReportedAndRunsElsewhere": {before: []step{list(runByPrior())}, after: []step{found, report(false)}},
		"ReportedBeforeListsAreRead":    {before: []step{list(runByPrior()), report(false)}},
		"ReportedBeforeEndsAreRead":     {before: []step{list(doneByPrior()), report(false)}},
		"UnstoredBeforeListsAreRead":    {before: []step{list(runByPrior()), begin(false)}},
		"LateReportAndRunsElsewhere":    {before: []step{list(runByPrior())}, after: []step{report(false)}, at: newMs},
		// Two processes have the job, and one knows that it was begun.
		"ReportedThenBegun":         {after: []step{report(false), begin(true)}},
		"ReportedThenReportedBegun": {after: []step{report(false), report(true)}},
		"UnstoredThenBegun":         {after: []step{begin(false), begin(true)}},
		"UnstoredThenReportedBegun": {after: []step{begin(false), report(true)}},
		"BegunThenReported":         {after: []step{begin(true), report(false)}},
		"BegunThenUnstored":         {after: []step{begin(true), begin(false)}},
		"BegunThenFound":            {after: []step{begin(true), found}},
		"FoundThenBegun":            {after: []step{found, begin(true)}},
		// A prior leader has run a job of which nobody has told.
		"UnclaimedRuns": {before: []step{list(otherByPrior())}, after: []step{report(false)}},
		"UnclaimedEnd":  {before: []step{list(TaskLists{Ended: []EndedTask{{Number: 1, Task: TaskID{Job: "other"}, Attempt: priorAttempt, End: EndDone}}})}, after: []step{begin(false)}},
		// The prior leader ran unstored jobs, and the process that held them may be lost with it.
		"PriorRanUnstored":         {before: []step{priorRan}, after: []step{report(false)}},
		"PriorRanUnstoredToldLate": {after: []step{report(false), priorRan}},
		"MarkedThenReported":       {after: []step{mark, report(false)}},
		"MarkedThenUnstored":       {after: []step{mark, begin(false)}},
		"ReportedThenMarked":       {after: []step{report(false), mark}},
		// Nothing is known of the job but that the store has it, or that its caller may have been elsewhere.
		"Found":                    {after: []step{found}},
		"FoundBeforeLists":         {before: []step{found}},
		"ReturningBesideUnclaimed": {before: []step{list(otherByPrior())}, after: []step{report(false)}, returning: true},
		"ReturningBesideClaimed":   {before: []step{list(otherByPrior())}, after: []step{other, report(false)}, returning: true},
		"ReturningBesideMarked":    {after: []step{markOther, report(false)}, returning: true},
		"ReturningUnstored":        {before: []step{list(otherByPrior())}, after: []step{other, begin(false)}, returning: true},
		"FoundThenReportedBegun":   {after: []step{found, report(true)}},
		"ReportedBegunLate":        {after: []step{report(true)}, at: handoverAtMs + 2000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newSilentCell(t)
			j := testJob("j", 3)
			j.Returning = test.returning
			for _, do := range test.before {
				do(c, j, handoverAtMs)
			}
			now := handoverAtMs
			assert.Equal(t, len(c.round(now)), 0, "started before the workers were read")
			if now += 100; test.at > 0 {
				now = test.at
			}
			for _, do := range test.after {
				do(c, j, now)
			}
			leasesEnd := c.workers["silent"].priorLeasesEndAt
			for ; now < leasesEnd; now += 100 {
				started := c.round(now)
				assert.Equal(t, len(started), 0, "%v started %d ms before the leases of the silent worker end", started, leasesEnd-now)
			}
			started := map[TaskID]bool{}
			for ; now < leasesEnd+500; now += 100 {
				for _, id := range c.round(now) {
					assert.Assert(t, !started[id], "%v started twice", id)
					started[id] = true
				}
			}
			assert.Assert(t, started[TaskID{Job: "j"}], "the missing task did not start once the leases had ended")
		})
	}
}

// A job that no prior leader can have begun is not held up by a silent worker.
func TestNewJobsDoNotWaitForSilentWorker(t *testing.T) {
	tests := map[string]struct {
		at        ms
		returning bool
		lists     TaskLists
		add       func(c *silentCell, j *Job, now ms)
	}{
		"Reported": {at: newMs, add: func(c *silentCell, j *Job, now ms) { c.AddReportedJob(j, false, now, now) }},
		"Unstored": {at: newMs, add: func(c *silentCell, j *Job, now ms) { c.AddUnstored(j, false, now, now) }},
		"UnstoredThenReported": {at: newMs, add: func(c *silentCell, j *Job, now ms) {
			c.AddUnstored(j, false, now, now)
			c.AddReportedJob(j, false, now, now)
		}},
		"AnotherJobRuns": {at: newMs, lists: otherByPrior(), add: func(c *silentCell, j *Job, now ms) {
			c.AddReportedJob(testJob("other", 1), true, now, now)
			c.AddReportedJob(j, false, now, now)
		}},
		"SilentWorkerHasLapsed": {at: handoverAtMs + maxLeaseDuration(silentLeaseMs), returning: true, add: func(c *silentCell, j *Job, now ms) { c.AddUnstored(j, true, now, now) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newSilentCell(t)
			*c.listsOf("w1") = test.lists
			c.round(handoverAtMs)
			j := testJob("j", 3)
			j.AcceptedMs, j.Returning = int64(test.at), test.returning
			test.add(c, j, test.at)
			assert.Equal(t, len(c.round(test.at)), 3)
		})
	}
}
