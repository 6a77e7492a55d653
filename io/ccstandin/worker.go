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

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	ID       string
	Capacity ccwork.Size
	// RejectStale makes the worker reject calls of an older epoch than it has seen, and starts that arrive too late. It
	// is off in the system tests, so that they show that the system is correct without this check.
	RejectStale bool
	// OnEvent is called at each start and end of a task, with the worker's mutex held; it may be nil.
	OnEvent func(Event)
}

// WorkerFaults are the faults that a Worker injects.
type WorkerFaults struct {
	// FailAll makes every task fail at once.
	FailAll bool
	// Truncate makes the worker close the connection after the first bytes of the response to a request.
	Truncate bool
	// DelayMs is the time by which every start of a task is delayed before the worker handles it, as by a slow network.
	DelayMs int64
}

// Event is one line of a worker's record: the start or the end of an attempt of a task.
type Event struct {
	// AtMs is the time of the event in Unix milliseconds.
	AtMs   int64
	Worker string
	Task   string
	Team   string
	Kind   string
	Size   ccwork.Size
	// Epoch is that of the start; 0 in the event of an end.
	Epoch uint64
	// State is Running for a start, and the final state for an end.
	State ccwork.TaskState
	// Over is true if the start made the tasks on the worker exceed its capacity.
	Over bool `json:",omitempty"`
}

// Worker implements the worker protocol of io/ccworker. Its tasks only sleep.
type Worker struct {
	cfg WorkerConfig
	// bootID differs at each start of a worker. A version of the task table is valid only together with it.
	bootID string
	mu     sync.Mutex
	// tasks is the task table, by the ID of the attempt.
	tasks map[string]*task
	// used is the sum of the sizes of the running tasks.
	used ccwork.Size
	// version is incremented at each change of the task table.
	version uint64
	// epoch is the highest epoch that a call had.
	epoch  uint64
	faults WorkerFaults
	// changed is closed, and replaced, at each change of the task table.
	changed chan struct{}
}

// task is an entry of the task table.
type task struct {
	row        ccworker.Row
	leaseUntil time.Time
	// interactive marks a request, which is removed from the table when it ends.
	interactive bool
	endedAt     time.Time
	// ended is closed when the task has ended.
	ended chan struct{}
}

// NewWorker returns a worker without tasks. It starts a goroutine that stops tasks whose lease has expired, and never
// ends.
func NewWorker(cfg WorkerConfig) *Worker {
	w := &Worker{cfg: cfg, bootID: strconv.FormatInt(time.Now().UnixNano(), 36), tasks: map[string]*task{}, changed: make(chan struct{})}
	go w.watchLeases()
	return w
}

// Handler returns the HTTP handler of the worker.
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

// SetFaults replaces all faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

const (
	leaseCheckInterval = 20 * time.Millisecond
	// endedRetention is the time after which an ended task is removed from the table unless a sync removes it earlier.
	endedRetention = 10 * time.Minute
)

// watchLeases periodically stops tasks whose lease has expired, and removes tasks that ended long ago. It never
// returns.
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

// startTask adds a running task to the table. It returns nil if the table has the task already. The caller holds mu.
func (w *Worker) startTask(row ccworker.Row, epoch uint64, lease time.Duration) *task {
	if _, ok := w.tasks[row.Task]; ok {
		return nil
	}
	row.State = ccwork.Running
	t := &task{row: row, leaseUntil: time.Now().Add(lease), ended: make(chan struct{})}
	w.tasks[row.Task] = t
	w.tableChanged()
	w.used = w.used.Plus(row.Size)
	w.recordEvent(t, time.Now(), epoch, !w.used.Fits(&w.cfg.Capacity))
	return t
}

// endTask ends a task with a final state and a result. It does nothing if the task has ended already. The caller holds
// mu.
func (w *Worker) endTask(t *task, state ccwork.TaskState, result []byte) {
	if t.row.State.Ended() {
		return
	}
	at := time.Now()
	if at.After(t.leaseUntil) {
		// The task ended when its lease expired, even if the worker process was stopped by a signal then and notices it
		// late.
		at, state = t.leaseUntil, ccwork.Stopped
	}
	t.row.State = state
	t.row.Result = result
	t.endedAt = at
	w.used = w.used.Minus(t.row.Size)
	w.tableChanged()
	w.recordEvent(t, at, 0, false)
	close(t.ended)
	if t.interactive {
		delete(w.tasks, t.row.Task)
	}
}

