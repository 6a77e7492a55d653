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

// Request is a request whose caller waits for the answer.
type Request struct {
	// ID is chosen by the caller, who repeats a request under the same ID.
	ID   string
	Team string
	Kind string
	Body []byte
	// DeadlineMs is how long the caller waits, in milliseconds. 0 means that only the limits of the kind apply.
	DeadlineMs int64
}

// execution is the state of a request while it is executed.
type execution struct {
	Request
	// key identifies the request: its team and its ID.
	key    string
	kind   ccteam.Kind
	limits ccteam.Limits
	// claim is the unique ID that the intent of a non-idempotent request is claimed with.
	claim string
	// startBy and answerBy are the times until which the request must be started and answered.
	startBy  ccclock.Millis
	answerBy ccclock.Millis
	attempts int
	// tried are the owners that earlier attempts were sent to, by process ID. The next attempt avoids them.
	tried map[string]bool
	// result is the result of the last attempt.
	result ccwork.Result
}

// defaultRunMs is the longest run of a request whose kind sets no MaxRunMs.
const defaultRunMs = 60_000

// Execute runs a request and returns its outcome. It may be called from any goroutine. It blocks until the outcome is
// known or the deadline of the request has passed.
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

// recordResult logs and counts the result of a request, and returns it.
func (n *Node) recordResult(req Request, started ccclock.Millis, r ccwork.Result) ccwork.Result {
	took := n.now() - started
	n.cfg.Metrics.observeRequest(req.Team, req.Kind, r, took)
	n.cfg.Log.Debug("request ended", "Team", req.Team, "Kind", req.Kind, "Request", req.ID,
		"Outcome", r.Outcome, "Reason", r.Reason, "Worker", r.Worker, "TookMs", int64(took))
	return r
}

// admit looks up the policy of a request and admits it, unless it is certain that the request can't start.
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

// admitInLoop decides whether to admit a request. It must run in the control loop.
func (n *Node) admitInLoop(x *execution, now ccclock.Millis) error {
	if n.state.doc == nil {
		return errors.Mark(errors.New("process has no configuration yet"), ccwork.ErrNoOwner)
	}
	kind, err := n.state.doc.Kind(x.Team, x.Kind)
	if err != nil {
		return err
	}
	if kind.Class != ccwork.Interactive {
		return errors.Wrapf(ccwork.ErrUnknownKind, "kind %q is not interactive and must be submitted as a job", x.Kind)
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

// setDeadlines sets the times until which a request must be started and answered.
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

// removeActive ends the execution of a request: from then on, a repeat with the same ID no longer fails with
// ccwork.ErrInProgress.
func (n *Node) removeActive(x *execution) {
	_ = n.post(func() { delete(n.state.activeRequests, x.key) })
}

// retryBackoff is the delay between two attempts to run a request, in milliseconds.
var retryBackoff = ccretry.Backoff{Base: 20, Max: 500}

// runWithRetries attempts to run a request until its outcome is not NotRun, or another attempt can't help. It does not
// retry after Unknown, because two runs could overlap.
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

// retryable reports whether an attempt that failed for this reason may succeed at another owner or later.
func retryable(reason string) bool {
	switch reason {
	case "Overload", "NoOwner", "Fenced", "Refused", "Draining":
		return true
	}
	return false
}

// takeRetry returns the delay before the next attempt of a request and charges the attempt to the team's retry budget.
// It returns false when that attempt would come after the start deadline, or the budget is used up.
func (n *Node) takeRetry(x *execution) (ccclock.Millis, bool) {
	var delay ccclock.Millis
	ok := false
	err := n.do(func() {
		delay = retryBackoff.Delay(x.attempts, n.state.rand)
		if n.now()+delay >= x.startBy {
			return
		}
		// A retry after NoOwner is free: nothing is sent to any process until there is an owner.
		ok = x.result.Reason == "NoOwner" || n.state.retryBudget.Spend(x.Team)
	})
	return delay, ok && err == nil
}

// runOnce chooses an owner and makes one attempt to run the request there.
func (n *Node) runOnce(ctx context.Context, x *execution) ccwork.Result {
	target, budget, err := n.route(x)
	if err != nil {
		x.result = ccwork.NotRunResult(err)
		return x.result
	}
	in := &ccpeer.RunRequest{
		Task: x.key + "~" + n.nextUniqueID(), Team: x.Team, Kind: x.Kind, Size: x.kind.Size,
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

// nextUniqueID returns an ID that is unique among all processes and incarnations.
func (n *Node) nextUniqueID() string {
	return n.id + "." + strconv.FormatInt(n.uniqueIDSeq.Add(1), 36)
}

// route chooses the owner for the next attempt of a request. It also returns the time left until the request must have
// started.
func (n *Node) route(x *execution) (ccmember.Member, ccclock.Millis, error) {
	var target ccmember.Member
	var budget ccclock.Millis
	var refusal error
	err := n.do(func() {
		now := n.now()
		budget = x.startBy - now
		owners := n.livingMembers(now)
		req := ccroute.Request{Size: x.kind.Size, BudgetMs: int64(budget), Tried: x.tried}
		// Each living process may use an equal part of the team's budget for cross-region traffic.
		req.CrossRegion = x.kind.CrossRegion && n.state.crossRegionLimiter.Allows(x.Team, x.limits.CrossRegionKBPerHour, 1/float64(len(owners)), now)
		target, refusal = n.state.router.Choose(owners, req)
		if errors.Is(refusal, ccwork.ErrOverload) {
			// Every suitable owner has been tried: the next attempt may choose any of them again.
			clear(x.tried)
		}
	})
	if err != nil {
		return target, 0, ccwork.ErrDraining
	}
	return target, budget, refusal
}

// countCrossRegion counts the bytes of a request and its answer that were sent between regions.
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
		n.cfg.Log.Warn("reply of the owner was lost; outcome of the request is unknown", "Task", in.Task, "Owner", target.ID, "Err", err)
		return ccwork.UnknownResult(ccwork.ErrTruncated)
	}
	_ = n.post(func() { n.state.members.UpdateDigest(target.ID, reply.Digest) })
	return reply.Result
}
