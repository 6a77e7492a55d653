// Package cccontrol is the process of an entry VM on a platform with a shared store: it keeps what
// callers hand in, elects the leader of the cell, and runs the leader's decisions (core/cccell)
// against the workers. What it needs of the platform are the small interfaces of this file.
package cccontrol

import (
	"context"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"

	"github.com/cockroachdb/errors"
)

// Errors of the ports.
var (
	// ErrNoKey reports a key that the store does not have.
	ErrNoKey = errors.New("store has no such key")
	// ErrCompacted reports a watch from a revision that the store no longer has the history of.
	ErrCompacted = errors.New("store has dropped this history")
	// ErrLeaseExpired reports a store lease that has ended.
	ErrLeaseExpired = errors.New("store lease has ended")
)

// Item is a key of the store with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	// Deleted is true when a watch tells of the key's removal.
	Deleted bool
}

// Condition demands that a key still has a revision; 0 demands that it does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	// Lease binds the key to a store lease; 0 binds it to none.
	Lease int64
}

// Txn is a write of several keys that happens as a whole or not at all.
type Txn struct {
	If     []Condition
	Puts   []Put
	Remove []string
}

// Conflict is the error of a transaction whose conditions did not hold.
type Conflict struct {
	// Found holds the keys of the conditions as they are; a key that does not exist is left out.
	Found []Item
}

// Error implements error.
func (c *Conflict) Error() string {
	return "conditions of the write do not hold"
}

// Store is the platform's key-value store. Calls fail with ccstore.ErrUnavailable when nothing was done, and writes
// with ccstore.ErrInDoubt when they may be carried out, now or later.
type Store interface {
	// Get returns a key, or ErrNoKey.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns the keys with a prefix, and the revision of the store before the read. A stale read may be seconds old.
	Range(ctx context.Context, prefix string, stale bool) ([]Item, int64, error)
	// Watch returns the changes after a revision as soon as there is one, or none after wait. It may fail with ErrCompacted.
	Watch(ctx context.Context, prefix string, after int64, wait ccclock.Millis) ([]Item, int64, error)
	// Write carries out a transaction and returns its revision. It may fail with *Conflict or ErrLeaseExpired.
	Write(ctx context.Context, t *Txn) (int64, error)
	// GrantLease begins a store lease.
	GrantLease(ctx context.Context, ttl ccclock.Millis) (int64, error)
	// KeepAlive renews a store lease. It may fail with ErrLeaseExpired.
	KeepAlive(ctx context.Context, lease int64) error
}

// WorkerChange is a worker's entry, or its removal.
type WorkerChange struct {
	ID      string
	Info    cccell.WorkerInfo
	Removed bool
}

// Directory tells which workers there are.
type Directory interface {
	// List returns the entries that can be read, and the revision before the read.
	List(ctx context.Context) ([]cccell.WorkerInfo, int64, error)
	// Watch returns the changes after a revision, as Store.Watch does.
	Watch(ctx context.Context, after int64, wait ccclock.Millis) ([]WorkerChange, int64, error)
}

// ConfigSource tells of the operators' configuration.
type ConfigSource interface {
	// Read returns the newest configuration as the operators wrote it. It fails with ErrNoKey while there is none.
	Read(ctx context.Context) (raw []byte, revision int64, err error)
	// Watch returns the newest configuration written after a revision, nil when there is none.
	Watch(ctx context.Context, after int64, wait ccclock.Millis) (raw []byte, revision int64, err error)
	// Decode decodes a configuration and checks it.
	Decode(raw []byte) (*cccell.Configuration, error)
}

// Workers calls the workers. Calls never block longer than their own time-outs.
type Workers interface {
	Start(ctx context.Context, o *cccell.StartOrder) cccell.Reply
	Stop(ctx context.Context, o *cccell.StopOrder) cccell.Reply
	Poll(ctx context.Context, o *cccell.PollOrder) (cccell.Reply, *cccell.TaskLists)
}

// PolicyService asks the policy service. It answers one call at a time of each VM.
type PolicyService interface {
	// Advise returns a ticket for each of the workers that may run the stage.
	Advise(ctx context.Context, stage cccell.StageID, workers []string) (tickets map[string]string, validMs int64, err error)
}
