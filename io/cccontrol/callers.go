package cccontrol

import (
	"context"
	"math/rand/v2"

	"coriandercross/core/ccadmit"
	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// Errors that are returned to callers.
var (
	// ErrNoRoute reports a request that matches no route of the configuration.
	ErrNoRoute = errors.New("no route matches the request")
	// ErrNoConfig reports a process that has no configuration yet.
	ErrNoConfig = errors.New("no configuration is in force yet")
	// ErrNoJob reports a job that was never accepted, or whose final state is no longer retained.
	ErrNoJob = errors.New("no such job")
	// ErrStateUnknown reports a state or a count that can't be determined at present. A retry may succeed.
	ErrStateUnknown = errors.New("state of the job or queue is not known at present")
)

// Refusal is the error of a submission that was certainly not accepted: the job does not run unless it is submitted
// again.
type Refusal struct {
	// Reason is the cause.
	Reason error
	// RetryAfterMs is the delay after which a retry can succeed.
	RetryAfterMs int64
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.Reason.Error()
}

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error {
	return r.Reason
}

const (
	// storeRetryAfterMs is the mean of Refusal.RetryAfterMs while the store can't be reached. Outages last for seconds.
	storeRetryAfterMs = 1500
	// overCapRetryAfterMs is Refusal.RetryAfterMs for a job above the cap of its team: only an edit by an operator helps.
	overCapRetryAfterMs = 3600_000
	// maxQueuedJobsAgeMs is the age up to which the leader's counts of queued jobs are returned to callers.
	maxQueuedJobsAgeMs ms = 1800
	// maxStateAgeMs is the age of the leader's last counts from which the state of a job that has not ended is read
	// from the store, since the cached state may be just as old.
	maxStateAgeMs ms = 1500
)

// Configuration returns the configuration in force, nil if there is none.
func (p *Process) Configuration() *cccell.Configuration {
	if c := p.config.Load(); c != nil {
		return c.config
	}
	return nil
}

// Submit accepts a job: it returns nil once the job is in the store. It fails with *Refusal if the job was certainly
// not accepted, with ErrOtherTeam if another team has a job of that ID, and with ccstore.ErrInDoubt if it may have been
// accepted, or may still be. budgetMs is the caller's time budget. The job becomes one of the caller's team.
func (p *Process) Submit(ctx context.Context, caller Caller, j *cccell.Job, budgetMs ms) error {
	began := p.now()
	j.Team, j.Key, j.Returning = caller.Team, caller.Key, caller.UsedMs > 0
	err := p.checkCap(ctx, j)
	if err == nil {
		err = p.submit(ctx, &caller, j, &ccadmit.Submission{ArrivedAt: began, BudgetMs: budgetMs, Returning: j.Returning})
	}
	outcome := "accepted"
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal), errors.Is(err, ErrOtherTeam):
		outcome = "refused"
	case err != nil:
		outcome = "in doubt"
	}
	p.cfg.Metrics.submitted.WithLabelValues(j.Queue.Name, outcome).Observe(float64(p.now() - began))
	if caller.Team != "" {
		p.cfg.Metrics.teamSubmitted.inc(caller.Team, outcome)
	}
	if err != nil {
		// "hand-in" is the name of a submission in the log.
		p.logLimited("hand-in "+outcome, "Job", j.ID, "Queue", j.Queue.Name, "Team", j.Team, "TookMs", p.now()-began, "BudgetMs", budgetMs, "StoreAgeMs", p.cfg.Store.AgeMs(), "Error", err)
	}
	return err
}

// checkCap returns a refusal for a job that the cap of its team will never admit. A job that was accepted before the cap
// was lowered is not refused; if the store can't tell, the error is ccstore.ErrInDoubt.
func (p *Process) checkCap(ctx context.Context, j *cccell.Job) error {
	c := p.Configuration()
	if c == nil {
		return nil
	}
	over := c.CheckCap(j)
	if over == nil {
		return nil
	}
	if _, _, known := p.stateCache.job(j.ID); known {
		return nil
	}
	switch _, err := p.readState(ctx, j.ID, false); {
	case errors.Is(err, ErrNoJob):
		return &Refusal{Reason: over, RetryAfterMs: overCapRetryAfterMs}
	case err != nil:
		return errors.Mark(err, ccstore.ErrInDoubt)
	}
	return nil
}

// errJobsFull reports a large job for which there is no room beside the large jobs that have not ended.
var errJobsFull = errors.New("accepted jobs occupy all the memory for large ones")

