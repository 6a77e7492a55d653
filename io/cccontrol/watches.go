package cccontrol

import (
	"context"
	"maps"
	"time"

	"coriandercross/core/cccell"

	"github.com/cockroachdb/errors"
)

// watchSubmissions watches the store for submitted jobs and requests to cancel, and passes them to the cell. The
// processes that accept them also notify the leader directly; the watch finds those whose notification was lost.
func (l *leadership) watchSubmissions(after int64) {
	p := l.p
	for l.ctx.Err() == nil {
		items, rev, err := p.cfg.Store.Watch(l.ctx, prefixSubmissions, after, watchTimeoutMs)
		if errors.Is(err, ErrCompacted) {
			if items, rev, err = p.cfg.Store.Range(l.ctx, prefixSubmissions, false); err == nil {
				p.cfg.Log.Warn("history of submissions was compacted: all submissions read again", "From", after, "At", rev, "Keys", len(items))
			}
		}
		if err != nil {
			sleep(l.ctx, jitter(retryDelayMs*3))
			continue
		}
		after = max(after, rev)
		if len(items) > 0 {
			l.post(func(now ms) { l.addSubmissions(items, now) })
		}
		// The delay does not hold up urgent jobs, since the leader is notified of them.
		sleep(l.ctx, watchIntervalMs)
	}
}

// addSubmissions adds the jobs that were read from the store to the cell, and cancels those with a request to cancel.
func (l *leadership) addSubmissions(items []Item, now ms) {
	for i := range items {
		if items[i].Deleted {
			continue
		}
		if id, ok := trimPrefix(items[i].Key, prefixJobs); ok && !l.cell.HasJob(id) && !l.p.stateCache.ended(id) {
			j := &cccell.Job{}
			if err := decode(items[i].Key, items[i].Value, j); err != nil {
				l.p.cfg.Log.Error("job can't be decoded", "Job", id, "Error", err)
				continue
			}
			l.cell.AddJob(j, now, unixNow())
		}
	}
	for i := range items {
		if id, ok := trimPrefix(items[i].Key, prefixCancel); ok && !items[i].Deleted {
			l.cell.Cancel(id, now)
		}
	}
}

// watchDirectory passes the changes of the directory to the cell.
func (l *leadership) watchDirectory(after int64) {
	timeout := watchTimeoutMs // Short when the directory has to be read at once, until that is done.
	for l.ctx.Err() == nil {
		sent := l.p.now()
		changes, rev, told, err := l.readChanges(after, timeout)
		if errors.Is(err, ErrCompacted) {
			rev, err = l.relist()
		}
		caughtUp := err == nil && len(changes) < watchCatchUpChanges
		var delay ms
		switch {
		case err != nil:
			delay = jitter(retryDelayMs * 3)
		case caughtUp:
			delay, timeout = watchIntervalMs, watchTimeoutMs
		}
		if err == nil {
			after = max(after, rev)
			l.post(func(now ms) {
				if caughtUp {
					l.directoryAt = sent
				}
				for i := range changes {
					if changes[i].Removed {
						l.cell.MarkUnlisted(changes[i].ID)
					} else {
						l.cell.SetWorker(changes[i].Info, now)
					}
				}
			})
		}
		if told || l.sleepUnlessTold(delay) {
			timeout = 1
		}
	}
}

// readChanges watches the directory, as Directory.Watch does. When the directory has to be read at once, it gives the watch
// up, which may wait for a reply that an outage of the store has lost, and returns told as true.
func (l *leadership) readChanges(after int64, timeout ms) (changes []WorkerChange, rev int64, told bool, err error) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		changes, rev, err = l.p.cfg.Directory.Watch(ctx, after, timeout)
	}()
	select {
	case <-done:
	case <-l.rereadDirectory:
		told = true
		cancel()
		<-done
	}
	return changes, rev, told, err
}

// sleepUnlessTold blocks for d. It returns true at once when the directory has to be read.
func (l *leadership) sleepUnlessTold(d ms) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-l.rereadDirectory:
		return true
	case <-t.C:
	case <-l.ctx.Done():
	}
	return false
}

// awaitsDirectory reports whether starts wait for the registrations of the workers: the store was down and is reached
// again, and the directory was not read since. A worker may have shrunk meanwhile. While the store is down, starts go on.
func (l *leadership) awaitsDirectory(now ms) bool {
	back, reached := l.p.cfg.Store.ReachedSince()
	if !reached || l.directoryAt >= back || now-back >= directoryWaitMs {
		return false
	}
	if l.rereadFor != back {
		l.rereadFor = back
		l.p.cfg.Log.Info("starts wait for the registrations of the workers", "Token", l.token, "ReadMs", now-l.directoryAt)
		select {
		case l.rereadDirectory <- struct{}{}:
		default:
		}
	}
	return true
}

// relist reads all workers, since the history of the directory was compacted. It returns the revision to watch from.
func (l *leadership) relist() (int64, error) {
	workers, invalid, rev, err := l.p.cfg.Directory.List(l.ctx)
	if err != nil {
		return 0, err
	}
	l.post(func(now ms) { l.cell.SetWorkers(workers, invalid, now) })
	return rev, nil
}

// writeRoster persists the list of the workers that may run tasks, if it has changed, once the handover is complete. The next
// leader waits until the leases have lapsed at those of them that it can't reach, and counts those that it reaches. A worker
// gets no tasks before it is in the roster.
func (l *leadership) writeRoster(now ms) {
	if l.writingRoster || now < l.handover.EndsAt() {
		return
	}
	if now-l.rosterAt < rosterIntervalMs && (now-l.rosterWriteAt < rosterIntervalMs || l.cell.Unrecorded() == 0) {
		return
	}
	l.rosterAt = now
	list, drained := l.cell.Roster(), l.cell.Drained()
	// A worker that a failed write has left out is not recorded until the next one.
	same := len(list) == len(l.roster) && maps.Equal(drained, l.drained) && l.cell.Unrecorded() == 0
	for i := range list {
		same = same && l.roster[list[i].ID] == list[i].IncarnationMs && l.longLeases[list[i].ID] == list[i].LongLease
	}
	if same {
		return
	}
	l.writingRoster, l.rosterWriteAt = true, now
	roster := incarnations(list)
	l.quorum.ProposeWorkers(roster)
	l.cell.SetRecorded(l.quorum.InEachRoster())
	// With the condition on its own revision, no write can be carried out after a later one.
	t := &Txn{
		If:   []Condition{{keyLeader, l.record.revision}, {keyRoster, l.rosterRevision}},
		Puts: []Put{{Key: keyRoster, Value: encode(rosterRecord{Workers: list, Drained: drained})}},
	}
	go func() {
		rev, err := l.p.cfg.Store.Write(l.ctx, t)
		l.post(func(now ms) {
			l.writingRoster = false
			var conflict *Conflict
			switch {
			case err == nil:
				l.rosterRevision, l.roster, l.drained, l.longLeases = rev, roster, drained, longLeases(list)
				l.cell.RosterStored(list)
				l.quorum.RecordedWorkers(roster)
				l.cell.SetRecorded(l.quorum.InEachRoster())
				return
			case errors.As(err, &conflict):
				// The voters were written meanwhile, or an earlier write of the roster.
				l.rosterAt = now - rosterIntervalMs + retryDelayMs
				for i := range conflict.Found {
					if conflict.Found[i].Key == keyRoster {
						l.rosterRevision = conflict.Found[i].Revision // An earlier write was carried out whose reply was lost.
					}
				}
			}
			l.p.decision("roster not written", "Token", l.token, "Workers", len(list), "Error", err)
		})
	}()
}
