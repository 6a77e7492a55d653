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
	// syncWaitMs is how long a leader lets a fellow wait when nothing changes; it is also the leader's heartbeat.
	syncWaitMs ms = 150
	// syncTimeoutMs is the time without an answer, at the shortest heartbeat, after which the leader counts as lost: a wait, a round trip between regions,
	// and as much again as a busy leader may take. Urgent work has about a second of slack.
	syncTimeoutMs ms = 400
	// syncGapMs is the least time between two answers to a fellow, so that changes travel together.
	syncGapMs ms = 30
	// rankDelayMs is the time that each process leaves to those that rank before it.
	rankDelayMs ms = 120
	// turnSliceMs is how long a process waits for its turn to take over before it calls the leader again: the turn of one that ranks
	// low may come many seconds after the first call that failed.
	turnSliceMs ms = 400
	// leaderStoreMs is the age of the leader's last call to the store after which a fellow that reaches the store takes over.
	leaderStoreMs = 600
	// storeCheckMs is the time that a candidate gives the store, and the least time between two checks of a leader that does not reach it.
	storeCheckMs ms = 300
	// hearsayMs is how recently, at the shortest heartbeat, another process must have heard a leader to speak against its replacement: more
	// than a wait, less than the time-out, so that a leader that is gone is not heard by anybody.
	hearsayMs = 300
	// hearsayMax is the number of failed rounds after which hearsay counts no more.
	hearsayMax = 6
	// retryMs is the pause after a round that led to nothing.
	retryMs ms = 100
)

// follow keeps to the leader, and takes over when there is none.
func (p *Process) follow(ctx context.Context) {
	var lost loss
	for ctx.Err() == nil {
		if l := p.leading(); l != nil {
			select {
			case <-ctx.Done():
			case <-l.ended:
			}
			lost = loss{}
			continue
		}
		leader, _ := p.leaderView()
		if leader.Token != lost.leader.Token || lost.sinceMs == 0 {
			lost = loss{leader: leader, sinceMs: p.now()}
		}
		if leader.Token == 0 {
			lost.why = whyNone
			p.campaign(ctx, &lost)
			sleep(ctx, retryMs)
			continue
		}
		if lost.why = p.syncOnce(ctx, leader); lost.why == "" {
			lost = loss{}
			continue
		}
		if lost.why == whySilent && p.isYoung() {
			lost.sinceMs = p.now()
			sleep(ctx, retryMs)
			continue
		}
		if lost.misses++; lost.misses == 1 {
			lost.sinceMs = p.now()
			if lost.why == whyReset {
				continue // A fresh connection tells whether the process is there.
			}
		}
		if !p.campaign(ctx, &lost) {
			sleep(ctx, retryMs)
		}
	}
}

// isYoung reports whether the leader has only just begun, so that it may not come to answer everybody.
func (p *Process) isYoung() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now()-p.believedAt < graceMs(len(p.members))
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

// loss is a leader that does not answer as it should.
type loss struct {
	leader leaderRecord
	// sinceMs is when the first call failed, why says how the last one did, and misses counts them.
	sinceMs ms
	why     string
	misses  int
}

// mayLive reports whether others may still hear the leader.
func (l *loss) mayLive() bool {
	return l.why == whyReset || l.why == whySilent || l.why == whyRefused
}

// syncOnce copies what changed from the leader. It returns why the leader should be replaced, "" when it should not.
func (p *Process) syncOnce(ctx context.Context, leader leaderRecord) string {
	if leader.VM == p.cfg.VM {
		return whySelf
	}
	token, seq := p.board.position()
	in := &ccpeer.SyncRequest{VM: p.cfg.VM, Token: token, Seq: seq, Draining: p.draining.Load()}
	if c := p.config.Load(); c != nil {
		in.Version = c.config.Version
	}
	callCtx, cancel := context.WithTimeout(ctx, (syncTimeoutMs + p.stretch()).Duration())
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
	p.heardAt, p.beatMs = now, ms(out.HeartbeatMs)
	p.mu.Unlock()
	if out.Loading {
		if out.StoreAgeMs > leaderStoreMs && ms(p.cfg.Store.AgeMs()) < 2*storeCheckMs {
			return whyNoStore
		}
		return ""
	}
	if out.StoreAgeMs > storeLostMs {
		go p.probeStore(ctx) // The leader writes all the time and notices an outage first.
	}
	p.board.follow(out.Token, out.Seq, out.Changes, now)
	p.board.figures(out.Pending, now)
	for _, ask := range out.AdviceRequests {
		go p.askFor(ctx, ask)
	}
	if c := p.config.Load(); out.Version > 0 && (c == nil || c.config.Version < out.Version) {
		go p.fetchConfig(ctx, leader.Address)
	}
	switch {
	case out.Resigning && !p.draining.Load():
		return whyResigns
	case out.StoreAgeMs > leaderStoreMs && ms(p.cfg.Store.AgeMs()) < 2*storeCheckMs && !p.draining.Load():
		return whyNoStore
	}
	return ""
}

// probeStore finds out whether this process reaches the store, at most once in storeCheckMs.
func (p *Process) probeStore(ctx context.Context) {
	now := int64(p.now())
	last := p.checkedAt.Load()
	if ms(now-last) < storeCheckMs || !p.checkedAt.CompareAndSwap(last, now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCheckMs.Duration())
	defer cancel()
	if item, err := p.cfg.Store.Get(ctx, keyLeader); err == nil {
		p.readLeader(&item, "probe")
	}
}

