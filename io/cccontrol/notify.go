package cccontrol

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/io/ccpeer"
)

const (
	// unstoredKeptMs is the time for which new leaders are told of a job after this process has given up writing it: tasks of it
	// may run until their leases end.
	unstoredKeptMs ms = 15_000
	// notifyTimeout is the timeout of one call to the leader, besides the time that its jobs take on the link.
	notifyTimeout = 300 * time.Millisecond
	// maxNotifyBytes bounds the jobs of one notification, unless a job alone is larger.
	maxNotifyBytes = 64 << 10
	// maxNotifyCalls is the number of calls after which a notification is dropped. By then a lost leader has been
	// replaced, and the leader finds jobs and requests to cancel in the store.
	maxNotifyCalls = 15
)

// notifier sends the leader the jobs and the requests to cancel that this process has accepted, and the replies of the
// policy service that it has received. If the notification of a job or of a request to cancel is lost, the leader finds
// the job or request in the store.
type notifier struct {
	p      *Process
	mu     sync.Mutex
	outbox outbox
	wake   chan struct{}
	// recent holds the jobs queued during the last resendPeriodMs. They are sent again when the leader changes, since
	// the prior leader may not have received them.
	recent []sentJob
	// unstored holds the jobs that a leader has begun or may have, and whose callers have left, by ID, with the times until
	// which each new leader is told of them.
	unstored map[string]ms
}

// sentJob is a job with the time at which its notification was queued. newFor is submission.newFor.
type sentJob struct {
	job    *cccell.Job
	newFor int64
	at     ms
}

// resendPeriodMs is the age up to which a stored job is sent again to a new leader. The leader finds older ones when it loads its
// state.
const resendPeriodMs ms = 2500

// outbox holds the notifications that have not been sent yet.
type outbox struct {
	jobs          []sentJob
	cancels       []string
	unstored      []string
	ranUnstored   bool
	withdrawn     []ccpeer.Withdrawal
	adviceReplies []cccell.AdviceReply
}

// takePart removes a part of the notifications that fits into one call: up to maxNotifyBytes of jobs, ordinary ones before
// large ones, which take long on a narrow link, and everything else. It reports whether jobs are left.
func (out *outbox) takePart() (part outbox, more bool) {
	part, *out = *out, outbox{}
	slices.SortStableFunc(part.jobs, func(a, b sentJob) int { return cmp.Compare(a.job.LargeBytes(), b.job.LargeBytes()) })
	bytes := int64(0)
	for i := range part.jobs {
		if bytes += part.jobs[i].job.MemoryBytes(); i > 0 && bytes > maxNotifyBytes {
			part.jobs, out.jobs = part.jobs[:i:i], part.jobs[i:]
			return part, true
		}
	}
	return part, false
}

// callTimeout returns the timeout of the call with these notifications: longer if the VM's link takes long for the jobs.
func (out *outbox) callTimeout(linkBytesPerMs float64) time.Duration {
	var bytes int64
	for i := range out.jobs {
		bytes += out.jobs[i].job.MemoryBytes()
	}
	if linkBytesPerMs <= 0 {
		return notifyTimeout
	}
	return notifyTimeout + ms(float64(bytes)/linkBytesPerMs).Duration()
}

func newNotifier(p *Process) *notifier {
	return &notifier{p: p, wake: make(chan struct{}, 1), unstored: map[string]ms{}}
}

// job queues the notification of an accepted job. newFor is submission.newFor.
func (n *notifier) job(j *cccell.Job, newFor int64) {
	now := n.p.now()
	n.enqueue(func(out *outbox) {
		sent := sentJob{j, newFor, now}
		out.jobs, n.recent = append(out.jobs, sent), append(n.recent, sent)
		for len(n.recent) > 0 && now-n.recent[0].at > resendPeriodMs {
			n.recent = n.recent[1:]
		}
	})
}

// addUnstored adds a job of which each new leader is told, until a time, that an earlier one may have begun it.
func (n *notifier) addUnstored(id string, until ms) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unstored[id] = max(until, n.unstored[id])
}

