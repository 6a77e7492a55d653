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

// Run implements ccpeer.Handler: it runs a request of a fellow on a worker of this process.
func (n *Node) Run(ctx context.Context, in *ccpeer.RunRequest) (*ccpeer.RunReply, error) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	out := &ccpeer.RunReply{Result: n.runHere(ctx, in)}
	err := n.do(func() { out.Digest = n.digest(n.now()) })
	if err != nil {
		out.Digest.Leaving = true
	}
	return out, nil
}

// runHere queues a request for a worker of this process and runs it there.
func (n *Node) runHere(ctx context.Context, in *ccpeer.RunRequest) ccwork.Result {
	arrived := n.now()
	grant, err := n.wait(ctx, in, arrived)
	if err != nil {
		return ccwork.NotRunResult(err)
	}
	n.cfg.Metrics.waitSeconds.WithLabelValues(in.Team, in.Kind).Observe((n.now() - arrived).Duration().Seconds())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(in.RunMs)*time.Millisecond)
	defer cancel()
	started := n.now()
	work := ccworker.Request{Task: in.Task, Team: in.Team, Kind: in.Kind, Size: in.Size, Body: in.Body}
	r := n.cfg.Workers.Run(ctx, grant, work, func() {
		_ = n.post(func() { n.c.pool.Advance(in.Task, ccledger.Admitted, n.now(), 0) })
	})
	_ = n.post(func() { n.ran(in.Task, grant, r, n.now()-started) })
	return r
}

// wait queues a request and returns the grant that it gets. It fails with ccwork.ErrDeadline,
// ccwork.ErrCancelled, ccwork.ErrOverload or ccwork.ErrDraining, and then nothing is held.
func (n *Node) wait(ctx context.Context, in *ccpeer.RunRequest, arrived ccclock.Millis) (ccworker.Permit, error) {
	var grant ccworker.Permit
	done := make(chan error, 1)
	err := n.post(func() {
		it := &ccqueue.Item{
			Task: in.Task, Team: in.Team, Size: in.Size, Urgency: in.Urgency,
			Deadline: arrived + ccclock.Millis(in.BudgetMs), Since: arrived,
			Done: func(err error) {
				delete(n.c.grants, in.Task)
				done <- err
			},
		}
		n.enqueue(it, in, &grant)
	})
	if err != nil {
		return grant, ccwork.ErrDraining
	}
	select {
	case err := <-done:
		return grant, err
	case <-ctx.Done():
		return grant, n.withdraw(in.Task, done)
	case <-n.stopped:
		return grant, ccwork.ErrDraining
	}
}

// enqueue puts a request into the queue and offers the queue's head to the workers. It belongs to
// the control loop.
func (n *Node) enqueue(it *ccqueue.Item, in *ccpeer.RunRequest, grant *ccworker.Permit) {
	now := n.now()
	if n.c.queue.Len() >= n.cfg.Limits.MaxWaiting {
		it.Done(ccwork.ErrOverload)
		return
	}
	n.c.grants[it.Task] = func(c *ccledger.Claim) { *grant = n.grantOf(c, now) }
	if !n.c.queue.Push(it) {
		it.Done(ccwork.ErrInProgress)
		return
	}
	n.dispatch(now)
}

// withdraw takes a request back whose caller has gone. If it got a worker at the same moment, the
// claim is given back.
func (n *Node) withdraw(task string, done chan error) error {
	_ = n.do(func() {
		if n.c.queue.Remove(task) {
			delete(n.c.grants, task)
			return
		}
		if err := <-done; err == nil {
			n.c.pool.Release(task)
		}
	})
	return ccwork.ErrCancelled
}

// dispatch offers waiting requests to the workers. It belongs to the control loop.
func (n *Node) dispatch(now ccclock.Millis) {
	if n.c.queue.Len() == 0 {
		return
	}
	if !n.c.pool.HasUsable(now) {
		// Without workers of its own a process must not hold requests that others could serve.
		n.c.queue.FailAll(ccwork.ErrNoOwner)
		return
	}
	n.c.queue.Dispatch(now, func(it *ccqueue.Item) error { return n.place(it, now) })
}

// preemptAfter is how long a request waits before other work is stopped for it.
const preemptAfter = ccclock.Millis(300)

// makeRoom stops work that can wait for requests that have waited too long. The stopped tasks start
// again later, where there is room. It belongs to the control loop.
func (n *Node) makeRoom(ctx context.Context, now ccclock.Millis) {
	for _, it := range n.c.queue.HeadsOlderThan(now - preemptAfter) {
		c := n.c.pool.Preempt(it.Size, now)
		if c == nil {
			continue
		}
		n.cfg.Metrics.preemptions.WithLabelValues(c.Team).Inc()
		n.cfg.Log.Info("task stopped to make room", "Task", c.Task, "Worker", c.Worker, "For", it.Task)
		k := n.contactOf(c.Worker)
		k.stop = appendNew(k.stop, c.Task)
		if w, ok := n.c.pool.Worker(c.Worker); ok {
			n.tendWorker(ctx, w, now)
		}
	}
}

// place finds a worker for a waiting request. It belongs to the control loop.
func (n *Node) place(it *ccqueue.Item, now ccclock.Millis) error {
	req := ccledger.Request{Row: ccledger.Row{Task: it.Task, Team: it.Team, Size: it.Size, State: ccwork.Running}}
	c, err := n.c.pool.Reserve(req, now, now)
	if err != nil {
		return err
	}
	if _, err := n.c.keeper.Authority(c.Shard, now); err != nil {
		n.c.pool.Release(it.Task)
		n.closeRack(c.Shard, false)
		return n.place(it, now)
	}
	n.c.pool.Advance(it.Task, ccledger.Sending, now, 0)
	n.c.grants[it.Task](c)
	return nil
}

// grantOf returns the permission to start a claim's task. It belongs to the control loop.
func (n *Node) grantOf(c *ccledger.Claim, now ccclock.Millis) ccworker.Permit {
	a, err := n.c.keeper.Authority(c.Shard, now)
	if err != nil {
		a.Until = now
	}
	return ccworker.Permit{
		Worker: c.Worker, Address: n.c.pool.Address(c.Worker), Epoch: a.Epoch,
		Until:   a.Until - ccclock.Millis(n.cfg.Timing.FlightMs),
		LeaseMs: n.cfg.Timing.TaskLeaseMs,
	}
}

// serviceWeight is the weight of a new run in the smoothed run time.
const serviceWeight = 0.05

// ran takes in the end of a request. It belongs to the control loop.
func (n *Node) ran(task string, g ccworker.Permit, r ccwork.Result, took ccclock.Millis) {
	now := n.now()
	switch r.Outcome {
	case ccwork.Unknown:
		// Its room stays taken until the task table shows that it ended, or never began.
		n.c.pool.Advance(task, ccledger.InDoubt, now, g.Until+ccclock.Millis(n.cfg.Timing.FlightMs))
		n.c.pool.RecordOutcome(g.Worker, false, now)
	case ccwork.Ran:
		n.c.pool.Release(task)
		n.c.pool.RecordOutcome(g.Worker, !r.Failed, now)
		n.c.serviceMs += (float64(took) - n.c.serviceMs) * serviceWeight
	default:
		n.c.pool.Release(task)
		if r.Reason == "Refused" {
			n.c.pool.RecordOutcome(g.Worker, false, now)
		}
	}
	n.dispatch(now)
}
