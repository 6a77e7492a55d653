package cccontrol

import (
	"context"
	"slices"
	"strings"
	"syscall"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccquorum"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// A leader that was replaced may not know it, because it was partitioned or suspended. Workers that have seen the new
// leader's token refuse its orders, but workers that are new or have just restarted have seen neither token. So a
// leader has authority to give orders only for a limited time after it was last confirmed, by its record in the store
// or by the voters. Package ccquorum has the rules; this file makes the calls.

const (
	// minAuthorityMs is the duration of a leader's authority after a confirmation, in a cell of few members. A new
	// leader waits as long for a prior leader that does not reply.
	minAuthorityMs ms = 700
	// confirmAheadMs is the remaining authority at which the leader record is read again. Writes of progress confirm
	// the authority as well, since they depend on the leader record.
	confirmAheadMs ms = 450
	// confirmByWorkersAfterMs is the time without a confirmation by the store from which those of the workers are used, and
	// workersCheckIntervalMs the interval at which their replies are counted then.
	confirmByWorkersAfterMs ms = 400
	workersCheckIntervalMs  ms = 100
	// suspendedMs is the least increase of ccclock.SuspendedTime that counts as a suspension of the process.
	suspendedMs ms = 100
	// announceIntervalMs is the delay before a new leader calls a process again that has not replied.
	// It doubles up to maxAnnounceIntervalMs.
	announceIntervalMs    ms = 50
	maxAnnounceIntervalMs ms = 1000
	// announceTimeoutMs is the timeout of such a call.
	announceTimeoutMs ms = 300
	// slowHandoverMs is the duration of a handover from which it is logged before it is complete.
	slowHandoverMs ms = 1500
	// votersIntervalMs is the least interval between writes of the voters.
	votersIntervalMs ms = 1000
)

// authority returns the duration of the leader's authority after a confirmation. Records of earlier releases have no
// AuthorityMs; theirs is minAuthorityMs.
func (r *leaderRecord) authority() ms {
	return max(r.AuthorityMs, minAuthorityMs)
}

// settled reports whether the handover to the leader was complete, as far as the record tells. Records of earlier
// releases don't tell.
func (r *leaderRecord) settled() bool {
	return r.VotersToken == r.Token || r.VotersToken == 0
}

// announce sends the new term to all peers and to the prior leader, so that they follow it at once. A process that does
// not reply is called again until the handover is complete: after a loss of all power, the processes start one after the
// other.
func (l *leadership) announce(prior leaderRecord) {
	for _, m := range l.p.announceTargets(prior) {
		go func() {
			delay := announceIntervalMs
			for !l.announceTo(m, prior) && !l.handedOver.Load() && sleep(l.ctx, delay) {
				delay = min(2*delay, maxAnnounceIntervalMs)
			}
		}()
	}
}

// announceTargets returns the other members and the prior leader.
func (p *Process) announceTargets(prior leaderRecord) []member {
	out := p.otherMembers()
	isPrior := func(m member) bool { return m.Address == prior.Address }
	if prior.Token != 0 && prior.VM != p.cfg.VM && !slices.ContainsFunc(out, isPrior) {
		out = append(out, member{VM: prior.VM, Address: prior.Address, StartMs: prior.StartMs})
	}
	return out
}

// announceTo sends the new term to one process. It returns true if there was a reply, or if the VM refused the
// connection, so that its process has ended.
func (l *leadership) announceTo(m member, prior leaderRecord) bool {
	p, r := l.p, l.announcement
	ctx, cancel := context.WithTimeout(l.ctx, announceTimeoutMs.Duration())
	defer cancel()
	out, err := p.cfg.Peers.Announce(ctx, m.Address, &r)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if err != nil && !refused {
		return false
	}
	at := p.now() // The event loop may be loading the state for some time.
	l.post(func(ms) {
		switch {
		case refused:
			l.handover.Ended(ccquorum.Voter{VM: m.VM, StartMs: m.StartMs}, at)
		case out.Token >= l.token:
			l.handover.Follows(ccquorum.Voter{VM: out.VM, StartMs: out.StartMs}, at)
		}
		if m.Address == prior.Address {
			// The prior leader replied, so it has ended its term; or its process has ended.
			p.cfg.Log.Info("leader before has ended", "Leader", prior.VM, "Token", prior.Token, "Refused", refused)
			l.handover.PriorLeaderEnded(at)
		}
		l.cell.SetHandover(l.handover.EndsAt())
	})
	return true
}

// confirmAuthority extends the authority of this term by the confirmations of the peers, and reads the leader record
// from the store when less than confirmAheadMs is left. After a suspension of the process, it revokes the authority.
func (l *leadership) confirmAuthority(now ms) {
	if s := ccclock.SuspendedTime(); s > l.suspendedTime+suspendedMs {
		l.p.cfg.Log.Warn("process was suspended", "Token", l.token, "ForMs", s-l.suspendedTime)
		l.suspendedTime = s
		l.quorum.Invalidate(now)
		l.cell.RevokeAuthority() // The clock did not count the suspension, so the authority may have ended.
	}
	l.dispatcher.forEachVoter(func(v ccquorum.Voter, confirmedAt ms) {
		l.quorum.Confirm(v, confirmedAt)
	})
	l.confirmByWorkers(now)
	l.cell.SetHandover(l.handover.EndsAt())
	l.cell.ExtendAuthority(l.quorum.Authority())
	l.logAuthority(now)
	if l.cell.Authority()-now > confirmAheadMs || l.confirming {
		return
	}
	l.confirming = true
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, storeCheckTimeoutMs.Duration())
		defer cancel()
		sent := l.p.now()
		item, err := l.p.cfg.Store.Get(ctx, keyLeader)
		if err == nil {
			l.p.readLeader(&item, "confirmation")
		}
		l.post(func(ms) {
			l.confirming = false
			if err == nil && l.adoptRecord(&item) {
				l.quorum.ConfirmByStore(sent)
			}
		})
	}()
}

