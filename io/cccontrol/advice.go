package cccontrol

import (
	"context"
	"sort"
	"sync"
	"time"

	"coriandercross/core/cccell"
)

// askDesk spreads calls to the policy service over the processes, since the service answers one call at a time of
// each VM. Load pattern: batch stages whose calls take half a second each, at more than one second of work a second.
// Only the leader's loop calls add and answered; slots are shared with the handlers of fellows.
type askDesk struct {
	l     *leadership
	queue []cccell.AdviceRequest
	// given holds the calls that processes were asked to make and that are not answered.
	given []givenAsk

	mu    sync.Mutex
	slots map[string]*askSlot
}

const (
	// longCallMs is the length from which a call counts as long: such calls leave one process free for short ones.
	longCallMs = 100
	// shortBacklogMs is the wait up to which a short call is queued behind another.
	shortBacklogMs ms = 60
	// slotAliveMs is the time since its last sync for which a fellow counts as there, at the shortest heartbeat.
	slotAliveMs ms = 700
)

// givenAsk is a call that a process was asked to make.
type givenAsk struct {
	cccell.AdviceRequest
	slot *askSlot
}

// askSlot is a process that can ask.
type askSlot struct {
	mu       sync.Mutex
	vm       string
	draining bool
	outbox   []cccell.AdviceRequest
	wake     chan struct{}
	syncedAt ms
	// replied is true once the fellow got an answer, vouchedAt the time of the answer after which it last followed this leader.
	replied   bool
	vouchedAt ms
	// calls is the number of calls that are not answered, busyUntil when they should be.
	calls     int
	busyUntil ms
}

// newAskDesk returns a desk with this process as its first slot.
func newAskDesk(l *leadership) *askDesk {
	return &askDesk{l: l, slots: map[string]*askSlot{l.p.cfg.VM: {vm: l.p.cfg.VM, wake: make(chan struct{}, 1)}}}
}

// slot returns the slot of a fellow that has just been heard.
func (d *askDesk) slot(vm string, draining bool) *askSlot {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.slots[vm]
	if s == nil {
		s = &askSlot{vm: vm, wake: make(chan struct{}, 1)}
		d.slots[vm] = s
	}
	s.mu.Lock()
	s.draining = draining
	if s.syncedAt == 0 {
		s.syncedAt = d.l.p.now()
	}
	s.mu.Unlock()
	return s
}

// answeredAt returns when the fellow last got an answer.
func (s *askSlot) answeredAt() ms {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.syncedAt
}

// answered notes that the fellow gets an answer.
func (s *askSlot) answered(now ms) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncedAt, s.replied = now, true
}

// hasAsks reports whether calls wait for the fellow.
func (s *askSlot) hasAsks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.outbox) > 0
}

// take returns the calls that wait for the fellow.
func (s *askSlot) take() []cccell.AdviceRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.outbox
	s.outbox = nil
	return out
}

// sleep waits, but not longer than until a call is there for the fellow.
func (s *askSlot) sleep(ctx context.Context, d ms) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.wake:
	case <-ctx.Done():
	}
}

// add queues calls, those of processes that are gone among them, and hands out what can go.
func (d *askDesk) add(asks []cccell.AdviceRequest, now ms) {
	d.queue = append(d.queue, asks...)
	if len(d.queue) == 0 && len(d.given) == 0 {
		return
	}
	alive := slotAliveMs + stretchMs(heartbeatMs(d.l.p.memberCount()))
	d.mu.Lock()
	var slots []*askSlot
	gone := map[*askSlot]bool{}
	for vm, s := range d.slots {
		s.mu.Lock()
		there := vm == d.l.p.cfg.VM || now-s.syncedAt < alive
		gone[s] = !there
		if there && !s.draining {
			slots = append(slots, s)
		}
		s.mu.Unlock()
	}
	d.mu.Unlock()
	d.takeBack(gone)
	sort.SliceStable(d.queue, func(a, b int) bool { return d.queue[a].Priority < d.queue[b].Priority })
	sort.Slice(slots, func(a, b int) bool { return slots[a].vm < slots[b].vm })
	var rest []cccell.AdviceRequest
	for _, ask := range d.queue {
		if !d.give(ask, slots, now) {
			rest = append(rest, ask)
		}
	}
	d.queue = rest
}

// takeBack queues the calls of processes that are gone again. Load pattern: machines are stopped in turn, or killed, while each makes
// calls of half a second.
func (d *askDesk) takeBack(gone map[*askSlot]bool) {
	kept := d.given[:0]
	for _, g := range d.given {
		if !gone[g.slot] {
			kept = append(kept, g)
			continue
		}
		g.slot.calls = 0
		g.slot.take()
		d.queue = append(d.queue, g.AdviceRequest)
		d.l.p.cfg.Log.Info("call to the policy service taken back", "VM", g.slot.vm, "Job", g.Stage.Job, "Stage", g.Stage.Stage)
	}
	d.given = kept
}

// give hands a call to the process that is free first. It returns false when all are busy.
func (d *askDesk) give(ask cccell.AdviceRequest, slots []*askSlot, now ms) bool {
	var best *askSlot
	free := 0
	for _, s := range slots {
		if s.busyUntil <= now || s.calls == 0 {
			free++
		}
		if best == nil || s.backlog(now) < best.backlog(now) {
			best = s
		}
	}
	long := ask.CallMs > longCallMs
	if best == nil || (long && (best.backlog(now) > 0 || (free < 2 && len(slots) > 1))) || best.backlog(now) > shortBacklogMs {
		return false
	}
	best.calls++
	best.busyUntil = max(now, best.busyUntil) + ms(ask.CallMs)
	if best.vm == d.l.p.cfg.VM {
		go func() {
			answer := d.l.p.askPolicy(d.l.ctx, ask)
			d.l.post(func(now ms) {
				d.answered(best.vm, ask.Stage)
				d.l.cell.OnAdviceReply(&answer, now)
			})
		}()
		return true
	}
	d.given = append(d.given, givenAsk{ask, best})
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
func (s *askSlot) backlog(now ms) ms {
	if s.calls == 0 {
		return 0
	}
	return max(s.busyUntil-now, 0)
}

// answered notes an answer of a process.
func (d *askDesk) answered(vm string, stage cccell.StageID) {
	for i, g := range d.given {
		if g.slot.vm == vm && g.Stage == stage {
			d.given = append(d.given[:i], d.given[i+1:]...)
			break
		}
	}
	d.mu.Lock()
	s := d.slots[vm]
	d.mu.Unlock()
	if s != nil && s.calls > 0 {
		s.calls--
	}
}
