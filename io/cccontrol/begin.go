package cccontrol

import (
	"context"
	"math"
	"time"

	"coriandercross/core/ccadmit"
	"coriandercross/core/cccell"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// While the store is slow or does not reply, the leader runs jobs whose submissions are still being written; see
// ccadmit. The process that received a submission goes on writing it, also after its caller has left, and the leader
// writes those that it has run for a while without hearing that they are stored.

const (
	// beginTimeoutMs is the timeout of a call that asks the leader to run a job.
	beginTimeoutMs ms = 300
	// storeBegunAfterMs is the time that a job is unstored before the leader writes it: the process that received it
	// may be lost.
	storeBegunAfterMs ms = 1000
	// storeBegunTimeoutMs bounds such a write.
	storeBegunTimeoutMs ms = 2000
)

// errTermEnded reports a term that ended while the leader was asked to run a job: it may have begun the job.
var errTermEnded = errors.New("term ended, and the job may have been begun")

// waitStored blocks until a job is in the store, or until its caller has to be answered. It fails as submitter.submit
// does. The write of a job that a leader runs goes on after that.
func (p *Process) waitStored(ctx context.Context, j *cccell.Job, s *ccadmit.Submission, sub *submission) error {
	s.BeginAfterMs = ccadmit.BeginAfter(p.cfg.Store.UsualWriteMs())
	timer := time.NewTimer(s.BeginAfterMs.Duration())
	defer timer.Stop()
	if p.cfg.Store.Lost() {
		go func() { sub.done <- p.submitThroughLeader(ctx, sub) }()
	} else {
		p.submitter.add(sub)
	}
	var failure error // The outcome of a write that is not repeated.
	for {
		select {
		case err := <-sub.done:
			if !errors.Is(err, ccstore.ErrUnavailable) && !errors.Is(err, ccstore.ErrInDoubt) {
				return err
			}
			failure = err
			s.InDoubt = s.InDoubt || errors.Is(err, ccstore.ErrInDoubt)
			sub.inDoubt = s.InDoubt
		case <-timer.C:
		case <-ctx.Done():
			p.notifyWhenStored(j, s, sub, failure)
			return errors.Mark(ctx.Err(), ccstore.ErrInDoubt)
		}
		now := p.now()
		if _, team, known := p.stateCache.job(j.ID); known {
			p.notifyWhenStored(j, s, sub, failure)
			return &alreadyStored{owner: cccell.Owner{Team: team}} // Another process, or the leader, has written it.
		}
		p.requestBegin(ctx, j, s, sub, failure != nil || p.cfg.Store.Lost(), now)
		switch {
		case failure != nil && s.BegunBy == 0:
			p.notifyWhenStored(j, s, sub, failure)
			return failure
		case failure != nil:
			p.submitter.add(sub)
			failure = nil
		case now >= s.AnswerAt() && s.BegunBy != 0:
			p.notifyWhenStored(j, s, sub, failure)
			return errors.Wrap(ccstore.ErrInDoubt, "the job runs, but is not stored yet")
		}
		timer.Reset(ccadmit.RecheckMs.Duration())
	}
}

// requestBegin asks the leader, which may be this process, to run a job that is not stored yet, if it is time to.
func (p *Process) requestBegin(ctx context.Context, j *cccell.Job, s *ccadmit.Submission, sub *submission, storeLost bool, now ms) {
	leader, repliedAt := p.currentLeader()
	l := p.leading()
	if p.cfg.StoreBeforeStart || (l == nil && (repliedAt == 0 || now-repliedAt > p.isolationTimeoutMs())) || !s.BeginDue(leader.Token, storeLost, now) {
		return
	}
	in := &ccpeer.BeginRequest{Job: j, Begun: sub.newFor != leader.Token, Token: leader.Token}
	var out *ccpeer.BeginReply
	var err error
	if l != nil {
		out, err = p.Begin(ctx, in)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, beginTimeoutMs.Duration())
		defer cancel()
		out, err = p.cfg.Peers.Begin(callCtx, leader.Address, in)
	}
	switch {
	case errors.Is(err, ccpeer.ErrUnreachable):
		return
	case err != nil:
		// The leader may run the job all the same: a refusal could be untrue.
		s.InDoubt, s.AskedInVain = true, true
		p.logLimited("begin not confirmed", "Job", j.ID, "Leader", leader.VM, "Error", err)
	case out.Begun:
		s.BegunBy = leader.Token
		sub.persistent.Store(true)
	}
}

