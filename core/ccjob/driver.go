package ccjob

import (
	"slices"
	"strings"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccwork"
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
	endings []Ending
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
func (d *Driver) Load(b *Book, now ccclock.Millis) {
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

// Order is tasks to start now. All tasks of a gang come in one order.
type Order struct {
	Key   string
	Job   *Job
	Gang  bool
	Tasks []OrderTask
}

// OrderTask is one task of an order.
type OrderTask struct {
	ID      string
	Payload []byte
	Avoid   string
}

// Next returns up to limit tasks to start now, the oldest and most urgent jobs first, and counts
// them as on their way. A gang comes whole, whatever its size.
func (d *Driver) Next(limit int, now ccclock.Millis) []Order {
	var orders []Order
	for _, r := range d.eligible(now) {
		if limit <= 0 {
			break
		}
		o := d.order(r, limit, now)
		if len(o.Tasks) == 0 {
			continue
		}
		limit -= len(o.Tasks)
		orders = append(orders, o)
	}
	return orders
}

// eligible returns the jobs that may start tasks, in order.
func (d *Driver) eligible(now ccclock.Millis) []*run {
	var out []*run
	for _, r := range d.jobs {
		if !r.over && now >= r.notBefore {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int {
		if a.job.Urgency != b.job.Urgency {
			return b.job.Urgency - a.job.Urgency
		}
		if a.job.AcceptedAt != b.job.AcceptedAt {
			return int(a.job.AcceptedAt - b.job.AcceptedAt)
		}
		return strings.Compare(a.job.Key(), b.job.Key())
	})
	return out
}

// order builds the order of one job.
func (d *Driver) order(r *run, limit int, now ccclock.Millis) Order {
	gang := r.job.Class == ccwork.Gang
	o := Order{Key: r.job.Key(), Job: r.job, Gang: gang}
	if gang && !r.idle() {
		return o
	}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.phase != waiting || !gang && len(o.Tasks) == limit {
			continue
		}
		t.last++
		t.try = t.last
		t.success = false
		t.phase = placing
		t.since = now
		o.Tasks = append(o.Tasks, OrderTask{
			ID:      TaskID(o.Key, i, t.try),
			Payload: r.job.Tasks[i].Payload,
			Avoid:   t.avoid,
		})
	}
	return o
}

// idle reports whether every task of a gang waits; only then may the gang start.
func (r *run) idle() bool {
	for i := range r.tasks {
		if r.tasks[i].phase != waiting {
			return false
		}
	}
	r.restarting = false
	return true
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

// Placed takes in that an owner started a task.
func (d *Driver) Placed(id, worker, shard string, now ccclock.Millis) {
	r, _, t := d.find(id)
	if t == nil || t.phase == ended {
		return
	}
	t.phase = placed
	t.worker = worker
	t.shard = shard
	t.since = now
	r.tries = 0
	if r.over || r.restarting {
		d.stops[id] = true
	}
}

// NotPlaced takes in that nobody started a task. The job's next try is delayed.
func (d *Driver) NotPlaced(id, reason string, now ccclock.Millis) {
	r, _, t := d.find(id)
	if t == nil || t.phase != placing {
		return
	}
	t.phase = waiting
	if r.over {
		t.phase = ended
	}
	if reason == ccwork.ReasonOf(ccwork.ErrImpossible) {
		d.fail(r, reason)
		return
	}
	if now >= r.notBefore {
		r.tries++
		r.notBefore = now + min(retryBase<<min(r.tries, 8), r.maxDelay())
	}
}

// maxDelay bounds the delay between tries. Room for one task comes at any time, and asking for it is
// cheap; room for a whole gang is asked for of every owner.
func (r *run) maxDelay() ccclock.Millis {
	if r.job.Class == ccwork.Gang {
		return retryMax
	}
	return fullMax
}

// Doubt takes in that an owner may have started a task.
func (d *Driver) Doubt(id string, now ccclock.Millis) {
	_, _, t := d.find(id)
	if t == nil || t.phase != placing {
		return
	}
	t.phase = doubtful
	t.since = now
}

// fail ends a job that can't succeed.
func (d *Driver) fail(r *run, reason string) {
	if r.over {
		return
	}
	d.endings = append(d.endings, Ending{Key: r.job.Key(), Index: -1, Reason: reason})
	d.end(r)
}

// Report is what one owner tells of its shards and of the tasks of this bucket.
type Report struct {
	// Ready are the shards that the owner has authority over and whose workers it has read.
	Ready []string
	Tasks []ccledger.Claim
}

// Observe takes in a report that was asked for at askedAt.
func (d *Driver) Observe(rep Report, askedAt, now ccclock.Millis) {
	for _, c := range rep.Tasks {
		d.observe(c, askedAt, now)
	}
	for _, name := range rep.Ready {
		d.readyAt[name] = max(d.readyAt[name], askedAt)
	}
}

// observe takes in one task of a report.
func (d *Driver) observe(c ccledger.Claim, askedAt, now ccclock.Millis) {
	r, index, t := d.find(c.Task)
	if t == nil {
		d.stray(c)
		return
	}
	if t.phase == doubtful && c.State.Ended() && d.endsInDoubt(r, t, c) {
		return
	}
	t.seenAt = max(t.seenAt, askedAt)
	t.worker = c.Worker
	t.shard = c.Shard
	switch {
	case t.phase == ended:
		d.stray(c)
	case c.State.Ended():
		t.adopt(c.Task)
		d.ended(r, index, t, c, now)
	case c.Phase != ccledger.Admitted:
	case r.over || r.restarting || t.phase == doubtful || t.phase == placing:
		t.adopt(c.Task)
		d.Placed(c.Task, c.Worker, c.Shard, now)
	}
}

// endsInDoubt takes in the end of one try of a doubtful task, of which another try may run. It
// returns false when that end is the task's own: a success of a task that runs alone.
func (d *Driver) endsInDoubt(r *run, t *taskRun, c ccledger.Claim) bool {
	if c.State != ccwork.Succeeded {
		d.forget[c.Task] = true
		return true
	}
	if r.job.Class != ccwork.Gang {
		return false
	}
	_, _, try, _ := ParseTaskID(c.Task)
	if try > d.epoch*triesPerEpoch && try != t.try {
		// A gang that was restarted does not want the success of an earlier start.
		d.forget[c.Task] = true
		return true
	}
	t.success = true
	t.result = c.Result
	return true
}

// adopt takes over the try of a task that an earlier driver started.
func (t *taskRun) adopt(id string) {
	_, _, try, _ := ParseTaskID(id)
	t.try = try
}

// stray handles a task that no job wants any more: an end is forgotten, a run is stopped.
func (d *Driver) stray(c ccledger.Claim) {
	if c.State.Ended() {
		key, index, _, _ := ParseTaskID(c.Task)
		if !d.unrecorded(key, index) {
			d.forget[c.Task] = true
		}
		return
	}
	if c.Phase == ccledger.Admitted {
		d.stops[c.Task] = true
	}
}

// unrecorded reports whether an ending waits to be written.
func (d *Driver) unrecorded(key string, index int) bool {
	return slices.ContainsFunc(d.endings, func(e Ending) bool { return e.Key == key && e.Index == index })
}

// ended takes in the end of a task.
func (d *Driver) ended(r *run, index int, t *taskRun, c ccledger.Claim, now ccclock.Millis) {
	if r.over || r.restarting || c.State == ccwork.Stopped {
		t.phase = waiting
		if r.over {
			t.phase = ended
		}
		d.forget[c.Task] = true
		if !r.over && !r.restarting {
			d.restart(r, now)
		}
		return
	}
	if c.State == ccwork.Failed {
		d.forget[c.Task] = true
		d.failed(r, t, c.Worker, now)
		return
	}
	t.phase = ended
	t.result = c.Result
	if r.job.Class != ccwork.Gang {
		d.endings = append(d.endings, d.ending(r, index))
		return
	}
	d.finishGang(r)
}

// ending builds the record of a success.
func (d *Driver) ending(r *run, index int) Ending {
	result := r.tasks[index].result
	return Ending{
		Key:    r.job.Key(),
		Index:  index,
		State:  ccwork.Succeeded,
		Result: result[:min(len(result), MaxResult)],
	}
}

// finishGang records a gang's successes once every task has one, as a gang restarts whole.
func (d *Driver) finishGang(r *run) {
	for i := range r.tasks {
		if r.tasks[i].phase != ended {
			return
		}
	}
	for i := range r.tasks {
		d.endings = append(d.endings, d.ending(r, i))
	}
}

// failed counts a failure of a task, and ends the job when it has used up its tries.
func (d *Driver) failed(r *run, t *taskRun, worker string, now ccclock.Millis) {
	t.phase = waiting
	t.failures++
	t.avoid = worker
	r.failures++
	if t.failures >= r.job.MaxFailures {
		d.fail(r, "TaskFailed")
		return
	}
	r.tries++
	r.notBefore = now + min(retryBase<<min(r.tries, 8), retryMax)
	d.restart(r, now)
}

// restart stops the other tasks of a gang of which one has ended early.
func (d *Driver) restart(r *run, now ccclock.Millis) {
	if r.job.Class != ccwork.Gang {
		return
	}
	r.restarting = true
	for i := range r.tasks {
		t := &r.tasks[i]
		switch t.phase {
		case placed:
			d.stops[TaskID(r.job.Key(), i, t.try)] = true
		case ended:
			// Not recorded yet: it runs again with the others.
			d.forget[TaskID(r.job.Key(), i, t.try)] = true
			t.phase = waiting
		}
		t.since = min(t.since, now)
	}
}

// Settle frees the tasks that the reports prove not to run. Wanted are the shards of workers that
// exist. A placed task is lost when its shard's owner no longer knows it; a doubtful one is free
// when the owners of all shards were asked since and none knows it.
func (d *Driver) Settle(wanted []string, now ccclock.Millis) (lost int) {
	oldest := d.oldestReport(wanted)
	exists := make(map[string]bool, len(wanted))
	for _, name := range wanted {
		exists[name] = true
	}
	for _, r := range d.jobs {
		for i := range r.tasks {
			t := &r.tasks[i]
			ready := d.readyAt[t.shard]
			if !exists[t.shard] {
				ready = oldest
			}
			switch {
			case t.phase == placed && ready > t.since && t.seenAt < ready:
				lost++
				d.free(r, t, now)
			case t.phase == doubtful && oldest > t.since && t.seenAt < oldest:
				d.free(r, t, now)
			}
		}
	}
	return lost
}

// free makes a task wait again.
func (d *Driver) free(r *run, t *taskRun, now ccclock.Millis) {
	if t.success && !r.restarting {
		t.phase = ended
		d.finishGang(r)
		return
	}
	t.phase = waiting
	if r.over {
		t.phase = ended
		return
	}
	if !r.restarting {
		d.restart(r, now)
	}
}

// oldestReport returns when the shard that has been silent longest was last called ready; 0 when
// one never was.
func (d *Driver) oldestReport(wanted []string) ccclock.Millis {
	oldest := ccclock.Millis(0)
	for i, name := range wanted {
		at := d.readyAt[name]
		if i == 0 || at < oldest {
			oldest = at
		}
	}
	return oldest
}

// TakeEndings returns the endings to be written, which the caller hands back by Unrecorded when
// the write failed.
func (d *Driver) TakeEndings() []Ending {
	out := d.endings
	d.endings = nil
	return out
}

// Unrecorded takes back endings that could not be written.
func (d *Driver) Unrecorded(endings []Ending) {
	d.endings = append(endings, d.endings...)
}

// Recorded lets the workers forget tasks whose endings were written.
func (d *Driver) Recorded(endings []Ending) {
	for _, e := range endings {
		r := d.jobs[e.Key]
		if r != nil && e.Index >= 0 {
			d.forget[TaskID(e.Key, e.Index, r.tasks[e.Index].try)] = true
		}
	}
}

// TakeForget returns the ended tasks that workers may forget.
func (d *Driver) TakeForget() []string {
	return take(&d.forget)
}

// TakeStops returns the tasks to be stopped. A task that is still seen later comes again.
func (d *Driver) TakeStops() []string {
	return take(&d.stops)
}

// take empties a set.
func take(set *map[string]bool) []string {
	if len(*set) == 0 {
		return nil
	}
	out := make([]string, 0, len(*set))
	for id := range *set {
		out = append(out, id)
	}
	slices.Sort(out)
	*set = map[string]bool{}
	return out
}

// Counts is a driver in a state dump.
type Counts struct {
	Jobs     int
	Waiting  int
	Placing  int
	Placed   int
	Doubtful int
}

// Counts returns the number of tasks in each phase.
func (d *Driver) Counts() Counts {
	c := Counts{Jobs: len(d.jobs)}
	for _, r := range d.jobs {
		for i := range r.tasks {
			switch r.tasks[i].phase {
			case waiting:
				c.Waiting++
			case placing:
				c.Placing++
			case placed:
				c.Placed++
			case doubtful:
				c.Doubtful++
			}
		}
	}
	return c
}

// settleRounds is how many rounds a driver stays active after its last work, so that the workers
// forget what has ended.
const settleRounds = 8

// Active reports whether a round is worth its messages. It is called once in each round.
func (d *Driver) Active() bool {
	if !d.loaded {
		return false
	}
	if d.busy() {
		d.idleRounds = 0
		return true
	}
	d.idleRounds++
	return d.idleRounds <= settleRounds
}

// busy reports whether anything is under way or waits.
func (d *Driver) busy() bool {
	if len(d.endings)+len(d.forget)+len(d.stops) > 0 {
		return true
	}
	for _, r := range d.jobs {
		if !r.over && !r.complete() || r.over && r.running() {
			return true
		}
	}
	return false
}

// complete reports whether every task has ended.
func (r *run) complete() bool {
	for i := range r.tasks {
		if r.tasks[i].phase != ended {
			return false
		}
	}
	return true
}

// running reports whether a task runs, or may run.
func (r *run) running() bool {
	for i := range r.tasks {
		if p := r.tasks[i].phase; p != ended && p != waiting {
			return true
		}
	}
	return false
}

// Abort stops the started tasks of a gang of which some were refused.
func (d *Driver) Abort(key string, now ccclock.Millis) {
	if r := d.jobs[key]; r != nil {
		d.restart(r, now)
	}
}
