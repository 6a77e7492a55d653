package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// doneList returns the lists of a worker at which the attempts have ended successfully, numbered from 1.
func doneList(starts []StartOrder) *TaskLists {
	l := &TaskLists{}
	for i := range starts {
		l.Ended = append(l.Ended, EndedTask{Number: int64(i + 1), Task: starts[i].Task, Attempt: starts[i].Attempt, End: EndDone})
	}
	return l
}

// An unstored job that its team has cancelled is dropped and its tasks are stopped; that of another team runs on.
func TestWithdrawnJobIsStopped(t *testing.T) {
	for name, test := range map[string]struct {
		team string
		want bool
	}{"SameTeam": {"", true}, "OtherTeam": {"other", false}} {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w1"))
			assert.Assert(t, c.AddUnstored(testJob("j", 2), false, 1100, 1100))
			starts := runStarts(c, 1110)
			assert.Equal(t, len(starts), 2)
			c.Withdraw("j", test.team, 1200)
			c.Withdraw("unknown", test.team, 1200)
			out := runRound(c, 1210)
			assert.Equal(t, len(out.Stops) > 0, test.want)
			assert.Equal(t, c.UnstoredCount() == 0, test.want)
			assert.Equal(t, len(c.NextWrites(31, 1300)), 0)
		})
	}
}

// A job that is not stored yet runs, but callers and the store learn nothing of it, and its worker goes on listing the
// ends of its tasks. Once it is stored, all of that follows.
func TestUnstoredJobRunsUnseen(t *testing.T) {
	c := readyCell(t, testWorker("w1"))
	assert.Assert(t, c.AddUnstored(testJob("j", 2), false, 1100, 1100))
	starts := runStarts(c, 1110)
	assert.Equal(t, len(starts), 2)
	out := pollAll(t, c, 1200, map[string]*TaskLists{"w1": doneList(starts)})
	assert.Equal(t, len(out.Polls), 1)
	assert.Equal(t, c.jobs["j"].final, Completed)
	out = runRound(c, 2000)
	assert.Equal(t, len(out.Changes), 0)
	assert.Equal(t, c.PendingWrites(), 0)
	assert.Equal(t, len(c.NextWrites(31, 2000)), 0)
	assert.Equal(t, c.workers["w1"].ackedEnd, int64(0))
	assert.Assert(t, !c.HasJob("j"))
	assert.Equal(t, len(c.States()), 0)

	c.AddReportedJob(testJob("j", 2), false, 2100, 2100)
	assert.Equal(t, len(c.TakeOrders().Changes), 1)
	writes := c.NextWrites(31, 2100)
	assert.Equal(t, len(writes), 1)
	c.OnWritten(writes, 7, 2110)
	assert.Equal(t, c.jobs["j"].published, Completed)
	assert.Equal(t, c.workers["w1"].ackedEnd, int64(2))
	assert.Equal(t, c.UnstoredCount(), 0)
}

// While the store is down for four seconds, urgent jobs come every 100 ms. Those that have been stored when the store is
// back have been done by then; without running them before, each would only begin.
func TestOutageDoesNotHoldUpWork(t *testing.T) {
	const backAt = 5000
	c := readyCell(t, testWorker("w1"), testWorker("w2"))
	running := map[attemptKey]ms{}
	number := int64(0)
	for now := ms(1000); now < backAt; now += 20 {
		if now%100 == 0 {
			c.AddUnstored(testJob(now.Duration().String(), 2), false, now, now)
		}
		for _, o := range runStarts(c, now) {
			running[attemptKey{o.Task, o.Attempt}] = now
		}
		for key, at := range running {
			if now-at >= 500 {
				delete(running, key)
				number++
				w := c.jobs[key.task.Job].runs[0].stages[0].tasks[key.task.Index][0].worker
				c.recordEnd(w, &EndedTask{Number: number, Task: key.task, Attempt: key.number, End: EndDone}, now)
			}
		}
	}
	done := 0
	for id, j := range c.jobs {
		c.AddReportedJob(j.spec, false, backAt, backAt)
		if j.arrivedAt < backAt-700 {
			assert.Equal(t, j.final, Completed, id)
			done++
		}
	}
	assert.Assert(t, done >= 30, "%d done", done)
	assert.Assert(t, c.PendingWrites() >= done)
}

