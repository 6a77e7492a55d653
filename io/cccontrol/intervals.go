package cccontrol

// The cost of membership grows with the number of processes: each calls the leader, and each reads the list of all. So both go
// slower as there are more. Load pattern: hundreds of entry VMs around one leader.

const (
	// baseHeartbeatMembers is the number of members up to which a leader answers each within minHeartbeatMs: a call costs it about 130
	// microseconds, so that 100 members take a tenth of a core.
	baseHeartbeatMembers = 100
	// replyIntervalPerMemberMs lengthens the least time between two answers to a fellow by the millisecond for each member, so that changes reach
	// all of them with at most 1,000 answers a second.
	replyIntervalPerMemberMs ms = 1
	// memberPollPerMemberMs lengthens the time between two reads of the members: an entry has 200 bytes, and 6 KB a second are allowed.
	memberPollPerMemberMs ms = 35
)

// startupPerMemberMs is the time for each member that a new leader may be silent: all of them call it at once and copy all jobs, and it reads
// every worker. A member costs it about 2 ms at the processor share of a large VM.
const startupPerMemberMs ms = 3

// startupGraceMs returns how long a new leader of so many members may be silent.
func startupGraceMs(members int) ms {
	return startupPerMemberMs * ms(members)
}

// heartbeatMs returns how long a leader of so many members lets one wait when nothing changes.
func heartbeatMs(members int) ms {
	return max(minHeartbeatMs, minHeartbeatMs*ms(members)/baseHeartbeatMembers)
}

// extraHeartbeatMs returns how much longer than the shortest a heartbeat is. Times that are given for the shortest one grow by it.
func extraHeartbeatMs(heartbeat ms) ms {
	return max(heartbeat-minHeartbeatMs, 0)
}

// replyIntervalMs returns the least time between two answers to one of so many members.
func replyIntervalMs(members int) ms {
	return max(minReplyIntervalMs, replyIntervalPerMemberMs*ms(members))
}

// memberPollIntervalMs returns the time between two reads of so many members.
func memberPollIntervalMs(members int) ms {
	return max(minMemberPollMs, memberPollPerMemberMs*ms(members))
}

// termAuthorityMs returns how long a leader of so many members goes on after it was last confirmed. A fellow vouches for the time of
// its last answer but one.
func termAuthorityMs(members int) ms {
	return minAuthorityMs + 2*extraHeartbeatMs(heartbeatMs(members))
}
