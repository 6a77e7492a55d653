package ccledger

import (
	"slices"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// Errors of placement. Work that fails with one of them may be placed later.
var (
	// ErrFull reports that no worker has enough free capacity now.
	ErrFull = errors.Wrap(ccwork.ErrOverload, "no worker has enough free capacity")
	// ErrDuplicate reports that the task has a claim already.
	ErrDuplicate = errors.New("task has a claim already")
)

// Config configures a Pool.
type Config struct {
	// ReservePercent is the share of the capacity that deferrable work may not use.
	ReservePercent int64
	// QuarantinePercent is the maximum share of workers in quarantine.
	QuarantinePercent int
	// MaxFailures is the number of consecutive failures that put a worker into quarantine.
	MaxFailures int
	// QuarantinePeriod is the length of the first quarantine. It doubles with every further one, up to QuarantinePeriod
	// times maxQuarantineFactor.
	QuarantinePeriod ccclock.Millis
	// TaskLease is how long a task continues to run without a renewal of its lease.
	TaskLease ccclock.Millis
	// FirstFit selects the first worker with enough free capacity instead of the best one. It exists for comparison in
	// measurements.
	FirstFit bool
}

const maxQuarantineFactor = 16

// Pool is the ledger of the workers that this process owns.
type Pool struct {
	cfg     Config
	workers map[string]*entry
	// order is the list of the workers in the order of a scan. A slice is scanned faster than a map.
	order  []*entry
	shards map[string][]*entry
	tasks  map[string]*Claim
	// total is the capacity of all workers, and deferrableUsed the part that long and deferrable work uses.
	total          ccwork.Size
	deferrableUsed ccwork.Size
	// used is the capacity that the tasks of each team use.
	used map[string]ccwork.Size
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

// Add adds a worker to a shard, or updates the description of a known one. A new worker gets no tasks until its task
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

// Remove removes a worker and its claims, because its shard has another owner now or its VM no longer exists.
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

// without removes a worker from a list and keeps the order.
func without(list []*entry, e *entry) []*entry {
	return slices.DeleteFunc(list, func(o *entry) bool { return o == e })
}

// Request is a task to be placed.
type Request struct {
	Row
	// Deferrable work can wait: it may not use the reserve, and may be preempted.
	Deferrable bool
	// Avoid is the ID of a worker that must not be chosen, or "".
	Avoid string
}

// Reserve chooses the best worker for a task and reserves its capacity until the given time. It fails with ErrFull or
// ErrDuplicate.
func (p *Pool) Reserve(r Request, now, until ccclock.Millis) (*Claim, error) {
	if _, ok := p.tasks[r.Task]; ok {
		return nil, ErrDuplicate
	}
	if r.Deferrable && !p.withinReserve(r.Size) {
		return nil, errors.Wrap(ErrFull, "the remaining capacity is reserved for urgent work")
	}
	e := p.best(&r, now)
	if e == nil {
		return nil, ErrFull
	}
	c := &Claim{Row: r.Row, Worker: e.ID, Shard: e.shard, Phase: Reserved, Since: now, Until: until}
	// All deferrable work is accounted for and preempted like long work.
	c.Long = r.Long || r.Deferrable
	p.addClaim(e, c)
	return c, nil
}

// withinReserve reports whether the reserve remains free if deferrable work of the given size is added.
func (p *Pool) withinReserve(size ccwork.Size) bool {
	limit := p.total.Times(100 - p.cfg.ReservePercent)
	used := p.deferrableUsed.Plus(size).Times(100)
	return used.MilliCores <= limit.MilliCores && used.MemoryMB <= limit.MemoryMB && used.Slots <= limit.Slots
}

// best returns the worker with enough free capacity and the highest score, or nil.
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

// SetAuthority sets whether the process has authority over a shard. Its workers get new tasks only while it has.
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

// StartPending reports whether a worker of the shard has a reservation, or a start that is in flight or may still
// arrive.
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

// HasUsable reports whether any worker may get new tasks, whether or not it has free capacity.
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
	// After its quarantine a worker gets one task at a time, until one succeeds.
	return now >= e.health.quarantinedUntil && len(e.claims) == 0
}

const (
	// scoreScale is the share of a resource that is used in full: shares are in thousandths.
	scoreScale      = 1000
	scoredResources = 3
	// affinityBonus, in thousandths, is added for a worker of the preferred group.
	affinityBonus = 300
)

// score rates a worker for a task. It is higher the more of the worker's capacity is used with the task, as the mean
// over cores, memory and slots. Deferrable work prefers workers that run deferrable work, and urgent work prefers the
// others.
func (e *entry) score(size *ccwork.Size, deferrable bool) int64 {
	s := usedShare(e.Capacity.MilliCores, e.free.MilliCores-size.MilliCores)
	s += usedShare(e.Capacity.MemoryMB, e.free.MemoryMB-size.MemoryMB)
	s += usedShare(e.Capacity.Slots, e.free.Slots-size.Slots)
	s /= scoredResources
	if size.Accelerators == 0 && e.free.Accelerators > 0 {
		// Work that needs no accelerator should leave workers with accelerators to work that does.
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

// addClaim adds a claim. Its size counts as used, unless the task has ended.
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

// releaseCapacity frees the capacity of a claim.
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

// removeClaim frees the capacity of a claim and deletes it.
func (p *Pool) removeClaim(e *entry, c *Claim) {
	p.releaseCapacity(e, c)
	delete(e.claims, c.Task)
	delete(p.tasks, c.Task)
}

// Claim returns the claim of a task, or nil.
func (p *Pool) Claim(task string) *Claim {
	return p.tasks[task]
}

// Advance moves a claim to another phase. Until is the end of the phase; 0 for a phase without one.
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

// Preempt selects a long or deferrable task whose end would free enough capacity for the given size on its worker, and
// marks it as stopping. It prefers the task that started last, which loses the least work. It returns nil if there is no
// such task, or if one that is stopping already will free the capacity.
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
			available := e.free.Plus(c.Size)
			if !size.Fits(&available) {
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

// Address returns a worker's address, or "" if it is not in the ledger.
func (p *Pool) Address(worker string) string {
	if e := p.workers[worker]; e != nil {
		return e.Address
	}
	return ""
}

// Release deletes the claim of a task that certainly does not run.
func (p *Pool) Release(task string) {
	if c := p.tasks[task]; c != nil {
		p.removeClaim(p.workers[c.Worker], c)
	}
}

// Expire releases the reservations that have expired.
func (p *Pool) Expire(now ccclock.Millis) {
	for task, c := range p.tasks {
		if c.Phase == Reserved && now >= c.Until {
			p.Release(task)
		}
	}
}

// Used returns the capacity that a team's tasks use on the workers of this ledger.
func (p *Pool) Used(team string) ccwork.Size {
	return p.used[team]
}

// Largest returns, for each resource, the largest capacity of any worker.
func (p *Pool) Largest() ccwork.Size {
	var l ccwork.Size
	for _, e := range p.order {
		l = l.Max(e.Capacity)
	}
	return l
}
