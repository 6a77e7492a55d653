package ccnode

import (
	"context"
	"strconv"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccintent"
	"coriandercross/core/ccledger"
	"coriandercross/core/ccmember"
	"coriandercross/core/ccqueue"
	"coriandercross/core/ccretry"
	"coriandercross/core/ccroute"
	"coriandercross/core/ccteam"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccfellow"
	"coriandercross/io/ccworker"

	"github.com/cockroachdb/errors"
)

// Request is a request of a caller who waits for the answer.
type Request struct {
	// ID is the caller's own; a repeat carries the same.
	ID   string
	Team string
	Kind string
	Body []byte
	// DeadlineMs is the time that the caller waits, 0 for the kind's own limits.
	DeadlineMs int64
}

// execution is a request with its policy.
type execution struct {
	Request
	key      string
	kind     ccteam.Kind
	limits   ccteam.Limits
	claim    string
	startBy  ccclock.Millis
	answerBy ccclock.Millis
	tries    int
	tried    map[string]bool
	// result is that of the last try.
	result ccwork.Result
}

// defaultRunMs bounds the run of kinds without a limit of their own.
const defaultRunMs = 60_000

// Execute runs a request and returns its outcome. It may be called from any goroutine and blocks
// until the outcome is known, at most until the request's deadline.
func (n *Node) Execute(ctx context.Context, req Request) ccwork.Result {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	started := n.now()
	x, err := n.admit(req)
	if err != nil {
		return n.finished(req, started, ccwork.NotRunResult(err))
	}
	defer n.dismiss(x)
	ctx, cancel := context.WithTimeout(ctx, (x.answerBy - n.now()).Duration())
	defer cancel()
	if !x.kind.NonIdempotent {
		return n.finished(req, started, n.attempt(ctx, x))
	}
	return n.finished(req, started, n.once(ctx, x))
}

// finished logs and counts an outcome.
func (n *Node) finished(req Request, started ccclock.Millis, r ccwork.Result) ccwork.Result {
	took := n.now() - started
	n.cfg.Metrics.request(req.Team, req.Kind, r, took)
	n.cfg.Log.Debug("request ended", "Team", req.Team, "Kind", req.Kind, "Request", req.ID,
		"Outcome", r.Outcome, "Reason", r.Reason, "Worker", r.Worker, "TookMs", int64(took))
	return r
}

// admit looks up the policy of a request and takes it in, unless it is certain not to start.
func (n *Node) admit(req Request) (*execution, error) {
	x := &execution{Request: req, key: req.Team + "/" + req.ID, tried: map[string]bool{}}
	var refusal error
	err := n.do(func() {
		now := n.now()
		refusal = n.accept(x, now)
	})
	if err != nil {
		return nil, ccwork.ErrDraining
	}
	return x, refusal
}

// accept decides on a new request. It belongs to the control loop.
func (n *Node) accept(x *execution, now ccclock.Millis) error {
	if n.c.doc == nil {
		return errors.Mark(errors.New("no configuration is known yet"), ccwork.ErrNoOwner)
	}
	kind, err := n.c.doc.Kind(x.Team, x.Kind)
	if err != nil {
		return err
	}
	if kind.Class != ccwork.Interactive {
		return errors.Wrapf(ccwork.ErrUnknownKind, "kind %q is sent as a job", x.Kind)
	}
	if n.c.requests[x.key] {
		return ccwork.ErrInProgress
	}
	x.kind = kind
	x.limits = n.c.doc.LimitsOf(x.Team)
	if n.c.queue.Len() >= n.cfg.Limits.MaxWaiting || n.c.queue.Waiting(x.Team) >= x.limits.MaxWaiting {
		return ccwork.ErrOverload
	}
	n.setDeadlines(x, now)
	n.c.requests[x.key] = true
	n.c.budget.First(x.Team, x.limits.RetryPercent)
	return nil
}

// setDeadlines works out until when a request may start, and be answered.
func (n *Node) setDeadlines(x *execution, now ccclock.Millis) {
	run := x.kind.MaxRunMs
	if run == 0 {
		run = defaultRunMs
	}
	x.startBy = now + ccclock.Millis(x.kind.StartDeadlineMs)
	x.answerBy = x.startBy + ccclock.Millis(run)
	if x.DeadlineMs > 0 {
		x.answerBy = min(x.answerBy, now+ccclock.Millis(x.DeadlineMs))
		x.startBy = min(x.startBy, x.answerBy)
	}
}

// dismiss ends the bookkeeping of a request.
func (n *Node) dismiss(x *execution) {
	_ = n.post(func() { delete(n.c.requests, x.key) })
}

var retryBackoff = ccretry.Backoff{Base: 20, Max: 500}

