package cccontrol

import "sync"

// callerTransitMs is the longest time for which a submission may be on its way: an opening packet that is lost is sent again after
// a second.
const callerTransitMs ms = 1000

// soleLeader holds the last leader of which a process knows that no leader before it has authority any more. Its methods may be
// called from any goroutine.
type soleLeader struct {
	mu    sync.Mutex
	token int64
	// since is when the process learned it.
	since ms
}

// learn records that only the leader with a token, or a later one, has authority.
func (s *soleLeader) learn(token int64, now ms) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token > s.token {
		s.token, s.since = token, now
	}
}

// newFor returns the token of the only leader that can have started tasks of a job, 0 if that is not known. usedMs is the time since
// its caller first submitted it, at any process, 0 if that was at this one.
func (s *soleLeader) newFor(usedMs, now ms) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if usedMs > 0 && now-usedMs-callerTransitMs < s.since {
		return 0 // A prior leader may have started some for a process that is lost.
	}
	return s.token
}
