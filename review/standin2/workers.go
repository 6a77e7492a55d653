package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"coriandercross/io/cccontrol"
	"coriandercross/platform/ccemulator"
)

// The workers do what the pages say of them. A worker takes the name of a task as a text that it returns in its lists, and as nothing else.

// workerRun is one run of a task.
type workerRun struct {
	task       string
	attempt    int64
	checkpoint string
	began      time.Time
	endsAt     time.Time
}

// endRow is a row of the list of ends.
type endRow struct {
	number  int64
	task    string
	attempt int64
	how     string
	// uncertain is true if the lease has ended since.
	uncertain bool
}

// worker is a stand-in of a worker.
type worker struct {
	id, address string
	fleet       *fleet
	mu          sync.Mutex
	born        time.Time
	token       int64
	leaseUntil  int64
	running     map[string]*workerRun
	ended       []endRow
	lastEnd     int64
	// highest is the highest attempt that was stopped or has ended, by task.
	highest map[string]int64
	server  *http.Server
	mux     *http.ServeMux
	down    bool
	// mute is true while the worker leaves orders unanswered and does nothing, mutedStarts counts the starts among them.
	mute        bool
	mutedStarts int
	// cut is true while nothing reaches the worker, which runs on.
	cut bool
}

// fleet is a service with its workers.
type fleet struct {
	rec      *record
	emulator *ccemulator.Emulator
	// capacity is that of each worker, as its registration says.
	capacity map[string]int
	duration func(w *worker, task string) time.Duration
	// kind and rack return the labels of a worker, by its number.
	kind, rack func(i int) string
	workers    []*worker
	mu         sync.Mutex
	// live counts the runs of each task, done tells that a run of it has ended as done, starts counts its starts.
	live, starts map[string]int
	done         map[string]bool
	// violations has a line for each task that ran twice at the same time, or again after its end was taken note of.
	violations []string
	acked      map[string]bool
	stop       chan struct{}
}

const (
	workerCores       = 16000
	heartbeatInterval = 1500 * time.Millisecond
	workerTick        = 10 * time.Millisecond
	fleetService      = "svc" // The emulator's configurations name it.
)

// smallWorker is the capacity of a worker of the small sites.
var smallWorker = map[string]int{"cpu": workerCores, "mem_mb": 65536, "gpu": 0}

// newFleet starts workers that register in the store of the emulator.
func newFleet(rec *record, e *ccemulator.Emulator, n int, capacity map[string]int, duration func(w *worker, task string) time.Duration) (*fleet, error) {
	f := &fleet{rec: rec, emulator: e, capacity: capacity, duration: duration, kind: func(int) string { return "a" }, rack: func(i int) string { return fmt.Sprintf("r1-%d", i/8) }, live: map[string]int{}, starts: map[string]int{}, done: map[string]bool{}, acked: map[string]bool{}, stop: make(chan struct{})}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w := &worker{id: fmt.Sprintf("w%02d", i), address: l.Addr().String(), fleet: f, born: time.Now(), running: map[string]*workerRun{}, highest: map[string]int64{}}
		mux := http.NewServeMux()
		mux.HandleFunc("POST /api/run-start", w.handle(w.start))
		mux.HandleFunc("POST /api/run-stop", w.handle(w.stopRun))
		mux.HandleFunc("POST /api/hold", w.handle(w.hold))
		w.mux = mux
		w.server = &http.Server{Handler: mux}
		go func() { _ = w.server.Serve(l) }()
		go w.tick()
		f.workers = append(f.workers, w)
	}
	go f.register()
	return f, nil
}

// close ends all workers.
func (f *fleet) close() {
	close(f.stop)
	for _, w := range f.workers {
		_ = w.server.Close()
	}
}

