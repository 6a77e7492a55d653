// Package cccell schedules the tasks of one cell of workers. It decides which task starts where and when, derives the
// states of jobs from the ends of attempts, decides what is written to the store, and reconstructs after a takeover
// what runs, from the workers' own task lists. It uses no sockets and no clock: every method gets the current time, and
// calls to be made are returned as orders. A Cell may be used by one goroutine at a time.
package cccell

import (
	"coriandercross/core/ccclock"
	"coriandercross/core/cckey"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// ErrBadJob reports a job that can't be run as described.
var ErrBadJob = errors.New("job is malformed")

const (
	// MaxStages bounds the stages of a job. The largest job seen on the platform has 5.
	MaxStages = 64
	// maxTasks bounds the tasks of a stage. The widest stage seen on the platform has 48.
	maxTasks = 4096
)

// AdviceConfig describes the policy service of a queue, which decides which workers may run a stage.
type AdviceConfig struct {
	// DecideMs and PerWorkerMs give the duration of a call: a fixed part, and a part for each worker named.
	DecideMs    float64 `cbor:"1,keyasint,omitempty"`
	PerWorkerMs float64 `cbor:"2,keyasint,omitempty"`
	// ValidMs is the lifetime of a ticket.
	ValidMs int64 `cbor:"3,keyasint,omitempty"`
}

// CallMs returns the expected duration of a call that names n workers.
func (a *AdviceConfig) CallMs(n int) int64 {
	return int64(a.DecideMs + a.PerWorkerMs*float64(n))
}

// Queue is the configuration of a queue, with which all its jobs are run.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Service is the service of the workers that run the tasks.
	Service string `cbor:"2,keyasint"`
	// Priority gives jobs of a queue with a lower number a head start over others; 0 is the highest priority.
	Priority int `cbor:"3,keyasint,omitempty"`
	// MaxAttempts is the number of failed attempts of one task that fails the job.
	MaxAttempts int `cbor:"4,keyasint,omitempty"`
	// The latency target of a job is TargetMs plus SlackFactor times its critical path.
	TargetMs    int64   `cbor:"5,keyasint,omitempty"`
	SlackFactor float64 `cbor:"6,keyasint,omitempty"`
	// Advice is nil when every worker may run the tasks.
	Advice *AdviceConfig `cbor:"7,keyasint,omitempty"`
}

// Stage is a set of Count tasks with the same requirements.
type Stage struct {
	Count int         `cbor:"1,keyasint"`
	Size  ccwork.Size `cbor:"2,keyasint"`
	// EstimateMs is the caller's rough estimate of the duration of one task.
	EstimateMs int64 `cbor:"3,keyasint,omitempty"`
	// After holds the indexes of the stages that must be finished before this one starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is true when the tasks save checkpoints, from which a later attempt continues.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is true when the tasks can only run all at the same time.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is true when the tasks are slower if spread over several racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have, or empty.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the input data, or empty.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the stage on one worker; 0 means no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative is true when two attempts at one task may run at the same time, so that a straggler can be copied.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning is true when the tasks run until the job is cancelled; a task that ends is started again.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image is the program image that the tasks run.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailLatencyMs is the bound of the tail latency of a task that serves requests; 0 means no bound. It is not used
	// for placement.
	TailLatencyMs int64 `cbor:"14,keyasint,omitempty"`
	// BestEffortCPU is true when the tasks use only cores that other tasks leave idle.
	BestEffortCPU bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the number of tasks that the system may have stopped at a time by its own decision. It is not
	// used for placement.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the capacity that a task of the stage reserves at a worker.
func (s *Stage) Reserved() ccwork.Size {
	size := s.Size
	if s.BestEffortCPU {
		size.MilliCores = 0
	}
	return size
}

// Job is a job as submitted. It is never changed.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Queue Queue  `cbor:"2,keyasint"`
	// Spec is passed to the workers unchanged.
	Spec   string  `cbor:"3,keyasint"`
	Stages []Stage `cbor:"4,keyasint"`
	// ScheduledRuns is the number of scheduled runs; 0 means one run that starts at once.
	ScheduledRuns int `cbor:"5,keyasint,omitempty"`
	// FirstRunMs is the due time of the first run in Unix milliseconds, PeriodMs the interval between two runs.
	FirstRunMs int64 `cbor:"6,keyasint,omitempty"`
	PeriodMs   int64 `cbor:"7,keyasint,omitempty"`
	// AcceptedMs is the time of day at which the job was accepted, in Unix milliseconds. It affects only the order in
	// which jobs are placed, so a wrong clock breaks no invariant.
	AcceptedMs int64 `cbor:"8,keyasint,omitempty"`
	// Team is the name of the team that submitted the job, or empty if the configuration has no teams.
	Team string `cbor:"9,keyasint,omitempty"`
	// Key is the API key with which the job was submitted, or 0.
	Key cckey.ID `cbor:"10,keyasint,omitempty"`
	// Returning is true if the caller had used a part of its time when it submitted the job to the process that accepted it:
	// another process may have got it before.
	Returning bool `cbor:"11,keyasint,omitempty"`
}

