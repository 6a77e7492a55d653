package cccontrol

import (
	"context"
	"sync"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
	"coriandercross/io/ccfellow"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// tickMs is the time between two looks at what is due while no event comes.
	tickMs ms = 40
	// figuresMs is the time between two counts of what waits.
	figuresMs ms = 200
	// takeOverTries bounds the reading of the store at a take-over, takeOverPauseMs is the pause between two.
	takeOverTries      = 20
	takeOverPauseMs ms = 150
	eventsQueued       = 1024
	// roundShare is the pause after a round of decisions, in lengths of the round, and maxRoundGap bounds it: a large cell spends at
	// most a third of the processor on rounds, and a small one hardly waits.
	roundShare  = 2
	maxRoundGap = 20 * time.Millisecond
	// loadPollMs is the time between two looks of a call of a fellow at a term that begins.
	loadPollMs ms = 10
	// inWatchMs is how long a watch of what was handed in waits; it bounds the time to notice a silent connection.
	inWatchMs ms = 1000
	// watchGapMs is the pause between watches of the workers, so that their heartbeats are read together.
	watchGapMs ms = 400
	// rosterGapMs is the least time between two writes of the roster.
	rosterGapMs ms = 1000
)

// event is something that happened, for the leader's loop.
type event func(now ms)

// leadership is one term as the leader. Its cell belongs to the loop.
type leadership struct {
	p      *Process
	token  int64
	record leaderRecord
	cell   *cccell.Cell
	events chan event
	ended  chan struct{}
	endOne sync.Once
	ctx    context.Context
	cancel context.CancelFunc

	desk       *askDesk
	noting     bool
	notedAt    ms
	figuresAt  ms
	version    int64
	resigning  bool
	confirming bool
	suspended  ms
	roster     map[string]int64
	rosterAt   ms
	rostering  bool
}

// takeLead begins a term: it reads what lasts, and lets the loop take the workers.
func (p *Process) takeLead(ctx context.Context, r, prior leaderRecord, why string, misses int) {
	p.cfg.Log.Info("taking the lead", "Token", r.Token, "Revision", r.revision, "Why", why, "Misses", misses)
	began := p.now()
	p.loading.Store(r.Token)
	defer p.loading.Store(0)
	l := &leadership{p: p, token: r.Token, record: r, events: make(chan event, eventsQueued), ended: make(chan struct{}), roster: map[string]int64{}, suspended: ccclock.Suspended()}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.cell = cccell.New(cccell.Config{
		Token: r.Token, LeaseMs: p.cfg.LeaseMs, PriorLeaseMs: max(prior.LeaseMs, p.cfg.LeaseMs), AuthorityMs: authorityMs,
		RemoteFactor: p.cfg.RemoteFactor, Log: p.decision,
	}, began)
	l.announce(prior)
	l.desk = newAskDesk(l)
	var in, directory int64
	var err error
	for try := 0; ; try++ {
		if in, directory, err = l.load(); err == nil {
			break
		}
		if seen, _ := p.leaderView(); try == takeOverTries || seen.Token != r.Token || !sleep(ctx, takeOverPauseMs) {
			p.cfg.Log.Error("lead given up", "Token", r.Token, "Error", err)
			l.cancel()
			return
		}
	}
	p.board.lead(r.Token, l.cell.States(), p.now())
	p.mu.Lock()
	p.lead = l
	p.mu.Unlock()
	p.cfg.Metrics.leads.Inc()
	p.cfg.Log.Info("leading", "Token", r.Token, "Jobs", len(l.cell.States()), "TookMs", p.now()-began)
	go l.loop()
	go l.watchIn(in)
	go l.watchDirectory(directory)
}

// decision counts a decision of the cell and logs it, unless too many of its kind were logged lately.
func (p *Process) decision(what string, kv ...any) {
	p.cfg.Metrics.decisions.WithLabelValues(what).Inc()
	if p.cfg.Sampler != nil {
		ok, leftOut := p.cfg.Sampler.Allow(what)
		if !ok {
			return
		}
		if leftOut > 0 {
			kv = append(kv, "LeftOut", leftOut)
		}
	}
	p.cfg.Log.Info(what, kv...)
}

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
		handed, in, err = p.cfg.Store.Range(ctx, prefixIn, false)
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
	if roster.Revision > 0 && decode(keyRoster, roster.Value, &old) == nil {
		for _, w := range old.Workers {
			l.cell.AddUnlisted(w, now)
		}
	}
	if c := p.config.Load(); c != nil {
		l.cell.SetQueues(c.config.Queues())
		l.version = c.config.Version
	}
	l.adopt(handed, progress, now)
	return in, directory, nil
}

