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
	// doubtful tasks may run anywhere: a reply was lost, or the driver is new.
	doubtful
	// ended tasks have an end, recorded or about to be.
	ended
)

// Driver decides for the jobs of one bucket what to start and what to stop. It must be used by
// one goroutine only; no method blocks. It may be used only while its process has authority over
// the bucket.
type Driver struct {
	epoch uint64
	jobs  map[string]*run
	// readyAt is when the latest report was asked for that called a shard of workers ready.
	readyAt map[string]ccclock.Millis
	endings []Completion
	forget  map[string]bool
	stops   map[string]bool
	loaded  bool
	// idleRounds counts the rounds since the driver was last busy.
	idleRounds int
}

// run is a job with the state that is not in the store.
type run struct {
	job      *Job
	tasks    []taskRun
	failures int
	// notBefore delays the next try.
	notBefore ccclock.Millis
	tries     int
	// restarting gangs wait until no task of theirs runs.
	restarting bool
	over       bool
}

// taskRun is a task with the state that is not in the store.
type taskRun struct {
	phase phase
	// try is that of the task that runs, or may run; last is the highest that this driver has
	// given out. No number is given out twice, so that two runs never share an ID.
	try      uint64
	last     uint64
	since    ccclock.Millis
	seenAt   ccclock.Millis
	shard    string
	worker   string
	failures int
	avoid    string
	result   []byte
	// success is set when a gang's doubtful task has a try that succeeded, while another may run.
	success bool
}

const (
	// triesPerEpoch keeps the numbers of tries apart between drivers.
	triesPerEpoch = 1 << 20
	retryBase     = ccclock.Millis(200)
	fullMax       = ccclock.Millis(400)
	retryMax      = ccclock.Millis(5_000)
)

// NewDriver returns a driver without jobs for an epoch of ownership.
func NewDriver(epoch uint64) *Driver {
	return &Driver{
		epoch:   epoch,
		jobs:    map[string]*run{},
		readyAt: map[string]ccclock.Millis{},
		forget:  map[string]bool{},
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
			d.end(r)
		}
	}
	for key := range d.jobs {
		if b.Jobs[key] == nil {
			delete(d.jobs, key)
		}
	}
}

// newRun builds the state of a job.
func (d *Driver) newRun(j *Job, inherited bool, now ccclock.Millis) *run {
	r := &run{job: j, tasks: make([]taskRun, len(j.Tasks))}
	for i := range r.tasks {
		t := &r.tasks[i]
		t.last = d.epoch * triesPerEpoch
		t.try = t.last
		t.since = now
		switch {
		case j.Tasks[i].State != "":
			t.phase = ended
		case inherited:
			t.phase = doubtful
		}
	}
	if j.State.Ended() {
		d.end(r)
	}
	return r
}

// end stops whatever still runs of a job.
func (d *Driver) end(r *run) {
	r.over = true
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.phase == placed {
			d.stops[TaskID(r.job.Key(), i, t.try)] = true
		}
		if t.phase == waiting {
			t.phase = ended
		}
	}
}

// find returns the task of an ID when the ID is of the present try.
func (d *Driver) find(id string) (*run, int, *taskRun) {
	key, index, try, ok := ParseTaskID(id)
	r := d.jobs[key]
	if !ok || r == nil || index < 0 || index >= len(r.tasks) {
		return nil, 0, nil
	}
	t := &r.tasks[index]
	if t.try != try && t.phase != doubtful {
		return r, index, nil
	}
	return r, index, t
}

// fail ends a job that can't succeed.
func (d *Driver) fail(r *run, reason string) {
	if r.over {
		return
	}
	d.endings = append(d.endings, Completion{Key: r.job.Key(), Index: -1, Reason: reason})
	d.end(r)
}

// settleRounds is how many rounds a driver stays active after its last work, so that the workers
// forget what has ended.
const settleRounds = 8
