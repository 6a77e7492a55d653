package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is the time of an answer of the store.
	storeDelay = 4 * time.Millisecond
	// pageItems and pageBytes bound a page of a range.
	pageItems = 500
	pageBytes = 1 << 20
	// historyAge is the time for which the store keeps changes.
	historyAge = 20 * time.Second
)

// item is a key with its value, or a change if Deleted is set.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// txn is a conditional write.
type txn struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"precondition"`
	Put []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"put"`
	Remove []string `json:"remove"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu        sync.Mutex
	items     map[string]item
	history   []item
	compacted int64
	revision  int64
	leases    map[int64]*storeLease
	lastLease int64
	changed   chan struct{}
	// old holds items that were written long ago, sorted by key. Their keys are not in items.
	old []item
	// down is true while the store answers no call.
	down bool
}

func newStore() *store {
	return &store{items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{}), revision: 1 << 30, compacted: 1 << 30}
}

// setDown lets the store answer no call, or answer again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// wake wakes the watches. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended, and old changes. The caller holds mu.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.remove(key)
			}
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyAge {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// remove removes a key at a new revision. The caller holds mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
	s.wake()
}

// put writes a key as the operator or a worker does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, data, 0)
	s.wake()
}

// drop removes a key.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// write writes a key at the present revision. The caller holds mu.
func (s *store) write(key string, value []byte, lease int64) {
	created := s.revision
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease, at: time.Now()}
	s.items[key] = i
	s.history = append(s.history, i)
}

// get returns an item.
func (s *store) get(key string) (item, bool) {
	if i, ok := s.items[key]; ok {
		return i, true
	}
	n := sort.Search(len(s.old), func(n int) bool { return s.old[n].Key >= key })
	if n < len(s.old) && s.old[n].Key == key {
		return s.old[n], true
	}
	return item{}, false
}

// addOld adds items that were written long ago, before the history.
func (s *store) addOld(list []item) {
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.old = list
}

// keysWith returns the items whose keys have a suffix.
func (s *store) keysWith(suffix string) []item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []item
	for key, i := range s.items {
		if strings.HasSuffix(key, suffix) {
			out = append(out, i)
		}
	}
	return out
}

// page returns the items with a prefix after a key.
func (s *store) page(prefix, after string) (out []item, more bool) {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	n := sort.Search(len(s.old), func(n int) bool { return s.old[n].Key >= prefix && s.old[n].Key > after })
	for size := 0; ; {
		var next item
		hasOld := n < len(s.old) && strings.HasPrefix(s.old[n].Key, prefix)
		switch {
		case hasOld && (len(keys) == 0 || s.old[n].Key < keys[0]):
			next = s.old[n]
		case len(keys) > 0:
			next = s.items[keys[0]]
		default:
			return out, false
		}
		if size += len(next.Key) + len(next.Value); len(out) == pageItems || (size > pageBytes && len(out) > 0) {
			return out, true
		}
		out = append(out, next)
		if hasOld && next.Key == s.old[n].Key {
			n++
		} else {
			keys = keys[1:]
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	path := r.URL.Path
	if s.isDown() {
		<-r.Context().Done() // The call is not carried out.
		return
	}
	if path == "/api/kv-watch" {
		s.watch(w, r)
		return
	}
	var t txn
	if path == "/api/kv-txn" {
		if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Precondition)+len(t.Put)+len(t.Remove) > 32 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	time.Sleep(storeDelay)
	switch {
	case path == "/api/kv-txn":
		status, body := s.commit(&t)
		writeJSON(w, status, body)
	case path == "/api/kv-key":
		s.mu.Lock()
		s.expire()
		i, ok := s.get(q.Get("key"))
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, i)
	case path == "/api/kv-range":
		s.mu.Lock()
		s.expire()
		items, more := s.page(q.Get("prefix"), q.Get("after"))
		at := s.revision
		s.mu.Unlock()
		if items == nil {
			items = []item{}
		}
		writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at_rev": at})
	case path == "/api/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		ttl := time.Duration(max(in.TTL, 1000)) * time.Millisecond
		s.mu.Lock()
		s.lastLease++
		id := s.lastLease
		s.leases[id] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/api/kv-keep/"), 10, 64)
		s.mu.Lock()
		s.expire()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// commit carries out a write.
func (s *store) commit(t *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	found, holds := []item{}, true
	for _, c := range t.Precondition {
		i, ok := s.get(c.Key)
		if ok {
			found = append(found, i)
		}
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": found}
	}
	for _, p := range t.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, p := range t.Put {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
		}
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// watch serves a watch: it answers as soon as there is a change.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed, gone := s.revision, s.changed, after < s.compacted
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		time.Sleep(storeDelay)
		if s.isDown() {
			<-r.Context().Done()
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"events": events, "at_rev": at})
		return
	}
}

// writeJSON writes v as a JSON response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
