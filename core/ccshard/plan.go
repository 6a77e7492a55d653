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
	// Leaving is true while the process is draining; it is assigned no shards.
	Leaving bool
}

// PlanInput is the input of a plan besides the records.
type PlanInput struct {
	// Shards are the names of the shards that should have an owner.
	Shards []string
	// Candidates are the living processes of the region, including this one.
	Candidates []Candidate
	// Dead reports whether there is evidence that a process no longer exists. A process that is only silent is not
	// dead.
	Dead func(id string) bool
	// Busy reports whether this process has a start for the shard in flight.
	Busy func(shard string) bool
	// Draining is true when this process has to hand over all of its shards.
	Draining bool
}

// planner is the state of one call of Plan.
type planner struct {
	m        *Manager
	input    PlanInput
	now      ccclock.Millis
	load     map[loadKey]int
	alive    map[string]Candidate
	releases int
}

// loadKey is a process and a class of shards. Loads are compared within a class only, since a bucket of jobs costs far
// less than a rack of workers.
type loadKey struct {
	owner string
	class string
}

// classOf returns the part of a shard's name before the colon.
func classOf(name string) string {
	class, _, _ := strings.Cut(name, ":")
	return class
}

// Plan returns the changes that this process should write now. If there are any, the caller must write all of them in
// one compare-and-swap of the table at Version, and report the result by Observe, WriteFailed or WriteInDoubt. Until
// the result is known, the grants for these shards do not count: grants received give no authority, and none are given.
func (m *Manager) Plan(input PlanInput, now ccclock.Millis) []Change {
	p := &planner{m: m, input: input, now: now, load: map[loadKey]int{}, alive: map[string]Candidate{}}
	for _, c := range input.Candidates {
		if !c.Leaving {
			p.alive[c.ID] = c
		}
	}
	for name, s := range m.shards {
		p.load[loadKey{s.rec.Owner, classOf(name)}]++
	}
	var changes []Change
	names := slices.Sorted(slices.Values(input.Shards))
	for _, name := range names {
		rec, ok := p.propose(name)
		if ok {
			changes = append(changes, Change{Shard: name, Record: rec})
		}
	}
	m.beginWrite(changes)
	return changes
}

// beginWrite records the shards of a write in pending. If an earlier write on the same version is in doubt, the new
// shards are added to that write, which stays in doubt.
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

// WriteFailed reports that the store certainly did not apply the last write. It has no effect while an earlier write on
// the same version is in doubt.
func (m *Manager) WriteFailed() {
	if m.pending != nil && !m.pending.inDoubt {
		m.pending = nil
	}
}

// WriteInDoubt reports that the reply to the last write was lost: the write may take effect at any time until the
// version of the table has changed.
func (m *Manager) WriteInDoubt() {
	if m.pending != nil {
		m.pending.inDoubt = true
	}
}

// propose returns the next record of a shard, and whether the record should change.
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

// claimUnowned claims a shard that has no owner, if choose selects this process.
func (p *planner) claimUnowned(name string, s *shard) (Record, bool) {
	if p.input.Draining || p.choose(name, "", "") != p.m.cfg.Self {
		return Record{}, false
	}
	return p.nextRecord(name, s, p.m.cfg.Self, true), true
}

// keepOrRelease handles a shard that this process owns: it replaces a successor that is not alive, or hands the shard
// over.
func (p *planner) keepOrRelease(name string, s *shard) (Record, bool) {
	if s.releasing || p.input.Draining || p.shouldRebalance(classOf(name)) {
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

// shouldRebalance reports whether this process should hand over a shard of a class for balance. It does so for at most
// MaxMoves shards in a plan, and only if another process has at least two shards fewer. Only the process with the most
// shards does it, so that several processes do not hand shards to the same one at once.
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

// leastLoaded returns the other process that is alive and not draining and has the fewest shards of a class, or "".
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

// release hands the shard over to the process with the fewest shards, if there is another one. It ends this process's
// authority at once, and returns the new record once no start is in flight.
func (p *planner) release(name string, s *shard) (Record, bool) {
	class := classOf(name)
	target := p.leastLoaded(class)
	if target == "" {
		// No process can take the shard, so it stays here even while this process drains. If an earlier handover is in
		// doubt it may still take effect, so the process may not act for the shard.
		s.releasing = s.releasing && p.m.writePending(name)
		return Record{}, false
	}
	s.releasing = true
	p.releases++
	p.load[loadKey{p.m.cfg.Self, class}]--
	p.load[loadKey{target, class}]++
	if p.input.Busy(name) || p.now < s.priorAuthorityEnd {
		// The next owner of a released shard does not wait, so the authority of the owner before this process must have
		// ended too.
		return Record{}, false
	}
	return p.nextRecord(name, s, target, true), true
}

// takeOver is for the successor of an owner that is not alive: it takes the shard over once the last grant that it gave
// has ended. An owner that is draining is alive, and hands the shard over itself.
func (p *planner) takeOver(name string, s *shard) (Record, bool) {
	if _, ok := p.alive[s.rec.Owner]; ok || p.input.Draining || p.isCandidate(s.rec.Owner) {
		return Record{}, false
	}
	if p.now < s.grantGivenUntil {
		return Record{}, false
	}
	return p.nextRecord(name, s, p.m.cfg.Self, false), true
}

// isCandidate reports whether a process is alive, draining or not.
func (p *planner) isCandidate(id string) bool {
	return slices.ContainsFunc(p.input.Candidates, func(c Candidate) bool { return c.ID == id })
}

// takeOverAbandoned is for a process that is neither owner nor successor: it takes the shard over if there is evidence
// that both are dead.
func (p *planner) takeOverAbandoned(name string, s *shard) (Record, bool) {
	if p.input.Draining || !p.input.Dead(s.rec.Owner) {
		return Record{}, false
	}
	if s.rec.Successor != "" && !p.input.Dead(s.rec.Successor) {
		return Record{}, false
	}
	if p.choose(name, "", "") != p.m.cfg.Self {
		return Record{}, false
	}
	return p.nextRecord(name, s, p.m.cfg.Self, false), true
}

// nextRecord returns the record that follows the shard's present one.
func (p *planner) nextRecord(name string, s *shard, owner string, released bool) Record {
	return Record{
		Owner:     owner,
		Successor: p.choose(name, owner, s.rec.Successor),
		Epoch:     s.rec.Epoch + 1,
		Released:  released,
	}
}

// choose returns the process to own a shard, or to be its successor, by rendezvous hashing over the processes that are
// alive and not draining, except owner. It prefers processes in another failure domain than that of owner, and among
// processes equal in this the present successor, which the caller passes as successor. A dead one is never chosen, since
// only living processes are ranked.
func (p *planner) choose(name, owner, successor string) string {
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
		if id == successor {
			rank |= 1 << 62
		}
		if best == "" || rank > bestRank {
			best, bestRank = id, rank
		}
	}
	return best
}

// rendezvous returns the hash of a shard and a process.
func rendezvous(shard, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(shard))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	// FNV spreads short keys poorly over the high bits, so the result is mixed once more.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
