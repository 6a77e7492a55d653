package cccell

import (
	"slices"
	"testing"

	"coriandercross/core/ccwork"

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

// A task that a prior leader started in a run that this leader would start later is adopted, and its end counts.
func TestLaterRunOfPriorLeaderIsKnown(t *testing.T) {
	const later = 1400
	task := TaskID{Job: "a", Run: later}
	tests := map[string]struct {
		lists  TaskLists
		starts bool // A task of the run is started again.
		known  bool
	}{
		"Running":     {TaskLists{Running: []RunningTask{{Task: task, Attempt: 1}}}, false, true},
		"Done":        {TaskLists{Ended: []EndedTask{{Number: 1, Task: task, Attempt: 1, End: EndDone}}}, false, true},
		"Failed":      {TaskLists{Ended: []EndedTask{{Number: 1, Task: task, Attempt: 1, End: EndFailed}}}, true, true},
		"OutOfRange":  {TaskLists{Running: []RunningTask{{Task: TaskID{Job: "a", Run: 1500}, Attempt: 1}}}, false, false},
		"NotListed":   {TaskLists{}, false, false},
		"NegativeRun": {TaskLists{Running: []RunningTask{{Task: TaskID{Job: "a", Run: -1}, Attempt: 1}}}, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			c.SetHandover(1000)
			w := testWorker("w")
			w.Capacity = ccwork.Size{MilliCores: 2_000_000, MemoryMB: 1_000_000}
			c.SetWorker(w, 1000)
			j := testJob("a", 1)
			j.ScheduledRuns = 1500
			j.Queue.MaxAttempts = 3
			c.Adopt(StoredJob{Job: j}, 1000, 1000)
			pollAll(t, c, 1010, map[string]*TaskLists{"w": &test.lists})
			open, done := c.jobs["a"].runs[later] != nil, c.jobs["a"].doneRuns.Has(later)
			assert.Equal(t, open || done, test.known)
			assert.Equal(t, done, name == "Done")
			assert.Assert(t, !open || !done)
			started := false
			for now := ms(1050); now < 1500; now += 50 {
				c.ExtendAuthority(now + 1000)
				out := pollAll(t, c, now, map[string]*TaskLists{"w": &test.lists})
				for i := range out.Starts {
					started = started || out.Starts[i].Task == task
				}
				if test.known {
					assert.Equal(t, len(out.Stops), 0)
				}
			}
			assert.Equal(t, started, test.starts)
		})
	}
}

// The prior leader stored that a run was done and was lost before the workers had forgotten its ends. What they still list of
// that run began it again.
func TestRunThatIsDoneIsNotReopened(t *testing.T) {
	const doneRun, attempt = 0, 1
	last := TaskID{Job: "a", Run: doneRun, Stage: 1}
	first := TaskID{Job: "a", Run: doneRun, Stage: 0, Index: 1}
	ended := func(task TaskID, end End) *TaskLists {
		return &TaskLists{Ended: []EndedTask{{Number: 1, Task: task, Attempt: attempt, End: end}}}
	}
	tests := map[string]struct {
		lists *TaskLists
		// unknown are stored ends of the job, as found while it was not known.
		unknown *Progress
		stopped bool
	}{
		"Nothing":         {lists: &TaskLists{}},
		"LastEnd":         {lists: ended(last, EndDone)},
		"EndOfFirstStage": {lists: ended(first, EndDone)},
		"Failed":          {lists: ended(first, EndFailed)},
		"Lapsed":          {lists: ended(first, EndLapsed)},
		"StillRunning":    {lists: &TaskLists{Running: []RunningTask{{Task: first, Attempt: attempt}}}, stopped: true},
		"EndsOfUnknownJob": {lists: &TaskLists{}, unknown: &Progress{Runs: map[int]RunProgress{
			doneRun: {Stages: map[int]StageProgress{1: {Done: []uint64{1}}}},
		}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			c.SetHandover(1000)
			c.SetWorker(testWorker("w"), 1000)
			j := testJob("a", 2)
			j.Stages = append(j.Stages, Stage{Count: 1, Size: j.Stages[0].Size, EstimateMs: 500, After: []int{0}})
			j.ScheduledRuns, j.Queue.MaxAttempts = 2, 1
			c.Adopt(StoredJob{Job: j, Progress: &Progress{Runs: map[int]RunProgress{doneRun: {Done: true}}}, Revision: 1}, 1000, 1000)
			if test.unknown != nil {
				c.AdoptUnknownEnds("a", test.unknown, 1, 1000)
			}
			var started []TaskID
			stopped := false
			for now := ms(1010); now < 3000; now += 50 {
				out := pollAll(t, c, now, map[string]*TaskLists{"w": test.lists})
				for i := range out.Starts {
					started = append(started, out.Starts[i].Task)
					c.OnStartReply(&out.Starts[i], executedReply(now), now)
					test.lists.Running = append(test.lists.Running, RunningTask{Task: out.Starts[i].Task, Attempt: out.Starts[i].Attempt})
				}
				for i := range out.Stops {
					if o := &out.Stops[i]; o.Task.Run == doneRun {
						stopped = true
						test.lists.Running = slices.DeleteFunc(test.lists.Running, func(r RunningTask) bool { return r.Task == o.Task })
					}
				}
			}
			assert.DeepEqual(t, started, []TaskID{{Job: "a", Run: 1}, {Job: "a", Run: 1, Index: 1}})
			assert.Equal(t, stopped, test.stopped)
			assert.Equal(t, c.jobs["a"].final, State(""))
		})
	}
}

