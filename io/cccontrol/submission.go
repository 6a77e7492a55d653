package cccontrol

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

const (
	// submitBatch is the largest number of jobs in one transaction. A job takes three rows (two conditions and one
	// write), and the store accepts 32 rows.
	submitBatch = 10
	// submitTimeout is the timeout of one transaction: twice the 240 ms in which a slow store replies.
	submitTimeout = 500 * time.Millisecond
)

// submission is a job that is to be written to the store.
type submission struct {
	job  *cccell.Job
	data []byte
	// deadline is the time after which the write is not retried, so that the caller gets a reply in time.
	deadline ms
	// newFor is the token of the only leader that can have started tasks of the job: its prior leaders had lost their
	// authority before the caller first submitted it. It is 0 if that is not known.
	newFor int64
	// inDoubt is true once a write of the job has failed with an unknown outcome.
	inDoubt bool
	// replaces is the revision of a record by which another team has withdrawn a job of the same ID, 0 for none.
	replaces int64
	// persistent is true once a leader runs the job: it is then written, however long that takes.
	persistent atomic.Bool
	// done receives the result.
	done chan error
}

// submitter writes submitted jobs to the store, several in one transaction.
type submitter struct {
	p       *Process
	mu      sync.Mutex
	pending []*submission
	running bool
}

func newSubmitter(p *Process) *submitter {
	return &submitter{p: p}
}

// alreadyStored is the error of a job that was in the store before it was submitted. It may have ended already.
type alreadyStored struct {
	// owner is the owner of the stored job, the zero value if it belongs to no team.
	owner cccell.Owner
	// ended is true if the job has ended, withdrawn if its team has cancelled it before it was stored.
	ended, withdrawn bool
}

// Error implements error.
func (*alreadyStored) Error() string {
	return "job is already stored"
}

// submit writes a job to the store and blocks until the outcome is known or the deadline has passed. It fails with
// *alreadyStored if the job was in the store before, with ccstore.ErrUnavailable if the job was certainly not
// written, and with ccstore.ErrInDoubt if it may have been, or may still be.
func (s *submitter) submit(ctx context.Context, j *cccell.Job, deadline ms) error {
	sub := newSubmission(j, deadline)
	s.add(sub)
	select {
	case err := <-sub.done:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ccstore.ErrInDoubt)
	}
}

// newSubmission returns the submission of a job that is written until the deadline.
func newSubmission(j *cccell.Job, deadline ms) *submission {
	return &submission{job: j, data: encode(j), deadline: deadline, done: make(chan error, 1)}
}

// add queues a submission.
func (s *submitter) add(sub *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, sub)
	if !s.running {
		s.running = true
		go s.run()
	}
}

// run writes batches until no submission is left.
func (s *submitter) run() {
	for {
		s.mu.Lock()
		n := distinct(s.pending, submitBatch)
		if n == 0 {
			s.running = false
			s.mu.Unlock()
			return
		}
		batch := append([]*submission(nil), s.pending[:n]...)
		s.pending = append(s.pending[:0:0], s.pending[n:]...)
		s.mu.Unlock()
		retry := s.write(batch)
		s.mu.Lock()
		s.pending = append(retry, s.pending...)
		s.mu.Unlock()
	}
}

// distinct returns the length of the longest prefix, up to limit, in which no two submissions have the same ID. Of two
// such submissions, which may be of different teams, the second has to find the first in the store. A submission that replaces
// a record takes one row more, so it is written alone.
func distinct(pending []*submission, limit int) int {
	seen := map[string]bool{}
	for i, sub := range pending {
		if i == limit || seen[sub.job.ID] || (sub.replaces != 0 && i > 0) {
			return i
		}
		if sub.replaces != 0 {
			return 1
		}
		seen[sub.job.ID] = true
	}
	return len(pending)
}

// write writes a batch in one transaction, and returns the submissions that have to be retried.
func (s *submitter) write(batch []*submission) []*submission {
	t := &Txn{}
	for _, sub := range batch {
		t.If = append(t.If, Condition{Key: prefixJobs + sub.job.ID}, Condition{Key: prefixProgress + sub.job.ID, Revision: sub.replaces})
		if sub.replaces != 0 {
			t.Remove = append(t.Remove, prefixProgress+sub.job.ID)
		}
		t.Puts = append(t.Puts, Put{Key: prefixJobs + sub.job.ID, Value: sub.data})
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	_, err := s.p.cfg.Store.Write(ctx, t)
	var conflict *Conflict
	if errors.As(err, &conflict) {
		return s.resolveConflict(batch, conflict)
	}
	if err == nil {
		for _, sub := range batch {
			sub.done <- nil
		}
		return nil
	}
	inDoubt := errors.Is(err, ccstore.ErrInDoubt)
	now := s.p.now()
	var retry []*submission
	for _, sub := range batch {
		sub.inDoubt = sub.inDoubt || inDoubt
		switch {
		case sub.persistent.Load():
			retry = append(retry, sub)
		case !sub.inDoubt:
			sub.done <- err
		case now+retryDelayMs < sub.deadline:
			retry = append(retry, sub) // If the first write was carried out, the retry fails with a conflict.
		default:
			sub.done <- errors.Mark(err, ccstore.ErrInDoubt)
		}
	}
	if len(retry) > 0 {
		time.Sleep(jitter(retryDelayMs).Duration())
	}
	return retry
}

// resolveConflict finishes the submissions whose jobs are in the store, and returns the others to be retried.
func (s *submitter) resolveConflict(batch []*submission, c *Conflict) []*submission {
	found := map[string]*Item{}
	for i := range c.Found {
		if c.Found[i].Revision > 0 {
			found[c.Found[i].Key] = &c.Found[i]
		}
	}
	var retry []*submission
	for _, sub := range batch {
		job, progress := found[prefixJobs+sub.job.ID], found[prefixProgress+sub.job.ID]
		if job == nil && progress == nil {
			retry = append(retry, sub)
			continue
		}
		stored := s.storedOwner(job, progress)
		switch sameTeam := stored.owner.Team == sub.job.Team; {
		case stored.withdrawn && !sameTeam:
			sub.replaces = progress.Revision
			retry = append(retry, sub)
		case sub.inDoubt && job != nil && bytes.Equal(job.Value, sub.data):
			sub.done <- nil // An earlier write of this submission was carried out.
		default:
			sub.done <- stored
		}
	}
	return retry
}

// storedOwner returns the owner of a job whose submission or progress, or both, are in the store, and whether the job
// has ended. Either may be nil.
func (s *submitter) storedOwner(job, progress *Item) *alreadyStored {
	var out alreadyStored
	var err error
	if job != nil {
		out.owner, err = jobOwner(job)
	} else {
		var state storedState
		state, err = decodeState(progress)
		out = alreadyStored{state.owner, state.state.Final(), state.withdrawn}
	}
	if err != nil {
		s.p.cfg.Log.Error("owner of a stored job can't be decoded", "Error", err)
	}
	return &out
}
