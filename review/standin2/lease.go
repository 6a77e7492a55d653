package main

import (
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"time"

	"coriandercross/platform/ccemulator"
)

// The case lease: a worker leaves an order unanswered, crashes and starts again under its id. A little later it is cut off and runs on, and the process that
// leads is killed.

const (
	leaseNodes = 7
	// The last workers are of a kind of their own; only they run the large jobs.
	leaseWorkers, largeWorkers = 12, 3
	largeKind                  = "large"
	// The data of the jobs are in the rack of the last worker.
	dataRack            = "r1-1"
	largeCPU, largeTask = 4000, 6 * time.Second
	largeEvery          = 1200 * time.Millisecond
	hangAt              = 15 * time.Second
	// orderFor is the time for which a start is without an answer until the worker crashes.
	orderFor           = 400 * time.Millisecond
	crashedFor, cutFor = 300 * time.Millisecond, 5500 * time.Millisecond
)

// runLease plays the case and returns whether the rule held.
func runLease(rec *record, program, dir string, trouble bool) (bool, error) {
	e, err := ccemulator.New(ccemulator.Config{MaxLeaseMs: maxLeaseMs})
	if err != nil {
		return false, err
	}
	defer e.Close()
	f, err := newFleet(rec, e, leaseWorkers, smallWorker, func(w *worker, _ string) time.Duration {
		if w.id == fmt.Sprintf("w%02d", leaseWorkers-1) {
			return largeTask
		}
		return 2 * largeTask // Away from the data.
	})
	if err != nil {
		return false, err
	}
	defer f.close()
	f.setLabels(func(i int) string {
		if i >= leaseWorkers-largeWorkers {
			return largeKind
		}
		return "a"
	}, func(i int) string {
		if i == leaseWorkers-1 {
			return dataRack
		}
		return "r1-0"
	})
	if err := e.Configure(1, route); err != nil {
		return false, err
	}
	s, err := newSystem(rec, program, dir, e.StoreAddress, e.PolicyAddress, leaseNodes)
	if err != nil {
		return false, err
	}
	defer s.stopAll()
	time.Sleep(heartbeatInterval) // The registrations have the kinds.
	if err := s.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		s.handInLarge(stop, &clients)
	}()
	began := time.Now()
	time.Sleep(hangAt)
	if trouble {
		err = s.leaseTrouble(f)
	}
	if err == nil {
		time.Sleep(40*time.Second - time.Since(began))
	}
	close(stop)
	clients.Wait()
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.violations {
		rec.printf("violation: %s", v)
	}
	rec.printf("%d tasks, %d times a task was started beside another run of it, or after its end was taken note of", len(f.starts), len(f.violations))
	return len(f.violations) == 0, nil
}

// setLabels sets the kinds and the racks of the workers.
func (f *fleet) setLabels(kind, rack func(i int) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kind, f.rack = kind, rack
}

// handInLarge hands in jobs of one large task until stop is closed.
func (s *system) handInLarge(stop <-chan struct{}, clients *sync.WaitGroup) {
	rng := rand.New(rand.NewSource(7))
	for {
		select {
		case <-stop:
			return
		case <-time.After(largeEvery):
		}
		id, seed := fmt.Sprintf("%016x", rng.Uint64()), rng.Int63()
		body := []byte(fmt.Sprintf(`{"spec":"large","job_stages":[{"count":1,"cpu":%d,"mem_mb":512,"estimate_ms":%d,"required_label":%q,"affinity":%q}]}`, largeCPU, largeTask.Milliseconds(), largeKind, dataRack))
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.submit(rand.New(rand.NewSource(seed)), id, body)
		}()
	}
}

// leaseTrouble plays the disruptions.
func (s *system) leaseTrouble(f *fleet) error {
	w := f.workers[len(f.workers)-1]
	s.rec.printf("%s leaves its orders unanswered", w.id)
	w.mu.Lock()
	w.mute = true
	w.mu.Unlock()
	hung := func() bool { return w.mutedStarts > 0 }
	if !w.await(hung, 8*time.Second) {
		return fmt.Errorf("no start came to %s", w.id)
	}
	time.Sleep(orderFor)
	s.rec.printf("%s crashes", w.id)
	if err := w.crash(crashedFor); err != nil {
		return err
	}
	s.rec.printf("%s is up again", w.id)
	if !w.await(func() bool { return len(w.running) > 0 }, 8*time.Second) {
		return fmt.Errorf("%s got no task after its restart", w.id)
	}
	time.Sleep(500 * time.Millisecond)
	n := s.leader()
	if n == nil {
		return fmt.Errorf("no process leads")
	}
	w.mu.Lock()
	w.cut = true
	s.rec.printf("%s is cut off; it runs %d tasks, its lease ends in %d ms", w.id, len(w.running), w.leaseUntil-w.clock())
	w.mu.Unlock()
	time.AfterFunc(cutFor, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cut = false
		s.rec.printf("%s is reached again", w.id)
	})
	s.rec.printf("%s leads: SIGKILL", n.name)
	n.signal(syscall.SIGKILL)
	return nil
}

// await blocks until a condition on the worker holds, and returns false if it does not in time.
func (w *worker) await(holds func() bool, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(workerTick) {
		w.mu.Lock()
		ok := holds()
		w.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}
