package cccontrol

import (
	"context"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// A process that can't reach the store sends its writes to the leader, which relays them to the store. A leader that
// can't reach the store is replaced by a peer that can.

// minIsolationTimeoutMs is the time without a reply of the leader, at the shortest heartbeat interval, after which a
// process that can't reach the store either counts as isolated. It is not ready then, so that callers turn to another
// VM.
const minIsolationTimeoutMs ms = 700

// isolationTimeoutMs returns the time without a reply after which the leader counts as unreachable.
func (p *Process) isolationTimeoutMs() ms {
	return minIsolationTimeoutMs + p.extraHeartbeat()
}

// submitThroughLeader asks the leader to write a job to the store. It fails with ccstore.ErrUnavailable or
// ccstore.ErrInDoubt, as submitter.submit does.
func (p *Process) submitThroughLeader(ctx context.Context, sub *submission) error {
	return p.writeThroughLeader(ctx, &ccpeer.RelayWriteRequest{Job: sub.job, BudgetMs: int64(sub.deadline - p.now()), NewFor: sub.newFor})
}

// writeThroughLeader sends a write to the leader. It fails with ccstore.ErrUnavailable if the write was certainly not
// carried out, with ccstore.ErrInDoubt if it may have been, or may still be, and with *alreadyStored.
func (p *Process) writeThroughLeader(ctx context.Context, in *ccpeer.RelayWriteRequest) error {
	leader, repliedAt := p.currentLeader()
	if p.leading() != nil || repliedAt == 0 || p.now()-repliedAt > p.isolationTimeoutMs() {
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
	case out.Withdrawn:
		return &alreadyStored{owner: cccell.Owner{Team: in.Job.Team}, ended: true, withdrawn: true}
	case out.Owner != nil:
		return &alreadyStored{owner: *out.Owner}
	}
	return nil
}

// RelayWrite implements ccpeer.CellHandler: it writes to the store on behalf of a peer.
func (p *Process) RelayWrite(ctx context.Context, in *ccpeer.RelayWriteRequest) (*ccpeer.RelayWriteReply, error) {
	if p.cfg.Store.Lost() {
		return &ccpeer.RelayWriteReply{Outcome: ccwork.NotRun}, nil
	}
	var err error
	if in.Job != nil {
		if err = p.submitter.submit(ctx, in.Job, p.now()+ms(in.BudgetMs)); err == nil {
			p.stored(in.Job, in.NewFor)
		}
	} else if err = p.writeCancel(ctx, in.Cancel); err == nil {
		p.notifier.cancel(in.Cancel)
	}
	var stored *alreadyStored
	switch {
	case err == nil:
		return &ccpeer.RelayWriteReply{Outcome: ccwork.Ran}, nil
	case errors.As(err, &stored):
		out := &ccpeer.RelayWriteReply{Outcome: ccwork.Ran, Withdrawn: stored.withdrawn}
		if stored.owner.Team != in.Job.Team {
			out.Owner = &stored.owner
		}
		return out, nil
	case errors.Is(err, ccstore.ErrUnavailable) && !errors.Is(err, ccstore.ErrInDoubt):
		return &ccpeer.RelayWriteReply{Outcome: ccwork.NotRun}, nil
	}
	return &ccpeer.RelayWriteReply{Outcome: ccwork.Unknown}, nil
}

// isolated reports whether the process can reach neither the store nor the leader, so that it can't serve callers.
func (p *Process) isolated() bool {
	if !p.cfg.Store.Lost() || p.leading() != nil {
		return false
	}
	_, repliedAt := p.currentLeader()
	return p.now()-repliedAt > p.isolationTimeoutMs()
}
