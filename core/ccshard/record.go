// Package ccshard decides which process owns which shard. A shard is a set of workers, or a
// set of jobs, that exactly one process may act for. The package holds no socket and no clock:
// its callers hand both in, so that a test can drive every interleaving.
package ccshard

import (
	"github.com/cockroachdb/errors"
)

// Errors of ownership.
var (
	// ErrNotOwner reports that another process, or none, owns the shard.
	ErrNotOwner = errors.New("shard is not owned by this process")
	// ErrWaiting reports that the last owner's authority may not have ended yet.
	ErrWaiting = errors.New("last owner's authority may still hold")
	// ErrLapsed reports that neither a promise nor a read of the record is fresh enough.
	ErrLapsed = errors.New("authority over the shard lapsed")
	// ErrReleasing reports that the shard is being handed over.
	ErrReleasing = errors.New("shard is being handed over")
	// ErrBadRecord reports a record that breaks the format.
	ErrBadRecord = errors.New("shard record is malformed")
)

// Record is the owner of one shard, as the store keeps it.
type Record struct {
	// Owner is the process that acts for the shard; "" when there is none.
	Owner string
	// Successor is the only process that may take the shard from a living owner.
	Successor string `json:"Heir"`
	// Epoch grows by one with every change of the record.
	Epoch uint64
	// Released is true when the last owner gave up the shard before the record was written.
	Released bool
}

// Table is every record of one region, kept as one value of the store.
type Table struct {
	// Version is the store's version of the value; 0 when it does not exist.
	Version uint64 `json:"-"`
	// Records are the records by shard name.
	Records map[string]Record
}

// Check returns ErrBadRecord for a record without an epoch or with an heir who is the owner.
func (t *Table) Check() error {
	for name, rec := range t.Records {
		if name == "" || rec.Epoch == 0 {
			return errors.Wrapf(ErrBadRecord, "shard %q has no epoch", name)
		}
		if rec.Owner != "" && rec.Owner == rec.Successor {
			return errors.Wrapf(ErrBadRecord, "shard %q names %q as owner and heir", name, rec.Owner)
		}
	}
	return nil
}

// ShardEpoch names one epoch of one shard.
type ShardEpoch struct {
	Shard string
	Epoch uint64
}

// Change is a record that a process wants to write.
type Change struct {
	Shard  string
	Record Record
}

// Apply returns a copy of the table with the changes made. The caller writes it by
// compare-and-swap on the version that the table carries.
func (t *Table) Apply(changes []Change) Table {
	next := Table{Version: t.Version, Records: make(map[string]Record, len(t.Records)+len(changes))}
	for name, rec := range t.Records {
		next.Records[name] = rec
	}
	for _, c := range changes {
		next.Records[c.Shard] = c.Record
	}
	return next
}
