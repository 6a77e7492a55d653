package cccontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
	"coriandercross/core/ccquorum"
	"coriandercross/core/ccruntimes"
	"coriandercross/core/ccsuccession"
	"coriandercross/io/ccpeer"
)

const (
	// tickMs is the interval between scheduling rounds while there are no events.
	tickMs ms = 40
	// statsIntervalMs is the interval between counts of the queued jobs.
	statsIntervalMs ms = 200
	// loadRetries is the number of retries of loading the state from the store, loadRetryDelayMs the delay before each.
	loadRetries         = 20
	loadRetryDelayMs ms = 150
	// eventQueueSize is the capacity of the event loop's queue; senders block while it is full.
	eventQueueSize = 1024
	// roundDelayFactor is the delay after a scheduling round, as a multiple of the round's duration; maxRoundDelay is
	// its upper bound. The rounds of a large cell take at most a third of a core, if they last 10 ms or less; the short
	// rounds of a small cell follow each other almost at once.
	roundDelayFactor = 2
	maxRoundDelay    = 20 * time.Millisecond
	// loadPollMs is the interval at which a Sync call checks whether the new leader has loaded its state.
	loadPollMs ms = 10
	// watchTimeoutMs is the timeout of a watch of the submissions or of the directory. It bounds the time until a dead
	// connection is noticed.
	watchTimeoutMs ms = 1000
	// watchIntervalMs is the delay between watches, so that one reply carries the changes (heartbeats) of many workers.
	watchIntervalMs ms = 400
	// watchCatchUpChanges is the number of changes in a reply from which the next watch follows without delay: the
	// store returns about 500 changes at most in a reply, and 3,000 workers make 2,000 changes a second.
	watchCatchUpChanges = 200
	// directoryWaitMs is the longest time for which starts wait for the registrations of the workers after an outage of
	// the store.
	directoryWaitMs ms = 1000
	// restartTokens is the number of tokens of a term for restarts of a worker; see cccell.Config.RestartTokens.
	restartTokens = 1<<10 - 1
	// rosterIntervalMs is the least interval between writes of the roster.
	rosterIntervalMs ms = 1000
)

// event is a function that the event loop runs.
type event func(now ms)

// leadership is one term of this process as leader. Its event loop owns the cell and all fields below dispatcher.
type leadership struct {
	p       *Process
	token   int64
	cell    *cccell.Cell
	events  chan event
	ended   chan struct{}
	endOnce sync.Once
	ctx     context.Context
	cancel  context.CancelFunc

	dispatcher *adviceDispatcher
	// record is the leader record as last written or read by this term.
	record leaderRecord
	// announcement is sent to the peers at the start of the term.
	announcement ccpeer.AnnounceRequest
	beganAt      ms
	// handedOver is true once the handover is complete, hadAuthority while the leader has authority. loggedHandover is true once a slow
	// handover was logged.
	handedOver     atomic.Bool
	hadAuthority   bool
	loggedHandover bool
	// quorum holds the confirmations of this leader, handover what is known of the end of the prior leader's authority.
	quorum   *ccquorum.Term
	handover *ccquorum.Handover
	// recordingVoters is true while a write of the voters is under way; votersAt is when the last one began.
	recordingVoters bool
	votersAt        ms
	// flushing is true while a write of progress is under way; flushedAt is when the last one began.
	flushing  bool
	flushedAt ms
	// statsAt is the time of the last count of the queued jobs.
	statsAt ms
	// configVersion is the version of the configuration that the cell has.
	configVersion int64
	// confirming is true while the leader record is read from the store.
	confirming bool
	// lag is that of the event loop, and resignation decides whether this leader hands over because it is slow.
	lag         ccsuccession.Lag
	resignation ccsuccession.Resignation
	// wasSlow is whether this VM was slow in the last round.
	wasSlow bool
	// offer tells whom this leader hands over to, nil while it stays.
	offer atomic.Pointer[ccsuccession.Offer]
	// suspendedTime is the last observed value of ccclock.SuspendedTime.
	suspendedTime ms
	// directoryAt is when the last reading of the directory that left no changes was sent. rereadDirectory tells watchDirectory to
	// read the directory at once, and rereadFor is the return of the store for which it was told last.
	directoryAt     ms
	rereadDirectory chan struct{}
	rereadFor       ms
	// roster is the roster that this term persisted last, empty before the first write: the incarnation of each worker,
	// by ID.
	roster ccquorum.Incarnations
	// drained is what this term persisted last of Cell.Drained.
	drained map[string]int64
	// longLeases has the workers of roster with WorkerInfo.LongLease.
	longLeases map[string]bool
	// rosterAt is when the roster of the cell was last compared with roster, rosterWriteAt when the last write of it began.
	rosterAt, rosterWriteAt ms
	// writingRoster is true while a write of the roster is under way; rosterRevision is the revision that it replaces.
	// priorRoster is the roster that the term found.
	writingRoster  bool
	rosterRevision int64
	priorRoster    ccquorum.Incarnations
	// loaded holds what was read from the store until load has used it.
	loaded loadedState
	// workersCheckedAt is when the replies of the workers were last counted as confirmations.
	workersCheckedAt ms
	// storing holds the IDs of the jobs that storeBegun is writing.
	storing map[string]bool
	// runTimes is what the cell learns with, nil if it does not. runTimesAt is the start of the last write of its
	// snapshot, or of the term; writingRunTimes is true while one is under way.
	runTimes        *ccruntimes.Learner
	runTimesAt      ms
	writingRunTimes bool
}

