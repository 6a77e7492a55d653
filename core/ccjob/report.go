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

// Observe takes in a report that was asked for at requestedAt.
func (d *Driver) Observe(rep Report, requestedAt, now ccclock.Millis) {
	for _, c := range rep.Tasks {
		d.observeClaim(c, requestedAt, now)
	}
	for _, name := range rep.Ready {
		d.readyAt[name] = max(d.readyAt[name], requestedAt)
	}
}

// observeClaim takes in one task of a report.
func (d *Driver) observeClaim(c ccledger.Claim, requestedAt, now ccclock.Millis) {
	r, index, t := d.findTask(c.Task)
	if t == nil {
		d.handleOrphan(c)
		return
	}
	if t.phase == inDoubt && c.State.Ended() && d.endedInDoubt(r, t, c) {
		return
	}
	t.reportedAt = max(t.reportedAt, requestedAt)
	t.worker = c.Worker
	t.shard = c.Shard
	switch {
	case t.phase == ended:
		d.handleOrphan(c)
	case c.State.Ended():
		t.adoptAttempt(c.Task)
		d.handleEnd(r, index, t, c, now)
	case c.Phase != ccledger.Admitted:
	case r.jobEnded || r.restarting || t.phase == inDoubt || t.phase == placing:
		t.adoptAttempt(c.Task)
		d.Placed(c.Task, c.Worker, c.Shard, now)
	}
}

// endedInDoubt takes in the end of one attempt of a doubtful task, of which another attempt may run. It
// returns false when that end is the task's own: a success of a task that runs alone.
func (d *Driver) endedInDoubt(r *jobRun, t *taskRun, c ccledger.Claim) bool {
	if c.State != ccwork.Succeeded {
		d.forgets[c.Task] = true
		return true
	}
	if r.job.Class != ccwork.Gang {
		return false
	}
	_, _, attempt, _ := ParseTaskID(c.Task)
	if attempt > d.epoch*attemptsPerEpoch && attempt != t.attempt {
		// A gang that was restarted does not want the success of an earlier start.
		d.forgets[c.Task] = true
		return true
	}
	t.succeeded = true
	t.result = c.Result
	return true
}

// adoptAttempt takes over the attempt of a task that an earlier driver started.
func (t *taskRun) adoptAttempt(id string) {
	_, _, attempt, _ := ParseTaskID(id)
	t.attempt = attempt
}

// handleOrphan handles a task that no job wants any more: an end is forgotten, a run is stopped.
func (d *Driver) handleOrphan(c ccledger.Claim) {
	if c.State.Ended() {
		key, index, _, _ := ParseTaskID(c.Task)
		if !d.completionPending(key, index) {
			d.forgets[c.Task] = true
		}
		return
	}
	if c.Phase == ccledger.Admitted {
		d.stops[c.Task] = true
	}
}

// completionPending reports whether an ending waits to be written.
func (d *Driver) completionPending(key string, index int) bool {
	return slices.ContainsFunc(d.completions, func(e Completion) bool { return e.Key == key && e.Index == index })
}

// handleEnd takes in the end of a task.
func (d *Driver) handleEnd(r *jobRun, index int, t *taskRun, c ccledger.Claim, now ccclock.Millis) {
	if r.jobEnded || r.restarting || c.State == ccwork.Stopped {
		t.phase = waiting
		if r.jobEnded {
			t.phase = ended
		}
		d.forgets[c.Task] = true
		if !r.jobEnded && !r.restarting {
			d.restartGang(r, now)
		}
		return
	}
	if c.State == ccwork.Failed {
		d.forgets[c.Task] = true
		d.handleFailure(r, t, c.Worker, now)
		return
	}
	t.phase = ended
	t.result = c.Result
	if r.job.Class != ccwork.Gang {
		d.completions = append(d.completions, d.completion(r, index))
		return
	}
	d.completeGang(r)
}

// completion builds the record of a success.
func (d *Driver) completion(r *jobRun, index int) Completion {
	result := r.tasks[index].result
	return Completion{
		Key:    r.job.Key(),
		Index:  index,
		State:  ccwork.Succeeded,
		Result: result[:min(len(result), MaxResult)],
	}
}

// completeGang records a gang's successes once every task has one, as a gang restarts whole.
func (d *Driver) completeGang(r *jobRun) {
	for i := range r.tasks {
		if r.tasks[i].phase != ended {
			return
		}
	}
	for i := range r.tasks {
		d.completions = append(d.completions, d.completion(r, i))
	}
}

// handleFailure counts a failure of a task, and ends the job when it has used up its tries.
func (d *Driver) handleFailure(r *jobRun, t *taskRun, worker string, now ccclock.Millis) {
	t.phase = waiting
	t.failures++
	t.avoidWorker = worker
	r.failures++
	if t.failures >= r.job.MaxFailures {
		d.failJob(r, "TaskFailed")
		return
	}
	r.backoffStep++
	r.notBefore = now + min(baseRetryDelay<<min(r.backoffStep, 8), maxRetryDelay)
	d.restartGang(r, now)
}

// restartGang stops the other tasks of a gang of which one has ended early.
func (d *Driver) restartGang(r *jobRun, now ccclock.Millis) {
	if r.job.Class != ccwork.Gang {
		return
	}
	r.restarting = true
	for i := range r.tasks {
		t := &r.tasks[i]
		switch t.phase {
		case placed:
			d.stops[TaskID(r.job.Key(), i, t.attempt)] = true
		case ended:
			// Not recorded yet: it runs again with the others.
			d.forgets[TaskID(r.job.Key(), i, t.attempt)] = true
			t.phase = waiting
		}
		t.phaseSince = min(t.phaseSince, now)
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
			case t.phase == placed && ready > t.phaseSince && t.reportedAt < ready:
				lost++
				d.requeue(r, t, now)
			case t.phase == inDoubt && oldest > t.phaseSince && t.reportedAt < oldest:
				d.requeue(r, t, now)
			}
		}
	}
	return lost
}

// requeue makes a task wait again.
func (d *Driver) requeue(r *jobRun, t *taskRun, now ccclock.Millis) {
	if t.succeeded && !r.restarting {
		t.phase = ended
		d.completeGang(r)
		return
	}
	t.phase = waiting
	if r.jobEnded {
		t.phase = ended
		return
	}
	if !r.restarting {
		d.restartGang(r, now)
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
		d.restartGang(r, now)
	}
}