// adopt takes in the jobs of the store.
func (l *leadership) adopt(handed, progress []Item, now ms) {
	p := l.p
	records := map[string]*cccell.Progress{}
	revisions := map[string]int64{}
	for i := range progress {
		id, _ := cut(progress[i].Key, prefixProgress)
		pr := &cccell.Progress{}
		if err := decode(progress[i].Key, progress[i].Value, pr); err != nil {
			p.cfg.Log.Error("progress not read", "Job", id, "Error", err)
			continue
		}
		records[id], revisions[id] = pr, progress[i].Revision
		if pr.State.Final() {
			p.board.learn(id, pr.State, now)
		}
	}
	cancels := map[string]bool{}
	for i := range handed {
		if id, ok := cut(handed[i].Key, prefixCancel); ok {
			cancels[id] = true
		}
	}
	for i := range handed {
		id, ok := cut(handed[i].Key, prefixJobs)
		if !ok {
			continue
		}
		j := &cccell.Job{}
		if err := decode(handed[i].Key, handed[i].Value, j); err != nil {
			p.cfg.Log.Error("job not read", "Job", id, "Error", err)
			continue
		}
		l.cell.Adopt(cccell.Stored{Job: j, Progress: records[id], Revision: revisions[id], CancelAsked: cancels[id]}, now, unixNow())
	}
}

// post hands an event to the loop. It is dropped when the term has ended.
func (l *leadership) post(e event) {
	select {
	case l.events <- e:
	case <-l.ended:
	}
}

// end ends the term. It may be called more than once.
func (l *leadership) end(why string) {
	l.endOne.Do(func() {
		l.p.cfg.Log.Warn("lead ended", "Token", l.token, "Why", why)
		l.p.mu.Lock()
		l.p.lead = nil
		l.p.mu.Unlock()
		l.cancel()
		close(l.ended)
	})
}

// resign stops new starts; fellows are asked to take over.
func (l *leadership) resign() {
	l.post(func(ms) {
		l.resigning = true
		l.p.cfg.Log.Info("resigning", "Token", l.token)
	})
	l.p.board.put(nil, l.p.now())
}

// summary returns the cell's state, nil when the term ends meanwhile.
func (l *leadership) summary() *cccell.Summary {
	out := make(chan *cccell.Summary, 1)
	l.post(func(now ms) { out <- l.cell.Summary(now) })
	select {
	case s := <-out:
		return s
	case <-l.ended:
		return nil
	}
}

// loop owns the cell: it takes in events, decides, and sends what was decided.
func (l *leadership) loop() {
	tick := time.NewTicker(tickMs.Duration())
	defer tick.Stop()
	for {
		select {
		case <-l.ended:
			return
		case e := <-l.events:
			now := l.p.now()
			e(now)
			for n := len(l.events); n > 0; n-- {
				(<-l.events)(now)
			}
		case <-tick.C:
		}
		began := time.Now()
		l.step()
		// Events that come meanwhile are decided on together: a round looks at all that waits.
		time.Sleep(min(roundShare*time.Since(began), maxRoundGap))
	}
}

// step decides what is due now, and sends it.
func (l *leadership) step() {
	p := l.p
	now := p.now()
	l.watchAuthority(now)
	if l.cell.Deposed() {
		l.end("a worker obeys a higher token")
		return
	}
	if c := p.config.Load(); c != nil && c.config.Version > l.version {
		l.version = c.config.Version
		l.cell.SetQueues(c.config.Queues())
	}
	l.cell.Schedule(now, unixNow(), !l.resigning)
	l.send(l.cell.Take(), now)
	l.note(now)
	l.writeRoster(now)
	if now-l.figuresAt >= figuresMs {
		l.figuresAt = now
		p.board.figures(l.cell.Pending(), l.cell.Doors(now), now)
		p.board.expire(p.cfg.KeepFinalMs, now)
		l.cell.Forget(now - p.cfg.KeepFinalMs)
	}
}

