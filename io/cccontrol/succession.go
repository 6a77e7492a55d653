package cccontrol

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"coriandercross/core/ccsuccession"
	"coriandercross/io/ccpeer"
)

// This file feeds the decisions of package ccsuccession: it measures how this VM runs, asks other processes for their
// contact with the leader, and lets a slow leader ask a peer to take over. What processes tell each other travels with
// their Sync calls.

const (
	// paceIntervalMs is the least interval between two measurements of the VM's pace, which take 10 microseconds each.
	paceIntervalMs ms = 30
	// freshMeasurements is the number of measurements by which a process decides whether it can take over. They are those
	// that ccsuccession.Pace.Slowness looks at.
	freshMeasurements = 3
	// lateMs is the delay of a timer from which this process counts as slow for lateForMs: replies that it did not
	// get in time may have arrived.
	lateMs    ms = 100
	lateForMs ms = 500
	// slowRepeatMs is the interval at which a leader tells again which processes are slow, and slowForgetMs the time after
	// which that is forgotten.
	slowRepeatMs ms = 4000
	slowForgetMs ms = 10_000
	// contactsAsked is the number of other processes that are asked for their contact with a leader that seems to have
	// failed, contactTimeoutMs the timeout of the calls.
	contactsAsked       = 3
	contactTimeoutMs ms = 150
	// slownessTenths is the unit in which slowness is sent and logged.
	slownessTenths = 10
)

// succession is what a process knows of its own pace and of recent leaders. Its methods may be called from any
// goroutine.
type succession struct {
	mu         sync.Mutex
	pace       ccsuccession.Pace
	measuredAt ms
	seed       uint64
	lateUntil  ms
	terms      ccsuccession.Terms
	// slowPeers holds the slowness, in tenths, of other processes, as the leader told at slowPeersAt.
	slowPeers   map[string]int64
	slowPeersAt ms
	// wasSlow is whether the VM was slow at the last measurement.
	wasSlow bool
}

// measurePace measures how fast this VM runs, unless it was measured within paceIntervalMs.
func (p *Process) measurePace() {
	s, now := &p.succession, p.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.measuredAt < paceIntervalMs && s.measuredAt > 0 {
		return
	}
	s.measuredAt = now
	p.observePace()
}

// canTakeOver measures the pace of this VM anew, and reports whether it is not slow.
func (p *Process) canTakeOver() bool {
	s := &p.succession
	s.mu.Lock()
	defer s.mu.Unlock()
	for range freshMeasurements {
		p.observePace()
	}
	return s.pace.Slowness() < ccsuccession.SlowFrom
}

// observePace measures the pace. The caller holds succession.mu.
func (p *Process) observePace() {
	s := &p.succession
	var took [3]time.Duration
	for i := range took {
		began := time.Now()
		s.seed = ccsuccession.Work(s.seed)
		took[i] = time.Since(began)
	}
	slices.Sort(took[:])
	s.pace.Observe(took[1]) // One of them may be interrupted.
	slowness := s.pace.Slowness()
	p.cfg.Metrics.slowness.Set(slowness)
	if slow := slowness >= ccsuccession.SlowFrom; slow != s.wasSlow {
		s.wasSlow = slow
		event := "VM runs normally again"
		if slow {
			event = "VM is slow"
		}
		p.cfg.Log.Info(event, "Slowness", math.Round(slowness*slownessTenths)/slownessTenths)
	}
}

// slowness returns ccsuccession.Pace.Slowness.
func (s *succession) slowness() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace.Slowness()
}

// slownessIfSlow returns the slowness if this VM is slow, else 1.
func (s *succession) slownessIfSlow() float64 {
	if slowness := s.slowness(); slowness >= ccsuccession.SlowFrom {
		return slowness
	}
	return 1
}

// slowTenths returns the slowness in tenths, 0 while it need not be reported.
func (s *succession) slowTenths() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slowness := s.pace.LastSlowness(); slowness >= ccsuccession.ReportFrom {
		return int64(slowness * slownessTenths)
	}
	return 0
}

// timedOut records by how much a timer of this process was late.
func (s *succession) timedOut(late, now ms) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if late >= lateMs {
		s.lateUntil = now + lateForMs
	}
}

// slow reports whether this process may have missed replies because it is slow.
func (s *succession) slow(now ms) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.lateUntil || s.pace.Slowness() >= ccsuccession.SlowFrom
}

