package ccledger

import (
	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
)

// Reconcile updates the claims on a worker from its task table, which was requested at readAt. Tasks without a claim
// get one. A claim that was admitted before readAt and is not in the table has ended. A claim that is in doubt and is
// not in the table counts as never started once its start can no longer arrive. From then on the worker may get tasks.
func (p *Pool) Reconcile(id string, rows []Row, readAt, now ccclock.Millis) {
	e := p.workers[id]
	if e == nil {
		return
	}
	e.lastReplyAt = now
	e.unreachable = false
	seen := make(map[string]bool, len(rows))
	for _, row := range rows {
		seen[row.Task] = true
		p.reconcileRow(e, row, now)
	}
	for task, c := range e.claims {
		if !seen[task] && c.endedBefore(readAt) {
			p.removeClaim(e, c)
		}
	}
	e.reconciled = true
}

// endedBefore reports whether the task certainly does not run, given that a table requested at readAt does not have it.
func (c *Claim) endedBefore(readAt ccclock.Millis) bool {
	switch c.Phase {
	case Admitted, Finished:
		return c.Since < readAt
	case InDoubt:
		return c.Until < readAt
	}
	return false
}

// reconcileRow updates the ledger from one row of a task table.
func (p *Pool) reconcileRow(e *entry, row Row, now ccclock.Millis) {
	c := p.tasks[row.Task]
	if c != nil && c.Worker != e.ID {
		// The claim on the other worker is newer. This row is the end of an earlier run, which the worker has not
		// forgotten yet.
		return
	}
	if c == nil {
		c = &Claim{Row: row, Worker: e.ID, Shard: e.shard, Phase: Admitted, Since: now}
		if row.State.Ended() {
			c.Phase = Finished
		}
		p.addClaim(e, c)
		return
	}
	if c.Phase == Sending {
		return
	}
	if row.State.Ended() && c.Phase != Finished {
		p.Advance(c.Task, Finished, now, 0)
		p.RecordOutcome(e.ID, row.State == ccwork.Succeeded, now)
	}
	if c.Phase == InDoubt {
		p.Advance(c.Task, Admitted, now, 0)
	}
	c.State = row.State
	c.Result = row.Result
}

// MarkUnreachable records that a worker did not reply. Its tasks count as running until their leases must have lapsed:
// a task lease after the worker's last reply, after the last change of the claim and, for a start in doubt, after the
// last time at which the start can arrive. Then their claims are deleted and returned, and the worker gets no tasks
// until its task table was reconciled again. A claim whose start is in flight remains.
func (p *Pool) MarkUnreachable(id string, now ccclock.Millis) []Claim {
	e := p.workers[id]
	if e == nil {
		return nil
	}
	e.unreachable = true
	if now < e.lastReplyAt+p.cfg.TaskLease {
		return nil
	}
	e.reconciled = false
	var lapsed []Claim
	for _, c := range e.claims {
		if c.Phase == Sending || c.Phase == InDoubt && now < c.Until+p.cfg.TaskLease {
			continue
		}
		if c.Phase != Finished && now < c.Since+p.cfg.TaskLease {
			continue
		}
		lapsed = append(lapsed, *c)
		p.removeClaim(e, c)
	}
	return lapsed
}

// RecordOutcome records a task's end or a failed start in the worker's health. After MaxFailures consecutive failures
// the worker is quarantined, unless too many other workers are.
func (p *Pool) RecordOutcome(id string, ok bool, now ccclock.Millis) {
	e := p.workers[id]
	if e == nil {
		return
	}
	if ok {
		e.health = health{}
		return
	}
	e.health.failures++
	if e.health.failures < p.cfg.MaxFailures || now < e.health.quarantinedUntil {
		return
	}
	if e.health.quarantinedUntil == 0 && p.quarantined() >= p.maxQuarantined() {
		return
	}
	e.health.quarantinePeriod = min(max(e.health.quarantinePeriod*2, p.cfg.QuarantinePeriod), p.cfg.QuarantinePeriod*maxQuarantineFactor)
	e.health.quarantinedUntil = now + e.health.quarantinePeriod
}

// maxQuarantined returns how many workers may be in quarantine at once: the configured share, rounded up, but never all
// workers.
func (p *Pool) maxQuarantined() int {
	const percent = 100
	n := (len(p.order)*p.cfg.QuarantinePercent + percent - 1) / percent
	return min(n, len(p.order)-1)
}

// quarantined counts the workers in quarantine, and those that have had no success since theirs ended.
func (p *Pool) quarantined() int {
	n := 0
	for _, e := range p.order {
		if e.health.quarantinedUntil != 0 {
			n++
		}
	}
	return n
}

// WorkerState is one worker in a state dump.
type WorkerState struct {
	Worker
	Shard       string
	Free        ccwork.Size
	Ready       bool
	Unreachable bool
	Quarantined bool
	Tasks       int
}

// Workers returns the state of every worker.
func (p *Pool) Workers() []WorkerState {
	out := make([]WorkerState, len(p.order))
	for i, e := range p.order {
		out[i] = e.state()
	}
	return out
}

// Worker returns the state of one worker, or false if it is not in the ledger.
func (p *Pool) Worker(id string) (WorkerState, bool) {
	e := p.workers[id]
	if e == nil {
		return WorkerState{}, false
	}
	return e.state(), true
}

// state returns the worker's state for a dump.
func (e *entry) state() WorkerState {
	return WorkerState{
		Worker: e.Worker, Shard: e.shard, Free: e.free, Ready: e.reconciled,
		Unreachable: e.unreachable, Quarantined: e.health.quarantinedUntil != 0, Tasks: len(e.claims),
	}
}

// Claims returns the claims for which keep returns true. Running tasks on an unreachable worker have the state
// Uncertain.
func (p *Pool) Claims(keep func(*Claim) bool) []Claim {
	var out []Claim
	for _, c := range p.tasks {
		if !keep(c) {
			continue
		}
		cc := *c
		if e := p.workers[c.Worker]; e.unreachable && c.Phase != Finished {
			cc.State = ccwork.Uncertain
		}
		out = append(out, cc)
	}
	return out
}

// ShardReady reports whether the ledger knows of every task that may run on the shard's workers: each worker either was
// reconciled or has been silent for longer than a task lease. A shard without workers is not ready: its workers are added
// after the authority over it was gained, and their tasks are not known before that.
func (p *Pool) ShardReady(shard string, now ccclock.Millis) bool {
	if len(p.shards[shard]) == 0 {
		return false
	}
	for _, e := range p.shards[shard] {
		if e.reconciled {
			continue
		}
		if now < e.lastReplyAt+p.cfg.TaskLease {
			return false
		}
	}
	return true
}

// CapacitySummary is the capacity of the workers that may get tasks.
type CapacitySummary struct {
	// Free is the sum of their free capacity.
	Free ccwork.Size
	// Total is the sum of their capacity.
	Total ccwork.Size
	// Largest is, for each resource, the largest capacity of any worker, usable or not.
	Largest ccwork.Size
	// DeferrableSlots is the number of slots that long and deferrable work uses on them.
	DeferrableSlots int64
}

// Capacity returns the capacity of the workers that may get tasks at now.
func (p *Pool) Capacity(now ccclock.Millis) CapacitySummary {
	var s CapacitySummary
	for _, e := range p.order {
		s.Largest = s.Largest.Max(e.Capacity)
		if !e.usable(now) {
			continue
		}
		s.Free = s.Free.Plus(e.free)
		s.Total = s.Total.Plus(e.Capacity)
		s.DeferrableSlots += e.deferrableSlots
	}
	return s
}
