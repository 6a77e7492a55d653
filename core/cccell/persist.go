package cccell

// ProgressWrite is a progress record to be written to the store.
type ProgressWrite struct {
	Job      string
	Progress Progress
	// Revision is the revision of the record to be replaced, 0 when there is none.
	Revision int64
	// CancelRequested is true when a cancel request has to be removed together with the job, EndsStored when ends have that
	// were stored while the job was unknown.
	CancelRequested, EndsStored bool
	// Unknown is true for the ends of the tasks of an unknown job, which have a record of their own.
	Unknown bool

	// Either job or unknown is set.
	job     *job
	unknown *unknownJob
	version int64
}

// NextWrites returns the records of the jobs with the oldest unwritten changes, as many as fit into a budget of store
// rows, and then those of unknown jobs. The caller must pass each to OnWritten or RequeueWrites. A record takes two rows,
// and up to three more when it removes the job.
func (c *Cell) NextWrites(budget int, nowUnix ms) []ProgressWrite {
	var out []ProgressWrite
	var kept []*job
	for i, j := range c.dirty {
		if j.unstored {
			kept = append(kept, j) // Its submission is written under the condition that there is no progress.
			continue
		}
		rows := 2
		if j.final != "" {
			rows++
			if j.cancelRequested {
				rows++
			}
			if j.endsStored {
				rows++
			}
		}
		if budget < rows {
			kept = append(kept, c.dirty[i:]...)
			budget = 0
			break
		}
		budget -= rows
		delete(c.inDirty, j)
		out = append(out, ProgressWrite{
			Job: j.spec.ID, Progress: j.progress(int64(nowUnix)), Revision: j.revision, CancelRequested: j.cancelRequested, EndsStored: j.endsStored, job: j, version: j.version,
		})
	}
	c.dirty = kept
	return c.appendUnknownWrites(out, budget)
}

// PendingWrites returns the number of records with changes that NextWrites has not returned yet.
func (c *Cell) PendingWrites() int {
	n := c.dueUnknownWrites()
	if c.unstoredCount == 0 {
		return n + len(c.dirty)
	}
	for _, j := range c.dirty {
		if !j.unstored {
			n++
		}
	}
	return n
}

// OnWritten is called when the store has persisted the records at the given revision.
func (c *Cell) OnWritten(writes []ProgressWrite, revision int64, now ms) {
	for i := range writes {
		p := &writes[i]
		if p.Unknown {
			p.unknown.onWritten(p.version, revision)
			continue
		}
		j := p.job
		j.revision = revision
		j.persisted = max(j.persisted, p.version)
		if p.Progress.State.Final() && j.published == "" {
			j.published = p.Progress.State
			c.publishState(j)
			c.cfg.Log("job shown", "Job", p.Job, "State", j.published, "AgeMs", now-j.arrivedAt, "Revision", revision)
		}
	}
	for _, w := range c.workers {
		w.advanceAck(now)
	}
}

// RequeueWrites is called when the store may not have the records. NextWrites will return their jobs again. found holds
// the revisions of the records that were read from the store, by job.
func (c *Cell) RequeueWrites(writes []ProgressWrite, found map[string]int64) {
	for i := range writes {
		if u := writes[i].unknown; u != nil {
			u.requeue(found)
			continue
		}
		j := writes[i].job
		if rev, ok := found[writes[i].Job]; ok {
			j.revision = rev
		}
		if !c.inDirty[j] {
			c.inDirty[j] = true
			c.dirty = append(c.dirty, j)
		}
	}
}

// advanceAck moves ackedEnd past the ends whose changes are persisted. Ends are acknowledged in the order of their
// numbers.
func (w *worker) advanceAck(now ms) {
	for len(w.unackedEnds) > 0 {
		e := w.unackedEnds[0]
		if !e.stored() {
			return
		}
		w.ackedEnd = e.number
		w.unackedEnds = w.unackedEnds[1:]
	}
}
