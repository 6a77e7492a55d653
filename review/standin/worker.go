package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	holdMaxMs   = 6000
	workerCores = 16
	// workerTick is the interval at which a worker looks for ends of tasks and leases.
	workerTick = 5 * time.Millisecond
)

// taskRun is one run of a task at a worker.
type taskRun struct {
	task    string
	attempt int64
	spec    taskSpec
	begun   time.Time
	// doneMs is the work that a checkpoint has saved before this run.
	doneMs int64
	// savedMs is the work of the newest checkpoint, 0 for none.
	savedMs int64
}

// taskSpec is what the clients of the cases put into the spec of a job: the work of a task of each step in ms, 0 for one
// that lasts, and the interval of the checkpoints in ms, 0 for none.
type taskSpec struct {
	Ms   []int64 `json:"ms"`
	Save int64   `json:"save"`
}

// parts returns the job and the step of a task.
func parts(task string) (job string, step int) {
	p := strings.Split(task, ".")
	step, _ = strconv.Atoi(p[2])
	return p[0], step
}

// workMs returns the work of the task, 0 if it lasts.
func (r *taskRun) workMs() int64 {
	_, step := parts(r.task)
	return r.spec.Ms[min(step, len(r.spec.Ms)-1)]
}

func (r *taskRun) saved() string {
	if r.savedMs == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", r.savedMs)
}

// runs collects the starts and ends of all workers.
type runs struct {
	mu   sync.Mutex
	rec  *record
	list []runEvent
}

// runEvent is a run with its times since the start of the record; End is 0 and How empty while it runs.
type runEvent struct {
	Task, Worker, How string
	Attempt           int64
	Begin, End        time.Duration
}

func (l *runs) begin(r *taskRun, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, runEvent{Task: r.task, Attempt: r.attempt, Worker: worker, Begin: l.rec.now()})
	l.rec.log("run     begin %s run %d on %s", r.task, r.attempt, worker)
}

func (l *runs) end(r *taskRun, worker, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.list {
		if e := &l.list[i]; e.Task == r.task && e.Attempt == r.attempt && e.Worker == worker && e.How == "" {
			e.End, e.How = l.rec.now(), how
		}
	}
	l.rec.log("run     end   %s run %d on %s: %s", r.task, r.attempt, worker, how)
}

// of returns the runs of a job.
func (l *runs) of(job string) []runEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []runEvent
	for _, e := range l.list {
		if strings.HasPrefix(e.Task, job+".") {
			out = append(out, e)
		}
	}
	return out
}

// worker is a stand-in for one life of a worker.
type worker struct {
	id, service, address string
	rack                 string
	store                *store
	runs                 *runs
	started              time.Time

	mu       sync.Mutex
	fence    int64
	running  map[string]*taskRun
	barred   map[string]int64
	finished [][]any
	ends     int64
	expires  int64
	seq      int
	server   *http.Server
	stopped  chan struct{}
}

// startWorker starts a worker that serves at an address and registers itself.
func startWorker(id, service, address, rack string, s *store, l *runs) (*worker, error) {
	w := &worker{id: id, service: service, address: address, rack: rack, store: s, runs: l, started: time.Now(), running: map[string]*taskRun{}, barred: map[string]int64{}, stopped: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.work()
	return w, nil
}

// crash ends the worker with all that it runs. Its registration ends after three heartbeats.
func (w *worker) crash() {
	close(w.stopped)
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		w.runs.end(r, w.id, "crashed")
	}
	w.running = map[string]*taskRun{}
	id, st := w.id, w.store
	born := w.started
	time.AfterFunc(3*heartbeat, func() { st.dropRegistration(id, born.UnixMilli()) })
}

// dropRegistration removes the registration of a life of a worker, unless a later one has written it anew.
func (s *store) dropRegistration(id string, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items["servers/"+id]
	if !ok {
		return
	}
	var entry struct {
		Born int64 `json:"born"`
	}
	if json.Unmarshal(i.Value, &entry) == nil && entry.Born == born {
		s.remove("servers/" + id)
	}
}

func (w *worker) clock() int64 {
	return time.Since(w.started).Milliseconds() + 1
}

