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
	// minHeartbeatMs is how long a leader lets a fellow wait when nothing changes; it is also the leader's heartbeat.
	minHeartbeatMs ms = 150
	// syncTimeoutMs is the time without an answer, at the shortest heartbeat, after which the leader counts as lost: a wait, a round trip between regions,
	// and as much again as a busy leader may take. Urgent work has about a second of slack.
	syncTimeoutMs ms = 400
	// minReplyIntervalMs is the least time between two answers to a fellow, so that changes travel together.
	minReplyIntervalMs ms = 30
	// rankDelayMs is the time that each process leaves to those that rank before it.
	rankDelayMs ms = 120
	// turnTimeoutMs is how long a process waits for its turn to take over before it calls the leader again: the turn of one that ranks
	// low may come many seconds after the first call that failed.
	turnTimeoutMs ms = 400
	// leaderStoreAgeMs is the age of the leader's last call to the store after which a fellow that reaches the store takes over.
	leaderStoreAgeMs = 600
	// storeCheckTimeoutMs is the time that a candidate gives the store, and the least time between two checks of a leader that does not reach it.
	storeCheckTimeoutMs ms = 300
	// peerContactMs is how recently, at the shortest heartbeat, another process must have heard a leader to speak against its replacement: more
	// than a wait, less than the time-out, so that a leader that is gone is not heard by anybody.
	peerContactMs = 300
	// maxPeerVetoes is the number of failed rounds after which hearsay counts no more.
	maxPeerVetoes = 6
	// retryDelayMs is the pause after a round that led to nothing.
	retryDelayMs ms = 100
)

// follow keeps to the leader, and takes over when there is none.
func (p *Process) follow(ctx context.Context) {
	var lost leaderFailure
	for ctx.Err() == nil {
		if l := p.leading(); l != nil {
			select {
			case <-ctx.Done():
			case <-l.ended:
			}
			lost = leaderFailure{}
			continue
		}
		leader, _ := p.currentLeader()
		if leader.Token != lost.leader.Token || lost.sinceMs == 0 {
			lost = leaderFailure{leader: leader, sinceMs: p.now()}
		}
		if leader.Token == 0 {
			lost.why = whyNone
			p.campaign(ctx, &lost)
			sleep(ctx, retryDelayMs)
			continue
		}
		if lost.why = p.syncOnce(ctx, leader); lost.why == "" {
			lost = leaderFailure{}
			continue
		}
		if lost.why == whySilent && p.leaderIsStarting() {
			lost.sinceMs = p.now()
			sleep(ctx, retryDelayMs)
			continue
		}
		if lost.misses++; lost.misses == 1 {
			lost.sinceMs = p.now()
			if lost.why == whyReset {
				continue // A fresh connection tells whether the process is there.
			}
		}
		if !p.campaign(ctx, &lost) {
			sleep(ctx, retryDelayMs)
		}
	}
}

// leaderIsStarting reports whether the leader has only just begun, so that it may not come to answer everybody.
func (p *Process) leaderIsStarting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now()-p.leaderSince < startupGraceMs(len(p.members))
}

// Why a leader should be replaced.
const (
	whyNone    = "no leader is known"
	whySelf    = "this process led before its restart"
	whyRefused = "unreachable" // Its VM refuses the connection: no process listens there.
	whySilent  = "silent"
	whyReset   = "reset" // The connection broke; the process may live.
	whyEnded   = "leads no more"
	whyNoStore = "does not reach the store"
	whyResigns = "resigns"
)

// leaderFailure is a leader that does not answer as it should.
type leaderFailure struct {
	leader leaderRecord
	// sinceMs is when the first call failed, why says how the last one did, and misses counts them.
	sinceMs ms
	why     string
	misses  int
}

// maybeAlive reports whether others may still hear the leader.
func (l *leaderFailure) maybeAlive() bool {
	return l.why == whyReset || l.why == whySilent || l.why == whyRefused
}

