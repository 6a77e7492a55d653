package cccontrol

import (
	"context"

	"coriandercross/core/ccadmit"
	"coriandercross/core/cccell"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// A caller may cancel a job whose submission is still being written by another process, and that the leader may run already.
// The store has nothing of it then. "No such job" is true only if the submission is never stored, so a record is written
// where the submission expects none.

// ErrWithdrawn reports a submission of a job that was cancelled before it was stored.
var ErrWithdrawn = errors.New("job was cancelled before it was stored")

// errStoredMeanwhile reports a job that was stored before it could be withdrawn.
var errStoredMeanwhile = errors.New("job was stored meanwhile")

// withdrawnRetryAfterMs is Refusal.RetryAfterMs for a withdrawn job: the same ID is never accepted.
const withdrawnRetryAfterMs = 3600_000

// withdraw prevents that a job which the store does not have is stored later. It returns ErrNoJob once that is certain, and
// fails with errStoredMeanwhile, ErrBadRecord, or with ErrStateUnknown if the outcome is not known when ctx ends.
func (p *Process) withdraw(ctx context.Context, caller *Caller, id string) error {
	record := cccell.Progress{State: cccell.Cancelled, Withdrawn: true, EndedMs: int64(unixNow())}
	if caller.Team != "" {
		record.Owner = &cccell.Owner{Team: caller.Team, Key: caller.Key, Queue: caller.Queue}
	}
	t := &Txn{If: []Condition{{Key: prefixJobs + id}, {Key: prefixProgress + id}}, Puts: []Put{{Key: prefixProgress + id, Value: encode(&record)}}}
	for {
		_, err := p.cfg.Store.Write(ctx, t)
		var conflict *Conflict
		if errors.As(err, &conflict) {
			var replaces int64
			if replaces, err = withdrawnBefore(conflict, caller.Team); replaces != 0 {
				t.If[1].Revision = replaces
				continue
			}
		}
		switch {
		case err == nil:
			p.notifier.withdraw(id, caller.Team)
			p.logLimited("job withdrawn before it was stored", "Job", id, "Team", caller.Team)
			return ErrNoJob
		case conflict != nil:
			return err
		case !sleep(ctx, jitter(retryDelayMs)):
			p.logLimited("cancellation not persisted", "Job", id, "StoreAgeMs", p.cfg.Store.AgeMs(), "Error", err)
			return errors.Mark(err, ErrStateUnknown)
		}
	}
}

// withdrawnBefore returns nil if the team has withdrawn the job before, the revision of the record if another team has, and else
// errStoredMeanwhile or ErrBadRecord.
func withdrawnBefore(c *Conflict, team string) (byOther int64, err error) {
	for i := range c.Found {
		item := &c.Found[i]
		if _, ok := trimPrefix(item.Key, prefixProgress); !ok || item.Revision == 0 {
			continue
		}
		state, err := decodeState(item)
		if err != nil {
			return 0, err
		}
		if state.withdrawn && state.owner.Team == team {
			return 0, nil
		}
		if state.withdrawn {
			return item.Revision, nil
		}
	}
	return 0, errStoredMeanwhile
}

// refuseWithdrawn returns the error for a submission of a withdrawn job. A leader may have started some of it.
func refuseWithdrawn(s *ccadmit.Submission) error {
	if s.Answer() == ccadmit.Unknown {
		return errors.Mark(ErrWithdrawn, ccstore.ErrInDoubt)
	}
	return &Refusal{Reason: ErrWithdrawn, RetryAfterMs: withdrawnRetryAfterMs}
}

// withdraw queues the notification of a job that was withdrawn.
func (n *notifier) withdraw(id, team string) {
	n.enqueue(func(out *outbox) { out.withdrawn = append(out.withdrawn, ccpeer.Withdrawal{Job: id, Team: team}) })
}
