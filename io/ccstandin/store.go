// Package ccstandin holds small in-memory implementations of the platform's services. Store, VMList and Worker are HTTP
// servers for the protocols of io/ccstore, io/ccvmlist and io/ccworker; CellStore implements the store interface of
// io/cccontrol by function calls. The stores and the worker inject faults on request. All are for tests, measurements
// and the demo only; the program coriandercross doesn't import this package.
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

// StoreFaults are the faults that a Store injects.
type StoreFaults struct {
	// Down makes the store refuse every call, and end the watches in progress.
	Down bool
	// DelayMs is the time by which every call is delayed.
	DelayMs int64
	// LoseReplies is the number of writes that take effect but whose connection is closed without a reply.
	LoseReplies int
	// MaxCallsPerSecond is the number of calls in a second above which the store refuses calls, or 0 for no limit.
	MaxCallsPerSecond int
}

// StoreCounts holds the number of calls of each kind.
type StoreCounts struct {
	Get   int64
	Put   int64
	Watch int64
	// Refused is the number of calls refused by StoreFaults.Down or StoreFaults.MaxCallsPerSecond. They count for no
	// kind.
	Refused int64
}

// Store is an in-memory key-value store with compare-and-swap and watches.
type Store struct {
	mu     sync.Mutex
	values map[string]ccstore.Value
	// version is that of the last write to any key.
	version uint64
	// changed is closed, and replaced, at each write and each change of the faults.
	changed chan struct{}
	faults  StoreFaults
	counts  StoreCounts
	// callsInSecond is the number of calls in the Unix second limitSecond.
	limitSecond   int64
	callsInSecond int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{values: map[string]ccstore.Value{}, changed: make(chan struct{})}
}

// Handler returns the HTTP handler of the store.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/values/{Key}", s.withFaults(s.serveGet)).Methods(http.MethodGet)
	r.HandleFunc("/v1/values/{Key}", s.withFaults(s.servePut)).Methods(http.MethodPut)
	r.HandleFunc("/v1/watch/{Key}", s.withFaults(s.serveWatch)).Methods(http.MethodGet)
	r.HandleFunc("/faults", s.serveSetFaults).Methods(http.MethodPut)
	r.HandleFunc("/counts", s.serveCounts).Methods(http.MethodGet)
	return r
}

// SetFaults replaces all faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	// Wake the watches in progress, so that they end if the store is down.
	close(s.changed)
	s.changed = make(chan struct{})
}

// Counts returns the number of calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// withFaults returns a handler that delays or refuses the call as the faults say, before it calls f.
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

// overLimit counts a call, and reports whether it exceeds MaxCallsPerSecond. The caller holds mu.
func (s *Store) overLimit() bool {
	if now := time.Now().Unix(); now != s.limitSecond {
		s.limitSecond = now
		s.callsInSecond = 0
	}
	s.callsInSecond++
	return s.faults.MaxCallsPerSecond > 0 && s.callsInSecond > s.faults.MaxCallsPerSecond
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counts.Get++
	v := s.values[mux.Vars(r)["Key"]]
	s.mu.Unlock()
	writeValue(w, v)
}

// writeValue writes a value as the response, or status 404 if the key has no value.
func writeValue(w http.ResponseWriter, v ccstore.Value) {
	if v.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(ccstore.VersionHeader, strconv.FormatUint(v.Version, 10))
	_, _ = w.Write(v.Data)
}

// servePut writes a value if the key has the version in the request's header.
func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, ccstore.MaxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	expected, _ := strconv.ParseUint(r.Header.Get(ccstore.VersionHeader), 10, 64)
	version, loseReply := s.compareAndSwap(mux.Vars(r)["Key"], expected, data)
	switch {
	case version == 0:
		w.WriteHeader(http.StatusConflict)
	case loseReply:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set(ccstore.VersionHeader, strconv.FormatUint(version, 10))
	}
}

// compareAndSwap writes a value if the key has the expected version. It returns the new version, or 0 if the key has
// another version. It returns loseReply as true if the reply must be lost.
func (s *Store) compareAndSwap(key string, expected uint64, data []byte) (version uint64, loseReply bool) {
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

// serveWatch responds with the value of a key as soon as its version is above the query parameter After, or after the
// query parameter TimeoutMs at the latest.
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

func (s *Store) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	decodeInto(w, r, s.SetFaults)
}

func (s *Store) serveCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Counts())
}

// decodeInto decodes the JSON body of a request and calls set with it, or responds with status 400.
func decodeInto[T any](w http.ResponseWriter, r *http.Request, set func(T)) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set(v)
}