// removeUnstored removes a job that is stored.
func (n *notifier) removeUnstored(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.unstored, id)
}

// resendRecent queues the notifications of recent jobs again, and of those that are not stored yet. It is called when the leader
// has changed.
func (n *notifier) resendRecent() {
	now := n.p.now()
	n.enqueue(func(out *outbox) {
		for _, r := range n.recent {
			if now-r.at <= resendPeriodMs {
				out.jobs = append(out.jobs, r)
			}
		}
		maps.DeleteFunc(n.unstored, func(_ string, until ms) bool { return until < now })
		out.unstored, out.ranUnstored = slices.Collect(maps.Keys(n.unstored)), n.p.runsUnstored.Load()
	})
}

// cancel queues the notification of a request to cancel.
func (n *notifier) cancel(id string) {
	n.enqueue(func(out *outbox) { out.cancels = append(out.cancels, id) })
}

// adviceReply queues a reply of the policy service.
func (n *notifier) adviceReply(a cccell.AdviceReply) {
	n.enqueue(func(out *outbox) { out.adviceReplies = append(out.adviceReplies, a) })
}

// enqueue calls add, which adds a notification to the outbox, with mu held. It then wakes run.
func (n *notifier) enqueue(add func(*outbox)) {
	n.mu.Lock()
	add(&n.outbox)
	n.mu.Unlock()
	n.wakeUp()
}

// wakeUp makes run send what is in the outbox.
func (n *notifier) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run sends the notifications to the leader, in one call at a time. Notifications that are queued during a call share
// the next one.
func (n *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		}
		n.mu.Lock()
		out, more := n.outbox.takePart()
		n.mu.Unlock()
		if more {
			n.wakeUp()
		}
		if !out.ranUnstored && len(out.jobs)+len(out.unstored)+len(out.cancels)+len(out.withdrawn)+len(out.adviceReplies) == 0 {
			continue
		}
		if !n.deliver(ctx, &out) {
			// The leader finds the rest in the store.
			n.enqueue(func(next *outbox) {
				next.unstored, next.ranUnstored = append(next.unstored, out.unstored...), next.ranUnstored || out.ranUnstored
			})
			n.p.cfg.Log.Warn("leader not notified", "Jobs", len(out.jobs), "Unstored", len(out.unstored), "Cancels", len(out.cancels), "Withdrawn", len(out.withdrawn), "Answers", len(out.adviceReplies))
		}
	}
}

// request returns the notifications as they are sent to the leader with the given token.
func (out *outbox) request(vm string, token int64) *ccpeer.NotifyRequest {
	in := &ccpeer.NotifyRequest{VM: vm, Token: token, Unstored: out.unstored, RanUnstored: out.ranUnstored, Cancels: out.cancels, Withdrawn: out.withdrawn, AdviceReplies: out.adviceReplies}
	for _, sent := range out.jobs {
		in.Jobs = append(in.Jobs, sent.job)
		if sent.newFor != token {
			in.Begun = append(in.Begun, sent.job.ID)
		}
	}
	return in
}

// deliver sends notifications to the leader, which may change between the calls and may be this process itself. It
// returns false if no leader has confirmed them.
func (n *notifier) deliver(ctx context.Context, out *outbox) bool {
	for calls := 0; calls < maxNotifyCalls; calls++ {
		if l := n.p.leading(); l != nil {
			l.onNotify(out.request(n.p.cfg.VM, l.token))
			return true
		}
		leader, _ := n.p.currentLeader()
		if leader.Token > 0 && leader.VM != n.p.cfg.VM {
			callCtx, cancel := context.WithTimeout(ctx, out.callTimeout(n.p.cfg.LinkBytesPerMs))
			reply, err := n.p.cfg.Peers.Notify(callCtx, leader.Address, out.request(n.p.cfg.VM, leader.Token))
			cancel()
			if err == nil && reply.Leading {
				return true
			}
		}
		if !sleep(ctx, retryDelayMs) {
			return false
		}
	}
	return false
}
