package cccontrol

import (
	"context"
	"syscall"

	"coriandercross/core/ccclock"
	"coriandercross/io/ccpeer"

	"github.com/cockroachdb/errors"
)

// A leader that was replaced may not know it: it is cut off, or stood still. Workers that the new leader has reached refuse it,
// but those that are new, or have just started again, know of neither. So a leader goes on only while it was confirmed lately: by
// its record in the store, or, while the store is away, by all other processes, any of which would have to take over.

const (
	// minAuthorityMs is how long a leader of few members goes on after it was last confirmed. A new leader waits as long for one that
	// does not answer.
	minAuthorityMs ms = 700
	// confirmAheadMs is the time before the end of the authority at which the record is read; writes of progress confirm it as well.
	confirmAheadMs ms = 450
	// suspendedMs is the growth of the time that the clock did not count from which the process counts as having been suspended.
	suspendedMs ms = 100
)

// authority returns how long the leader goes on after it was last confirmed. Records of earlier releases do not say.
func (r *leaderRecord) authority() ms {
	return max(r.AuthorityMs, minAuthorityMs)
}

// announce tells all others of this term, so that they turn to it at once, and finds out whether the leader before has ended.
func (l *leadership) announce(prior leaderRecord) {
	p, r := l.p, l.record
	if prior.Token == 0 || (prior.VM == p.cfg.VM && prior.StartMs != p.cfg.StartMs) {
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
				return // Who does not hear it finds the record.
			}
			// The process there has ended its term, or has ended itself.
			l.post(func(now ms) {
				p.cfg.Log.Info("leader before has ended", "Leader", prior.VM, "Token", prior.Token, "Refused", err != nil)
				l.cell.OnPriorLeaderEnded(now)
			})
		}()
	}
}

// confirmAuthority keeps the authority of this term confirmed.
func (l *leadership) confirmAuthority(now ms) {
	if s := ccclock.SuspendedTime(); s > l.suspendedTime+suspendedMs {
		l.p.cfg.Log.Warn("process was suspended", "Token", l.token, "ForMs", s-l.suspendedTime)
		l.suspendedTime = s
		l.cell.RevokeAuthority()
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

// confirm notes that a fellow followed this leader after it got the last answer.
func (s *peerState) confirm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replied {
		s.confirmedAt = s.repliedAt
	}
}

// confirmedAt returns the time up to which every one of the others vouches, 0 when one never did.
func (d *adviceDispatcher) confirmedAt(others []string) ms {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(others) == 0 {
		return 0
	}
	oldest := ms(0)
	for i, vm := range others {
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

// otherMembers returns the names of the other members.
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
