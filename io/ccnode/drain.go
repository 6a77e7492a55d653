package ccnode

import (
	"context"
	"time"
)

// drainPoll is the interval at which Drain checks what is left.
const drainPoll = 50 * time.Millisecond

// Drain performs a planned stop: the process accepts no new work, hands over its shards and finishes the requests in
// progress. It blocks until no request is left and no shard is left that another process could take over, or until
// DrainMs have passed or ctx ends. It returns the number of requests left.
func (n *Node) Drain(ctx context.Context) int64 {
	_ = n.do(func() { n.state.draining = true })
	n.cfg.Log.Info("draining", "InFlight", n.inFlight.Load())
	// An extra round of gossip makes the peers stop sending work at once.
	n.gossip(ctx)
	deadline := time.After(time.Duration(n.cfg.Timing.DrainMs) * time.Millisecond)
	for {
		select {
		case <-ctx.Done():
			return n.inFlight.Load()
		case <-deadline:
			remaining := n.inFlight.Load()
			n.cfg.Log.Warn("drain limit passed", "InFlight", remaining, "Shards", n.ownedShards())
			return remaining
		case <-time.After(drainPoll):
		}
		if n.inFlight.Load() == 0 && (n.ownedShards() == 0 || n.onlyCandidate()) {
			n.cfg.Log.Info("drained")
			return 0
		}
	}
}

// ownedShards returns the number of shards whose record names this process as the owner.
func (n *Node) ownedShards() int {
	count := 0
	_ = n.do(func() { count = len(n.state.shards.Owned()) })
	return count
}

// onlyCandidate reports whether no other process of the region can take over the shards.
func (n *Node) onlyCandidate() bool {
	others := 0
	_ = n.do(func() {
		for _, c := range n.candidates(n.now()) {
			if !c.Leaving {
				others++
			}
		}
	})
	return others == 0
}

// Ready reports whether the load balancer should send new work here: the process has a configuration, is not draining,
// and knows a process with usable workers.
func (n *Node) Ready() bool {
	ready := false
	_ = n.do(func() {
		if n.state.draining || n.state.doc == nil {
			return
		}
		for _, m := range n.livingMembers(n.now()) {
			ready = ready || m.Digest.Slots > 0
		}
	})
	return ready
}
