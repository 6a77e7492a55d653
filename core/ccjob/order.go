package ccjob

import (
	"slices"
	"strings"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
)

// Order is tasks of one job to start now. An order for a gang has all of its tasks.
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
	// Avoid is the worker on which the task last failed, or "".
	Avoid string
}

// Next returns up to limit tasks to start now, from the most urgent jobs first and the oldest first among these, and
// marks them as placing. All tasks of a gang are returned together, even if they exceed the limit.
func (d *Driver) Next(limit int, now ccclock.Millis) []Order {
	var orders []Order
	for _, r := range d.eligible(now) {
		if limit <= 0 {
			break
		}
		o := d.nextOrder(r, limit, now)
		if len(o.Tasks) == 0 {
			continue
		}
		limit -= len(o.Tasks)
		orders = append(orders, o)
	}
	return orders
}

// eligible returns the jobs that may start tasks, in the order in which they start them.
func (d *Driver) eligible(now ccclock.Millis) []*jobRun {
	var out []*jobRun
	for _, r := range d.jobs {
		if !r.jobEnded && now >= r.notBefore {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *jobRun) int {
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

// nextOrder returns the order of one job, without tasks if none can start.
func (d *Driver) nextOrder(r *jobRun, limit int, now ccclock.Millis) Order {
	gang := r.job.Class == ccwork.Gang
	o := Order{Key: r.job.Key(), Job: r.job, Gang: gang}
	if gang && !r.gangWaiting() {
		return o
	}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.phase != waiting || !gang && len(o.Tasks) == limit {
			continue
		}
		t.lastAttempt++
		t.attempt = t.lastAttempt
		t.succeeded = false
		t.phase = placing
		t.phaseSince = now
		o.Tasks = append(o.Tasks, OrderTask{
			ID:      TaskID(o.Key, i, t.attempt),
			Payload: r.job.Tasks[i].Payload,
			Avoid:   t.avoidWorker,
		})
	}
	return o
}

// gangWaiting reports whether all tasks of a gang are waiting. Only then may the gang start. If they are, gangWaiting
// also ends a restart by clearing restarting.
func (r *jobRun) gangWaiting() bool {
	for i := range r.tasks {
		if r.tasks[i].phase != waiting {
			return false
		}
	}
	r.restarting = false
	return true
}

// Placed records that an owner started a task. The task is stopped if its job has ended or its gang is restarting.
func (d *Driver) Placed(id, worker, shard string, now ccclock.Millis) {
	r, _, t := d.findTask(id)
	if t == nil || t.phase == ended {
		return
	}
	t.phase = placed
	t.worker = worker
	t.shard = shard
	t.phaseSince = now
	r.backoffStep = 0
	if r.jobEnded || r.restarting {
		d.stops[id] = true
	}
}

// NotPlaced records that the task was not started, for the given reason. The next start of tasks of the job is delayed;
// if no worker is large enough for the task, the job fails.
func (d *Driver) NotPlaced(id, reason string, now ccclock.Millis) {
	r, _, t := d.findTask(id)
	if t == nil || t.phase != placing {
		return
	}
	t.phase = waiting
	if r.jobEnded {
		t.phase = ended
	}
	if reason == ccwork.ReasonOf(ccwork.ErrImpossible) {
		d.failJob(r, reason)
		return
	}
	if now >= r.notBefore {
		r.backoffStep++
		r.notBefore = now + min(baseRetryDelay<<min(r.backoffStep, 8), r.retryDelayLimit())
	}
}

// retryDelayLimit is the maximum delay before the next start. Capacity for a single task can become free at any time,
// and a request for it is cheap; capacity for a gang has to be requested from every owner.
func (r *jobRun) retryDelayLimit() ccclock.Millis {
	if r.job.Class == ccwork.Gang {
		return maxRetryDelay
	}
	return maxPlaceRetryDelay
}

// MarkInDoubt records that an owner may have started a task.
func (d *Driver) MarkInDoubt(id string, now ccclock.Millis) {
	_, _, t := d.findTask(id)
	if t == nil || t.phase != placing {
		return
	}
	t.phase = inDoubt
	t.phaseSince = now
}
