package cccontrol

import (
	"context"
	"time"

	"coriandercross/io/ccpeer"
)

const (
	// notifyTimeout bounds one call to the leader.
	notifyTimeout = 300 * time.Millisecond
	// maxNotifyCalls bounds the tries: a leader that was lost is replaced meanwhile, and later the store tells.
	maxNotifyCalls = 15
)

// run tells the leader what waits, one call at a time: what comes meanwhile travels together.
func (t *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		t.mu.Lock()
		out := t.outbox
		t.outbox = outbox{}
		t.mu.Unlock()
		if len(out.jobs)+len(out.cancels)+len(out.answers) == 0 {
			continue
		}
		in := &ccpeer.NotifyRequest{VM: t.p.cfg.VM, Jobs: out.jobs, Cancels: out.cancels, AdviceReplies: out.answers}
		if !t.deliver(ctx, in) {
			t.p.cfg.Log.Warn("leader not told", "Jobs", len(in.Jobs), "Cancels", len(in.Cancels), "Answers", len(in.AdviceReplies))
		}
	}
}

// deliver tells the leader, wherever it is.
func (t *notifier) deliver(ctx context.Context, in *ccpeer.NotifyRequest) bool {
	for try := 0; try < maxNotifyCalls; try++ {
		if l := t.p.leading(); l != nil {
			l.onNotify(in)
			return true
		}
		leader, _ := t.p.currentLeader()
		if leader.Token > 0 && leader.VM != t.p.cfg.VM {
			callCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
			out, err := t.p.cfg.Peers.Notify(callCtx, leader.Address, in)
			cancel()
			if err == nil && out.Leading {
				return true
			}
		}
		if !sleep(ctx, retryDelayMs) {
			return false
		}
	}
	return false
}