// attempt tries a request until it has an outcome other than NotRun, or another try can't help.
// Unknown is never tried again here: a second run could overlap the first.
func (n *Node) attempt(ctx context.Context, x *execution) ccwork.Result {
	for {
		x.tries++
		r := n.tryOnce(ctx, x)
		if r.Outcome != ccwork.NotRun || !retryable(r.Reason) {
			return r
		}
		delay, ok := n.mayRetry(x)
		if !ok {
			return r
		}
		n.cfg.Metrics.retries.WithLabelValues(x.Team).Inc()
		select {
		case <-ctx.Done():
			return r
		case <-time.After(delay.Duration()):
		}
	}
}

// retryable reports whether another owner, or a later moment, may do better.
func retryable(reason string) bool {
	switch reason {
	case "Overload", "NoOwner", "Fenced", "Refused", "Draining":
		return true
	}
	return false
}

// mayRetry takes a retry from the team's budget and returns the delay before it.
func (n *Node) mayRetry(x *execution) (ccclock.Millis, bool) {
	var delay ccclock.Millis
	ok := false
	err := n.do(func() {
		delay = retryBackoff.Delay(x.tries, n.c.rand)
		if n.now()+delay >= x.startBy {
			return
		}
		// Waiting for an owner to appear sends nothing to anybody and costs no budget.
		ok = x.result.Reason == "NoOwner" || n.c.budget.Spend(x.Team)
	})
	return delay, ok && err == nil
}

// tryOnce chooses an owner and runs the request there.
func (n *Node) tryOnce(ctx context.Context, x *execution) ccwork.Result {
	target, budget, err := n.route(x)
	if err != nil {
		x.result = ccwork.NotRunResult(err)
		return x.result
	}
	in := &ccfellow.RunRequest{
		Task: x.key + "~" + n.nextClaim(), Team: x.Team, Kind: x.Kind, Size: x.kind.Size,
		BudgetMs: int64(budget), RunMs: int64(x.answerBy - x.startBy), Urgency: x.kind.Urgency, Body: x.Body,
	}
	if target.ID == n.id {
		x.result = n.runHere(ctx, in)
	} else {
		x.result = n.forward(ctx, target, in)
	}
	x.tried[target.ID] = true
	return x.result
}

// nextClaim returns a text that no attempt of any process has had before.
func (n *Node) nextClaim() string {
	return n.id + "." + strconv.FormatInt(n.claimSeq.Add(1), 36)
}

// route chooses the owner for a request.
func (n *Node) route(x *execution) (ccmember.Member, ccclock.Millis, error) {
	var target ccmember.Member
	var budget ccclock.Millis
	var refusal error
	err := n.do(func() {
		now := n.now()
		budget = x.startBy - now
		work := ccroute.Work{Size: x.kind.Size, CrossRegion: x.kind.CrossRegion, BudgetMs: int64(budget), Tried: x.tried}
		target, refusal = n.c.router.Choose(n.owners(now), work)
		if errors.Is(refusal, ccwork.ErrOverload) {
			clear(x.tried)
		}
	})
	if err != nil {
		return target, 0, ccwork.ErrDraining
	}
	return target, budget, refusal
}

// forward runs a request on a worker of another process.
func (n *Node) forward(ctx context.Context, target ccmember.Member, in *ccfellow.RunRequest) ccwork.Result {
	reply, err := n.cfg.Fellows.Run(ctx, target.Address, in)
	if target.Region != n.cfg.Region {
		n.cfg.Metrics.crossRegionBytes.WithLabelValues(in.Team).Add(float64(len(in.Body)))
	}
	switch {
	case errors.Is(err, ccfellow.ErrUnreachable):
		return ccwork.NotRunResult(ccwork.ErrNoOwner)
	case err != nil:
		n.cfg.Log.Warn("reply of the owner was lost", "Task", in.Task, "Owner", target.ID, "Err", err)
		return ccwork.UnknownResult(ccwork.ErrTruncated)
	}
	_ = n.post(func() { n.c.members.Refresh(target.ID, reply.Digest) })
	return reply.Result
}

// Run implements ccfellow.Handler: it runs a request of a fellow on a worker of this process.
func (n *Node) Run(ctx context.Context, in *ccfellow.RunRequest) (*ccfellow.RunReply, error) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	out := &ccfellow.RunReply{Result: n.runHere(ctx, in)}
	err := n.do(func() { out.Digest = n.digest(n.now()) })
	if err != nil {
		out.Digest.Leaving = true
	}
	return out, nil
}

// runHere queues a request for a worker of this process and runs it there.
func (n *Node) runHere(ctx context.Context, in *ccfellow.RunRequest) ccwork.Result {
	arrived := n.now()
	grant, err := n.wait(ctx, in, arrived)
	if err != nil {
		return ccwork.NotRunResult(err)
	}
	n.cfg.Metrics.waitSeconds.WithLabelValues(in.Team, in.Kind).Observe((n.now() - arrived).Duration().Seconds())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(in.RunMs)*time.Millisecond)
	defer cancel()
	started := n.now()
	work := ccworker.Work{Task: in.Task, Team: in.Team, Kind: in.Kind, Size: in.Size, Body: in.Body}
	r := n.cfg.Workers.Run(ctx, grant, work, func() {
		_ = n.post(func() { n.c.pool.Advance(in.Task, ccledger.Admitted, n.now(), 0) })
	})
	_ = n.post(func() { n.ran(in.Task, grant, r, n.now()-started) })
	return r
}

