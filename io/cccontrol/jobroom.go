package cccontrol

import (
	"sync"
	"time"

	"coriandercross/core/cccell"
	"coriandercross/core/ccintake"
)

// jobRoom is what this process knows of the room for large jobs. Its methods may be called from any goroutine.
type jobRoom struct {
	mu   sync.Mutex
	jobs ccintake.Jobs
}

// fullRetryAfterMs is the mean of Refusal.RetryAfterMs for a job for which there is no room: others have to end first.
const fullRetryAfterMs = 5000

// accept takes room for a job and reports whether there is any. settle is called with the result of the submission. What
// was accepted, or may have been, counts here until every leader that this process tells of it counts it.
func (r *jobRoom) accept(j *cccell.Job) (settle func(accepted bool), ok bool) {
	n := j.LargeBytes()
	if n == 0 {
		return func(bool) {}, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.jobs.Accept(n) {
		return nil, false
	}
	forget := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.jobs.Forget(n)
	}
	return func(accepted bool) {
		if !accepted {
			forget()
			return
		}
		time.AfterFunc(resendPeriodMs.Duration(), forget)
	}, true
}

// learn records what the leader has told.
func (r *jobRoom) learn(limit, held int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs.Learn(limit, held)
}

// setOwn changes the memory of this process for jobs.
func (r *jobRoom) setOwn(own int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs.SetOwn(own)
}

// own returns the memory of this process for jobs.
func (r *jobRoom) own() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs.Own()
}

// known returns the least memory for jobs, 0 for no bound, and what they occupy.
func (r *jobRoom) known() (limit, held int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs.Known()
}

// leastJobMemory returns the least memory for jobs of the processes that have called in this term, 0 for no bound.
func (d *adviceDispatcher) leastJobMemory(own int64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := own
	for _, s := range d.peers {
		if n := s.jobMemory.Load(); n > 0 && (out == 0 || n < out) {
			out = n
		}
	}
	return out
}