// beginTerm starts a term as leader: it announces the term, loads the state from the store, and starts the event loop.
// It gives up if the state can't be loaded, or if another leader is elected meanwhile. prior is the record that r has
// replaced by a write that was sent at a time.
func (p *Process) beginTerm(ctx context.Context, r leaderRecord, prior *leaderRecord, sent ms, failure *leaderFailure) {
	p.cfg.Log.Info("taking the lead", "Token", r.Token, "Revision", r.revision, "Why", failure.why, "Misses", failure.misses)
	began := p.now()
	p.loadingToken.Store(r.Token)
	defer p.loadingToken.Store(0)
	l := &leadership{p: p, token: r.Token, record: r, events: make(chan event, eventQueueSize), ended: make(chan struct{}), roster: ccquorum.Incarnations{}, storing: map[string]bool{}, rereadDirectory: make(chan struct{}, 1), suspendedTime: ccclock.SuspendedTime()}
	l.announcement = ccpeer.AnnounceRequest{VM: r.VM, Address: r.Address, StartMs: r.StartMs, Token: r.Token, Revision: r.revision, Demoted: r.Demoted}
	l.beganAt, l.hadAuthority = began, true
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.quorum = ccquorum.NewTerm(p.voter(), r.authority(), r.Voters, sent)
	l.handover = ccquorum.NewHandover(r.Voters, prior.settled(), prior.authority(), began)
	l.handover.Follows(p.voter(), began)
	if prior.Token == 0 || (prior.VM == p.cfg.VM && prior.StartMs != p.cfg.StartMs) || (failure.handedOver() && failure.leader.Token == prior.Token) {
		// There was no prior leader, or it was this process before its restart, or it has ended its term for this one.
		l.handover.PriorLeaderEnded(began)
	}
	if p.cfg.LearnRunTimes {
		l.runTimes, l.runTimesAt = ccruntimes.New(), began
		l.readRunTimes()
	}
	l.cell = cccell.New(cccell.Config{
		Token: r.Token, RestartTokens: restartTokens, LeaseMs: p.cfg.LeaseMs, MaxLeaseMs: p.cfg.MaxLeaseMs, PriorLeaseMs: max(prior.LeaseMs, r.LeaseMs), AuthorityMs: l.quorum.Authority() - began,
		PriorAuthorityMs: l.handover.EndsAt() - began, PriorUnstored: prior.Token != 0, AwaitRoster: true, Ended: p.stateCache.ended,
		RemoteFactor: p.cfg.RemoteFactor, JobMemory: p.cfg.JobMemory, Log: p.decision, RunTimes: l.runTimes, ObserveRunTime: p.cfg.Metrics.observeRunTime,
	}, began)
	if p.runsUnstored.Load() {
		l.cell.NotePriorUnstored()
	}
	l.dispatcher = newAdviceDispatcher(l)
	l.announce(*prior)
	var submissions, directory int64
	var err error
	for retries := 0; ; retries++ {
		l.directoryAt = p.now()
		if submissions, directory, err = l.load(); err == nil {
			break
		}
		if current, _ := p.currentLeader(); retries == loadRetries || current.Token != r.Token || !sleep(ctx, loadRetryDelayMs) {
			p.cfg.Log.Error("term abandoned: state not loaded from the store", "Token", r.Token, "Error", err)
			l.cancel()
			return
		}
	}
	l.cell.AdoptExcess(p.stateCache.excessJobs())
	l.quorum.RecordedWorkers(l.priorRoster)
	l.cell.SetRecorded(l.quorum.InEachRoster())
	if prior.ByWorkers {
		l.handover.AwaitWorkers(l.priorRoster, prior.MostWorkers)
	}
	p.stateCache.beginTerm(r.Token, l.cell.States(), p.now()) // Before peers can sync: Sync replies from this cache.
	p.mu.Lock()
	replaced := p.leader.Token != r.Token
	if !replaced {
		p.leadership = l
	}
	p.mu.Unlock()
	if replaced {
		p.cfg.Log.Info("another leader was elected before the state was loaded", "Token", r.Token)
		l.cancel()
		return
	}
	p.cfg.Metrics.terms.Inc()
	p.cfg.Log.Info("leading", "Token", r.Token, "Jobs", len(l.cell.States()), "TookMs", p.now()-began)
	go l.loop()
	go l.watchSubmissions(submissions)
	go l.watchDirectory(directory)
}

