package cccontrol

import (
	"context"
	"sort"
	"sync"
	"time"

	"coriandercross/core/cccell"
)

// adviceDispatcher spreads calls to the policy service over the processes, since the service answers one call at a time of
// each VM. Load pattern: batch stages whose calls take half a second each, at more than one second of work a second.
// Only the leader's loop calls add and answered; slots are shared with the handlers of fellows.
type adviceDispatcher struct {
	l     *leadership
	queue []cccell.AdviceRequest
	// assigned holds the calls that processes were asked to make and that are not answered.
	assigned []assignedRequest

	mu    sync.Mutex
	peers map[string]*peerState
}

const (
	// longRequestMs is the length from which a call counts as long: such calls leave one process free for short ones.
	longRequestMs = 100
	// maxShortBacklogMs is the wait up to which a short call is queued behind another.
	maxShortBacklogMs ms = 60
	// peerAliveMs is the time since its last sync for which a fellow counts as there, at the shortest heartbeat.
	peerAliveMs ms = 700
)

// assignedRequest is a call that a process was asked to make.
type assignedRequest struct {
	cccell.AdviceRequest
	peer *peerState
}

// peerState is a process that can ask.
type peerState struct {
	mu        sync.Mutex
	vm        string
	draining  bool
	outbox    []cccell.AdviceRequest
	wake      chan struct{}
	repliedAt ms
	// replied is true once the fellow got an answer, vouchedAt the time of the answer after which it last followed this leader.
	replied     bool
	confirmedAt ms
	// inFlight is the number of inFlight that are not answered, busyUntil when they should be.
	inFlight  int
	busyUntil ms
}

// newAdviceDispatcher returns a desk with this process as its first slot.
func newAdviceDispatcher(l *leadership) *adviceDispatcher {
	return &adviceDispatcher{l: l, peers: map[string]*peerState{l.p.cfg.VM: {vm: l.p.cfg.VM, wake: make(chan struct{}, 1)}}}
}

// peer returns the peer of a fellow that has just been heard.
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

// lastReplyAt returns when the fellow last got an answer.
func (s *peerState) lastReplyAt() ms {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repliedAt
}

// recordReply notes that the fellow gets an answer.
func (s *peerState) recordReply(now ms) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliedAt, s.replied = now, true
}

// hasRequests reports whether calls wait for the fellow.
func (s *peerState) hasRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.outbox) > 0
}

// takeRequests returns the calls that wait for the fellow.
func (s *peerState) takeRequests() []cccell.AdviceRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.outbox
	s.outbox = nil
	return out
}

// waitForRequest waits, but not longer than until a call is there for the fellow.
func (s *peerState) waitForRequest(ctx context.Context, d ms) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.wake:
	case <-ctx.Done():
	}
}

// dispatch queues calls, those of processes that are gone among them, and hands out what can go.
func (d *adviceDispatcher) dispatch(asks []cccell.AdviceRequest, now ms) {
	d.queue = append(d.queue, asks...)
	if len(d.queue) == 0 && len(d.assigned) == 0 {
		return
	}
	alive := peerAliveMs + extraHeartbeatMs(heartbeatMs(d.l.p.memberCount()))
	d.mu.Lock()
	var slots []*peerState
	gone := map[*peerState]bool{}
	for vm, s := range d.peers {
		s.mu.Lock()
		there := vm == d.l.p.cfg.VM || now-s.repliedAt < alive
		gone[s] = !there
		if there && !s.draining {
			slots = append(slots, s)
		}
		s.mu.Unlock()
	}
	d.mu.Unlock()
	d.requeue(gone)
	sort.SliceStable(d.queue, func(a, b int) bool { return d.queue[a].Priority < d.queue[b].Priority })
	sort.Slice(slots, func(a, b int) bool { return slots[a].vm < slots[b].vm })
	var rest []cccell.AdviceRequest
	for _, ask := range d.queue {
		if !d.assign(ask, slots, now) {
			rest = append(rest, ask)
		}
	}
	d.queue = rest
}

// requeue queues the calls of processes that are gone again. Load pattern: machines are stopped in turn, or killed, while each makes
// calls of half a second.
func (d *adviceDispatcher) requeue(gone map[*peerState]bool) {
	kept := d.assigned[:0]
	for _, g := range d.assigned {
		if !gone[g.peer] {
			kept = append(kept, g)
			continue
		}
		g.peer.inFlight = 0
		g.peer.takeRequests()
		d.queue = append(d.queue, g.AdviceRequest)
		d.l.p.cfg.Log.Info("call to the policy service taken back", "VM", g.peer.vm, "Job", g.Stage.Job, "Stage", g.Stage.Stage)
	}
	d.assigned = kept
}

// assign hands a call to the process that is free first. It returns false when all are busy.
func (d *adviceDispatcher) assign(ask cccell.AdviceRequest, slots []*peerState, now ms) bool {
	var best *peerState
	free := 0
	for _, s := range slots {
		if s.busyUntil <= now || s.inFlight == 0 {
			free++
		}
		if best == nil || s.backlog(now) < best.backlog(now) {
			best = s
		}
	}
	long := ask.CallMs > longRequestMs
	if best == nil || (long && (best.backlog(now) > 0 || (free < 2 && len(slots) > 1))) || best.backlog(now) > maxShortBacklogMs {
		return false
	}
	best.inFlight++
	best.busyUntil = max(now, best.busyUntil) + ms(ask.CallMs)
	if best.vm == d.l.p.cfg.VM {
		go func() {
			answer := d.l.p.requestAdvice(d.l.ctx, ask)
			d.l.post(func(now ms) {
				d.complete(best.vm, ask.Stage)
				d.l.cell.OnAdviceReply(&answer, now)
			})
		}()
		return true
	}
	d.assigned = append(d.assigned, assignedRequest{ask, best})
	best.mu.Lock()
	best.outbox = append(best.outbox, ask)
	best.mu.Unlock()
	select {
	case best.wake <- struct{}{}:
	default:
	}
	return true
}

// backlog returns the time until a slot is free.
func (s *peerState) backlog(now ms) ms {
	if s.inFlight == 0 {
		return 0
	}
	return max(s.busyUntil-now, 0)
}

// complete notes an answer of a process.
func (d *adviceDispatcher) complete(vm string, stage cccell.StageID) {
	for i, g := range d.assigned {
		if g.peer.vm == vm && g.Stage == stage {
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
