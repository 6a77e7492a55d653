package cccontrol

// Each process calls the leader and reads the list of all members, so the cost of membership grows with the number of
// processes. The intervals in this file grow with that number to bound the cost in a cell of hundreds of entry VMs.

const (
	// baseHeartbeatMembers is the number of members up to which the heartbeat interval is minHeartbeatMs. A Sync call
	// costs the leader about 130 microseconds, so that 100 members take a tenth of a core.
	baseHeartbeatMembers = 100
	// replyIntervalPerMemberMs is the part of the least interval between replies to one peer that each member adds.
	// With 1 ms, the leader sends at most 1,000 replies a second in all.
	replyIntervalPerMemberMs ms = 1
	// memberPollPerMemberMs is the part of the interval between reads of the membership that each member adds. A record
	// has 200 bytes, so that a process reads less than 6 KB a second.
	memberPollPerMemberMs ms = 35
)

// startupPerMemberMs is the part of the startup grace period that each member adds. When a term begins, all members
// call the leader at once and copy all job states, while the leader polls every worker. On a large VM, a member costs
// the leader about 2 ms.
const startupPerMemberMs ms = 3

// startupGraceMs returns how long after the start of its term a leader may leave calls without a reply before it counts
// as failed.
func startupGraceMs(members int) ms {
	return startupPerMemberMs * ms(members)
}

// heartbeatMs returns the heartbeat interval: the time after which the leader replies to a Sync call without changes.
func heartbeatMs(members int) ms {
	return max(minHeartbeatMs, minHeartbeatMs*ms(members)/baseHeartbeatMembers)
}

// extraHeartbeatMs returns by how much a heartbeat interval exceeds minHeartbeatMs. Timeouts that are defined for the
// shortest heartbeat interval are extended by it.
func extraHeartbeatMs(heartbeat ms) ms {
	return max(heartbeat-minHeartbeatMs, 0)
}

// replyIntervalMs returns the least interval between replies to one peer.
func replyIntervalMs(members int) ms {
	return max(minReplyIntervalMs, replyIntervalPerMemberMs*ms(members))
}

// memberPollIntervalMs returns the interval between reads of the membership.
func memberPollIntervalMs(members int) ms {
	return max(minMemberPollMs, memberPollPerMemberMs*ms(members))
}

// termAuthorityMs returns the duration of a leader's authority after a confirmation. It grows by twice the extra
// heartbeat interval, since the last reply to a peer is not confirmed until the peer calls again: what is confirmed is
// the time of the last reply but one.
func termAuthorityMs(members int) ms {
	return minAuthorityMs + 2*extraHeartbeatMs(heartbeatMs(members))
}
