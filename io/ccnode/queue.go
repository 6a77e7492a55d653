package ccnode

import (
	"context"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccqueue"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccworker"
)

// Run implements ccpeer.Handler: it runs a request forwarded by a peer on a worker of this process.
func (n *Node) Run(ctx context.Context, in *ccpeer.RunRequest) (*ccpeer.RunReply, error) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	out := &ccpeer.RunReply{Result: n.runLocally(ctx, in)}
	err := n.do(func() { out.Digest = n.digest(n.now()) })
	if err != nil {
		out.Digest.Leaving = true
	}
	return out, nil
}

// runLocally queues a request for a worker of this process and runs it there.
func (n *Node) runLocally(ctx context.Context, in *ccpeer.RunRequest) ccwork.Result {
	arrived := n.now()
	permit, err := n.awaitWorker(ctx, in, arrived)
	if err != nil {
		return ccwork.NotRunResult(err)
	}
	n.cfg.Metrics.waitSeconds.WithLabelValues(in.Team, in.Kind).Observe((n.now() - arrived).Duration().Seconds())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(in.RunMs)*time.Millisecond)
	defer cancel()
	started := n.now()
	req := ccworker.Request{Task: in.Task, Team: in.Team, Kind: in.Kind, Size: in.Size, Body: in.Body}
	r := n.cfg.Workers.Run(ctx, permit, req, func() {
		_ = n.post(func() { n.state.pool.Advance(in.Task, ccledger.Admitted, n.now(), 0) })
	})
	_ = n.post(func() { n.finishRun(in.Task, permit, r, n.now()-started) })
	return r
}

// awaitWorker queues a request and returns the permit to start it on a worker. It fails with ccwork.ErrDeadline,
// ccwork.ErrCancelled, ccwork.ErrOverload, ccwork.ErrInProgress, ccwork.ErrNoOwner or ccwork.ErrDraining. On failure
// the request holds no claim.
func (n *Node) awaitWorker(ctx context.Context, in *ccpeer.RunRequest, arrived ccclock.Millis) (ccworker.Permit, error) {
	var permit ccworker.Permit
	done := make(chan error, 1)
	err := n.post(func() {
		it := &ccqueue.Item{
			Task: in.Task, Team: in.Team, Size: in.Size, Urgency: in.Urgency,
			Deadline: arrived + ccclock.Millis(in.BudgetMs), Since: arrived,
			Done: func(err error) {
				delete(n.state.claimCallbacks, in.Task)
				done <- err
			},
		}
		n.enqueue(it, in, &permit)
	})
	if err != nil {
		return permit, ccwork.ErrDraining
	}
	select {
	case err := <-done:
		return permit, err
	case <-ctx.Done():
		return permit, n.withdraw(in.Task, done)
	case <-n.stopped:
		return permit, ccwork.ErrDraining
	}
}

// enqueue adds a request to the queue and dispatches the queue. It must run in the control loop.
func (n *Node) enqueue(it *ccqueue.Item, in *ccpeer.RunRequest, permit *ccworker.Permit) {
	now := n.now()
	if n.state.queue.Len() >= n.cfg.Limits.MaxWaiting {
		it.Done(ccwork.ErrOverload)
		return
	}
	n.state.claimCallbacks[it.Task] = func(c *ccledger.Claim) { *permit = n.permitFor(c, now) }
	if !n.state.queue.Push(it) {
		it.Done(ccwork.ErrInProgress)
		return
	}
	n.dispatch(now)
}

// withdraw removes a cancelled request from the queue, or releases its claim if it has been given a worker in the
// meantime. It returns ccwork.ErrCancelled.
func (n *Node) withdraw(task string, done chan error) error {
	_ = n.do(func() {
		if n.state.queue.Remove(task) {
			delete(n.state.claimCallbacks, task)
			return
		}
		if err := <-done; err == nil {
			n.state.pool.Release(task)
		}
	})
	return ccwork.ErrCancelled
}

