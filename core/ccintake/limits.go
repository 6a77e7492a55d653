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
	// ConnBytes is what one connection occupies besides bodies: buffers, stacks, a header, and what is unread in the
	// socket.
	ConnBytes = 48 << 10
	// connMemoryShare bounds the part of the memory for requests that connections may occupy.
	connMemoryShare = 0.5
	// callerFileShare and peerFileShare are shares of the descriptors that are for sockets. Workers have half of them.
	callerFileShare = 0.25
	peerFileShare   = 0.125
	// maxOperatorConns and maxReadinessConns are far above the number of operators and of balancers.
	maxOperatorConns  = 16
	maxReadinessConns = 32
	// minConns is the least that a listener gets.
	minConns = 8
)

// NewLimits divides memory for requests, in bytes, and a number of sockets. maxCallers bounds CallerConns unless it is 0.
func NewLimits(memory int64, sockets, maxCallers int) Limits {
	share := func(of int, share float64) int { return max(int(float64(of)*share), minConns) }
	l := Limits{
		CallerConns: min(share(sockets, callerFileShare), share(int(memory/ConnBytes), connMemoryShare)), PeerConns: share(sockets, peerFileShare),
		OperatorConns: maxOperatorConns, ReadinessConns: maxReadinessConns,
	}
	if maxCallers > 0 {
		l.CallerConns = maxCallers
	}
	l.BodyBytes = max(memory-int64(l.CallerConns+l.OperatorConns+l.ReadinessConns)*ConnBytes, 0)
	return l
}
