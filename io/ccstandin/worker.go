package ccstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"coriandercross/core/ccwork"
	"coriandercross/io/ccworker"
)

// WorkerConfig sets up a Worker.
type WorkerConfig struct {
	ID       string
	Capacity ccwork.Size
	// RejectStale makes the worker refuse starts of older epochs and starts that come too late. The
	// proofs switch it off, so that fencing does not rest on it.
	RejectStale bool
	// OnEvent is told of each start and end; it may be nil.
	OnEvent func(Event)
}

// WorkerFaults are the faults of a worker, set as a whole.
type WorkerFaults struct {
	// FailAll makes every task fail at once.
	FailAll bool
	// Truncate cuts every answer.
	Truncate bool
	// DelayMs is added before a start is looked at, as if the network were slow.
	DelayMs int64
}

// Event is one line of a worker's record: what really ran, and when.
type Event struct {
	// AtMs is in Unix milliseconds.
	AtMs   int64
	Worker string
	Task   string
	Team   string
	Kind   string
	Size   ccwork.Size
	Epoch  uint64
	// State is Running at the start, and the end otherwise.
	State ccwork.TaskState
	// Over is true when the start put the worker over its capacity.
	Over bool `json:",omitempty"`
}

// Worker runs tasks that only sleep.
type Worker struct {
	cfg     WorkerConfig
	bootID  string
	mu      sync.Mutex
	tasks   map[string]*task
	used    ccwork.Size
	version uint64
	epoch   uint64
	faults  WorkerFaults
	// changed is closed when the task table changes.
	changed chan struct{}
}

// task is one line of the task table.
type task struct {
	row        ccworker.Row
	leaseUntil time.Time
	// interactive tasks leave the table when they end.
	interactive bool
	endedAt     time.Time
	stop        chan struct{}
}

// NewWorker returns a worker without tasks, and begins to watch leases.
func NewWorker(cfg WorkerConfig) *Worker {
	w := &Worker{cfg: cfg, bootID: strconv.FormatInt(time.Now().UnixNano(), 36), tasks: map[string]*task{}, changed: make(chan struct{})}
	go w.watchLeases()
	return w
}

// Handler returns the worker's HTTP interface.
func (w *Worker) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+ccworker.RunPath, w.serveRun)
	m.HandleFunc("POST "+ccworker.TasksPath, w.serveStart)
	m.HandleFunc("POST "+ccworker.SyncPath, w.serveSync)
	m.HandleFunc("PUT /faults", func(rw http.ResponseWriter, r *http.Request) {
		decodeInto(rw, r, w.SetFaults)
	})
	return m
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

const (
	leaseCheckInterval = 20 * time.Millisecond
	// endedRetention is how long an ended task stays in the table unless it is forgotten.
	endedRetention = 10 * time.Minute
)

// watchLeases stops tasks whose lease has lapsed.
func (w *Worker) watchLeases() {
	for range time.Tick(leaseCheckInterval) {
		w.mu.Lock()
		now := time.Now()
		for id, t := range w.tasks {
			if t.row.State == ccwork.Running && now.After(t.leaseUntil) {
				w.endTask(t, ccwork.Stopped, nil)
			}
			if t.row.State.Ended() && now.After(t.endedAt.Add(endedRetention)) {
				delete(w.tasks, id)
			}
		}
		w.mu.Unlock()
	}
}

// startTask books a task. It returns nil when the task is in the table. The caller holds mu.
func (w *Worker) startTask(row ccworker.Row, epoch uint64, lease time.Duration) *task {
	if _, ok := w.tasks[row.Task]; ok {
		return nil
	}
	row.State = ccwork.Running
	t := &task{row: row, leaseUntil: time.Now().Add(lease), stop: make(chan struct{})}
	w.tasks[row.Task] = t
	w.tableChanged()
	w.used = w.used.Plus(row.Size)
	w.recordEvent(t, time.Now(), epoch, !w.used.Fits(&w.cfg.Capacity))
	return t
}

