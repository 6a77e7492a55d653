package cccontrol

import (
	"maps"
	"slices"
	"sync"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
)

// ms is an alias that keeps signatures short.
type ms = ccclock.Millis

// stateCache holds the states of jobs and the counts of queued jobs, from which callers are answered. The leader's
// event loop writes its own cache, and the other processes replicate it with Sync calls. Methods may be called from any
// goroutine.
type stateCache struct {
	mu sync.Mutex
	// token and seq are the position: the term, and the number of the last change of that term.
	token  int64
	seq    int64
	states map[string]cccell.State
	// teams holds the teams of the jobs in states that belong to one.
	teams map[string]jobTeam
	// finalAt holds the time at which the final state of a job became known to this process.
	finalAt map[string]ms
	// excess holds the jobs that have not ended and are beyond the budgets of their teams. The next leader needs them.
	excess map[string]bool
	// recent holds the changes with the numbers seq-len(recent)+1 to seq.
	recent []cccell.StateChange
	// queued is the number of jobs that have not started, by queue.
	queued map[string]int
	// queuedAt is the time of the last update of queued, 0 for none.
	queuedAt ms
	// changed is closed, and replaced by a new channel, at each change.
	changed chan struct{}
}

// jobTeam is the team of a job.
type jobTeam struct {
	name string
	// sentIn is the term in which this process, as leader, has sent the team to the peers.
	sentIn int64
}

// maxRecentChanges is the maximum number of changes retained for replication. When there are more, only the newest half
// of that number is retained. A peer whose position is before the retained changes gets all states.
const maxRecentChanges = 4096

func newStateCache() *stateCache {
	return &stateCache{
		states: map[string]cccell.State{}, teams: map[string]jobTeam{}, finalAt: map[string]ms{}, excess: map[string]bool{},
		changed: make(chan struct{}),
	}
}

// beginTerm starts the numbering of changes for a term of this process as leader.
func (sc *stateCache) beginTerm(token int64, states []cccell.StateChange, now ms) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.token, sc.seq, sc.recent = token, 1, nil
	for _, c := range states {
		sc.setState(c, now)
	}
	sc.broadcast()
}

// apply applies the changes that the scheduler of this leader has decided on, and wakes the Sync calls that wait.
func (sc *stateCache) apply(changes []cccell.StateChange, now ms) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, c := range changes {
		if sc.setState(c, now) {
			sc.seq++
			if t, ok := sc.teams[c.Job]; ok && t.sentIn == sc.token {
				c.Team = "" // The peers have it. Bytes between regions are expensive.
			} else if ok {
				c.Team = t.name // Also in a change that does not name it.
				sc.teams[c.Job] = jobTeam{t.name, sc.token}
			}
			sc.recent = append(sc.recent, c)
		}
	}
	if len(sc.recent) > maxRecentChanges {
		sc.recent = append(sc.recent[:0:0], sc.recent[len(sc.recent)-maxRecentChanges/2:]...)
	}
	sc.broadcast()
}

// setQueuedJobs sets the number of queued jobs of each queue.
func (sc *stateCache) setQueuedJobs(queued map[string]int, now ms) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.queued, sc.queuedAt = queued, now
}

// applyReplicated applies changes received from the leader. token and seq are the position after them.
func (sc *stateCache) applyReplicated(token, seq int64, changes []cccell.StateChange, now ms) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.token, sc.seq, sc.recent = token, seq, nil
	for _, c := range changes {
		sc.setState(c, now)
	}
	sc.broadcast()
}

// setState sets the state of a job, and reports whether it changed. A final state never changes. The caller
// holds mu.
func (sc *stateCache) setState(c cccell.StateChange, now ms) bool {
	if c.Team != "" && sc.teams[c.Job].name == "" {
		sc.teams[c.Job] = jobTeam{name: c.Team}
	}
	old := sc.states[c.Job]
	if old.Final() {
		return false
	}
	changed := c.Excess && !sc.excess[c.Job]
	if changed {
		sc.excess[c.Job] = true
	}
	if old == c.State {
		return changed
	}
	sc.states[c.Job] = c.State
	if c.State.Final() {
		sc.finalAt[c.Job] = now
		delete(sc.excess, c.Job)
	}
	return true
}

// merge sets the state of a job of a team, which was read from the store or accepted by this process. It does not
// replace a known state by one that is not final, since the known one may be newer. team is empty if the job belongs to
// no team or if it is not known to which.
func (sc *stateCache) merge(job, team string, s cccell.State, now ms) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if _, known := sc.states[job]; known && !s.Final() {
		return
	}
	sc.setState(cccell.StateChange{Job: job, State: s, Team: team}, now)
}

// broadcast wakes all that wait for a change. The caller holds mu.
func (sc *stateCache) broadcast() {
	close(sc.changed)
	sc.changed = make(chan struct{})
}

// state returns the state of a job, and whether it is known.
func (sc *stateCache) state(job string) (cccell.State, bool) {
	s, _, ok := sc.job(job)
	return s, ok
}

// ended reports whether a job is known to have ended.
func (sc *stateCache) ended(job string) bool {
	s, ok := sc.state(job)
	return ok && s.Final()
}

// job returns the state of a job, its team, and whether the job is known. The team is empty if the job belongs to none,
// or if this process learned of the job from a release without teams.
func (sc *stateCache) job(job string) (cccell.State, string, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	s, ok := sc.states[job]
	return s, sc.teams[job].name, ok
}

// queuedJobs returns the number of jobs of a queue that have not started, and the time of the last update of the
// numbers, 0 for none.
func (sc *stateCache) queuedJobs(queue string) (int, ms) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.queued[queue], sc.queuedAt
}

// position returns the position of the last known change.
func (sc *stateCache) position() (token, seq int64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.token, sc.seq
}

// changesSince returns the changes after a position, or, with full set, the states of all jobs if the changes since the
// position are no longer retained or the position is of another term. It also returns the number of the last change,
// and a channel that is closed at the next change.
func (sc *stateCache) changesSince(token, seq int64) (last int64, full bool, changes []cccell.StateChange, next <-chan struct{}) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	first := sc.seq - int64(len(sc.recent))
	if token == sc.token && seq >= first && seq <= sc.seq {
		return sc.seq, false, append([]cccell.StateChange(nil), sc.recent[seq-first:]...), sc.changed
	}
	for job, s := range sc.states {
		changes = append(changes, cccell.StateChange{Job: job, State: s, Team: sc.teams[job].name, Excess: sc.excess[job]})
	}
	return sc.seq, true, changes, sc.changed
}

// excessJobs returns the jobs that a leader has found to be beyond the budgets of their teams, and that have not ended.
func (sc *stateCache) excessJobs() []string {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return slices.Collect(maps.Keys(sc.excess))
}

// expire removes final states that are older than retention. They can still be read from the store.
func (sc *stateCache) expire(retention, now ms) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for job, at := range sc.finalAt {
		if now-at > retention {
			delete(sc.finalAt, job)
			delete(sc.states, job)
			delete(sc.teams, job)
		}
	}
}