// syncOnce copies what changed from the leader. It returns why the leader should be replaced, "" when it should not.
func (p *Process) syncOnce(ctx context.Context, leader leaderRecord) string {
	if leader.VM == p.cfg.VM {
		return whySelf
	}
	token, seq := p.stateCache.position()
	in := &ccpeer.SyncRequest{VM: p.cfg.VM, Token: token, Seq: seq, Draining: p.draining.Load()}
	if c := p.config.Load(); c != nil {
		in.Version = c.config.Version
	}
	callCtx, cancel := context.WithTimeout(ctx, (syncTimeoutMs + p.extraHeartbeat()).Duration())
	defer cancel()
	out, err := p.cfg.Peers.Sync(callCtx, leader.Address, in)
	now := p.now()
	if err != nil {
		switch {
		case errors.Is(err, ccpeer.ErrUnreachable) && errors.Is(err, syscall.ECONNREFUSED):
			return whyRefused
		case callCtx.Err() != nil || errors.Is(err, ccpeer.ErrUnreachable):
			return whySilent
		}
		return whyReset
	}
	if !out.Leading || out.Token < leader.Token {
		return whyEnded
	}
	p.mu.Lock()
	p.leaderReplyAt, p.heartbeatMs = now, ms(out.HeartbeatMs)
	p.mu.Unlock()
	if out.Loading {
		if out.StoreAgeMs > leaderStoreAgeMs && ms(p.cfg.Store.AgeMs()) < 2*storeCheckTimeoutMs {
			return whyNoStore
		}
		return ""
	}
	if out.StoreAgeMs > storeLostMs {
		go p.probeStore(ctx) // The leader writes all the time and notices an outage first.
	}
	p.stateCache.applyReplicated(out.Token, out.Seq, out.Changes, now)
	p.stateCache.setPending(out.Pending, now)
	for _, ask := range out.AdviceRequests {
		go p.adviseLeader(ctx, ask)
	}
	if c := p.config.Load(); out.Version > 0 && (c == nil || c.config.Version < out.Version) {
		go p.fetchConfig(ctx, leader.Address)
	}
	switch {
	case out.Resigning && !p.draining.Load():
		return whyResigns
	case out.StoreAgeMs > leaderStoreAgeMs && ms(p.cfg.Store.AgeMs()) < 2*storeCheckTimeoutMs && !p.draining.Load():
		return whyNoStore
	}
	return ""
}

// probeStore finds out whether this process reaches the store, at most once in storeCheckTimeoutMs.
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

// adviseLeader calls the policy service on the leader's behalf.
func (p *Process) adviseLeader(ctx context.Context, ask cccell.AdviceRequest) {
	p.notifier.adviceReply(p.requestAdvice(ctx, ask))
}

// requestAdvice calls the policy service.
func (p *Process) requestAdvice(ctx context.Context, ask cccell.AdviceRequest) cccell.AdviceReply {
	tickets, validMs, err := p.cfg.PolicyService.Advise(ctx, ask.Stage, ask.Workers)
	if err != nil {
		p.cfg.Log.Warn("policy service did not answer", "Job", ask.Stage.Job, "Stage", ask.Stage.Stage, "Workers", len(ask.Workers), "Error", err)
		return cccell.AdviceReply{Stage: ask.Stage, Failed: true}
	}
	return cccell.AdviceReply{Stage: ask.Stage, Workers: ask.Workers, Tickets: tickets, ValidMs: validMs}
}

