package cccontrol

import (
	"coriandercross/core/cccell"

	"github.com/cockroachdb/errors"
)

// watchIn takes in what other processes accepted, as a safety net under what they tell.
func (l *leadership) watchIn(after int64) {
	p := l.p
	for l.ctx.Err() == nil {
		items, at, err := p.cfg.Store.Watch(l.ctx, prefixIn, after, inWatchMs)
		if errors.Is(err, ErrCompacted) {
			if items, at, err = p.cfg.Store.Range(l.ctx, prefixIn, false); err == nil {
				p.cfg.Log.Warn("history of hand-ins is gone: read anew", "From", after, "At", at, "Keys", len(items))
			}
		}
		if err != nil {
			sleep(l.ctx, jitter(retryMs*3))
			continue
		}
		after = max(after, at)
		if len(items) > 0 {
			l.post(func(now ms) { l.takeIn(items, now) })
		}
		// What is urgent was told already.
		sleep(l.ctx, watchGapMs)
	}
}

// takeIn takes in hand-ins and cancels from the store.
func (l *leadership) takeIn(items []Item, now ms) {
	for i := range items {
		if items[i].Deleted {
			continue
		}
		if id, ok := cut(items[i].Key, prefixJobs); ok && !l.cell.HasJob(id) {
			j := &cccell.Job{}
			if err := decode(items[i].Key, items[i].Value, j); err != nil {
				l.p.cfg.Log.Error("job not read", "Job", id, "Error", err)
				continue
			}
			l.add(j, now)
		}
	}
	for i := range items {
		if id, ok := cut(items[i].Key, prefixCancel); ok && !items[i].Deleted {
			l.cell.Cancel(id, now)
		}
	}
}

// add takes in an accepted job, unless it has ended already.
func (l *leadership) add(j *cccell.Job, now ms) {
	if s, ok := l.p.board.state(j.ID); ok && s.Final() {
		return
	}
	l.cell.AddJob(j, now, unixNow())
}

// watchDirectory takes in which workers there are.
func (l *leadership) watchDirectory(after int64) {
	p := l.p
	for l.ctx.Err() == nil {
		changes, at, err := p.cfg.Directory.Watch(l.ctx, after, inWatchMs)
		if errors.Is(err, ErrCompacted) {
			at, err = l.relist()
		}
		if err != nil {
			sleep(l.ctx, jitter(retryMs*3))
			continue
		}
		after = max(after, at)
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
		if len(changes) < watchBehind {
			sleep(l.ctx, watchGapMs)
		}
	}
}

// relist reads all workers after the history was lost.
func (l *leadership) relist() (int64, error) {
	workers, at, err := l.p.cfg.Directory.List(l.ctx)
	if err != nil {
		return 0, err
	}
	l.post(func(now ms) { l.cell.SetWorkers(workers, now) })
	return at, nil
}

// writeRoster tells the next leader which workers may run something.
func (l *leadership) writeRoster(now ms) {
	if l.rostering || now-l.rosterAt < rosterGapMs {
		return
	}
	l.rosterAt = now
	list := l.cell.Roster()
	same := len(list) == len(l.roster)
	for i := range list {
		same = same && l.roster[list[i].ID] == list[i].IncarnationMs
	}
	if same {
		return
	}
	l.rostering = true
	go func() {
		_, err := l.p.cfg.Store.Write(l.ctx, &Txn{
			If: []Condition{{keyLeader, l.record.revision}}, Puts: []Put{{Key: keyRoster, Value: encode(rosterRecord{Workers: list})}},
		})
		l.post(func(ms) {
			l.rostering = false
			if err != nil {
				return
			}
			l.roster = map[string]int64{}
			for i := range list {
				l.roster[list[i].ID] = list[i].IncarnationMs
			}
		})
	}()
}
