package cccontrol

import (
	"context"
	"sync"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
)

const (
	// tickMs is the time between two looks at what is due while no event comes.
	tickMs ms = 40
	// statsIntervalMs is the time between two counts of what waits.
	statsIntervalMs ms = 200
	// loadRetries bounds the reading of the store at a take-over, loadRetryDelayMs is the pause between two.
	loadRetries         = 20
	loadRetryDelayMs ms = 150
	eventQueueSize      = 1024
	// roundDelayFactor is the pause after a round of decisions, in lengths of the round, and maxRoundDelay bounds it: a large cell spends at
	// most a third of the processor on rounds, and a small one hardly waits.
	roundDelayFactor = 2
	maxRoundDelay    = 20 * time.Millisecond
	// loadPollMs is the time between two looks of a call of a fellow at a term that begins.
	loadPollMs ms = 10
	// watchTimeoutMs is how long a watch of what was handed in waits; it bounds the time to notice a silent connection.
	watchTimeoutMs ms = 1000
	// watchIntervalMs is the pause between watches of the workers, so that their heartbeats are read together.
	watchIntervalMs ms = 400
	// watchCatchUpChanges is the number of changes in one answer from which the watch goes on without a pause: the store tells at most some 500
	// changes in one answer, and 3,000 workers report 2,000 times a second.
	watchCatchUpChanges = 200
	// rosterIntervalMs is the least time between two writes of the roster.
	rosterIntervalMs ms = 1000
)

// event is something that happened, for the leader's loop.
type event func(now ms)

// leadership is one term as the leader. Its cell belongs to the loop.
type leadership struct {
	p       *Process
	token   int64
	record  leaderRecord
	cell    *cccell.Cell
	events  chan event
	ended   chan struct{}
	endOnce sync.Once
	ctx     context.Context
	cancel  context.CancelFunc

	dispatcher    *adviceDispatcher
	flushing      bool
	flushedAt     ms
	statsAt       ms
	configVersion int64
	confirming    bool
	suspendedTime ms
	roster        map[string]int64
	rosterAt      ms
	writingRoster bool
}

// beginTerm begins a term: it reads what lasts, and lets the loop take the workers.
func (p *Process) beginTerm(ctx context.Context, r leaderRecord, lost *leaderFailure) {
	prior := lost.leader
	p.cfg.Log.Info("taking the lead", "Token", r.Token, "Revision", r.revision, "Why", lost.why, "Misses", lost.misses)
	began := p.now()
	p.loadingToken.Store(r.Token)
	defer p.loadingToken.Store(0)
	l := &leadership{p: p, token: r.Token, record: r, events: make(chan event, eventQueueSize), ended: make(chan struct{}), roster: map[string]int64{}, suspendedTime: ccclock.SuspendedTime()}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.cell = cccell.New(cccell.Config{
		Token: r.Token, LeaseMs: p.cfg.LeaseMs, PriorLeaseMs: max(prior.LeaseMs, p.cfg.LeaseMs), AuthorityMs: r.authority(),
		PriorAuthorityMs: prior.authority(),
		RemoteFactor:     p.cfg.RemoteFactor, Log: p.decision,
	}, began)
	l.announce(prior)
	l.dispatcher = newAdviceDispatcher(l)
	var in, directory int64
	var err error
	for try := 0; ; try++ {
		if in, directory, err = l.load(); err == nil {
			break
		}
		if seen, _ := p.currentLeader(); try == loadRetries || seen.Token != r.Token || !sleep(ctx, loadRetryDelayMs) {
			p.cfg.Log.Error("lead given up", "Token", r.Token, "Error", err)
			l.cancel()
			return
		}
	}
	p.stateCache.beginTerm(r.Token, l.cell.States(), p.now()) // Before fellows are answered from it.
	p.mu.Lock()
	replaced := p.leader.Token != r.Token
	if !replaced {
		p.leadership = l
	}
	p.mu.Unlock()
	if replaced {
		p.cfg.Log.Info("replaced before the term began", "Token", r.Token)
		l.cancel()
		return
	}
	p.cfg.Metrics.terms.Inc()
	p.cfg.Log.Info("leading", "Token", r.Token, "Jobs", len(l.cell.States()), "TookMs", p.now()-began)
	go l.loop()
	go l.watchSubmissions(in)
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

// post hands an event to the loop. It is dropped when the term has ended.
func (l *leadership) post(e event) {
	select {
	case l.events <- e:
	case <-l.ended:
	}
}

// end ends the term. It may be called more than once.
func (l *leadership) end(why string) {
	l.endOnce.Do(func() {
		l.p.cfg.Log.Warn("lead ended", "Token", l.token, "Why", why)
		l.p.mu.Lock()
		l.p.leadership = nil
		l.p.mu.Unlock()
		l.cancel()
		close(l.ended)
	})
}

// resign asks fellows to take over. Until one has, this process goes on: its tokens fence it, and a pause would cost the work that
// waits.
func (l *leadership) resign() {
	l.p.cfg.Log.Info("resigning", "Token", l.token)
	l.p.stateCache.apply(nil, l.p.now()) // Wakes the fellows that wait for a change.
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
		time.Sleep(min(roundDelayFactor*time.Since(began), maxRoundDelay))
	}
}

// step decides what is due now, and sends it.
func (l *leadership) step() {
	p := l.p
	now := p.now()
	l.confirmAuthority(now)
	if l.cell.Deposed() {
		l.end("a worker obeys a higher token")
		return
	}
	if c := p.config.Load(); c != nil && c.config.Version > l.configVersion {
		l.configVersion = c.config.Version
		l.cell.SetQueues(c.config.Queues())
	}
	l.cell.Schedule(now, unixNow())
	l.sendOrders(l.cell.TakeOrders(), now)
	l.flush(now)
	l.writeRoster(now)
	if now-l.statsAt >= statsIntervalMs {
		l.statsAt = now
		p.stateCache.setPending(l.cell.QueuedJobs(), now)
		p.stateCache.expire(p.cfg.FinalRetentionMs, now)
		l.cell.RemoveEndedJobs(now - p.cfg.FinalRetentionMs)
	}
}

// callWorker does one call in a goroutine of its own and hands its answer to the loop.
func (l *leadership) callWorker(kind string, call func() cccell.Reply, answer func(r cccell.Reply, now ms)) {
	go func() {
		r := call()
		l.p.cfg.Metrics.observeCall(kind, r)
		l.post(func(now ms) { answer(r, now) })
	}()
}

// sendOrders carries out orders.
func (l *leadership) sendOrders(o cccell.Orders, now ms) {
	p := l.p
	if len(o.Changes) > 0 {
		p.stateCache.apply(o.Changes, now)
	}
	for i := range o.Starts {
		s := &o.Starts[i]
		l.callWorker("start", func() cccell.Reply { return p.cfg.Workers.Start(l.ctx, s) }, func(r cccell.Reply, now ms) { l.cell.OnStartReply(s, r, now) })
	}
	for i := range o.Stops {
		s := &o.Stops[i]
		l.callWorker("stop", func() cccell.Reply { return p.cfg.Workers.Stop(l.ctx, s) }, func(r cccell.Reply, now ms) { l.cell.OnStopReply(s, r, now) })
	}
	for i := range o.Polls {
		s := &o.Polls[i]
		var lists *cccell.TaskLists
		l.callWorker("look", func() (r cccell.Reply) {
			r, lists = p.cfg.Workers.Poll(l.ctx, s)
			return r
		}, func(r cccell.Reply, now ms) { l.cell.OnPollReply(s, r, lists, now) })
	}
	l.dispatcher.dispatch(o.AdviceRequests, now)
}