// submit accepts a job that is not known yet, unless there is no room for it.
func (p *Process) submit(ctx context.Context, caller *Caller, j *cccell.Job, s *ccadmit.Submission) error {
	if _, team, known := p.stateCache.job(j.ID); known {
		ok, err := p.authorize(ctx, caller, j.ID, team)
		if err != nil {
			return errors.Mark(err, ccstore.ErrInDoubt)
		}
		if !ok {
			return ErrOtherTeam
		}
		return nil // The job was accepted before.
	}
	settle, ok := p.jobRoom.accept(j)
	if !ok {
		if s.Answer() == ccadmit.Unknown {
			return errors.Mark(errJobsFull, ccstore.ErrInDoubt)
		}
		return &Refusal{Reason: errors.Mark(errJobsFull, ccwork.ErrOverload), RetryAfterMs: jitterRetryAfter(fullRetryAfterMs)}
	}
	err := p.store(ctx, caller, j, s)
	var refusal *Refusal
	settle(!errors.As(err, &refusal))
	return err
}

// store writes a job to the store, through the leader if this process can't reach the store, and notifies the leader.
func (p *Process) store(ctx context.Context, caller *Caller, j *cccell.Job, s *ccadmit.Submission) error {
	j.AcceptedMs = int64(unixNow())
	sub := newSubmission(j, s.AnswerAt())
	sub.newFor = p.soleLeader.newFor(caller.UsedMs, s.ArrivedAt)
	if err := p.waitStored(ctx, j, s, sub); err != nil {
		var stored *alreadyStored
		if errors.As(err, &stored) {
			if !p.checkOwner(caller, j.ID, &stored.owner) {
				return ErrOtherTeam
			}
			if stored.withdrawn {
				return refuseWithdrawn(s)
			}
			return nil // The job was accepted before: it has ended, or the leader has it.
		}
		if errors.Is(err, ccstore.ErrInDoubt) || s.Answer() == ccadmit.Unknown {
			return errors.Mark(err, ccstore.ErrInDoubt)
		}
		return &Refusal{Reason: errors.Mark(err, ccwork.ErrStore), RetryAfterMs: jitterRetryAfter(storeRetryAfterMs)}
	}
	p.stored(j, sub.newFor)
	return nil
}

// jitterRetryAfter returns a random delay between 50% and 150% of afterMs, so that callers don't retry all at once.
func jitterRetryAfter(afterMs int64) int64 {
	return afterMs/2 + rand.Int64N(afterMs+1)
}

// Status returns the state of a job, from the cache or the store. It fails with ErrNoJob, also for a job that the caller
// may not access, and with ErrStateUnknown or ErrBadRecord.
func (p *Process) Status(ctx context.Context, caller Caller, id string) (cccell.State, error) {
	s, team, known := p.stateCache.job(id)
	if known {
		if ok, err := p.authorize(ctx, &caller, id, team); !ok {
			return "", noAccess(err)
		}
	}
	_, at := p.stateCache.queuedJobs("")
	if known && (s.Final() || p.leading() != nil || p.now()-at < maxStateAgeMs || p.cfg.Store.Lost()) {
		return s, nil
	}
	stored, err := p.readState(ctx, id, !known && caller.keys != nil)
	if err != nil {
		if known {
			return s, nil
		}
		return "", err
	}
	if !known && !p.checkOwner(&caller, id, &stored.owner) {
		return "", ErrNoJob
	}
	p.stateCache.merge(id, stored.owner.Team, stored.state, p.now())
	if known && !stored.state.Final() {
		return s, nil
	}
	return stored.state, nil
}

// noAccess returns the error for a job that the caller may not access, or for a check of that which failed with err. The
// job is as unknown to the caller as one that does not exist.
func noAccess(err error) error {
	if err != nil {
		return err
	}
	return ErrNoJob
}

// storedState is what the store has of the state of a job.
type storedState struct {
	state cccell.State
	// owner is the zero value if the job belongs to no team. That of a job that has not ended is set only if asked for.
	owner cccell.Owner
	// withdrawn is cccell.Progress.Withdrawn.
	withdrawn bool
}

// readState reads the state of a job from the store, and also its owner if withOwner is set. It fails with ErrNoJob,
// ErrStateUnknown or ErrBadRecord.
func (p *Process) readState(ctx context.Context, id string, withOwner bool) (storedState, error) {
	job, err := p.readProgress(ctx, id)
	if (err == nil && (job.state.Final() || !withOwner)) || (err != nil && !errors.Is(err, ErrNoKey)) {
		return job, err
	}
	begun := err == nil
	item, err := p.cfg.Store.Get(ctx, prefixJobs+id)
	if err == nil {
		if !begun {
			job.state = cccell.Queued
		}
		if withOwner {
			job.owner, err = jobOwner(&item)
		}
		return job, err
	}
	if !errors.Is(err, ErrNoKey) {
		return storedState{}, errors.Mark(err, ErrStateUnknown)
	}
	// The job may have ended between the reads: the write of a final state removes the job.
	if job, err = p.readProgress(ctx, id); errors.Is(err, ErrNoKey) {
		_, replyAt := p.currentLeader()
		p.decision("job not found", "Job", id, "HeardMs", p.now()-replyAt, "StoreAgeMs", p.cfg.Store.AgeMs())
		return storedState{}, ErrNoJob
	}
	return job, err
}