// decision counts a decision of the scheduler and logs it like logLimited.
func (p *Process) decision(kind string, kv ...any) {
	p.cfg.Metrics.decisions.WithLabelValues(kind).Inc()
	p.logLimited(kind, kv...)
}

// logLimited logs a line, subject to the sampler's rate limit: callers decide how often it comes. LeftOut in a line is the
// number of lines of the same kind that were dropped since the last one.
func (p *Process) logLimited(kind string, kv ...any) {
	if p.cfg.Sampler != nil {
		ok, leftOut := p.cfg.Sampler.Allow(kind)
		if !ok {
			return
		}
		if leftOut > 0 {
			kv = append(kv, "LeftOut", leftOut)
		}
	}
	p.cfg.Log.Info(kind, kv...)
}

// post queues an event for the event loop. The event is dropped if the term has ended.
func (l *leadership) post(e event) {
	select {
	case l.events <- e:
	case <-l.ended:
	}
}

// end ends the term. Calls after the first have no effect and return false.
func (l *leadership) end(why string) (ended bool) {
	l.endOnce.Do(func() {
		ended = true
		l.p.cfg.Log.Warn("lead ended", "Token", l.token, "Why", why)
		l.p.mu.Lock()
		l.p.leadership = nil
		l.p.mu.Unlock()
		l.cancel()
		close(l.ended)
	})
	return ended
}

// resign asks peers to take over. This process leads until one of them has: fencing tokens protect against orders of
// two leaders, and without a leader the queued jobs would be delayed.
func (l *leadership) resign() {
	l.p.cfg.Log.Info("resigning", "Token", l.token)
	l.p.stateCache.apply(nil, l.p.now()) // Wakes the Sync calls that wait for a change; their replies have Resigning set.
}

// summary returns a summary of the cell, nil if the term ends before the event loop has made it.
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

