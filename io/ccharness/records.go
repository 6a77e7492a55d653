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

// Execution is one run of one task on one worker.
type Execution struct {
	Worker  string
	Task    string
	StartMs int64
	EndMs   int64
	State   ccwork.TaskState
	Size    ccwork.Size
}

// Verdict is what the workers' records show.
type Verdict struct {
	Executions []Execution
	// RanConcurrently are works that ran in two places at once.
	RanConcurrently []string
	// Overcommitted are workers that were given more than they hold.
	Overcommitted []string
}

// StripAttempt returns the work that a task is a try of: the part of its ID that all tries share.
func StripAttempt(task string) string {
	if key, _, _, ok := ccjob.ParseTaskID(task); ok {
		tail := strings.TrimPrefix(task, key)
		return key + tail[:strings.LastIndexByte(tail, '.')]
	}
	work, _, _ := strings.Cut(task, "~")
	return work
}

// Judge reads the workers' records.
func (c *Cluster) CheckRecords() (Verdict, error) {
	var v Verdict
	for _, w := range c.Workers {
		intervals, over, err := readRecord(w)
		if err != nil {
			return v, err
		}
		if over {
			v.Overcommitted = append(v.Overcommitted, w.VM.ID)
		}
		v.Executions = append(v.Executions, intervals...)
	}
	v.RanConcurrently = concurrentlyRun(v.Executions)
	return v, nil
}

// readRecord reads the record of one worker. Over is true when the worker, which sees its tasks in
// the order in which they came, noted a start beyond its capacity.
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
			// The last line of a killed worker may be cut.
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
			return nil, over, errors.Newf("record of %s ends task %s that never began", e.Worker, e.Task)
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

// concurrentlyRun returns the works of which two runs overlap.
func concurrentlyRun(intervals []Execution) []string {
	byWork := map[string][]Execution{}
	for _, i := range intervals {
		work := StripAttempt(i.Task)
		byWork[work] = append(byWork[work], i)
	}
	var out []string
	for work, runs := range byWork {
		slices.SortFunc(runs, func(a, b Execution) int { return int(a.StartMs - b.StartMs) })
		for i := 1; i < len(runs); i++ {
			if runs[i].StartMs < runs[i-1].EndMs {
				out = append(out, work)
				break
			}
		}
	}
	slices.Sort(out)
	return out
}

// Runs returns how often each work was begun.
func (v *Verdict) StartCounts() map[string]int {
	out := map[string]int{}
	for _, i := range v.Executions {
		out[StripAttempt(i.Task)]++
	}
	return out
}

// Succeeded returns the works that ended well at least once.
func (v *Verdict) Succeeded() map[string]bool {
	out := map[string]bool{}
	for _, i := range v.Executions {
		if i.State == ccwork.Succeeded {
			out[StripAttempt(i.Task)] = true
		}
	}
	return out
}
