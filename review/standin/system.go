package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds of the deployments' pages, as in the sheet of karambol-sched.
const (
	graceS     = 6
	finish     = 14 * time.Second
	cancelTime = 3 * time.Second
	contact    = 4 * time.Second
	ackTime    = 5 * time.Second
	// idleTime is the time for which a job may have nothing running.
	idleTime = 3 * time.Second
	deadline = 3 * time.Second
)

const (
	portCallers = 8161
	portReady   = 8167
	portPeers   = 8166
	portMetrics = 9464
	portWorker  = 8367
)

// process is a process of the system on an entry VM.
type process struct {
	name, ip, zone string
	cmd            *exec.Cmd
	done           chan struct{}
}

// system is a small deployment on loopback addresses.
type system struct {
	rec     *record
	runs    *runs
	store   *store
	dir     string
	program string
	net     string
	storeAt string
	seeds   []string

	mu        sync.Mutex
	processes []*process
	workers   []*worker
	silent    []net.Listener
	jobs      []*job
	version   int
}

const (
	service = "desk"
	host    = "jobs.example"
	prefix  = "/checks/"
)

// newSystem starts the store, the workers and the processes, and waits until these are ready.
func newSystem(rec *record, program string, processes, workers int) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, runs: &runs{rec: rec}, store: newStore(), dir: dir, program: program}
	if s.net, err = freeNet(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", s.net+".200:8169")
	if err != nil {
		return nil, err
	}
	s.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }()
	s.configure()
	for i := range workers {
		if _, err := s.addWorker(fmt.Sprintf("i-%d", i), i); err != nil {
			return s, err
		}
	}
	for i := range min(processes, 3) {
		s.seeds = append(s.seeds, fmt.Sprintf("%s.%d:%d", s.net, 1+i, portPeers))
	}
	for i := range processes {
		if _, err := s.addProcess(i); err != nil {
			return s, err
		}
	}
	for _, p := range s.processes {
		if err := s.awaitReady(p, 15*time.Second); err != nil {
			return s, err
		}
	}
	return s, nil
}