// loop is the event loop. It runs the queued events, and a scheduling round after them.
func (l *leadership) loop() {
	tick := time.NewTicker(tickMs.Duration())
	defer tick.Stop()
	defer l.p.cfg.Metrics.teams.set(nil, nil)
	defer l.p.cfg.Metrics.unstored.Set(0)
	defer l.p.cfg.Metrics.unrecorded.Set(0)
	for {
		var began time.Time
		select {
		case <-l.ended:
			return
		case e := <-l.events:
			began = time.Now()
			now := l.p.now()
			e(now)
			for n := len(l.events); n > 0; n-- {
				(<-l.events)(now)
			}
		case <-tick.C:
			began = time.Now()
		}
		round := time.Now()
		l.step()
		l.considerSuccession(time.Since(began))
		// Each round visits all queued jobs, so events that arrive during the delay share the next round.
		time.Sleep(min(roundDelayFactor*time.Since(round), maxRoundDelay))
	}
}

// step runs one scheduling round and sends the resulting orders and writes.
func (l *leadership) step() {
	p := l.p
	now := p.now()
	l.confirmAuthority(now)
	if l.cell.Deposed() {
		l.end("a worker has seen a higher token")
		return
	}
	l.updateConfig()
	l.cell.HoldStarts(l.awaitsDirectory(now))
	l.cell.Schedule(now, unixNow())
	if runs := l.cell.RunsUnstored(); runs != p.runsUnstored.Swap(runs) && runs {
		l.dispatcher.wakeAll() // The next leader needs to know.
	}
	l.sendOrders(l.cell.TakeOrders(), now)
	p.jobRoom.learn(l.dispatcher.leastJobMemory(p.jobRoom.own()), l.cell.JobBytes())
	p.cfg.Metrics.jobBytes.Set(float64(l.cell.JobBytes()))
	l.flush(now)
	l.writeRoster(now)
	l.writeRunTimes(now)
	l.recordVoters(now)
	if now-l.statsAt >= statsIntervalMs {
		l.statsAt = now
		l.storeBegun(now)
		p.cfg.Metrics.unrecorded.Set(float64(l.cell.Unrecorded()))
		p.stateCache.setQueuedJobs(l.cell.QueuedJobs(), now)
		p.cfg.Metrics.teams.set(l.cell.Teams(now), l.cell.TeamShares(now))
		l.cell.RemoveEndedJobs(now - p.cfg.FinalRetentionMs)
	}
}

// updateConfig gives the cell the configuration in force, unless it has it.
func (l *leadership) updateConfig() {
	if c := l.p.config.Load(); c != nil && c.config.Version > l.configVersion {
		l.configVersion = c.config.Version
		l.cell.SetQueues(c.config.Queues())
		l.cell.SetTeams(c.config.Teams)
	}
}

// callWorker makes a call in a new goroutine. The event loop runs onReply with the reply.
func (l *leadership) callWorker(kind string, call func() cccell.Reply, onReply func(r cccell.Reply, now ms)) {
	go func() {
		r := call()
		l.p.cfg.Metrics.observeCall(kind, r)
		l.post(func(now ms) { onReply(r, now) })
	}()
}

// poll makes a poll. The event loop gets the outcome, and then the reply if that is late.
func (l *leadership) poll(o *cccell.PollOrder) {
	posted := make(chan struct{})
	defer close(posted)
	r, lists := l.p.cfg.Workers.Poll(l.ctx, o, func(r cccell.Reply, lists *cccell.TaskLists) {
		<-posted
		l.post(func(now ms) { l.cell.OnLateReply(o, r, lists, now) })
	})
	l.p.cfg.Metrics.observeCall("look", r) // "look" is the metric label of polls.
	l.post(func(now ms) { l.cell.OnPollReply(o, r, lists, now) })
}

// sendOrders publishes the state changes, and sends the orders to the workers and to the policy service.
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
		go l.poll(s)
	}
	l.dispatcher.dispatch(o.AdviceRequests, now)
}
