package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a worker, as PROTOCOL.md describes it. Its incarnations share the fields up to address.
type worker struct {
	cfg     workerConfig
	store   *store
	record  *record
	address string

	mu     sync.Mutex
	server *http.Server
	born   time.Time
	seq    int
	token  int64
	lease  int64 // On the worker's clock.
	// lapsedAt is the last time at which the worker had no lease.
	lapsedAt time.Time
	runs     map[runKey]*taskRun
	top      map[string]int64 // The highest attempt of a task that was stopped or has ended.
	ends     []taskEnd
	ended    int64
	seen     int64
	change   chan struct{}
	// isDark is true once the incarnation has crashed and does not respond; startsInDark counts the starts that have arrived since.
	isDark       bool
	startsInDark int
	// isCut is true while the worker is cut off from the machines.
	isCut bool
	// held is true once the incarnation has answered a look.
	held bool
	// stopped ends the goroutines of the incarnation.
	stopped context.CancelFunc
}

type workerConfig struct {
	ID       string
	Service  string
	CPU      int64
	MemoryMB int64
	Labels   []string
	// MaxLeaseMs is hold_max_ms.
	MaxLeaseMs int64
}

type runKey struct {
	task    string
	attempt int64
}

// taskRun is a task that runs.
type taskRun struct {
	key    runKey
	began  time.Time
	lasts  time.Duration // 0 for a task that lasts.
	timer  *time.Timer
	ending bool
}

// taskEnd is a row of the list of ends.
type taskEnd struct {
	number int64
	key    runKey
	how    string
}

const (
	heartbeat  = 1500 * time.Millisecond
	stopTakes  = 50 * time.Millisecond
	endsListed = 500
)

// start begins an incarnation of the worker, which registers at once.
func (w *worker) start() error {
	if w.address == "" {
		w.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.address = l.Addr().String()
	w.born, w.seq, w.token, w.lease = time.Now(), 0, 0, 0
	w.runs, w.top, w.ends, w.ended, w.seen = map[runKey]*taskRun{}, map[string]int64{}, nil, 0, 0
	w.change = make(chan struct{})
	w.isDark, w.startsInDark, w.held = false, 0, false
	w.stopped = cancel
	w.server = &http.Server{Handler: w}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go w.beat(ctx)
	go w.watchLease(ctx)
	w.record.add("worker", "%s begins at %s", w.cfg.ID, w.address)
	return nil
}

// crash ends the incarnation with everything that runs. Its connections are reset.
func (w *worker) crash() {
	w.goDark()
	_ = w.server.Close()
}

// goDark ends the incarnation with everything that runs. It does not respond any more, and its connections hang until the next
// one begins at its address.
func (w *worker) goDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped()
	for _, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.record.runEnded(w.cfg.ID, r.key, "gone", false)
	}
	w.runs = map[runKey]*taskRun{}
	w.isDark = true
	w.record.add("worker", "%s crashes", w.cfg.ID)
}

// setCut cuts the worker off from the machines, or ends that. What runs there runs on.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCut = cut
	w.record.add("worker", "%s is cut off: %t", w.cfg.ID, cut)
}

// hang waits until the connection of a request is closed, if the worker does not respond. It reports whether it has waited. The
// caller holds mu, which hang releases then.
func (w *worker) hang(r *http.Request) bool {
	if !w.isDark && !w.isCut {
		return false
	}
	if w.isDark && r.URL.Path == "/api/run-start" {
		w.startsInDark++
		w.record.add("worker", "%s does not respond to a start", w.cfg.ID)
	}
	w.mu.Unlock()
	<-r.Context().Done()
	return true
}

// startsUnanswered returns how many starts have arrived at the incarnation since it crashed.
func (w *worker) startsUnanswered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startsInDark
}

// wasHeld reports whether the incarnation has answered a look.
func (w *worker) wasHeld() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held
}

// replace begins a worker at the address of one that has crashed, as its registration has expired.
func (w *worker) replace(id string) error {
	_ = w.server.Close()
	w.store.remove("servers/" + w.cfg.ID)
	w.cfg.ID = id
	return w.start()
}

func (w *worker) clock() int64 {
	return time.Since(w.born).Milliseconds()
}