// tableChanged increments the version of the task table and wakes the syncs that wait for a change. The caller holds
// mu.
func (w *Worker) tableChanged() {
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
}

// recordEvent passes a start or an end to WorkerConfig.OnEvent. The caller holds mu.
func (w *Worker) recordEvent(t *task, at time.Time, epoch uint64, over bool) {
	if w.cfg.OnEvent == nil {
		return
	}
	w.cfg.OnEvent(Event{
		AtMs: at.UnixMilli(), Worker: w.cfg.ID, Task: t.row.Task, Team: t.row.Team, Kind: t.row.Kind,
		Size: t.row.Size, Epoch: epoch, State: t.row.State, Over: over,
	})
}

// rejects reports whether a call must be rejected because it has an old epoch or arrives too late, and remembers the
// highest epoch. It returns false for every call if WorkerConfig.RejectStale is not set. The caller holds mu.
func (w *Worker) rejects(epoch uint64, notAfterUnixMs int64) bool {
	stale := epoch < w.epoch
	w.epoch = max(w.epoch, epoch)
	return w.cfg.RejectStale && (stale || time.Now().UnixMilli() > notAfterUnixMs)
}

// script says what a task does. It is the payload of the task, in the form of a URL query.
type script struct {
	run  time.Duration
	fail bool
	// bytes is the minimum length of the result.
	bytes int
	echo  string
}

// parseScript parses a payload. A payload that is not a URL query makes a task that ends at once and echoes the
// payload.
func parseScript(payload []byte) script {
	q, err := url.ParseQuery(string(payload))
	if err != nil {
		return script{echo: string(payload)}
	}
	ms, _ := strconv.ParseInt(q.Get("RunMs"), 10, 64)
	bytes, _ := strconv.Atoi(q.Get("Bytes"))
	return script{run: time.Duration(ms) * time.Millisecond, fail: q.Get("Fail") != "", bytes: bytes, echo: q.Get("Echo")}
}

// result returns the result of the task: "done ", the echo text, and dots up to the length bytes.
func (s script) result() []byte {
	out := []byte("done " + s.echo)
	for len(out) < s.bytes {
		out = append(out, '.')
	}
	return out
}

// serveRun runs a request and responds when it has ended. The request is cancelled if its connection is closed.
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

// delay sleeps for WorkerFaults.DelayMs.
func (w *Worker) delay() {
	w.mu.Lock()
	d := w.faults.DelayMs
	w.mu.Unlock()
	time.Sleep(time.Duration(d) * time.Millisecond)
}

// admit starts the task of a request, which is described by its headers, and returns the present faults. It returns a
// nil task if the request is malformed, stale or already in the table.
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

// execute waits until a task has run, was stopped or was cancelled, ends it, and returns its final state.
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
	case <-t.ended:
	case <-cancelled:
		state = ccwork.Stopped
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endTask(t, state, s.result())
	return t.row.State
}

// serveStart starts the tasks of a request that are not in the table yet, and responds with the IDs of the others.
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

// serveSync renews the leases of all running tasks, stops tasks and removes ended ones from the table, and responds
// with the table. If the caller knows the table's version, the response is delayed until the table changes, at most
// WaitMs.
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

// waitForChange waits until the task table differs from the version that the caller of the sync knows, at most WaitMs.
// The caller of waitForChange holds mu, which is released during the wait.
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

// applySync renews the leases, and stops and removes the tasks that the sync names. The caller holds mu.
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

// JSONRecorder returns a function for WorkerConfig.OnEvent that writes each event as a line of JSON. It panics if a
// write fails, as a record with a gap would make the checks worthless.
func JSONRecorder(out io.Writer) func(Event) {
	enc := json.NewEncoder(out)
	return func(e Event) {
		if err := enc.Encode(e); err != nil {
			panic(fmt.Sprintf("writing an event to the worker's record: %v", err))
		}
	}
}
