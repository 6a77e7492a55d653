package cccontrol

import (
	"context"
	"time"

	"coriandercross/io/ccpeer"
)

const (
	// tellTimeout bounds one call to the leader.
	tellTimeout = 300 * time.Millisecond
	// tellTries bounds the tries: a leader that was lost is replaced meanwhile, and later the store tells.
	tellTries = 15
)

// run tells the leader what waits, one call at a time: what comes meanwhile travels together.
func (t *teller) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		t.mu.Lock()
		out := t.out
		t.out = ccTell{}
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
func (t *teller) deliver(ctx context.Context, in *ccpeer.NotifyRequest) bool {
	for try := 0; try < tellTries; try++ {
		if l := t.p.leading(); l != nil {
			l.told(in)
			return true
		}
		leader, _ := t.p.leaderView()
		if leader.Token > 0 && leader.VM != t.p.cfg.VM {
			callCtx, cancel := context.WithTimeout(ctx, tellTimeout)
			out, err := t.p.cfg.Peers.Notify(callCtx, leader.Address, in)
			cancel()
			if err == nil && out.Leading {
				return true
			}
		}
		if !sleep(ctx, retryMs) {
			return false
		}
	}
	return false
}