// askFor calls the policy service on the leader's behalf.
func (p *Process) askFor(ctx context.Context, ask cccell.AdviceRequest) {
	p.tell.answer(p.askPolicy(ctx, ask))
}

// askPolicy calls the policy service.
func (p *Process) askPolicy(ctx context.Context, ask cccell.AdviceRequest) cccell.AdviceReply {
	tickets, validMs, err := p.cfg.PolicyService.Advise(ctx, ask.Stage, ask.Workers)
	if err != nil {
		p.cfg.Log.Warn("policy service did not answer", "Job", ask.Stage.Job, "Stage", ask.Stage.Stage, "Workers", len(ask.Workers), "Error", err)
		return cccell.AdviceReply{Stage: ask.Stage, Failed: true}
	}
	return cccell.AdviceReply{Stage: ask.Stage, Workers: ask.Workers, Tickets: tickets, ValidMs: validMs}
}

// campaign tries to take over from a leader that was lost. It returns true when there is another one.
func (p *Process) campaign(ctx context.Context, lost *loss) bool {
	if p.draining.Load() {
		sleep(ctx, retryMs)
		return false
	}
	if p.memberCount() == 0 {
		// After a loss of all power the members are still listed, and a small VM must not lead before a large one.
		p.pollShared(ctx)
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
	callCtx, cancel := context.WithTimeout(ctx, (storeCheckMs * 2).Duration())
	defer cancel()
	item, err := p.cfg.Store.Get(callCtx, keyLeader)
	if err != nil && !errors.Is(err, ErrNoKey) {
		return false
	}
	if err == nil {
		p.readLeader(&item, "campaign")
		if now, _ := p.leaderView(); now.Token > prior.Token {
			return true
		}
	}
	if lost.mayLive() && lost.misses < hearsayMax && p.heardElsewhere(callCtx, prior) {
		p.cfg.Log.Info("leader is heard by others", "Leader", prior.VM, "Token", prior.Token, "Why", lost.why, "Misses", lost.misses)
		return false
	}
	r := leaderRecord{VM: p.cfg.VM, Address: p.cfg.Address, StartMs: p.cfg.StartMs, Token: max(prior.Token, 0) + 1, LeaseMs: p.cfg.LeaseMs, AuthorityMs: termAuthorityMs(p.memberCount())}
	rev, err := p.cfg.Store.Write(callCtx, &Txn{If: []Condition{{keyLeader, item.Revision}}, Puts: []Put{{Key: keyLeader, Value: encode(r)}}})
	if errors.Is(err, ccstore.ErrInDoubt) {
		// The record tells whether the write was carried out; if it comes later, the poll will.
		if again, err := p.cfg.Store.Get(ctx, keyLeader); err == nil {
			p.readLeader(&again, "campaign")
			if seen, _ := p.leaderView(); seen.VM == p.cfg.VM && seen.StartMs == p.cfg.StartMs && seen.Token == r.Token {
				p.takeLead(ctx, seen, lost)
				return true
			}
		}
		return false
	}
	if err != nil {
		return false
	}
	r.revision = rev
	p.believe(r, "campaign")
	p.takeLead(ctx, r, lost)
	return true
}

// turn says whether a process may take over from a leader that was lost.
type turn int

const (
	turnNow      turn = iota // It may.
	turnLater                // The turn is still to come; the leader may answer again until then.
	turnReplaced             // Another process has taken over.
)

// awaitTurn waits for the turn of this process to take over, at most turnSliceMs.
func (p *Process) awaitTurn(ctx context.Context, lost *loss, rank int) turn {
	p.mu.Lock()
	changed := p.changed
	p.mu.Unlock()
	if now, _ := p.leaderView(); now.Token > lost.leader.Token {
		return turnReplaced
	}
	wait := lost.sinceMs + ms(rank)*rankDelayMs - p.now()
	t := time.NewTimer(min(wait, turnSliceMs).Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return turnLater
	case <-changed:
		return turnReplaced
	case <-t.C:
	}
	if wait > turnSliceMs {
		return turnLater
	}
	return turnNow
}

// Announce implements ccpeer.CellHandler.
func (p *Process) Announce(_ context.Context, in *ccpeer.AnnounceRequest) (*ccpeer.LeaderContactReply, error) {
	p.believe(leaderRecord{VM: in.VM, Address: in.Address, StartMs: in.StartMs, Token: in.Token, revision: in.Revision}, "announcement")
	return &ccpeer.LeaderContactReply{}, nil
}

// heardElsewhere asks two others whether they hear the leader.
func (p *Process) heardElsewhere(ctx context.Context, leader leaderRecord) bool {
	asked := 0
	hearsay := hearsayMs + p.stretch()
	for _, address := range p.others() {
		if address == leader.Address || asked == 2 {
			continue
		}
		asked++
		callCtx, cancel := context.WithTimeout(ctx, hearsayMs*time.Millisecond/2)
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
	leader, at := p.leaderView()
	if leader.Token != in.Token || at == 0 {
		return &ccpeer.LeaderContactReply{AgoMs: -1}, nil
	}
	return &ccpeer.LeaderContactReply{AgoMs: int64(p.now() - at)}, nil
}
