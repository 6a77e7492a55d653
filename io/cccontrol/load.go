package cccontrol

import (
	"context"

	"coriandercross/core/cccell"
	"coriandercross/core/ccquorum"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// loadedState is what a new leader reads from the store. Each read is repeated by itself until it succeeds, so that reads which
// a narrow or a full link allows only one after the other all come to their end.
type loadedState struct {
	workers                        []cccell.WorkerInfo
	submissions, progress, unknown []Item
	roster                         Item
	submissionsRev, directoryRev   int64
	hasWorkers, hasRoster          bool
	hasSubmissions, hasProgress    bool
	hasUnknown                     bool
}

// read makes the reads that have not succeeded yet, in parallel, since a slow store takes a fifth of a second for each reply. A
// call of the store is bounded by itself as long as it makes progress, so there is no bound for all of them.
func (s *loadedState) read(ctx context.Context, p *Process) error {
	var reads errgroup.Group
	once := func(done *bool, read func() error) {
		if *done {
			return
		}
		reads.Go(func() error {
			err := read()
			*done = err == nil
			return err
		})
	}
	once(&s.hasWorkers, func() (err error) {
		s.workers, _, s.directoryRev, err = p.cfg.Directory.List(ctx)
		return err
	})
	once(&s.hasSubmissions, func() (err error) {
		s.submissions, s.submissionsRev, err = p.cfg.Store.Range(ctx, prefixSubmissions, false)
		return err
	})
	once(&s.hasProgress, func() (err error) {
		s.progress, _, err = p.cfg.Store.Range(ctx, prefixProgress, false)
		return err
	})
	once(&s.hasUnknown, func() (err error) {
		s.unknown, _, err = p.cfg.Store.Range(ctx, prefixUnknown, false)
		return err
	})
	once(&s.hasRoster, func() (err error) {
		if s.roster, err = p.cfg.Store.Get(ctx, keyRoster); errors.Is(err, ErrNoKey) {
			err = nil
		}
		return err
	})
	return reads.Wait()
}

// load reads the jobs, their progress, the ends of unknown jobs, the roster and the workers into the cell. It returns the
// revisions from which the submissions and the directory are to be watched. It fails if a read has failed, and may then be
// called again, or if another leader was elected.
func (l *leadership) load() (submissionsRev, directoryRev int64, err error) {
	p, s := l.p, &l.loaded
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	p.mu.Lock()
	changed, replaced := p.leaderChanged, p.leader.Token > l.token
	p.mu.Unlock()
	if replaced {
		cancel()
	}
	go func() {
		select {
		case <-changed: // Only a leader with a higher token changes it.
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := s.read(ctx, p); err != nil {
		return 0, 0, err
	}
	now := p.now()
	for _, w := range s.workers {
		l.cell.SetWorker(w, now)
	}
	l.adoptRoster(&s.roster, now)
	p.cfg.Log.Info("workers loaded", "Token", l.token, "Registered", len(s.workers), "Roster", len(l.priorRoster))
	l.updateConfig()
	l.adoptJobs(s.submissions, s.progress, now)
	l.adoptUnknownEnds(s.unknown, now)
	submissionsRev, directoryRev = s.submissionsRev, s.directoryRev
	*s = loadedState{}
	return submissionsRev, directoryRev, nil
}

// unreadableRoster stands for a roster that can't be decoded. No worker confirms a leader with it, so that only the store does.
var unreadableRoster = ccquorum.Incarnations{"": 0}

// adoptRoster adds the workers of the roster to the cell, as far as they are not registered. The item has no revision if
// the store has no roster.
func (l *leadership) adoptRoster(item *Item, now ms) {
	log := l.p.cfg.Log
	l.rosterRevision = item.Revision
	if item.Revision == 0 {
		return
	}
	var record rosterRecord
	if err := decode(keyRoster, item.Value, &record); err != nil {
		log.Error("roster can't be decoded", "Revision", item.Revision, "Error", err)
		l.priorRoster = unreadableRoster
		l.cell.AwaitUnknownWorkers()
		return
	}
	l.priorRoster = incarnations(record.Workers)
	for _, w := range record.Workers {
		if err := w.Check(); err != nil {
			log.Warn("worker of the roster is invalid", "Worker", w.ID, "Error", err)
			l.cell.AwaitUnknownWorkers()
			continue
		}
		l.cell.AdoptWorker(w, now)
	}
	for id, incarnation := range record.Drained {
		l.cell.AdoptDrained(id, incarnation, now)
	}
}

// adoptJobs adds the jobs of prior terms to the cell, with their progress and requests to cancel.
func (l *leadership) adoptJobs(submissions, progress []Item, now ms) {
	p := l.p
	records := map[string]*cccell.Progress{}
	revisions := map[string]int64{}
	for i := range progress {
		id, _ := trimPrefix(progress[i].Key, prefixProgress)
		pr := &cccell.Progress{}
		if err := decode(progress[i].Key, progress[i].Value, pr); err != nil {
			p.cfg.Log.Error("job is not run: its progress can't be decoded", "Job", id, "Error", err)
			revisions[id] = progress[i].Revision
			continue
		}
		records[id], revisions[id] = pr, progress[i].Revision
		if pr.State.Final() && !pr.Withdrawn {
			var team string
			if pr.Owner != nil {
				team = pr.Owner.Team
			}
			p.stateCache.merge(id, team, pr.State, now)
		}
	}
	cancels := map[string]bool{}
	for i := range submissions {
		if id, ok := trimPrefix(submissions[i].Key, prefixCancel); ok {
			cancels[id] = true
		}
	}
	for i := range submissions {
		id, ok := trimPrefix(submissions[i].Key, prefixJobs)
		if !ok {
			continue
		}
		j := &cccell.Job{}
		if err := decode(submissions[i].Key, submissions[i].Value, j); err != nil {
			p.cfg.Log.Error("job can't be decoded", "Job", id, "Error", err)
			continue
		}
		l.cell.Adopt(cccell.StoredJob{Job: j, Progress: records[id], Revision: revisions[id], CancelRequested: cancels[id], Unreadable: revisions[id] != 0 && records[id] == nil}, now, unixNow())
	}
}

// adoptUnknownEnds adds the ends of tasks of jobs that a prior leader did not know.
func (l *leadership) adoptUnknownEnds(items []Item, now ms) {
	for i := range items {
		id, _ := trimPrefix(items[i].Key, prefixUnknown)
		pr := &cccell.Progress{}
		if err := decode(items[i].Key, items[i].Value, pr); err != nil {
			l.p.cfg.Log.Error("ends of an unknown job can't be decoded", "Job", id, "Error", err)
			continue
		}
		if !l.p.stateCache.ended(id) {
			l.cell.AdoptUnknownEnds(id, pr, items[i].Revision, now)
		}
	}
}
