package cccontrol

import (
	"context"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// While the store turns a process away, the leader writes for it: it reaches the store, or fellows that do replace it.

// minIsolationTimeoutMs is the time without the leader, at the shortest heartbeat, after which a process that does not reach the store either
// sends callers elsewhere.
const minIsolationTimeoutMs ms = 700

// isolationTimeoutMs returns the time without an answer of the leader after which it counts as out of reach.
func (p *Process) isolationTimeoutMs() ms {
	return minIsolationTimeoutMs + p.extraHeartbeat()
}

// submitThroughLeader has a fellow keep a job. It fails as intake.keep does.
func (p *Process) submitThroughLeader(ctx context.Context, j *cccell.Job, until ms) error {
	return p.writeThroughLeader(ctx, &ccpeer.RelayWriteRequest{Job: j, BudgetMs: int64(until - p.now())})
}

// writeThroughLeader has the leader write something.
func (p *Process) writeThroughLeader(ctx context.Context, in *ccpeer.RelayWriteRequest) error {
	leader, heard := p.currentLeader()
	if p.leading() != nil || heard == 0 || p.now()-heard > p.isolationTimeoutMs() {
		return errors.Mark(errors.New("neither store nor leader is reached"), ccstore.ErrUnavailable)
	}
	out, err := p.cfg.Peers.RelayWrite(ctx, leader.Address, in)
	switch {
	case errors.Is(err, ccpeer.ErrUnreachable):
		return errors.Mark(err, ccstore.ErrUnavailable)
	case err != nil || out.Outcome == ccwork.Unknown:
		return errors.Mark(errors.Wrapf(ccstore.ErrInDoubt, "through %s", leader.VM), ccstore.ErrInDoubt)
	case out.Outcome == ccwork.NotRun:
		return errors.Wrapf(ccstore.ErrUnavailable, "through %s", leader.VM)
	}
	return nil
}

// RelayWrite implements ccpeer.CellHandler: it writes to the store for a fellow.
func (p *Process) RelayWrite(ctx context.Context, in *ccpeer.RelayWriteRequest) (*ccpeer.RelayWriteReply, error) {
	if p.cfg.Store.Lost() {
		return &ccpeer.RelayWriteReply{Outcome: ccwork.NotRun}, nil
	}
	var err error
	if in.Job != nil {
		if err = p.submitter.submit(ctx, in.Job, p.now()+ms(in.BudgetMs)); err == nil {
			p.stateCache.merge(in.Job.ID, cccell.Queued, p.now())
			p.notifier.job(in.Job)
		}
	} else if err = p.writeCancel(ctx, in.Cancel); err == nil {
		p.notifier.cancel(in.Cancel)
	}
	switch {
	case err == nil || errors.Is(err, errAlreadyStored):
		return &ccpeer.RelayWriteReply{Outcome: ccwork.Ran}, nil
	case errors.Is(err, ccstore.ErrUnavailable) && !errors.Is(err, ccstore.ErrInDoubt):
		return &ccpeer.RelayWriteReply{Outcome: ccwork.NotRun}, nil
	}
	return &ccpeer.RelayWriteReply{Outcome: ccwork.Unknown}, nil
}

// isolated reports whether the process reaches neither the store nor the leader, so that it can serve nobody.
func (p *Process) isolated() bool {
	if !p.cfg.Store.Lost() || p.leading() != nil {
		return false
	}
	_, heard := p.currentLeader()
	return p.now()-heard > p.isolationTimeoutMs()
}
