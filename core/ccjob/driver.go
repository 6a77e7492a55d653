package ccjob

import (
	"coriandercross/core/ccclock"
)

// phase is where a task stands in the driver.
type phase int

const (
	// waiting tasks are certain not to run.
	waiting phase = iota
	// placing tasks are on their way to an owner.
	placing
	// placed tasks run on a known worker.
	placed
	// inDoubt tasks may run anywhere: a reply was lost, or the driver is new.
	inDoubt
	// ended tasks have an end, recorded or about to be.
	ended
)

// Driver decides for the jobs of one bucket what to start and what to stop. It must be used by
// one goroutine only; no method blocks. It may be used only while its process has authority over
// the bucket.
type Driver struct {
	epoch uint64
	jobs  map[string]*jobRun
	// readyAt is when the latest report was asked for that called a shard of workers ready.
	readyAt     map[string]ccclock.Millis
	completions []Completion
	forgets     map[string]bool
	stops       map[string]bool
	loaded      bool
	// idleRounds counts the rounds since the driver was last busy.
	idleRounds int
}

// jobRun is a job with the state that is not in the store.
type jobRun struct {
	job      *Job
	tasks    []taskRun
	failures int
	// notBefore delays the next attempt.
	notBefore   ccclock.Millis
	backoffStep int
	// restarting gangs wait until no task of theirs runs.
	restarting bool
	jobEnded   bool
}

// taskRun is a task with the state that is not in the store.
type taskRun struct {
	phase phase
	// attempt is that of the task that runs, or may run; last is the highest that this driver has
	// given out. No number is given out twice, so that two runs never share an ID.
	attempt     uint64
	lastAttempt uint64
	phaseSince  ccclock.Millis
	reportedAt  ccclock.Millis
	shard       string
	worker      string
	failures    int
	avoidWorker string
	result      []byte
	// succeeded is set when a gang's doubtful task has a attempt that succeeded, while another may run.
	succeeded bool
}

const (
	// attemptsPerEpoch keeps the numbers of tries apart between drivers.
	attemptsPerEpoch   = 1 << 20
	baseRetryDelay     = ccclock.Millis(200)
	maxPlaceRetryDelay = ccclock.Millis(400)
	maxRetryDelay      = ccclock.Millis(5_000)
)

// NewDriver returns a driver without jobs for an epoch of ownership.
func NewDriver(epoch uint64) *Driver {
	return &Driver{
		epoch:   epoch,
		jobs:    map[string]*jobRun{},
		readyAt: map[string]ccclock.Millis{},
		forgets: map[string]bool{},
		stops:   map[string]bool{},
	}
}

// Load takes in the bucket as read from the store. Jobs of the first load may have tasks that an
// earlier driver started; later ones have not.
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

// newRun builds the state of a job.
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

// endJob stops whatever still runs of a job.
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

// findTask returns the task of an ID when the ID is of the present attempt.
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

// lingerRounds is how many rounds a driver stays active after its last work, so that the workers
// forget what has ended.
const lingerRounds = 8
