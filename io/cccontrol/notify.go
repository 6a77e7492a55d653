package cccontrol

import (
	"context"
	"sync"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/io/ccpeer"
)

const (
	// notifyTimeout bounds one call to the leader.
	notifyTimeout = 300 * time.Millisecond
	// maxNotifyCalls bounds the tries: a leader that was lost is replaced meanwhile, and later the store tells.
	maxNotifyCalls = 15
)

// notifier tells the leader what happened here. What is lost on the way is found in the store.
type notifier struct {
	p      *Process
	mu     sync.Mutex
	outbox outbox
	wake   chan struct{}
	// recent holds what was told lately: a leader that is lost may not have heard it, or not have told the next one.
	recent []sentJob
}

// sentJob is a job that was told of.
type sentJob struct {
	job *cccell.Job
	at  ms
}

// resendPeriodMs is the time for which jobs are told again to a new leader; later ones are in the store when it reads.
const resendPeriodMs ms = 2500

// outbox is what waits to be told.
type outbox struct {
	jobs    []*cccell.Job
	cancels []string
	answers []cccell.AdviceReply
}

// newNotifier returns a teller.
func newNotifier(p *Process) *notifier {
	return &notifier{p: p, wake: make(chan struct{}, 1)}
}

// job tells of an accepted job.
func (t *notifier) job(j *cccell.Job) {
	now := t.p.now()
	t.enqueue(func(out *outbox) {
		out.jobs = append(out.jobs, j)
		t.recent = append(t.recent, sentJob{j, now})
		for len(t.recent) > 0 && now-t.recent[0].at > resendPeriodMs {
			t.recent = t.recent[1:]
		}
	})
}

// resendRecent tells a new leader what the one before may not have handed on.
func (t *notifier) resendRecent() {
	now := t.p.now()
	t.enqueue(func(out *outbox) {
		for _, r := range t.recent {
			if now-r.at <= resendPeriodMs {
				out.jobs = append(out.jobs, r.job)
			}
		}
	})
}

// cancel tells of a request to cancel.
func (t *notifier) cancel(id string) {
	t.enqueue(func(out *outbox) { out.cancels = append(out.cancels, id) })
}

// adviceReply tells of an adviceReply of the policy service.
func (t *notifier) adviceReply(a cccell.AdviceReply) {
	t.enqueue(func(out *outbox) { out.answers = append(out.answers, a) })
}

// enqueue queues something.
func (t *notifier) enqueue(f func(*outbox)) {
	t.mu.Lock()
	f(&t.outbox)
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

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
