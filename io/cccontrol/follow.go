package cccontrol

import (
	"context"
	"syscall"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

const (
	// minHeartbeatMs is the shortest heartbeat interval: the time after which a leader replies to a Sync call without
	// changes.
	minHeartbeatMs ms = 150
	// syncTimeoutMs is the timeout of a Sync call at the shortest heartbeat interval: the interval itself, a round trip
	// between regions, and as much again for a busy leader. It must be short, since urgent work has only about a second
	// of slack.
	syncTimeoutMs ms = 400
	// minReplyIntervalMs is the shortest interval between replies to one peer, so that one reply carries several
	// changes.
	minReplyIntervalMs ms = 30
	// rankDelayMs is the additional delay of a takeover attempt for each process that ranks higher.
	rankDelayMs ms = 120
	// handoverRanks is the number of ranks that all but the chosen successor of a slow leader wait for: it makes a read and
	// a write of the store, and its announcement has to arrive.
	handoverRanks = 4
	// turnTimeoutMs is the longest wait of a process for its turn to take over, before it calls the leader again. The
	// turn of a process with a low rank may come many seconds after the first failed call.
	turnTimeoutMs ms = 400
	// leaderStoreAgeMs is the time since the leader's last successful call to the store from which a peer that reaches
	// the store takes over.
	leaderStoreAgeMs = 600
	// storeReachedMs is the time for which a process has to reach the store before it takes over from a leader that does
	// not. After an outage for all, the processes reach the store again at slightly different times.
	storeReachedMs = 800
	// storeCheckTimeoutMs is the timeout of a check of the store, and the least interval between two checks by
	// probeStore.
	storeCheckTimeoutMs ms = 300
	// peerContactMs is the age, at the shortest heartbeat interval, up to which the last contact of another process
	// with the leader prevents a takeover. It is longer than the heartbeat interval, and shorter than syncTimeoutMs, so
	// that no process reports contact with a leader that is down.
	peerContactMs = 300
	// retryDelayMs is the delay before a failed operation is retried.
	retryDelayMs ms = 100
)

// follow replicates the job states of the leader, and campaigns for a takeover when there is no leader or it fails.
func (p *Process) follow(ctx context.Context) {
	var failure leaderFailure
	for ctx.Err() == nil {
		if l := p.leading(); l != nil {
			select {
			case <-ctx.Done():
			case <-l.ended:
			}
			failure = leaderFailure{}
			continue
		}
		leader, _ := p.currentLeader()
		if leader.Token != failure.leader.Token || failure.sinceMs == 0 {
			failure = leaderFailure{leader: leader, sinceMs: p.now()}
		}
		if leader.Token == 0 {
			failure.why = whyNone
			if !p.campaign(ctx, &failure) {
				sleep(ctx, retryDelayMs)
			}
			continue
		}
		if failure.why = p.syncOnce(ctx, leader); failure.why == "" {
			failure = leaderFailure{}
			continue
		}
		if failure.why == whySilent && p.leaderIsStarting() {
			failure.sinceMs = p.now()
			sleep(ctx, retryDelayMs)
			continue
		}
		if failure.misses++; failure.misses == 1 {
			failure.sinceMs = p.now()
			if failure.why == whyReset {
				continue // A call on a new connection shows whether the process is alive.
			}
		}
		if !p.campaign(ctx, &failure) {
			sleep(ctx, retryDelayMs)
		}
	}
}

// leaderIsStarting reports whether this process learned of the leader so recently that the leader may still be too busy
// to reply to all members.
func (p *Process) leaderIsStarting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now()-p.leaderSince < startupGraceMs(len(p.members))
}

// Reasons to replace a leader, as they are logged.
const (
	whyNone    = "no leader is known"
	whySelf    = "this process led before its restart"
	whyRefused = "unreachable" // The VM refused the connection, so no process listens there.
	whySilent  = "silent"      // The call timed out.
	whyReset   = "reset"       // The connection broke; the process may be alive.
	whyEnded   = "no longer leads"
	whyNoStore = "does not reach the store"
	whyResigns = "resigns"
	whySlow    = "hands over since it is slow" // The leader has ended its term and chosen this process as its successor.
	whyHanded  = "has handed over to another"
)

