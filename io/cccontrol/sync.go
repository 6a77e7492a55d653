package cccontrol

import (
	"context"
	"slices"
	"time"

	"coriandercross/core/ccquorum"
	"coriandercross/io/ccpeer"
)

// Sync implements ccpeer.CellHandler: it returns the changes of job states since the peer's position, and the advice
// requests assigned to the peer. Without either, it blocks for the heartbeat interval. Unless there are advice
// requests, it also blocks until replyIntervalMs after the last reply to the peer.
func (p *Process) Sync(ctx context.Context, in *ccpeer.SyncRequest) (*ccpeer.SyncReply, error) {
	p.hearVersion(in.VM, in.Version)
	l := p.leading()
	for began := p.now(); l == nil && p.loadingToken.Load() != 0; l = p.leading() {
		// This process has won the election and is loading its state. A peer that got another reply, or none, would
		// start a new election.
		if p.now()-began > minHeartbeatMs {
			return &ccpeer.SyncReply{Leading: true, Token: p.loadingToken.Load(), Loading: true, StoreAgeMs: p.cfg.Store.AgeMs()}, nil
		}
		if !sleep(ctx, loadPollMs) {
			return nil, ctx.Err()
		}
	}
	if l == nil {
		return p.noLeaderReply(), nil
	}
	peer := l.dispatcher.peer(in.VM, in.Draining)
	l.dispatcher.recordSlowness(peer, in.SlowTenths)
	peer.jobMemory.Store(in.JobMemory)
	if in.Following == l.token {
		peer.confirm(ccquorum.Voter{VM: in.VM, StartMs: in.StartMs}, ms(in.ReceivedMs))
	}
	members := p.memberCount()
	heartbeat := heartbeatMs(members)
	heartbeatTimer := time.NewTimer(heartbeat.Duration())
	defer heartbeatTimer.Stop()
	if wait := peer.lastReplyAt() + replyIntervalMs(members) - p.now(); wait > 0 && !peer.hasRequests() {
		peer.waitForRequest(ctx, wait)
	}
	for {
		seq, full, changes, next := p.stateCache.changesSince(in.Token, in.Seq)
		requests := peer.takeRequests()
		done := full || len(changes) > 0 || len(requests) > 0 || p.draining.Load() || l.accepts(peer) || (p.runsUnstored.Load() && !peer.toldUnstored.Load())
		if !done {
			select {
			case <-next:
				continue
			case <-peer.wake:
				continue
			case <-heartbeatTimer.C:
			case <-l.ended:
				return p.noLeaderReply(), nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		p.stateCache.mu.Lock()
		out := &ccpeer.SyncReply{
			Leading: true, Token: l.token, Seq: seq, Full: full, Changes: changes, AdviceRequests: requests, QueuedJobs: p.stateCache.queued,
			StoreAgeMs: p.cfg.Store.AgeMs(), Resigning: p.draining.Load(), HeartbeatMs: int64(heartbeat), Version: p.configVersion(), PriorEnded: l.handedOver.Load(), RunsUnstored: p.runsUnstored.Load(),
		}
		p.stateCache.mu.Unlock()
		out.JobLimit, out.JobBytes = p.jobRoom.known()
		if l.accepts(peer) {
			if !l.handOver(in.VM) {
				return p.noLeaderReply(), nil
			}
			out.Resigning, out.Successor = true, true
		}
		peer.toldUnstored.Store(out.RunsUnstored)
		now := p.now()
		out.Slow = l.dispatcher.slowPeers(peer, ms(in.ReceivedMs), now)
		out.SentMs = int64(now)
		peer.recordReply(now)
		return out, nil
	}
}

// Notify implements ccpeer.CellHandler: it receives accepted jobs, requests to cancel, and advice replies from a peer.
func (p *Process) Notify(_ context.Context, in *ccpeer.NotifyRequest) (*ccpeer.NotifyReply, error) {
	l := p.leading()
	if l == nil {
		return &ccpeer.NotifyReply{}, nil
	}
	l.onNotify(in)
	return &ccpeer.NotifyReply{Leading: true}, nil
}

// onNotify posts the contents of a notification to the event loop.
func (l *leadership) onNotify(in *ccpeer.NotifyRequest) {
	l.post(func(now ms) {
		for _, j := range in.Jobs {
			if !l.p.stateCache.ended(j.ID) {
				l.cell.AddReportedJob(j, in.Token != l.token || slices.Contains(in.Begun, j.ID), now, unixNow())
			}
		}
		if in.RanUnstored {
			l.cell.NotePriorUnstored()
		}
		for _, id := range in.Unstored {
			l.cell.MarkBegun(id)
		}
		for _, id := range in.Cancels {
			l.cell.Cancel(id, now)
		}
		for _, w := range in.Withdrawn {
			l.cell.Withdraw(w.Job, w.Team, now)
		}
		for i := range in.AdviceReplies {
			l.dispatcher.complete(in.VM, &in.AdviceReplies[i], now)
		}
	})
}