// A set of runs holds what was added in any order, as few ranges.
func TestRunSet(t *testing.T) {
	tests := map[string]struct {
		add  []int
		want RunSet
	}{
		"Empty":      {nil, nil},
		"Rising":     {[]int{0, 1, 2}, RunSet{{0, 2}}},
		"Falling":    {[]int{2, 1, 0}, RunSet{{0, 2}}},
		"Gaps":       {[]int{5, 1, 9}, RunSet{{1, 1}, {5, 5}, {9, 9}}},
		"GapsFilled": {[]int{0, 2, 4, 3, 1}, RunSet{{0, 4}}},
		"JoinsNext":  {[]int{7, 6, 3}, RunSet{{3, 3}, {6, 7}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s RunSet
			for _, n := range test.add {
				assert.Assert(t, !s.Has(n))
				s.add(n)
			}
			assert.DeepEqual(t, s, test.want)
			assert.NilError(t, s.Check())
			assert.Equal(t, s.Count(), len(test.add))
			for _, n := range test.add {
				assert.Assert(t, s.Has(n))
			}
			assert.Assert(t, !s.Has(100) && !s.Has(-1))
		})
	}
	for name, bad := range map[string]RunSet{"Negative": {{-1, 2}}, "Empty": {{3, 2}}, "OutOfOrder": {{5, 6}, {1, 2}}, "Touching": {{1, 2}, {3, 4}}, "Overlapping": {{1, 5}, {4, 8}}} {
		assert.ErrorIs(t, bad.Check(), ErrBadProgress, name)
	}
}

// The progress of a job with very many done runs became too large to be read, so that the next leader started it from its first
// run again. It stays small, also if an earlier release has listed the runs one by one.
func TestProgressOfManyRuns(t *testing.T) {
	tests := map[string]struct {
		done   int
		ranges int // In the record that the next leader reads.
	}{
		"Few":      {done: maxListedRuns - 1, ranges: 0},
		"Many":     {done: 5000, ranges: 1},
		"VeryMany": {done: 200_000, ranges: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			j := testJob("a", 1)
			j.ScheduledRuns = test.done + 2
			stored := Progress{Runs: map[int]RunProgress{}}
			for n := range test.done {
				stored.Runs[n] = RunProgress{Done: true}
			}
			for term := int64(2); term <= 3; term++ { // The second one reads the format of this release.
				c := testCell(term, 1000)
				c.SetHandover(1000)
				c.SetWorker(testWorker("w"), 1000)
				c.Adopt(StoredJob{Job: j, Progress: &stored, Revision: 1}, 1000, 1000)
				assert.Assert(t, len(c.jobs["a"].runs) <= 2)
				pollAll(t, c, 1010, nil)
				starts := runStarts(c, 1050)
				assert.Equal(t, len(starts), 2)
				for _, o := range starts {
					assert.Assert(t, o.Task.Run >= test.done, "run %d starts again", o.Task.Run)
				}
				stored = c.jobs["a"].progress(1050)
				assert.Equal(t, len(stored.DoneRuns), test.ranges)
				assert.NilError(t, stored.Check())
				if test.ranges > 0 {
					assert.Assert(t, len(stored.Runs) <= 2)
				}
			}
		})
	}
}

// A job whose progress can't be read is not run from its beginning, whoever tells of it. It can be cancelled.
func TestJobWithUnreadableProgressIsNotRun(t *testing.T) {
	for name, runs := range map[string]int{"Once": 0, "Scheduled": 3} {
		t.Run(name, func(t *testing.T) {
			c := testCell(2, 1000)
			c.SetHandover(1000)
			c.SetWorker(testWorker("w"), 1000)
			j := testJob("j", 1)
			j.ScheduledRuns = runs
			c.Adopt(StoredJob{Job: j, Revision: 7, Unreadable: true}, 1000, 1000)
			c.AddJob(j, 1010, 1010)
			c.AddReportedJob(j, true, 1010, 1010)
			assert.Assert(t, c.AddUnstored(j, false, 1010, 1010))
			assert.Assert(t, c.HasJob("j"))
			lists := &TaskLists{Ended: []EndedTask{{Number: 1, Task: TaskID{Job: "j"}, Attempt: priorAttempt, End: EndLapsed}}}
			for now := ms(1020); now < 1500; now += 50 {
				out := pollAll(t, c, now, map[string]*TaskLists{"w": lists})
				assert.Equal(t, len(out.Starts), 0)
			}
			assert.Assert(t, c.Cancel("j", 1500))
			writes := c.NextWrites(31, 1500)
			assert.Equal(t, len(writes), 1)
			assert.Equal(t, writes[0].Revision, int64(7))
			assert.Equal(t, writes[0].Progress.State, Cancelled)
		})
	}
}