// leaderFailure records since when and why a leader should be replaced.
type leaderFailure struct {
	leader leaderRecord
	// sinceMs is when the first Sync call that gave a reason to replace the leader had ended, or when this process
	// found that it knows no leader. While a silent leader may still be starting, it is set anew after each call.
	sinceMs ms
	// why is the reason that the last Sync call gave, one of the constants above.
	why string
	// misses is the number of consecutive Sync calls that gave a reason.
	misses int
}

// handedOver reports whether the leader has said that it has ended its term.
func (f *leaderFailure) handedOver() bool {
	return f.why == whySlow || f.why == whyHanded
}

// syncOnce makes one Sync call to the leader and applies its reply. It returns the reason why the leader should be
// replaced, or "" if it should not.
func (p *Process) syncOnce(ctx context.Context, leader leaderRecord) string {
	if leader.VM == p.cfg.VM {
		return whySelf
	}
	token, seq := p.stateCache.position()
	in := &ccpeer.SyncRequest{
		VM: p.cfg.VM, Token: token, Seq: seq, Draining: p.draining.Load(),
		StartMs: p.cfg.StartMs, Following: leader.Token, ReceivedMs: p.receivedFrom(leader.Token), Version: p.configVersion(), JobMemory: p.jobRoom.own(),
	}
	p.measurePace()
	in.SlowTenths = p.succession.slowTenths()
	timeout, sent := syncTimeoutMs+p.extraHeartbeat(), p.now()
	callCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	out, err := p.cfg.Peers.Sync(callCtx, leader.Address, in)
	now := p.now()
	if err != nil {
		p.measurePace()
		p.succession.timedOut(now-sent-timeout, now)
		switch {
		case errors.Is(err, ccpeer.ErrUnreachable) && errors.Is(err, syscall.ECONNREFUSED):
			return whyRefused
		case callCtx.Err() != nil || errors.Is(err, ccpeer.ErrUnreachable):
			return whySilent
		}
		return whyReset
	}
	switch {
	case out.HandedOver && out.Token == leader.Token:
		return whyHanded
	case !out.Leading || out.Token < leader.Token:
		return whyEnded
	}
	p.mu.Lock()
	p.leaderReplyAt, p.heartbeatMs = now, ms(out.HeartbeatMs)
	if p.leader.Token == leader.Token && out.Token == leader.Token {
		p.receivedMs = out.SentMs
	}
	p.mu.Unlock()
	if out.PriorEnded {
		p.soleLeader.learn(out.Token, now)
	}
	p.succession.learnSlow(out.Slow, now)
	if out.Loading {
		if p.aloneReachesStore(out) {
			return whyNoStore
		}
		return ""
	}
	p.runsUnstored.Store(out.RunsUnstored)
	p.jobRoom.learn(out.JobLimit, out.JobBytes)
	if out.StoreAgeMs > storeLostMs {
		go p.probeStore(ctx) // The leader calls the store most often, so it notices an outage before its peers do.
	}
	p.stateCache.applyReplicated(out.Token, out.Seq, out.Changes, now)
	p.stateCache.setQueuedJobs(out.QueuedJobs, now)
	for _, request := range out.AdviceRequests {
		go p.adviseLeader(ctx, request)
	}
	if out.Version > p.configVersion() {
		go p.fetchNewer(ctx, p.memberOf(leader), out.Version)
	}
	switch {
	case out.Successor && out.Token == leader.Token:
		if !p.canTakeOver() {
			return whyHanded // It has turned slow since its call. Another one takes over.
		}
		return whySlow
	case out.Resigning && !p.draining.Load():
		return whyResigns
	case p.aloneReachesStore(out) && !p.draining.Load():
		return whyNoStore
	}
	return ""
}

// aloneReachesStore reports whether this process reaches the store while the leader, by its reply, does not.
func (p *Process) aloneReachesStore(out *ccpeer.SyncReply) bool {
	store := p.cfg.Store
	return out.StoreAgeMs > leaderStoreAgeMs && ms(store.AgeMs()) < 2*storeCheckTimeoutMs && store.ReachedMs() > storeReachedMs
}