// wait queues a request and returns the grant that it gets. It fails with ccwork.ErrDeadline,
// ccwork.ErrCancelled, ccwork.ErrOverload or ccwork.ErrDraining, and then nothing is held.
func (n *Node) wait(ctx context.Context, in *ccfellow.RunRequest, arrived ccclock.Millis) (ccworker.Grant, error) {
	var grant ccworker.Grant
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
func (n *Node) enqueue(it *ccqueue.Item, in *ccfellow.RunRequest, grant *ccworker.Grant) {
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
	if !n.c.pool.Usable(now) {
		// Without workers of its own a process must not hold requests that others could serve.
		n.c.queue.Flush(ccwork.ErrNoOwner)
		return
	}
	n.c.queue.Dispatch(now, func(it *ccqueue.Item) error { return n.place(it, now) })
}

// preemptAfter is how long a request waits before other work is stopped for it.
const preemptAfter = ccclock.Millis(300)

// makeRoom stops work that can wait for requests that have waited too long. The stopped tasks start
// again later, where there is room. It belongs to the control loop.
func (n *Node) makeRoom(ctx context.Context, now ccclock.Millis) {
	for _, it := range n.c.queue.Longest(now - preemptAfter) {
		c := n.c.pool.MakeRoom(it.Size, now)
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
func (n *Node) grantOf(c *ccledger.Claim, now ccclock.Millis) ccworker.Grant {
	a, err := n.c.keeper.Authority(c.Shard, now)
	if err != nil {
		a.Until = now
	}
	return ccworker.Grant{
		Worker: c.Worker, Address: n.c.pool.Address(c.Worker), Epoch: a.Epoch,
		Until:   a.Until - ccclock.Millis(n.cfg.Timing.FlightMs),
		LeaseMs: n.cfg.Timing.TaskLeaseMs,
	}
}

// serviceWeight is the weight of a new run in the smoothed run time.
const serviceWeight = 0.05

// ran takes in the end of a request. It belongs to the control loop.
func (n *Node) ran(task string, g ccworker.Grant, r ccwork.Result, took ccclock.Millis) {
	now := n.now()
	switch r.Outcome {
	case ccwork.Unknown:
		// Its room stays taken until the task table shows that it ended, or never began.
		n.c.pool.Advance(task, ccledger.Doubtful, now, g.Until+ccclock.Millis(n.cfg.Timing.FlightMs))
		n.c.pool.Outcome(g.Worker, false, now)
	case ccwork.Ran:
		n.c.pool.Release(task)
		n.c.pool.Outcome(g.Worker, !r.Failed, now)
		n.c.serviceMs += (float64(took) - n.c.serviceMs) * serviceWeight
	default:
		n.c.pool.Release(task)
		if r.Reason == "Refused" {
			n.c.pool.Outcome(g.Worker, false, now)
		}
	}
	n.dispatch(now)
}

// once runs a non-idempotent request at most once. It writes an intent to the store first; a
// repeat of the same ID finds it and gets the first outcome, or Unknown.
func (n *Node) once(ctx context.Context, x *execution) ccwork.Result {
	x.claim = n.nextClaim()
	key := n.intentKey(x.key)
	var held ccintent.Intent
	at := time.Now().UnixMilli()
	err := n.intents.Do(ctx, key, func(b *ccintent.Book) error {
		b.Prune(at - n.cfg.Limits.RetentionHours*int64(time.Hour/time.Millisecond))
		held = b.Claim(x.key, x.claim, at)
		return nil
	})
	if err != nil {
		// Nothing was sent under this claim, and nothing will be: the claim is not used again.
		n.cfg.Log.Warn("intent not written", "Request", x.ID, "Team", x.Team, "Err", err)
		go n.settle(x, key, ccwork.NotRunResult(ccwork.ErrStore))
		return ccwork.NotRunResult(ccwork.ErrStore)
	}
	if held.Claim != x.claim {
		return held.Result()
	}
	r := n.attempt(ctx, x)
	n.settle(x, key, r)
	return r
}

// intentKey is the key of the store that holds a request's intent.
func (n *Node) intentKey(id string) string {
	return "Intents/" + strconv.Itoa(ccintent.Bucket(id, n.cfg.Limits.IntentBuckets))
}

// settleTimeout bounds the wait for an outcome to be recorded.
const settleTimeout = time.Second

// settle records the outcome of a non-idempotent request. When that fails, repeats get Unknown.
func (n *Node) settle(x *execution, key string, r ccwork.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	at := time.Now().UnixMilli()
	err := n.intents.Do(ctx, key, func(b *ccintent.Book) error {
		b.Settle(x.key, x.claim, r, at)
		return nil
	})
	if err != nil {
		n.cfg.Log.Warn("outcome not recorded; repeats get Unknown", "Request", x.ID, "Team", x.Team, "Err", err)
	}
}
