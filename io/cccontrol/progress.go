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
	// flushIntervalMs is the least interval between transactions while few writes are pending, since the platform
	// charges for each call to the store.
	flushIntervalMs ms = 40
	// maxWriteRows is the number of rows for progress in one transaction. The store accepts 32 rows; the condition on
	// the leader record takes one.
	maxWriteRows = 31
	// flushBacklog is the number of pending writes from which flushIntervalMs does not apply.
	flushBacklog = 10
	// flushTimeout is the timeout of one transaction: twice the 240 ms in which a slow store replies.
	flushTimeout = 500 * time.Millisecond
)

// flush writes the pending progress of jobs to the store, in one transaction at a time.
func (l *leadership) flush(now ms) {
	pending := l.cell.PendingWrites()
	if l.flushing || pending == 0 || (now-l.flushedAt < flushIntervalMs && pending < flushBacklog) {
		return
	}
	writes := l.cell.NextWrites(maxWriteRows, unixNow())
	if len(writes) == 0 {
		return
	}
	l.flushing, l.flushedAt = true, now
	go l.writeProgress(writes, l.record.revision)
}

// writeProgress repeats a transaction until its outcome is known. Repeats are harmless: they write the same values, and
// once one of them has been carried out, the conditions of the others fail. revision is that of the leader record.
func (l *leadership) writeProgress(writes []cccell.ProgressWrite, revision int64) {
	t := &Txn{If: []Condition{{keyLeader, revision}}}
	for i := range writes {
		w := &writes[i]
		key := prefixProgress + w.Job
		if w.Unknown {
			key = prefixUnknown + w.Job
		}
		t.If = append(t.If, Condition{key, w.Revision})
		t.Puts = append(t.Puts, Put{Key: key, Value: encode(w.Progress)})
		if w.Progress.State.Final() {
			t.Remove = append(t.Remove, prefixJobs+w.Job)
			if w.CancelRequested {
				t.Remove = append(t.Remove, prefixCancel+w.Job)
			}
			if w.EndsStored {
				t.Remove = append(t.Remove, prefixUnknown+w.Job)
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
				l.quorum.ConfirmByStore(sent)
				l.onWritten(writes, rev, now)
			})
			return
		case errors.As(err, &conflict):
			l.post(func(now ms) { l.onConflict(writes, t, conflict, now) })
			return
		case !errors.Is(err, ccstore.ErrInDoubt) && !errors.Is(err, ccstore.ErrUnavailable):
			l.p.cfg.Log.Error("progress not written", "Notes", len(writes), "Error", err)
		}
		sleep(l.ctx, jitter(retryDelayMs))
	}
}

// onWritten is called when the writes are in the store, at the given revision.
func (l *leadership) onWritten(writes []cccell.ProgressWrite, rev int64, now ms) {
	l.flushing = false
	l.cell.OnWritten(writes, rev, now)
}

// onConflict is called when the conditions of the transaction did not hold: another process leads, an earlier repeat of
// the transaction was carried out, or a record has another revision than expected.
func (l *leadership) onConflict(writes []cccell.ProgressWrite, t *Txn, c *Conflict, now ms) {
	l.flushing = false
	found := map[string]Item{}
	for _, item := range c.Found {
		found[item.Key] = item
	}
	item := found[keyLeader]
	if !l.adoptRecord(&item) {
		l.p.readLeader(&item, "conflict")
		l.end("the leader record names another leader")
		return
	}
	var missing []cccell.ProgressWrite
	revisions := map[string]int64{}
	for i := range writes {
		item := found[t.Puts[i].Key]
		if bytes.Equal(item.Value, t.Puts[i].Value) {
			l.cell.OnWritten(writes[i:i+1], item.Revision, now)
			continue
		}
		missing = append(missing, writes[i])
		revisions[writes[i].Job] = item.Revision
	}
	if len(missing) > 0 {
		if t.If[0].Revision == l.record.revision { // Otherwise the voters were recorded meanwhile.
			l.p.cfg.Log.Warn("progress record in the store has an unexpected revision", "Jobs", len(missing), "First", missing[0].Job)
		}
		l.cell.RequeueWrites(missing, revisions)
	}
}
