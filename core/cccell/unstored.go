package cccell

import "slices"

// Unstored jobs. Load: the store is slow or does not reply, and the submissions of urgent jobs wait for it. A job is
// placed before its submission is in the store, but nothing of it is published or written until then, and the workers
// go on listing the ends of its tasks: every later leader finds them.
//
// A leader that follows may find attempts of such jobs before it learns of the jobs. It stores the ends of these attempts
// before their workers forget them (unknown.go), so that no task that is done starts again.

const (
	// maxUnstored bounds the unstored jobs.
	maxUnstored = 4096
	// strayGraceMs is the time that a running task of an unknown job has before it is stopped, in which the process that
	// holds the submission tells a new leader of the job.
	strayGraceMs ms = 300
)

// AddUnstored adds a job whose submission is being written. begun is true if a prior leader may have started tasks of
// it. It returns false if the job is not run before it is stored.
func (c *Cell) AddUnstored(spec *Job, begun bool, now, nowUnix ms) bool {
	if j := c.jobs[spec.ID]; j != nil {
		j.adopted = j.adopted || begun
		return true
	}
	if c.unstoredCount >= maxUnstored {
		return false
	}
	j := c.insert(spec, unstoredJob, begun, now, nowUnix)
	j.unstored = true
	c.unstoredCount++
	c.cfg.Log("job begun before it is stored", append([]any{"Job", spec.ID, "Queue", spec.Queue.Name, "Stages", len(spec.Stages), "Begun", begun}, teamField(spec)...)...)
	c.startDueRuns(j, now, nowUnix)
	c.attachOrphans(j, now)
	return true
}

// MarkBegun records that a prior leader may have started tasks of a job that is not stored yet and that the cell may not have. It
// has no effect once the handover is complete, since all such tasks are known then.
func (c *Cell) MarkBegun(id string) {
	c.unstoredSeen = true
	if j := c.jobs[id]; j != nil {
		j.adopted = true
	} else if len(c.begunBefore) < maxUnstored {
		c.begunBefore[id] = true
	}
}

// awaitsHandover reports whether a job may start tasks only when the handover is complete, since a prior leader may have
// started some. That is known of an adopted job, and can't be excluded for one that no process has told of, or if the prior leader
// ran unstored jobs. If no process can tell that, the workers that reply may show it: a job whose caller was at another process
// before waits then until the handover is complete, the others as long as nobody has told of that work. Load: after a loss of all
// power every caller comes back, and one silent worker must not hold up their jobs for the length of its leases.
func (c *Cell) awaitsHandover(j *job) bool {
	switch {
	case j.adopted:
		return true
	case !c.cfg.PriorUnstored:
		return false
	case j.source == foundJob || !c.initialPollDone || c.priorRanUnstored:
		return true
	case j.spec.Returning:
		return c.unstoredSeen
	}
	return len(c.unclaimed) > 0
}

// markStored records that the submission of a job is in the store.
func (c *Cell) markStored(j *job, now ms) {
	if !j.unstored {
		return
	}
	j.unstored = false
	c.unstoredCount--
	c.cfg.Log("begun job stored", "Job", j.spec.ID, "AfterMs", now-j.arrivedAt, "Started", j.started, "Decided", j.final)
	c.publishState(j)
	if j.excess {
		c.publishExcess(j)
	}
}

// Unstored returns the jobs that have been unstored since a time or longer.
func (c *Cell) Unstored(since ms) []*Job {
	if c.unstoredCount == 0 {
		return nil
	}
	var out []*Job
	for _, j := range c.jobs {
		if j.unstored && j.arrivedAt <= since {
			out = append(out, j.spec)
		}
	}
	return out
}

// UnstoredCount returns the number of unstored jobs.
func (c *Cell) UnstoredCount() int {
	return c.unstoredCount
}

// DropUnstored ends an unstored job that can't be stored, since the store has an ended job or one of another team under
// its ID.
func (c *Cell) DropUnstored(id string, now ms) {
	j := c.jobs[id]
	if j == nil || !j.unstored {
		return
	}
	c.finish(j, Cancelled, now)
	c.cfg.Log("begun job dropped", "Job", id, "AfterMs", now-j.arrivedAt, "LiveAttempts", j.liveAttempts)
	j.unstored = false
	c.unstoredCount--
	// Nothing of it is written, so that nothing has to be awaited before its ends are acknowledged.
	j.published, j.persisted = Cancelled, j.version
	delete(c.inDirty, j)
	c.dirty = slices.DeleteFunc(c.dirty, func(other *job) bool { return other == j })
}

// Withdraw drops an unstored job of a team that was cancelled: its submission will not be stored.
func (c *Cell) Withdraw(id, team string, now ms) {
	if j := c.jobs[id]; j != nil && j.spec.Team == team {
		c.DropUnstored(id, now)
	}
}

// NotePriorUnstored records that the prior leader ran unstored jobs. The process that held them may be lost with it.
func (c *Cell) NotePriorUnstored() {
	c.priorRanUnstored, c.unstoredSeen = true, true
}

// RunsUnstored reports whether the next leader has to expect runs of jobs that it does not find in the store.
func (c *Cell) RunsUnstored() bool {
	return c.unstoredCount > 0 || c.priorRanUnstored
}

// noteUnclaimed records that a prior leader has run a job of which nobody has told this one.
func (c *Cell) noteUnclaimed(id string) {
	c.unclaimed[id], c.unstoredSeen = true, true
}

// unknown reports whether a job is neither in the cell nor known to have ended.
func (c *Cell) unknown(id string) bool {
	return c.jobs[id] == nil && (c.cfg.Ended == nil || !c.cfg.Ended(id))
}

// attachOrphans applies what is known of the tasks of a job that has just been added.
func (c *Cell) attachOrphans(j *job, now ms) {
	id := j.spec.ID
	for _, w := range c.workers {
		if w.orphans == 0 {
			continue
		}
		for _, a := range w.attempts {
			if a.stage != nil || a.task.Job != id {
				continue
			}
			s := c.foundStage(a.task, now)
			if s == nil {
				continue
			}
			w.removeAttempt(a)
			c.assignToStage(a, s, now)
			c.confirmStart(a, now)
		}
	}
	c.attachUnknownEnds(j, now)
}
