// Package ccshard decides which process owns which shard. A shard is a set of workers or a set of jobs, and at most one
// process at a time may act for it.
//
// A record in the store names the owner of each shard, and a successor. The owner's authority lasts for a while after
// each read of the record. During an outage of the store, it lasts for a while after each grant of the successor, by
// which the successor undertakes not to take the shard over in that time. A new owner acts only once the authority of
// the previous one must have ended.
//
// The package uses no sockets and no clock: callers pass in messages and times, so that a test can run any
// interleaving.
package ccshard

import (
	"github.com/cockroachdb/errors"
)

// Errors of ownership.
var (
	// ErrNotOwner reports that another process, or none, owns the shard.
	ErrNotOwner = errors.New("shard is not owned by this process")
	// ErrWaiting reports that the authority of the previous owner may not have ended yet.
	ErrWaiting = errors.New("last owner's authority may still hold")
	// ErrLapsed reports that neither a grant nor a read of the record is recent enough.
	ErrLapsed = errors.New("authority over the shard lapsed")
	// ErrReleasing reports that the shard is being handed over.
	ErrReleasing = errors.New("shard is being handed over")
	// ErrBadRecord reports an invalid record.
	ErrBadRecord = errors.New("shard record is malformed")
)

// Record is the stored record of one shard.
type Record struct {
	// Owner is the ID of the process that may act for the shard; "" if there is none.
	Owner string
	// Successor is the ID of the process that may take the shard over when the owner is silent. All others need
	// evidence that both are dead.
	Successor string `json:"Heir"`
	// Epoch grows by one with every change of the record.
	Epoch uint64
	// Released is true if the previous owner gave the shard up before the record was written.
	Released bool
}

// Table is the records of all shards of a region, stored as one value.
type Table struct {
	// Version is the store's version of the value; 0 if there is no value.
	Version uint64 `json:"-"`
	// Records are the records by shard name.
	Records map[string]Record
}

// Check returns ErrBadRecord for a record that has no epoch, or names the same process as owner and successor.
func (t *Table) Check() error {
	for name, rec := range t.Records {
		if name == "" || rec.Epoch == 0 {
			return errors.Wrapf(ErrBadRecord, "record of shard %q has no name or no epoch", name)
		}
		if rec.Owner != "" && rec.Owner == rec.Successor {
			return errors.Wrapf(ErrBadRecord, "shard %q names %q as owner and successor", name, rec.Owner)
		}
	}
	return nil
}

// ShardEpoch is one epoch of one shard, as named in grant requests and replies.
type ShardEpoch struct {
	Shard string
	Epoch uint64
}

// Change is a record that a process wants to write.
type Change struct {
	Shard  string
	Record Record
}

// Apply returns a copy of the table with the changes applied. The caller writes it by a compare-and-swap on the Version
// of the copy.
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
