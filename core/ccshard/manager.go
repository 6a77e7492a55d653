package ccshard

import (
	"coriandercross/core/ccclock"
)

// Config sets up a Manager.
type Config struct {
	// Self is the process's own ID; it is never used by another process, nor again.
	Self string
	// ReadWindow is how long a read of the record gives authority, counted from its sending,
	// and how long a taker waits after its write.
	ReadWindow ccclock.Millis
	// GrantPeriod is how long an heir promises not to take over; 0 switches promises off.
	GrantPeriod ccclock.Millis
	// Drift is the most by which two clocks differ over the longer of ReadWindow and GrantPeriod.
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
	pending *write
}

// write is a compare-and-swap in flight.
type write struct {
	version  uint64
	shards   map[string]bool
	doubtful bool
}

// shard is what is known of one shard.
type shard struct {
	rec Record
	// readAt is when the latest read that named this process as owner was sent.
	readAt ccclock.Millis
	// promisedUntil is when the heir's promise to this process ends.
	promisedUntil ccclock.Millis
	// grantedUntil is when this process's promise, given as heir, ends.
	grantedUntil ccclock.Millis
	// safeAt is when the last owner's authority has ended for certain.
	safeAt ccclock.Millis
	// releasing is true from the decision to hand over until the record has changed.
	releasing bool
}

// NewManager returns a Manager that knows no shard.
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
func (k *Manager) Authority(name string, now ccclock.Millis) (Authority, error) {
	s := k.shards[name]
	if s == nil || s.rec.Owner != k.cfg.Self {
		return Authority{}, ErrNotOwner
	}
	if s.releasing {
		return Authority{}, ErrReleasing
	}
	if now < s.safeAt {
		return Authority{}, ErrWaiting
	}
	until := k.authorityEnd(name, s)
	if now >= until {
		return Authority{}, ErrLapsed
	}
	return Authority{Epoch: s.rec.Epoch, Until: until}, nil
}

// authorityEnd returns the end of an owner's authority over a shard.
func (k *Manager) authorityEnd(name string, s *shard) ccclock.Millis {
	var until ccclock.Millis
	if s.readAt > 0 {
		until = s.readAt + k.cfg.ReadWindow - k.cfg.Drift
	}
	// A write in flight may name another heir, who has promised nothing.
	if !k.writing(name) {
		until = max(until, s.promisedUntil)
	}
	return until
}

// writing reports whether a change of the shard's record may be in flight.
func (k *Manager) writing(name string) bool {
	return k.pending != nil && k.pending.shards[name]
}

// Version returns the version of the table last seen.
func (k *Manager) Version() uint64 {
	return k.version
}

// NeedsRead reports whether a shard of this process lives on reads of the record, because
// its heir's promise is missing or near its end.
func (k *Manager) NeedsRead(now ccclock.Millis) bool {
	if k.pending != nil {
		return true
	}
	for _, s := range k.shards {
		if s.rec.Owner != k.cfg.Self {
			continue
		}
		if s.promisedUntil < now+k.cfg.GrantPeriod/3 && s.readAt+k.cfg.ReadWindow/3 < now {
			return true
		}
	}
	return false
}

// Observe takes in a table read from the store. The read was sent at sentAt and its
// reply arrived at now.
func (k *Manager) Observe(t Table, sentAt, now ccclock.Millis) {
	if t.Version < k.version {
		return
	}
	k.version = t.Version
	if k.pending != nil && t.Version > k.pending.version {
		k.pending = nil
	}
	for name, rec := range t.Records {
		k.observe(name, rec, sentAt, now)
	}
}

// observe takes in one record.
func (k *Manager) observe(name string, rec Record, sentAt, now ccclock.Millis) {
	s := k.shards[name]
	if s == nil {
		s = &shard{}
		k.shards[name] = s
	}
	if rec.Epoch < s.rec.Epoch {
		return
	}
	if rec.Epoch > s.rec.Epoch {
		k.advance(s, rec, now)
	}
	if rec.Owner == k.cfg.Self {
		s.readAt = max(s.readAt, sentAt)
	}
}