// work sends heartbeats and ends tasks.
func (w *worker) work() {
	var beat time.Time
	for {
		if time.Since(beat) >= heartbeat {
			beat = time.Now()
			if w.seq == 0 {
				// The first interval is shorter, so that not all workers write at the same moment.
				beat = beat.Add(-time.Duration(rand.Int64N(int64(heartbeat))))
			}
			w.seq++
			w.store.put("servers/"+w.id, map[string]any{
				"service": w.service, "address": w.address, "zone": "za", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
				"capacity": map[string]any{"cpu": workerCores * 1000, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", w.rack},
				"clock_ms": w.clock(), "seq": w.seq, "born": w.started.UnixMilli(),
			})
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(workerTick):
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

// advance ends the tasks that are done or whose lease has ended. The caller holds mu.
func (w *worker) advance() {
	lapsed := w.clock() > w.expires
	for _, r := range w.running {
		worked := r.doneMs + time.Since(r.begun).Milliseconds()
		if r.spec.Save > 0 {
			r.savedMs = max(r.savedMs, worked/r.spec.Save*r.spec.Save)
		}
		switch {
		case r.workMs() > 0 && worked >= r.workMs():
			w.finish(r, "done")
		case lapsed:
			w.finish(r, "lapsed")
		}
	}
}

// finish ends a run. The caller holds mu.
func (w *worker) finish(r *taskRun, how string) {
	delete(w.running, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.attempt)
	w.ends++
	saved := r.saved()
	if how == "done" {
		saved = ""
	}
	w.finished = append(w.finished, []any{w.ends, r.task, r.attempt, how, saved})
	w.runs.end(r, w.id, how)
}

// order is the body of a call to a worker.
type order struct {
	Task       string `json:"task"`
	Attempt    int64  `json:"attempt"`
	Spec       string `json:"spec"`
	Expires    int64  `json:"expires_at_ms"`
	Fence      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		rw.Header().Set("Instance-Id", w.id)
		return
	}
	var in order
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	refuse := func(reason string) {
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason, "born": w.started.UnixMilli()})
	}
	if in.Fence < w.fence {
		refuse("fence")
		return
	}
	w.fence = in.Fence
	hold := func() { w.expires = max(w.expires, min(in.Expires, w.clock()+holdMaxMs)) }
	switch r.URL.Path {
	case "/api/run-start":
		if run := w.running[in.Task]; run != nil && run.attempt == in.Attempt {
			hold()
			break
		}
		if in.Attempt <= w.barred[in.Task] || w.running[in.Task] != nil {
			hold()
			refuse("old")
			return
		}
		if in.Expires < w.clock() {
			refuse("late")
			return
		}
		run := &taskRun{task: in.Task, attempt: in.Attempt, begun: time.Now()}
		if json.Unmarshal([]byte(in.Spec), &run.spec) != nil || len(run.spec.Ms) == 0 {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if in.Checkpoint != "" {
			run.doneMs, _ = strconv.ParseInt(in.Checkpoint, 16, 64)
			run.savedMs = run.doneMs
		}
		hold()
		w.running[in.Task] = run
		w.runs.begin(run, w.id)
	case "/api/run-stop":
		w.barred[in.Task] = max(w.barred[in.Task], in.Attempt)
		if run := w.running[in.Task]; run != nil && run.attempt == in.Attempt {
			w.finish(run, "stopped")
		}
	case "/api/hold":
		hold()
		for len(w.finished) > 0 && w.finished[0][0].(int64) <= in.LastSeen {
			w.finished = w.finished[1:]
		}
		w.awaitEnd(r, in.WaitMs)
		running := [][]any{}
		for _, run := range w.running {
			percent := int64(100)
			if ms := run.workMs(); ms > 0 {
				percent = min(99, 100*(run.doneMs+time.Since(run.begun).Milliseconds())/ms)
			}
			running = append(running, []any{run.task, run.attempt, run.saved(), percent, 0})
		}
		finished := [][]any{}
		finished = append(finished, w.finished[:min(len(w.finished), 500)]...)
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.started.UnixMilli(), "running": running, "finished": finished})
		return
	default:
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.started.UnixMilli()})
}

// awaitEnd waits until there is an end, for some ms at most. The caller holds mu, which is free meanwhile.
func (w *worker) awaitEnd(r *http.Request, ms int64) {
	until := time.Now().Add(time.Duration(min(ms, 2000)) * time.Millisecond)
	for len(w.finished) == 0 && time.Now().Before(until) {
		w.mu.Unlock()
		select {
		case <-time.After(workerTick):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
}
