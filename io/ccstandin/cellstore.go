package ccstandin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"coriandercross/core/ccclock"
	"coriandercross/io/cccontrol"
	"coriandercross/io/ccstore"

	"github.com/cockroachdb/errors"
)

// CellStore is an in-memory store with revisions, transactions, watches and leases. It implements cccontrol.Store.
type CellStore struct {
	mu    sync.Mutex
	items map[string]cccontrol.Item
	// history holds all changes after compactedRevision, oldest first.
	history           []cccontrol.Item
	compactedRevision int64
	revision          int64
	leases            map[int64]*lease
	lastLeaseID       int64
	// changed is closed, and replaced, at each change of the items.
	changed chan struct{}
	// fault returns the fault to inject into a call; nil injects none.
	fault func(kind string) Fault
}

// lease holds the keys that are removed when it expires.
type lease struct {
	ttl       ccclock.Millis
	expiresAt time.Time
	keys      map[string]bool
}

// Fault is a fault that is injected into a call.
type Fault int

const (
	// Pass executes the call without a fault.
	Pass Fault = iota
	// Refuse doesn't execute the call, and returns an error at once.
	Refuse
	// LoseCall doesn't execute the call, and blocks until the caller's context ends.
	LoseCall
	// LoseReply executes a write, and then blocks until the caller's context ends. It has no effect on other calls.
	LoseReply
)

// NewCellStore returns an empty store.
func NewCellStore() *CellStore {
	return &CellStore{items: map[string]cccontrol.Item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), revision: 1}
}

// SetFault sets the function that returns the fault for each further call, by the kind of the call: get, range, watch,
// write, lease or keep. If f is nil, no faults are injected.
func (s *CellStore) SetFault(f func(kind string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// applyFault injects the fault for a call. It returns an error if the call must not be executed, and loseReply as true
// if the call must be executed but its reply is lost.
func (s *CellStore) applyFault(ctx context.Context, kind string) (loseReply bool, err error) {
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	if f == nil {
		return false, nil
	}
	switch f(kind) {
	case Refuse:
		return false, errors.Wrap(ccstore.ErrUnavailable, kind)
	case LoseCall:
		<-ctx.Done()
		return false, errors.Mark(ctx.Err(), ccstore.ErrInDoubt)
	case LoseReply:
		return true, nil
	}
	return false, nil
}

// expire removes the leases that have expired, and their keys. The caller holds mu.
func (s *CellStore) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			delete(s.leases, id)
			for key := range l.keys {
				s.removeKey(key)
			}
		}
	}
}

// put writes a key at the current revision. The caller holds mu.
func (s *CellStore) put(key string, value []byte) {
	item := cccontrol.Item{Key: key, Value: append([]byte(nil), value...), Revision: s.revision}
	s.items[key] = item
	s.history = append(s.history, item)
}

// removeKey removes a key, if it exists, at a new revision. The caller holds mu.
func (s *CellStore) removeKey(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, cccontrol.Item{Key: key, Revision: s.revision, Deleted: true})
	s.notifyWatches()
}

// notifyWatches wakes the watches in progress. The caller holds mu.
func (s *CellStore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history. A watch from an earlier revision then fails with cccontrol.ErrCompacted.
func (s *CellStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// Get implements cccontrol.Store.
func (s *CellStore) Get(ctx context.Context, key string) (cccontrol.Item, error) {
	if _, err := s.applyFault(ctx, "get"); err != nil {
		return cccontrol.Item{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.items[key]
	if !ok {
		return item, cccontrol.ErrNoKey
	}
	return item, nil
}

// Range implements cccontrol.Store.
func (s *CellStore) Range(ctx context.Context, prefix string, _ bool) ([]cccontrol.Item, int64, error) {
	if _, err := s.applyFault(ctx, "range"); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out []cccontrol.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out, s.revision, nil
}

// Watch implements cccontrol.Store.
func (s *CellStore) Watch(ctx context.Context, prefix string, after int64, wait ccclock.Millis) ([]cccontrol.Item, int64, error) {
	if _, err := s.applyFault(ctx, "watch"); err != nil {
		return nil, 0, err
	}
	deadline := time.NewTimer(wait.Duration())
	defer deadline.Stop()
	for {
		s.mu.Lock()
		s.expire()
		if after < s.compactedRevision {
			s.mu.Unlock()
			return nil, 0, cccontrol.ErrCompacted
		}
		var out []cccontrol.Item
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				out = append(out, item)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return out, at, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, errors.Mark(ctx.Err(), ccstore.ErrUnavailable)
		}
	}
}

// Write implements cccontrol.Store.
func (s *CellStore) Write(ctx context.Context, t *cccontrol.Txn) (int64, error) {
	loseReply, err := s.applyFault(ctx, "write")
	if err != nil {
		return 0, err
	}
	rev, err := s.Commit(t)
	if loseReply {
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), ccstore.ErrInDoubt)
	}
	return rev, err
}

// Commit executes a transaction without injecting faults.
func (s *CellStore) Commit(t *cccontrol.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	conflict := &cccontrol.Conflict{}
	unchanged := true
	for _, c := range t.If {
		item, ok := s.items[c.Key]
		if ok {
			conflict.Found = append(conflict.Found, item)
		}
		unchanged = unchanged && item.Revision == c.Revision
	}
	if !unchanged {
		return 0, conflict
	}
	s.revision++
	for _, p := range t.Puts {
		if p.Lease != 0 {
			l := s.leases[p.Lease]
			if l == nil {
				return 0, cccontrol.ErrLeaseExpired
			}
			l.keys[p.Key] = true
		}
		s.put(p.Key, p.Value)
	}
	rev := s.revision
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, cccontrol.Item{Key: key, Revision: rev, Deleted: true})
		}
	}
	s.notifyWatches()
	return rev, nil
}

// GrantLease implements cccontrol.Store.
func (s *CellStore) GrantLease(ctx context.Context, ttl ccclock.Millis) (int64, error) {
	if _, err := s.applyFault(ctx, "lease"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl.Duration()), keys: map[string]bool{}}
	return s.lastLeaseID, nil
}

// KeepAlive implements cccontrol.Store.
func (s *CellStore) KeepAlive(ctx context.Context, lease int64) error {
	if _, err := s.applyFault(ctx, "keep"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[lease]
	if l == nil {
		return cccontrol.ErrLeaseExpired
	}
	l.expiresAt = time.Now().Add(l.ttl.Duration())
	return nil
}
