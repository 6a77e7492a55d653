package ccshard

import (
	"coriandercross/core/ccclock"
)

// Config configures a Manager.
type Config struct {
	// Self is the ID of this process. No other process and no later incarnation has the same ID.
	Self string
	// ReadWindow is how long a read of the record gives the owner authority, counted from when the read was sent. A
	// process that takes a shard over waits that long, plus Drift, before it acts.
	ReadWindow ccclock.Millis
	// GrantPeriod is how long a successor undertakes not to take over. With 0, no grants are requested.
	GrantPeriod ccclock.Millis
	// Drift is the maximum by which two clocks drift apart over the longer of ReadWindow and GrantPeriod.
	Drift ccclock.Millis
	// MaxMoves limits the shards handed over for balance in one plan.
	MaxMoves int
}

// Manager is one process's view of the shards of its region: it acquires, holds and releases them. It is not safe for
// concurrent use. No method blocks.
type Manager struct {
	cfg     Config
	version uint64
	shards  map[string]*shard
	// pending is the write whose result is not known, or nil.
	pending *tableWrite
}

// tableWrite is a compare-and-swap of the table that was sent or is about to be.
type tableWrite struct {
	version uint64
	shards  map[string]bool
	inDoubt bool
}

// shard is the state of one shard.
type shard struct {
	rec Record
	// readAt is when the latest read that named this process as the owner was sent.
	readAt ccclock.Millis
	// grantReceivedUntil is the end of the successor's grant to this process.
	grantReceivedUntil ccclock.Millis
	// grantGivenUntil is the end of the grant that this process gave as the successor.
	grantGivenUntil ccclock.Millis
	// priorAuthorityEnd is when the authority of the previous owner has certainly ended.
	priorAuthorityEnd ccclock.Millis
	// releasing is true from the decision to hand the shard over until the record has changed.
	releasing bool
}

// NewManager returns a Manager that knows of no shards.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, shards: map[string]*shard{}}
}

// Authority is the right to act for a shard until a given time.
type Authority struct {
	Epoch uint64
	// Until is a time of this process's clock.
	Until ccclock.Millis
}

// Authority returns the authority over a shard at now. It fails with ErrNotOwner, ErrReleasing, ErrWaiting or
// ErrLapsed.
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

// authorityEnd returns when this process's authority over a shard that it owns ends.
func (m *Manager) authorityEnd(name string, s *shard) ccclock.Millis {
	var until ccclock.Millis
	if s.readAt > 0 {
		until = s.readAt + m.cfg.ReadWindow - m.cfg.Drift
	}
	// A pending write may have replaced the successor; the grant of the previous successor does not bind the new one.
	if !m.writePending(name) {
		until = max(until, s.grantReceivedUntil)
	}
	return until
}

// writePending reports whether a write that changes the shard's record may still take effect.
func (m *Manager) writePending(name string) bool {
	return m.pending != nil && m.pending.shards[name]
}

// Version returns the version of the newest table that was read.
func (m *Manager) Version() uint64 {
	return m.version
}

// NeedsRead reports whether the table has to be read: because the result of a write is not known, or because the
// successor's grant for an owned shard is missing or about to end, so that the authority depends on reads of the
// record.
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

// Observe processes a table read from the store. The read was sent at sentAt and its reply arrived at now.
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

// observe processes one record.
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

// adoptRecord replaces a shard's record by a newer one.
func (m *Manager) adoptRecord(s *shard, rec Record, now ccclock.Millis) {
	// If this process owned the shard in the previous epoch, no other process had authority in between.
	ownedBefore := s.rec.Owner == m.cfg.Self && rec.Epoch == s.rec.Epoch+1
	s.grantReceivedUntil = 0
	s.grantGivenUntil = 0
	s.releasing = s.releasing && ownedBefore && rec.Owner == m.cfg.Self
	if rec.Owner == m.cfg.Self && !ownedBefore {
		s.readAt = 0
		s.priorAuthorityEnd = now + m.cfg.ReadWindow + m.cfg.Drift
		if rec.Released {
			s.priorAuthorityEnd = now
		}
	}
	s.rec = rec
}

// GrantRequests returns the grants to request, by successor. The caller must read the clock before it sends the
// requests, and pass that time to RecordGrants.
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

// Grant handles an owner's grant requests. It returns those granted: this process, as the successor, does not take
// these shards over for GrantPeriod from now.
func (m *Manager) Grant(owner string, requests []ShardEpoch, now ccclock.Millis) []ShardEpoch {
	var granted []ShardEpoch
	for _, e := range requests {
		if m.grant(owner, e, now) {
			granted = append(granted, e)
		}
	}
	return granted
}

// grant handles one request.
func (m *Manager) grant(owner string, e ShardEpoch, now ccclock.Millis) bool {
	s := m.shards[e.Shard]
	if s == nil {
		s = &shard{}
		m.shards[e.Shard] = s
	}
	if e.Epoch > s.rec.Epoch {
		// An owner knows its own record, so its message counts as a read of the record. Unlike a read, it also arrives
		// during an outage of the store.
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

// RecordGrants records the grants in a successor's reply to requests that were sent at requestedAt.
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
	// State is "Acting", or the reason why the process may not act for the shard.
	State string
}

// Statuses returns the status of every known shard, in no particular order.
func (m *Manager) Statuses(now ccclock.Millis) []ShardStatus {
	var out []ShardStatus
	for name, s := range m.shards {
		st := ShardStatus{Shard: name, Record: s.rec, State: "Acting"}
		if _, err := m.Authority(name, now); err != nil {
			st.State = err.Error()
		}
		out = append(out, st)
	}
	return out
}

// Record returns the newest known record of a shard.
func (m *Manager) Record(name string) Record {
	if s := m.shards[name]; s != nil {
		return s.rec
	}
	return Record{}
}

// Owned returns the names of the shards whose record names this process as the owner, whether or not it has authority
// over them.
func (m *Manager) Owned() []string {
	var names []string
	for name, s := range m.shards {
		if s.rec.Owner == m.cfg.Self {
			names = append(names, name)
		}
	}
	return names
}
