package cccontrol

import (
	"strings"

	"coriandercross/core/cccell"
	"coriandercross/core/ccquorum"
	"coriandercross/core/ccsuccession"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Keys of the store. Each job has keys of its own, so that writes of different jobs do not conflict. Keys that are read
// or watched together share a prefix.
const (
	// prefixMembership holds the members and the leader record. Every process polls it.
	prefixMembership = "cc/m/"
	prefixMembers    = prefixMembership + "vm/"
	keyLeader        = prefixMembership + "leader"
	// keyRoster holds the workers that may run tasks of the present leader. The next leader reads it.
	keyRoster = "cc/roster"
	// keyRunTimes holds a snapshot of the run times that the leader has learned (ccruntimes.Snapshot). The next leader
	// reads it. Earlier releases ignore it.
	keyRunTimes = "cc/runtimes"
	// prefixSubmissions holds accepted jobs and requests to cancel. The leader watches it.
	prefixSubmissions = "cc/in/"
	prefixJobs        = prefixSubmissions + "j/"
	prefixCancel      = prefixSubmissions + "x/"
	// prefixProgress holds the progress and the final states of jobs.
	prefixProgress = "cc/p/"
	// prefixUnknown holds the ends of tasks of jobs that were unknown to the leader that found them, as progress records
	// (cccell.AdoptUnknownEnds). Earlier releases ignore it.
	prefixUnknown = "cc/u/"
)

// ErrBadRecord reports a record, written by a process of this system, that can't be decoded or is not valid.
var ErrBadRecord = errors.New("record in the store is malformed")

// member is the record by which a process lists itself in the store.
type member struct {
	VM      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Region  string `cbor:"3,keyasint"`
	// Cores is the processor time available to the process, in cores.
	Cores float64 `cbor:"4,keyasint"`
	// StartMs is the Unix time at which the process started, in milliseconds. It distinguishes a restarted process from
	// the previous one on the VM.
	StartMs int64 `cbor:"5,keyasint"`
}

// leaderRecord names the leader. The process that writes it leads, until a record with a higher token replaces it.
type leaderRecord struct {
	VM      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	StartMs int64  `cbor:"3,keyasint"`
	// Token is the highest fencing token of the term, which has restartTokens more below it. All are higher than those of
	// every earlier term, and a worker refuses orders with a token lower than one that it has seen.
	Token int64 `cbor:"4,keyasint"`
	// LeaseMs is the duration of the leases that the leader grants to workers.
	LeaseMs ms `cbor:"5,keyasint"`
	// AuthorityMs is how long the leader may give orders after it was last confirmed as leader.
	AuthorityMs ms `cbor:"6,keyasint,omitempty"`
	// Voters are the processes that can confirm the leader; see ccquorum. VotersToken is the token of the term that wrote
	// them. It is lower than Token until the handover to the leader is complete, and 0 in records of earlier releases.
	Voters      []ccquorum.Voter `cbor:"7,keyasint,omitempty"`
	VotersToken int64            `cbor:"8,keyasint,omitempty"`
	// ByWorkers is true if each leader that may still have authority needs the confirmation of workers as well; see
	// ccquorum. It is false in records of earlier releases.
	ByWorkers bool `cbor:"10,keyasint,omitempty"`
	// MostWorkers is true if each such leader needs most of the workers when the store has not confirmed it for a while; see
	// ccquorum.MaxWithHalfMs. It is false in records of earlier releases.
	MostWorkers bool `cbor:"11,keyasint,omitempty"`

	// Demoted are the VMs that rank behind the others; see ccsuccession.
	Demoted []ccsuccession.Demotion `cbor:"9,keyasint,omitempty"`

	// revision is that of the record in the store.
	revision int64
}

// rosterRecord is the value of keyRoster.
type rosterRecord struct {
	Workers []cccell.WorkerInfo `cbor:"1,keyasint"`
	// Drained holds the incarnations of registered workers that drain and run nothing.
	Drained map[string]int64 `cbor:"2,keyasint,omitempty"`
}

// incarnations returns the incarnations of the workers.
func incarnations(workers []cccell.WorkerInfo) ccquorum.Incarnations {
	out := make(ccquorum.Incarnations, len(workers))
	for i := range workers {
		out[workers[i].ID] = workers[i].IncarnationMs
	}
	return out
}

// longLeases returns the IDs of the workers that may hold a long lease.
func longLeases(workers []cccell.WorkerInfo) map[string]bool {
	out := map[string]bool{}
	for i := range workers {
		if workers[i].LongLease {
			out[workers[i].ID] = true
		}
	}
	return out
}

// encode encodes a record. It panics on failure, since all types of records can be encoded.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a %T", v))
	}
	return data
}

// maxRecordPairs bounds the entries of a map in a record. The size of a value in the store is bounded, too.
const maxRecordPairs = 1 << 24

// decoder decodes records. The default limit of the library is below what progress records of earlier releases can have.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxMapPairs: maxRecordPairs}.DecMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "options of the decoder"))
	}
	return m
}()

// validator is a record that can be validated after decoding.
type validator interface {
	Check() error
}

// decode decodes and validates a record. It fails with ErrBadRecord.
func decode(key string, data []byte, v any) error {
	if err := decoder.Unmarshal(data, v); err != nil {
		return errors.Mark(errors.Wrapf(err, "key %s", key), ErrBadRecord)
	}
	if c, ok := v.(validator); ok {
		if err := c.Check(); err != nil {
			return errors.Mark(errors.Wrapf(err, "key %s", key), ErrBadRecord)
		}
	}
	return nil
}

// trimPrefix returns the part of a key after a prefix. It returns false if the key does not have the prefix.
func trimPrefix(key, prefix string) (string, bool) {
	return strings.CutPrefix(key, prefix)
}
