package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"coriandercross/platform/ccemulator"
)

// The case oldroute: a configuration removes a route whose prefix begins with the prefix of another one, and clients go on
// using it for some seconds.

const (
	oldRoutePrefix = route + "v1.2/"
	oldTasks       = 6
	oldTask        = 850 * time.Millisecond
	oldPerSecond   = 10
	oldWorkers     = 48
	oldNodes       = 7
)

// handedIn is a job that a client has handed in.
type handedIn struct {
	prefix, id string
}

// runOldRoute plays the case and returns whether the rule held.
func runOldRoute(rec *record, program, dir string, trouble bool) (bool, error) {
	e, err := ccemulator.New(ccemulator.Config{MaxLeaseMs: maxLeaseMs})
	if err != nil {
		return false, err
	}
	defer e.Close()
	f, err := newFleet(rec, e, oldWorkers, smallWorker, func(*worker, string) time.Duration { return oldTask })
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := e.Configure(1, route, oldRoutePrefix); err != nil {
		return false, err
	}
	s, err := newSystem(rec, program, dir, e.StoreAddress, e.PolicyAddress, oldNodes)
	if err != nil {
		return false, err
	}
	defer s.stopAll()
	if err := s.startAll(); err != nil {
		return false, err
	}
	const trafficFor, changeAt, oldUntil = 45 * time.Second, 12 * time.Second, 17 * time.Second
	rng := rand.New(rand.NewSource(7))
	var mu sync.Mutex
	var accepted []handedIn
	var clients sync.WaitGroup
	began, changed := time.Now(), false
	for n := 0; time.Since(began) < trafficFor; n++ {
		j := handedIn{route, fmt.Sprintf("%016x", rng.Uint64())}
		if n%8 == 0 && time.Since(began) < oldUntil {
			j.prefix = oldRoutePrefix
		}
		seed := rng.Int63()
		clients.Add(1)
		go func() {
			defer clients.Done()
			if s.submitTo(rand.New(rand.NewSource(seed)), j) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, j)
			}
		}()
		if trouble && !changed && time.Since(began) > changeAt {
			changed = true
			if err := e.Configure(2, route); err != nil {
				return false, err
			}
			rec.printf("the operator's configuration 2 has no route %s any more", oldRoutePrefix)
		}
		time.Sleep(time.Second / oldPerSecond)
	}
	clients.Wait()
	rec.printf("the traffic has ended, %d jobs were accepted", len(accepted))
	return judgeFleet(s, f, accepted), nil
}

// submitTo hands in a job on a route.
func (s *system) submitTo(rng *rand.Rand, j handedIn) bool {
	body := []byte(fmt.Sprintf(`{"spec":"preview","job_stages":[{"count":%d,"cpu":1300,"mem_mb":256,"estimate_ms":%d}]}`, oldTasks, oldTask.Milliseconds()))
	accepted, _ := s.submitAt(rng, j.prefix, j.id, body)
	return accepted
}

// judgeFleet asks for the accepted jobs finish_s after the end of the traffic, as the rule LOST says. Only jobs on routes
// that the configuration has count.
func judgeFleet(s *system, f *fleet, jobs []handedIn) bool {
	const finish, window = 14 * time.Second, 3 * time.Second
	time.Sleep(finish)
	rng := rand.New(rand.NewSource(3))
	var open []string
	unknown, asked, shown := 0, 0, 0
	for _, j := range jobs {
		if j.prefix == oldRoutePrefix {
			continue
		}
		asked++
		status, state := s.stateAt(rng, j.prefix, j.id, clientDeadline)
		switch {
		case status != http.StatusOK:
			unknown++
			s.rec.printf("GET %s%s: %d %s", j.prefix, j.id, status, state)
		case state != "completed":
			open = append(open, j.id)
			s.rec.printf("GET %s%s: %s", j.prefix, j.id, state)
		default:
			shown++
		}
	}
	stuck := map[string]bool{}
	for _, id := range open {
		stuck[id] = true
	}
	most := 0
	for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		live, has := f.counts(open)
		most = max(most, live)
		for id := range has {
			delete(stuck, id)
		}
	}
	if most*1300 > len(f.workers)*workerCores/4 {
		stuck = nil // There may be too little room.
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.violations {
		s.rec.printf("violation: %s", v)
	}
	s.rec.printf("of %d accepted jobs on routes that are there: %d completed, %d not, %d without an answer or not known; %d have had nothing running for 3 s with at most %d tasks on %d workers; %d other violations",
		asked, shown, len(open), unknown, len(stuck), most, len(f.workers), len(f.violations))
	return len(stuck) == 0 && unknown == 0 && len(f.violations) == 0
}
