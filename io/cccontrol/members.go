package cccontrol

import (
	"context"
	"math/rand/v2"
	"sort"

	"github.com/cockroachdb/errors"
)

const (
	// minMemberPollMs is the least time between two reads of the members: a stale read costs a tenth.
	minMemberPollMs ms = 1000
	// storeProbeIntervalMs is the pause between calls to a store that is lost, and the time that each may take: its return should be
	// noticed before the callers that were refused come back.
	storeProbeIntervalMs ms = 300
	// memberLeaseMs is how long a process that is gone stays listed.
	memberLeaseMs ms = 6000
	// memberRenewIntervalMs is the time between renewals of the own entry, a third of its lease.
	memberRenewIntervalMs ms = 2000
	// jitterFraction spreads the polls of the processes, as a share.
	jitterFraction = 0.2
)

// maintainMembership keeps the own entry in the store and reads those of the others.
func (p *Process) maintainMembership(ctx context.Context) {
	var lease int64
	var keptAt, polledAt ms
	for {
		now, lost := p.now(), p.cfg.Store.Lost()
		if !lost && (lease == 0 || now-keptAt >= memberRenewIntervalMs) {
			lease = p.renewMembership(ctx, lease)
			if lease != 0 {
				keptAt = now
			}
		}
		if lost || polledAt == 0 || now-polledAt >= memberPollIntervalMs(p.memberCount()) {
			polledAt = now
			if !p.readMembers(ctx) {
				// The store lists others but not this process: its entry was taken away.
				lease = 0
			}
		}
		pause := minMemberPollMs
		if p.cfg.Store.Lost() {
			pause = storeProbeIntervalMs
		}
		if !sleep(ctx, jitter(pause)) {
			return
		}
	}
}

// jitter spreads a time by jitterFraction either way.
func jitter(d ms) ms {
	return ms(float64(d) * (1 + jitterFraction*(2*rand.Float64()-1)))
}

// renewMembership renews the own entry, or writes it anew, and returns its store lease, 0 when that failed.
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
		p.cfg.Log.Debug("own entry not written", "Error", err)
		return 0
	}
	return lease
}

// readMembers reads the members and the leader. It returns false when the store lists members without this process.
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
			p.cfg.Log.Warn("member not read", "Key", items[i].Key, "Error", err)
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

// readLeader takes in the record of the leader.
func (p *Process) readLeader(item *Item, source string) {
	if item.Key != keyLeader {
		return
	}
	var r leaderRecord
	if err := decode(item.Key, item.Value, &r); err != nil {
		p.cfg.Log.Warn("record of the leader not read", "Error", err)
		return
	}
	r.revision = item.Revision
	p.observeLeader(r, source)
}

// rank returns the place of this process among those that may lead next: the leader's region first, since the store and
// most workers stand there, then by processor share. The leader that was lost does not count.
func (p *Process) rank(lost leaderRecord) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []member
	for _, m := range p.members {
		if m.VM == lost.VM && m.StartMs == lost.StartMs {
			continue
		}
		list = append(list, m)
	}
	home := lost.Region(p.members)
	sort.Slice(list, func(a, b int) bool {
		x, y := &list[a], &list[b]
		if (x.Region == home) != (y.Region == home) {
			return x.Region == home
		}
		if x.Cores != y.Cores {
			return x.Cores > y.Cores
		}
		return x.VM < y.VM
	})
	for i := range list {
		if list[i].VM == p.cfg.VM {
			return i
		}
	}
	return len(list)
}

// Region returns the region of the leader, "" when it is not listed.
func (r *leaderRecord) Region(members map[string]member) string {
	return members[r.VM].Region
}

// memberCount returns the number of members known, this process among them; 0 when none was read yet.
func (p *Process) memberCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

// peerAddresses returns the addresses of the other processes; the seeds while none are listed.
func (p *Process) peerAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, m := range p.members {
		if m.VM != p.cfg.VM {
			out = append(out, m.Address)
		}
	}
	if len(out) == 0 {
		for _, s := range p.cfg.Seeds {
			if s != p.cfg.Address {
				out = append(out, s)
			}
		}
	}
	sort.Strings(out)
	rand.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	return out
}
