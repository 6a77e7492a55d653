package main

import (
	"fmt"
	"time"
)

// playReplaced removes all machines at once, and one of two racks of workers with them. Others come at new addresses. It checks
// that accepted jobs run (LOST).
func playReplaced(s *system, trouble bool) error {
	const (
		perRack = 8
		waits   = 45 * time.Second
		jobs    = 6
	)
	s.configure(1)
	for rack := range 2 {
		if err := s.addWorkers(perRack, workerConfig{CPU: 16000, MemoryMB: 65536, Labels: []string{"a", fmt.Sprintf("r1-%d", rack+1)}}); err != nil {
			return err
		}
	}
	if err := s.addEntries(3); err != nil {
		return err
	}
	time.Sleep(6 * time.Second) // The machines are in touch.
	body := `{"spec":"done=5000","job_stages":[{"count":8,"cpu":2700,"mem_mb":7800,"estimate_ms":5000}]}`
	for n := range jobs {
		s.submit(n, body)
	}
	if err := s.awaitBegun(8*jobs, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(7 * time.Second)
	if trouble {
		if err := s.lose(); err != nil {
			return err
		}
		for _, w := range s.workers[:perRack] {
			w.crash()
		}
		time.Sleep(2 * time.Second)
		if err := s.addEntries(3); err != nil {
			return err
		}
		time.Sleep(2500 * time.Millisecond)
		for i, w := range s.workers[:perRack] {
			if err := w.replace(fmt.Sprintf("i-n%03d", i+1)); err != nil {
				return err
			}
		}
	}
	for n := range jobs {
		if j := s.submit(jobs+n, body); j.accepted.IsZero() {
			return fmt.Errorf("job was answered %v", j.statuses)
		}
	}
	time.Sleep(waits)
	for _, j := range s.submitted()[jobs:] {
		state, status := s.state(j)
		if n := s.record.begun(j.id + ".0.0.0"); n == 0 {
			s.record.breaks("LOST: %s was accepted at %.3f and is %q (%d) %.0f s later; none of its tasks has begun, and the workers are idle", j.id, j.accepted.Sub(s.record.began).Seconds(), state, status, time.Since(j.accepted).Seconds())
		}
	}
	s.record.checkTwice()
	return nil
}
