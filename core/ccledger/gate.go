package ccledger

import (
	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
)

// Sender names the driver of a bucket of jobs, and the order of its messages.
type Sender struct {
	Bucket string
	// Epoch of the driver's ownership of the bucket.
	Epoch uint64
	// Seq grows with each round of the driver.
	Seq uint64
}

// OrderGate takes orders from the drivers of jobs to the ledger. It refuses what an older driver sends,
// and what a driver sent before its latest report was asked for: a report thereby proves that
// nothing it does not show will start any more.
type OrderGate struct {
	pool   *Pool
	fences map[string]Sender
}

// NewOrderGate returns a desk before a ledger.
func NewOrderGate(p *Pool) *OrderGate {
	return &OrderGate{pool: p, fences: map[string]Sender{}}
}

// AdvanceFence notes a driver that asks for a report. It returns false for a message that is refused.
func (g *OrderGate) AdvanceFence(s Sender) bool {
	if !g.accepts(s) {
		return false
	}
	g.fences[s.Bucket] = s
	return true
}

// accepts reports whether a message is of the newest driver and not older than its last report.
func (g *OrderGate) accepts(s Sender) bool {
	f := g.fences[s.Bucket]
	if s.Epoch != f.Epoch {
		return s.Epoch > f.Epoch
	}
	return s.Seq >= f.Seq
}

// Order is a task that a driver wants started, or room held for.
type Order struct {
	Sender Sender
	Request
	// Hold asks for room only.
	Hold bool
	// HoldUntil ends the hold.
	HoldUntil ccclock.Millis
}

// Place claims room for a task. When it returns a claim the caller sends the start and reports its end
// by Started. Otherwise nothing is to be sent: the outcome is Ran for room held, NotRun with a reason,
// or Unknown for a repeated message of which the task table will tell. Authority tells whether the
// process may act for a shard.
func (g *OrderGate) Place(o Order, authority func(shard string) error, now ccclock.Millis) (*Claim, ccwork.Outcome, error) {
	if !g.accepts(o.Sender) {
		return nil, ccwork.NotRun, ccwork.ErrFenced
	}
	c := g.pool.Claim(o.Task)
	if c != nil && c.Phase != Reserved {
		return nil, ccwork.Unknown, nil
	}
	if c == nil {
		var err error
		c, err = g.pool.Reserve(o.Request, now, o.HoldUntil)
		if err != nil {
			return nil, ccwork.NotRun, err
		}
	}
	if authority(c.Shard) != nil {
		g.pool.Release(o.Task)
		return nil, ccwork.NotRun, ccwork.ErrFenced
	}
	if o.Hold {
		return nil, ccwork.Ran, nil
	}
	g.pool.Advance(o.Task, Sending, now, 0)
	return c, ccwork.Ran, nil
}

// RecordStart books the outcome of a start that was sent. DoubtUntil is when a start without a reply can
// no longer arrive.
func (g *OrderGate) RecordStart(task string, outcome ccwork.Outcome, now, doubtUntil ccclock.Millis) {
	switch outcome {
	case ccwork.Ran:
		g.pool.Advance(task, Admitted, now, 0)
	case ccwork.Unknown:
		g.pool.Advance(task, InDoubt, now, doubtUntil)
	default:
		g.pool.Release(task)
	}
}

// ReleaseHold gives back room held for a task.
func (g *OrderGate) ReleaseHold(task string) {
	if c := g.pool.Claim(task); c != nil && c.Phase == Reserved {
		g.pool.Release(task)
	}
}