// notifyWhenStored notifies the leader of a job that it runs once the job is stored, after the caller was answered. Until then
// each new leader is told that the job may have begun. failure is the outcome of the last write if that is not repeated; the
// leader then writes the job.
func (p *Process) notifyWhenStored(j *cccell.Job, s *ccadmit.Submission, sub *submission, failure error) {
	if !s.MayHaveBegun() {
		return
	}
	if failure != nil || s.BegunBy == 0 {
		p.notifier.addUnstored(j.ID, p.now()+unstoredKeptMs)
		return
	}
	p.notifier.addUnstored(j.ID, math.MaxInt64)
	go func() {
		err := <-sub.done
		p.notifier.removeUnstored(j.ID)
		if err != nil {
			p.notifier.addUnstored(j.ID, p.now()+unstoredKeptMs)
			return
		}
		p.stored(j, sub.newFor)
		p.logLimited("hand-in stored after its answer", "Job", j.ID, "AfterMs", p.now()-s.ArrivedAt)
	}()
}

// stored records that a job is in the store and notifies the leader. newFor is submission.newFor.
func (p *Process) stored(j *cccell.Job, newFor int64) {
	p.stateCache.merge(j.ID, j.Team, cccell.Queued, p.now())
	p.notifier.job(j, newFor)
}

// Begin implements ccpeer.CellHandler: the leader runs a job that is not stored yet. It fails with errTermEnded, and when ctx
// ends, if it may run the job.
func (p *Process) Begin(ctx context.Context, in *ccpeer.BeginRequest) (*ccpeer.BeginReply, error) {
	l := p.leading()
	if l == nil {
		return &ccpeer.BeginReply{}, nil
	}
	begun := make(chan bool, 1)
	l.post(func(now ms) { begun <- l.begin(in, now) })
	select {
	case ok := <-begun:
		return &ccpeer.BeginReply{Begun: ok}, nil
	case <-l.ended:
		return nil, errTermEnded
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// begin adds a job to the cell that is not stored yet. It returns false if the job will not run before it is stored.
func (l *leadership) begin(in *ccpeer.BeginRequest, now ms) bool {
	if l.p.stateCache.ended(in.Job.ID) {
		return true // It has ended, and the sender will learn it.
	}
	if now >= l.cell.Authority() || l.p.cfg.StoreBeforeStart {
		return false
	}
	return l.cell.AddUnstored(in.Job, in.Begun || in.Token != l.token, now, unixNow())
}

// storeBegun writes the jobs that have been unstored for storeBegunAfterMs.
func (l *leadership) storeBegun(now ms) {
	p := l.p
	p.cfg.Metrics.unstored.Set(float64(l.cell.UnstoredCount()))
	if p.cfg.Store.Lost() {
		return
	}
	for _, j := range l.cell.Unstored(now - storeBegunAfterMs) {
		if l.storing[j.ID] {
			continue
		}
		l.storing[j.ID] = true
		go func() {
			ctx, cancel := context.WithTimeout(l.ctx, storeBegunTimeoutMs.Duration())
			defer cancel()
			err := p.submitter.submit(ctx, j, p.now()+storeBegunTimeoutMs)
			l.post(func(now ms) { l.onBegunStored(j, err, now) })
		}()
	}
}

// onBegunStored handles the outcome of a write by storeBegun.
func (l *leadership) onBegunStored(j *cccell.Job, err error, now ms) {
	delete(l.storing, j.ID)
	var stored *alreadyStored
	switch {
	case err == nil, errors.As(err, &stored) && !stored.ended && stored.owner.Team == j.Team:
		l.cell.AddJob(j, now, unixNow())
	case stored != nil:
		l.cell.DropUnstored(j.ID, now)
	}
}