// send carries out orders. Each call has a goroutine of its own and posts its answer.
func (l *leadership) send(o cccell.Orders, now ms) {
	p := l.p
	if len(o.Changes) > 0 {
		p.board.put(o.Changes, now)
	}
	for i := range o.Starts {
		s := o.Starts[i]
		go func() {
			r := p.cfg.Workers.Start(l.ctx, &s)
			p.cfg.Metrics.call("start", r)
			l.post(func(now ms) { l.cell.OnStart(&s, r, now) })
		}()
	}
	for i := range o.Stops {
		s := o.Stops[i]
		go func() {
			r := p.cfg.Workers.Stop(l.ctx, &s)
			p.cfg.Metrics.call("stop", r)
			l.post(func(now ms) { l.cell.OnStop(&s, r, now) })
		}()
	}
	for i := range o.Looks {
		s := o.Looks[i]
		go func() {
			r, lists := p.cfg.Workers.Look(l.ctx, &s)
			p.cfg.Metrics.call("look", r)
			l.post(func(now ms) { l.cell.OnLook(&s, r, lists, now) })
		}()
	}
	for i := range o.Paces {
		s := o.Paces[i]
		go func() {
			r := p.cfg.Workers.Pace(l.ctx, &s)
			p.cfg.Metrics.call("pace", r)
			l.post(func(ms) { l.cell.OnPace(&s, r) })
		}()
	}
	l.desk.add(o.Asks, now)
}

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
		if id, ok := cut(items[i].Key, prefixJobs); ok && !l.cell.Knows(id) {
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
	l.cell.Add(j, now, unixNow())
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
					if changes[i].Gone {
						l.cell.LoseWorker(changes[i].ID)
					} else {
						l.cell.SetWorker(changes[i].Info, now)
					}
				}
			})
		}
		sleep(l.ctx, watchGapMs)
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
		same = same && l.roster[list[i].ID] == list[i].BornMs
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
				l.roster[list[i].ID] = list[i].BornMs
			}
		})
	}()
}

// Sync implements ccfellow.CellHandler: the leader tells a fellow what changed.
func (p *Process) Sync(ctx context.Context, in *ccfellow.SyncRequest) (*ccfellow.SyncReply, error) {
	l := p.leading()
	for began := p.now(); l == nil && p.loading.Load() != 0; l = p.leading() {
		// The term has been won; a fellow that is told otherwise, or nothing, would campaign against it.
		if p.now()-began > syncWaitMs {
			return &ccfellow.SyncReply{Leading: true, Token: p.loading.Load(), Loading: true, StoreAgeMs: p.cfg.Store.AgeMs()}, nil
		}
		if !sleep(ctx, loadPollMs) {
			return nil, ctx.Err()
		}
	}
	if l == nil {
		return &ccfellow.SyncReply{}, nil
	}
	slot := l.desk.slot(in.VM, in.Draining)
	if in.Token == l.token {
		slot.vouch()
	}
	deadline := time.NewTimer(syncWaitMs.Duration())
	defer deadline.Stop()
	if wait := slot.answeredAt() + syncGapMs - p.now(); wait > 0 && !slot.hasAsks() {
		slot.sleep(ctx, wait)
	}
	for {
		seq, whole, changes, next := p.board.since(in.Token, in.Seq)
		asks := slot.take()
		done := whole || len(changes) > 0 || len(asks) > 0 || p.draining.Load()
		if !done {
			select {
			case <-next:
				continue
			case <-slot.wake:
				continue
			case <-deadline.C:
			case <-l.ended:
				return &ccfellow.SyncReply{}, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		p.board.mu.Lock()
		out := &ccfellow.SyncReply{
			Leading: true, Token: l.token, Seq: seq, Whole: whole, Changes: changes, Asks: asks, Pending: p.board.pending, Doors: p.board.doors,
			StoreAgeMs: p.cfg.Store.AgeMs(), Resign: p.draining.Load(),
		}
		p.board.mu.Unlock()
		if c := p.config.Load(); c != nil {
			out.Version = c.config.Version
		}
		slot.answered(p.now())
		return out, nil
	}
}

// Tell implements ccfellow.CellHandler: a fellow tells what was accepted, and answers of the policy service.
func (p *Process) Tell(_ context.Context, in *ccfellow.TellRequest) (*ccfellow.TellReply, error) {
	l := p.leading()
	if l == nil {
		return &ccfellow.TellReply{}, nil
	}
	l.told(in)
	return &ccfellow.TellReply{Leading: true}, nil
}

// told hands what a process tells to the loop.
func (l *leadership) told(in *ccfellow.TellRequest) {
	l.post(func(now ms) {
		for _, j := range in.Jobs {
			if !l.cell.Knows(j.ID) {
				l.add(j, now)
			}
		}
		for _, id := range in.Cancels {
			l.cell.Cancel(id, now)
		}
		for i := range in.Answers {
			l.desk.answered(in.VM)
			l.cell.OnAnswer(&in.Answers[i], 0, now)
		}
	})
}
