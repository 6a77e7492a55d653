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
	k     *Manager
	v     View
	now   ccclock.Millis
	load  map[holder]int
	alive map[string]Candidate
	moves int
}

// holder is an owner of shards of one class. Loads are compared within a class, as a bucket of jobs
// weighs nothing like a rack of workers.
type holder struct {
	id    string
	class string
}

// classOf returns the part of a shard's name before the colon.
func classOf(name string) string {
	class, _, _ := strings.Cut(name, ":")
	return class
}

// Plan returns the records that this process should write now. When it returns any, the caller
// must write them all in one compare-and-swap on Version, and report the end by Observe or WriteFailed.
// Until then no promise counts for these shards, neither given nor received.
func (k *Manager) Plan(v View, now ccclock.Millis) []Change {
	p := &planner{k: k, v: v, now: now, load: map[holder]int{}, alive: map[string]Candidate{}}
	for _, c := range v.Candidates {
		if !c.Leaving {
			p.alive[c.ID] = c
		}
	}
	for name, s := range k.shards {
		p.load[holder{s.rec.Owner, classOf(name)}]++
	}
	var changes []Change
	names := slices.Sorted(slices.Values(v.Shards))
	for _, name := range names {
		rec, ok := p.propose(name)
		if ok {
			changes = append(changes, Change{Shard: name, Record: rec})
		}
	}
	k.begin(changes)
	return changes
}

// begin notes a write in flight. A write on the same version stays in doubt beside it.
func (k *Manager) begin(changes []Change) {
	if len(changes) == 0 {
		return
	}
	if k.pending == nil || k.pending.version != k.version {
		k.pending = &write{version: k.version, shards: map[string]bool{}}
	}
	for _, c := range changes {
		k.pending.shards[c.Shard] = true
	}
}

// WriteFailed reports that the store refused the last write for certain. It has no effect while an
// earlier write on the same version is in doubt.
func (k *Manager) WriteFailed() {
	if k.pending != nil && !k.pending.doubtful {
		k.pending = nil
	}
}

// WriteInDoubt reports that the reply to the last write was lost, so that it may take effect at any
// time until the table's version moves on.
func (k *Manager) WriteInDoubt() {
	if k.pending != nil {
		k.pending.doubtful = true
	}
}

// propose returns the next record of one shard, if it should change.
func (p *planner) propose(name string) (Record, bool) {
	s := p.k.shards[name]
	if s == nil {
		s = &shard{}
		p.k.shards[name] = s
	}
	switch {
	case s.rec.Owner == "":
		return p.adopt(name, s)
	case s.rec.Owner == p.k.cfg.Self:
		return p.keep(name, s)
	case s.rec.Successor == p.k.cfg.Self:
		return p.inherit(name, s)
	default:
		return p.rescue(name, s)
	}
}

// adopt claims a shard that has no owner.
func (p *planner) adopt(name string, s *shard) (Record, bool) {
	if p.v.Draining || p.choose(name, "", "") != p.k.cfg.Self {
		return Record{}, false
	}
	return p.record(name, s, p.k.cfg.Self, true), true
}

// keep names another heir, or hands the shard over.
func (p *planner) keep(name string, s *shard) (Record, bool) {
	if s.releasing || p.v.Draining || p.overloaded(classOf(name)) {
		return p.release(name, s)
	}
	if _, ok := p.alive[s.rec.Successor]; ok {
		return Record{}, false
	}
	heir := p.choose(name, p.k.cfg.Self, s.rec.Successor)
	if heir == "" || heir == s.rec.Successor {
		return Record{}, false
	}
	return p.record(name, s, p.k.cfg.Self, false), true
}

// overloaded reports whether a shard of a class should move away for balance. It does so at most
// MaxMoves times in a plan, only from the process with the most shards, lest several shed to the same
// one at once, and only when another has at least two fewer.
func (p *planner) overloaded(class string) bool {
	target := p.lightest(class)
	if p.moves >= p.k.cfg.MaxMoves || target == "" {
		return false
	}
	own := p.load[holder{p.k.cfg.Self, class}]
	for id := range p.alive {
		n := p.load[holder{id, class}]
		if n > own || n == own && id > p.k.cfg.Self {
			return false
		}
	}
	return own >= p.load[holder{target, class}]+2
}

// lightest returns the other living process with the fewest shards of a class.
func (p *planner) lightest(class string) string {
	best, least := "", 0
	for id := range p.alive {
		if id == p.k.cfg.Self {
			continue
		}
		n := p.load[holder{id, class}]
		if best == "" || n < least || n == least && id < best {
			best, least = id, n
		}
	}
	return best
}

// release stops the shard's starts first, and hands it over once none is in flight.
func (p *planner) release(name string, s *shard) (Record, bool) {
	class := classOf(name)
	target := p.lightest(class)
	if target == "" {
		// Nobody can take the shard: it stays here, also while this process drains. A hand-over
		// in doubt may still take effect, and keeps the shard closed.
		s.releasing = s.releasing && p.k.writing(name)
		return Record{}, false
	}
	s.releasing = true
	p.moves++
	p.load[holder{p.k.cfg.Self, class}]--
	p.load[holder{target, class}]++
	if p.v.Busy(name) || p.now < s.safeAt {
		// Also the authority of the owner before this one must have ended: the next owner
		// does not wait for it.
		return Record{}, false
	}
	return p.record(name, s, target, true), true
}

// inherit takes the shard over from an owner that is not alive, once this process's last promise
// has run out.
func (p *planner) inherit(name string, s *shard) (Record, bool) {
	if _, ok := p.alive[s.rec.Owner]; ok || p.v.Draining || p.leaving(s.rec.Owner) {
		return Record{}, false
	}
	if p.now < s.grantedUntil {
		return Record{}, false
	}
	return p.record(name, s, p.k.cfg.Self, false), true
}

// leaving reports whether a process lives and drains.
func (p *planner) leaving(id string) bool {
	return slices.ContainsFunc(p.v.Candidates, func(c Candidate) bool { return c.ID == id })
}

// rescue takes the shard over as a third process, on evidence that owner and heir are both gone.
func (p *planner) rescue(name string, s *shard) (Record, bool) {
	if p.v.Draining || !p.v.Dead(s.rec.Owner) {
		return Record{}, false
	}
	if s.rec.Successor != "" && !p.v.Dead(s.rec.Successor) {
		return Record{}, false
	}
	if p.choose(name, "", "") != p.k.cfg.Self {
		return Record{}, false
	}
	return p.record(name, s, p.k.cfg.Self, false), true
}

// record builds the next record of a shard.
func (p *planner) record(name string, s *shard, owner string, released bool) Record {
	return Record{
		Owner:     owner,
		Successor: p.choose(name, owner, s.rec.Successor),
		Epoch:     s.rec.Epoch + 1,
		Released:  released,
	}
}

// choose returns the living process with the highest hash for the shard, preferring another
// failure domain than that of owner, and never owner itself. A process found dead is no member
// of the living, so that last needs no exclusion; it only breaks ties for a living heir.
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
