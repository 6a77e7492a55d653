package cccontrol

import (
	"context"
	"time"

	"coriandercross/core/cccell"

	"github.com/cockroachdb/errors"
)

// The final states of ended jobs are kept in the store until they are old, so that callers can ask for them and a submission
// that arrives again is not accepted. The leader removes the old ones.
//
// A leader also needs to know the ends of prior terms, since it may be told of such a job by a process that does not know of its
// end. It reads them when it takes over, but does not depend on that: until it has them all, it asks the store for each job that
// it is told of, and runs no job before it is stored.

const (
	// maxEndPages is the number of pages of final states that a new leader reads. A page has about 500 records of 100 bytes.
	maxEndPages = 64
	// endsWait is how long a new leader waits for them before it leads.
	endsWait = time.Second
	// storedEndFactor and storedEndMarginMs give the age at which the store's record of a final state is removed, by
	// Config.FinalRetentionMs: callers ask for that long, and the clocks of two processes may differ by seconds.
	storedEndFactor      = 2
	storedEndMarginMs ms = 60_000
	// endsSweepIntervalMs is the delay between two searches for old records, endsPageIntervalMs that between their pages.
	endsSweepIntervalMs ms = 30_000
	endsPageIntervalMs  ms = 1000
	// maxRemovals is the number of records in one transaction: each takes two rows of 32. removalIntervalMs is the delay
	// between transactions: the platform charges for each and bounds their rate.
	maxRemovals          = 16
	removalIntervalMs ms = 100
)

// mergeEnd adds the final state of a job, as read from the store, to the known ones.
func (p *Process) mergeEnd(id string, pr *cccell.Progress, now ms) {
	if !pr.State.Final() || pr.Withdrawn {
		return
	}
	var team string
	if pr.Owner != nil {
		team = pr.Owner.Team
	}
	p.stateCache.merge(id, team, pr.State, now)
}

// startReadingEnds starts reading the final states of prior terms, unless that was done.
func (l *leadership) startReadingEnds() {
	if l.endsRead != nil {
		return
	}
	l.endsRead = make(chan struct{})
	go l.readEnds()
}

// awaitEnds blocks until the final states of prior terms were read, but for endsWait at most.
func (l *leadership) awaitEnds(ctx context.Context) {
	timer := time.NewTimer(endsWait)
	defer timer.Stop()
	select {
	case <-l.endsRead:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readEnds reads the final states of prior terms. Nobody else writes any in this term: the transactions of a prior leader depend
// on its leader record.
func (l *leadership) readEnds() {
	defer close(l.endsRead)
	p := l.p
	began, after, n, more := p.now(), "", 0, true
	for pages := 0; more && pages < maxEndPages; pages++ {
		var items []Item
		var err error
		for {
			if items, more, err = p.cfg.Store.Page(l.ctx, prefixEnds, after, false); err == nil {
				break
			}
			if !sleep(l.ctx, loadRetryDelayMs) {
				return
			}
		}
		for i := range items {
			id, _ := trimPrefix(items[i].Key, prefixEnds)
			var pr cccell.Progress
			if err := decode(items[i].Key, items[i].Value, &pr); err != nil {
				p.cfg.Log.Error("final state of the job can't be decoded", "Job", id, "Error", err)
				continue
			}
			p.mergeEnd(id, &pr, p.now())
			after = items[i].Key
		}
		n += len(items)
	}
	l.endsKnown.Store(!more)
	p.cfg.Log.Info("final states read", "Token", l.token, "Jobs", n, "All", !more, "TookMs", p.now()-began)
}

// knowsEnds reports whether this leader knows the ends of prior terms. Those from before FinalRetentionMs don't matter.
func (l *leadership) knowsEnds(now ms) bool {
	return (l.endsKnown.Load() && !l.priorEndsLeft) || now-l.beganAt >= l.p.cfg.FinalRetentionMs
}

// addReported adds a stored job of which a process has told. begun is true if a prior leader may have started tasks of it.
func (l *leadership) addReported(j *cccell.Job, begun bool, now ms) {
	switch {
	case l.p.stateCache.ended(j.ID):
	case l.cell.HasJob(j.ID) || l.knowsEnds(now):
		l.cell.AddReportedJob(j, begun, now, unixNow())
	default:
		go l.addUnlessEnded(j, begun)
	}
}

// addUnlessEnded adds a reported job once the store is known to have it still: it may have ended in a prior term.
func (l *leadership) addUnlessEnded(j *cccell.Job, begun bool) {
	for l.ctx.Err() == nil {
		_, err := l.p.cfg.Store.Get(l.ctx, prefixJobs+j.ID)
		switch {
		case err == nil:
			l.post(func(now ms) {
				if !l.p.stateCache.ended(j.ID) {
					l.cell.AddReportedJob(j, begun, now, unixNow())
				}
			})
			return
		case errors.Is(err, ErrNoKey):
			l.p.decision("reported job has ended", "Job", j.ID, "Begun", begun)
			return
		}
		sleep(l.ctx, jitter(retryDelayMs))
	}
}

// removeOldEnds removes the final states that are old from the store, as long as the term lasts. Records that an earlier release
// has left among the progress are removed first.
func (l *leadership) removeOldEnds() {
	prefixes := []string{prefixEnds}
	if l.priorLayout {
		prefixes = []string{prefixProgress, prefixEnds}
	}
	for sleep(l.ctx, jitter(endsSweepIntervalMs)) {
		for _, prefix := range prefixes {
			l.sweep(prefix)
		}
	}
}

// sweep removes the old final states among the keys with a prefix.
func (l *leadership) sweep(prefix string) {
	p := l.p
	removed := 0
	for after, more := "", true; more && l.ctx.Err() == nil; sleep(l.ctx, endsPageIntervalMs) {
		items, hasMore, err := p.cfg.Store.Page(l.ctx, prefix, after, true)
		if err != nil {
			p.decision("old final states not read", "Prefix", prefix, "Error", err)
			break
		}
		more = hasMore
		if len(items) > 0 {
			after = items[len(items)-1].Key
		}
		removed += l.removeOld(items)
	}
	if removed > 0 {
		p.cfg.Log.Info("old final states removed", "Prefix", prefix, "Jobs", removed)
	}
}

// removeOld removes the old final states among items from the store and returns their number. What is not removed is found by a
// later search.
func (l *leadership) removeOld(items []Item) (removed int) {
	p := l.p
	oldest := int64(unixNow() - storedEndFactor*p.cfg.FinalRetentionMs - storedEndMarginMs)
	t := &Txn{}
	for i := range items {
		var pr cccell.Progress
		if err := decode(items[i].Key, items[i].Value, &pr); err != nil {
			p.decision("final state can't be decoded", "Key", items[i].Key, "Error", err)
		} else if pr.State.Final() && pr.EndedMs > 0 && pr.EndedMs < oldest {
			t.If = append(t.If, Condition{Key: items[i].Key, Revision: items[i].Revision})
			t.Remove = append(t.Remove, items[i].Key)
		}
		if len(t.Remove) == 0 || (len(t.Remove) < maxRemovals && i+1 < len(items)) {
			continue
		}
		if _, err := p.cfg.Store.Write(l.ctx, t); err != nil {
			p.decision("old final states not removed", "Jobs", len(t.Remove), "Error", err)
		} else {
			removed += len(t.Remove)
		}
		t = &Txn{}
		if !sleep(l.ctx, removalIntervalMs) {
			break
		}
	}
	return removed
}
