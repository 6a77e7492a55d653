package cccontrol

import (
	"context"
	"math/rand/v2"

	"coriandercross/core/ccsuccession"

	"github.com/cockroachdb/errors"
)

const (
	// minMemberPollMs is the shortest interval between reads of the membership. They are stale reads, which cost a
	// tenth of consistent ones.
	minMemberPollMs ms = 1000
	// storeProbeIntervalMs is the interval between calls to a store that is lost, and the timeout of each. Its recovery
	// should be noticed before refused callers retry.
	storeProbeIntervalMs ms = 300
	// memberLeaseMs is the duration of the store lease of a membership record: a process that has ended stays listed
	// that long.
	memberLeaseMs ms = 6000
	// memberRenewIntervalMs is the interval at which the lease of the own membership record is renewed, a third of the
	// lease.
	memberRenewIntervalMs ms = 2000
	// jitterFraction is the largest random deviation of an interval from its mean, as a fraction.
	jitterFraction = 0.2
)

// maintainMembership keeps the own membership record in the store and polls the membership, until ctx ends.
func (p *Process) maintainMembership(ctx context.Context) {
	var lease int64
	var renewedAt, polledAt ms
	for {
		now, lost := p.now(), p.cfg.Store.Lost()
		p.stateCache.expire(p.cfg.FinalRetentionMs, now)
		if !lost && (lease == 0 || now-renewedAt >= memberRenewIntervalMs) {
			lease = p.renewMembership(ctx, lease)
			if lease != 0 {
				renewedAt = now
			}
		}
		if lost || polledAt == 0 || now-polledAt >= memberPollIntervalMs(p.memberCount()) {
			polledAt = now
			if !p.readMembers(ctx) {
				// The store lists other members but not this process: the own record was removed.
				lease = 0
			}
		}
		interval := minMemberPollMs
		if p.cfg.Store.Lost() {
			interval = storeProbeIntervalMs
		}
		if !sleep(ctx, jitter(interval)) {
			return
		}
	}
}

// jitter returns a random duration that deviates from d by jitterFraction at most.
func jitter(d ms) ms {
	return ms(float64(d) * (1 + jitterFraction*(2*rand.Float64()-1)))
}

// renewMembership renews the store lease of the own membership record, or writes the record with a new lease if lease
// is 0 or has expired. It returns the lease with which the record is written, or 0 if the record could not be written.
// It returns lease if the renewal fails but the store does not report that the lease has expired.
func (p *Process) renewMembership(ctx context.Context, lease int64) int64 {
	if lease != 0 {
		err := p.cfg.Store.KeepAlive(ctx, lease)
		if err == nil || !errors.Is(err, ErrLeaseExpired) {
			return lease
		}
	}
	lease, err := p.cfg.Store.GrantLease(ctx, memberLeaseMs)
	if err == nil {
		m := member{VM: p.cfg.VM, Address: p.cfg.Address, Region: p.cfg.Region, Cores: p.cfg.Cores, StartMs: p.cfg.StartMs}
		_, err = p.cfg.Store.Write(ctx, &Txn{Puts: []Put{{Key: prefixMembers + p.cfg.VM, Value: encode(m), Lease: lease}}})
	}
	if err != nil {
		p.cfg.Log.Debug("own membership record not written", "Error", err)
		return 0
	}
	return lease
}

// readMembers reads the members and the leader record from the store. It returns false if other members are listed but
// this process is not, and true if the read failed.
func (p *Process) readMembers(ctx context.Context) bool {
	if p.cfg.Store.Lost() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, storeProbeIntervalMs.Duration())
		defer cancel()
	}
	items, _, err := p.cfg.Store.Range(ctx, prefixMembership, true)
	if err != nil {
		return true
	}
	members := map[string]member{}
	for i := range items {
		name, ok := trimPrefix(items[i].Key, prefixMembers)
		if !ok {
			p.readLeader(&items[i], "poll")
			continue
		}
		var m member
		if err := decode(items[i].Key, items[i].Value, &m); err != nil {
			p.cfg.Log.Warn("membership record can't be decoded", "Key", items[i].Key, "Error", err)
			continue
		}
		members[name] = m
	}
	p.mu.Lock()
	p.members = members
	p.mu.Unlock()
	_, listed := members[p.cfg.VM]
	return listed || len(members) == 0
}

// readLeader decodes the leader record, passes it to observeLeader and returns it. It returns an empty record for an item
// with another key, and for one that can't be decoded.
func (p *Process) readLeader(item *Item, source string) leaderRecord {
	if item.Key != keyLeader {
		return leaderRecord{}
	}
	var r leaderRecord
	if err := decode(item.Key, item.Value, &r); err != nil {
		p.cfg.Log.Warn("leader record can't be decoded", "Error", err)
		return leaderRecord{}
	}
	r.revision = item.Revision
	p.observeLeader(r, source)
	return r
}

// rank returns the position, from 0, of this process in the order in which processes try to take over from a failed
// leader, by ccsuccession.Order with the region of the failed leader as home. The failed leader itself is not counted.
func (p *Process) rank(failed leaderRecord) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []ccsuccession.Candidate
	now := p.now()
	for _, m := range p.members {
		if m.VM == failed.VM && m.StartMs == failed.StartMs {
			continue
		}
		c := ccsuccession.Candidate{VM: m.VM, Region: m.Region, Cores: m.Cores, Slowness: p.succession.peerSlowness(m.VM, now), Demoted: p.succession.isDemoted(m.VM, now)}
		if m.VM == p.cfg.VM {
			c.Slowness = p.succession.slownessIfSlow()
		}
		list = append(list, c)
	}
	ccsuccession.Order(list, failed.Region(p.members))
	for i := range list {
		if list[i].VM == p.cfg.VM {
			return i
		}
	}
	return len(list)
}

// Region returns the region of the leader, "" if the leader is not listed.
func (r *leaderRecord) Region(members map[string]member) string {
	return members[r.VM].Region
}

// memberOf returns the member that leads, with no region if it is not listed.
func (p *Process) memberOf(leader leaderRecord) member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return member{VM: leader.VM, Address: leader.Address, Region: leader.Region(p.members)}
}

// memberCount returns the number of known members, this process included, 0 before the first read of the membership.
func (p *Process) memberCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

// otherMembers returns the other members. Only the addresses of the seeds are known while there are none.
func (p *Process) otherMembers() []member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []member
	for _, m := range p.members {
		if m.VM != p.cfg.VM {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		for _, s := range p.cfg.Seeds {
			if s != p.cfg.Address {
				out = append(out, member{Address: s})
			}
		}
	}
	return out
}

// peerAddresses returns the addresses of the other processes in random order, or the seeds if none are listed.
func (p *Process) peerAddresses() []string {
	var out []string
	for _, m := range p.otherMembers() {
		out = append(out, m.Address)
	}
	rand.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	return out
}
