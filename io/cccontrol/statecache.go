package cccontrol

import (
	"sync"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
)

// ms shortens signatures.
type ms = ccclock.Millis

// board holds what callers may be told of jobs. The leader's loop writes it, fellows copy it, and
// whoever answers callers reads it. Its methods may be called from any goroutine.
type board struct {
	mu     sync.Mutex
	token  int64
	seq    int64
	states map[string]cccell.State
	// finalAt holds when a final state was first known here.
	finalAt map[string]ms
	// log holds the changes with the numbers seq-len(log)+1 to seq.
	log     []cccell.StateChange
	pending map[string]int
	// heardAt is when the figures were last confirmed, 0 for never.
	heardAt ms
	// changed is closed, and replaced, at each change.
	changed chan struct{}
}

// maxLog is the number of changes kept for fellows; one that is further behind gets everything.
const maxLog = 4096

// newBoard returns an empty board.
func newBoard() *board {
	return &board{states: map[string]cccell.State{}, finalAt: map[string]ms{}, changed: make(chan struct{})}
}

// lead begins the term of this process as the leader.
func (b *board) lead(token int64, states []cccell.StateChange, now ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.token, b.seq, b.log = token, 1, nil
	for _, c := range states {
		b.set(c, now)
	}
	b.wake()
}

// put takes in changes of the leader's loop.
func (b *board) put(changes []cccell.StateChange, now ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range changes {
		if b.set(c, now) {
			b.seq++
			b.log = append(b.log, c)
		}
	}
	if len(b.log) > maxLog {
		b.log = append(b.log[:0:0], b.log[len(b.log)-maxLog/2:]...)
	}
	b.wake()
}

// figures takes in the leader's figures.
func (b *board) figures(pending map[string]int, now ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending, b.heardAt = pending, now
}

// follow takes in what a leader told.
func (b *board) follow(token, seq int64, changes []cccell.StateChange, now ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.token, b.seq, b.log = token, seq, nil
	for _, c := range changes {
		b.set(c, now)
	}
	b.wake()
}

// set changes one state. A final state stays.
func (b *board) set(c cccell.StateChange, now ms) bool {
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

// learn takes in the state of a job from the store, or of one that was accepted here.
func (b *board) learn(job string, s cccell.State, now ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.states[job]; known && !s.Final() {
		return
	}
	b.set(cccell.StateChange{Job: job, State: s}, now)
}

// wake tells those who wait for a change. The caller holds mu.
func (b *board) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// state returns the state of a job, and how old the leader's figures are.
func (b *board) state(job string) (cccell.State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.states[job]
	return s, ok
}

// waiting returns the number of jobs of a queue that have not begun, and the time of the figure.
func (b *board) waiting(queue string) (int, ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending[queue], b.heardAt
}

// position returns the last change known.
func (b *board) position() (token, seq int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.token, b.seq
}

// since returns the changes after a position, everything when that is not known any more, and a channel that is closed
// at the next change.
func (b *board) since(token, seq int64) (at int64, whole bool, changes []cccell.StateChange, next <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.seq - int64(len(b.log))
	if token == b.token && seq >= first && seq <= b.seq {
		return b.seq, false, append([]cccell.StateChange(nil), b.log[seq-first:]...), b.changed
	}
	for job, s := range b.states {
		changes = append(changes, cccell.StateChange{Job: job, State: s})
	}
	return b.seq, true, changes, b.changed
}

// expire forgets final states that are older than keep; the store still has them.
func (b *board) expire(keep, now ms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for job, at := range b.finalAt {
		if now-at > keep {
			delete(b.finalAt, job)
			delete(b.states, job)
		}
	}
}
