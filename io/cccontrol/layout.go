package cccontrol

import (
	"strings"

	"coriandercross/core/cccell"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Keys of the store. One key a job keeps writes of different jobs apart; what several watch stands under one prefix.
const (
	// prefixMembership holds members and the record of the leader; every process polls it.
	prefixMembership = "cc/m/"
	prefixMembers    = prefixMembership + "vm/"
	keyLeader        = prefixMembership + "leader"
	// keyRoster holds the workers that the leader uses, for the next one.
	keyRoster = "cc/roster"
	// prefixSubmissions holds accepted jobs and requests to cancel; the leader watches it.
	prefixSubmissions = "cc/in/"
	prefixJobs        = prefixSubmissions + "j/"
	prefixCancel      = prefixSubmissions + "x/"
	// prefixProgress holds progress and final states.
	prefixProgress = "cc/p/"
)

// ErrBadRecord reports a record of ours that can't be decoded.
var ErrBadRecord = errors.New("record in the store is malformed")

// member is what a process says of itself in the store.
type member struct {
	VM      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Region  string `cbor:"3,keyasint"`
	// Cores is the processor that the process has, in cores.
	Cores float64 `cbor:"4,keyasint"`
	// StartMs tells one start of the process from the next: Unix milliseconds.
	StartMs int64 `cbor:"5,keyasint"`
}

// leaderRecord names the leader.
type leaderRecord struct {
	VM      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	StartMs int64  `cbor:"3,keyasint"`
	// Token rises with each leader; workers refuse a lower one.
	Token int64 `cbor:"4,keyasint"`
	// LeaseMs is the length of the leases that the leader gives to workers.
	LeaseMs ms `cbor:"5,keyasint"`
	// AuthorityMs is how long the leader goes on after it was last confirmed.
	AuthorityMs ms `cbor:"6,keyasint,omitempty"`

	revision int64
}

// rosterRecord lists workers.
type rosterRecord struct {
	Workers []cccell.WorkerInfo `cbor:"1,keyasint"`
}

// encode encodes a record. Our records always can be.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a %T", v))
	}
	return data
}

// validator is a record that checks itself.
type validator interface {
	Check() error
}

// decode decodes a record and checks it. It fails with ErrBadRecord.
func decode(key string, data []byte, v any) error {
	if err := cbor.Unmarshal(data, v); err != nil {
		return errors.Mark(errors.Wrapf(err, "key %s", key), ErrBadRecord)
	}
	if c, ok := v.(validator); ok {
		if err := c.Check(); err != nil {
			return errors.Mark(errors.Wrapf(err, "key %s", key), ErrBadRecord)
		}
	}
	return nil
}

// trimPrefix returns the rest of a key after a prefix.
func trimPrefix(key, prefix string) (string, bool) {
	return strings.CutPrefix(key, prefix)
}
