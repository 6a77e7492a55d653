package cccell

import (
	"maps"
	"slices"
)

// StoredJob is a job with its progress, as read from the store.
type StoredJob struct {
	Job      *Job
	Progress *Progress
	// Revision is the store revision of the progress record, 0 when there is none.
	Revision int64
	// CancelRequested is true when the store holds a cancel request.
	CancelRequested bool
	// Unreadable is true when there is a progress record that can't be read. The job is not run: all its tasks would start
	// again. It can be cancelled.
	Unreadable bool
}

// Adopt adds a job that was read from the store at a takeover. nowUnix is the time of day in Unix milliseconds.
func (c *Cell) Adopt(s StoredJob, now, nowUnix ms) {
	if c.jobs[s.Job.ID] != nil {
		return
	}
	j := c.insert(s.Job, loadedJob, true, now, nowUnix)
	// Waiting jobs are ordered by age. A new leader knows the age of a job only by the time of day at which it was
	// accepted.
	j.arrivedAt = j.acceptedAt
	j.revision = s.Revision
	j.withheld = s.Unreadable
	if s.Progress != nil {
		c.restore(j, s.Progress, now)
	}
	if s.CancelRequested {
		j.cancelRequested = true
	}
	c.adoptCrashes(j, now)
	c.startDueRuns(j, now, nowUnix)
	if s.CancelRequested && j.final == "" {
		c.finish(j, Cancelled, now)
	}
}

// age returns the time since the job was accepted, 0 if that is not known.
func (j *Job) age(nowUnix ms) ms {
	if j.AcceptedMs == 0 {
		return 0
	}
	return min(max(0, nowUnix-ms(j.AcceptedMs)), maxAdoptedAgeMs)
}

// maxAdoptedAgeMs bounds the age of an adopted job, since the clocks of two processes may differ. No job of a queue
// with a priority is delayed that long.
const maxAdoptedAgeMs ms = 600_000

// restore sets a job to its stored progress.
func (c *Cell) restore(j *job, p *Progress, now ms) {
	j.final, j.published = p.State, p.State
	j.doneRuns = slices.Clone(p.DoneRuns)
	j.started = len(p.DoneRuns) > 0
	for _, n := range slices.Sorted(maps.Keys(p.Runs)) { // In order, so that done runs extend one range.
		rp := p.Runs[n]
		if rp.Done && j.spec.ScheduledRuns > 0 {
			j.started = true
			j.doneRuns.add(n)
			continue
		}
		if j.doneRuns.Has(n) {
			continue
		}
		r := c.newRun(j, n)
		r.done = rp.Done
		for i, s := range r.stages {
			if r.done {
				s.restoreDone()
			} else {
				s.restore(rp.Stages[i])
			}
		}
		if len(rp.Stages) > 0 || rp.Done {
			j.started = true
		}
	}
	for _, r := range j.runs {
		if !r.done && j.final == "" {
			c.advanceRun(r, now)
		}
	}
}

// finishBefore marks the stages as finished that come before one of which a prior leader has started a task: it had read the ends
// of all their tasks. Load: store, leader and the workers with some of these ends are lost together. The tasks would run again,
// and those of the later stage that were lost would wait for them.
func (c *Cell) finishBefore(s *stage, now ms) {
	r := s.job.runs[s.id.Run]
	if r == nil || s.job.final != "" || !c.markBefore(r, s) {
		return
	}
	c.markDirty(s.job)
	c.stopUnneeded(r)
	c.advanceRun(r, now)
}

// markBefore marks the tasks of the stages before a stage as done, and returns whether any was not.
func (c *Cell) markBefore(r *run, s *stage) bool {
	marked := false
	for _, i := range s.spec.After {
		before := r.stages[i]
		if before.finished() {
			continue // So are those before it.
		}
		c.cfg.Log("stage was finished: a prior leader has started a later one", "Job", s.id.Job, "Run", s.id.Run, "Stage", i, "Later", s.id.Stage, "Unread", before.spec.Count-before.done.count())
		before.restoreDone()
		marked = true
		c.markBefore(r, before)
	}
	return marked
}
