package ccsuccession

// Failure is what is wrong with a leader, as one of its followers sees it.
type Failure int

const (
	// Ended means that the leader's process is known not to lead any more, or that there is no leader.
	Ended Failure = iota
	// Dead means that the VM refused the connection, or that it broke and a second call failed.
	Dead
	// Silent means that a call timed out.
	Silent
	// NoStore means that the leader does not reach the store while this process does.
	NoStore
	// Resigns means that the leader asks for a successor.
	Resigns
)

const (
	// maxVetoedMisses is the number of failed calls from which the contact of other processes with the leader no longer
	// prevents a takeover by a process that is not slow, nor the slowness of this process one of a leader that no other
	// process has contact with.
	maxVetoedMisses = 6
	// maxSlowMisses is the number of failed calls up to which a process that is slow, and to which no other replies in
	// time, prevents its own takeover.
	maxSlowMisses = 30
	// minUnconfirmedMisses is the number of failed calls from which a leader is replaced by a process that reaches no
	// other process either.
	minUnconfirmedMisses = 3
)

// Evidence is what a follower knows when it is about to replace a leader.
type Evidence struct {
	Failure Failure
	// Misses is the number of consecutive calls that failed.
	Misses int
	// ForMs is the time since the first of them.
	ForMs ms
	// OwnSlow is true while this process is slow itself: its timers may have run out before replies that had arrived
	// were read.
	OwnSlow bool
	// Asked is the number of other processes that were asked for their last contact with the leader, Answered the number
	// of those that replied and are not slow themselves, and Reached the number of all that had a reply from the leader
	// recently.
	Asked, Answered, Reached int
	// Patience is Terms.Patience.
	Patience ms
}

// Reasons not to replace a leader, as they are logged.
const (
	keepReached     = "still replies to peers"
	keepOwnSlow     = "this process is slow itself"
	keepUnconfirmed = "no peer replies to this process"
	keepPatience    = "leaders have changed too often"
)

// NeedsContacts reports whether other processes should be asked for their contact with the leader: its process may be
// alive.
func (e *Evidence) NeedsContacts() bool {
	return (e.Failure == Dead || e.Failure == Silent) && (e.Misses < maxVetoedMisses || e.OwnSlow)
}

// MaxContactAge returns the age up to which a reply of the leader to another process shows that it is alive. It is at most
// usual. When the leader's connection broke, a reply from before that shows nothing; one that is younger than heartbeat, the
// time between two replies, may be from after it.
func (e *Evidence) MaxContactAge(heartbeat, usual ms) ms {
	if e.Failure == Dead {
		return min(usual, max(e.ForMs, heartbeat))
	}
	return usual
}

// Keep returns why a leader should not be replaced now, "" if it should.
func (e *Evidence) Keep() string {
	if e.Failure == Ended || e.Failure == Resigns {
		return ""
	}
	switch {
	case e.NeedsContacts() && e.Reached > 0:
		return keepReached
	case e.Failure == Dead:
		return ""
	case e.Failure == Silent && e.OwnSlow && (e.Misses < maxVetoedMisses || e.Answered == 0 && e.Misses < maxSlowMisses):
		return keepOwnSlow
	case e.Failure == Silent && e.Asked > 0 && e.Answered == 0 && e.Misses < minUnconfirmedMisses:
		return keepUnconfirmed
	case e.ForMs < e.Patience:
		return keepPatience
	}
	return ""
}
