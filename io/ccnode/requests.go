package ccnode

import (
	"context"
	"strconv"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccmember"
	"coriandercross/core/ccretry"
	"coriandercross/core/ccroute"
	"coriandercross/core/ccteam"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"

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
	n.c.budget.CountFirstAttempt(x.Team, x.limits.RetryPercent)
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
	in := &ccpeer.RunRequest{
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
		owners := n.owners(now)
		work := ccroute.Request{Size: x.kind.Size, BudgetMs: int64(budget), Tried: x.tried}
		// Every process has an equal share of a team's budget for the link.
		work.CrossRegion = x.kind.CrossRegion && n.c.link.Allows(x.Team, x.limits.CrossRegionKBPerHour, 1/float64(len(owners)), now)
		target, refusal = n.c.router.Choose(owners, work)
		if errors.Is(refusal, ccwork.ErrOverload) {
			clear(x.tried)
		}
	})
	if err != nil {
		return target, 0, ccwork.ErrDraining
	}
	return target, budget, refusal
}

// chargeLink counts the bytes of a request and its answer that went over the link between regions.
func (n *Node) chargeLink(in *ccpeer.RunRequest, reply *ccpeer.RunReply) {
	bytes := len(in.Body)
	if reply != nil {
		bytes += len(reply.Result.Answer)
	}
	n.cfg.Metrics.crossRegionBytes.WithLabelValues(in.Team).Add(float64(bytes))
	_ = n.post(func() { n.c.link.Spend(in.Team, bytes) })
}

// forward runs a request on a worker of another process.
func (n *Node) forward(ctx context.Context, target ccmember.Member, in *ccpeer.RunRequest) ccwork.Result {
	reply, err := n.cfg.Peers.Run(ctx, target.Address, in)
	if target.Region != n.cfg.Region {
		n.chargeLink(in, reply)
	}
	switch {
	case errors.Is(err, ccpeer.ErrUnreachable):
		return ccwork.NotRunResult(ccwork.ErrNoOwner)
	case err != nil:
		n.cfg.Log.Warn("reply of the owner was lost", "Task", in.Task, "Owner", target.ID, "Err", err)
		return ccwork.UnknownResult(ccwork.ErrTruncated)
	}
	_ = n.post(func() { n.c.members.UpdateDigest(target.ID, reply.Digest) })
	return reply.Result
}
