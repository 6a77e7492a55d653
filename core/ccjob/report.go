package ccjob

import (
	"slices"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccwork"
)

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
	return slices.ContainsFunc(d.endings, func(e Completion) bool { return e.Key == key && e.Index == index })
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
func (d *Driver) ending(r *run, index int) Completion {
	result := r.tasks[index].result
	return Completion{
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

// ReclaimLost frees the tasks that the reports prove not to run. Wanted are the shards of workers that
// exist. A placed task is lost when its shard's owner no longer knows it; a doubtful one is free
// when the owners of all shards were asked since and none knows it.
func (d *Driver) ReclaimLost(wanted []string, now ccclock.Millis) (lost int) {
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

// AbortGang stops the started tasks of a gang of which some were refused.
func (d *Driver) AbortGang(key string, now ccclock.Millis) {
	if r := d.jobs[key]; r != nil {
		d.restart(r, now)
	}
}
