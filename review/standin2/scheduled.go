package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"coriandercross/platform/ccemulator"
)

// The case scheduled: jobs that run again and again, and the process that leads is killed four times, each time after
// it has written to the store.

const (
	scheduledNodes   = 7
	scheduledWorkers = 48
	scheduledJobs    = 48
	scheduledRuns    = 32
	scheduledPeriod  = time.Second
	// Each time has a first step of two tasks, and a second one of one task.
	firstTasks, firstTask = 2, 300 * time.Millisecond
	secondTask            = 200 * time.Millisecond
	killEvery, kills      = 6 * time.Second, 4
)

// runScheduled plays the case and returns whether the rule held.
func runScheduled(rec *record, program, dir string, trouble bool) (bool, error) {
	e, err := ccemulator.New(ccemulator.Config{MaxLeaseMs: maxLeaseMs})
	if err != nil {
		return false, err
	}
	defer e.Close()
	f, err := newFleet(rec, e, scheduledWorkers, smallWorker, func(_ *worker, task string) time.Duration {
		if strings.Split(task, ".")[2] == "0" {
			return firstTask
		}
		return secondTask
	})
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := e.Configure(1, route); err != nil {
		return false, err
	}
	s, err := newSystem(rec, program, dir, e.StoreAddress, e.PolicyAddress, scheduledNodes)
	if err != nil {
		return false, err
	}
	defer s.stopAll()
	if err := s.startAll(); err != nil {
		return false, err
	}
	began := time.Now()
	ids := s.handInScheduled()
	if len(ids) == 0 {
		return false, fmt.Errorf("no job was accepted")
	}
	for i := range kills {
		time.Sleep(time.Duration(i+1)*killEvery - time.Since(began))
		n := s.leader()
		if n == nil {
			return false, fmt.Errorf("no process leads")
		}
		if err := awaitProgress(e); err != nil {
			return false, err
		}
		if trouble {
			rec.printf("%s leads: SIGKILL", n.name)
			n.signal(syscall.SIGKILL)
		} else {
			rec.printf("%s leads", n.name)
		}
	}
	time.Sleep(scheduledRuns*scheduledPeriod + 8*time.Second - time.Since(began))
	rng := rand.New(rand.NewSource(3))
	completed := 0
	for _, id := range ids {
		status, state := s.state(rng, id, clientDeadline)
		rec.printf("GET %s: %d %s", id, status, state)
		if status == http.StatusOK && state == "completed" {
			completed++
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := 0
	for _, n := range f.starts {
		starts += n
	}
	for _, v := range f.violations {
		rec.printf("violation: %s", v)
	}
	rec.printf("%d jobs accepted, %d completed; %d tasks, %d started, %d times a task was started again after its end was taken note of, or beside another run",
		len(ids), completed, len(ids)*scheduledRuns*(firstTasks+1), starts, len(f.violations))
	return len(f.violations) == 0, nil
}

// awaitProgress blocks until the system has written the progress of a job to the store.
func awaitProgress(e *ccemulator.Emulator) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, at, err := e.Store.Range(ctx, progressPrefix, false)
	if err != nil {
		return err
	}
	_, _, err = e.Store.Watch(ctx, progressPrefix, at, 5000)
	return err
}

// progressPrefix is the prefix of the keys under which the system keeps the progress of jobs.
const progressPrefix = "cc/p/"

// handInScheduled hands in the jobs, and returns the IDs of those that were accepted.
func (s *system) handInScheduled() []string {
	var mu sync.Mutex
	var ids []string
	var clients sync.WaitGroup
	rng := rand.New(rand.NewSource(7))
	for i := range scheduledJobs {
		id, seed := fmt.Sprintf("%016x", rng.Uint64()), rng.Int63()
		first := time.Now().Add(time.Second + time.Duration(i)*scheduledPeriod/scheduledJobs).UnixMilli()
		body := fmt.Sprintf(`{"spec":"nesting","repeat_count":%d,"start_at_ms":%d,"period_ms":%d,"job_stages":[{"count":%d,"cpu":1300,"mem_mb":256,"estimate_ms":%d},{"count":1,"cpu":1300,"mem_mb":256,"estimate_ms":%d,"after":[0]}]}`,
			scheduledRuns, first, scheduledPeriod.Milliseconds(), firstTasks, firstTask.Milliseconds(), secondTask.Milliseconds())
		clients.Add(1)
		go func() {
			defer clients.Done()
			if accepted, _ := s.submit(rand.New(rand.NewSource(seed)), id, []byte(body)); accepted {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, id)
			}
		}()
	}
	clients.Wait()
	return ids
}
