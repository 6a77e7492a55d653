package cccontrol

// The cost of membership grows with the number of processes: each calls the leader, and each reads the list of all. So both go
// slower as there are more. Load pattern: hundreds of entry VMs around one leader.

const (
	// beatMembers is the number of members up to which a leader answers each within syncWaitMs: a call costs it about 130
	// microseconds, so that 100 members take a tenth of a core.
	beatMembers = 100
	// gapMemberMs lengthens the least time between two answers to a fellow by the millisecond for each member, so that changes reach
	// all of them with at most 1,000 answers a second.
	gapMemberMs ms = 1
	// pollMemberMs lengthens the time between two reads of the members: an entry has 200 bytes, and 6 KB a second are allowed.
	pollMemberMs ms = 35
)

// startMemberMs is the time for each member that a new leader may be silent: all of them call it at once and copy all jobs, and it reads
// every worker. A member costs it about 2 ms at the processor share of a large VM.
const startMemberMs ms = 3

// graceMs returns how long a new leader of so many members may be silent.
func graceMs(members int) ms {
	return startMemberMs * ms(members)
}

// heartbeatMs returns how long a leader of so many members lets one wait when nothing changes.
func heartbeatMs(members int) ms {
	return max(syncWaitMs, syncWaitMs*ms(members)/beatMembers)
}

// stretchMs returns how much longer than the shortest a heartbeat is. Times that are given for the shortest one grow by it.
func stretchMs(heartbeat ms) ms {
	return max(heartbeat-syncWaitMs, 0)
}

// answerGapMs returns the least time between two answers to one of so many members.
func answerGapMs(members int) ms {
	return max(syncGapMs, gapMemberMs*ms(members))
}

// pollGapMs returns the time between two reads of so many members.
func pollGapMs(members int) ms {
	return max(memberPollMs, pollMemberMs*ms(members))
}

// termAuthorityMs returns how long a leader of so many members goes on after it was last confirmed. A fellow vouches for the time of
// its last answer but one.
func termAuthorityMs(members int) ms {
	return authorityMs + 2*stretchMs(heartbeatMs(members))
}
