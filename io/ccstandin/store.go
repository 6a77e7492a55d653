// Package ccstandin holds small stand-ins for the platform: the store, a worker and the VM list, with
// faults on request. They serve tests and the demo; nothing of the product imports them.
package ccstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"coriandercross/io/ccstore"

	"github.com/gorilla/mux"
)

// StoreFaults are the faults of the store, set as a whole.
type StoreFaults struct {
	// Down refuses every call.
	Down bool
	// DelayMs is added to every call.
	DelayMs int64
	// LoseReplies drops the replies of the next writes after they took effect.
	LoseReplies int
	// MaxCallsPerSecond refuses calls above it; 0 is no limit.
	MaxCallsPerSecond int
}

// StoreCounts counts the calls of each kind.
type StoreCounts struct {
	Get   int64
	Put   int64
	Watch int64
	// Refused counts the calls that a fault or the limit turned away.
	Refused int64
}

// Store is a key-value store in memory with compare-and-swap and watches.
type Store struct {
	mu            sync.Mutex
	values        map[string]ccstore.Value
	version       uint64
	changed       chan struct{}
	faults        StoreFaults
	counts        StoreCounts
	limitSecond   int64
	callsInSecond int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{values: map[string]ccstore.Value{}, changed: make(chan struct{})}
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/values/{Key}", s.withFaults(s.serveGet)).Methods(http.MethodGet)
	r.HandleFunc("/v1/values/{Key}", s.withFaults(s.servePut)).Methods(http.MethodPut)
	r.HandleFunc("/v1/watch/{Key}", s.withFaults(s.serveWatch)).Methods(http.MethodGet)
	r.HandleFunc("/faults", s.serveSetFaults).Methods(http.MethodPut)
	r.HandleFunc("/counts", s.serveCounts).Methods(http.MethodGet)
	return r
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	// Watches in progress end when the store goes down.
	close(s.changed)
	s.changed = make(chan struct{})
}

// Counts returns the calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// withFaults applies the faults before a call.
func (s *Store) withFaults(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		delay := time.Duration(s.faults.DelayMs) * time.Millisecond
		refuse := s.faults.Down || s.overLimit()
		if refuse {
			s.counts.Refused++
		}
		s.mu.Unlock()
		time.Sleep(delay)
		if refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f(w, r)
	}
}

// overLimit counts a call against the rate limit. The caller holds mu.
func (s *Store) overLimit() bool {
	if now := time.Now().Unix(); now != s.limitSecond {
		s.limitSecond = now
		s.callsInSecond = 0
	}
	s.callsInSecond++
	return s.faults.MaxCallsPerSecond > 0 && s.callsInSecond > s.faults.MaxCallsPerSecond
}

// serveGet answers a read.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counts.Get++
	v := s.values[mux.Vars(r)["Key"]]
	s.mu.Unlock()
	writeValue(w, v)
}

// writeValue answers with a value.
func writeValue(w http.ResponseWriter, v ccstore.Value) {
	if v.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(ccstore.VersionHeader, strconv.FormatUint(v.Version, 10))
	_, _ = w.Write(v.Data)
}

// servePut answers a compare-and-swap.
func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, ccstore.MaxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	expected, _ := strconv.ParseUint(r.Header.Get(ccstore.VersionHeader), 10, 64)
	version, lose := s.compareAndSwap(mux.Vars(r)["Key"], expected, data)
	switch {
	case version == 0:
		w.WriteHeader(http.StatusConflict)
	case lose:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set(ccstore.VersionHeader, strconv.FormatUint(version, 10))
	}
}

// compareAndSwap writes a value if its version is as expected. It returns 0 when it is not.
func (s *Store) compareAndSwap(key string, expected uint64, data []byte) (version uint64, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Put++
	if s.values[key].Version != expected {
		return 0, false
	}
	s.version++
	s.values[key] = ccstore.Value{Version: s.version, Data: data}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return s.version, true
	}
	return s.version, false
}

// serveWatch waits for a newer version of a key.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	ms, _ := strconv.ParseInt(r.URL.Query().Get("TimeoutMs"), 10, 64)
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	s.mu.Lock()
	s.counts.Watch++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		v := s.values[mux.Vars(r)["Key"]]
		changed := s.changed
		down := s.faults.Down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if v.Version > after {
			writeValue(w, v)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeValue(w, v)
			return
		}
	}
}

// serveSetFaults answers a change of the faults.
func (s *Store) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	decodeInto(w, r, s.SetFaults)
}

// serveCounts answers with the counts.
func (s *Store) serveCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Counts())
}

// decodeInto decodes a body and hands it to set.
func decodeInto[T any](w http.ResponseWriter, r *http.Request, set func(T)) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set(v)
}
