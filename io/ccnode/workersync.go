package ccnode

import (
	"context"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccledger"
	"coriandercross/io/ccworker"
)

// contact is the exchange with one owned worker.
type contact struct {
	// waiting is true while a sync is in flight that may wait for a change; urgent while one that
	// carries orders is.
	waiting bool
	urgent  bool
	sentAt  ccclock.Millis
	// idle is true when the last table was that of a worker without tasks.
	idle   bool
	stop   []string
	forget []string
}

// contactOf returns the exchange with a worker. It belongs to the control loop.
func (n *Node) contactOf(worker string) *contact {
	c := n.c.contacts[worker]
	if c == nil {
		c = &contact{}
		n.c.contacts[worker] = c
	}
	return c
}

// syncWorkers renews the leases of every owned worker's tasks and reads the task tables.
func (n *Node) syncWorkers(ctx context.Context) {
	_ = n.post(func() {
		now := n.now()
		for _, w := range n.c.pool.Workers() {
			n.tendWorker(ctx, w, now)
		}
	})
}

const (
	// idleSyncs is how many intervals pass between two syncs of a worker without tasks: it has no
	// leases to renew, and shows a failure at the next start.
	idleSyncs = 5
	// busySyncMs is the least time between two syncs of a worker whose table changes.
	busySyncMs = ccclock.Millis(100)
)

// tendWorker begins the syncs of one worker that are due. It belongs to the control loop and does
// not block.
func (n *Node) tendWorker(ctx context.Context, w ccledger.WorkerState, now ccclock.Millis) {
	c := n.contactOf(w.ID)
	if len(c.stop)+len(c.forget) > 0 && !c.urgent {
		n.sync(ctx, w, now, false)
		return
	}
	if c.waiting {
		return
	}
	// A little less than the interval, so that the timer's jitter does not skip a turn.
	due := c.sentAt + ccclock.Millis(n.cfg.Timing.SyncMs)*(2*idleSyncs-1)/2
	if w.Tasks > 0 || !w.Ready || w.Unreachable || !c.idle {
		due = c.sentAt
	}
	if now >= due {
		n.sync(ctx, w, now, true)
	}
}

// sync begins one sync. One that may wait is answered when the table changes, or after an interval.
// It belongs to the control loop.
func (n *Node) sync(ctx context.Context, w ccledger.WorkerState, now ccclock.Millis, wait bool) {
	a, err := n.c.keeper.Authority(w.Shard, now)
	if err != nil {
		return
	}
	g := ccworker.Permit{
		Worker: w.ID, Address: w.Address, Epoch: a.Epoch,
		Until: a.Until - ccclock.Millis(n.cfg.Timing.FlightMs), LeaseMs: n.cfg.Timing.TaskLeaseMs,
	}
	c := n.contactOf(w.ID)
	o := ccworker.SyncOrders{Stop: c.stop, Forget: c.forget}
	c.stop, c.forget = nil, nil
	c.sentAt = now
	if wait {
		c.waiting = true
		if w.Tasks > 0 && w.Ready && !w.Unreachable {
			o.WaitMs = n.cfg.Timing.SyncMs
		}
	} else {
		c.urgent = true
	}
	go func() {
		rows, err := n.cfg.Workers.Sync(ctx, g, o)
		_ = n.post(func() { n.synced(ctx, w, rows, now, wait, err) })
	}()
}

// synced takes in the end of a sync that was sent at sent. It belongs to the control loop.
func (n *Node) synced(ctx context.Context, w ccledger.WorkerState, rows []ccledger.Row, sent ccclock.Millis, waited bool, err error) {
	c := n.contactOf(w.ID)
	if waited {
		c.waiting = false
	} else {
		c.urgent = false
	}
	now := n.now()
	if err != nil {
		n.cfg.Log.Debug("worker not read", "Worker", w.ID, "Shard", w.Shard, "Err", err)
		for _, lost := range n.c.pool.MarkUnreachable(w.ID, now) {
			n.cfg.Log.Warn("lease of a task lapsed on an unreachable worker", "Task", lost.Task, "Worker", w.ID)
		}
		return
	}
	c.idle = len(rows) == 0
	if _, err := n.c.keeper.Authority(w.Shard, now); err != nil {
		// The table may be older than the next owner's starts.
		return
	}
	n.c.pool.Reconcile(w.ID, rows, sent, now)
	n.dispatch(now)
	if waited && len(rows) > 0 {
		n.follow(ctx, w.ID, max(busySyncMs-(now-sent), 1))
	}
}

// follow begins the next sync of a worker with tasks after a delay. It belongs to the control loop.
func (n *Node) follow(ctx context.Context, worker string, delay ccclock.Millis) {
	n.after(ctx, delay, func() {
		w, ok := n.c.pool.Worker(worker)
		if ok && w.Tasks > 0 {
			n.tendWorker(ctx, w, n.now())
		}
	})
}
