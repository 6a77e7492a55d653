package ccnode

import (
	"context"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccledger"
	"coriandercross/io/ccworker"
)

// syncState is the state of the sync calls to one owned worker.
type syncState struct {
	// longPoll is true while a regular sync is in flight, to which a worker with tasks may delay its reply until its
	// task table changes. orderSync is true while a sync is in flight that was sent at once to deliver orders.
	longPoll  bool
	orderSync bool
	// sentAt is when the last sync was sent.
	sentAt ccclock.Millis
	// idle is true when the task table read last was empty.
	idle bool
	// stop are the tasks that the next sync orders the worker to stop, and forget the ended tasks that it orders the
	// worker to drop from its task table.
	stop   []string
	forget []string
}

// syncStateOf returns the sync state of a worker. It must run in the control loop.
func (n *Node) syncStateOf(worker string) *syncState {
	s := n.state.syncStates[worker]
	if s == nil {
		s = &syncState{}
		n.state.syncStates[worker] = s
	}
	return s
}

// syncWorkers starts the syncs of all owned workers that are due. A sync renews the leases of the worker's tasks and
// reads its task table.
func (n *Node) syncWorkers(ctx context.Context) {
	_ = n.post(func() {
		now := n.now()
		for _, w := range n.state.pool.Workers() {
			n.syncIfDue(ctx, w, now)
		}
	})
}

const (
	// idleSyncs is the number of intervals between two syncs of a worker without tasks. Such a worker has no leases to
	// renew, and a failure shows when the next task is started.
	idleSyncs = 5
	// busySyncMs is the least time between two syncs of a worker whose task table changes.
	busySyncMs = ccclock.Millis(100)
)

// syncIfDue starts the syncs of one worker that are due. It must run in the control loop and does not block.
func (n *Node) syncIfDue(ctx context.Context, w ccledger.WorkerState, now ccclock.Millis) {
	s := n.syncStateOf(w.ID)
	if len(s.stop)+len(s.forget) > 0 && !s.orderSync {
		n.startSync(ctx, w, now, false)
		return
	}
	if s.longPoll {
		return
	}
	// The sync of an idle worker is due half an interval early, so that jitter of the timer does not postpone it by a
	// whole interval.
	due := s.sentAt + ccclock.Millis(n.cfg.Timing.SyncMs)*(2*idleSyncs-1)/2
	if w.Tasks > 0 || !w.Ready || w.Unreachable || !s.idle {
		due = s.sentAt
	}
	if now >= due {
		n.startSync(ctx, w, now, true)
	}
}

// startSync starts one sync, if this process has authority over the worker's shard. If wait is true, a worker with
// tasks may delay its reply until its task table changes, for at most SyncMs. It must run in the control loop and does
// not block.
func (n *Node) startSync(ctx context.Context, w ccledger.WorkerState, now ccclock.Millis, wait bool) {
	a, err := n.state.shards.Authority(w.Shard, now)
	if err != nil {
		return
	}
	permit := ccworker.Permit{
		Worker: w.ID, Address: w.Address, Epoch: a.Epoch,
		Until: a.Until - ccclock.Millis(n.cfg.Timing.FlightMs), LeaseMs: n.cfg.Timing.TaskLeaseMs,
	}
	s := n.syncStateOf(w.ID)
	orders := ccworker.SyncOrders{Stop: s.stop, Forget: s.forget}
	s.stop, s.forget = nil, nil
	s.sentAt = now
	if wait {
		s.longPoll = true
		if w.Tasks > 0 && w.Ready && !w.Unreachable {
			orders.WaitMs = n.cfg.Timing.SyncMs
		}
	} else {
		s.orderSync = true
	}
	go func() {
		rows, err := n.cfg.Workers.Sync(ctx, permit, orders)
		_ = n.post(func() { n.onSynced(ctx, w, rows, now, wait, err) })
	}()
}

// onSynced handles the result of a sync that was sent at sent. It must run in the control loop.
func (n *Node) onSynced(ctx context.Context, w ccledger.WorkerState, rows []ccledger.Row, sent ccclock.Millis, waited bool, err error) {
	s := n.syncStateOf(w.ID)
	if waited {
		s.longPoll = false
	} else {
		s.orderSync = false
	}
	now := n.now()
	if err != nil {
		n.cfg.Log.Debug("sync with a worker failed", "Worker", w.ID, "Shard", w.Shard, "Err", err)
		for _, lost := range n.state.pool.MarkUnreachable(w.ID, now) {
			n.cfg.Log.Warn("lease of a task lapsed on an unreachable worker", "Task", lost.Task, "Worker", w.ID)
		}
		return
	}
	s.idle = len(rows) == 0
	if _, err := n.state.shards.Authority(w.Shard, now); err != nil {
		// The next owner of the shard may already have started tasks that this table does not show.
		return
	}
	n.state.pool.Reconcile(w.ID, rows, sent, now)
	n.dispatch(now)
	if waited && len(rows) > 0 {
		n.syncAfter(ctx, w.ID, max(busySyncMs-(now-sent), 1))
	}
}

// syncAfter starts the next sync of a worker with tasks after a delay. It must run in the control loop.
func (n *Node) syncAfter(ctx context.Context, worker string, delay ccclock.Millis) {
	n.postAfter(ctx, delay, func() {
		w, ok := n.state.pool.Worker(worker)
		if ok && w.Tasks > 0 {
			n.syncIfDue(ctx, w, n.now())
		}
	})
}
