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
	if err != nil || n.c.syncing[w.ID] || !n.syncDue(w, now) {
		return
	}
	n.c.syncedAt[w.ID] = now
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

// idleSyncs is how many intervals pass between two syncs of a worker without tasks: it has no leases
// to renew, and tells a failure at the next start.
const idleSyncs = 5

// syncDue reports whether a worker's task table is to be read now. It belongs to the control loop.
func (n *Node) syncDue(w ccledger.WorkerState, now ccclock.Millis) bool {
	if w.Tasks > 0 || !w.Ready || w.Unreachable || len(n.c.stop[w.ID])+len(n.c.forget[w.ID]) > 0 {
		return true
	}
	// Half an interval of tolerance keeps the timer's jitter from skipping a turn.
	idle := ccclock.Millis(n.cfg.Timing.SyncMs) * (2*idleSyncs - 1) / 2
	return now >= n.c.syncedAt[w.ID]+idle
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
