package ccjob

import (
	"coriandercross/core/ccclock"
)

// phase is the state of a task as the driver knows it.
type phase int

const (
	// waiting means that the task certainly does not run.
	waiting phase = iota
	// placing means that the task was sent to an owner of workers, and the reply is outstanding.
	placing
	// placed means that the task runs on a known worker.
	placed
	// inDoubt means that the task may run on any worker, since a reply was lost or the driver is new.
	inDoubt
	// ended means that the end of the task is in the store or about to be written, or that its job has ended.
	ended
)

// Driver decides which tasks of the jobs of one bucket to start and to stop. It is not safe for concurrent use. No
// method blocks. It may only be used while its process has authority over the bucket.
type Driver struct {
	epoch uint64
	jobs  map[string]*jobRun
	// readyAt is, by shard of workers, when the latest report that listed the shard as ready was requested.
	readyAt map[string]ccclock.Millis
	// completions are to be written to the store.
	completions []Completion
	// forgets and stops are the IDs of tasks that workers are to forget and to stop.
	forgets map[string]bool
	stops   map[string]bool
	loaded  bool
	// idleRounds counts the rounds since the driver last had work.
	idleRounds int
}

// jobRun is a job with the state that is not stored.
type jobRun struct {
	job      *Job
	tasks    []taskRun
	failures int
	// notBefore is the time before which no task of the job is started, after a failure to place or to run one. The
	// delay grows with backoffStep.
	notBefore   ccclock.Millis
	backoffStep int
	// restarting is true for a gang from the early end of one of its tasks until none of them runs.
	restarting bool
	jobEnded   bool
}

// taskRun is a task with the state that is not stored.
type taskRun struct {
	phase phase
	// attempt is the number of the attempt that runs or may run, and lastAttempt the highest that this driver has used.
	// No number is used twice, so that no two runs have the same task ID.
	attempt     uint64
	lastAttempt uint64
	// phaseSince is when the phase began.
	phaseSince ccclock.Millis
	// reportedAt is when the latest report that shows the task was requested.
	reportedAt ccclock.Millis
	shard      string
	worker     string
	failures   int
	// avoidWorker is the worker on which the task last failed.
	avoidWorker string
	result      []byte
	// succeeded is true for a task of a gang that is in doubt if one of its attempts has succeeded while another may
	// still run.
	succeeded bool
}

const (
	// attemptsPerEpoch is the size of the range of attempt numbers of each epoch, so that two drivers never use the
	// same number.
	attemptsPerEpoch = 1 << 20
	// The delay before the next start of a job's tasks is baseRetryDelay, doubled with each failure to place or to run
	// one. It is at most maxPlaceRetryDelay after a failure to place a task that is not part of a gang, and at most
	// maxRetryDelay otherwise.
	baseRetryDelay     = ccclock.Millis(200)
	maxPlaceRetryDelay = ccclock.Millis(400)
	maxRetryDelay      = ccclock.Millis(5_000)
)

// NewDriver returns a driver without jobs. The epoch is that of the ownership of the bucket.
func NewDriver(epoch uint64) *Driver {
	return &Driver{
		epoch:   epoch,
		jobs:    map[string]*jobRun{},
		readyAt: map[string]ccclock.Millis{},
		forgets: map[string]bool{},
		stops:   map[string]bool{},
	}
}

// Load updates the driver from the bucket as read from the store. An earlier driver may have started tasks of the jobs
// in the first load, but not of jobs that appear in a later one.
func (d *Driver) Load(b *Bucket, now ccclock.Millis) {
	first := !d.loaded
	d.loaded = true
	for key, j := range b.Jobs {
		r := d.jobs[key]
		if r == nil {
			if j.State.Ended() && !first {
				continue
			}
			d.jobs[key] = d.newRun(j, first, now)
			continue
		}
		r.job.State = j.State
		if j.State.Ended() {
			d.endJob(r)
		}
	}
	for key := range d.jobs {
		if b.Jobs[key] == nil {
			delete(d.jobs, key)
		}
	}
}

// newRun returns the state of a job. If it is inherited, an earlier driver may have started its tasks.
func (d *Driver) newRun(j *Job, inherited bool, now ccclock.Millis) *jobRun {
	r := &jobRun{job: j, tasks: make([]taskRun, len(j.Tasks))}
	for i := range r.tasks {
		t := &r.tasks[i]
		t.lastAttempt = d.epoch * attemptsPerEpoch
		t.attempt = t.lastAttempt
		t.phaseSince = now
		switch {
		case j.Tasks[i].State != "":
			t.phase = ended
		case inherited:
			t.phase = inDoubt
		}
	}
	if j.State.Ended() {
		d.endJob(r)
	}
	return r
}

// endJob starts no more tasks of a job and stops those that run.
func (d *Driver) endJob(r *jobRun) {
	r.jobEnded = true
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.phase == placed {
			d.stops[TaskID(r.job.Key(), i, t.attempt)] = true
		}
		if t.phase == waiting {
			t.phase = ended
		}
	}
}

// findTask returns the job, index and task of a task ID. The task is nil if the ID is not of its current attempt,
// unless the task is in doubt. The job is nil if the driver does not have it.
func (d *Driver) findTask(id string) (*jobRun, int, *taskRun) {
	key, index, attempt, ok := ParseTaskID(id)
	r := d.jobs[key]
	if !ok || r == nil || index < 0 || index >= len(r.tasks) {
		return nil, 0, nil
	}
	t := &r.tasks[index]
	if t.attempt != attempt && t.phase != inDoubt {
		return r, index, nil
	}
	return r, index, t
}

// failJob ends a job that can't succeed.
func (d *Driver) failJob(r *jobRun, reason string) {
	if r.jobEnded {
		return
	}
	d.completions = append(d.completions, Completion{Key: r.job.Key(), Index: -1, Reason: reason})
	d.endJob(r)
}

// lingerRounds is how many rounds a driver remains active after it last had work, so that the workers still get its
// orders to forget ended tasks.
const lingerRounds = 8