// dispatch assigns queued requests to workers. It must run in the control loop.
func (n *Node) dispatch(now ccclock.Millis) {
	if n.state.queue.Len() == 0 {
		return
	}
	if !n.state.pool.HasUsable(now) {
		// A process without usable workers must not hold requests that other processes could serve.
		n.state.queue.FailAll(ccwork.ErrNoOwner)
		return
	}
	n.state.queue.Dispatch(now, func(it *ccqueue.Item) error { return n.claimWorker(it, now) })
}

// preemptAfter is how long a request waits in the queue before a task is stopped to free capacity for it.
const preemptAfter = ccclock.Millis(300)

// preemptForWaiting stops deferrable tasks to free capacity for requests that have waited longer than preemptAfter. The
// stopped tasks are started again later, where there is capacity. It must run in the control loop.
func (n *Node) preemptForWaiting(ctx context.Context, now ccclock.Millis) {
	for _, it := range n.state.queue.HeadsOlderThan(now - preemptAfter) {
		c := n.state.pool.Preempt(it.Size, now)
		if c == nil {
			continue
		}
		n.cfg.Metrics.preemptions.WithLabelValues(c.Team).Inc()
		n.cfg.Log.Info("task stopped to make room", "Task", c.Task, "Worker", c.Worker, "For", it.Task)
		s := n.syncStateOf(c.Worker)
		s.stop = appendUnique(s.stop, c.Task)
		if w, ok := n.state.pool.Worker(c.Worker); ok {
			n.syncIfDue(ctx, w, now)
		}
	}
}

// claimWorker claims a worker for a queued request and hands the claim to the request's callback. If the authority over
// the worker's shard has ended, it closes the shard and claims another worker. It fails with the errors of
// ccledger.Pool.Reserve. It must run in the control loop.
func (n *Node) claimWorker(it *ccqueue.Item, now ccclock.Millis) error {
	req := ccledger.Request{Row: ccledger.Row{Task: it.Task, Team: it.Team, Size: it.Size, State: ccwork.Running}}
	c, err := n.state.pool.Reserve(req, now, now)
	if err != nil {
		return err
	}
	if _, err := n.state.shards.Authority(c.Shard, now); err != nil {
		n.state.pool.Release(it.Task)
		n.closeShard(c.Shard, false)
		return n.claimWorker(it, now)
	}
	n.state.pool.Advance(it.Task, ccledger.Sending, now, 0)
	n.state.claimCallbacks[it.Task](c)
	return nil
}

// permitFor returns the permit to start the task of a claim. Without authority over the shard, the permit has already
// ended. It must run in the control loop.
func (n *Node) permitFor(c *ccledger.Claim, now ccclock.Millis) ccworker.Permit {
	a, err := n.state.shards.Authority(c.Shard, now)
	if err != nil {
		a.Until = now
	}
	return ccworker.Permit{
		Worker: c.Worker, Address: n.state.pool.Address(c.Worker), Epoch: a.Epoch,
		Until:   a.Until - ccclock.Millis(n.cfg.Timing.FlightMs),
		LeaseMs: n.cfg.Timing.TaskLeaseMs,
	}
}

// serviceWeight is the weight of a new run time in the exponentially smoothed serviceMs.
const serviceWeight = 0.05

// finishRun updates the ledger after a request has ended on a worker. It must run in the control loop.
func (n *Node) finishRun(task string, permit ccworker.Permit, r ccwork.Result, took ccclock.Millis) {
	now := n.now()
	switch r.Outcome {
	case ccwork.Unknown:
		// The claim is kept until the task table shows that the task has ended or was never started.
		n.state.pool.Advance(task, ccledger.InDoubt, now, permit.Until+ccclock.Millis(n.cfg.Timing.FlightMs))
		n.state.pool.RecordOutcome(permit.Worker, false, now)
	case ccwork.Ran:
		n.state.pool.Release(task)
		n.state.pool.RecordOutcome(permit.Worker, !r.Failed, now)
		n.state.serviceMs += (float64(took) - n.state.serviceMs) * serviceWeight
	default:
		n.state.pool.Release(task)
		if r.Reason == "Refused" {
			n.state.pool.RecordOutcome(permit.Worker, false, now)
		}
	}
	n.dispatch(now)
}
