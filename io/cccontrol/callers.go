package cccontrol

import (
	"context"
	"math/rand/v2"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// Errors told to callers.
var (
	// ErrNoRoute reports a request that no route of the configuration takes.
	ErrNoRoute = errors.New("no route takes the request")
	// ErrNoConfig reports a process that has no configuration yet.
	ErrNoConfig = errors.New("no configuration is in force yet")
	// ErrNoJob reports a job that was never accepted, or whose final state is no longer kept.
	ErrNoJob = errors.New("no such job")
	// ErrStateUnknown reports a question that can't be answered now.
	ErrStateUnknown = errors.New("not known at the moment")
)

// Refusal is the error of a job that was not accepted and never runs.
type Refusal struct {
	// Reason says why.
	Reason error
	// RetryAfterMs is the time after which a return can help.
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
	// storeRetryAfterMs is the time after which callers may return while the store is lost: outages last for seconds.
	storeRetryAfterMs = 1500
	// inDoubtFraction is the share of a caller's time after which a write in doubt is answered as such: more tries seldom help, and the
	// caller can do something else with the rest.
	inDoubtFraction = 0.3
	// maxPendingAgeMs is the age of the leader's figures up to which the number of waiting jobs is told.
	maxPendingAgeMs ms = 1800
	// maxStateAgeMs is the age of the leader's figures from which the store is asked for a job that has not ended.
	maxStateAgeMs ms = 1500
)

// Route returns the route of a request. It fails with ErrNoConfig or ErrNoRoute.
func (p *Process) Route(host, path string) (*cccell.Route, error) {
	c := p.config.Load()
	if c == nil {
		return nil, ErrNoConfig
	}
	if r := c.config.Find(host, path); r != nil {
		return r, nil
	}
	return nil, ErrNoRoute
}

// Configuration returns the configuration in force, nil when there is none.
func (p *Process) Configuration() *cccell.Configuration {
	if c := p.config.Load(); c != nil {
		return c.config
	}
	return nil
}

// Submit accepts a job: it returns nil once the store has it. It fails with *Refusal when the job never runs, and with
// ccstore.ErrInDoubt when that is not known.
func (p *Process) Submit(ctx context.Context, j *cccell.Job, budgetMs ms) error {
	began := p.now()
	err := p.submit(ctx, j, began+ms(float64(budgetMs)*inDoubtFraction))
	outcome := "accepted"
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		outcome = "refused"
	case err != nil:
		outcome = "in doubt"
	}
	p.cfg.Metrics.submitted.WithLabelValues(j.Queue.Name, outcome).Observe(float64(p.now() - began))
	if err != nil {
		p.cfg.Log.Info("hand-in "+outcome, "Job", j.ID, "Queue", j.Queue.Name, "TookMs", p.now()-began, "BudgetMs", budgetMs, "StoreAgeMs", p.cfg.Store.AgeMs(), "Error", err)
	}
	return err
}

// submit keeps a job or says why not.
func (p *Process) submit(ctx context.Context, j *cccell.Job, until ms) error {
	if _, known := p.stateCache.state(j.ID); known {
		return nil // The same job again.
	}
	j.AcceptedMs = int64(unixNow())
	keep := p.submitter.submit
	if p.cfg.Store.Lost() {
		keep = p.submitThroughLeader
	}
	if err := keep(ctx, j, until); err != nil {
		if errors.Is(err, errAlreadyStored) {
			return nil // Accepted before: the leader knows of it, or it has ended.
		}
		if errors.Is(err, ccstore.ErrInDoubt) {
			return err
		}
		return &Refusal{Reason: errors.Mark(err, ccwork.ErrStore), RetryAfterMs: jitterRetryAfter(storeRetryAfterMs)}
	}
	p.stateCache.merge(j.ID, cccell.Queued, p.now())
	p.notifier.job(j)
	return nil
}

// jitterRetryAfter spreads returns over the second half of a time and as much beyond it, so that they don't come together.
func jitterRetryAfter(afterMs int64) int64 {
	return afterMs/2 + rand.Int64N(afterMs+1)
}

// Status returns the state of a job. It fails with ErrNoJob or ErrStateUnknown.
func (p *Process) Status(ctx context.Context, id string) (cccell.State, error) {
	s, known := p.stateCache.state(id)
	_, at := p.stateCache.pendingJobs("")
	if known && (s.Final() || p.leading() != nil || p.now()-at < maxStateAgeMs || p.cfg.Store.Lost()) {
		return s, nil
	}
	stored, err := p.readState(ctx, id)
	if err != nil {
		if known {
			return s, nil
		}
		return "", err
	}
	p.stateCache.merge(id, stored, p.now())
	if known && !stored.Final() {
		return s, nil
	}
	return stored, nil
}

// readState reads the state of a job from the store.
func (p *Process) readState(ctx context.Context, id string) (cccell.State, error) {
	item, err := p.cfg.Store.Get(ctx, prefixProgress+id)
	if err == nil {
		var pr cccell.Progress
		if err := decode(item.Key, item.Value, &pr); err != nil {
			return "", err
		}
		if pr.State.Final() {
			return pr.State, nil
		}
		return cccell.Running, nil
	}
	if !errors.Is(err, ErrNoKey) {
		return "", errors.Mark(err, ErrStateUnknown)
	}
	if _, err = p.cfg.Store.Get(ctx, prefixJobs+id); err == nil {
		return cccell.Queued, nil
	}
	if errors.Is(err, ErrNoKey) {
		return "", ErrNoJob
	}
	return "", errors.Mark(err, ErrStateUnknown)
}

// Cancel cancels a job: it returns nil once the store has the request, or the job has ended. It fails with ErrNoJob or
// ErrStateUnknown.
func (p *Process) Cancel(ctx context.Context, id string) error {
	s, known := p.stateCache.state(id)
	if known && s.Final() {
		return nil
	}
	if !known {
		stored, err := p.readState(ctx, id)
		if err != nil {
			return err
		}
		if stored.Final() {
			p.stateCache.merge(id, stored, p.now())
			return nil
		}
	}
	if err := p.storeCancel(ctx, id); err != nil {
		p.cfg.Log.Info("cancel not kept", "Job", id, "StoreAgeMs", p.cfg.Store.AgeMs(), "Error", err)
		return errors.Mark(err, ErrStateUnknown)
	}
	p.notifier.cancel(id)
	p.cfg.Log.Info("cancel accepted", "Job", id)
	return nil
}

// storeCancel writes a request to cancel, through a fellow while the store is lost here. The same write again does no
// harm, whatever became of the first.
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

// Pending returns the number of accepted jobs of a queue that have not begun. It fails with ErrStateUnknown.
func (p *Process) Pending(queue string) (int, error) {
	n, at := p.stateCache.pendingJobs(queue)
	if at == 0 || p.now()-at > maxPendingAgeMs {
		return 0, ErrStateUnknown
	}
	return n, nil
}
