// Package ccmember decides which fellow processes are alive. Liveness spreads by gossip: each
// process counts its own rounds, and every message carries the newest counts that the sender knows,
// so that a process counts as alive as long as anybody hears of it. Liveness guides routing and
// balance only; no promise of the system rests on it.
package ccmember

import (
	"math/rand/v2"
	"slices"
	"strings"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// ErrBadMember reports a member without an identity.
var ErrBadMember = errors.New("member has no ID, VM or address")

// Digest is a process's load in brief.
type Digest struct {
	// Revision of the configuration in force.
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// Waiting is the number of requests in the queue.
	Waiting int64 `cbor:"2,keyasint,omitempty"`
	// Slots is the number of slots of the usable workers owned.
	Slots int64 `cbor:"3,keyasint,omitempty"`
	// FreeSlots is the free part of Slots.
	FreeSlots int64 `cbor:"4,keyasint,omitempty"`
	// ServiceMs is the mean run of an interactive request.
	ServiceMs int64 `cbor:"5,keyasint,omitempty"`
	// FreeMilliCores and FreeMemoryMB are the free parts of the usable workers owned.
	FreeMilliCores int64 `cbor:"6,keyasint,omitempty"`
	FreeMemoryMB   int64 `cbor:"7,keyasint,omitempty"`
	// LargestMilliCores, LargestMemoryMB and LargestAccelerators are of the largest worker owned.
	LargestMilliCores   int64 `cbor:"8,keyasint,omitempty"`
	LargestMemoryMB     int64 `cbor:"9,keyasint,omitempty"`
	LargestAccelerators int64 `cbor:"10,keyasint,omitempty"`
	// Leaving processes take no new work.
	Leaving bool `cbor:"11,keyasint,omitempty"`
	// HeldSlots is the part of Slots that work without an early end holds.
	HeldSlots int64 `cbor:"12,keyasint,omitempty"`
}

// Largest returns the capacity of the largest worker owned. Slots and connections are not told.
func (d *Digest) Largest() ccwork.Size {
	return ccwork.Size{
		MilliCores:   d.LargestMilliCores,
		MemoryMB:     d.LargestMemoryMB,
		Accelerators: d.LargestAccelerators,
		Slots:        d.Slots,
		Connections:  d.Slots,
	}
}

// InteractiveSlots is the number of slots that interactive requests take turns on.
func (d *Digest) InteractiveSlots() int64 {
	return d.Slots - d.HeldSlots
}

// Member is one process.
type Member struct {
	// ID names one incarnation of the process; it is never used again.
	ID string `cbor:"1,keyasint"`
	// VM is the VM that the process runs on.
	VM string `cbor:"2,keyasint"`
	// Incarnation orders the processes of one VM.
	Incarnation int64 `cbor:"3,keyasint"`
	// Address is where fellows reach the process.
	Address       string `cbor:"4,keyasint"`
	Region        string `cbor:"5,keyasint,omitempty"`
	FailureDomain string `cbor:"6,keyasint,omitempty"`
	// Round counts the member's own rounds.
	Round  uint64 `cbor:"7,keyasint"`
	Digest Digest `cbor:"8,keyasint"`
}

// Check returns ErrBadMember when an identity is missing.
func (m *Member) Check() error {
	if m.ID == "" || m.VM == "" || m.Address == "" {
		return ErrBadMember
	}
	return nil
}

// Config sets up a Table.
type Config struct {
	Self Member
	// Suspect is how long a member may be silent before it no longer counts as alive.
	Suspect ccclock.Millis
	// Forget is how long a silent member is remembered.
	Forget ccclock.Millis
	// Fanout is the number of members a round is sent to.
	Fanout int
	// MaxEntries bounds the members that one message carries.
	MaxEntries int
	// Rand chooses the targets.
	Rand *rand.Rand
}

// Table is one process's view of all processes. It must be used by one goroutine only; no method blocks.
type Table struct {
	cfg   Config
	self  Member
	known map[string]*peer
}

// peer is what is known of one fellow.
type peer struct {
	Member
	// roundGrewAt is when its round last grew.
	roundGrewAt ccclock.Millis
}

// NewTable returns a table that knows only its own process.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, self: cfg.Self, known: map[string]*peer{}}
}

// BeginRound begins a round with the given load.
func (t *Table) BeginRound(d Digest) {
	t.self.Round++
	t.self.Digest = d
}

// Self returns this process as others see it.
func (t *Table) Self() Member {
	return t.self
}

// Entries returns what a message carries: this process, then the others, freshest first.
func (t *Table) Entries(now ccclock.Millis) []Member {
	peers := t.alive(now)
	slices.SortFunc(peers, func(a, b *peer) int {
		if a.roundGrewAt != b.roundGrewAt {
			return int(b.roundGrewAt - a.roundGrewAt)
		}
		return strings.Compare(a.ID, b.ID)
	})
	out := []Member{t.self}
	for _, p := range peers {
		if len(out) == t.cfg.MaxEntries {
			break
		}
		out = append(out, p.Member)
	}
	return out
}

// Merge takes in the entries of a message.
func (t *Table) Merge(entries []Member, now ccclock.Millis) {
	for _, m := range entries {
		if m.ID == t.self.ID || m.Check() != nil {
			continue
		}
		p := t.known[m.ID]
		if p == nil {
			t.known[m.ID] = &peer{Member: m, roundGrewAt: now}
			continue
		}
		if m.Round > p.Round {
			p.Member = m
			p.roundGrewAt = now
		}
	}
	for id, p := range t.known {
		if now > p.roundGrewAt+t.cfg.Forget {
			delete(t.known, id)
		}
	}
}

// UpdateDigest takes in a load digest that came with an answer.
func (t *Table) UpdateDigest(id string, d Digest) {
	if p := t.known[id]; p != nil {
		p.Digest = d
	}
}

// alive returns the fellows that are not suspect and not superseded on their VM.
func (t *Table) alive(now ccclock.Millis) []*peer {
	var out []*peer
	for _, p := range t.known {
		if now <= p.roundGrewAt+t.cfg.Suspect && !t.Superseded(p.ID) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *peer) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Alive returns the living fellows, without this process, ordered by ID.
func (t *Table) Alive(now ccclock.Millis) []Member {
	peers := t.alive(now)
	out := make([]Member, len(peers))
	for i, p := range peers {
		out[i] = p.Member
	}
	return out
}

// Superseded reports whether a newer process runs on the member's VM, which proves that the
// member is gone: both would hold the same address.
func (t *Table) Superseded(id string) bool {
	vm, incarnation, ok := ParseID(id)
	if !ok {
		return false
	}
	if vm == t.self.VM && incarnation < t.self.Incarnation {
		return true
	}
	for _, p := range t.known {
		if p.VM == vm && p.Incarnation > incarnation {
			return true
		}
	}
	return false
}

// Targets returns the members that this round is sent to: those named first, as they are owed
// answers, then random living ones, up to the fan-out.
func (t *Table) Targets(first []string, now ccclock.Millis) []Member {
	alive := t.Alive(now)
	t.cfg.Rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	var out []Member
	var rest []Member
	for _, m := range alive {
		if slices.Contains(first, m.ID) {
			out = append(out, m)
		} else {
			rest = append(rest, m)
		}
	}
	for _, m := range rest {
		if len(out) >= t.cfg.Fanout {
			break
		}
		out = append(out, m)
	}
	return out
}

// Lookup returns a known member.
func (t *Table) Lookup(id string) (Member, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	p := t.known[id]
	if p == nil {
		return Member{}, false
	}
	return p.Member, true
}
