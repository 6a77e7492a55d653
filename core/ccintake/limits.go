package ccintake

// Limits are the shares of a process's memory and descriptors that its clients get.
type Limits struct {
	// CallerConns, OperatorConns and ReadinessConns bound the connections of the listeners of that kind, PeerConns those of
	// peers.
	CallerConns, OperatorConns, ReadinessConns, PeerConns int
	// BodyBytes bounds what request bodies occupy in all their forms.
	BodyBytes int64
}

const (
	// RequestMemoryShare is the share of the process's memory that requests may occupy unless the settings say otherwise:
	// as much again is needed for what the collector has not freed yet, and the rest is for the state of the process.
	RequestMemoryShare = 0.25
	// JobMemoryShare is the share of the process's memory that accepted jobs may occupy beyond what ordinary ones do, unless
	// the settings say otherwise.
	JobMemoryShare = 0.25
	// ConnBytes is what one connection occupies besides bodies: buffers, stacks, a header, and what is unread in the
	// sockets of this one and of one that waits to be accepted.
	ConnBytes = 64 << 10
	// connMemoryShare bounds the part of the memory for requests that the connections of callers may occupy.
	connMemoryShare = 0.5
	// callerSocketShare is the share of a process's sockets that callers get. Workers have half of them.
	callerSocketShare = 0.25
	// peerRatio is the number of connections of peers for one of a caller.
	peerRatio = 0.5
	// maxOperatorConns and maxReadinessConns are far above the number of operators and of balancers.
	maxOperatorConns  = 16
	maxReadinessConns = 32
	// minConns is the least that a listener gets.
	minConns = 8
)

// CallerConns returns how many connections of callers fit into a number of sockets.
func CallerConns(sockets int) int {
	return int(float64(sockets) * callerSocketShare)
}

// NewLimits divides memory for requests, in bytes. callers is the number of connections of callers that there may be if
// the memory allows it.
func NewLimits(memory int64, callers int) Limits {
	l := Limits{
		CallerConns:   max(min(callers, int(float64(memory)*connMemoryShare)/ConnBytes), minConns),
		PeerConns:     max(int(float64(callers)*peerRatio), minConns),
		OperatorConns: maxOperatorConns, ReadinessConns: maxReadinessConns,
	}
	l.BodyBytes = max(memory-int64(l.CallerConns+l.OperatorConns+l.ReadinessConns)*ConnBytes, 0)
	return l
}