// jobOwner returns the owner of a stored job. It fails with ErrBadRecord.
func jobOwner(item *Item) (cccell.Owner, error) {
	var j cccell.Job
	if err := decode(item.Key, item.Value, &j); err != nil {
		return cccell.Owner{}, err
	}
	return j.Owner(), nil
}

// readProgress reads the state of a job from its progress record. It fails with ErrNoKey if there is none, with ErrNoJob if the
// job was withdrawn, and with ErrStateUnknown or ErrBadRecord.
func (p *Process) readProgress(ctx context.Context, id string) (storedState, error) {
	item, err := p.cfg.Store.Get(ctx, prefixProgress+id)
	if errors.Is(err, ErrNoKey) {
		return storedState{}, err
	}
	if err != nil {
		return storedState{}, errors.Mark(err, ErrStateUnknown)
	}
	state, err := decodeState(&item)
	if err == nil && state.withdrawn {
		return storedState{}, ErrNoJob
	}
	return state, err
}

// decodeState decodes the state of a job in its progress record, and the owner if the job has ended. It fails with
// ErrBadRecord.
func decodeState(item *Item) (storedState, error) {
	var pr cccell.Progress
	if err := decode(item.Key, item.Value, &pr); err != nil {
		return storedState{}, err
	}
	out := storedState{state: cccell.Running, withdrawn: pr.Withdrawn}
	if pr.State.Final() {
		out.state = pr.State
	}
	if pr.Owner != nil {
		out.owner = *pr.Owner
	}
	return out, nil
}

// Cancel cancels a job: it returns nil once the request to cancel is in the store, or if the job has ended. It fails
// with ErrNoJob for a job that is not stored and never will be, also for one that the caller may not access, with
// ErrBadRecord, or with ErrStateUnknown if the request may not be in the store.
func (p *Process) Cancel(ctx context.Context, caller Caller, id string) error {
	s, team, known := p.stateCache.job(id)
	if known {
		if ok, err := p.authorize(ctx, &caller, id, team); !ok {
			return noAccess(err)
		}
		if s.Final() {
			return nil
		}
	} else {
		stored, err := p.readState(ctx, id, caller.keys != nil)
		if errors.Is(err, ErrNoJob) {
			if err = p.withdraw(ctx, &caller, id); !errors.Is(err, errStoredMeanwhile) {
				return err
			}
			stored, err = p.readState(ctx, id, caller.keys != nil)
		}
		if err != nil {
			return err
		}
		if !p.checkOwner(&caller, id, &stored.owner) {
			return ErrNoJob
		}
		if stored.state.Final() {
			p.stateCache.merge(id, stored.owner.Team, stored.state, p.now())
			return nil
		}
	}
	if err := p.storeCancel(ctx, id); err != nil {
		p.logLimited("cancellation not persisted", "Job", id, "StoreAgeMs", p.cfg.Store.AgeMs(), "Error", err)
		return errors.Mark(err, ErrStateUnknown)
	}
	p.notifier.cancel(id)
	p.logLimited("cancellation accepted", "Job", id)
	return nil
}

// storeCancel writes a request to cancel to the store, through the leader if this process can't reach the store. It
// retries until ctx ends; repeated writes are harmless, whatever the outcome of the earlier ones.
func (p *Process) storeCancel(ctx context.Context, id string) error {
	for {
		var err error
		if p.cfg.Store.Lost() {
			err = p.writeThroughLeader(ctx, &ccpeer.RelayWriteRequest{Cancel: id})
		} else {
			err = p.writeCancel(ctx, id)
		}
		if err == nil || !sleep(ctx, jitter(retryDelayMs)) {
			return err
		}
	}
}

// writeCancel writes a request to cancel to the store.
func (p *Process) writeCancel(ctx context.Context, id string) error {
	_, err := p.cfg.Store.Write(ctx, &Txn{Puts: []Put{{Key: prefixCancel + id, Value: []byte{}}}})
	return err
}

// QueuedJobs returns the number of accepted jobs of a queue that have not started. It fails with ErrStateUnknown.
func (p *Process) QueuedJobs(queue string) (int, error) {
	n, at := p.stateCache.queuedJobs(queue)
	if at == 0 || p.now()-at > maxQueuedJobsAgeMs {
		return 0, ErrStateUnknown
	}
	return n, nil
}
