package cccell

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// widestJob returns a job with as many stages and tasks as a job may have.
func widestJob(id string) *Job {
	j := testJob(id, maxTasks)
	for len(j.Stages) < MaxStages {
		j.Stages = append(j.Stages, j.Stages[0])
	}
	return j
}

// TestWideJobsOccupyLittleBeforeTheyRun checks what tasks that wait occupy. A list for each of them took 6 MB a job, so that
// a hundred small submissions filled the memory of a leader.
func TestWideJobsOccupyLittleBeforeTheyRun(t *testing.T) {
	const jobs, mostBytes = 20, 512 << 10
	c := readyCell(t, testWorker("w"))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range jobs {
		c.AddJob(widestJob(fmt.Sprint(i)), 1100, 1100)
	}
	runtime.ReadMemStats(&after)
	bytes := (after.TotalAlloc - before.TotalAlloc) / jobs
	assert.Assert(t, bytes <= mostBytes, "%d bytes a job", bytes)
}

// TestCountUnplaced checks the number of tasks to be started by states of the tasks.
func TestCountUnplaced(t *testing.T) {
	copied := &attempt{straggler: true}
	tests := map[string]struct {
		spec  Stage
		tasks [][]*attempt
		done  []int
		want  int
	}{
		"None":           {Stage{Count: 5}, nil, nil, 5},
		"Done":           {Stage{Count: 5}, nil, []int{0, 4}, 3},
		"Live":           {Stage{Count: 5}, [][]*attempt{{}, {{}}, {{}}}, nil, 3},
		"DoneAndLive":    {Stage{Count: 5}, [][]*attempt{{}, {{}}, {{}}}, []int{1, 3}, 2},
		"Straggler":      {Stage{Count: 2}, [][]*attempt{{copied}}, nil, 1},
		"CopiedOnce":     {Stage{Count: 2, Speculative: true}, [][]*attempt{{copied}}, nil, 2},
		"CopiedAlready":  {Stage{Count: 2, Speculative: true}, [][]*attempt{{copied, {}}}, nil, 1},
		"GangMemberLive": {Stage{Count: 5, Gang: true}, [][]*attempt{{{}}}, nil, 0},
		"Gang":           {Stage{Count: 5, Gang: true}, nil, nil, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &stage{spec: &test.spec, tasks: test.tasks, done: newBitset(test.spec.Count), moves: map[int]int{0: 1}}
			for _, i := range test.done {
				s.done.add(i)
			}
			assert.Equal(t, s.countUnplaced(), test.want)
		})
	}
}

// TestRunsOfAllJobsAreOpenedInPart checks that the runs of many scheduled jobs together stay within the memory for them, that
// each job has one, and that all are carried out.
func TestRunsOfAllJobsAreOpenedInPart(t *testing.T) {
	const jobs, runs, memory = 20, 100, 512 << 10
	c := readyCell(t, testWorker("w"))
	c.cfg.JobMemory = memory
	pollAll(t, c, 1000+minPollIntervalMs+10, nil) // The first poll was sent before the handover.
	for i := range jobs {
		j := testJob(fmt.Sprint(i), 1)
		j.ScheduledRuns = runs
		c.AddJob(j, 1100, 1100)
		assert.Assert(t, c.jobs[j.ID].openRuns() > 0)
	}
	lists := &TaskLists{}
	ended := func() bool {
		for _, j := range c.jobs {
			if j.final == "" {
				return false
			}
		}
		return true
	}
	for now := ms(1200); !ended() && now < 200_000; now += 50 {
		assert.Assert(t, c.JobBytes() <= memory, "%d bytes", c.JobBytes())
		out := pollAll(t, c, now, map[string]*TaskLists{"w": lists})
		for i := range out.Starts {
			o := &out.Starts[i]
			c.OnStartReply(o, executedReply(now), now)
			lists.Ended = append(lists.Ended, EndedTask{Number: int64(len(lists.Ended) + 1), Task: o.Task, Attempt: o.Attempt, End: EndDone})
		}
	}
	for id, j := range c.jobs {
		assert.Equal(t, j.final, Completed, id)
	}
	assert.Equal(t, c.JobBytes(), int64(0))
}

// TestLargeBytes checks what is counted of a job, and that it is given back when the job is dropped.
func TestLargeBytes(t *testing.T) {
	long := testJob("long", 1)
	long.Stages[0].Image = strings.Repeat("x", 100<<10)
	tests := map[string]struct {
		job         *Job
		least, most int64
	}{
		"Ordinary": {testJob("ordinary", 48), 0, 0},
		"Long":     {long, 80 << 10, 120 << 10},
		"Wide":     {widestJob("wide"), 64 << 10, 256 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, testWorker("w"))
			c.AddJob(test.job, 1100, 1100)
			n := c.JobBytes()
			assert.Assert(t, n >= test.least && n <= test.most, "%d bytes", n)
			c.Cancel(test.job.ID, 1200)
			c.OnWritten(c.NextWrites(100, 1200), 1, 1200)
			c.RemoveEndedJobs(1 << 40)
			assert.Equal(t, c.JobBytes(), int64(0))
		})
	}
}

// TestTasksWithoutSizeAreStartedInPart checks that tasks that ask for no capacity are not all started at once: live attempts and
// starts without a reply are bounded by the memory for jobs, and a start follows for each that has ended or was answered.
func TestTasksWithoutSizeAreStartedInPart(t *testing.T) {
	const memory = 256 * attemptBytes
	const pending = memory / startBytes
	c := readyCell(t, testWorker("w"))
	c.cfg.JobMemory = memory
	j := testJob("a", 1000)
	j.Stages[0].Size = ccwork.Size{}
	c.AddJob(j, 1100, 1100)
	c.Schedule(1200, 1200)
	first := c.TakeOrders().Starts
	assert.Equal(t, len(first), pending)
	c.Schedule(1210, 1210)
	assert.Equal(t, len(c.TakeOrders().Starts), 0, "no start has been answered")
	started := 0
	for now, starts := ms(1300), first; len(starts) > 0; now += 10 {
		for i := range starts {
			c.OnStartReply(&starts[i], executedReply(now), now)
		}
		started += len(starts)
		c.Schedule(now, now)
		starts = c.TakeOrders().Starts
	}
	assert.Equal(t, started, memory/attemptBytes)
	c.endAttempt(c.stageOf(first[0].Task).tasks[0][0], EndDone, "", 9000)
	c.Schedule(9000, 9000)
	assert.Equal(t, len(c.TakeOrders().Starts), 1)
}

// TestGangIsStartedWhole checks that a gang that is larger than the bound of starts is started, and whole.
func TestGangIsStartedWhole(t *testing.T) {
	c := readyCell(t, testWorker("w"))
	c.cfg.JobMemory = 2 * startBytes
	j := testJob("a", 12)
	j.Stages[0].Gang = true
	c.AddJob(j, 1100, 1100)
	c.Schedule(1200, 1200)
	assert.Equal(t, len(c.TakeOrders().Starts), 12)
}
