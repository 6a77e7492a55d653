package ccnode

import (
	"context"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccledger"
	"coriandercross/io/ccworker"
)

// syncWorkers renews the leases of every owned worker's tasks and reads the task tables.
func (n *Node) syncWorkers(ctx context.Context) {
	_ = n.post(func() {
		now := n.now()
		for _, w := range n.c.pool.Workers() {
			n.syncWorker(ctx, w, now)
		}
	})
}

// syncWorker begins the sync of one worker, unless one is in flight. It belongs to the control loop
// and does not block.
func (n *Node) syncWorker(ctx context.Context, w ccledger.WorkerState, now ccclock.Millis) {
	a, err := n.c.keeper.Authority(w.Shard, now)
	if err != nil || n.c.syncing[w.ID] {
		return
	}
	g := ccworker.Grant{
		Worker: w.ID, Address: w.Address, Epoch: a.Epoch,
		Until: a.Until - ccclock.Millis(n.cfg.Timing.FlightMs), LeaseMs: n.cfg.Timing.TaskLeaseMs,
	}
	stop, forget := n.c.stop[w.ID], n.c.forget[w.ID]
	delete(n.c.stop, w.ID)
	delete(n.c.forget, w.ID)
	n.c.syncing[w.ID] = true
	go func() {
		rows, err := n.cfg.Workers.Sync(ctx, g, stop, forget)
		_ = n.post(func() { n.synced(w, rows, now, err) })
	}()
}

// synced takes in the end of a sync that was sent at sent. It belongs to the control loop.
func (n *Node) synced(w ccledger.WorkerState, rows []ccledger.Row, sent ccclock.Millis, err error) {
	delete(n.c.syncing, w.ID)
	now := n.now()
	if err != nil {
		n.cfg.Log.Debug("worker not read", "Worker", w.ID, "Shard", w.Shard, "Err", err)
		for _, c := range n.c.pool.Unreachable(w.ID, now) {
			n.cfg.Log.Warn("lease of a task lapsed on an unreachable worker", "Task", c.Task, "Worker", w.ID)
		}
		return
	}
	if _, err := n.c.keeper.Authority(w.Shard, now); err != nil {
		// The table may be older than the next owner's starts.
		return
	}
	n.c.pool.Reconcile(w.ID, rows, sent, now)
	n.dispatch(now)
}
