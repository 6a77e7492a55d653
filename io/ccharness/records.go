package ccharness

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"time"

	"coriandercross/core/ccjob"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccstandin"

	"github.com/cockroachdb/errors"
)

// Execution is one execution of an attempt of a task, as recorded by its worker.
type Execution struct {
	Worker string
	// Task is the ID of the attempt; StripAttempt returns that of the task.
	Task string
	// StartMs and EndMs are in Unix milliseconds. If the record has no end, EndMs is the time at which the worker was
	// killed or, if it was not killed, at which the record was read.
	StartMs int64
	EndMs   int64
	State   ccwork.TaskState
	Size    ccwork.Size
}

// Verdict holds the executions in the workers' records, and the violations found in them.
type Verdict struct {
	Executions []Execution
	// RanConcurrently lists the IDs of tasks of which two executions overlapped in time.
	RanConcurrently []string
	// Overcommitted lists the IDs of workers on which a task was started that exceeded the worker's capacity.
	Overcommitted []string
}

// StripAttempt returns the ID of the task or request that an attempt belongs to. This is the part of the attempt's ID
// that all attempts share: TEAM/JOB#TASK for a task of a job, TEAM/REQUEST for a request.
func StripAttempt(attempt string) string {
	if key, _, _, ok := ccjob.ParseTaskID(attempt); ok {
		tail := strings.TrimPrefix(attempt, key)
		return key + tail[:strings.LastIndexByte(tail, '.')]
	}
	request, _, _ := strings.Cut(attempt, "~")
	return request
}

// CheckRecords reads the workers' records and looks for violations. It can be called while the system runs.
func (c *Cluster) CheckRecords() (Verdict, error) {
	var v Verdict
	for _, w := range c.Workers {
		executions, over, err := readRecord(w)
		if err != nil {
			return v, err
		}
		if over {
			v.Overcommitted = append(v.Overcommitted, w.VM.ID)
		}
		v.Executions = append(v.Executions, executions...)
	}
	v.RanConcurrently = concurrentlyRun(v.Executions)
	return v, nil
}

// readRecord reads the record of one worker. It returns over as true if the worker recorded a start that exceeded its
// capacity. The worker checks this itself, because it knows the order in which tasks arrived.
func readRecord(w *Worker) (out []Execution, over bool, err error) {
	f, err := os.Open(w.Record)
	if err != nil {
		return nil, false, errors.Wrap(err, "opening a record")
	}
	defer func() { _ = f.Close() }()
	open := map[string]int{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var e ccstandin.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			// The last line may be incomplete, if the worker was killed or is writing it.
			break
		}
		over = over || e.Over
		if e.State == ccwork.Running {
			open[e.Task] = len(out)
			out = append(out, Execution{Worker: e.Worker, Task: e.Task, StartMs: e.AtMs, State: e.State, Size: e.Size})
			continue
		}
		i, ok := open[e.Task]
		if !ok {
			return nil, over, errors.Newf("record of %s has an end but no start of task %s", e.Worker, e.Task)
		}
		out[i].EndMs = e.AtMs
		out[i].State = e.State
		delete(open, e.Task)
	}
	end := time.Now().UnixMilli()
	if w.KilledAtMs > 0 {
		end = w.KilledAtMs
	}
	for _, i := range open {
		out[i].EndMs = end
	}
	return out, over, errors.Wrap(lines.Err(), "reading a record")
}

// concurrentlyRun returns the sorted IDs of the tasks of which two executions overlap in time.
func concurrentlyRun(executions []Execution) []string {
	byTask := map[string][]Execution{}
	for _, e := range executions {
		task := StripAttempt(e.Task)
		byTask[task] = append(byTask[task], e)
	}
	var out []string
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b Execution) int { return int(a.StartMs - b.StartMs) })
		for i := 1; i < len(runs); i++ {
			if runs[i].StartMs < runs[i-1].EndMs {
				out = append(out, task)
				break
			}
		}
	}
	slices.Sort(out)
	return out
}

// StartCounts returns the number of executions of each task, by the ID that StripAttempt returns.
func (v *Verdict) StartCounts() map[string]int {
	out := map[string]int{}
	for _, e := range v.Executions {
		out[StripAttempt(e.Task)]++
	}
	return out
}

// Succeeded returns the tasks of which an execution succeeded, by the ID that StripAttempt returns.
func (v *Verdict) Succeeded() map[string]bool {
	out := map[string]bool{}
	for _, e := range v.Executions {
		if e.State == ccwork.Succeeded {
			out[StripAttempt(e.Task)] = true
		}
	}
	return out
}