// confirmByWorkers takes the workers' replies as confirmations while the store does not confirm this leader, and until the
// handover is complete as signs that they don't confirm a prior leader.
func (l *leadership) confirmByWorkers(now ms) {
	if !l.handedOver.Load() {
		l.handover.ReachWorkers(l.cell.WorkerReached, now)
	}
	unconfirmed := now-l.quorum.StoreConfirmedAt() > confirmByWorkersAfterMs
	l.cell.PollIdle(unconfirmed)
	if unconfirmed && now-l.workersCheckedAt >= workersCheckIntervalMs {
		l.workersCheckedAt = now
		l.quorum.ConfirmByWorkers(l.cell.WorkerConfirmedAt)
	}
}

// logAuthority logs the end of the handover, and each loss and return of the authority.
func (l *leadership) logAuthority(now ms) {
	p := l.p
	if now >= l.handover.EndsAt() && !l.handedOver.Swap(true) {
		p.soleLeader.learn(l.token, now)
		reached, workers := l.handover.Reached()
		p.cfg.Log.Info("handover complete", "Token", l.token, "TookMs", now-l.beganAt, "Voters", len(l.record.Voters), "WorkersReached", reached, "Workers", workers)
	}
	if !l.handedOver.Load() && !l.loggedHandover && now-l.beganAt >= slowHandoverMs {
		l.loggedHandover = true
		reached, workers := l.handover.Reached()
		p.cfg.Log.Warn("handover waits", "Token", l.token, "EndsInMs", l.handover.EndsAt()-now, "VotersLeft", l.handover.VotersLeft(), "Voters", len(l.record.Voters), "WorkersReached", reached, "Workers", workers)
	}
	if has := now < l.cell.Authority(); has != l.hadAuthority {
		l.hadAuthority = has
		event := "authority lost: no starts and renewals"
		if has {
			event = "authority regained"
		}
		p.cfg.Log.Warn(event, "Token", l.token, "StoreAgeMs", p.cfg.Store.AgeMs(), "Voters", len(l.record.Voters), "Members", p.memberCount())
	}
}

