package cccontrol

import (
	"maps"

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
	p := l.p
	for l.ctx.Err() == nil {
		changes, rev, err := p.cfg.Directory.Watch(l.ctx, after, watchTimeoutMs)
		if errors.Is(err, ErrCompacted) {
			rev, err = l.relist()
		}
		if err != nil {
			sleep(l.ctx, jitter(retryDelayMs*3))
			continue
		}
		after = max(after, rev)
		if len(changes) > 0 {
			l.post(func(now ms) {
				for i := range changes {
					if changes[i].Removed {
						l.cell.MarkUnlisted(changes[i].ID)
					} else {
						l.cell.SetWorker(changes[i].Info, now)
					}
				}
			})
		}
		if len(changes) < watchCatchUpChanges {
			sleep(l.ctx, watchIntervalMs)
		}
	}
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

// writeRoster persists the list of the workers that may run tasks, if it has changed. The next leader waits until the
// leases have lapsed at those of them that it can't reach.
func (l *leadership) writeRoster(now ms) {
	if l.writingRoster || now-l.rosterAt < rosterIntervalMs {
		return
	}
	l.rosterAt = now
	list, drained := l.cell.Roster(), l.cell.Drained()
	same := len(list) == len(l.roster) && maps.Equal(drained, l.drained)
	for i := range list {
		same = same && l.roster[list[i].ID] == list[i].IncarnationMs
	}
	if same {
		return
	}
	l.writingRoster = true
	t := &Txn{If: []Condition{{keyLeader, l.record.revision}}, Puts: []Put{{Key: keyRoster, Value: encode(rosterRecord{Workers: list, Drained: drained})}}}
	go func() {
		_, err := l.p.cfg.Store.Write(l.ctx, t)
		l.post(func(ms) {
			l.writingRoster = false
			if err != nil {
				return
			}
			l.roster, l.drained = map[string]int64{}, drained
			for i := range list {
				l.roster[list[i].ID] = list[i].IncarnationMs
			}
		})
	}()
}
