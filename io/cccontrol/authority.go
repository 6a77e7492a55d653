package cccontrol

import (
	"context"
	"syscall"

	"coriandercross/core/ccclock"
	"coriandercross/io/ccpeer"

	"github.com/cockroachdb/errors"
)

// A leader that was replaced may not know it, because it was partitioned or suspended. Workers that have seen the new
// leader's token refuse its orders, but workers that are new or have just restarted have seen neither token. So a
// leader has authority to give orders only for a limited time after it was last confirmed: by its record in the store,
// or by all other processes. If each of them still follows the leader, none of them has taken over. So a leader can
// keep its authority while the store can't be reached.

const (
	// minAuthorityMs is the duration of a leader's authority after a confirmation, in a cell of few members. A new
	// leader waits as long for a prior leader that does not reply.
	minAuthorityMs ms = 700
	// confirmAheadMs is the remaining authority at which the leader record is read again. Writes of progress confirm
	// the authority as well, since they depend on the leader record.
	confirmAheadMs ms = 450
	// suspendedMs is the least increase of ccclock.SuspendedTime that counts as a suspension of the process.
	suspendedMs ms = 100
)

// authority returns the duration of the leader's authority after a confirmation. Records of earlier releases have no
// AuthorityMs; theirs is minAuthorityMs.
func (r *leaderRecord) authority() ms {
	return max(r.AuthorityMs, minAuthorityMs)
}

// announce sends the new term to all peers, so that they follow it at once. A reply of the prior leader shows that its
// term has ended.
func (l *leadership) announce(prior leaderRecord) {
	p, r := l.p, l.record
	if prior.Token == 0 || (prior.VM == p.cfg.VM && prior.StartMs != p.cfg.StartMs) {
		// There was no prior leader, or it was this process before its restart.
		l.cell.OnPriorLeaderEnded(p.now())
	}
	in := &ccpeer.AnnounceRequest{VM: r.VM, Address: r.Address, StartMs: r.StartMs, Token: r.Token, Revision: r.revision}
	addresses := p.peerAddresses()
	if prior.Token != 0 && prior.VM != p.cfg.VM {
		addresses = append(addresses, prior.Address)
	}
	for _, address := range addresses {
		go func() {
			err := p.cfg.Peers.Announce(l.ctx, address, in)
			if address != prior.Address || (err != nil && !errors.Is(err, syscall.ECONNREFUSED)) {
				return // A peer that misses the announcement reads the leader record from the store.
			}
			// The prior leader replied, so it has ended its term; or its VM refused the connection, so its process has
			// ended.
			l.post(func(now ms) {
				p.cfg.Log.Info("leader before has ended", "Leader", prior.VM, "Token", prior.Token, "Refused", err != nil)
				l.cell.OnPriorLeaderEnded(now)
			})
		}()
	}
}

// confirmAuthority extends the authority of this term by the confirmations of the peers, and reads the leader record
// from the store when less than confirmAheadMs is left. After a suspension of the process, it revokes the authority.
func (l *leadership) confirmAuthority(now ms) {
	if s := ccclock.SuspendedTime(); s > l.suspendedTime+suspendedMs {
		l.p.cfg.Log.Warn("process was suspended", "Token", l.token, "ForMs", s-l.suspendedTime)
		l.suspendedTime = s
		l.cell.RevokeAuthority() // The clock did not count the suspension, so the authority may have ended.
	}
	l.cell.ExtendAuthority(l.dispatcher.confirmedAt(l.p.otherMembers()) + l.record.authority())
	if l.cell.Authority()-now > confirmAheadMs || l.confirming {
		return
	}
	l.confirming = true
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, storeCheckTimeoutMs.Duration())
		defer cancel()
		sent := l.p.now()
		item, err := l.p.cfg.Store.Get(ctx, keyLeader)
		if err == nil && item.Revision != l.record.revision {
			l.p.readLeader(&item, "confirmation")
		}
		l.post(func(ms) {
			l.confirming = false
			if err == nil && item.Revision == l.record.revision {
				l.cell.ExtendAuthority(sent + l.record.authority())
			}
		})
	}()
}

// confirm records that the peer still followed this leader when it received the last reply: it has sent a request with
// this leader's token since.
func (s *peerState) confirm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replied {
		s.confirmedAt = s.repliedAt
	}
}

// confirmedAt returns a time at which all given peers followed this leader: the least of their confirmedAt. It returns
// 0 if one of them has not confirmed this leader yet, or if vms is empty.
func (d *adviceDispatcher) confirmedAt(vms []string) ms {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(vms) == 0 {
		return 0
	}
	oldest := ms(0)
	for i, vm := range vms {
		s := d.peers[vm]
		if s == nil {
			return 0
		}
		s.mu.Lock()
		at := s.confirmedAt
		s.mu.Unlock()
		if i == 0 || at < oldest {
			oldest = at
		}
	}
	return oldest
}

// otherMembers returns the VMs of the other members.
func (p *Process) otherMembers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]string, 0, len(p.members))
	for vm := range p.members {
		if vm != p.cfg.VM {
			out = append(out, vm)
		}
	}
	return out
}