// freeNet returns the first three numbers of a loopback network whose ports are free.
func freeNet() (string, error) {
	for n := range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n)%200, 1+os.Getpid()/200%250)
		free := true
		for _, a := range []string{".1:8161", ".1:8166", ".1:8167", ".1:9464", ".101:8367", ".200:8169"} {
			l, err := net.Listen("tcp", prefix+a)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

// configure writes the configuration as the operator does.
func (s *system) configure() {
	s.version += 3
	s.store.put("op/config", map[string]any{
		"version": s.version,
		"routes": []any{map[string]any{
			"name": "r-checks", "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": deadline.Milliseconds(), "completion_target_ms": 500, "priority": 0,
			"service": service, "max_attempts": 3, "slack_factor": 1.5,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "enforce_capacity": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// addWorker starts a worker at the n-th address.
func (s *system) addWorker(id string, n int) (*worker, error) {
	w, err := startWorker(id, service, fmt.Sprintf("%s.%d:%d", s.net, 101+n, portWorker), fmt.Sprintf("r1-%d", n/8), s.store, s.runs)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, w)
	return w, nil
}

// addProcess starts a process on the n-th entry VM.
func (s *system) addProcess(n int) (*process, error) {
	p := &process{name: fmt.Sprintf("frontend-%d", n), ip: fmt.Sprintf("%s.%d", s.net, 1+n), zone: []string{"za", "zb", "zc"}[n%3]}
	settings := map[string]any{
		"node_name": p.name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend", "control"}, "ip": p.ip, "zone": p.zone, "region": "ra",
		"zones":        map[string]string{"za": "ra", "zb": "ra", "zc": "ra"},
		"listen_addrs": map[string]string{"frontend": p.address(portCallers), "ready": p.address(portReady), "control_plane": p.address(portPeers)},
		"port_range":   []int{7720, 7735}, "seeds": s.seeds, "bootstrap": true, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"limits": map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"bounds": map[string]any{
			"contact_ms": contact.Milliseconds(), "ack_ms": ackTime.Milliseconds(), "drain_ms": 2500, "grace_s": graceS, "hold_max_ms": holdMaxMs, "stop_timeout_ms": 200, "cancel_ms": cancelTime.Milliseconds(),
			"visible_ms": 3000, "finish_s": finish.Seconds(), "status_s": 120, "remote_factor": 1.5, "lease_ms": 3000, "config_apply_ms": 2500, "recovery_s": 12,
		},
		"control_mode": "request", "advice": "",
		"platform": map[string]any{"address": s.storeAt, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(s.file(p, "json"), data, 0o644); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, s.start(p)
}

func (p *process) address(port int) string {
	return fmt.Sprintf("%s:%d", p.ip, port)
}

func (s *system) file(p *process, extension string) string {
	return filepath.Join(s.dir, p.name+"."+extension)
}

// start starts a process with the command of the deploy file.
func (s *system) start(p *process) error {
	log, err := os.OpenFile(s.file(p, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(s.program, "entry")
	p.cmd.Env = []string{"CORIANDERCROSS_CONFIG=" + s.file(p, "json"), "PATH=" + os.Getenv("PATH"), "HOME=" + s.dir}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(p.cmd, p.done)
	s.rec.log("process %s started", p.name)
	return nil
}

// signal sends a signal to a process that this test has started.
func (s *system) signal(p *process, sig syscall.Signal) {
	s.rec.log("process %s gets %v", p.name, sig)
	_ = p.cmd.Process.Signal(sig)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// live returns the processes that run.
func (s *system) live() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*process
	for _, p := range s.processes {
		if p.running() {
			out = append(out, p)
		}
	}
	return out
}

// silence lets the addresses of an ended process accept no call and refuse none, as those of a machine without power.
func (s *system) silence(p *process) error {
	for _, port := range []int{portCallers, portReady, portPeers} {
		l, err := net.Listen("tcp", p.address(port))
		if err != nil {
			return err
		}
		s.silent = append(s.silent, l)
	}
	s.rec.log("machine of %s is silent", p.name)
	return nil
}

var quick = &http.Client{Timeout: time.Second}

// awaitReady waits until a process is ready.
func (s *system) awaitReady(p *process, timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := quick.Get("http://" + p.address(portReady) + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// leader returns the process that says it leads in its state dump, nil if there is none.
func (s *system) leader() *process {
	for _, p := range s.live() {
		resp, err := quick.Get("http://" + p.address(portMetrics) + "/dump")
		if err != nil {
			continue
		}
		var dump struct{ Leading bool }
		err = json.NewDecoder(resp.Body).Decode(&dump)
		_ = resp.Body.Close()
		if err == nil && dump.Leading {
			return p
		}
	}
	return nil
}

// awaitLeader waits until there is a leader other than one.
func (s *system) awaitLeader(other *process, timeout time.Duration) (*process, error) {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if p := s.leader(); p != nil && p != other {
			s.rec.log("process %s leads", p.name)
			return p, nil
		}
	}
	return nil, fmt.Errorf("no process leads")
}

// close ends all processes that the test has started, and removes the temporary folder.
func (s *system) close() {
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, p := range s.processes {
			if data, err := os.ReadFile(s.file(p, "log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), data, 0o644)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
}

// step is a step of a job.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMB       int   `json:"mem_mb"`
	EstimateMs  int64 `json:"estimate_ms,omitempty"`
	After       []int `json:"after,omitempty"`
	Saves       bool  `json:"checkpointing,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
}

// job is a job of a client.
type job struct {
	id       string
	steps    []step
	spec     taskSpec
	accepted time.Duration
	// cancelled is when a cancel of the job was acknowledged.
	cancelled time.Duration
	status    int
}

var lastJob int

// newJob returns a job with tasks of the given work in each step, in ms.
func newJob(save int64, count int, ms ...int64) *job {
	lastJob++
	j := &job{id: fmt.Sprintf("%08x%08x", os.Getpid(), lastJob), spec: taskSpec{Ms: ms, Save: save}}
	for i, work := range ms {
		st := step{Count: count, CPU: 1000, MemMB: 1024, EstimateMs: work, Saves: save > 0, LongRunning: work == 0}
		if i > 0 {
			st.After = []int{i - 1}
		}
		j.steps = append(j.steps, st)
	}
	return j
}

// call sends a request of a client and returns the status, 0 without an answer.
func (s *system) call(p *process, method, path string, body []byte, timeout time.Duration) (int, string) {
	req, err := http.NewRequest(method, "http://"+p.address(portCallers)+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	began := s.rec.now()
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		s.rec.log("client  %s %s at %s: no answer after %.3f s", method, path, p.name, (s.rec.now() - began).Seconds())
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	s.rec.log("client  %s %s at %s: %d %s after %.3f s", method, path, p.name, resp.StatusCode, bytes.TrimSpace(data), (s.rec.now() - began).Seconds())
	return resp.StatusCode, string(data)
}

// submit hands a job in at a process, and again at others until the client's time is over. It reports whether the job was
// accepted.
func (s *system) submit(j *job, at []*process) bool {
	body, err := json.Marshal(map[string]any{"spec": mustJSON(j.spec), "job_stages": j.steps})
	if err != nil {
		panic(err)
	}
	began := time.Now()
	for i := 0; i < len(at) && i < 4; i++ {
		left := deadline - time.Since(began)
		if left < 100*time.Millisecond {
			break
		}
		j.status, _ = s.call(at[i], http.MethodPost, prefix+j.id, body, left)
		if j.status == http.StatusOK {
			j.accepted = s.rec.now()
			s.mu.Lock()
			s.jobs = append(s.jobs, j)
			s.mu.Unlock()
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func mustJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// state asks for the state of a job at the processes in turn until one answers.
func (s *system) state(j *job, at []*process) string {
	for _, p := range at {
		status, body := s.call(p, http.MethodGet, prefix+j.id, nil, deadline)
		if status == http.StatusOK {
			var out struct{ State string }
			_ = json.Unmarshal([]byte(body), &out)
			return out.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return "no answer"
}

// cancel cancels a job at a process and reports whether that was acknowledged, with 2xx or 410.
func (s *system) cancel(j *job, p *process) (status int, acknowledged bool) {
	status, _ = s.call(p, http.MethodDelete, prefix+j.id, nil, deadline)
	if acknowledged = status/100 == 2 || status == http.StatusGone; acknowledged {
		j.cancelled = s.rec.now()
	}
	return status, acknowledged
}

// idle returns the first span from a time on for which an accepted job has had nothing running for idleTime although a
// task's turn had come. The jobs of the cases need less than a tenth of the workers' room.
func (s *system) idle(j *job, from, to time.Duration) (begin, end time.Duration, found bool) {
	list := s.runs.of(j.id)
	const tick = 20 * time.Millisecond
	since := time.Duration(-1)
	for at := from; at <= to; at += tick {
		running, done := 0, map[string]bool{}
		for i := range list {
			e := &list[i]
			if e.Begin <= at && (e.How == "" || e.End > at) {
				running++
			}
			if e.How == "done" && e.End <= at {
				done[e.Task] = true
			}
		}
		total := 0
		for _, st := range j.steps {
			total += st.Count
		}
		if running > 0 || len(done) == total {
			since = -1
			continue
		}
		if since < 0 {
			since = at
		}
		if at-since >= idleTime {
			return since, at, true
		}
	}
	return 0, 0, false
}

// checkLost checks the rule LOST finish after the end of the traffic, until a time: each accepted job that was not
// cancelled is known, and none has nothing running for idleTime while a task's turn has come. It reports whether the rule
// was broken.
func (s *system) checkLost(trafficEnd, until time.Duration) bool {
	if wait := until - s.rec.now(); wait > 0 {
		time.Sleep(wait)
	}
	broken := false
	live := s.live()
	for _, j := range s.jobs {
		if j.cancelled > 0 {
			continue
		}
		state := s.state(j, live)
		begin, end, found := s.idle(j, trafficEnd+finish, until)
		switch {
		case state == "410" || state == "no answer":
			s.rec.log("LOST    job %s is not known: %s", j.id, state)
			broken = true
		case found && state != "failed":
			s.rec.log("LOST    job %s, accepted at %.3f, has nothing running from %.3f to %.3f (and further), though a task's turn has come; it is shown as %s", j.id, j.accepted.Seconds(), begin.Seconds(), end.Seconds(), state)
			broken = true
		}
	}
	return broken
}
