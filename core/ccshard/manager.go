package ccshard

import (
	"coriandercross/core/ccclock"
)

// Config sets up a Keeper.
type Config struct {
	// Self is the process's own ID; it is never used by another process, nor again.
	Self string
	// ReadWindow is how long a read of the record gives authority, counted from its sending,
	// and how long a taker waits after its write.
	ReadWindow ccclock.Millis
	// GrantPeriod is how long an successor promises not to take over; 0 switches promises off.
	GrantPeriod ccclock.Millis
	// Drift is the most by which two clocks differ over the longer of Window and Promise.
	Drift ccclock.Millis
	// MaxMoves bounds the shards handed over for balance in one plan.
	MaxMoves int
}

// Manager holds one process's view of the shards of its region. It must be used by one
// goroutine only; no method blocks.
type Manager struct {
	cfg     Config
	version uint64
	shards  map[string]*shard
	// pending is the write whose outcome is not known, nil when there is none.
	pending *tableWrite
}

// tableWrite is a compare-and-swap in flight.
type tableWrite struct {
	version uint64
	shards  map[string]bool
	inDoubt bool
}

// shard is what is known of one shard.
type shard struct {
	rec Record
	// readAt is when the latest read that named this process as owner was sent.
	readAt ccclock.Millis
	// grantReceivedUntil is when the successor's promise to this process ends.
	grantReceivedUntil ccclock.Millis
	// grantGivenUntil is when this process's promise, given as successor, ends.
	grantGivenUntil ccclock.Millis
	// priorAuthorityEnd is when the last owner's authority has ended for certain.
	priorAuthorityEnd ccclock.Millis
	// releasing is true from the decision to hand over until the record has changed.
	releasing bool
}

// NewManager returns a Keeper that knows no shard.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, shards: map[string]*shard{}}
}

// Authority is the right to act for a shard until a point in time.
type Authority struct {
	Epoch uint64
	// Until is on the process's own clock.
	Until ccclock.Millis
}

// Authority returns the right to act for a shard at now. It fails with ErrNotOwner, ErrReleasing,
// ErrWaiting or ErrLapsed.
func (m *Manager) Authority(name string, now ccclock.Millis) (Authority, error) {
	s := m.shards[name]
	if s == nil || s.rec.Owner != m.cfg.Self {
		return Authority{}, ErrNotOwner
	}
	if s.releasing {
		return Authority{}, ErrReleasing
	}
	if now < s.priorAuthorityEnd {
		return Authority{}, ErrWaiting
	}
	until := m.authorityEnd(name, s)
	if now >= until {
		return Authority{}, ErrLapsed
	}
	return Authority{Epoch: s.rec.Epoch, Until: until}, nil
}

// authorityEnd returns the end of an owner's authority over a shard.
func (m *Manager) authorityEnd(name string, s *shard) ccclock.Millis {
	var until ccclock.Millis
	if s.readAt > 0 {
		until = s.readAt + m.cfg.ReadWindow - m.cfg.Drift
	}
	// A write in flight may name another successor, who has promised nothing.
	if !m.writePending(name) {
		until = max(until, s.grantReceivedUntil)
	}
	return until
}

// writePending reports whether a change of the shard's record may be in flight.
func (m *Manager) writePending(name string) bool {
	return m.pending != nil && m.pending.shards[name]
}

// Version returns the version of the table last seen.
func (m *Manager) Version() uint64 {
	return m.version
}

// NeedsRead reports whether a shard of this process lives on reads of the record, because
// its successor's promise is missing or near its end.
func (m *Manager) NeedsRead(now ccclock.Millis) bool {
	if m.pending != nil {
		return true
	}
	for _, s := range m.shards {
		if s.rec.Owner != m.cfg.Self {
			continue
		}
		if s.grantReceivedUntil < now+m.cfg.GrantPeriod/3 && s.readAt+m.cfg.ReadWindow/3 < now {
			return true
		}
	}
	return false
}

// Observe takes in a table read from the store. The read was sent at sentAt and its
// reply arrived at now.
func (m *Manager) Observe(t Table, sentAt, now ccclock.Millis) {
	if t.Version < m.version {
		return
	}
	m.version = t.Version
	if m.pending != nil && t.Version > m.pending.version {
		m.pending = nil
	}
	for name, rec := range t.Records {
		m.observe(name, rec, sentAt, now)
	}
}

