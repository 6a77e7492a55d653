// Package ccjob holds the state of jobs: the stored record, and the driver that decides which tasks to start and to
// stop.
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
	// ErrDifferent reports that the job ID is already used for a different job.
	ErrDifferent = errors.New("job ID is in use for a different job")
	// ErrBadJob reports a job with an invalid ID, number of tasks or payload.
	ErrBadJob = errors.New("job is malformed")
	// ErrBucketFull reports that the stored value of the bucket has reached its size limit.
	ErrBucketFull = errors.New("bucket of job records is full")
)

// State is the state of a job.
type State string

const (
	// Accepted means that the job is in the store and has not ended.
	Accepted State = "Accepted"
	// Succeeded means that every task succeeded.
	Succeeded State = "Succeeded"
	// Failed means that a task failed as often as the job allows, or that no worker is large enough for it.
	Failed State = "Failed"
	// Cancelled means that the caller cancelled the job.
	Cancelled State = "Cancelled"
)

// Ended reports whether no more tasks of the job will be started.
func (s State) Ended() bool {
	return s != Accepted
}

// Task is one task of a job.
type Task struct {
	Payload []byte `json:",omitempty"`
	// State is "" until the end of the task is stored.
	State  ccwork.TaskState `json:",omitempty"`
	Result []byte           `json:",omitempty"`
}

// Job is the stored record of a job. Once accepted, a job must not be lost.
type Job struct {
	ID          string
	Team        string
	Kind        string
	Class       ccwork.Class
	Size        ccwork.Size
	Long        bool `json:",omitempty"`
	MaxFailures int
	Urgency     int `json:",omitempty"`
	// AcceptedAt and EndedAt are in Unix milliseconds by the wall clock of the process that wrote them.
	AcceptedAt int64
	EndedAt    int64 `json:",omitempty"`
	State      State
	Reason     string `json:",omitempty"`
	Tasks      []Task
}

// Limits of a job.
const (
	// MaxTasks is the maximum number of tasks of a job.
	MaxTasks = 2000
	// MaxPayload is the maximum size of a task's payload in bytes.
	MaxPayload = 16 << 10
	// MaxResult is the maximum size of a stored task result in bytes; longer results are truncated.
	MaxResult = 1 << 10
	// MaxIDBytes is the maximum length of an ID in bytes.
	MaxIDBytes = 128
)

// Check returns ErrBadJob or ccwork.ErrBadClass, wrapped with the reason, for an invalid job.
func (j *Job) Check() error {
	if err := CheckID(j.ID); err != nil {
		return err
	}
	if len(j.Tasks) == 0 || len(j.Tasks) > MaxTasks {
		return errors.Wrapf(ErrBadJob, "job has %d tasks; use 1 to %d", len(j.Tasks), MaxTasks)
	}
	for i := range j.Tasks {
		if len(j.Tasks[i].Payload) > MaxPayload {
			return errors.Wrapf(ErrBadJob, "payload of task %d is larger than %d bytes", i, MaxPayload)
		}
	}
	return j.Class.Check()
}

// CheckID returns ErrBadJob for an ID that is empty or too long, or contains a blank, a control character, or
// one of the separators / and # of keys and task IDs.
func CheckID(id string) error {
	if id == "" || len(id) > MaxIDBytes {
		return errors.Wrapf(ErrBadJob, "ID has %d bytes; use 1 to %d", len(id), MaxIDBytes)
	}
	for _, r := range id {
		if r <= ' ' || r == '/' || r == '#' || r == 0x7f {
			return errors.Wrapf(ErrBadJob, "ID contains %q; blanks, control characters, / and # are not accepted", r)
		}
	}
	return nil
}

// Key returns the key of a job, which is unique over all teams.
func Key(team, id string) string {
	return team + "/" + id
}

// Key returns the job's key, which is unique over all teams.
func (j *Job) Key() string {
	return Key(j.Team, j.ID)
}

// TaskID returns the ID of one attempt at a task, made of the job's key, the task's index and the attempt's number.
func TaskID(key string, index int, attempt uint64) string {
	return key + "#" + strconv.Itoa(index) + "." + strconv.FormatUint(attempt, 10)
}

// ParseTaskID splits an ID made by TaskID. It returns false for any other text.
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

// Bucket is the jobs of one bucket, stored as one value. Every change is idempotent, so that a write can be repeated
// when its reply was lost.
type Bucket struct {
	Jobs map[string]*Job
}

// Submit adds a job and returns the record in force. If a job with the same ID exists, that is the existing record; if
// the two differ in kind or number of tasks, Submit fails with ErrDifferent.
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

// Cancel cancels a job, or fails with ErrNoJob. A job that has ended does not change.
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

// Completion is the end of a task, or the failure of a job if Index is -1.
type Completion struct {
	Key    string
	Index  int
	State  ccwork.TaskState
	Result []byte
	// Reason is why the job failed.
	Reason string
}

// RecordCompletions records the ends of tasks and jobs. A job of which every task has succeeded ends.
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

// completeIfDone ends a job of which every task has succeeded.
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

// Prune deletes jobs that ended before a wall-clock time.
func (b *Bucket) Prune(before int64) {
	for key, j := range b.Jobs {
		if j.State.Ended() && j.EndedAt < before {
			delete(b.Jobs, key)
		}
	}
}
