package main

import (
	"fmt"
	"sync"
	"time"
)

// playEnds kills all entry processes for some seconds in which several hundred tasks come to their end on one worker. It
// checks TWICE.
func playEnds(s *system, trouble bool) error {
	const (
		jobs  = 25
		width = 40
		lasts = 6 * time.Second
		down  = 3 * time.Second
	)
	s.configure(1)
	if err := s.addWorkers(2, workerConfig{CPU: 64000, MemoryMB: 131072, Labels: []string{"a", "r1-1"}}); err != nil {
		return err
	}
	if err := s.addEntries(3); err != nil {
		return err
	}
	time.Sleep(6 * time.Second) // The machines are in touch.
	body := fmt.Sprintf(`{"spec":"done=%d","job_stages":[{"count":%d,"cpu":60,"mem_mb":100,"estimate_ms":%d}]}`, lasts.Milliseconds(), width, lasts.Milliseconds())
	var all sync.WaitGroup
	for n := range jobs {
		all.Go(func() { s.submit(n, body) })
	}
	all.Wait()
	if err := s.awaitBegun(jobs*width, 20*time.Second); err != nil {
		return err
	}
	time.Sleep(lasts - 2*time.Second)
	if trouble {
		for _, e := range s.entries {
			s.kill(e)
		}
		time.Sleep(down)
		for _, e := range s.entries {
			if err := s.startEntry(e); err != nil {
				return err
			}
		}
	}
	time.Sleep(25 * time.Second)
	begun, running, done := s.record.count()
	s.record.add("tasks", "%d begun, %d running, %d done", begun, running, done)
	for _, j := range s.submitted() {
		s.state(j)
	}
	s.record.checkTwice()
	return nil
}