// register writes the registrations at each heartbeat.
func (f *fleet) register() {
	for seq := 1; ; seq++ {
		for i, w := range f.workers {
			f.mu.Lock()
			labels := []string{f.kind(i), f.rack(i)}
			f.mu.Unlock()
			w.mu.Lock()
			if w.down || w.cut {
				w.mu.Unlock()
				continue
			}
			data, _ := json.Marshal(map[string]any{
				"service": fleetService, "address": w.address, "zone": "a", "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": w.born.UnixMilli(),
				"capacity": f.capacity, "labels": labels,
			})
			w.mu.Unlock()
			_, _ = f.emulator.Store.Commit(&cccontrol.Txn{Puts: []cccontrol.Put{{Key: "servers/" + w.id, Value: data}}})
		}
		select {
		case <-f.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// order is the body of a call to a worker.
type order struct {
	Task       string `json:"task"`
	Attempt    int64  `json:"attempt"`
	Expires    int64  `json:"expires_at_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// handle decodes a call, and refuses one for another worker or with a lower token than the worker has seen.
func (w *worker) handle(do func(rw http.ResponseWriter, r *http.Request, o *order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		switch {
		case w.down:
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		case w.cut, w.mute && !strings.HasSuffix(r.URL.Path, "hold"): // Also after the cut: the caller has given the call up.
			if strings.HasSuffix(r.URL.Path, "run-start") {
				w.mutedStarts++
			}
			w.mu.Unlock()
			<-r.Context().Done()
			return
		}
		stale := o.Token < w.token
		w.token = max(w.token, o.Token)
		w.mu.Unlock()
		if stale {
			w.refuse(rw, "fence")
			return
		}
		do(rw, r, &o)
	}
}

// clock returns the worker's clock, which begins with its life.
func (w *worker) clock() int64 {
	return 1000 + time.Since(w.born).Milliseconds()
}

// refuse answers with 409.
func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(rw).Encode(map[string]any{"clock_ms": w.clock(), "reason": reason})
}

// extend extends the lease.
func (w *worker) extend(until int64) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock()+maxLeaseMs))
}

// start begins a run.
func (w *worker) start(rw http.ResponseWriter, _ *http.Request, o *order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if o.Expires <= w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(o.Expires)
	key := fmt.Sprintf("%s#%d", o.Task, o.Attempt)
	switch {
	case w.running[key] != nil:
	case o.Attempt <= w.highest[o.Task]:
		w.refuse(rw, "old")
		return
	default:
		now := time.Now()
		w.running[key] = &workerRun{task: o.Task, attempt: o.Attempt, checkpoint: o.Checkpoint, began: now, endsAt: now.Add(w.fleet.duration(w, o.Task))}
		w.fleet.began(w, o.Task, o.Attempt)
	}
	writeJSON(rw, map[string]any{"clock_ms": w.clock()})
}

// stopRun ends a run, or keeps it from being started.
func (w *worker) stopRun(rw http.ResponseWriter, _ *http.Request, o *order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if r := w.running[fmt.Sprintf("%s#%d", o.Task, o.Attempt)]; r != nil {
		w.end(r, "stopped")
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	writeJSON(rw, map[string]any{"clock_ms": w.clock()})
}

// hold renews the lease and returns the lists, with an end or when the wait is over.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	w.mu.Lock()
	w.advance()
	if o.Expires > 0 {
		w.extend(o.Expires)
	}
	for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
		if w.ended[0].how == "done" && !w.ended[0].uncertain {
			w.fleet.takenNote(w.ended[0].task)
		}
		w.ended = w.ended[1:]
	}
	w.mu.Unlock()
	for until := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond); ; {
		w.mu.Lock()
		w.advance()
		if w.cut || w.down {
			w.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if len(w.ended) > 0 || !time.Now().Before(until) {
			break
		}
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(workerTick):
		}
	}
	defer w.mu.Unlock()
	running, ended := []any{}, []any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.attempt, r.checkpoint, r.percent(), 1.0})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	writeJSON(rw, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": ended})
}

// percent returns the progress of a run.
func (r *workerRun) percent() int {
	return int(min(99, 100*time.Since(r.began)/max(r.endsAt.Sub(r.began), 1)))
}

// tick ends the runs that are due.
func (w *worker) tick() {
	for {
		select {
		case <-w.fleet.stop:
			return
		case <-time.After(workerTick):
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

// advance ends the runs that are due, and all of them if the lease has ended. The caller holds mu.
func (w *worker) advance() {
	now := time.Now()
	for _, r := range w.running {
		if !now.Before(r.endsAt) {
			w.end(r, "done")
		}
	}
	if w.clock() > w.leaseUntil {
		for i := range w.ended {
			w.ended[i].uncertain = true
		}
		for _, r := range w.running {
			w.end(r, "lapsed")
		}
	}
}

// end ends a run. The caller holds mu.
func (w *worker) end(r *workerRun, how string) {
	delete(w.running, fmt.Sprintf("%s#%d", r.task, r.attempt))
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.lastEnd++
	w.ended = append(w.ended, endRow{number: w.lastEnd, task: r.task, attempt: r.attempt, how: how})
	w.fleet.ended(w, r, how)
}

// began records a start.
func (f *fleet) began(w *worker, task string, attempt int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rec.printf("%s starts %s attempt %d", w.id, task, attempt)
	if f.live[task] > 0 {
		f.violations = append(f.violations, fmt.Sprintf("TWICE: %s started on %s while it runs elsewhere", task, w.id))
	}
	if f.acked[task] {
		f.violations = append(f.violations, fmt.Sprintf("TWICE: %s started on %s after its end was taken note of", task, w.id))
	}
	f.live[task]++
	f.starts[task]++
}

// ended records an end.
func (f *fleet) ended(w *worker, r *workerRun, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if how != "done" {
		f.rec.printf("%s: %s attempt %d ends %s", w.id, r.task, r.attempt, how)
	}
	f.live[r.task]--
	f.done[r.task] = f.done[r.task] || how == "done"
}

// takenNote records that the system has taken note of the end of a task.
func (f *fleet) takenNote(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acked[task] = true
}

// counts returns the number of runs, and whether a job has any, by the prefix of its tasks' names.
func (f *fleet) counts(ids []string) (live int, has map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	has = map[string]bool{}
	for task, n := range f.live {
		live += n
		if n > 0 {
			for _, id := range ids {
				if len(task) > len(id) && task[:len(id)+1] == id+"." {
					has[id] = true
				}
			}
		}
	}
	return live, has
}

// writeJSON writes v as the body of a response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// crash ends the life of a worker with all that it runs, and begins the next one after a while, with the same id and at the
// same address.
func (w *worker) crash(downFor time.Duration) error {
	w.mu.Lock()
	_ = w.server.Close()
	for _, r := range w.running {
		w.end(r, "lost")
	}
	w.ended, w.highest, w.lastEnd, w.token, w.leaseUntil = nil, map[string]int64{}, 0, 0, 0
	w.down, w.mute = true, false
	w.mu.Unlock()
	time.Sleep(downFor)
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.down = time.Now(), false
	server := &http.Server{Handler: w.mux}
	w.server = server
	go func() { _ = server.Serve(l) }()
	return nil
}
