// Package ccjob keeps jobs: what was accepted, what ended, and what has to be started next.
package ccjob

import (
	"strconv"
	"strings"

	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// Errors of jobs.
var (
	// ErrNoJob reports an unknown job.
	ErrNoJob = errors.New("no such job")
	// ErrDifferent reports a job ID that is in use for other work.
	ErrDifferent = errors.New("job ID is in use for a different job")
	// ErrBadJob reports a job without tasks, or with a bad name.
	ErrBadJob = errors.New("job is malformed")
	// ErrBucketFull reports that the store's value for this bucket has reached its size limit.
	ErrBucketFull = errors.New("bucket of job records is full")
)

// State is how far a job has come.
type State string

const (
	// Accepted means that the job is in the store.
	Accepted State = "Accepted"
	// Succeeded means that every task ended well.
	Succeeded State = "Succeeded"
	// Failed means that a task used up its failures, or can never be placed.
	Failed State = "Failed"
	// Cancelled means that the caller withdrew the job.
	Cancelled State = "Cancelled"
)

// Ended reports whether nothing more will be started for the job.
func (s State) Ended() bool {
	return s != Accepted
}

// Task is one task of a job.
type Task struct {
	Payload []byte `json:",omitempty"`
	// State is "" until the task's end is recorded.
	State  ccwork.TaskState `json:",omitempty"`
	Result []byte           `json:",omitempty"`
}

// Job is a piece of work that must not be lost.
type Job struct {
	ID          string
	Team        string
	Kind        string
	Class       ccwork.Class
	Size        ccwork.Size
	Long        bool `json:",omitempty"`
	MaxFailures int
	Urgency     int `json:",omitempty"`
	// AcceptedAt and EndedAt are in Unix milliseconds of the writer's wall clock.
	AcceptedAt int64
	EndedAt    int64 `json:",omitempty"`
	State      State
	Reason     string `json:",omitempty"`
	Tasks      []Task
}

// Limits of a job.
const (
	// MaxTasks bounds the tasks of one job.
	MaxTasks = 2000
	// MaxPayload bounds a task's payload, in bytes.
	MaxPayload = 16 << 10
	// MaxResult bounds a task's result, in bytes; the rest is cut.
	MaxResult = 1 << 10
	// MaxName bounds an ID, in bytes.
	MaxName = 128
)

// Check returns ErrBadJob with what is wrong.
func (j *Job) Check() error {
	if err := CheckName(j.ID); err != nil {
		return err
	}
	if len(j.Tasks) == 0 || len(j.Tasks) > MaxTasks {
		return errors.Wrapf(ErrBadJob, "%d tasks; use 1 to %d", len(j.Tasks), MaxTasks)
	}
	for i := range j.Tasks {
		if len(j.Tasks[i].Payload) > MaxPayload {
			return errors.Wrapf(ErrBadJob, "payload of task %d is over %d bytes", i, MaxPayload)
		}
	}
	return j.Class.Check()
}

// CheckName returns ErrBadJob for an ID that is empty, too long, or has letters that keys use.
func CheckName(id string) error {
	if id == "" || len(id) > MaxName {
		return errors.Wrapf(ErrBadJob, "ID has %d bytes; use 1 to %d", len(id), MaxName)
	}
	for _, r := range id {
		if r <= ' ' || r == '/' || r == '#' || r == 0x7f {
			return errors.Wrapf(ErrBadJob, "ID has %q; blanks, control characters, / and # are not accepted", r)
		}
	}
	return nil
}

// Key names a job across teams.
func Key(team, id string) string {
	return team + "/" + id
}

// Key names the job across teams.
func (j *Job) Key() string {
	return Key(j.Team, j.ID)
}

// TaskID names one attempt of one task: the job's key, the index and the attempt.
func TaskID(key string, index int, attempt uint64) string {
	return key + "#" + strconv.Itoa(index) + "." + strconv.FormatUint(attempt, 10)
}

// ParseTaskID splits a name made by TaskID. It returns false for any other text.
func ParseTaskID(id string) (key string, index int, attempt uint64, ok bool) {
	key, tail, ok := strings.Cut(id, "#")
	if !ok {
		return "", 0, 0, false
	}
	left, right, ok := strings.Cut(tail, ".")
	if !ok {
		return "", 0, 0, false
	}
	index, err := strconv.Atoi(left)
	if err != nil {
		return "", 0, 0, false
	}
	attempt, err = strconv.ParseUint(right, 10, 64)
	return key, index, attempt, err == nil
}

// Bucket is one bucket of jobs, kept as one value of the store. Each change may be applied twice
// with the effect of once, so that a write whose reply was lost can be repeated.
type Bucket struct {
	Jobs map[string]*Job
}

// Submit adds a job. It returns the record in force, which is an earlier one when the ID is
// known, and fails with ErrDifferent when that one is other work.
func (b *Bucket) Submit(j *Job) (*Job, error) {
	if b.Jobs == nil {
		b.Jobs = map[string]*Job{}
	}
	old := b.Jobs[j.Key()]
	if old == nil {
		b.Jobs[j.Key()] = j
		return j, nil
	}
	if old.Kind != j.Kind || len(old.Tasks) != len(j.Tasks) {
		return nil, errors.Wrapf(ErrDifferent, "%q", j.ID)
	}
	return old, nil
}

// Cancel withdraws a job. It fails with ErrNoJob; a job that has ended stays as it is.
func (b *Bucket) Cancel(key string, at int64) (*Job, error) {
	j := b.Jobs[key]
	if j == nil {
		return nil, errors.Wrapf(ErrNoJob, "%q", key)
	}
	if !j.State.Ended() {
		j.State = Cancelled
		j.EndedAt = at
	}
	return j, nil
}

// Completion is the recorded end of a task, or of a job when Index is -1.
type Completion struct {
	Key    string
	Index  int
	State  ccwork.TaskState
	Result []byte
	// Reason of a job's failure.
	Reason string
}

// RecordCompletions notes completions, and ends the jobs that are complete by them.
func (b *Bucket) RecordCompletions(completions []Completion, at int64) {
	for _, e := range completions {
		j := b.Jobs[e.Key]
		if j == nil || j.State.Ended() && e.Index < 0 {
			continue
		}
		if e.Index < 0 {
			j.State = Failed
			j.Reason = e.Reason
			j.EndedAt = at
			continue
		}
		j.Tasks[e.Index].State = e.State
		j.Tasks[e.Index].Result = e.Result
		j.completeIfDone(at)
	}
}

// completeIfDone ends a job of which every task succeeded.
func (j *Job) completeIfDone(at int64) {
	if j.State.Ended() {
		return
	}
	for i := range j.Tasks {
		if j.Tasks[i].State != ccwork.Succeeded {
			return
		}
	}
	j.State = Succeeded
	j.EndedAt = at
}

// Prune drops jobs that ended before the given wall-clock time.
func (b *Bucket) Prune(before int64) {
	for key, j := range b.Jobs {
		if j.State.Ended() && j.EndedAt < before {
			delete(b.Jobs, key)
		}
	}
}