// A leader dies while the store is down and a job runs that is not stored. When the job is submitted again, its next
// leader must neither repeat the task that was done nor the one that runs.
func TestNextLeaderFindsUnstoredWork(t *testing.T) {
	const attempt = 1<<attemptBits + 1
	task := func(index int) TaskID { return TaskID{Job: "j", Index: index} }
	lists := &TaskLists{
		Running: []RunningTask{{Task: task(1), Attempt: attempt}},
		Ended:   []EndedTask{{Number: 1, Task: task(0), Attempt: attempt, End: EndDone}},
	}
	c := New(Config{Token: 2, LeaseMs: 4000, PriorLeaseMs: 4000, AuthorityMs: 60_000, RemoteFactor: 2, PriorUnstored: true}, 1000)
	c.SetWorker(testWorker("w1"), 1000)
	pollAll(t, c, 1000, map[string]*TaskLists{"w1": lists})
	pollAll(t, c, 1030, map[string]*TaskLists{"w1": lists})
	out := runRound(c, 1100)
	assert.Equal(t, len(out.Stops), 0) // The job may still come.
	c.AddReportedJob(testJob("j", 3), true, 1150, 1150)
	starts := runStarts(c, 1160)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Task, task(2))
	assert.Equal(t, c.workers["w1"].ackedEnd, int64(0))
	writes := c.NextWrites(31, 1200)
	assert.Equal(t, len(writes), 1)
	c.OnWritten(writes, 9, 1210)
	assert.Equal(t, c.workers["w1"].ackedEnd, int64(1))
}

// The tasks of a job that nobody submits again are stopped. Their ends are acknowledged once they are stored, and a job that
// comes even later is not repeated, by the same leader or by one that follows.
func TestUnknownWorkIsEnded(t *testing.T) {
	const attempt = 1<<attemptBits + 1
	done, running := TaskID{Job: "j"}, TaskID{Job: "k"}
	lists := &TaskLists{
		Running: []RunningTask{{Task: running, Attempt: attempt}}, Ended: []EndedTask{{Number: 1, Task: done, Attempt: attempt, End: EndDone}},
	}
	c := New(Config{Token: 2, LeaseMs: 4000, PriorLeaseMs: 4000, AuthorityMs: 60_000, RemoteFactor: 2, PriorUnstored: true}, 1000)
	c.SetWorker(testWorker("w1"), 1000)
	pollAll(t, c, 1000, map[string]*TaskLists{"w1": lists})
	out := runRound(c, 1000+strayGraceMs+1)
	assert.Equal(t, len(out.Stops), 1)
	assert.Equal(t, out.Stops[0].Task, running)
	assert.Equal(t, c.PendingWrites(), 0)
	now := 1000 + unknownWriteAfterMs
	runRound(c, now)
	assert.Equal(t, c.PendingWrites(), 1)
	writes := c.NextWrites(31, now)
	assert.Equal(t, len(writes), 1)
	assert.Assert(t, writes[0].Unknown)
	assert.Equal(t, c.PendingWrites(), 0)
	w := c.workers["w1"]
	w.advanceAck(60_000)
	assert.Equal(t, w.ackedEnd, int64(0))
	c.RequeueWrites(writes, nil)
	writes = c.NextWrites(31, now)
	c.OnWritten(writes, 9, now)
	assert.Equal(t, w.ackedEnd, int64(1))

	next := New(Config{Token: 3, LeaseMs: 4000, PriorLeaseMs: 4000, AuthorityMs: 60_000, RemoteFactor: 2, PriorUnstored: true}, now)
	next.AdoptUnknownEnds("j", &writes[0].Progress, 9, now)
	for _, c := range []*Cell{c, next} {
		c.AddReportedJob(testJob("j", 1), false, now+30_000, now+30_000)
		assert.Equal(t, c.jobs["j"].final, Completed)
		final := c.NextWrites(31, now+30_000)
		assert.Equal(t, len(final), 1)
		assert.Assert(t, final[0].EndsStored) // The record is removed with the submission.
	}
}

// A new leader does not know whether a job was begun before it was stored if it has found the job in the store, or if the
// caller may have been at another process. A job that was found waits for a worker that does not reply, and so do the others
// if the prior leader has run jobs that were not stored, as tasks of unknown jobs show; else they start at once.
func TestDoubtfulJobWaitsForSilentWorkers(t *testing.T) {
	const attempt = 1<<attemptBits + 1
	stray := &TaskLists{Running: []RunningTask{{Task: TaskID{Job: "unknown"}, Attempt: attempt}}}
	ended := &TaskLists{Ended: []EndedTask{{Number: 1, Task: TaskID{Job: "unknown"}, Attempt: attempt, End: EndDone}}}
	tests := map[string]struct {
		lists                      *TaskLists
		returning, reported, begun bool
		later                      ms
		want                       int
	}{
		"Found":                      {lists: ended, want: 0},
		"FoundWithoutUnstoredJobs":   {lists: &TaskLists{}, want: 0},
		"Reported":                   {lists: ended, reported: true, want: 0},
		"ReportedWithoutUnstored":    {lists: &TaskLists{}, reported: true, want: 1},
		"Returning":                  {lists: ended, reported: true, returning: true, want: 0},
		"ReturningBesideStray":       {lists: stray, reported: true, returning: true, want: 0},
		"ReturningWithoutUnstored":   {lists: &TaskLists{}, reported: true, returning: true, want: 1},
		"Begun":                      {lists: &TaskLists{}, reported: true, begun: true, want: 0},
		"ReturningLongAfterTakeover": {lists: ended, reported: true, returning: true, later: 4000, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(Config{Token: 2, LeaseMs: 4000, PriorLeaseMs: 9000, AuthorityMs: 60_000, RemoteFactor: 2, PriorUnstored: true}, 1000)
			c.SetHandover(1000)
			for _, id := range []string{"w1", "w2", "silent"} {
				c.SetWorker(testWorker(id), 1000)
			}
			c.Schedule(1000, 1000)
			out := c.TakeOrders()
			for i := range out.Polls {
				r, lists := executedReply(1000), &TaskLists{}
				switch out.Polls[i].WorkerID {
				case "silent":
					r = Reply{Outcome: ReplyLost}
				case "w1":
					lists = test.lists
				}
				c.OnPollReply(&out.Polls[i], r, lists, 1000)
			}
			now := 1100 + test.later
			j := testJob("j", 1)
			j.Returning = test.returning
			c.AddJob(j, now, now)
			if test.reported {
				c.AddReportedJob(j, test.begun, now, now)
			}
			assert.Equal(t, len(runStarts(c, now+10)), test.want)
		})
	}
}

