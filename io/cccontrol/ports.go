// Package cccontrol is the process that runs on each entry VM (a VM that accepts the requests of callers) of a platform
// with a shared key-value store. It persists submitted jobs, takes part in the election of a leader, and, as leader,
// runs the scheduler of the cell (core/cccell) and sends its orders to the workers. The interfaces in this file are the
// services that the platform provides.
package cccontrol

import (
	"context"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"

	"github.com/cockroachdb/errors"
)

// Errors of the platform's services.
var (
	// ErrNoKey reports a key that does not exist in the store.
	ErrNoKey = errors.New("store has no such key")
	// ErrCompacted reports a watch from a revision whose history the store has compacted.
	ErrCompacted = errors.New("store has compacted the history of this revision")
	// ErrLeaseExpired reports a store lease that has expired.
	ErrLeaseExpired = errors.New("store lease has expired")
	// ErrDeclined reports a call whose response a ReplyGate did not want to receive to its end.
	ErrDeclined = errors.New("the rest of the response is not needed")
)

// ReplyGate is called while a large response of the store arrives: with the number of bytes received so far, and the size
// of the response, -1 if it is not known. Nothing more is read until it returns. If it returns an error, the call is
// given up and fails with that error.
type ReplyGate func(ctx context.Context, received, size int64) error

// pageHookKey is the key of a function in a context that is called for each page of a Range.
type pageHookKey struct{}

// withPageHook returns a context for calls of Store.Range that call hook for each page.
func withPageHook(ctx context.Context, hook func()) context.Context {
	return context.WithValue(ctx, pageHookKey{}, hook)
}

// PageReceived is called by a Store for each page of a Range, with the context of the call.
func PageReceived(ctx context.Context) {
	if hook, ok := ctx.Value(pageHookKey{}).(func()); ok {
		hook()
	}
}

// replyGateKey is the key of a ReplyGate in a context.
type replyGateKey struct{}

// WithReplyGate returns a context for calls to the store that have a gate.
func WithReplyGate(ctx context.Context, gate ReplyGate) context.Context {
	return context.WithValue(ctx, replyGateKey{}, gate)
}

// ReplyGateOf returns the gate of a call to the store, nil for none.
func ReplyGateOf(ctx context.Context) ReplyGate {
	gate, _ := ctx.Value(replyGateKey{}).(ReplyGate)
	return gate
}

// Item is a key of the store with its value, or, from a watch, a change of the key.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	// Deleted is true if the key was removed. Only watches return such items.
	Deleted bool
}

// Condition is a precondition of a transaction: the key has the given revision, or does not exist if Revision is 0.
type Condition struct {
	Key      string
	Revision int64
}

// Put is a write of one key.
type Put struct {
	Key   string
	Value []byte
	// Lease is the store lease with which the key expires, 0 for none.
	Lease int64
}

// Txn is an atomic write of several keys, carried out only if all conditions in If hold.
type Txn struct {
	If     []Condition
	Puts   []Put
	Remove []string
}

// Conflict is the error of a transaction whose conditions did not hold.
type Conflict struct {
	// Found holds the present items of the keys in Txn.If. Keys that do not exist are left out.
	Found []Item
}

// Error implements error.
func (c *Conflict) Error() string {
	return "conditions of the transaction do not hold"
}

// Store is the platform's key-value store. A call fails with ccstore.ErrUnavailable if it was certainly not carried
// out. A write fails with ccstore.ErrInDoubt if it may have been carried out already, or may still be.
type Store interface {
	// Get returns a key. It fails with ErrNoKey if the key does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns the keys with a prefix, and a revision of the store from before the read, from which a watch misses
	// no change. With stale, the result may be seconds old.
	Range(ctx context.Context, prefix string, stale bool) ([]Item, int64, error)
	// Watch returns the changes after a revision as soon as there is one, and the revision up to which the changes are
	// complete. It returns no changes if there was none within timeout. It may fail with ErrCompacted.
	Watch(ctx context.Context, prefix string, after int64, timeout ccclock.Millis) ([]Item, int64, error)
	// Write carries out a transaction and returns its revision. It may fail with *Conflict or ErrLeaseExpired.
	Write(ctx context.Context, t *Txn) (int64, error)
	// GrantLease creates a store lease that expires after ttl unless KeepAlive renews it.
	GrantLease(ctx context.Context, ttl ccclock.Millis) (int64, error)
	// KeepAlive renews a store lease. It may fail with ErrLeaseExpired.
	KeepAlive(ctx context.Context, lease int64) error
}

// WorkerChange is a worker's new registration in the directory, or the removal of its registration.
type WorkerChange struct {
	ID      string
	Info    cccell.WorkerInfo
	Removed bool
}

// Directory lists the workers of the cell.
type Directory interface {
	// List returns the workers whose registrations can be used, the IDs of the other registrations, and a revision from
	// before the read.
	List(ctx context.Context) (workers []cccell.WorkerInfo, invalid []string, revision int64, err error)
	// Watch returns the changes after a revision, as Store.Watch does. A registration that can't be used is no change.
	Watch(ctx context.Context, after int64, timeout ccclock.Millis) ([]WorkerChange, int64, error)
}

// ConfigSource provides the configuration that the operators write.
type ConfigSource interface {
	// Read returns the newest configuration as the operators wrote it. It fails with ErrNoKey if there is none yet.
	Read(ctx context.Context) (raw []byte, revision int64, err error)
	// Watch returns the newest configuration written after a revision, or nil if there was none within timeout.
	Watch(ctx context.Context, after int64, timeout ccclock.Millis) (raw []byte, revision int64, err error)
	// Decode decodes and validates a configuration.
	Decode(raw []byte) (*cccell.Configuration, error)
}

// Workers sends orders to workers. Each call is bounded by a timeout of the implementation.
type Workers interface {
	Start(ctx context.Context, o *cccell.StartOrder) cccell.Reply
	Stop(ctx context.Context, o *cccell.StopOrder) cccell.Reply
	// Poll renews the leases of all tasks on a worker, and returns its lists of running and ended tasks. A reply that comes
	// after the timeout is passed to late, in another goroutine and at most once.
	Poll(ctx context.Context, o *cccell.PollOrder, late func(cccell.Reply, *cccell.TaskLists)) (cccell.Reply, *cccell.TaskLists)
}

// PolicyService decides which workers may run a stage. It answers one call at a time from each VM.
type PolicyService interface {
	// Advise returns a ticket for each of the workers that may run the stage. Tickets are valid for validMs.
	Advise(ctx context.Context, stage cccell.StageID, workers []string) (tickets map[string]string, validMs int64, err error)
}