// probeStore reads the leader record, which updates MonitoredStore.AgeMs. It does nothing within storeCheckTimeoutMs of
// the last probe.
func (p *Process) probeStore(ctx context.Context) {
	now := int64(p.now())
	last := p.storeCheckedAt.Load()
	if ms(now-last) < storeCheckTimeoutMs || !p.storeCheckedAt.CompareAndSwap(last, now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCheckTimeoutMs.Duration())
	defer cancel()
	if item, err := p.cfg.Store.Get(ctx, keyLeader); err == nil {
		p.readLeader(&item, "probe")
	}
}

// adviseLeader makes an advice request on behalf of the leader, and notifies the leader of the reply.
func (p *Process) adviseLeader(ctx context.Context, request cccell.AdviceRequest) {
	p.notifier.adviceReply(p.requestAdvice(ctx, request))
}

// adviceTimeout returns the timeout of a call to the policy service. A connection that has gone silent must not delay
// the next calls.
func adviceTimeout(request *cccell.AdviceRequest) ms {
	const minTimeoutMs, durationFactor = 1000, 2
	return minTimeoutMs + durationFactor*ms(request.CallMs)
}

// requestAdvice makes an advice request to the policy service.
func (p *Process) requestAdvice(ctx context.Context, request cccell.AdviceRequest) cccell.AdviceReply {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout(&request).Duration())
	defer cancel()
	tickets, validMs, err := p.cfg.PolicyService.Advise(ctx, request.Stage, request.Workers)
	if err != nil {
		p.cfg.Log.Warn("request to the policy service failed", "Job", request.Stage.Job, "Stage", request.Stage.Stage, "Workers", len(request.Workers), "Error", err)
		return cccell.AdviceReply{ID: request.ID, Stage: request.Stage, Failed: true}
	}
	return cccell.AdviceReply{ID: request.ID, Stage: request.Stage, Workers: request.Workers, Tickets: tickets, ValidMs: validMs}
}

// campaign waits for this process's turn and then tries to take over from a failed leader. It returns true if there is
// a newer leader afterwards, this process or another.
func (p *Process) campaign(ctx context.Context, failure *leaderFailure) bool {
	if p.draining.Load() {
		sleep(ctx, retryDelayMs)
		return false
	}
	if p.memberCount() == 0 {
		// The rank needs the members: after an outage of all VMs they are still listed in the store, and a small VM
		// must not take over ahead of a large one.
		p.readMembers(ctx)
	}
	prior := failure.leader
	rank := p.rank(prior)
	if prior.VM == p.cfg.VM && prior.StartMs != p.cfg.StartMs {
		rank = 0 // The leader is known to have ended, and to none sooner than to this process: it was on this VM.
	}
	switch failure.why {
	case whySlow:
		rank = 0
	case whyHanded:
		rank += handoverRanks // The successor needs the time to take over.
	}
	p.decision("leader is missed", "Leader", prior.VM, "Token", prior.Token, "Why", failure.why, "Misses", failure.misses,
		"ForMs", p.now()-failure.sinceMs, "Rank", rank, "Members", p.memberCount())
	switch p.awaitTurn(ctx, failure, rank) {
	case turnReplaced:
		return true
	case turnLater:
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, (storeCheckTimeoutMs * 2).Duration())
	defer cancel()
	var stored leaderRecord // The record that a win replaces. It has the voters of the prior leader.
	item, err := p.cfg.Store.Get(callCtx, keyLeader)
	if err != nil && !errors.Is(err, ErrNoKey) {
		return false
	}
	if err == nil {
		stored = p.readLeader(&item, "campaign")
		if current, _ := p.currentLeader(); current.Token > prior.Token {
			return true
		}
	}
	if p.keepsLeader(callCtx, failure) {
		return false
	}
	r := p.successorRecord(failure, &stored)
	sent := p.now()
	rev, err := p.cfg.Store.Write(callCtx, &Txn{If: []Condition{{keyLeader, item.Revision}}, Puts: []Put{{Key: keyLeader, Value: encode(r)}}})
	if errors.Is(err, ccstore.ErrInDoubt) {
		// Reading the record shows whether the write was carried out. If it is carried out later, the poll of the
		// membership finds it.
		if reread, err := p.cfg.Store.Get(ctx, keyLeader); err == nil {
			p.readLeader(&reread, "campaign")
			if current, _ := p.currentLeader(); current.VM == p.cfg.VM && current.StartMs == p.cfg.StartMs && current.Token == r.Token {
				p.beginTerm(ctx, current, &stored, sent, failure)
				return true
			}
		}
		return false
	}
	if err != nil {
		return false
	}
	r.revision = rev
	p.observeLeader(r, "campaign")
	p.beginTerm(ctx, r, &stored, sent, failure)
	return true
}

