// Package ccmember tracks which processes are alive, by gossip. Each process counts its gossip rounds, and every
// message carries the newest counts known to its sender. So a process whose messages reach only some of the others
// still counts as alive at all of them. Liveness is used for routing and balance only: a wrong result may cost time,
// but breaks no guarantee of the system.
package ccmember

import (
	"math/rand/v2"
	"slices"
	"strings"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
)

// ErrBadMember reports a member without an ID, VM or address.
var ErrBadMember = errors.New("member has no ID, VM or address")

// Digest is a summary of the load of a process.
type Digest struct {
	// Revision is that of the configuration in force.
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// Waiting is the number of requests in the queue.
	Waiting int64 `cbor:"2,keyasint,omitempty"`
	// Slots is the number of slots of those workers of the process that may get tasks.
	Slots int64 `cbor:"3,keyasint,omitempty"`
	// FreeSlots is the number of free slots among Slots.
	FreeSlots int64 `cbor:"4,keyasint,omitempty"`
	// ServiceMs is the mean run time of an interactive request.
	ServiceMs int64 `cbor:"5,keyasint,omitempty"`
	// FreeMilliCores and FreeMemoryMB are the free capacity of those workers of the process that may get tasks.
	FreeMilliCores int64 `cbor:"6,keyasint,omitempty"`
	FreeMemoryMB   int64 `cbor:"7,keyasint,omitempty"`
	// LargestMilliCores, LargestMemoryMB and LargestAccelerators are the largest capacities of any worker of the
	// process.
	LargestMilliCores   int64 `cbor:"8,keyasint,omitempty"`
	LargestMemoryMB     int64 `cbor:"9,keyasint,omitempty"`
	LargestAccelerators int64 `cbor:"10,keyasint,omitempty"`
	// Leaving is true while the process is draining: it takes no new work.
	Leaving bool `cbor:"11,keyasint,omitempty"`
	// DeferrableSlots is the part of Slots that long and deferrable work uses.
	DeferrableSlots int64 `cbor:"12,keyasint,omitempty" json:"HeldSlots"`
}

// Largest returns the capacity of the largest worker of the process. A digest has no such figure for slots and
// connections, so these are the sum of all slots.
func (d *Digest) Largest() ccwork.Size {
	return ccwork.Size{
		MilliCores:   d.LargestMilliCores,
		MemoryMB:     d.LargestMemoryMB,
		Accelerators: d.LargestAccelerators,
		Slots:        d.Slots,
		Connections:  d.Slots,
	}
}

// InteractiveSlots returns the number of slots that interactive requests can use: those that long and deferrable work
// does not.
func (d *Digest) InteractiveSlots() int64 {
	return d.Slots - d.DeferrableSlots
}

// Member is one process.
type Member struct {
	// ID identifies one incarnation of the process and is never used again.
	ID string `cbor:"1,keyasint"`
	// VM is the name of the VM on which the process runs.
	VM string `cbor:"2,keyasint"`
	// Incarnation grows with each process that is started on the VM.
	Incarnation int64 `cbor:"3,keyasint"`
	// Address is where other processes reach this one.
	Address       string `cbor:"4,keyasint"`
	Region        string `cbor:"5,keyasint,omitempty"`
	FailureDomain string `cbor:"6,keyasint,omitempty"`
	// Round is the number of gossip rounds of the process.
	Round  uint64 `cbor:"7,keyasint"`
	Digest Digest `cbor:"8,keyasint"`
}

// Check returns ErrBadMember if the ID, the VM or the address is missing.
func (m *Member) Check() error {
	if m.ID == "" || m.VM == "" || m.Address == "" {
		return ErrBadMember
	}
	return nil
}

// Config configures a Table.
type Config struct {
	Self Member
	// Suspect is how long a member's Round may remain unchanged before the member no longer counts as alive.
	Suspect ccclock.Millis
	// Forget is how long a member's Round may remain unchanged before the member is deleted.
	Forget ccclock.Millis
	// Fanout is the number of members to which a message is sent in each round.
	Fanout int
	// MaxMembers is the maximum number of members in one message.
	MaxMembers int
	// Rand is the source for the choice of targets.
	Rand *rand.Rand
}

// Table is one process's view of all processes. It is not safe for concurrent use. No method blocks.
type Table struct {
	cfg   Config
	self  Member
	known map[string]*peer
}

// peer is another process, as known from gossip.
type peer struct {
	Member
	// roundGrewAt is when a greater Round was last received.
	roundGrewAt ccclock.Millis
}

// NewTable returns a table that has only its own process.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, self: cfg.Self, known: map[string]*peer{}}
}

// BeginRound begins a gossip round with the current load of this process.
func (t *Table) BeginRound(d Digest) {
	t.self.Round++
	t.self.Digest = d
}

// Self returns this process as a member.
func (t *Table) Self() Member {
	return t.self
}

// Members returns the members for a message: this process first, then the living others, the most recently updated
// first.
func (t *Table) Members(now ccclock.Millis) []Member {
	peers := t.alive(now)
	slices.SortFunc(peers, func(a, b *peer) int {
		if a.roundGrewAt != b.roundGrewAt {
			return int(b.roundGrewAt - a.roundGrewAt)
		}
		return strings.Compare(a.ID, b.ID)
	})
	out := []Member{t.self}
	for _, p := range peers {
		if len(out) == t.cfg.MaxMembers {
			break
		}
		out = append(out, p.Member)
	}
	return out
}

// Merge updates the table from the members in a message.
func (t *Table) Merge(members []Member, now ccclock.Millis) {
	for _, m := range members {
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

// UpdateDigest replaces a member's digest by one that came with a reply of the member.
func (t *Table) UpdateDigest(id string, d Digest) {
	if p := t.known[id]; p != nil {
		p.Digest = d
	}
}

// alive returns the other processes that are neither suspect nor superseded, ordered by ID.
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

// Alive returns the living processes except this one, ordered by ID.
func (t *Table) Alive(now ccclock.Millis) []Member {
	peers := t.alive(now)
	out := make([]Member, len(peers))
	for i, p := range peers {
		out[i] = p.Member
	}
	return out
}

// Superseded reports whether a newer process runs on the member's VM. Then the member is dead, since both would listen
// on the same address.
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

// Targets returns the members to send to in this round: all living ones whose IDs are in first, since they wait for a
// reply, then random living ones until there are Fanout members.
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
