package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	cases["power"] = power
}

// power: while the store is down, all entry VMs lose power, and one of eight workers is lost for good. Jobs have been shown
// as completed before.
func power(rec *record, program string, trouble bool) (bool, error) {
	const workers = 8
	s, err := newSystem(rec, program, 7, workers)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	if _, err := s.awaitLeader(nil, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	// These jobs are accepted before the store is down, and end while it is.
	var jobs []*job
	for range 8 {
		j := newJob(0, 12, 2500)
		s.submit(j, s.live())
		jobs = append(jobs, j)
	}
	time.Sleep(time.Second)
	down := rec.now()
	if trouble {
		rec.log("store   is down")
		s.store.setDown(true)
	}
	time.Sleep(down + 3500*time.Millisecond - rec.now())
	shown := map[*job]time.Duration{}
	for i, j := range jobs {
		if s.state(j, s.live()[i%7:]) == "completed" {
			shown[j] = rec.now()
		}
	}
	if trouble {
		lost := s.busiest(jobs)
		rec.log("worker %s is lost for good", lost.id)
		lost.crash()
		for _, p := range s.live() {
			s.signal(p, syscall.SIGKILL)
		}
		for _, p := range s.processes {
			<-p.done
		}
		time.Sleep(2 * time.Second)
		for _, p := range s.processes {
			if err := s.start(p); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(down + 5500*time.Millisecond - rec.now())
	if trouble {
		s.store.setDown(false)
		rec.log("store   is back")
	}
	back := rec.now()
	time.Sleep(16 * time.Second)
	if len(shown) == 0 {
		return false, fmt.Errorf("no job was shown as completed before the power failed")
	}
	broken := false
	for _, j := range jobs {
		for _, e := range s.runs.of(j.id) {
			// A machine in touch has run, and the store has been without trouble, for contact.
			if at, ok := shown[j]; ok && e.Begin > at+time.Second && e.Begin > back+contact {
				rec.log("TWICE   %s started at %.3f, %.3f s after its job was shown as completed, %.3f s after the store was back", e.Task, e.Begin.Seconds(), (e.Begin - at).Seconds(), (e.Begin - back).Seconds())
				broken = true
			}
		}
	}
	return broken, nil
}

// busiest returns the worker that has run the most tasks of the jobs.
func (s *system) busiest(jobs []*job) *worker {
	count := map[string]int{}
	for _, j := range jobs {
		for _, e := range s.runs.of(j.id) {
			count[e.Worker]++
		}
	}
	best := s.workers[0]
	for _, w := range s.workers {
		if count[w.id] > count[best.id] {
			best = w
		}
	}
	return best
}