// advance moves a shard to a newer record.
func (k *Manager) advance(s *shard, rec Record, now ccclock.Millis) {
	kept := s.rec.Owner == k.cfg.Self && rec.Epoch == s.rec.Epoch+1
	s.promisedUntil = 0
	s.grantedUntil = 0
	s.releasing = s.releasing && kept && rec.Owner == k.cfg.Self
	if rec.Owner == k.cfg.Self && !kept {
		s.readAt = 0
		s.safeAt = now + k.cfg.ReadWindow + k.cfg.Drift
		if rec.Released {
			s.safeAt = now
		}
	}
	s.rec = rec
}

// GrantRequests returns the promises to ask for, by heir. The asker must note the time before it sends.
func (k *Manager) GrantRequests() map[string][]ShardEpoch {
	asks := map[string][]ShardEpoch{}
	if k.cfg.GrantPeriod == 0 {
		return asks
	}
	for name, s := range k.shards {
		if s.rec.Owner == k.cfg.Self && s.rec.Successor != "" && !s.releasing {
			asks[s.rec.Successor] = append(asks[s.rec.Successor], ShardEpoch{Shard: name, Epoch: s.rec.Epoch})
		}
	}
	return asks
}

// Grant answers an owner's asks as heir: it returns the claims that this process promises not to
// take over for the length of a promise from now.
func (k *Manager) Grant(owner string, asks []ShardEpoch, now ccclock.Millis) []ShardEpoch {
	var granted []ShardEpoch
	for _, ask := range asks {
		if k.grant(owner, ask, now) {
			granted = append(granted, ask)
		}
	}
	return granted
}

// grant answers one ask.
func (k *Manager) grant(owner string, ask ShardEpoch, now ccclock.Millis) bool {
	s := k.shards[ask.Shard]
	if s == nil {
		s = &shard{}
		k.shards[ask.Shard] = s
	}
	if ask.Epoch > s.rec.Epoch {
		// The owner's word for its own record is as good as a read, and reaches us in an outage.
		k.advance(s, Record{Owner: owner, Successor: k.cfg.Self, Epoch: ask.Epoch}, now)
	}
	if s.rec.Epoch != ask.Epoch || s.rec.Owner != owner || s.rec.Successor != k.cfg.Self {
		return false
	}
	if k.writing(ask.Shard) {
		return false
	}
	s.grantedUntil = now + k.cfg.GrantPeriod + k.cfg.Drift
	return true
}

// RecordGrants takes in an heir's answer to asks sent at askedAt.
func (k *Manager) RecordGrants(heir string, granted []ShardEpoch, askedAt ccclock.Millis) {
	for _, g := range granted {
		s := k.shards[g.Shard]
		if s == nil || s.rec.Epoch != g.Epoch || s.rec.Successor != heir {
			continue
		}
		s.promisedUntil = max(s.promisedUntil, askedAt+k.cfg.GrantPeriod-k.cfg.Drift)
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
func (k *Manager) Statuses(now ccclock.Millis) []ShardStatus {
	var out []ShardStatus
	for name, s := range k.shards {
		h := ShardStatus{Shard: name, Record: s.rec, State: "Acting"}
		if _, err := k.Authority(name, now); err != nil {
			h.State = err.Error()
		}
		out = append(out, h)
	}
	return out
}

// Record returns the newest record known of a shard.
func (k *Manager) Record(name string) Record {
	if s := k.shards[name]; s != nil {
		return s.rec
	}
	return Record{}
}

// Owned returns the names of the shards whose record names this process, acting or not.
func (k *Manager) Owned() []string {
	var names []string
	for name, s := range k.shards {
		if s.rec.Owner == k.cfg.Self {
			names = append(names, name)
		}
	}
	return names
}
