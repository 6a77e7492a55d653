package cccontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccquorum"
	"coriandercross/core/ccsuccession"
)

// adviceDispatcher sends advice requests (calls to the policy service) to the processes that the queue assigns them to.
// Only the leader's event loop calls dispatch and complete; peers is shared with the handlers of Sync.
type adviceDispatcher struct {
	l     *leadership
	queue *cccell.AdviceQueue

	mu    sync.Mutex
	peers map[string]*peerState
	// slow holds the slowness, in tenths, of the peers that are slow, by VM. A map is not changed once it is set;
	// slowVersion rises when it is replaced.
	slow        map[string]int64
	slowVersion int64
}

// peerAliveMs is the time after the last reply to a peer for which the peer counts as alive, at the shortest heartbeat
// interval.
const peerAliveMs ms = 700

// peerState is the leader's view of one process. The leader has one for itself as well.
type peerState struct {
	mu       sync.Mutex
	vm       string
	draining bool
	// outbox holds the requests that go out with the next reply to the peer. A send on wake makes Sync reply at once.
	outbox []cccell.AdviceRequest
	wake   chan struct{}
	// repliedAt is the time of the last reply to the peer, or of the peer's first call if there was no reply yet.
	repliedAt ms
	// voter is the process that runs on the VM, empty until it follows this leader. confirmedAt is the time of the last
	// reply that it has received while it followed this leader.
	voter       ccquorum.Voter
	confirmedAt ms
	// slowTenths is SyncRequest.SlowTenths of the peer's last call.
	slowTenths int64
	reports    ccsuccession.Reports
	// slowSent is the version of adviceDispatcher.slow that was last sent to the peer, and slowSentAt the time.
	slowSent   int64
	slowSentAt ms
	// toldUnstored is SyncReply.RunsUnstored of the last reply to the peer.
	toldUnstored atomic.Bool
	// jobMemory is SyncRequest.JobMemory of the peer's last call.
	jobMemory atomic.Int64
}

// newAdviceDispatcher returns a dispatcher that knows this process only. Peers are added as they call Sync.
func newAdviceDispatcher(l *leadership) *adviceDispatcher {
	return &adviceDispatcher{l: l, queue: cccell.NewAdviceQueue(l.cell), peers: map[string]*peerState{l.p.cfg.VM: {vm: l.p.cfg.VM, wake: make(chan struct{}, 1)}}}
}

// peer returns the state of a peer that has just called Sync. It creates the state at the first call.
func (d *adviceDispatcher) peer(vm string, draining bool) *peerState {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.peers[vm]
	if s == nil {
		s = &peerState{vm: vm, wake: make(chan struct{}, 1)}
		d.peers[vm] = s
	}
	s.mu.Lock()
	s.draining = draining
	if s.repliedAt == 0 {
		s.repliedAt = d.l.p.now()
	}
	s.mu.Unlock()
	return s
}

// lastReplyAt returns the time of the last reply to the peer, or of the peer's first call if there was no reply yet.
func (s *peerState) lastReplyAt() ms {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repliedAt
}

// recordReply records that a reply to the peer is about to be sent.
func (s *peerState) recordReply(now ms) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliedAt = now
}

// hasRequests reports whether there are requests to send to the peer.
func (s *peerState) hasRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.outbox) > 0
}

// takeRequests returns the requests to send to the peer, and clears the outbox.
func (s *peerState) takeRequests() []cccell.AdviceRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.outbox
	s.outbox = nil
	return out
}

// waitForRequest blocks until there is a request to send to the peer, but for d at most.
func (s *peerState) waitForRequest(ctx context.Context, d ms) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.wake:
	case <-ctx.Done():
	}
}

// dispatch queues new requests, and sends the requests that the queue assigns to processes.
func (d *adviceDispatcher) dispatch(requests []cccell.AdviceRequest, now ms) {
	d.queue.Add(requests)
	extraMs := extraHeartbeatMs(heartbeatMs(d.l.p.memberCount()))
	d.mu.Lock()
	var available []string
	alive := map[string]*peerState{}
	for vm, s := range d.peers {
		s.mu.Lock()
		if vm == d.l.p.cfg.VM || now-s.repliedAt < peerAliveMs+extraMs {
			alive[vm] = s
			if !s.draining {
				available = append(available, vm)
			}
		} else {
			s.outbox = nil // The queue assigns these requests to other processes.
		}
		s.mu.Unlock()
	}
	d.mu.Unlock()
	for _, a := range d.queue.Assign(available, func(vm string) bool { return alive[vm] == nil }, extraMs, now) {
		d.send(alive[a.VM], a.Request)
	}
	d.l.p.cfg.Metrics.adviceWaiting.Set(float64(d.queue.Len()))
}

// send makes a request, or puts it into the outbox of the peer that has to make it.
func (d *adviceDispatcher) send(s *peerState, request cccell.AdviceRequest) {
	if s.vm == d.l.p.cfg.VM {
		go func() {
			reply := d.l.p.requestAdvice(d.l.ctx, request)
			d.l.post(func(now ms) { d.complete(s.vm, &reply, now) })
		}()
		return
	}
	s.mu.Lock()
	s.outbox = append(s.outbox, request)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// complete handles the result of a request that a process has made.
func (d *adviceDispatcher) complete(vm string, reply *cccell.AdviceReply, now ms) {
	d.queue.Complete(vm, reply, now)
	needed := d.l.cell.OnAdviceReply(reply, now)
	d.l.p.cfg.Metrics.adviceCalls.WithLabelValues(adviceOutcome(reply, needed)).Inc()
}

// adviceOutcome returns the metric label of a result.
func adviceOutcome(reply *cccell.AdviceReply, needed bool) string {
	switch {
	case reply.Failed:
		return "failed"
	case !needed:
		return "in vain"
	}
	return "used"
}
