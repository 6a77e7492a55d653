package ccledger

import (
	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
)

// Sender identifies the driver of a bucket of jobs that sent a message, and the message's place in the sequence.
type Sender struct {
	Bucket string
	// Epoch is that of the driver's ownership of the bucket.
	Epoch uint64
	// Seq grows with each round of the driver.
	Seq uint64
}

// OrderGate passes orders of the drivers of jobs on to the ledger. It refuses orders of an earlier driver of the
// bucket, and orders that were sent before the driver's latest report request. So a task that a report does not show
// will not be started any more by an order sent before that report was requested.
type OrderGate struct {
	pool   *Pool
	fences map[string]Sender
}

// NewOrderGate returns a gate for the orders to a ledger.
func NewOrderGate(p *Pool) *OrderGate {
	return &OrderGate{pool: p, fences: map[string]Sender{}}
}

// AdvanceFence records the sender of a report request; earlier messages of drivers of the bucket are refused from now
// on. It returns false if the request itself is refused.
func (g *OrderGate) AdvanceFence(s Sender) bool {
	if !g.accepts(s) {
		return false
	}
	g.fences[s.Bucket] = s
	return true
}

// accepts reports whether a message is from the newest driver and not older than its latest report request.
func (g *OrderGate) accepts(s Sender) bool {
	f := g.fences[s.Bucket]
	if s.Epoch != f.Epoch {
		return s.Epoch > f.Epoch
	}
	return s.Seq >= f.Seq
}

// Order is a request of a driver to start a task, or to reserve capacity for it.
type Order struct {
	Sender Sender
	Request
	// Hold is true if capacity is only to be reserved.
	Hold bool
	// HoldUntil is the end of the reservation.
	HoldUntil ccclock.Millis
}

// Place claims capacity for a task. If it returns a claim, the caller must send the start and report its outcome by
// RecordStart. If it returns nil, no start must be sent, and the outcome is Ran if capacity was reserved as ordered,
// NotRun with the reason as the error, or Unknown if the order is a repeated one; then the worker's task table shows
// whether the task runs. The callback authority returns an error if the process may not act for a shard.
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

// RecordStart records the outcome of a start that was sent. If the outcome is unknown, inDoubtUntil is the time after
// which the start can no longer arrive.
func (g *OrderGate) RecordStart(task string, outcome ccwork.Outcome, now, inDoubtUntil ccclock.Millis) {
	switch outcome {
	case ccwork.Ran:
		g.pool.Advance(task, Admitted, now, 0)
	case ccwork.Unknown:
		g.pool.Advance(task, InDoubt, now, inDoubtUntil)
	default:
		g.pool.Release(task)
	}
}

// ReleaseHold releases the capacity reserved for a task.
func (g *OrderGate) ReleaseHold(task string) {
	if c := g.pool.Claim(task); c != nil && c.Phase == Reserved {
		g.pool.Release(task)
	}
}
