package cccell

import (
	"fmt"
	"runtime"
	"testing"

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