// endTask ends a task. The caller holds mu.
func (w *Worker) endTask(t *task, state ccwork.TaskState, result []byte) {
	if t.row.State.Ended() {
		return
	}
	at := time.Now()
	if at.After(t.leaseUntil) {
		// Also when the whole worker was frozen: a task does not outlive its lease.
		at, state = t.leaseUntil, ccwork.Stopped
	}
	t.row.State = state
	t.row.Result = result
	t.endedAt = at
	w.used = w.used.Minus(t.row.Size)
	w.tableChanged()
	w.recordEvent(t, at, 0, false)
	close(t.stop)
	if t.interactive {
		delete(w.tasks, t.row.Task)
	}
}

// tableChanged notes a change of the task table. The caller holds mu.
func (w *Worker) tableChanged() {
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
}

// recordEvent tells of a start or an end. The caller holds mu.
func (w *Worker) recordEvent(t *task, at time.Time, epoch uint64, over bool) {
	if w.cfg.OnEvent == nil {
		return
	}
	w.cfg.OnEvent(Event{
		AtMs: at.UnixMilli(), Worker: w.cfg.ID, Task: t.row.Task, Team: t.row.Team, Kind: t.row.Kind,
		Size: t.row.Size, Epoch: epoch, State: t.row.State, Over: over,
	})
}

// rejects reports whether a start is stale. The caller holds mu.
func (w *Worker) rejects(epoch uint64, notAfterUnixMs int64) bool {
	stale := epoch < w.epoch
	w.epoch = max(w.epoch, epoch)
	return w.cfg.RejectStale && (stale || time.Now().UnixMilli() > notAfterUnixMs)
}

// script is what a payload asks of a task, in the form of a URL query.
type script struct {
	run   time.Duration
	fail  bool
	bytes int
	echo  string
}

// parseScript reads a payload; anything else is a task that ends at once and echoes it.
func parseScript(payload []byte) script {
	q, err := url.ParseQuery(string(payload))
	if err != nil {
		return script{echo: string(payload)}
	}
	ms, _ := strconv.ParseInt(q.Get("RunMs"), 10, 64)
	bytes, _ := strconv.Atoi(q.Get("Bytes"))
	return script{run: time.Duration(ms) * time.Millisecond, fail: q.Get("Fail") != "", bytes: bytes, echo: q.Get("Echo")}
}

// result is the result of a task.
func (s script) result() []byte {
	out := []byte("done " + s.echo)
	for len(out) < s.bytes {
		out = append(out, '.')
	}
	return out
}

