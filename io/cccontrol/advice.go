package cccontrol

import (
	"context"
	"sort"
	"sync"
	"time"

	"coriandercross/core/cccell"
)

// adviceDispatcher distributes advice requests (calls to the policy service) over the processes, since the service
// answers one call at a time from each VM. One VM is not enough for loads such as batch stages whose calls take half a
// second each and come more than twice a second. Only the leader's event loop calls dispatch and complete; peers is
// shared with the handlers of Sync.
type adviceDispatcher struct {
	l *leadership
	// queue holds the requests that no process is free for.
	queue []cccell.AdviceRequest
	// assigned holds the requests that have been assigned to peers and have no result yet.
	assigned []assignedRequest

	mu    sync.Mutex
	peers map[string]*peerState
}

const (
	// longRequestMs is the expected duration above which a request counts as long. Long requests leave one process free
	// for short ones.
	longRequestMs = 100
	// maxShortBacklogMs is the longest time for which a short request is queued at a process behind another request.
	maxShortBacklogMs ms = 60
	// peerAliveMs is the time after the last reply to a peer for which the peer counts as alive, at the shortest
	// heartbeat interval.
	peerAliveMs ms = 700
)

// assignedRequest is a request with the peer that is to make it.
type assignedRequest struct {
	cccell.AdviceRequest
	peer *peerState
}

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
	// replied is true once the peer got a reply. confirmedAt is the time of the last reply after which the peer still
	// followed this leader.
	replied     bool
	confirmedAt ms
	// inFlight is the number of requests without a result, and busyUntil the time by which all results are expected.
	// Only the event loop uses these two fields.
	inFlight  int
	busyUntil ms
}

// newAdviceDispatcher returns a dispatcher that knows this process only. Peers are added as they call Sync.
func newAdviceDispatcher(l *leadership) *adviceDispatcher {
	return &adviceDispatcher{l: l, peers: map[string]*peerState{l.p.cfg.VM: {vm: l.p.cfg.VM, wake: make(chan struct{}, 1)}}}
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
	s.repliedAt, s.replied = now, true
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

// dispatch queues new requests, and those that were assigned to peers that are dead by now. It then assigns queued
// requests to processes, by priority, until no process is free.
func (d *adviceDispatcher) dispatch(requests []cccell.AdviceRequest, now ms) {
	d.queue = append(d.queue, requests...)
	if len(d.queue) == 0 && len(d.assigned) == 0 {
		return
	}
	aliveMs := peerAliveMs + extraHeartbeatMs(heartbeatMs(d.l.p.memberCount()))
	d.mu.Lock()
	var available []*peerState
	dead := map[*peerState]bool{}
	for vm, s := range d.peers {
		s.mu.Lock()
		isAlive := vm == d.l.p.cfg.VM || now-s.repliedAt < aliveMs
		dead[s] = !isAlive
		if isAlive && !s.draining {
			available = append(available, s)
		}
		s.mu.Unlock()
	}
	d.mu.Unlock()
	d.requeue(dead)
	sort.SliceStable(d.queue, func(a, b int) bool { return d.queue[a].Priority < d.queue[b].Priority })
	sort.Slice(available, func(a, b int) bool { return available[a].vm < available[b].vm })
	var rest []cccell.AdviceRequest
	for _, request := range d.queue {
		if !d.assign(request, available, now) {
			rest = append(rest, request)
		}
	}
	d.queue = rest
}

// requeue queues the requests that were assigned to dead peers again. This happens when VMs are stopped one after the
// other, or killed, during calls of half a second.
func (d *adviceDispatcher) requeue(dead map[*peerState]bool) {
	remaining := d.assigned[:0]
	for _, a := range d.assigned {
		if !dead[a.peer] {
			remaining = append(remaining, a)
			continue
		}
		a.peer.inFlight = 0
		a.peer.takeRequests()
		d.queue = append(d.queue, a.AdviceRequest)
		d.l.p.cfg.Log.Info("call to the policy service taken back", "VM", a.peer.vm, "Job", a.Stage.Job, "Stage", a.Stage.Stage)
	}
	d.assigned = remaining
}

// assign assigns a request to the process with the smallest backlog. It returns false if no process is free for it: a
// long request needs a process without a backlog, and a second free one if there are several processes; a short request
// needs a backlog of maxShortBacklogMs at most.
func (d *adviceDispatcher) assign(request cccell.AdviceRequest, available []*peerState, now ms) bool {
	var best *peerState
	free := 0
	for _, s := range available {
		if s.busyUntil <= now || s.inFlight == 0 {
			free++
		}
		if best == nil || s.backlog(now) < best.backlog(now) {
			best = s
		}
	}
	long := request.CallMs > longRequestMs
	if best == nil || (long && (best.backlog(now) > 0 || (free < 2 && len(available) > 1))) || best.backlog(now) > maxShortBacklogMs {
		return false
	}
	best.inFlight++
	best.busyUntil = max(now, best.busyUntil) + ms(request.CallMs)
	if best.vm == d.l.p.cfg.VM {
		go func() {
			reply := d.l.p.requestAdvice(d.l.ctx, request)
			d.l.post(func(now ms) {
				d.complete(best.vm, request.Stage)
				d.l.cell.OnAdviceReply(&reply, now)
			})
		}()
		return true
	}
	d.assigned = append(d.assigned, assignedRequest{request, best})
	best.mu.Lock()
	best.outbox = append(best.outbox, request)
	best.mu.Unlock()
	select {
	case best.wake <- struct{}{}:
	default:
	}
	return true
}

// backlog returns the time until the results of all requests of the process are expected.
func (s *peerState) backlog(now ms) ms {
	if s.inFlight == 0 {
		return 0
	}
	return max(s.busyUntil-now, 0)
}

// complete records that the result of a process's request for a stage has arrived: the request is no longer assigned,
// and the process has one request fewer in flight.
func (d *adviceDispatcher) complete(vm string, stage cccell.StageID) {
	for i, a := range d.assigned {
		if a.peer.vm == vm && a.Stage == stage {
			d.assigned = append(d.assigned[:i], d.assigned[i+1:]...)
			break
		}
	}
	d.mu.Lock()
	s := d.peers[vm]
	d.mu.Unlock()
	if s != nil && s.inFlight > 0 {
		s.inFlight--
	}
}
