package cccontrol

import (
	"context"
	"sync/atomic"

	"coriandercross/core/ccclock"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// MonitoredStore is a Store that tracks the outcomes of its calls. From these a process knows whether the store can be
// reached, before it makes a call that might time out.
type MonitoredStore struct {
	Store
	clock         ccclock.Clock
	onChange      func(reached bool, silentMs int64)
	lastSuccessAt atomic.Int64
	failures      atomic.Int64
	// reachedSince is when the first call after an outage succeeded, 0 before the first outage.
	reachedSince atomic.Int64
	// usualWriteTenths is the usual duration of a write in tenths of a millisecond, 0 before the first.
	usualWriteTenths atomic.Int64
}

const (
	// storeLostMs and storeLostCalls define when the store counts as lost: no call has succeeded for storeLostMs, and
	// at least storeLostCalls calls have failed since the last success.
	storeLostMs    = 400
	storeLostCalls = 2
)

// NewMonitoredStore wraps a store. onChange, unless nil, is called with reached false after storeLostCalls consecutive
// failures, and with reached true at the next success; silentMs is the time since the last success.
func NewMonitoredStore(s Store, clock ccclock.Clock, onChange func(reached bool, silentMs int64)) *MonitoredStore {
	t := &MonitoredStore{Store: s, clock: clock, onChange: onChange}
	t.lastSuccessAt.Store(int64(clock.Now()))
	return t
}

// Lost reports whether the store can't be reached at present.
func (t *MonitoredStore) Lost() bool {
	return t.failures.Load() >= storeLostCalls && t.AgeMs() > storeLostMs
}

// AgeMs returns the time since the last successful call.
func (t *MonitoredStore) AgeMs() int64 {
	return int64(t.clock.Now()) - t.lastSuccessAt.Load()
}

// UsualWriteMs returns the usual duration of a write, 0 before the first.
func (t *MonitoredStore) UsualWriteMs() ccclock.Millis {
	return ccclock.Millis(t.usualWriteTenths.Load() / tenthsPerMs)
}

// tenthsPerMs is the number of tenths in a millisecond.
const tenthsPerMs = 10

// observeWrite records the duration of a write. The usual duration falls at once and rises by a tenth of a millisecond
// with each longer write, so that a slow store does not pass for a usual one within some seconds.
func (t *MonitoredStore) observeWrite(took ccclock.Millis, err error) {
	usual := t.usualWriteTenths.Load()
	if errors.Is(err, ccstore.ErrUnavailable) || errors.Is(err, ccstore.ErrInDoubt) {
		return
	}
	next := tenthsPerMs * max(int64(took), 1)
	if usual > 0 {
		next = min(next, usual+1)
	}
	t.usualWriteTenths.Store(next)
}

// ReachedMs returns for how long the store has been reached since the last outage, or since the start of the process.
func (t *MonitoredStore) ReachedMs() int64 {
	if t.failures.Load() >= storeLostCalls {
		return 0
	}
	return int64(t.clock.Now()) - t.reachedSince.Load()
}

// ReachedSince returns when the store was reached again after the last outage, 0 if there was none, and whether it is
// reached.
func (t *MonitoredStore) ReachedSince() (at ccclock.Millis, reached bool) {
	return ccclock.Millis(t.reachedSince.Load()), t.failures.Load() < storeLostCalls
}

// record records the outcome of a call. Only ccstore.ErrUnavailable and ccstore.ErrInDoubt count as failures; any other
// error, such as a conflict, is a reply of the store and counts as success. Canceled calls are ignored.
func (t *MonitoredStore) record(err error) {
	now := int64(t.clock.Now())
	if errors.Is(err, context.Canceled) {
		return
	}
	if err != nil && (errors.Is(err, ccstore.ErrUnavailable) || errors.Is(err, ccstore.ErrInDoubt)) {
		if t.failures.Add(1) == storeLostCalls && t.onChange != nil {
			t.onChange(false, now-t.lastSuccessAt.Load())
		}
		return
	}
	if t.failures.Swap(0) >= storeLostCalls {
		t.reachedSince.Store(now)
		if t.onChange != nil {
			t.onChange(true, now-t.lastSuccessAt.Load())
		}
	}
	t.lastSuccessAt.Store(now)
}

// Get implements Store.
func (t *MonitoredStore) Get(ctx context.Context, key string) (Item, error) {
	item, err := t.Store.Get(ctx, key)
	t.record(err)
	return item, err
}

// Range implements Store.
func (t *MonitoredStore) Range(ctx context.Context, prefix string, stale bool) ([]Item, int64, error) {
	// Each page shows that the store is reached. A range of many pages takes seconds.
	items, rev, err := t.Store.Range(withPageHook(ctx, func() { t.record(nil) }), prefix, stale)
	t.record(err)
	return items, rev, err
}

// Watch implements Store.
func (t *MonitoredStore) Watch(ctx context.Context, prefix string, after int64, timeout ccclock.Millis) ([]Item, int64, error) {
	items, rev, err := t.Store.Watch(ctx, prefix, after, timeout)
	t.record(err)
	return items, rev, err
}

// Write implements Store.
func (t *MonitoredStore) Write(ctx context.Context, txn *Txn) (int64, error) {
	sent := t.clock.Now()
	rev, err := t.Store.Write(ctx, txn)
	t.observeWrite(t.clock.Now()-sent, err)
	t.record(err)
	return rev, err
}

// GrantLease implements Store.
func (t *MonitoredStore) GrantLease(ctx context.Context, ttl ccclock.Millis) (int64, error) {
	id, err := t.Store.GrantLease(ctx, ttl)
	t.record(err)
	return id, err
}

// KeepAlive implements Store.
func (t *MonitoredStore) KeepAlive(ctx context.Context, lease int64) error {
	err := t.Store.KeepAlive(ctx, lease)
	t.record(err)
	return err
}
