package ccnode

import (
	"context"
	"slices"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccmember"
	"coriandercross/core/ccshard"
	"coriandercross/io/ccpeer"
	"coriandercross/io/ccvmlist"
)

// gossipCall is one message of a round of gossip.
type gossipCall struct {
	address string
	// target is the ID of the process to call; "" when only its address is known.
	target string
	in     *ccpeer.Gossip
	sent   ccclock.Millis
}

// gossip does one round: it sends liveness and load to some peers, and requests for grants to every successor.
func (n *Node) gossip(ctx context.Context) {
	var calls []gossipCall
	if n.do(func() { calls = n.gossipCalls() }) != nil {
		return
	}
	for _, call := range calls {
		go n.sendGossip(ctx, call)
	}
}

// gossipCalls builds the messages of one round. It must run in the control loop.
func (n *Node) gossipCalls() []gossipCall {
	now := n.now()
	n.state.members.BeginRound(n.digest(now))
	members := n.state.members.Members(now)
	requests := n.state.shards.GrantRequests()
	successors := make([]string, 0, len(requests))
	for successor := range requests {
		successors = append(successors, successor)
	}
	var calls []gossipCall
	for _, m := range n.state.members.Targets(successors, now) {
		in := &ccpeer.Gossip{From: n.id, Members: members, Grants: requests[m.ID]}
		calls = append(calls, gossipCall{address: m.Address, target: m.ID, in: in, sent: now})
		delete(requests, m.ID)
	}
	// A successor that is suspected dead gets a request too: it may be alive although its gossip does not arrive.
	for successor, shards := range requests {
		if m, ok := n.state.members.Lookup(successor); ok {
			in := &ccpeer.Gossip{From: n.id, Members: members, Grants: shards}
			calls = append(calls, gossipCall{address: m.Address, target: successor, in: in, sent: now})
		}
	}
	return append(calls, n.discoveryCalls(members, now)...)
}

// discoveryCalls returns a message to one address of the VM list or the seeds at which no living peer is known, chosen
// at random. It returns nil when there is no such address. It must run in the control loop.
func (n *Node) discoveryCalls(members []ccmember.Member, now ccclock.Millis) []gossipCall {
	known := []string{n.cfg.PeerAddress}
	for _, m := range n.state.members.Alive(now) {
		known = append(known, m.Address)
	}
	var unknown []string
	for _, address := range append(n.listedPeers(), n.cfg.Seeds...) {
		if !slices.Contains(known, address) && !slices.Contains(unknown, address) {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	address := unknown[n.state.rand.IntN(len(unknown))]
	return []gossipCall{{address: address, in: &ccpeer.Gossip{From: n.id, Members: members}, sent: now}}
}

// listedPeers returns the addresses of the other entry VMs on the VM list. It must run in the control loop.
func (n *Node) listedPeers() []string {
	var out []string
	for _, vm := range n.state.vmList {
		if vm.Role == ccvmlist.Entry && vm.ID != n.cfg.VM {
			out = append(out, vm.Address)
		}
	}
	return out
}

// sendGossip sends one message and applies the reply.
func (n *Node) sendGossip(ctx context.Context, call gossipCall) {
	reply, err := n.cfg.Peers.Gossip(ctx, call.address, call.in)
	if err != nil {
		n.cfg.Log.Debug("no reply to gossip", "Address", call.address, "Err", err)
		return
	}
	_ = n.post(func() {
		n.state.members.Merge(reply.Members, n.now())
		// A newer process may have replied at the successor's address: the grants are those of reply.From.
		n.state.shards.RecordGrants(reply.From, reply.Grants, call.sent)
		n.fetchConfig(ctx)
	})
}

// Gossip implements ccpeer.Handler.
func (n *Node) Gossip(ctx context.Context, in *ccpeer.Gossip) (*ccpeer.Gossip, error) {
	out := &ccpeer.Gossip{From: n.id}
	err := n.do(func() {
		now := n.now()
		n.state.members.Merge(in.Members, now)
		out.Members = n.replyMembers(in.Members, now)
		out.Grants = n.grantRequested(in.From, in.Grants, now)
		n.fetchConfig(ctx)
	})
	return out, err
}

// grantRequested grants an owner's requests as the successor and returns those granted. A draining process grants them
// too, as it does not take over shards.
func (n *Node) grantRequested(owner string, requests []ccshard.ShardEpoch, now ccclock.Millis) []ccshard.ShardEpoch {
	return n.state.shards.Grant(owner, requests, now)
}

// replyMembers returns the members of which this process knows a newer round than the sender, or that the sender did
// not name.
func (n *Node) replyMembers(received []ccmember.Member, now ccclock.Millis) []ccmember.Member {
	rounds := map[string]uint64{}
	for _, m := range received {
		rounds[m.ID] = m.Round
	}
	return slices.DeleteFunc(n.state.members.Members(now), func(m ccmember.Member) bool {
		round, ok := rounds[m.ID]
		return ok && round >= m.Round
	})
}
