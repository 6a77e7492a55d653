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
	attempts int
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
		return n.recordResult(req, started, ccwork.NotRunResult(err))
	}
	defer n.removeActive(x)
	ctx, cancel := context.WithTimeout(ctx, (x.answerBy - n.now()).Duration())
	defer cancel()
	if !x.kind.NonIdempotent {
		return n.recordResult(req, started, n.runWithRetries(ctx, x))
	}
	return n.recordResult(req, started, n.runAtMostOnce(ctx, x))
}

// recordResult logs and counts an outcome.
func (n *Node) recordResult(req Request, started ccclock.Millis, r ccwork.Result) ccwork.Result {
	took := n.now() - started
	n.cfg.Metrics.observeRequest(req.Team, req.Kind, r, took)
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
		refusal = n.admitInLoop(x, now)
	})
	if err != nil {
		return nil, ccwork.ErrDraining
	}
	return x, refusal
}

// admitInLoop decides on a new request. It belongs to the control loop.
func (n *Node) admitInLoop(x *execution, now ccclock.Millis) error {
	if n.state.doc == nil {
		return errors.Mark(errors.New("no configuration is known yet"), ccwork.ErrNoOwner)
	}
	kind, err := n.state.doc.Kind(x.Team, x.Kind)
	if err != nil {
		return err
	}
	if kind.Class != ccwork.Interactive {
		return errors.Wrapf(ccwork.ErrUnknownKind, "kind %q is sent as a job", x.Kind)
	}
	if n.state.activeRequests[x.key] {
		return ccwork.ErrInProgress
	}
	x.kind = kind
	x.limits = n.state.doc.LimitsOf(x.Team)
	if n.state.queue.Len() >= n.cfg.Limits.MaxWaiting || n.state.queue.Waiting(x.Team) >= x.limits.MaxWaiting {
		return ccwork.ErrOverload
	}
	n.setDeadlines(x, now)
	n.state.activeRequests[x.key] = true
	n.state.retryBudget.CountFirstAttempt(x.Team, x.limits.RetryPercent)
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

// removeActive ends the bookkeeping of a request.
func (n *Node) removeActive(x *execution) {
	_ = n.post(func() { delete(n.state.activeRequests, x.key) })
}

var retryBackoff = ccretry.Backoff{Base: 20, Max: 500}

// runWithRetries tries a request until it has an outcome other than NotRun, or another try can't help.
// Unknown is never tried again here: a second run could overlap the first.
func (n *Node) runWithRetries(ctx context.Context, x *execution) ccwork.Result {
	for {
		x.attempts++
		r := n.runOnce(ctx, x)
		if r.Outcome != ccwork.NotRun || !retryable(r.Reason) {
			return r
		}
		delay, ok := n.takeRetry(x)
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

// takeRetry takes a retry from the team's budget and returns the delay before it.
func (n *Node) takeRetry(x *execution) (ccclock.Millis, bool) {
	var delay ccclock.Millis
	ok := false
	err := n.do(func() {
		delay = retryBackoff.Delay(x.attempts, n.state.rand)
		if n.now()+delay >= x.startBy {
			return
		}
		// Waiting for an owner to appear sends nothing to anybody and costs no budget.
		ok = x.result.Reason == "NoOwner" || n.state.retryBudget.Spend(x.Team)
	})
	return delay, ok && err == nil
}

// runOnce chooses an owner and runs the request there.
func (n *Node) runOnce(ctx context.Context, x *execution) ccwork.Result {
	target, budget, err := n.route(x)
	if err != nil {
		x.result = ccwork.NotRunResult(err)
		return x.result
	}
	in := &ccpeer.RunRequest{
		Task: x.key + "~" + n.nextToken(), Team: x.Team, Kind: x.Kind, Size: x.kind.Size,
		BudgetMs: int64(budget), RunMs: int64(x.answerBy - x.startBy), Urgency: x.kind.Urgency, Body: x.Body,
	}
	if target.ID == n.id {
		x.result = n.runLocally(ctx, in)
	} else {
		x.result = n.forward(ctx, target, in)
	}
	x.tried[target.ID] = true
	return x.result
}

// nextToken returns a text that no attempt of any process has had before.
func (n *Node) nextToken() string {
	return n.id + "." + strconv.FormatInt(n.tokenSeq.Add(1), 36)
}

// route chooses the owner for a request.
func (n *Node) route(x *execution) (ccmember.Member, ccclock.Millis, error) {
	var target ccmember.Member
	var budget ccclock.Millis
	var refusal error
	err := n.do(func() {
		now := n.now()
		budget = x.startBy - now
		owners := n.livingMembers(now)
		work := ccroute.Request{Size: x.kind.Size, BudgetMs: int64(budget), Tried: x.tried}
		// Every process has an equal share of a team's budget for the link.
		work.CrossRegion = x.kind.CrossRegion && n.state.crossRegionLimiter.Allows(x.Team, x.limits.CrossRegionKBPerHour, 1/float64(len(owners)), now)
		target, refusal = n.state.router.Choose(owners, work)
		if errors.Is(refusal, ccwork.ErrOverload) {
			clear(x.tried)
		}
	})
	if err != nil {
		return target, 0, ccwork.ErrDraining
	}
	return target, budget, refusal
}

// countCrossRegion counts the bytes of a request and its answer that went over the link between regions.
func (n *Node) countCrossRegion(in *ccpeer.RunRequest, reply *ccpeer.RunReply) {
	bytes := len(in.Body)
	if reply != nil {
		bytes += len(reply.Result.Answer)
	}
	n.cfg.Metrics.crossRegionBytes.WithLabelValues(in.Team).Add(float64(bytes))
	_ = n.post(func() { n.state.crossRegionLimiter.Spend(in.Team, bytes) })
}

// forward runs a request on a worker of another process.
func (n *Node) forward(ctx context.Context, target ccmember.Member, in *ccpeer.RunRequest) ccwork.Result {
	reply, err := n.cfg.Peers.Run(ctx, target.Address, in)
	if target.Region != n.cfg.Region {
		n.countCrossRegion(in, reply)
	}
	switch {
	case errors.Is(err, ccpeer.ErrUnreachable):
		return ccwork.NotRunResult(ccwork.ErrNoOwner)
	case err != nil:
		n.cfg.Log.Warn("reply of the owner was lost", "Task", in.Task, "Owner", target.ID, "Err", err)
		return ccwork.UnknownResult(ccwork.ErrTruncated)
	}
	_ = n.post(func() { n.state.members.UpdateDigest(target.ID, reply.Digest) })
	return reply.Result
}