// serveRun answers a request whose caller waits.
func (w *Worker) serveRun(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.delay()
	t, faults := w.admit(r)
	if t == nil {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	rw.Header().Set("Trailer", ccworker.OutcomeTrailer)
	rw.WriteHeader(http.StatusOK)
	rw.(http.Flusher).Flush()
	s := parseScript(body)
	state := w.execute(t, s, faults, r.Context().Done())
	if faults.Truncate {
		_, _ = rw.Write([]byte("do"))
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(s.result())
	rw.Header().Set(ccworker.OutcomeTrailer, string(state))
}

// delay waits as the faults say.
func (w *Worker) delay() {
	w.mu.Lock()
	d := w.faults.DelayMs
	w.mu.Unlock()
	time.Sleep(time.Duration(d) * time.Millisecond)
}

// admit books a request, or returns nil.
func (w *Worker) admit(r *http.Request) (*task, WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := r.Header
	epoch, _ := strconv.ParseUint(h.Get(ccworker.EpochHeader), 10, 64)
	notAfter, _ := strconv.ParseInt(h.Get(ccworker.NotAfterHeader), 10, 64)
	lease, _ := strconv.ParseInt(h.Get(ccworker.LeaseHeader), 10, 64)
	row := ccworker.Row{Task: h.Get(ccworker.TaskHeader), Team: h.Get(ccworker.TeamHeader), Kind: h.Get(ccworker.KindHeader)}
	if json.Unmarshal([]byte(h.Get(ccworker.SizeHeader)), &row.Size) != nil || w.rejects(epoch, notAfter) {
		return nil, w.faults
	}
	t := w.startTask(row, epoch, time.Duration(lease)*time.Millisecond)
	if t != nil {
		t.interactive = true
	}
	return t, w.faults
}

// execute runs a task to its end, and returns its state.
func (w *Worker) execute(t *task, s script, faults WorkerFaults, cancelled <-chan struct{}) ccwork.TaskState {
	state := ccwork.Succeeded
	if s.fail || faults.FailAll {
		state = ccwork.Failed
	}
	run := s.run
	if faults.FailAll {
		run = 0
	}
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.stop:
	case <-cancelled:
		state = ccwork.Stopped
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endTask(t, state, s.result())
	return t.row.State
}

// serveStart answers a start of tasks.
func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	w.delay()
	decodeInto(rw, r, func(req ccworker.StartRequest) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.rejects(req.Epoch, req.NotAfterUnixMs) {
			rw.WriteHeader(http.StatusConflict)
			return
		}
		reply := ccworker.StartReply{Refused: map[string]string{}}
		for _, st := range req.Tasks {
			row := ccworker.Row{Task: st.Task, Team: st.Team, Kind: st.Kind, Long: st.Long, Size: st.Size}
			t := w.startTask(row, req.Epoch, time.Duration(req.LeaseMs)*time.Millisecond)
			if t == nil {
				reply.Refused[st.Task] = "Refused"
				continue
			}
			go w.execute(t, parseScript(st.Payload), w.faults, nil)
		}
		_ = json.NewEncoder(rw).Encode(reply)
	})
}

// serveSync renews leases, stops and forgets tasks, and answers with the task table, at once if it has
// changed since the last answer and after a wait otherwise.
func (w *Worker) serveSync(rw http.ResponseWriter, r *http.Request) {
	decodeInto(rw, r, func(req ccworker.SyncRequest) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.rejects(req.Epoch, time.Now().UnixMilli()) {
			rw.WriteHeader(http.StatusConflict)
			return
		}
		w.applySync(&req)
		w.waitForChange(&req, r.Context().Done())
		reply := ccworker.SyncReply{Boot: w.bootID, Version: w.version}
		if req.Boot == w.bootID && req.Since == w.version {
			reply.Unchanged = true
		} else {
			for _, t := range w.tasks {
				reply.Rows = append(reply.Rows, t.row)
			}
		}
		_ = json.NewEncoder(rw).Encode(reply)
	})
}

// waitForChange waits for a change of the task table. The caller holds mu, which is free meanwhile.
func (w *Worker) waitForChange(req *ccworker.SyncRequest, cancelled <-chan struct{}) {
	if req.Boot != w.bootID || req.Since != w.version || req.WaitMs == 0 {
		return
	}
	changed := w.changed
	w.mu.Unlock()
	defer w.mu.Lock()
	select {
	case <-changed:
	case <-cancelled:
	case <-time.After(time.Duration(req.WaitMs) * time.Millisecond):
	}
}

// applySync carries out the orders of a sync. The caller holds mu.
func (w *Worker) applySync(req *ccworker.SyncRequest) {
	now := time.Now()
	for _, t := range w.tasks {
		if t.row.State == ccwork.Running && now.Before(t.leaseUntil) {
			t.leaseUntil = now.Add(time.Duration(req.LeaseMs) * time.Millisecond)
		}
	}
	for _, id := range req.Stop {
		if t := w.tasks[id]; t != nil {
			w.endTask(t, ccwork.Stopped, nil)
		}
	}
	for _, id := range req.Forget {
		if t := w.tasks[id]; t != nil && t.row.State.Ended() {
			delete(w.tasks, id)
			w.tableChanged()
		}
	}
}

// JSONRecorder returns a recorder that writes one JSON line an event.
func JSONRecorder(out io.Writer) func(Event) {
	enc := json.NewEncoder(out)
	return func(e Event) {
		if err := enc.Encode(e); err != nil {
			panic(fmt.Sprintf("recording an event: %v", err))
		}
	}
}
