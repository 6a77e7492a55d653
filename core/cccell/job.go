// Package cccell decides for one cell of workers: which task starts where and when, what an end
// means for its job, what has to be written to the store, and what a new leader may conclude from
// the workers' own lists. It is free of sockets and clocks: every method takes the present time,
// and what has to be sent is collected as orders. One goroutine calls a Cell.
package cccell

import (
	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// ErrBadJob reports a job that no order of its stages can run.
var ErrBadJob = errors.New("job is malformed")

const (
	// maxStages bounds the stages of a job; the largest job seen has 5.
	maxStages = 64
	// maxTasks bounds the tasks of a stage; the widest stage seen has 48.
	maxTasks = 4096
)

// AdviceConfig describes the policy service of a queue, which allows only some workers to run a stage.
type AdviceConfig struct {
	// DecideMs and PerWorkerMs give the time that one call takes: a fixed part, and one for each worker named.
	DecideMs    float64 `cbor:"1,keyasint,omitempty"`
	PerWorkerMs float64 `cbor:"2,keyasint,omitempty"`
	// ValidMs is how long a ticket can be used.
	ValidMs int64 `cbor:"3,keyasint,omitempty"`
}

// CallMs returns the time that a call naming n workers takes, in milliseconds.
func (a *AdviceConfig) CallMs(n int) int64 {
	return int64(a.DecideMs + a.PerWorkerMs*float64(n))
}

// Queue holds what the configuration says of a kind of work.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Service names the workers that run the tasks.
	Service string `cbor:"2,keyasint"`
	// Priority 0 goes first and may stop tasks of the others.
	Priority int `cbor:"3,keyasint,omitempty"`
	// MaxAttempts is the number of failures after which a task fails its job.
	MaxAttempts int `cbor:"4,keyasint,omitempty"`
	// TargetMs and SlackFactor give the aim: SlackFactor times the longest chain of work, and TargetMs more.
	TargetMs    int64   `cbor:"5,keyasint,omitempty"`
	SlackFactor float64 `cbor:"6,keyasint,omitempty"`
	// Advice is nil when every worker may run the tasks.
	Advice *AdviceConfig `cbor:"7,keyasint,omitempty"`
}

// Stage is a set of like tasks of a job.
type Stage struct {
	Count int         `cbor:"1,keyasint"`
	Size  ccwork.Size `cbor:"2,keyasint"`
	// EstimateMs is the caller's rough estimate of one task's run.
	EstimateMs int64 `cbor:"3,keyasint,omitempty"`
	// After lists the stages whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints says that the tasks save their progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang says that the tasks work only together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack says that the tasks are slower on several racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is one that the worker must have, "" for none.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack of the data, "" for none.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the stage on one worker; 0 is no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative says that several runs of one task may go side by side.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning says that the tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailLatencyMs is the bound of a serving task's response times; 0 is none.
	TailLatencyMs int64 `cbor:"14,keyasint,omitempty"`
	// BestEffortCPU says that the tasks use only cores that others leave idle.
	BestEffortCPU bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the number of tasks that the system itself may keep away at a time.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns what a task of the stage takes of a worker's room.
func (s *Stage) Reserved() ccwork.Size {
	size := s.Size
	if s.BestEffortCPU {
		size.MilliCores = 0
	}
	return size
}

// Job is a job as it was handed in. It never changes.
type Job struct {
	ID     string  `cbor:"1,keyasint"`
	Queue  Queue   `cbor:"2,keyasint"`
	Spec   string  `cbor:"3,keyasint"`
	Stages []Stage `cbor:"4,keyasint"`
	// ScheduledRuns is the number of scheduled runs; 0 means one run at once.
	ScheduledRuns int `cbor:"5,keyasint,omitempty"`
	// FirstRunMs is the due time of the first run and PeriodMs the time between two, in Unix milliseconds.
	FirstRunMs int64 `cbor:"6,keyasint,omitempty"`
	PeriodMs   int64 `cbor:"7,keyasint,omitempty"`
	// AcceptedMs is the time of day at the hand-in, in Unix milliseconds; it decides no rule.
	AcceptedMs int64 `cbor:"8,keyasint,omitempty"`
}

// Check returns ErrBadJob for a job that can't be run as described.
func (j *Job) Check() error {
	if j.ID == "" || len(j.Stages) == 0 || len(j.Stages) > maxStages {
		return errors.Wrapf(ErrBadJob, "%d stages", len(j.Stages))
	}
	if j.ScheduledRuns < 0 || j.PeriodMs < 0 {
		return errors.Wrap(ErrBadJob, "schedule is negative")
	}
	for i := range j.Stages {
		s := &j.Stages[i]
		if s.Count < 1 || s.Count > maxTasks {
			return errors.Wrapf(ErrBadJob, "stage %d has %d tasks", i, s.Count)
		}
		if err := s.Size.Check(); err != nil {
			return errors.Mark(errors.Wrapf(err, "stage %d", i), ErrBadJob)
		}
		for _, after := range s.After {
			if after < 0 || after >= i {
				return errors.Wrapf(ErrBadJob, "stage %d comes after stage %d", i, after)
			}
		}
	}
	return nil
}

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Stages {
		if j.Stages[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPathMs returns the longest chain of estimated work, in milliseconds.
func (j *Job) CriticalPathMs() int64 {
	ends := make([]int64, len(j.Stages))
	var longest int64
	for i := range j.Stages {
		var begin int64
		for _, after := range j.Stages[i].After {
			begin = max(begin, ends[after])
		}
		ends[i] = begin + j.Stages[i].EstimateMs
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskID names a task: a job, the number of its run (0 unless scheduled), the stage, the task.
type TaskID struct {
	Job   string
	Run   int
	Stage int
	Index int
}

// StageID names a stage of one run of a job.
type StageID struct {
	Job   string
	Run   int
	Stage int
}

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	Queued    State = "Queued"
	Running   State = "Running"
	Completed State = "Completed"
	Failed    State = "Failed"
	Cancelled State = "Cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// Check returns ErrBadJob for any other text.
func (s State) Check() error {
	switch s {
	case "", Queued, Running, Completed, Failed, Cancelled:
		return nil
	}
	return errors.Wrapf(ErrBadJob, "state %q", string(s))
}

// ms shortens signatures.
type ms = ccclock.Millis