// campaign tries to take over from a leader that was lost. It returns true when there is another one.
func (p *Process) campaign(ctx context.Context, lost *leaderFailure) bool {
	if p.draining.Load() {
		sleep(ctx, retryDelayMs)
		return false
	}
	if p.memberCount() == 0 {
		// After a loss of all power the members are still listed, and a small VM must not lead before a large one.
		p.readMembers(ctx)
	}
	prior := lost.leader
	rank := p.rank(prior)
	p.decision("leader is missed", "Leader", prior.VM, "Token", prior.Token, "Why", lost.why, "Misses", lost.misses,
		"ForMs", p.now()-lost.sinceMs, "Rank", rank, "Members", p.memberCount())
	switch p.awaitTurn(ctx, lost, rank) {
	case turnReplaced:
		return true
	case turnLater:
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, (storeCheckTimeoutMs * 2).Duration())
	defer cancel()
	item, err := p.cfg.Store.Get(callCtx, keyLeader)
	if err != nil && !errors.Is(err, ErrNoKey) {
		return false
	}
	if err == nil {
		p.readLeader(&item, "campaign")
		if now, _ := p.currentLeader(); now.Token > prior.Token {
			return true
		}
	}
	if lost.maybeAlive() && lost.misses < maxPeerVetoes && p.peersReachLeader(callCtx, prior) {
		p.cfg.Log.Info("leader is heard by others", "Leader", prior.VM, "Token", prior.Token, "Why", lost.why, "Misses", lost.misses)
		return false
	}
	r := leaderRecord{VM: p.cfg.VM, Address: p.cfg.Address, StartMs: p.cfg.StartMs, Token: max(prior.Token, 0) + 1, LeaseMs: p.cfg.LeaseMs, AuthorityMs: termAuthorityMs(p.memberCount())}
	rev, err := p.cfg.Store.Write(callCtx, &Txn{If: []Condition{{keyLeader, item.Revision}}, Puts: []Put{{Key: keyLeader, Value: encode(r)}}})
	if errors.Is(err, ccstore.ErrInDoubt) {
		// The record tells whether the write was carried out; if it comes later, the poll will.
		if again, err := p.cfg.Store.Get(ctx, keyLeader); err == nil {
			p.readLeader(&again, "campaign")
			if seen, _ := p.currentLeader(); seen.VM == p.cfg.VM && seen.StartMs == p.cfg.StartMs && seen.Token == r.Token {
				p.beginTerm(ctx, seen, lost)
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
	p.beginTerm(ctx, r, lost)
	return true
}

// turn says whether a process may take over from a leader that was lost.
type turn int

const (
	turnNow      turn = iota // It may.
	turnLater                // The turn is still to come; the leader may answer again until then.
	turnReplaced             // Another process has taken over.
)

// awaitTurn waits for the turn of this process to take over, at most turnTimeoutMs.
func (p *Process) awaitTurn(ctx context.Context, lost *leaderFailure, rank int) turn {
	p.mu.Lock()
	changed := p.leaderChanged
	p.mu.Unlock()
	if now, _ := p.currentLeader(); now.Token > lost.leader.Token {
		return turnReplaced
	}
	wait := lost.sinceMs + ms(rank)*rankDelayMs - p.now()
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

// Announce implements ccpeer.CellHandler.
func (p *Process) Announce(_ context.Context, in *ccpeer.AnnounceRequest) (*ccpeer.LeaderContactReply, error) {
	p.observeLeader(leaderRecord{VM: in.VM, Address: in.Address, StartMs: in.StartMs, Token: in.Token, revision: in.Revision}, "announcement")
	return &ccpeer.LeaderContactReply{}, nil
}

// peersReachLeader asks two others whether they hear the leader.
func (p *Process) peersReachLeader(ctx context.Context, leader leaderRecord) bool {
	asked := 0
	hearsay := peerContactMs + p.extraHeartbeat()
	for _, address := range p.peerAddresses() {
		if address == leader.Address || asked == 2 {
			continue
		}
		asked++
		callCtx, cancel := context.WithTimeout(ctx, peerContactMs*time.Millisecond/2)
		out, err := p.cfg.Peers.LeaderContact(callCtx, address, &ccpeer.LeaderContactRequest{Token: leader.Token})
		cancel()
		if err == nil && out.AgoMs >= 0 && ms(out.AgoMs) < hearsay {
			return true
		}
	}
	return false
}

// LeaderContact implements ccpeer.CellHandler.
func (p *Process) LeaderContact(_ context.Context, in *ccpeer.LeaderContactRequest) (*ccpeer.LeaderContactReply, error) {
	leader, at := p.currentLeader()
	if leader.Token != in.Token || at == 0 {
		return &ccpeer.LeaderContactReply{AgoMs: -1}, nil
	}
	return &ccpeer.LeaderContactReply{AgoMs: int64(p.now() - at)}, nil
}