// adoptRecord reports whether an item is the leader record of this term. If it is newer than the known one, a write of
// the voters whose outcome was not known has been carried out.
func (l *leadership) adoptRecord(item *Item) bool {
	if item.Revision == l.record.revision {
		return true
	}
	var r leaderRecord
	if item.Key != keyLeader {
		return false // The record was removed.
	}
	if err := decode(item.Key, item.Value, &r); err != nil {
		l.p.cfg.Log.Warn("leader record can't be decoded", "Error", err)
		return false
	}
	if r.Token != l.token || r.VM != l.p.cfg.VM || r.StartMs != l.p.cfg.StartMs {
		return false
	}
	if item.Revision > l.record.revision {
		r.revision = item.Revision
		l.record = r
		l.quorum.Recorded(r.Voters)
	}
	return true
}

// recordVoters writes the present members as voters into the leader record, once the handover is complete and whenever
// the members have changed.
func (l *leadership) recordVoters(now ms) {
	p := l.p
	if l.recordingVoters || now < l.handover.EndsAt() || now-l.votersAt < votersIntervalMs || p.cfg.Store.Lost() {
		return
	}
	voters := p.eligibleVoters(l.dispatcher.drainingPeers())
	if l.record.VotersToken == l.token && slices.Equal(voters, l.record.Voters) {
		return
	}
	r := l.record
	r.Voters, r.VotersToken, r.ByWorkers, r.MostWorkers, r.Demoted = voters, l.token, true, true, p.succession.demotions(now)
	l.recordingVoters, l.votersAt = true, now
	l.quorum.Propose(voters)
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, flushTimeout)
		defer cancel()
		sent := p.now()
		rev, err := p.cfg.Store.Write(ctx, &Txn{If: []Condition{{keyLeader, r.revision}}, Puts: []Put{{Key: keyLeader, Value: encode(r)}}})
		l.post(func(ms) {
			l.recordingVoters = false
			var conflict *Conflict
			switch {
			case err == nil:
				r.revision = rev
				if rev > l.record.revision {
					l.record = r
					l.quorum.Recorded(voters)
				}
				l.quorum.ConfirmByStore(sent)
			case errors.As(err, &conflict):
				for i := range conflict.Found {
					if conflict.Found[i].Key == keyLeader && !l.adoptRecord(&conflict.Found[i]) {
						p.readLeader(&conflict.Found[i], "conflict")
					}
				}
			case !errors.Is(err, ccstore.ErrInDoubt) && !errors.Is(err, ccstore.ErrUnavailable):
				p.cfg.Log.Error("voters not recorded", "Error", err)
			}
		})
	}()
}

// eligibleVoters returns the members as voters in the order of their VMs, none if there are too few. Processes on the given
// VMs are left out: they are about to stop, and can't be replaced by others if the store is down by then.
func (p *Process) eligibleVoters(draining map[string]bool) []ccquorum.Voter {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []ccquorum.Voter
	for _, m := range p.members {
		if m.StartMs > 0 && !draining[m.VM] {
			out = append(out, ccquorum.Voter{VM: m.VM, StartMs: m.StartMs})
		}
	}
	if len(out) < ccquorum.MinVoters {
		return nil
	}
	slices.SortFunc(out, func(a, b ccquorum.Voter) int { return strings.Compare(a.VM, b.VM) })
	return out
}

// drainingPeers returns the VMs whose processes are about to stop.
func (d *adviceDispatcher) drainingPeers() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]bool{}
	for vm, s := range d.peers {
		s.mu.Lock()
		if s.draining {
			out[vm] = true
		}
		s.mu.Unlock()
	}
	return out
}

// confirm records a call of a process that follows this leader. receivedMs is the time of the last reply that it has
// received as a follower of this leader, 0 for none.
func (s *peerState) confirm(v ccquorum.Voter, receivedMs ms) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.voter, s.confirmedAt = v, receivedMs
}

// forEachVoter calls do with each process that has called this leader as its follower.
func (d *adviceDispatcher) forEachVoter(do func(v ccquorum.Voter, confirmedAt ms)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.peers {
		s.mu.Lock()
		v, at := s.voter, s.confirmedAt
		s.mu.Unlock()
		if v.VM != "" {
			do(v, at)
		}
	}
}
