package ccstore

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccretry"

	"github.com/cockroachdb/errors"
)

// ErrBadValue reports a value of the store that can't be decoded.
var ErrBadValue = errors.New("value in the store is malformed")

// Change modifies a decoded value. A Change must be idempotent, since a retry applies it again, to a value that was
// read anew and may include its effect already. A Change refuses by returning an error, which Do returns to its caller.
// The other changes of the batch are still written, so a Change must not modify the value before it refuses.
type Change[V any] func(*V) error

// BatcherConfig sets up a Batcher.
type BatcherConfig struct {
	Client *Client
	// Interval is the least interval between writes of one key.
	Interval time.Duration
	// MaxAttempts is the largest number of attempts to commit one batch.
	MaxAttempts int
}

// Batcher commits the changes of many callers to one key in one write (group commit).
type Batcher[V any] struct {
	cfg    BatcherConfig
	mu     sync.Mutex
	queues map[string]*queue[V]
}

// queue holds the pending changes of a key.
type queue[V any] struct {
	pending []pendingChange[V]
	// running is true while a goroutine commits the batches of the key.
	running bool
	// cached is the value as last read or written. Its version is 0 if it has to be read again.
	cached Value
	// fresh is true if cached was read for the present batch.
	fresh bool
}

// pendingChange is a change with the channel that receives its result.
type pendingChange[V any] struct {
	change Change[V]
	done   chan error
}

// NewBatcher returns a Batcher for values of one type.
func NewBatcher[V any](cfg BatcherConfig) *Batcher[V] {
	return &Batcher[V]{cfg: cfg, queues: map[string]*queue[V]{}}
}

// Do applies a change to the value of a key, in one write with the changes of other callers. It may be called from any
// goroutine, and blocks until the write has succeeded or failed, or ctx ends. It fails with the error of the change,
// ErrUnavailable, ErrTooLarge, or ErrInDoubt. ErrInDoubt, which is also returned when ctx ends, means that the change
// may have been written, or may still be. The change function may even be running then, so the caller must not read
// variables that the function writes.
func (b *Batcher[V]) Do(ctx context.Context, key string, change Change[V]) error {
	p := pendingChange[V]{change: change, done: make(chan error, 1)}
	b.mu.Lock()
	q := b.queues[key]
	if q == nil {
		q = &queue[V]{}
		b.queues[key] = q
	}
	q.pending = append(q.pending, p)
	if !q.running {
		q.running = true
		go b.run(key, q)
	}
	b.mu.Unlock()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrInDoubt)
	}
}

// run commits batches of one key until no change is pending.
func (b *Batcher[V]) run(key string, q *queue[V]) {
	for {
		started := time.Now()
		b.mu.Lock()
		batch := q.pending
		q.pending = nil
		if len(batch) == 0 {
			q.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		b.commit(key, q, batch)
		time.Sleep(b.cfg.Interval - time.Since(started))
	}
}

// batchBackoff is the backoff between attempts to commit a batch, in milliseconds.
var batchBackoff = ccretry.Backoff{Base: 10, Max: 200}

// commit commits one batch, with retries, and sends each caller its result.
func (b *Batcher[V]) commit(key string, q *queue[V], batch []pendingChange[V]) {
	inDoubt := false
	var err error
	for attempt := 1; attempt <= b.cfg.MaxAttempts; attempt++ {
		if attempt > 1 {
			r := rand.New(rand.NewPCG(rand.Uint64(), uint64(attempt)))
			time.Sleep(batchBackoff.Delay(attempt, r).Duration())
			q.cached = Value{}
		}
		q.fresh = false
		var results []error
		results, err = b.tryCommit(key, q, batch)
		if err == nil {
			for i, p := range batch {
				p.done <- results[i]
			}
			return
		}
		inDoubt = inDoubt || errors.Is(err, ErrInDoubt)
		if errors.Is(err, ErrTooLarge) {
			break
		}
	}
	if inDoubt {
		err = errors.Mark(err, ErrInDoubt)
	}
	for _, p := range batch {
		p.done <- err
	}
}

// tryCommit makes one attempt to commit a batch: it reads the value unless it is cached, applies the changes, and
// writes the value unless all changes were refused. It returns the result of each change.
func (b *Batcher[V]) tryCommit(key string, q *queue[V], batch []pendingChange[V]) ([]error, error) {
	ctx := context.Background()
	if q.cached.Version == 0 {
		v, err := b.cfg.Client.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		q.cached = v
		q.fresh = true
	}
	var value V
	if err := Decode(q.cached, &value); err != nil {
		return nil, err
	}
	results, changed := apply(&value, batch)
	if !changed && q.fresh {
		return results, nil
	}
	if !changed {
		// All changes were refused on the cached value. Only the newest value may refuse a change, so read it and apply
		// them again.
		q.cached = Value{}
		return b.tryCommit(key, q, batch)
	}
	data, err := json.Marshal(&value)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a value")
	}
	version, err := b.cfg.Client.Put(ctx, key, Value{Version: q.cached.Version, Data: data})
	if err != nil {
		return nil, err
	}
	q.cached = Value{Version: version, Data: data}
	q.fresh = false
	return results, nil
}

// apply applies a batch to a value. It returns the result of each change, and whether any change was not refused.
func apply[V any](value *V, batch []pendingChange[V]) (results []error, changed bool) {
	results = make([]error, len(batch))
	for i, p := range batch {
		results[i] = p.change(value)
		changed = changed || results[i] == nil
	}
	return results, changed
}

// Decode decodes a value of the store. It leaves into as it is if the key does not exist. It fails with ErrBadValue.
func Decode(v Value, into any) error {
	if len(v.Data) == 0 {
		return nil
	}
	if err := json.Unmarshal(v.Data, into); err != nil {
		return errors.Mark(errors.Wrap(err, "decoding a value of the store"), ErrBadValue)
	}
	return nil
}

// Follow watches a key and calls onValue, which must not block, with the first value, with each new version, and with
// the value read after a failed call, even if that is not new. sent is the time at which the request that returned the
// value was sent. Follow blocks until ctx ends.
func (c *Client) Follow(ctx context.Context, clock ccclock.Clock, key string, onValue func(v Value, sent ccclock.Millis)) {
	var after uint64
	first := true
	failures := 0
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		sent := clock.Now()
		v, err := c.getOrWatch(ctx, key, after, first)
		if err != nil {
			failures++
			first = true
			sleep(ctx, followBackoff.Delay(failures, r).Duration())
			continue
		}
		failures = 0
		if first || v.Version > after {
			onValue(v, sent)
		}
		first = false
		after = max(after, v.Version)
	}
}

// followBackoff is the backoff after failed calls, in milliseconds.
var followBackoff = ccretry.Backoff{Base: 100, Max: 2_000}

// getOrWatch reads the key if first is true (in the first call and after a failure), and watches it otherwise.
func (c *Client) getOrWatch(ctx context.Context, key string, after uint64, first bool) (Value, error) {
	if first {
		return c.Get(ctx, key)
	}
	return c.Watch(ctx, key, after)
}

// sleep blocks for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
