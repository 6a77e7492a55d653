package ccshard

import (
	"hash/fnv"
	"slices"
	"strings"

	"coriandercross/core/ccclock"
)

// Candidate is a living process that may own shards of the region.
type Candidate struct {
	ID            string
	FailureDomain string
	// Leaving processes are given nothing.
	Leaving bool
}

// View is what a plan rests on besides the records.
type View struct {
	// Shards are the shards that should have an owner.
	Shards []string
	// Candidates are the living processes of the region, this one included.
	Candidates []Candidate
	// Dead reports evidence that a process no longer exists.
	Dead func(id string) bool
	// Busy reports that a start of this process for a shard is in flight.
	Busy func(shard string) bool
	// Draining is true when this process hands over everything.
	Draining bool
}

// planner is one run of Plan.
type planner struct {
	m        *Manager
	view     View
	now      ccclock.Millis
	load     map[loadKey]int
	alive    map[string]Candidate
	releases int
}

// loadKey is an owner of shards of one class. Loads are compared within a class, as a bucket of jobs
// weighs nothing like a rack of workers.
type loadKey struct {
	owner string
	class string
}

// classOf returns the part of a shard's name before the colon.
func classOf(name string) string {
	class, _, _ := strings.Cut(name, ":")
	return class
}

// Plan returns the records that this process should write now. When it returns any, the caller
// must write them all in one compare-and-swap on Version, and report the end by Observe or Failed.
// Until then no promise counts for these shards, neither given nor received.
func (m *Manager) Plan(v View, now ccclock.Millis) []Change {
	p := &planner{m: m, view: v, now: now, load: map[loadKey]int{}, alive: map[string]Candidate{}}
	for _, c := range v.Candidates {
		if !c.Leaving {
			p.alive[c.ID] = c
		}
	}
	for name, s := range m.shards {
		p.load[loadKey{s.rec.Owner, classOf(name)}]++
	}
	var changes []Change
	names := slices.Sorted(slices.Values(v.Shards))
	for _, name := range names {
		rec, ok := p.propose(name)
		if ok {
			changes = append(changes, Change{Shard: name, Record: rec})
		}
	}
	m.beginWrite(changes)
	return changes
}

// beginWrite notes a write in flight. A write on the same version stays in doubt beside it.
func (m *Manager) beginWrite(changes []Change) {
	if len(changes) == 0 {
		return
	}
	if m.pending == nil || m.pending.version != m.version {
		m.pending = &tableWrite{version: m.version, shards: map[string]bool{}}
	}
	for _, c := range changes {
		m.pending.shards[c.Shard] = true
	}
}

// WriteFailed reports that the store refused the last write for certain. It has no effect while an
// earlier write on the same version is in doubt.
func (m *Manager) WriteFailed() {
	if m.pending != nil && !m.pending.inDoubt {
		m.pending = nil
	}
}

// WriteInDoubt reports that the reply to the last write was lost, so that it may take effect at any
// time until the table's version moves on.
func (m *Manager) WriteInDoubt() {
	if m.pending != nil {
		m.pending.inDoubt = true
	}
}

// propose returns the next record of one shard, if it should change.
func (p *planner) propose(name string) (Record, bool) {
	s := p.m.shards[name]
	if s == nil {
		s = &shard{}
		p.m.shards[name] = s
	}
	switch {
	case s.rec.Owner == "":
		return p.claimUnowned(name, s)
	case s.rec.Owner == p.m.cfg.Self:
		return p.keepOrRelease(name, s)
	case s.rec.Successor == p.m.cfg.Self:
		return p.takeOver(name, s)
	default:
		return p.takeOverAbandoned(name, s)
	}
}

// claimUnowned claims a shard that has no owner.
func (p *planner) claimUnowned(name string, s *shard) (Record, bool) {
	if p.view.Draining || p.choose(name, "", "") != p.m.cfg.Self {
		return Record{}, false
	}
	return p.nextRecord(name, s, p.m.cfg.Self, true), true
}

// keepOrRelease names another successor, or hands the shard over.
func (p *planner) keepOrRelease(name string, s *shard) (Record, bool) {
	if s.releasing || p.view.Draining || p.shouldRebalance(classOf(name)) {
		return p.release(name, s)
	}
	if _, ok := p.alive[s.rec.Successor]; ok {
		return Record{}, false
	}
	successor := p.choose(name, p.m.cfg.Self, s.rec.Successor)
	if successor == "" || successor == s.rec.Successor {
		return Record{}, false
	}
	return p.nextRecord(name, s, p.m.cfg.Self, false), true
}