// successorRecord returns the leader record with which this process replaces a prior leader. Until the handover is
// complete, the voters stay those of the prior leader, and the durations cover the leaders before it as well.
func (p *Process) successorRecord(failure *leaderFailure, stored *leaderRecord) leaderRecord {
	prior := failure.leader
	r := leaderRecord{VM: p.cfg.VM, Address: p.cfg.Address, StartMs: p.cfg.StartMs, Token: prior.Token + 1 + restartTokens, LeaseMs: p.cfg.LeaseMs, AuthorityMs: termAuthorityMs(p.memberCount())}
	r.Voters, r.VotersToken, r.ByWorkers, r.MostWorkers = stored.Voters, stored.VotersToken, stored.ByWorkers, stored.MostWorkers
	if stored.Token == 0 {
		r.VotersToken, r.ByWorkers, r.MostWorkers = r.Token, true, true // There is no prior leader.
	}
	if !stored.settled() {
		r.LeaseMs, r.AuthorityMs = max(r.LeaseMs, stored.LeaseMs), max(r.AuthorityMs, stored.AuthorityMs)
	}
	if failure.handedOver() || failure.why == whySilent {
		p.succession.demote(prior.VM, p.now())
	}
	r.Demoted = p.succession.demotions(p.now())
	return r
}

// turn is whether a process may take over from a failed leader.
type turn int

const (
	turnNow      turn = iota // The process may take over.
	turnLater                // The turn is still to come. Until then, the leader may reply again.
	turnReplaced             // Another process has taken over.
)

// awaitTurn blocks until it is the turn of this process to take over, but for turnTimeoutMs at most. Processes take
// turns by rank, rankDelayMs apart.
func (p *Process) awaitTurn(ctx context.Context, failure *leaderFailure, rank int) turn {
	p.mu.Lock()
	changed := p.leaderChanged
	p.mu.Unlock()
	if current, _ := p.currentLeader(); current.Token > failure.leader.Token {
		return turnReplaced
	}
	wait := failure.sinceMs + ms(rank)*rankDelayMs - p.now()
	t := time.NewTimer(min(wait, turnTimeoutMs).Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return turnLater
	case <-changed:
		return turnReplaced
	case <-t.C:
	}
	if wait > turnTimeoutMs {
		return turnLater
	}
	return turnNow
}

// Announce implements ccpeer.CellHandler: a new leader announces its term.
func (p *Process) Announce(_ context.Context, in *ccpeer.AnnounceRequest) (*ccpeer.AnnounceReply, error) {
	p.observeLeader(leaderRecord{VM: in.VM, Address: in.Address, StartMs: in.StartMs, Token: in.Token, Demoted: in.Demoted, revision: in.Revision}, "announcement")
	leader, _ := p.currentLeader()
	return &ccpeer.AnnounceReply{VM: p.cfg.VM, StartMs: p.cfg.StartMs, Token: leader.Token}, nil
}

// LeaderContact implements ccpeer.CellHandler: it returns the age of the leader's last reply to this process.
func (p *Process) LeaderContact(_ context.Context, in *ccpeer.LeaderContactRequest) (*ccpeer.LeaderContactReply, error) {
	leader, at := p.currentLeader()
	if leader.Token != in.Token || at == 0 {
		return &ccpeer.LeaderContactReply{AgoMs: -1, Slow: p.succession.slow(p.now())}, nil
	}
	return &ccpeer.LeaderContactReply{AgoMs: int64(p.now() - at), Slow: p.succession.slow(p.now())}, nil
}