// observe takes in one record.
func (m *Manager) observe(name string, rec Record, sentAt, now ccclock.Millis) {
	s := m.shards[name]
	if s == nil {
		s = &shard{}
		m.shards[name] = s
	}
	if rec.Epoch < s.rec.Epoch {
		return
	}
	if rec.Epoch > s.rec.Epoch {
		m.adoptRecord(s, rec, now)
	}
	if rec.Owner == m.cfg.Self {
		s.readAt = max(s.readAt, sentAt)
	}
}

// adoptRecord moves a shard to a newer record.
func (m *Manager) adoptRecord(s *shard, rec Record, now ccclock.Millis) {
	kept := s.rec.Owner == m.cfg.Self && rec.Epoch == s.rec.Epoch+1
	s.grantReceivedUntil = 0
	s.grantGivenUntil = 0
	s.releasing = s.releasing && kept && rec.Owner == m.cfg.Self
	if rec.Owner == m.cfg.Self && !kept {
		s.readAt = 0
		s.priorAuthorityEnd = now + m.cfg.ReadWindow + m.cfg.Drift
		if rec.Released {
			s.priorAuthorityEnd = now
		}
	}
	s.rec = rec
}

// GrantRequests returns the promises to e for, by successor. The asker must note the time before it sends.
func (m *Manager) GrantRequests() map[string][]ShardEpoch {
	requests := map[string][]ShardEpoch{}
	if m.cfg.GrantPeriod == 0 {
		return requests
	}
	for name, s := range m.shards {
		if s.rec.Owner == m.cfg.Self && s.rec.Successor != "" && !s.releasing {
			requests[s.rec.Successor] = append(requests[s.rec.Successor], ShardEpoch{Shard: name, Epoch: s.rec.Epoch})
		}
	}
	return requests
}

// Grant answers an owner's requests as successor: it returns the claims that this process promises not to
// take over for the length of a promise from now.
func (m *Manager) Grant(owner string, requests []ShardEpoch, now ccclock.Millis) []ShardEpoch {
	var granted []ShardEpoch
	for _, e := range requests {
		if m.grant(owner, e, now) {
			granted = append(granted, e)
		}
	}
	return granted
}

// grant answers one e.
func (m *Manager) grant(owner string, e ShardEpoch, now ccclock.Millis) bool {
	s := m.shards[e.Shard]
	if s == nil {
		s = &shard{}
		m.shards[e.Shard] = s
	}
	if e.Epoch > s.rec.Epoch {
		// The owner's word for its own record is as good as a read, and reaches us in an outage.
		m.adoptRecord(s, Record{Owner: owner, Successor: m.cfg.Self, Epoch: e.Epoch}, now)
	}
	if s.rec.Epoch != e.Epoch || s.rec.Owner != owner || s.rec.Successor != m.cfg.Self {
		return false
	}
	if m.writePending(e.Shard) {
		return false
	}
	s.grantGivenUntil = now + m.cfg.GrantPeriod + m.cfg.Drift
	return true
}

// RecordGrants takes in an successor's answer to requests sent at requestedAt.
func (m *Manager) RecordGrants(successor string, granted []ShardEpoch, requestedAt ccclock.Millis) {
	for _, g := range granted {
		s := m.shards[g.Shard]
		if s == nil || s.rec.Epoch != g.Epoch || s.rec.Successor != successor {
			continue
		}
		s.grantReceivedUntil = max(s.grantReceivedUntil, requestedAt+m.cfg.GrantPeriod-m.cfg.Drift)
	}
}

// ShardStatus is one shard in a state dump.
type ShardStatus struct {
	Shard  string
	Record Record
	// State is "Acting", or the reason why the process does not act.
	State string
}

// Statuses returns the shards known, in no order.
func (m *Manager) Statuses(now ccclock.Millis) []ShardStatus {
	var out []ShardStatus
	for name, s := range m.shards {
		h := ShardStatus{Shard: name, Record: s.rec, State: "Acting"}
		if _, err := m.Authority(name, now); err != nil {
			h.State = err.Error()
		}
		out = append(out, h)
	}
	return out
}

// Record returns the newest record known of a shard.
func (m *Manager) Record(name string) Record {
	if s := m.shards[name]; s != nil {
		return s.rec
	}
	return Record{}
}

// Owned returns the names of the shards whose record names this process, acting or not.
func (m *Manager) Owned() []string {
	var names []string
	for name, s := range m.shards {
		if s.rec.Owner == m.cfg.Self {
			names = append(names, name)
		}
	}
	return names
}