// shouldRebalance reports whether a shard of a class should move away for balance. It does so at most
// MaxMoves times in a plan, only from the process with the most shards, lest several shed to the same
// one at once, and only when another has at least two fewer.
func (p *planner) shouldRebalance(class string) bool {
	target := p.leastLoaded(class)
	if p.releases >= p.m.cfg.MaxMoves || target == "" {
		return false
	}
	own := p.load[loadKey{p.m.cfg.Self, class}]
	for id := range p.alive {
		n := p.load[loadKey{id, class}]
		if n > own || n == own && id > p.m.cfg.Self {
			return false
		}
	}
	return own >= p.load[loadKey{target, class}]+2
}

// leastLoaded returns the other living process with the fewest shards of a class.
func (p *planner) leastLoaded(class string) string {
	best, least := "", 0
	for id := range p.alive {
		if id == p.m.cfg.Self {
			continue
		}
		n := p.load[loadKey{id, class}]
		if best == "" || n < least || n == least && id < best {
			best, least = id, n
		}
	}
	return best
}

// release stops the shard's starts first, and hands it over once none is in flight.
func (p *planner) release(name string, s *shard) (Record, bool) {
	class := classOf(name)
	target := p.leastLoaded(class)
	if target == "" {
		// Nobody can take the shard: it stays here, also while this process drains. A hand-over
		// in doubt may still take effect, and keeps the shard closed.
		s.releasing = s.releasing && p.m.writePending(name)
		return Record{}, false
	}
	s.releasing = true
	p.releases++
	p.load[loadKey{p.m.cfg.Self, class}]--
	p.load[loadKey{target, class}]++
	if p.view.Busy(name) || p.now < s.priorAuthorityEnd {
		// Also the authority of the owner before this one must have ended: the next owner
		// does not wait for it.
		return Record{}, false
	}
	return p.nextRecord(name, s, target, true), true
}

// takeOver takes the shard over from an owner that is not alive, once this process's last promise
// has run out.
func (p *planner) takeOver(name string, s *shard) (Record, bool) {
	if _, ok := p.alive[s.rec.Owner]; ok || p.view.Draining || p.isCandidate(s.rec.Owner) {
		return Record{}, false
	}
	if p.now < s.grantGivenUntil {
		return Record{}, false
	}
	return p.nextRecord(name, s, p.m.cfg.Self, false), true
}

// isCandidate reports whether a process lives and drains.
func (p *planner) isCandidate(id string) bool {
	return slices.ContainsFunc(p.view.Candidates, func(c Candidate) bool { return c.ID == id })
}

// takeOverAbandoned takes the shard over as a third process, on evidence that owner and successor are both gone.
func (p *planner) takeOverAbandoned(name string, s *shard) (Record, bool) {
	if p.view.Draining || !p.view.Dead(s.rec.Owner) {
		return Record{}, false
	}
	if s.rec.Successor != "" && !p.view.Dead(s.rec.Successor) {
		return Record{}, false
	}
	if p.choose(name, "", "") != p.m.cfg.Self {
		return Record{}, false
	}
	return p.nextRecord(name, s, p.m.cfg.Self, false), true
}

// nextRecord builds the next nextRecord of a shard.
func (p *planner) nextRecord(name string, s *shard, owner string, released bool) Record {
	return Record{
		Owner:     owner,
		Successor: p.choose(name, owner, s.rec.Successor),
		Epoch:     s.rec.Epoch + 1,
		Released:  released,
	}
}

// choose returns the living process with the highest hash for the shard, preferring another
// failure domain than that of owner, and never owner itself. A process found dead is no member
// of the living, so that last needs no exclusion; it only breaks ties for a living successor.
func (p *planner) choose(name, owner, last string) string {
	domain := p.alive[owner].FailureDomain
	if owner == "" {
		domain = ""
	}
	best, bestRank := "", uint64(0)
	for id, c := range p.alive {
		if id == owner {
			continue
		}
		rank := rendezvous(name, id) >> 2
		if c.FailureDomain != domain {
			rank |= 1 << 63
		}
		if id == last {
			rank |= 1 << 62
		}
		if best == "" || rank > bestRank {
			best, bestRank = id, rank
		}
	}
	return best
}

// rendezvous hashes a shard and a process together.
func rendezvous(shard, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(shard))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	// FNV spreads short keys poorly into the high bits; a multiply-xor finish mends that.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
