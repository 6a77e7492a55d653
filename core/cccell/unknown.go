package cccell

import (
	"maps"
	"slices"
)

// Ends of tasks whose jobs are unknown. Load: leaders follow each other while the store is slow or out of reach, and a
// leader finds the ends of tasks that a prior one has started before their job was stored. The submission may be stored
// at any later time, and its leader must not start these tasks again. So the ends are stored under the ID of the job, as
// the progress of a job would be, before the workers forget them; whoever learns of the job applies them.

// unknownWriteAfterMs is the time after which the ends of an unknown job are stored, unless a worker has more ends to list. Most jobs
// become known before that.
const unknownWriteAfterMs ms = 1000

// unknownJob holds the ends of the tasks of an unknown job.
type unknownJob struct {
	id string
	// progress has the tasks that are done, and the failed attempts.
	progress Progress
	// seenAt is when this leader first saw an end of the job.
	seenAt ms
	// revision is the store revision of the record, 0 when there is none.
	revision int64
	// urgent is true if a worker lists further ends only once these are stored.
	urgent bool
	// version counts the changes to be written; persisted is the newest version that the store has. writing is true while a
	// write is in flight.
	version, persisted int64
	writing            bool
}

// recordUnknownEnd records that a task whose job is unknown is done or has failed. It returns nil if nothing has to be kept of it.
func (c *Cell) recordUnknownEnd(w *worker, e *EndedTask, now ms) *unknownJob {
	if !c.cfg.PriorUnstored || !c.unknown(e.Task.Job) || !e.Task.plausible() {
		return nil
	}
	c.noteUnclaimed(e.Task.Job)
	c.cfg.Log("end of an unknown job", "Job", e.Task.Job, "Task", e.Task, "Attempt", e.Attempt, "Worker", w.info.ID, "End", e.End)
	u := c.unknownJobs[e.Task.Job]
	if u == nil {
		u = &unknownJob{id: e.Task.Job, seenAt: now, progress: Progress{Runs: map[int]RunProgress{}}}
		c.unknownJobs[u.id] = u
	}
	if u.progress.addEnd(e) {
		u.version++
	}
	u.urgent = u.urgent || w.moreEnds
	return u
}

// plausible reports whether a task can be one of a job that is accepted.
func (t *TaskID) plausible() bool {
	return t.Run >= 0 && t.Stage >= 0 && t.Stage < MaxStages && t.Index >= 0 && t.Index < maxTasks
}

// AdoptUnknownEnds adds the stored ends of the tasks of a job that was unknown to a prior leader, at a takeover after the
// jobs were adopted. revision is that of the record.
func (c *Cell) AdoptUnknownEnds(id string, p *Progress, revision int64, now ms) {
	if p.Runs == nil {
		p.Runs = map[int]RunProgress{}
	}
	u := &unknownJob{id: id, progress: *p, seenAt: now, revision: revision}
	c.unknownJobs[id] = u
	if j := c.jobs[id]; j != nil {
		c.attachUnknownEnds(j, now)
	}
}

// attachUnknownEnds applies the ends that were found before their job was known. From then on they are part of the
// progress of the job.
func (c *Cell) attachUnknownEnds(j *job, now ms) {
	u := c.unknownJobs[j.spec.ID]
	if u == nil {
		return
	}
	delete(c.unknownJobs, u.id)
	j.endsStored = j.endsStored || u.revision > 0 || u.writing
	j.adopted = true
	if j.final == "" {
		c.applyEnds(j, u, now)
	}
	for _, w := range c.workers {
		for i := range w.unackedEnds {
			if e := &w.unackedEnds[i]; e.unknown == u {
				e.unknown, e.job, e.version = nil, j, j.version
			}
		}
	}
}

