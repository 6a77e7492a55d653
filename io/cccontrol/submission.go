package cccontrol

import (
	"context"
	"sync"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

const (
	// submitBatch is the number of jobs in one write: three rows each, of the 32 that the store takes.
	submitBatch = 10
	// submitTimeout bounds one write of a hand-in: twice the answer of a slow store, which takes 240 ms.
	submitTimeout = 500 * time.Millisecond
)

// submission is a job that waits for its write.
type submission struct {
	job  *cccell.Job
	data []byte
	// deadline is when the caller has to have an answer.
	deadline ms
	// inDoubt is true when a write of the job may be carried out later.
	inDoubt bool
	done    chan error
}

// submitter keeps jobs in the store, several in one write.
type submitter struct {
	p       *Process
	mu      sync.Mutex
	waiting []*submission
	running bool
}

// newSubmitter returns an intake.
func newSubmitter(p *Process) *submitter {
	return &submitter{p: p}
}

// errAlreadyStored reports a job that the store has already; it may have ended long ago.
var errAlreadyStored = errors.New("job is kept already")

// submit writes a job and returns when the store has it. It fails with errAlreadyStored when the store had it before, with
// ccstore.ErrUnavailable when the job is certainly not kept, and with ccstore.ErrInDoubt when it may be.
func (in *submitter) submit(ctx context.Context, j *cccell.Job, until ms) error {
	h := &submission{job: j, data: encode(j), deadline: until, done: make(chan error, 1)}
	in.mu.Lock()
	in.waiting = append(in.waiting, h)
	if !in.running {
		in.running = true
		go in.run()
	}
	in.mu.Unlock()
	select {
	case err := <-h.done:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ccstore.ErrInDoubt)
	}
}

// run writes batches until nothing waits.
func (in *submitter) run() {
	for {
		in.mu.Lock()
		n := min(len(in.waiting), submitBatch)
		if n == 0 {
			in.running = false
			in.mu.Unlock()
			return
		}
		batch := append([]*submission(nil), in.waiting[:n]...)
		in.waiting = append(in.waiting[:0:0], in.waiting[n:]...)
		in.mu.Unlock()
		again := in.write(batch)
		in.mu.Lock()
		in.waiting = append(again, in.waiting...)
		in.mu.Unlock()
	}
}

// write writes a batch and returns the jobs that have to be written again.
func (in *submitter) write(batch []*submission) []*submission {
	t := &Txn{}
	for _, h := range batch {
		t.If = append(t.If, Condition{Key: prefixJobs + h.job.ID}, Condition{Key: prefixProgress + h.job.ID})
		t.Puts = append(t.Puts, Put{Key: prefixJobs + h.job.ID, Value: h.data})
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	_, err := in.p.cfg.Store.Write(ctx, t)
	var conflict *Conflict
	if errors.As(err, &conflict) {
		return resolveConflict(batch, conflict)
	}
	if err == nil {
		for _, h := range batch {
			h.done <- nil
		}
		return nil
	}
	doubt := errors.Is(err, ccstore.ErrInDoubt)
	now := in.p.now()
	var again []*submission
	for _, h := range batch {
		h.inDoubt = h.inDoubt || doubt
		switch {
		case !h.inDoubt:
			h.done <- err
		case now+retryDelayMs < h.deadline:
			again = append(again, h) // The same write again tells what became of the first.
		default:
			h.done <- errors.Mark(err, ccstore.ErrInDoubt)
		}
	}
	if len(again) > 0 {
		time.Sleep(jitter(retryDelayMs).Duration())
	}
	return again
}

// resolveConflict answers the jobs that the store has, and returns the others.
func resolveConflict(batch []*submission, c *Conflict) []*submission {
	found := map[string]bool{}
	for _, item := range c.Found {
		if item.Revision > 0 {
			found[item.Key] = true
		}
	}
	var again []*submission
	for _, h := range batch {
		if found[prefixJobs+h.job.ID] || found[prefixProgress+h.job.ID] {
			if h.inDoubt {
				h.done <- nil // An earlier try of this hand-in was carried out.
			} else {
				h.done <- errAlreadyStored
			}
			continue
		}
		again = append(again, h)
	}
	return again
}
