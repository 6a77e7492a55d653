// Command standin2 runs the cases of the second review. It starts the project's own program as separate processes against
// stand-ins of the platform on loopback, and judges by what callers, workers and the platform see.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of the processes, as on a small site.
const (
	memoryMB       = 284
	cpuShare       = 0.4
	maxFiles       = 4100
	graceS         = 6
	maxLeaseMs     = 10000
	statusS        = 120
	restartDelay   = time.Second
	clientDeadline = 3 * time.Second
	clientRetries  = 4
	route          = "/jobs/"
	routeHost      = "jobs.example"
)

// record is the log of a run, with times since its start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

// printf adds a line.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// node is one entry VM with its process.
type node struct {
	name, ip, callers, ready, peers string
	settings                        string
	mu                              sync.Mutex
	cmd                             *exec.Cmd
	ended                           chan struct{}
	stopping                        bool
	// darkUntil is the time until which the machine has no power, lost the number of its losses.
	darkUntil time.Time
	lost      int
	// starts counts its starts.
	starts int
}

// system is the system under test.
type system struct {
	rec     *record
	program string
	dir     string
	store   string
	policy  string
	nodes   []*node
	client  *http.Client
}

// freeIP returns a loopback IP on which the ports of a node are free.
func freeIP(n int) (string, error) {
	base := 16 + os.Getpid()%200
	for try := range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", base, 1+try, 10+n)
		free := true
		for _, port := range []int{callersPort, readyPort, peersPort, metricsPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free loopback address for node %d", n)
}

const (
	callersPort = 8161
	readyPort   = 8167
	peersPort   = 8166
	metricsPort = 9464 // The deploy file names it.
)

// newSystem writes the settings of the nodes. No process is started.
func newSystem(rec *record, program, dir, store, policy string, nodes int) (*system, error) {
	s := &system{rec: rec, program: program, dir: dir, store: store, policy: policy, client: &http.Client{
		Timeout:   clientDeadline + 500*time.Millisecond,
		Transport: &http.Transport{MaxIdleConnsPerHost: 32, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
	}}
	for i := range nodes {
		ip, err := freeIP(i)
		if err != nil {
			return nil, err
		}
		at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
		s.nodes = append(s.nodes, &node{name: fmt.Sprintf("frontend-a-%d", i+1), ip: ip, callers: at(callersPort), ready: at(readyPort), peers: at(peersPort)})
	}
	var seeds []string
	for _, n := range s.nodes[:min(3, len(s.nodes))] {
		seeds = append(seeds, n.peers)
	}
	for _, n := range s.nodes {
		data, err := json.Marshal(map[string]any{
			"node_name": n.name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend", "control"}, "ip": n.ip, "zone": "a", "region": "r",
			"zones":        map[string]string{"a": "r"},
			"listen_addrs": map[string]string{"frontend": n.callers, "ready": n.ready, "control_plane": n.peers}, "seeds": seeds,
			"limits": map[string]any{"cpu_share": cpuShare, "cores": 1, "memory_mb": memoryMB, "max_fds": maxFiles, "link_mbps": 1000.0},
			"bounds": map[string]any{"grace_s": graceS, "hold_max_ms": maxLeaseMs, "remote_factor": 2, "status_s": statusS}, "control_mode": "request", "advice": policy,
			"platform":     map[string]any{"address": store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
			"heartbeat_ms": 1500,
		})
		if err != nil {
			return nil, err
		}
		n.settings = filepath.Join(dir, n.name+".json")
		if err := os.WriteFile(n.settings, data, 0o644); err != nil {
			return nil, err
		}
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		s.stopAll()
		_ = os.RemoveAll(s.dir)
		os.Exit(2)
	}()
	return s, nil
}

// start starts the process of a node with the command of the deploy file.
func (s *system) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(s.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(s.program, "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "CORIANDERCROSS_CONFIG=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	n.mu.Lock()
	if n.stopping {
		n.mu.Unlock()
		return log.Close()
	}
	if err := cmd.Start(); err != nil {
		n.mu.Unlock()
		return err
	}
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	n.starts++
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
		n.mu.Lock()
		again := !n.stopping
		n.mu.Unlock()
		if again {
			s.rec.printf("%s ended: %v", n.name, cmd.ProcessState)
			n.mu.Lock()
			dark := time.Until(n.darkUntil)
			n.mu.Unlock()
			time.Sleep(max(restartDelay, dark))
			n.mu.Lock()
			again = !n.stopping
			n.mu.Unlock()
			if again && s.start(n) == nil {
				s.rec.printf("%s started again", n.name)
			}
		}
	}()
	return nil
}

// startAll starts all processes and waits until they are ready.
func (s *system) startAll() error {
	for _, n := range s.nodes {
		if err := s.start(n); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range s.nodes {
		for !s.isReady(n) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// isReady reports whether the platform would send callers to a node.
func (s *system) isReady(n *node) bool {
	resp, err := s.client.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process of a node.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

// loseFor takes the power of a machine away for a time.
func (n *node) loseFor(d time.Duration) {
	n.mu.Lock()
	n.darkUntil = time.Now().Add(d)
	n.lost++
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
}

// stopAll ends all processes.
func (s *system) stopAll() {
	for _, n := range s.nodes {
		n.mu.Lock()
		n.stopping = true
		ended := n.ended
		n.mu.Unlock()
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		if ended != nil {
			<-ended
		}
	}
}

// leader returns the node that leads by its own state dump, nil if none says so for some seconds.
func (s *system) leader() *node {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if n := s.leaderNow(); n != nil {
			return n
		}
	}
	return nil
}

// leaderNow returns the node that leads now, nil if none says so.
func (s *system) leaderNow() *node {
	for _, n := range s.nodes {
		resp, err := (&http.Client{Timeout: 500 * time.Millisecond}).Get("http://" + net.JoinHostPort(n.ip, strconv.Itoa(metricsPort)) + "/dump")
		if err != nil {
			continue
		}
		var d struct{ Leading bool }
		err = json.NewDecoder(resp.Body).Decode(&d)
		_ = resp.Body.Close()
		if err == nil && d.Leading {
			return n
		}
	}
	return nil
}

// call makes one request of a client. Status 0 stands for no answer.
func (s *system) call(n *node, method, path string, body []byte, left time.Duration) (int, string) {
	req, err := http.NewRequest(method, "http://"+n.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// anyReady returns a random node that is ready, or any if none is.
func (s *system) anyReady(rng *rand.Rand) *node {
	for range 5 {
		if n := s.nodes[rng.Intn(len(s.nodes))]; s.isReady(n) {
			return n
		}
	}
	return s.nodes[rng.Intn(len(s.nodes))]
}

// submit hands a job in as a client does: with a deadline, and again at other nodes after no answer, a 502, a 503, a 504 or
// a 429. It returns whether the job was accepted, and whether every attempt was rejected.
func (s *system) submit(rng *rand.Rand, id string, body []byte) (accepted, rejected bool) {
	return s.submitAt(rng, route, id, body)
}

// submitAt is submit for a route with another prefix.
func (s *system) submitAt(rng *rand.Rand, prefix, id string, body []byte) (accepted, rejected bool) {
	end := time.Now().Add(clientDeadline)
	rejected = true
	for try := 0; try <= clientRetries && time.Now().Before(end); try++ {
		n := s.anyReady(rng)
		status, text := s.call(n, http.MethodPost, prefix+id, body, time.Until(end))
		s.rec.printf("POST %s%s at %s: %d %s", prefix, id, n.name, status, text)
		if status == http.StatusOK {
			return true, false
		}
		rejected = rejected && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
		time.Sleep(time.Duration(100+rng.Intn(100)) * time.Millisecond)
	}
	return false, rejected
}

// state asks for the state of a job at ready nodes until there is an answer or the time is over.
func (s *system) state(rng *rand.Rand, id string, within time.Duration) (int, string) {
	return s.stateAt(rng, route, id, within)
}

// stateAt is state for a route with another prefix.
func (s *system) stateAt(rng *rand.Rand, prefix, id string, within time.Duration) (int, string) {
	end := time.Now().Add(within)
	status, text := 0, ""
	for time.Now().Before(end) {
		if status, text = s.call(s.anyReady(rng), http.MethodGet, prefix+id, nil, clientDeadline); status == http.StatusOK {
			var in struct{ State string }
			_ = json.Unmarshal([]byte(text), &in)
			return status, in.State
		}
		if status == http.StatusGone {
			return status, ""
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, text
}
