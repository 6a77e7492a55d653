package cccontrol

import (
	"bytes"
	"context"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

const (
	// flushIntervalMs is the least time between two writes of progress while few jobs wait for one: calls are priced.
	flushIntervalMs ms = 40
	// maxWriteRows is the number of rows of one write, of the 32 that the store takes; one is the leader's own condition.
	maxWriteRows = 31
	// flushBacklog is the number of waiting notes that are written without a pause.
	flushBacklog = 10
	// flushTimeout bounds one write: twice the answer of a slow store, which takes 240 ms.
	flushTimeout = 500 * time.Millisecond
)

// flush writes progress to the store, one write at a time.
func (l *leadership) flush(now ms) {
	waiting := l.cell.PendingWrites()
	if l.flushing || waiting == 0 || (now-l.flushedAt < flushIntervalMs && waiting < flushBacklog) {
		return
	}
	notes := l.cell.NextWrites(maxWriteRows, unixNow())
	if len(notes) == 0 {
		return
	}
	l.flushing, l.flushedAt = true, now
	go l.writeProgress(notes)
}

// writeProgress repeats one write until its outcome is known. A repeat does no harm: what is written stays the same, and a
// write that comes late finds its conditions broken.
func (l *leadership) writeProgress(notes []cccell.ProgressWrite) {
	t := &Txn{If: []Condition{{keyLeader, l.record.revision}}}
	for i := range notes {
		n := &notes[i]
		key := prefixProgress + n.Job
		t.If = append(t.If, Condition{key, n.Revision})
		t.Puts = append(t.Puts, Put{Key: key, Value: encode(n.Progress)})
		if n.Progress.State.Final() {
			t.Remove = append(t.Remove, prefixJobs+n.Job)
			if n.CancelRequested {
				t.Remove = append(t.Remove, prefixCancel+n.Job)
			}
		}
	}
	began := l.p.now()
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, flushTimeout)
		sent := l.p.now()
		rev, err := l.p.cfg.Store.Write(ctx, t)
		cancel()
		var conflict *Conflict
		switch {
		case err == nil:
			l.p.cfg.Metrics.flushMs.Observe(float64(l.p.now() - began))
			l.post(func(now ms) {
				l.cell.ExtendAuthority(sent + l.record.authority())
				l.onWritten(notes, rev, now)
			})
			return
		case errors.As(err, &conflict):
			l.post(func(now ms) { l.onConflict(notes, t, conflict, now) })
			return
		case !errors.Is(err, ccstore.ErrInDoubt) && !errors.Is(err, ccstore.ErrUnavailable):
			l.p.cfg.Log.Error("progress not written", "Notes", len(notes), "Error", err)
		}
		sleep(l.ctx, jitter(retryDelayMs))
	}
}

// onWritten takes in that the store has the notes.
func (l *leadership) onWritten(notes []cccell.ProgressWrite, rev int64, now ms) {
	l.flushing = false
	l.cell.OnWritten(notes, rev, now)
}

// onConflict takes in that a write's conditions did not hold: another process leads, or an earlier try was carried out.
func (l *leadership) onConflict(notes []cccell.ProgressWrite, t *Txn, c *Conflict, now ms) {
	l.flushing = false
	found := map[string]Item{}
	for _, item := range c.Found {
		found[item.Key] = item
	}
	if found[keyLeader].Revision != l.record.revision {
		item := found[keyLeader]
		l.p.readLeader(&item, "conflict")
		l.end("the record names another leader")
		return
	}
	var missing []cccell.ProgressWrite
	revisions := map[string]int64{}
	for i := range notes {
		item := found[t.Puts[i].Key]
		if bytes.Equal(item.Value, t.Puts[i].Value) {
			l.cell.OnWritten(notes[i:i+1], item.Revision, now)
			continue
		}
		missing = append(missing, notes[i])
		revisions[notes[i].Job] = item.Revision
	}
	if len(missing) > 0 {
		l.p.cfg.Log.Warn("progress in the store is another than known", "Jobs", len(missing), "First", missing[0].Job)
		l.cell.RequeueWrites(missing, revisions)
	}
}
