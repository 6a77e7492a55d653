package ccledger

import (
	"slices"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// Errors of placement. None of them says that the work can never be placed.
var (
	// ErrFull reports that no worker has room now.
	ErrFull = errors.Wrap(ccwork.ErrOverload, "no worker has room")
	// ErrDuplicate reports that the task holds a claim already.
	ErrDuplicate = errors.New("task holds a claim already")
)

// Config sets up a Pool.
type Config struct {
	// ReservePercent is the share of capacity that long and batch work can't take.
	ReservePercent int64
	// QuarantinePercent bounds the share of workers in quarantine.
	QuarantinePercent int
	// MaxFailures in a row put a worker into quarantine.
	MaxFailures int
	// QuarantineSpan is the first quarantine; it doubles up to maxQuarantineFactor times that.
	QuarantineSpan ccclock.Millis
	// TaskLease is how long a task runs on without a renewal.
	TaskLease ccclock.Millis
	// FirstFit takes the first worker with room in place of the best; for comparison.
	FirstFit bool
}

const maxQuarantineFactor = 16

// Pool is the ledger of every worker owned.
type Pool struct {
	cfg     Config
	workers map[string]*entry
	// order lists the workers, so that a scan touches memory in sequence.
	order  []*entry
	shards map[string][]*entry
	tasks  map[string]*Claim
	// total and patient are the whole capacity, and what work that can wait holds of it.
	total          ccwork.Size
	deferrableUsed ccwork.Size
	used           map[string]ccwork.Size
}

// NewPool returns a ledger without workers.
func NewPool(cfg Config) *Pool {
	return &Pool{
		cfg:     cfg,
		workers: map[string]*entry{},
		shards:  map[string][]*entry{},
		tasks:   map[string]*Claim{},
		used:    map[string]ccwork.Size{},
	}
}

// Add takes in a worker of a shard, or news of one. A new worker takes no task before its task
// table was reconciled.
func (p *Pool) Add(w Worker, shard string, now ccclock.Millis) {
	if e := p.workers[w.ID]; e != nil {
		p.total = p.total.Plus(w.Capacity).Minus(e.Capacity)
		e.free = e.free.Plus(w.Capacity).Minus(e.Capacity)
		e.Worker = w
		return
	}
	e := &entry{Worker: w, shard: shard, free: w.Capacity, claims: map[string]*Claim{}, lastReplyAt: now}
	p.workers[w.ID] = e
	p.order = append(p.order, e)
	p.shards[shard] = append(p.shards[shard], e)
	p.total = p.total.Plus(w.Capacity)
}

// Remove forgets a worker and its claims, because the shard went to another process or the VM is gone.
func (p *Pool) Remove(id string) {
	e := p.workers[id]
	if e == nil {
		return
	}
	for _, c := range e.claims {
		p.removeClaim(e, c)
	}
	delete(p.workers, id)
	p.total = p.total.Minus(e.Capacity)
	p.order = without(p.order, e)
	p.shards[e.shard] = without(p.shards[e.shard], e)
	if len(p.shards[e.shard]) == 0 {
		delete(p.shards, e.shard)
	}
}

// without returns a list less one worker, in the same order.
func without(list []*entry, e *entry) []*entry {
	return slices.DeleteFunc(list, func(o *entry) bool { return o == e })
}

// Request is a task that looks for a place.
type Request struct {
	Row
	// Deferrable work can wait: it may not use the reserve.
	Deferrable bool
	// Avoid names a worker that must not be chosen; "" for none.
	Avoid string
}

// Reserve finds the best place for a task and holds it until the given time. It fails with
// ErrFull, ErrDuplicate, or ccwork.ErrImpossible.
func (p *Pool) Reserve(r Request, now, until ccclock.Millis) (*Claim, error) {
	if _, ok := p.tasks[r.Task]; ok {
		return nil, ErrDuplicate
	}
	if r.Deferrable && !p.withinReserve(r.Size) {
		return nil, errors.Wrap(ErrFull, "reserve is kept for urgent work")
	}
	e := p.best(&r, now)
	if e == nil {
		return nil, ErrFull
	}
	c := &Claim{Row: r.Row, Worker: e.ID, Shard: e.shard, Phase: Reserved, Since: now, Until: until}
	c.Long = r.Long || r.Deferrable
	p.addClaim(e, c)
	return c, nil
}

// withinReserve reports whether patient work of the size leaves the reserve untouched.
func (p *Pool) withinReserve(size ccwork.Size) bool {
	limit := p.total.Times(100 - p.cfg.ReservePercent)
	want := p.deferrableUsed.Plus(size).Times(100)
	return want.MilliCores <= limit.MilliCores && want.MemoryMB <= limit.MemoryMB && want.Slots <= limit.Slots
}

// best returns the fitting worker that the task leaves the least room on, or nil.
func (p *Pool) best(r *Request, now ccclock.Millis) *entry {
	var best *entry
	bestScore := int64(-1)
	for _, e := range p.order {
		if !r.Size.Fits(&e.free) || !e.usable(now) || e.ID == r.Avoid {
			continue
		}
		if p.cfg.FirstFit {
			return e
		}
		score := e.score(&r.Size, r.Deferrable)
		if score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// SetAuthority sets whether the workers of a shard may get tasks, as the authority over the shard comes
// and goes.
func (p *Pool) SetAuthority(shard string, authorized bool) {
	for _, e := range p.shards[shard] {
		e.authorized = authorized
	}
}

// WorkersOf returns the IDs of the workers of a shard.
func (p *Pool) WorkersOf(shard string) []string {
	out := make([]string, len(p.shards[shard]))
	for i, e := range p.shards[shard] {
		out[i] = e.ID
	}
	return out
}

// StartPending reports whether a start on a worker of the shard is in flight, or may still arrive.
func (p *Pool) StartPending(shard string, now ccclock.Millis) bool {
	for _, c := range p.tasks {
		if c.Shard != shard {
			continue
		}
		if c.Phase == Sending || c.Phase == Reserved || c.Phase == InDoubt && now < c.Until {
			return true
		}
	}
	return false
}

// HasUsable reports whether any worker may get a new task, room or not.
func (p *Pool) HasUsable(now ccclock.Millis) bool {
	for _, e := range p.order {
		if e.usable(now) {
			return true
		}
	}
	return false
}

// usable reports whether the worker may get a new task.
func (e *entry) usable(now ccclock.Millis) bool {
	if !e.reconciled || !e.authorized || e.Leaving || e.unreachable {
		return false
	}
	if e.health.quarantinedUntil == 0 {
		return true
	}
	// After its quarantine a worker gets one task at a time as a probe.
	return now >= e.health.quarantinedUntil && len(e.claims) == 0
}

const (
	scoreScale      = 1000
	scoredResources = 3
	affinityBonus   = 300
)

// score is higher the fuller the worker is after the task, over all resources. Work that can wait goes to workers that hold such work, urgent work to the others.
func (e *entry) score(size *ccwork.Size, deferrable bool) int64 {
	s := usedShare(e.Capacity.MilliCores, e.free.MilliCores-size.MilliCores)
	s += usedShare(e.Capacity.MemoryMB, e.free.MemoryMB-size.MemoryMB)
	s += usedShare(e.Capacity.Slots, e.free.Slots-size.Slots)
	s /= scoredResources
	if size.Accelerators == 0 && e.free.Accelerators > 0 {
		// Work without need of accelerators leaves them to others.
		s /= 2
	}
	if deferrable == (e.deferrableTasks > 0) {
		s += affinityBonus
	}
	return s
}

// usedShare returns the used part of a capacity in thousandths.
func usedShare(capacity, free int64) int64 {
	if capacity == 0 {
		return 0
	}
	return (capacity - free) * scoreScale / capacity
}

// addClaim books a claim.
func (p *Pool) addClaim(e *entry, c *Claim) {
	p.tasks[c.Task] = c
	e.claims[c.Task] = c
	if c.Phase == Finished {
		return
	}
	e.free = e.free.Minus(c.Size)
	p.used[c.Team] = p.used[c.Team].Plus(c.Size)
	if c.Long {
		e.deferrableTasks++
		e.deferrableSlots += c.Size.Slots
		p.deferrableUsed = p.deferrableUsed.Plus(c.Size)
	}
}

// releaseCapacity gives back what a claim holds.
func (p *Pool) releaseCapacity(e *entry, c *Claim) {
	if c.Phase == Finished {
		return
	}
	e.free = e.free.Plus(c.Size)
	p.used[c.Team] = p.used[c.Team].Minus(c.Size)
	if c.Long {
		e.deferrableTasks--
		e.deferrableSlots -= c.Size.Slots
		p.deferrableUsed = p.deferrableUsed.Minus(c.Size)
	}
}

// removeClaim removes a claim.
func (p *Pool) removeClaim(e *entry, c *Claim) {
	p.releaseCapacity(e, c)
	delete(e.claims, c.Task)
	delete(p.tasks, c.Task)
}

// Claim returns the claim of a task, or nil.
func (p *Pool) Claim(task string) *Claim {
	return p.tasks[task]
}

// Advance moves a claim to a phase. Until is the end of the phase, where it has one.
func (p *Pool) Advance(task string, phase Phase, now, until ccclock.Millis) {
	c := p.tasks[task]
	if c == nil {
		return
	}
	if phase == Finished {
		p.releaseCapacity(p.workers[c.Worker], c)
	}
	c.Phase = phase
	c.Since = now
	c.Until = until
}

// Preempt picks a task that can wait, whose stop would make room for a size, and marks it as
// stopping. It takes the youngest, which loses the least work, and none while an earlier one's stop
// will make that room. It returns nil when nothing helps.
func (p *Pool) Preempt(size ccwork.Size, now ccclock.Millis) *Claim {
	var victim *Claim
	for _, e := range p.order {
		if !e.usable(now) || e.deferrableSlots == 0 {
			continue
		}
		for _, c := range e.claims {
			if !c.Long || c.Phase != Admitted {
				continue
			}
			room := e.free.Plus(c.Size)
			if !size.Fits(&room) {
				continue
			}
			if c.Stopping {
				return nil
			}
			if victim == nil || c.Since > victim.Since || c.Since == victim.Since && c.Task < victim.Task {
				victim = c
			}
		}
	}
	if victim != nil {
		victim.Stopping = true
	}
	return victim
}

// Address returns a worker's address, or "" when it is not in the ledger.
func (p *Pool) Address(worker string) string {
	if e := p.workers[worker]; e != nil {
		return e.Address
	}
	return ""
}

// Release gives back a claim whose task is known not to run.
func (p *Pool) Release(task string) {
	if c := p.tasks[task]; c != nil {
		p.removeClaim(p.workers[c.Worker], c)
	}
}

// Expire releases the reservations whose time ran out.
func (p *Pool) Expire(now ccclock.Millis) {
	for task, c := range p.tasks {
		if c.Phase == Reserved && now >= c.Until {
			p.Release(task)
		}
	}
}

// Used returns what a team's tasks hold here.
func (p *Pool) Used(team string) ccwork.Size {
	return p.used[team]
}

// Largest returns the largest capacity in each part over all workers.
func (p *Pool) Largest() ccwork.Size {
	var l ccwork.Size
	for _, e := range p.order {
		l = l.Max(e.Capacity)
	}
	return l
}
