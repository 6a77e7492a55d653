package cccontrol

import (
	"sync"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
)

// ms shortens signatures.
type ms = ccclock.Millis

// stateCache holds what callers may be told of jobs. The leader's loop writes it, fellows copy it, and
// whoever answers callers reads it. Its methods may be called from any goroutine.
type stateCache struct {
	mu     sync.Mutex
	token  int64
	seq    int64
	states map[string]cccell.State
	// finalAt holds when a final state was first known here.
	finalAt map[string]ms
	// recent holds the changes with the numbers seq-len(recent)+1 to seq.
	recent  []cccell.StateChange
	pending map[string]int
	// pendingAt is when the figures were last confirmed, 0 for never.
	pendingAt ms
	// changed is closed, and replaced, at each change.
	changed chan struct{}
}

// maxRecentChanges is the number of changes kept for fellows; one that is further behind gets everything.
const maxRecentChanges = 4096

// newStateCache returns an empty board.
func newStateCache() *stateCache {
	return &stateCache{states: map[string]cccell.State{}, finalAt: map[string]ms{}, changed: make(chan struct{})}
}

// beginTerm begins the term of this process as the leader.
func (b *stateCache) beginTerm(token int64, states []cccell.StateChange, now ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.token, b.seq, b.recent = token, 1, nil
	for _, c := range states {
		b.setState(c, now)
	}
	b.broadcast()
}

// apply takes in changes of the leader's loop.
func (b *stateCache) apply(changes []cccell.StateChange, now ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range changes {
		if b.setState(c, now) {
			b.seq++
			b.recent = append(b.recent, c)
		}
	}
	if len(b.recent) > maxRecentChanges {
		b.recent = append(b.recent[:0:0], b.recent[len(b.recent)-maxRecentChanges/2:]...)
	}
	b.broadcast()
}

// setPending takes in the leader's setPending.
func (b *stateCache) setPending(pending map[string]int, now ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending, b.pendingAt = pending, now
}

// applyReplicated takes in what a leader told.
func (b *stateCache) applyReplicated(token, seq int64, changes []cccell.StateChange, now ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.token, b.seq, b.recent = token, seq, nil
	for _, c := range changes {
		b.setState(c, now)
	}
	b.broadcast()
}

// setState changes one state. A final state stays.
func (b *stateCache) setState(c cccell.StateChange, now ms) bool {
	old := b.states[c.Job]
	if old == c.State || old.Final() {
		return false
	}
	b.states[c.Job] = c.State
	if c.State.Final() {
		b.finalAt[c.Job] = now
	}
	return true
}

// merge takes in the state of a job from the store, or of one that was accepted here.
func (b *stateCache) merge(job string, s cccell.State, now ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.states[job]; known && !s.Final() {
		return
	}
	b.setState(cccell.StateChange{Job: job, State: s}, now)
}

// broadcast tells those who wait for a change. The caller holds mu.
func (b *stateCache) broadcast() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// state returns the state of a job, and how old the leader's figures are.
func (b *stateCache) state(job string) (cccell.State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.states[job]
	return s, ok
}

// pendingJobs returns the number of jobs of a queue that have not begun, and the time of the figure.
func (b *stateCache) pendingJobs(queue string) (int, ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending[queue], b.pendingAt
}

// position returns the last change known.
func (b *stateCache) position() (token, seq int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.token, b.seq
}

// changesSince returns the changes after a position, everything when that is not known any more, and a channel that is closed
// at the next change.
func (b *stateCache) changesSince(token, seq int64) (at int64, whole bool, changes []cccell.StateChange, next <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.seq - int64(len(b.recent))
	if token == b.token && seq >= first && seq <= b.seq {
		return b.seq, false, append([]cccell.StateChange(nil), b.recent[seq-first:]...), b.changed
	}
	for job, s := range b.states {
		changes = append(changes, cccell.StateChange{Job: job, State: s})
	}
	return b.seq, true, changes, b.changed
}

// expire forgets final states that are older than keep; the store still has them.
func (b *stateCache) expire(keep, now ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for job, at := range b.finalAt {
		if now-at > keep {
			delete(b.finalAt, job)
			delete(b.states, job)
		}
	}
}