// A job that can't be stored, since its ID is taken, ends without a trace, and does not hold up acknowledgements.
func TestDroppedJobHoldsUpNothing(t *testing.T) {
	c := readyCell(t, testWorker("w1"))
	c.AddUnstored(testJob("j", 2), false, 1100, 1100)
	starts := runStarts(c, 1110)
	lists := doneList(starts[:1])
	lists.Running = []RunningTask{{Task: starts[1].Task, Attempt: starts[1].Attempt}}
	pollAll(t, c, 1200, map[string]*TaskLists{"w1": lists})
	c.DropUnstored("j", 1300)
	assert.Equal(t, c.PendingWrites(), 0)
	out := runRound(c, 1310)
	assert.Equal(t, len(out.Stops), 1)
	c.workers["w1"].advanceAck(1310)
	assert.Equal(t, c.workers["w1"].ackedEnd, int64(1))
}

// A second leader acknowledged the end of a task whose job it did not know, and a third one, which was told of the job,
// started the task again.
func TestEndOfUnknownJobIsKept(t *testing.T) {
	const attempt = 1<<attemptBits + 1
	task := TaskID{Job: "j"}
	lists := &TaskLists{Ended: []EndedTask{{Number: 1, Task: task, Attempt: attempt, End: EndDone}}}
	second := New(Config{Token: 2, LeaseMs: 4000, PriorLeaseMs: 4000, AuthorityMs: 60_000, RemoteFactor: 2, PriorUnstored: true}, 1000)
	second.SetWorker(testWorker("w1"), 1000)
	for now := ms(1000); now < 40_000; now += 100 {
		out := pollAll(t, second, now, map[string]*TaskLists{"w1": lists})
		for i := range out.Polls {
			if out.Polls[i].AckedEnd >= 1 {
				lists = &TaskLists{} // The worker forgets the end, though nothing was written to the store.
			}
		}
	}
	third := New(Config{Token: 3, LeaseMs: 4000, PriorLeaseMs: 4000, AuthorityMs: 60_000, RemoteFactor: 2, PriorUnstored: true}, 40_000)
	third.SetWorker(testWorker("w1"), 40_000)
	for now := ms(40_000); now < 41_000; now += 100 {
		pollAll(t, third, now, map[string]*TaskLists{"w1": lists})
	}
	third.AddReportedJob(testJob("j", 1), true, 41_000, 41_000)
	assert.Equal(t, len(runStarts(third, 41_010)), 0)
}

// A leader whose clock was behind acknowledged the end of a task of a scheduled run that was not due by its clock, and
// started the task again when the run was due.
func TestEndOfRunThatIsNotDueIsKept(t *testing.T) {
	const attempt = 1<<attemptBits + 1
	spec := testJob("j", 1)
	spec.ScheduledRuns, spec.FirstRunMs, spec.PeriodMs = 2, 10_000, 50_000
	for name, lists := range map[string]*TaskLists{
		"Done":    {Ended: []EndedTask{{Number: 1, Task: TaskID{Job: "j"}, Attempt: attempt, End: EndDone}}},
		"Running": {Running: []RunningTask{{Task: TaskID{Job: "j"}, Attempt: attempt}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(Config{Token: 2, LeaseMs: 4000, PriorLeaseMs: 4000, AuthorityMs: 60_000, RemoteFactor: 2, PriorUnstored: true}, 1000)
			c.SetWorker(testWorker("w1"), 1000)
			c.Adopt(StoredJob{Job: spec}, 1000, 9000)
			for now := ms(1000); now < 2500; now += 100 { // The run is due at 2000.
				c.Schedule(now, now+8000)
				out := c.TakeOrders()
				assert.Equal(t, len(out.Starts)+len(out.Stops), 0)
				for i := range out.Polls {
					assert.Equal(t, out.Polls[i].AckedEnd, int64(0))
					c.OnPollReply(&out.Polls[i], executedReply(now), lists, now)
				}
			}
		})
	}
}
