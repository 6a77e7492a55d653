package cccontrol

import (
	"context"
	"time"

	"coriandercross/io/ccpeer"
)

// Sync implements ccpeer.CellHandler: the leader tells a fellow what changed.
func (p *Process) Sync(ctx context.Context, in *ccpeer.SyncRequest) (*ccpeer.SyncReply, error) {
	l := p.leading()
	for began := p.now(); l == nil && p.loadingToken.Load() != 0; l = p.leading() {
		// The term has been won; a fellow that is told otherwise, or nothing, would campaign against it.
		if p.now()-began > minHeartbeatMs {
			return &ccpeer.SyncReply{Leading: true, Token: p.loadingToken.Load(), Loading: true, StoreAgeMs: p.cfg.Store.AgeMs()}, nil
		}
		if !sleep(ctx, loadPollMs) {
			return nil, ctx.Err()
		}
	}
	if l == nil {
		return &ccpeer.SyncReply{}, nil
	}
	slot := l.dispatcher.peer(in.VM, in.Draining)
	if in.Token == l.token {
		slot.confirm()
	}
	members := p.memberCount()
	beat := heartbeatMs(members)
	deadline := time.NewTimer(beat.Duration())
	defer deadline.Stop()
	if wait := slot.lastReplyAt() + replyIntervalMs(members) - p.now(); wait > 0 && !slot.hasRequests() {
		slot.waitForRequest(ctx, wait)
	}
	for {
		seq, whole, changes, next := p.stateCache.changesSince(in.Token, in.Seq)
		asks := slot.takeRequests()
		done := whole || len(changes) > 0 || len(asks) > 0 || p.draining.Load()
		if !done {
			select {
			case <-next:
				continue
			case <-slot.wake:
				continue
			case <-deadline.C:
			case <-l.ended:
				return &ccpeer.SyncReply{}, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		p.stateCache.mu.Lock()
		out := &ccpeer.SyncReply{
			Leading: true, Token: l.token, Seq: seq, Full: whole, Changes: changes, AdviceRequests: asks, Pending: p.stateCache.pending,
			StoreAgeMs: p.cfg.Store.AgeMs(), Resigning: p.draining.Load(), HeartbeatMs: int64(beat),
		}
		p.stateCache.mu.Unlock()
		if c := p.config.Load(); c != nil {
			out.Version = c.config.Version
		}
		slot.recordReply(p.now())
		return out, nil
	}
}

// Notify implements ccpeer.CellHandler: a fellow tells what was accepted, and answers of the policy service.
func (p *Process) Notify(_ context.Context, in *ccpeer.NotifyRequest) (*ccpeer.NotifyReply, error) {
	l := p.leading()
	if l == nil {
		return &ccpeer.NotifyReply{}, nil
	}
	l.onNotify(in)
	return &ccpeer.NotifyReply{Leading: true}, nil
}

// onNotify hands what a process tells to the loop.
func (l *leadership) onNotify(in *ccpeer.NotifyRequest) {
	l.post(func(now ms) {
		for _, j := range in.Jobs {
			if !l.cell.HasJob(j.ID) {
				l.addJob(j, now)
			}
		}
		for _, id := range in.Cancels {
			l.cell.Cancel(id, now)
		}
		for i := range in.AdviceReplies {
			l.dispatcher.complete(in.VM, in.AdviceReplies[i].Stage)
			l.cell.OnAdviceReply(&in.AdviceReplies[i], now)
		}
	})
}
