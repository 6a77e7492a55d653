package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's key-value store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]*storeItem
	keys     []string // Sorted.
	events   []storeEvent
	leases   map[int64]*storeLease
	changed  chan struct{}
	// down is true during an outage: no call is answered or carried out.
	down bool
}

// storeItem is a key with its value.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// storeEvent is a change: item is nil for a removal.
type storeEvent struct {
	key      string
	revision int64
	item     *storeItem
}

// storeLease is a lease that ends at a time unless it is renewed.
type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

const (
	storeAnswer = 4 * time.Millisecond
	pageItems   = 500
	pageBytes   = 1 << 20
)

func newStore() *store {
	return &store{revision: 1, items: map[string]*storeItem{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
}

// setDown begins or ends an outage. The calls that arrive in it are never answered.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// hang waits until the connection of a call is closed, if there is an outage. It reports whether it has waited.
func (s *store) hang(r *http.Request) bool {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		<-r.Context().Done()
	}
	return down
}

// put writes a key on behalf of the operator or a worker.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.broadcast()
}

// remove removes a key on behalf of the platform.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.unset(key)
	s.broadcast()
}

// set writes a key at the present revision. The caller holds mu.
func (s *store) set(key string, value []byte, lease int64) {
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	} else {
		i, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, i, key)
	}
	it := &storeItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.events = append(s.events, storeEvent{key, s.revision, it})
}

// unset removes a key at the present revision. The caller holds mu.
func (s *store) unset(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	if i, ok := slices.BinarySearch(s.keys, key); ok {
		s.keys = slices.Delete(s.keys, i, i+1)
	}
	s.events = append(s.events, storeEvent{key, s.revision, nil})
}

// broadcast wakes the watches. The caller holds mu.
func (s *store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases that were not renewed, until stop is closed.
func (s *store) expireLeases(stop <-chan struct{}) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-t.C:
			s.mu.Lock()
			for id, l := range s.leases {
				if !s.down && now.After(l.ends) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.revision++
	for _, k := range keys {
		s.unset(k)
	}
	s.broadcast()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The server notices that a connection was closed only once the body has been read.
	body, err := io.ReadAll(r.Body)
	if err != nil || s.hang(r) {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	time.Sleep(storeAnswer)
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		s.serveKey(w, q)
	case path == "/api/kv-range":
		s.serveRange(w, q)
	case path == "/api/kv-watch":
		s.serveWatch(w, r, q)
	case path == "/api/kv-txn":
		s.serveTxn(w, r)
	case path == "/api/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/api/kv-keep/"))
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	it, at := s.items[q.Get("key")], s.revision
	s.mu.Unlock()
	if it == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "at_rev": at})
}

func (s *store) serveRange(w http.ResponseWriter, q url.Values) {
	prefix, after := q.Get("prefix"), q.Get("after")
	s.mu.Lock()
	i, found := slices.BinarySearch(s.keys, max(prefix, after))
	if found && after != "" && s.keys[i] == after {
		i++
	}
	page, bytes, more := []*storeItem{}, 0, false
	for ; i < len(s.keys) && strings.HasPrefix(s.keys[i], prefix); i++ {
		it := s.items[s.keys[i]]
		if len(page) == pageItems || (len(page) > 0 && bytes+len(it.Value) > pageBytes) {
			more = true
			break
		}
		page, bytes = append(page, it), bytes+len(it.Value)
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": page, "has_more": more, "at_rev": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, q url.Values) {
	prefix := q.Get("prefix")
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		events := []any{}
		s.mu.Lock()
		i := sort.Search(len(s.events), func(i int) bool { return s.events[i].revision > after })
		for _, e := range s.events[i:] {
			switch {
			case !strings.HasPrefix(e.key, prefix):
			case e.item == nil:
				events = append(events, map[string]any{"key": e.key, "revision": e.revision, "deleted": true})
			default:
				events = append(events, e.item)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if s.hang(r) {
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at_rev": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "at_rev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Precondition)+len(t.Put)+len(t.Remove) > 32 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, holds := []*storeItem{}, true
	for _, c := range t.Precondition {
		revision := int64(0)
		if it := s.items[c.Key]; it != nil {
			revision = it.Revision
			found = append(found, it)
		}
		holds = holds && revision == c.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": found})
		return
	}
	for _, p := range t.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range t.Put {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.unset(k)
	}
	s.broadcast()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := time.Duration(max(in.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, name string) {
	id, _ := strconv.ParseInt(name, 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client has disconnected if this fails.
	_, _ = w.Write(data)
}