// began records that this process has learned of a leader.
func (s *succession) began(r *leaderRecord, now ms) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.terms.Began(r.Token, now)
	s.terms.Adopt(r.Demoted, now)
}

// demote lets a VM rank behind the others for a while.
func (s *succession) demote(vm string, now ms) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.terms.Demote(vm, now)
}

// isDemoted reports whether a VM ranks behind the others.
func (s *succession) isDemoted(vm string, now ms) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.terms.Demoted(vm, now)
}

// demotions returns the VMs that rank behind the others.
func (s *succession) demotions(now ms) []ccsuccession.Demotion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.terms.Demotions(now)
}

// patience returns ccsuccession.Terms.Patience.
func (s *succession) patience(now ms) ms {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.terms.Patience(now)
}

// failures holds what the reasons to replace a leader mean.
var failures = map[string]ccsuccession.Failure{
	whyNone: ccsuccession.Ended, whySelf: ccsuccession.Ended, whyEnded: ccsuccession.Ended, whyRefused: ccsuccession.Dead, whyReset: ccsuccession.Dead,
	whySilent: ccsuccession.Silent, whyNoStore: ccsuccession.NoStore, whyResigns: ccsuccession.Resigns, whySlow: ccsuccession.Resigns, whyHanded: ccsuccession.Ended,
}

// keepsLeader reports whether a leader that has failed this process should not be replaced yet.
func (p *Process) keepsLeader(ctx context.Context, failure *leaderFailure) bool {
	now := p.now()
	e := ccsuccession.Evidence{
		Failure: failures[failure.why], Misses: failure.misses, ForMs: now - failure.sinceMs, OwnSlow: p.succession.slow(now), Patience: p.succession.patience(now),
	}
	if e.NeedsContacts() {
		maxAge := e.MaxContactAge(heartbeatMs(p.memberCount()), peerContactMs+p.extraHeartbeat())
		e.Asked, e.Answered, e.Reached = p.askContacts(ctx, failure.leader, maxAge)
	}
	why := e.Keep()
	if why == "" {
		return false
	}
	p.decision("leader is kept", "Leader", failure.leader.VM, "Token", failure.leader.Token, "Failure", failure.why, "Why", why, "Misses", e.Misses, "ForMs", e.ForMs,
		"Asked", e.Asked, "Answered", e.Answered, "Reached", e.Reached, "PatienceMs", e.Patience)
	return true
}

// askContacts asks other processes for their last reply from a leader. It returns how many were asked, how many of them
// replied and are not slow themselves, and how many had a reply that is younger than maxAge.
func (p *Process) askContacts(ctx context.Context, leader leaderRecord, maxAge ms) (asked, answered, reached int) {
	ctx, cancel := context.WithTimeout(ctx, contactTimeoutMs.Duration())
	defer cancel()
	replies := make(chan *ccpeer.LeaderContactReply, contactsAsked)
	for _, address := range p.peerAddresses() {
		if address == leader.Address || asked == contactsAsked {
			continue
		}
		asked++
		go func() {
			out, err := p.cfg.Peers.LeaderContact(ctx, address, &ccpeer.LeaderContactRequest{Token: leader.Token})
			if err != nil {
				out = nil
			}
			replies <- out
		}()
	}
	for range asked {
		out := <-replies
		if out == nil {
			continue
		}
		if !out.Slow {
			answered++
		}
		if out.AgoMs >= 0 && ms(out.AgoMs) < maxAge {
			reached++
		}
	}
	return asked, answered, reached
}