// applyEnds adds the ends of an unknown job to the progress of the job.
func (c *Cell) applyEnds(j *job, u *unknownJob, now ms) {
	for n, rp := range u.progress.Runs {
		r := c.runOf(j, n, now)
		if r == nil {
			continue
		}
		done, failed := 0, 0
		for i, sp := range rp.Stages {
			if i < 0 || i >= len(r.stages) {
				continue
			}
			r.stages[i].merge(sp)
			done, failed = done+r.stages[i].done.count(), failed+len(sp.Failures)
			c.markBefore(r, r.stages[i])
		}
		c.cfg.Log("ends of a begun job found", "Job", u.id, "Run", n, "Done", done, "Failed", failed, "Stored", u.revision > 0)
		j.started = true
		c.markDirty(j)
		c.stopUnneeded(r)
		c.failExhausted(r, now)
		if j.final == "" {
			c.advanceRun(r, now)
		}
	}
}

// merge adds the ends of tasks that were found before the job of the stage was known.
func (s *stage) merge(sp StageProgress) {
	if s.spec.LongRunning {
		return
	}
	done := bitset(sp.Done)
	for i := range s.spec.Count {
		if done.has(i) || (s.spec.Gang && done.count() > 0) { // The end of one member completes the gang.
			s.done.add(i)
		}
	}
	for _, f := range sp.Failures {
		i := f.Index
		if s.spec.Gang {
			i = 0
		}
		if i < 0 || i >= s.spec.Count {
			continue
		}
		for _, attempt := range f.Attempts {
			if !slices.Contains(s.failures[i], attempt) {
				s.failures[i] = append(s.failures[i], attempt)
			}
		}
	}
}

// stopUnneeded stops the attempts at tasks that are done.
func (c *Cell) stopUnneeded(r *run) {
	for _, s := range r.stages {
		for i, list := range s.tasks {
			for _, a := range list {
				a.stopWanted = a.stopWanted || s.done.has(i)
			}
		}
	}
}

// failExhausted fails the job of a run if one of its tasks has failed as often as it may.
func (c *Cell) failExhausted(r *run, now ms) {
	for _, s := range r.stages {
		for i, attempts := range s.failures {
			if !s.done.has(i) && len(attempts) >= max(c.queue(s.job).MaxAttempts, 1) {
				c.finish(s.job, Failed, now)
			}
		}
	}
}

// writeDue reports whether the ends of an unknown job have to be stored.
func (u *unknownJob) writeDue(now ms) bool {
	return !u.writing && u.persisted < u.version && (u.urgent || now-u.seenAt >= unknownWriteAfterMs)
}

// dueUnknownWrites returns the number of records of unknown jobs that are due.
func (c *Cell) dueUnknownWrites() int {
	n := 0
	for _, u := range c.unknownJobs {
		if u.writeDue(c.roundAt) {
			n++
		}
	}
	return n
}

// appendUnknownWrites adds the records of unknown jobs that are due, as many as fit into a budget of store rows.
func (c *Cell) appendUnknownWrites(out []ProgressWrite, budget int) []ProgressWrite {
	const rows = 2
	for _, id := range slices.Sorted(maps.Keys(c.unknownJobs)) {
		u := c.unknownJobs[id]
		if !u.writeDue(c.roundAt) {
			continue
		}
		if !c.unknown(id) {
			u.persisted = u.version // The job has ended: its final state is stored.
			continue
		}
		if budget < rows {
			break
		}
		budget -= rows
		u.writing = true
		out = append(out, ProgressWrite{Job: id, Progress: u.progress.clone(), Revision: u.revision, Unknown: true, unknown: u, version: u.version})
	}
	return out
}

// onWritten records that the store has a version of the ends, at the given revision.
func (u *unknownJob) onWritten(version, revision int64) {
	u.writing = false
	u.persisted, u.revision = max(u.persisted, version), revision
}

// requeue records that the store may not have the ends. found holds the revisions that were read from the store, by job.
func (u *unknownJob) requeue(found map[string]int64) {
	u.writing = false
	if rev, ok := found[u.id]; ok {
		u.revision = rev
	}
}
