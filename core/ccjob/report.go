package ccjob

import (
	"slices"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccwork"
)

// Report is one owner's report on its shards of workers and on the tasks of a bucket.
type Report struct {
	// Ready are the shards over which the owner has authority and all of whose workers it has read.
	Ready []string
	Tasks []ccledger.Claim
}

// Observe processes a report that was requested at requestedAt.
func (d *Driver) Observe(rep Report, requestedAt, now ccclock.Millis) {
	for _, c := range rep.Tasks {
		d.observeClaim(c, requestedAt, now)
	}
	for _, name := range rep.Ready {
		d.readyAt[name] = max(d.readyAt[name], requestedAt)
	}
}

// observeClaim processes one task of a report.
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
		// The worker has not confirmed the start, so the task's phase stays as it is.
	case r.jobEnded || r.restarting || t.phase == inDoubt || t.phase == placing:
		t.adoptAttempt(c.Task)
		d.Placed(c.Task, c.Worker, c.Shard, now)
	}
}

// endedInDoubt handles the end of one attempt of a task that is in doubt, while another attempt may run. It returns
// false if that end is the end of the task: the success of a task that is not part of a gang. The success of a task of
// a gang is only remembered until no other attempt can run.
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
		// The attempt was started before the gang was restarted, so its success does not count.
		d.forgets[c.Task] = true
		return true
	}
	t.succeeded = true
	t.result = c.Result
	return true
}

// adoptAttempt makes the attempt in the task ID the current one. It may be one that an earlier driver started.
func (t *taskRun) adoptAttempt(id string) {
	_, _, attempt, _ := ParseTaskID(id)
	t.attempt = attempt
}

// handleOrphan handles a task on a worker that no job needs any more: it is stopped if it runs, and forgotten if it has
// ended, unless a completion of the task is still to be written.
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

// completionPending reports whether a completion of the task waits to be written.
func (d *Driver) completionPending(key string, index int) bool {
	return slices.ContainsFunc(d.completions, func(e Completion) bool { return e.Key == key && e.Index == index })
}

// handleEnd handles the end of a task's current attempt.
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

// completion returns the completion of a task that has succeeded.
func (d *Driver) completion(r *jobRun, index int) Completion {
	result := r.tasks[index].result
	return Completion{
		Key:    r.job.Key(),
		Index:  index,
		State:  ccwork.Succeeded,
		Result: result[:min(len(result), MaxResult)],
	}
}

// completeGang completes a gang's tasks once all of them have succeeded; until then the whole gang may have to be
// restarted.
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

// handleFailure counts a failure of a task. The job fails once one of its tasks has failed MaxFailures times.
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

// restartGang stops the tasks of a gang that run, so that the gang can start again as a whole. It does nothing for a
// job that is not a gang.
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
			// The success is not stored yet, so the task runs again with the others.
			d.forgets[TaskID(r.job.Key(), i, t.attempt)] = true
			t.phase = waiting
		}
		t.phaseSince = min(t.phaseSince, now)
	}
}

// ReclaimLost finds the tasks that certainly do not run, makes them wait again, and returns how many of them were
// placed. The shards are those of all existing workers. A placed task does not run if a report of its shard does not
// show it. A task that is in doubt, or was placed on a shard that no longer exists, does not run if no report of any
// shard shows it. Only reports that were requested after the task's phase began count.
func (d *Driver) ReclaimLost(shards []string, now ccclock.Millis) (lost int) {
	oldest := d.oldestReport(shards)
	exists := make(map[string]bool, len(shards))
	for _, name := range shards {
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

// requeue makes a task wait again, or ends it if one of its attempts has succeeded or its job has ended.
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

// oldestReport returns when the oldest of the latest reports of the shards was requested; 0 if a shard was never
// reported as ready.
func (d *Driver) oldestReport(shards []string) ccclock.Millis {
	oldest := ccclock.Millis(0)
	for i, name := range shards {
		at := d.readyAt[name]
		if i == 0 || at < oldest {
			oldest = at
		}
	}
	return oldest
}

// AbortGang restarts a gang after some of its tasks were refused: the tasks that were started are stopped.
func (d *Driver) AbortGang(key string, now ccclock.Millis) {
	if r := d.jobs[key]; r != nil {
		d.restartGang(r, now)
	}
}