// considerSuccession decides whether this leader asks a peer to take over because it is slow. took is the duration of
// the last round of the event loop.
func (l *leadership) considerSuccession(took time.Duration) {
	p := l.p
	now := p.now()
	p.measurePace()
	l.lag.Observe(ms(took.Milliseconds()), now)
	s := ccsuccession.State{
		Region: p.cfg.Region, Cores: p.cfg.Cores, Slowness: p.succession.slowness(), Lag: l.lag.Ms(now), AgeMs: now - l.beganAt,
		Settled: l.handedOver.Load() && l.record.settled(), StoreReached: p.cfg.Store.AgeMs() < leaderStoreAgeMs, Patience: p.succession.patience(now),
	}
	if slow := s.Slowness >= ccsuccession.SlowFrom; slow != l.wasSlow {
		l.wasSlow = slow
		if slow {
			// A successor waits for the leases at workers of the roster that it does not reach, also at those that have
			// left since the last write.
			l.rosterAt = 0
		}
	}
	before, offer := l.offer.Load(), l.resignation.Offer(&s, now)
	l.offer.Store(offer)
	if before == nil && offer == nil || before != nil && offer != nil && before.Widened == offer.Widened {
		return
	}
	fields := []any{"Token", l.token, "Slowness", math.Round(s.Slowness*slownessTenths) / slownessTenths, "LagMs", s.Lag, "AgeMs", s.AgeMs}
	if offer == nil {
		p.decision("leader no longer hands over", fields...)
		return
	}
	p.decision("leader is slow: hands over", append(fields, "Region", offer.Region, "Cores", offer.Cores, "Widened", offer.Widened)...)
	l.dispatcher.wakeAll()
}

// accepts reports whether this leader hands over to a peer that waits for a reply.
func (l *leadership) accepts(peer *peerState) bool {
	offer := l.offer.Load()
	if offer == nil {
		return false
	}
	p := l.p
	p.mu.Lock()
	m, listed := p.members[peer.vm]
	p.mu.Unlock()
	c := ccsuccession.Candidate{VM: m.VM, Region: m.Region, Cores: m.Cores, Demoted: p.succession.isDemoted(m.VM, p.now())}
	peer.mu.Lock()
	defer peer.mu.Unlock()
	c.Slowness, c.ReportedAt = float64(peer.slowTenths)/slownessTenths, peer.confirmedAt
	return listed && !peer.draining && peer.voter.StartMs == m.StartMs && offer.Accepts(&c)
}

// handOver ends the term in favour of the process on a VM, which this leader has chosen as its successor. The successor
// need not wait for anything then. It returns false if the term had ended before.
func (l *leadership) handOver(vm string) bool {
	// The token is stored first, so that the calls of other followers that the end wakes are told of it.
	prior := l.p.handedOver.Swap(l.token)
	if l.end("slow: handed over to " + vm) {
		return true
	}
	l.p.handedOver.CompareAndSwap(l.token, prior)
	return false
}

// noLeaderReply returns the reply of a process that does not lead.
func (p *Process) noLeaderReply() *ccpeer.SyncReply {
	leader, _ := p.currentLeader()
	if leader.Token == 0 || leader.Token != p.handedOver.Load() {
		return &ccpeer.SyncReply{}
	}
	return &ccpeer.SyncReply{Token: leader.Token, HandedOver: true}
}

// wakeAll lets the calls of Sync that wait for a change look for one again.
func (d *adviceDispatcher) wakeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.peers {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// recordSlowness records SyncRequest.SlowTenths of a peer.
func (d *adviceDispatcher) recordSlowness(s *peerState, tenths int64) {
	s.mu.Lock()
	s.slowTenths = tenths
	isSlow := s.reports.Add(float64(tenths) / slownessTenths)
	s.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, was := d.slow[s.vm]; was == isSlow {
		return
	}
	slow := map[string]int64{}
	maps.Copy(slow, d.slow)
	if delete(slow, s.vm); isSlow {
		slow[s.vm] = tenths
	}
	d.slow = slow
	d.slowVersion++
}

// slowPeers returns SyncReply.Slow for a peer that has received a reply of receivedMs last.
func (d *adviceDispatcher) slowPeers(s *peerState, receivedMs, now ms) map[string]int64 {
	d.mu.Lock()
	slow, version := d.slow, d.slowVersion
	d.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(slow) == 0 || s.slowSent == version && receivedMs >= s.slowSentAt && now-s.slowSentAt < slowRepeatMs {
		return nil
	}
	if s.slowSent != version || now-s.slowSentAt >= slowRepeatMs {
		s.slowSent, s.slowSentAt = version, now // Else the reply may be lost: it is repeated until the peer has it.
	}
	return slow
}

// learnSlow records SyncReply.Slow.
func (s *succession) learnSlow(slow map[string]int64, now ms) {
	if len(slow) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowPeers, s.slowPeersAt = slow, now
}

// peerSlowness returns the slowness of another process as the leader has told, 1 if it has not.
func (s *succession) peerSlowness(vm string, now ms) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.slowPeersAt >= slowForgetMs {
		return 1
	}
	return max(float64(s.slowPeers[vm])/slownessTenths, 1)
}
