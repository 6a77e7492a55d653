package cccontrol

import (
	"context"
	"time"

	"coriandercross/core/cccell"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// load reads jobs, progress, roster and workers into the cell. It returns the revisions to watch from.
func (l *leadership) load() (in, directory int64, err error) {
	p := l.p
	ctx, cancel := context.WithTimeout(l.ctx, 5*time.Second)
	defer cancel()
	var workers []cccell.WorkerInfo
	var handed, progress []Item
	var roster Item
	// At once: a slow store takes a fifth of a second for each answer.
	var reads errgroup.Group
	reads.Go(func() (err error) {
		workers, directory, err = p.cfg.Directory.List(ctx)
		return err
	})
	reads.Go(func() (err error) {
		handed, in, err = p.cfg.Store.Range(ctx, prefixSubmissions, false)
		return err
	})
	reads.Go(func() (err error) {
		progress, _, err = p.cfg.Store.Range(ctx, prefixProgress, false)
		return err
	})
	reads.Go(func() (err error) {
		if roster, err = p.cfg.Store.Get(ctx, keyRoster); errors.Is(err, ErrNoKey) {
			err = nil
		}
		return err
	})
	if err := reads.Wait(); err != nil {
		return 0, 0, err
	}
	now := p.now()
	for _, w := range workers {
		l.cell.SetWorker(w, now)
	}
	var old rosterRecord
	if roster.Revision > 0 {
		if err := decode(keyRoster, roster.Value, &old); err != nil {
			p.cfg.Log.Error("roster not read: workers that are not listed are not waited for", "Revision", roster.Revision, "Error", err)
		}
		for _, w := range old.Workers {
			l.cell.AddUnlistedWorker(w, now)
		}
	}
	if c := p.config.Load(); c != nil {
		l.cell.SetQueues(c.config.Queues())
		l.configVersion = c.config.Version
	}
	l.adoptJobs(handed, progress, now)
	return in, directory, nil
}

// adoptJobs takes in the jobs of the store.
func (l *leadership) adoptJobs(handed, progress []Item, now ms) {
	p := l.p
	records := map[string]*cccell.Progress{}
	revisions := map[string]int64{}
	for i := range progress {
		id, _ := trimPrefix(progress[i].Key, prefixProgress)
		pr := &cccell.Progress{}
		if err := decode(progress[i].Key, progress[i].Value, pr); err != nil {
			p.cfg.Log.Error("progress not read", "Job", id, "Error", err)
			continue
		}
		records[id], revisions[id] = pr, progress[i].Revision
		if pr.State.Final() {
			p.stateCache.merge(id, pr.State, now)
		}
	}
	cancels := map[string]bool{}
	for i := range handed {
		if id, ok := trimPrefix(handed[i].Key, prefixCancel); ok {
			cancels[id] = true
		}
	}
	for i := range handed {
		id, ok := trimPrefix(handed[i].Key, prefixJobs)
		if !ok {
			continue
		}
		j := &cccell.Job{}
		if err := decode(handed[i].Key, handed[i].Value, j); err != nil {
			p.cfg.Log.Error("job not read", "Job", id, "Error", err)
			continue
		}
		l.cell.Adopt(cccell.StoredJob{Job: j, Progress: records[id], Revision: revisions[id], CancelRequested: cancels[id]}, now, unixNow())
	}
}