// Owner says who may read and cancel a job.
type Owner struct {
	// Team is the name of the team at the time of the submission, or empty for a job that belongs to no team.
	Team string `cbor:"1,keyasint,omitempty"`
	// Key is the API key with which the job was submitted. If the team has been renamed since, its keys tell who it is.
	Key cckey.ID `cbor:"2,keyasint,omitempty"`
	// Queue is the name of the job's queue.
	Queue string `cbor:"3,keyasint,omitempty"`
}

// Owner returns the owner of the job, the zero value if it belongs to no team.
func (j *Job) Owner() Owner {
	if j.Team == "" {
		return Owner{}
	}
	return Owner{Team: j.Team, Key: j.Key, Queue: j.Queue.Name}
}

// Check returns ErrBadJob for a job that can't be run as described.
func (j *Job) Check() error {
	if j.ID == "" || len(j.Stages) == 0 || len(j.Stages) > MaxStages {
		return errors.Wrapf(ErrBadJob, "job has no ID, or %d stages; use 1 to %d", len(j.Stages), MaxStages)
	}
	if j.ScheduledRuns < 0 || j.PeriodMs < 0 {
		return errors.Wrap(ErrBadJob, "number of scheduled runs or period is negative")
	}
	for i := range j.Stages {
		s := &j.Stages[i]
		if s.Count < 1 || s.Count > maxTasks {
			return errors.Wrapf(ErrBadJob, "stage %d has %d tasks; use 1 to %d", i, s.Count, maxTasks)
		}
		if err := s.Size.Check(); err != nil {
			return errors.Mark(errors.Wrapf(err, "stage %d", i), ErrBadJob)
		}
		for _, after := range s.After {
			if after < 0 || after >= i {
				return errors.Wrapf(ErrBadJob, "stage %d depends on stage %d, which is not before it", i, after)
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

// CriticalPathMs returns the estimated duration of the longest chain of dependent stages.
func (j *Job) CriticalPathMs() int64 {
	return j.longestChainMs(func(i int) int64 { return j.Stages[i].EstimateMs })
}

// longestChainMs returns the duration of the longest chain of dependent stages, with given durations of the stages.
func (j *Job) longestChainMs(durationMs func(stage int) int64) int64 {
	ends := make([]int64, len(j.Stages))
	var longest int64
	for i := range j.Stages {
		var begin int64
		for _, after := range j.Stages[i].After {
			begin = max(begin, ends[after])
		}
		ends[i] = begin + durationMs(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskID identifies a task by job, run number (0 unless scheduled), stage and index. Its field names appear in logs.
type TaskID struct {
	Job   string
	Run   int
	Stage int
	Index int
}

// StageID identifies a stage of one run of a job.
type StageID struct {
	Job   string
	Run   int
	Stage int
}

// State is the state of a job as published to callers.
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

// Check returns ErrBadJob for an unknown state. The empty state is valid.
func (s State) Check() error {
	switch s {
	case "", Queued, Running, Completed, Failed, Cancelled:
		return nil
	}
	return errors.Wrapf(ErrBadJob, "unknown state %q", string(s))
}

// ms is a time or a duration in milliseconds.
type ms = ccclock.Millis
