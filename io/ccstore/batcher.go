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

// Change alters a decoded value. It may be applied more than once, each time to the value as newly
// read, and must then have the effect of once. An error leaves the value out of the write's reach:
// it goes to the caller of Do alone, so that a Change must fail before it alters anything.
type Change[V any] func(*V) error

// BatcherConfig sets up a Batcher.
type BatcherConfig struct {
	Client *Client
	// Interval is the least time between two writes of one key.
	Interval time.Duration
	// Tries bounds the attempts on one batch.
	Tries int
}

// Batcher commits the changes of many callers to one key in one write: a group commit.
type Batcher[V any] struct {
	cfg    BatcherConfig
	mu     sync.Mutex
	queues map[string]*queue[V]
}

// queue holds the changes that wait for a key.
type queue[V any] struct {
	pending []pendingChange[V]
	running bool
	cached  Value
	// fresh is true when last was read for the present batch.
	fresh bool
}

// pendingChange is one change and its caller.
type pendingChange[V any] struct {
	change Change[V]
	done   chan error
}

// NewBatcher returns a Batcher for values of one type.
func NewBatcher[V any](cfg BatcherConfig) *Batcher[V] {
	return &Batcher[V]{cfg: cfg, queues: map[string]*queue[V]{}}
}

// Do applies a change to the value of a key, in one write with those of other callers. It may be
// called from any goroutine and blocks until the write is done, given up, or ctx ends. It fails
// with the error of the change, ErrUnavailable, ErrTooLarge, or ErrInDoubt; after the last, also when
// ctx ended, the change may have taken effect, and may still be running: what it captured must not
// be read.
func (b *Batcher[V]) Do(ctx context.Context, key string, change Change[V]) error {
	w := pendingChange[V]{change: change, done: make(chan error, 1)}
	b.mu.Lock()
	q := b.queues[key]
	if q == nil {
		q = &queue[V]{}
		b.queues[key] = q
	}
	q.pending = append(q.pending, w)
	if !q.running {
		q.running = true
		go b.run(key, q)
	}
	b.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrInDoubt)
	}
}

// run commits batches of one key until none waits.
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

var batchBackoff = ccretry.Backoff{Base: 10, Max: 200}

// commit writes one batch and tells each caller the end.
func (b *Batcher[V]) commit(key string, q *queue[V], batch []pendingChange[V]) {
	doubt := false
	var err error
	for try := 1; try <= b.cfg.Tries; try++ {
		if try > 1 {
			r := rand.New(rand.NewPCG(rand.Uint64(), uint64(try)))
			time.Sleep(batchBackoff.Delay(try, r).Duration())
			q.cached = Value{}
		}
		q.fresh = false
		var results []error
		results, err = b.tryCommit(key, q, batch)
		if err == nil {
			for i, w := range batch {
				w.done <- results[i]
			}
			return
		}
		doubt = doubt || errors.Is(err, ErrInDoubt)
		if errors.Is(err, ErrTooLarge) {
			break
		}
	}
	if doubt {
		err = errors.Mark(err, ErrInDoubt)
	}
	for _, w := range batch {
		w.done <- err
	}
}

// tryCommit reads the value if it is not known, applies the batch and writes.
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
		// A refusal must rest on the newest value, not on the one remembered.
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

// apply applies a batch to a value, and reports whether any change was not refused.
func apply[V any](value *V, batch []pendingChange[V]) (results []error, changed bool) {
	results = make([]error, len(batch))
	for i, w := range batch {
		results[i] = w.change(value)
		changed = changed || results[i] == nil
	}
	return results, changed
}

// Decode decodes a value of the store, which may be missing. It fails with ErrBadValue.
func Decode(v Value, into any) error {
	if len(v.Data) == 0 {
		return nil
	}
	if err := json.Unmarshal(v.Data, into); err != nil {
		return errors.Mark(errors.Wrap(err, "decoding a value of the store"), ErrBadValue)
	}
	return nil
}

// Follow watches a key and hands each new version to take, which must not block. It blocks until
// ctx ends. Sent is when the call that brought the value was sent.
func (c *Client) Follow(ctx context.Context, clock ccclock.Clock, key string, take func(v Value, sent ccclock.Millis)) {
	var after uint64
	first := true
	failures := 0
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		sent := clock.Now()
		v, err := c.follow(ctx, key, after, first)
		if err != nil {
			failures++
			first = true
			sleep(ctx, followBackoff.Delay(failures, r).Duration())
			continue
		}
		failures = 0
		if first || v.Version > after {
			take(v, sent)
		}
		first = false
		after = max(after, v.Version)
	}
}

var followBackoff = ccretry.Backoff{Base: 100, Max: 2_000}

// follow reads the key at first and after a failure, and watches it otherwise.
func (c *Client) follow(ctx context.Context, key string, after uint64, first bool) (Value, error) {
	if first {
		return c.Get(ctx, key)
	}
	return c.Watch(ctx, key, after)
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
