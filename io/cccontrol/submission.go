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
	// intakeBatch is the number of jobs in one write: three rows each, of the 32 that the store takes.
	intakeBatch = 10
	// writeTimeout bounds one write of a hand-in: twice the answer of a slow store, which takes 240 ms.
	writeTimeout = 500 * time.Millisecond
)

// handIn is a job that waits for its write.
type handIn struct {
	job  *cccell.Job
	data []byte
	// until is when the caller has to have an answer.
	until ms
	// tried is true when a write of the job may be carried out later.
	tried bool
	done  chan error
}

// intake keeps jobs in the store, several in one write.
type intake struct {
	p       *Process
	mu      sync.Mutex
	waiting []*handIn
	running bool
}

// newIntake returns an intake.
func newIntake(p *Process) *intake {
	return &intake{p: p}
}

// errKept reports a job that the store has already; it may have ended long ago.
var errKept = errors.New("job is kept already")

// keep writes a job and returns when the store has it. It fails with errKept when the store had it before, with
// ccstore.ErrUnavailable when the job is certainly not kept, and with ccstore.ErrInDoubt when it may be.
func (in *intake) keep(ctx context.Context, j *cccell.Job, until ms) error {
	h := &handIn{job: j, data: encode(j), until: until, done: make(chan error, 1)}
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
func (in *intake) run() {
	for {
		in.mu.Lock()
		n := min(len(in.waiting), intakeBatch)
		if n == 0 {
			in.running = false
			in.mu.Unlock()
			return
		}
		batch := append([]*handIn(nil), in.waiting[:n]...)
		in.waiting = append(in.waiting[:0:0], in.waiting[n:]...)
		in.mu.Unlock()
		again := in.write(batch)
		in.mu.Lock()
		in.waiting = append(again, in.waiting...)
		in.mu.Unlock()
	}
}

// write writes a batch and returns the jobs that have to be written again.
func (in *intake) write(batch []*handIn) []*handIn {
	t := &Txn{}
	for _, h := range batch {
		t.If = append(t.If, Condition{Key: prefixJobs + h.job.ID}, Condition{Key: prefixProgress + h.job.ID})
		t.Puts = append(t.Puts, Put{Key: prefixJobs + h.job.ID, Value: h.data})
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	_, err := in.p.cfg.Store.Write(ctx, t)
	var conflict *Conflict
	if errors.As(err, &conflict) {
		return settle(batch, conflict)
	}
	if err == nil {
		for _, h := range batch {
			h.done <- nil
		}
		return nil
	}
	doubt := errors.Is(err, ccstore.ErrInDoubt)
	now := in.p.now()
	var again []*handIn
	for _, h := range batch {
		h.tried = h.tried || doubt
		switch {
		case !h.tried:
			h.done <- err
		case now+retryMs < h.until:
			again = append(again, h) // The same write again tells what became of the first.
		default:
			h.done <- errors.Mark(err, ccstore.ErrInDoubt)
		}
	}
	if len(again) > 0 {
		time.Sleep(jitter(retryMs).Duration())
	}
	return again
}

// settle answers the jobs that the store has, and returns the others.
func settle(batch []*handIn, c *Conflict) []*handIn {
	found := map[string]bool{}
	for _, item := range c.Found {
		if item.Revision > 0 {
			found[item.Key] = true
		}
	}
	var again []*handIn
	for _, h := range batch {
		if found[prefixJobs+h.job.ID] || found[prefixProgress+h.job.ID] {
			if h.tried {
				h.done <- nil // An earlier try of this hand-in was carried out.
			} else {
				h.done <- errKept
			}
			continue
		}
		again = append(again, h)
	}
	return again
}

// teller tells the leader what happened here. What is lost on the way is found in the store.
type teller struct {
	p    *Process
	mu   sync.Mutex
	out  ccTell
	wake chan struct{}
	// recent holds what was told lately: a leader that is lost may not have heard it, or not have told the next one.
	recent []toldJob
}

// toldJob is a job that was told of.
type toldJob struct {
	job *cccell.Job
	at  ms
}

// retellMs is the time for which jobs are told again to a new leader; later ones are in the store when it reads.
const retellMs ms = 2500

// ccTell is what waits to be told.
type ccTell struct {
	jobs    []*cccell.Job
	cancels []string
	answers []cccell.AdviceReply
}

// newTeller returns a teller.
func newTeller(p *Process) *teller {
	return &teller{p: p, wake: make(chan struct{}, 1)}
}

// job tells of an accepted job.
func (t *teller) job(j *cccell.Job) {
	now := t.p.now()
	t.add(func(out *ccTell) {
		out.jobs = append(out.jobs, j)
		t.recent = append(t.recent, toldJob{j, now})
		for len(t.recent) > 0 && now-t.recent[0].at > retellMs {
			t.recent = t.recent[1:]
		}
	})
}

// again tells a new leader what the one before may not have handed on.
func (t *teller) again() {
	now := t.p.now()
	t.add(func(out *ccTell) {
		for _, r := range t.recent {
			if now-r.at <= retellMs {
				out.jobs = append(out.jobs, r.job)
			}
		}
	})
}

// cancel tells of a request to cancel.
func (t *teller) cancel(id string) {
	t.add(func(out *ccTell) { out.cancels = append(out.cancels, id) })
}

// answer tells of an answer of the policy service.
func (t *teller) answer(a cccell.AdviceReply) {
	t.add(func(out *ccTell) { out.answers = append(out.answers, a) })
}

// add queues something.
func (t *teller) add(f func(*ccTell)) {
	t.mu.Lock()
	f(&t.out)
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
