package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"coriandercross/io/cccontrol"
	"coriandercross/platform/ccemulator"
)

// The case advice: an operator takes the policy service away from a queue, and gives it back.

const (
	adviceNodes   = 6
	adviceWorkers = 13
	// The jobs of the service nest-shop of the sheet: sheet-nest has two tasks on 62 cores and 2 to 8 GPUs, edge-smooth eight
	// on 11 cores and one GPU.
	nestPrefix, nestName, nestPerSecond       = "/nest/", "sheet-nest", 1.29
	nestTasks, nestCPU, nestTask              = 2, 62000, 3800 * time.Millisecond
	smoothPrefix, smoothName, smoothPerSecond = "/smooth/", "edge-smooth", 1.07
	smoothTasks, smoothCPU, smoothTask        = 8, 11000, 2600 * time.Millisecond
	// The calls to the policy service take as long as for the queues of that site.
	nestDecide, nestInterval     = 560.0, 8.0
	smoothDecide, smoothInterval = 170.0, 2.4
	ticketMs                     = 2000
	// In each of the cycles, some machines lose their power. Meanwhile the queues lose their advice and have it again, some
	// times.
	cycles, cycle      = 8, 13 * time.Second
	lostNodes, darkFor = 4, 9500 * time.Millisecond
	firstChange        = 2500 * time.Millisecond
	changes, changeGap = 3, 1500 * time.Millisecond
)

// policy is a stand-in of the policy service: it answers one call at a time on a connection.
func servePolicy() (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ms := nestDecide + nestInterval*float64(len(in.Workers))
		if strings.HasPrefix(in.Step, smoothMark) {
			ms = smoothDecide + smoothInterval*float64(len(in.Workers))
		}
		time.Sleep(time.Duration(ms * float64(time.Millisecond)))
		allowed := [][]string{}
		for i, id := range in.Workers {
			if i%3 != 2 {
				allowed = append(allowed, []string{id, in.Step + "-" + id})
			}
		}
		writeJSON(w, map[string]any{"allowed": allowed, "valid_ms": ticketMs})
	})}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), func() { _ = server.Close() }, nil
}

// The IDs of jobs begin with a mark of their queue, so that the stand-ins know it.
const nestMark, smoothMark = "1", "0"

// configureAdvice writes a configuration, in which the queues have advice or not.
func configureAdvice(e *ccemulator.Emulator, version int, withAdvice bool) error {
	routeOf := func(name, prefix string, priority int, advice map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": routeHost, "prefix": prefix, "kind": "non_idempotent", "service": fleetService, "timeout_ms": 3000, "completion_target_ms": 1200, "max_attempts": 3,
			"slack_factor": 2.2, "priority": priority,
		}
		if advice != nil {
			r["advice"] = advice
		}
		return r
	}
	var nest, smooth map[string]any
	if withAdvice {
		smooth = map[string]any{"decide_ms": smoothDecide, "interval_ms": smoothInterval, "valid_ms": ticketMs}
		nest = map[string]any{"decide_ms": nestDecide, "interval_ms": nestInterval, "valid_ms": ticketMs}
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "services": []any{map[string]any{"name": fleetService, "enforce_capacity": false, "standby": false}}, "limits": map[string]any{"max_body_bytes": 262144},
		"routes": []any{
			routeOf(smoothName, smoothPrefix, 2, smooth), routeOf(nestName, nestPrefix, 1, nest),
		},
	})
	if err != nil {
		return err
	}
	_, err = e.Store.Commit(&cccontrol.Txn{Puts: []cccontrol.Put{{Key: "op/config", Value: data}}})
	return err
}

// adviceJob returns the path and the body of a job of a random kind.
func adviceJob(rng *rand.Rand) (prefix, id string, body []byte) {
	id = fmt.Sprintf("%015x", rng.Uint64()>>4)
	if rng.Float64() < nestPerSecond/(nestPerSecond+smoothPerSecond) {
		return nestPrefix, nestMark + id, []byte(fmt.Sprintf(`{"spec":"nest","job_stages":[{"count":%d,"cpu":%d,"mem_mb":4096,"gpu":%d,"estimate_ms":%d}]}`, nestTasks, nestCPU, 2+rng.Intn(7), nestTask.Milliseconds()))
	}
	return smoothPrefix, smoothMark + id, []byte(fmt.Sprintf(`{"spec":"smooth","job_stages":[{"count":%d,"cpu":%d,"mem_mb":1024,"gpu":1,"estimate_ms":%d}]}`, smoothTasks, smoothCPU, smoothTask.Milliseconds()))
}

// adviceTrouble plays the disruptions.
func (s *system) adviceTrouble(e *ccemulator.Emulator) {
	for i := range cycles {
		s.rec.printf("%d of %d machines lose their power for %v", lostNodes, len(s.nodes), darkFor)
		for _, n := range s.nodes[len(s.nodes)-lostNodes:] {
			n.loseFor(darkFor)
		}
		time.Sleep(firstChange)
		for k := range changes {
			version := 2*(i*changes+k) + 2
			s.rec.printf("configuration %d: the queues have no advice", version)
			_ = configureAdvice(e, version, false)
			time.Sleep(changeGap)
			s.rec.printf("configuration %d: the queues have advice again", version+1)
			_ = configureAdvice(e, version+1, true)
			time.Sleep(changeGap)
		}
		time.Sleep(cycle - firstChange - 2*changes*changeGap)
	}
}

// runAdvice plays the case and returns whether the rule held.
func runAdvice(rec *record, program, dir string, trouble bool) (bool, error) {
	e, err := ccemulator.New(ccemulator.Config{MaxLeaseMs: maxLeaseMs})
	if err != nil {
		return false, err
	}
	defer e.Close()
	f, err := newFleet(rec, e, adviceWorkers, map[string]int{"cpu": 128000, "mem_mb": 262144, "gpu": 8}, func(_ *worker, task string) time.Duration {
		if strings.HasPrefix(task, smoothMark) {
			return smoothTask
		}
		return nestTask
	})
	if err != nil {
		return false, err
	}
	defer f.close()
	policyAddress, closePolicy, err := servePolicy()
	if err != nil {
		return false, err
	}
	defer closePolicy()
	if err := configureAdvice(e, 1, true); err != nil {
		return false, err
	}
	s, err := newSystem(rec, program, dir, e.StoreAddress, policyAddress, adviceNodes)
	if err != nil {
		return false, err
	}
	defer s.stopAll()
	if err := s.startAll(); err != nil {
		return false, err
	}
	rng := rand.New(rand.NewSource(adviceSeed()))
	var clients sync.WaitGroup
	began := time.Now()
	if trouble {
		go s.adviceTrouble(e)
	}
	for time.Since(began) < (cycles)*cycle {
		prefix, id, body := adviceJob(rng)
		seed := rng.Int63()
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.submitAt(rand.New(rand.NewSource(seed)), prefix, id, body)
		}()
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / (nestPerSecond + smoothPerSecond)))
	}
	clients.Wait()
	time.Sleep(restartDelay + time.Second)
	ended, often := 0, 0
	for _, n := range s.nodes {
		n.mu.Lock()
		rec.printf("%s: its process has ended by itself %d times", n.name, n.starts-1-n.lost)
		ended += n.starts - 1
		if n.starts-1-n.lost >= 3 {
			often++
		}
		n.mu.Unlock()
	}
	rec.printf("processes have ended by themselves %d times; on %d machines three times or more", ended, often)
	return often < 2, nil // A tenth of the machines, two at least.
}

// adviceSeed returns the seed of the traffic.
func adviceSeed() int64 {
	n, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	return n
}