// beat writes the registration to the store.
func (w *worker) beat(ctx context.Context) {
	for {
		w.mu.Lock()
		w.seq++
		entry, err := json.Marshal(map[string]any{
			"service": w.cfg.Service, "address": w.address, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": w.cfg.CPU, "mem_mb": w.cfg.MemoryMB, "gpu": 0}, "labels": w.cfg.Labels, "clock_ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		if err != nil {
			panic(err)
		}
		w.store.put("servers/"+w.cfg.ID, entry)
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// watchLease kills everything when the lease ends.
func (w *worker) watchLease(ctx context.Context) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.mu.Lock()
			if w.clock() > w.lease {
				w.lapsedAt = time.Now()
				for _, r := range w.runs {
					w.end(r, "lapsed")
				}
			}
			w.mu.Unlock()
		}
	}
}

// end ends a run. The caller holds mu.
func (w *worker) end(r *taskRun, how string) {
	if w.runs[r.key] != r {
		return
	}
	delete(w.runs, r.key)
	if r.timer != nil {
		r.timer.Stop()
	}
	w.ended++
	w.ends = append(w.ends, taskEnd{w.ended, r.key, how})
	w.top[r.key.task] = max(w.top[r.key.task], r.key.attempt)
	w.record.runEnded(w.cfg.ID, r.key, how, true)
	close(w.change)
	w.change = make(chan struct{})
}

// order is the body of each call to a worker.
type order struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Expires  int64  `json:"expires_at_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMs   int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.cfg.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.hang(r) {
		return
	}
	if o.Token < w.token {
		defer w.mu.Unlock()
		w.refuse(rw, "fence")
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/api/run-start":
		defer w.mu.Unlock()
		w.serveStart(rw, &o)
	case "/api/run-stop":
		defer w.mu.Unlock()
		w.serveStop(rw, &o)
	case "/api/hold":
		w.serveHold(rw, r, &o)
	default:
		w.mu.Unlock()
		rw.WriteHeader(http.StatusNotFound)
	}
}

// refuse answers 409. The caller holds mu.
func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

// hold extends the lease. The caller holds mu.
func (w *worker) hold(expires int64) {
	w.lease = max(w.lease, min(expires, w.clock()+w.cfg.MaxLeaseMs))
}

// serveStart begins a run. The spec says how it ends, as endOf has it. The caller holds mu.
func (w *worker) serveStart(rw http.ResponseWriter, o *order) {
	key := runKey{o.Task, o.Attempt}
	if o.Expires <= w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.hold(o.Expires)
	if w.runs[key] != nil {
		reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
		return
	}
	if o.Attempt <= w.top[o.Task] {
		w.refuse(rw, "old")
		return
	}
	lasts, how := endOf(o.Spec)
	run := &taskRun{key: key, began: time.Now(), lasts: lasts}
	w.runs[key] = run
	if lasts > 0 {
		run.timer = time.AfterFunc(lasts, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(run, how)
		})
	}
	w.record.runBegan(w.cfg.ID, key)
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

// endOf returns after which time a task with a spec ends, and how: "done=N" and "failed=N" name the milliseconds. The time is 0
// for a task that lasts.
func endOf(spec string) (after time.Duration, how string) {
	how, text, ok := strings.Cut(spec, "=")
	if !ok {
		return 0, ""
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(fmt.Sprintf("spec %q: %v", spec, err))
	}
	return time.Duration(n) * time.Millisecond, how
}

// serveStop stops a run. The caller holds mu.
func (w *worker) serveStop(rw http.ResponseWriter, o *order) {
	w.top[o.Task] = max(w.top[o.Task], o.Attempt)
	if run := w.runs[runKey{o.Task, o.Attempt}]; run != nil && !run.ending {
		run.ending = true
		time.AfterFunc(stopTakes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(run, "stopped")
		})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

// serveHold extends the lease and returns the lists. The caller holds mu, which serveHold releases.
func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request, o *order) {
	if o.Expires > 0 {
		w.hold(o.Expires)
	}
	if o.LastSeen > w.seen {
		w.seen = o.LastSeen
		for len(w.ends) > 0 && w.ends[0].number <= w.seen {
			w.record.endNoted(w.cfg.ID, w.ends[0].key, w.lapsedAt)
			w.ends = w.ends[1:]
		}
	}
	timeout := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(w.ends) == 0; {
		change, born := w.change, w.born
		w.mu.Unlock()
		select {
		case <-change:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
		if w.born != born {
			w.mu.Unlock()
			return
		}
		if w.hang(r) {
			return
		}
	}
	w.held = true
	running, finished := [][]any{}, [][]any{}
	for key, run := range w.runs {
		percent := 100
		if run.lasts > 0 {
			percent = min(99, int(100*time.Since(run.began)/run.lasts))
		}
		running = append(running, []any{key.task, key.attempt, "", percent, 100})
	}
	slices.SortFunc(running, func(a, b []any) int { return cmp.Compare(a[0].(string), b[0].(string)) })
	for _, e := range w.ends[:min(len(w.ends), endsListed)] {
		finished = append(finished, []any{e.number, e.key.task, e.key.attempt, e.how, ""})
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}
