package main

import (
	"fmt"
	"time"
)

// playLasts runs a job with one task that lasts and that fails some seconds after each start. One worker of four has the label
// that it needs. It checks LOST.
func playLasts(s *system, trouble bool) error {
	const plays = 85 * time.Second
	s.configure(1)
	if err := s.addWorkers(3, workerConfig{CPU: 16000, MemoryMB: 65536, Labels: []string{"a", "r1-1"}}); err != nil {
		return err
	}
	if err := s.addWorkers(1, workerConfig{CPU: 16000, MemoryMB: 65536, Labels: []string{"b", "r1-2"}}); err != nil {
		return err
	}
	if err := s.addEntries(3); err != nil {
		return err
	}
	time.Sleep(6 * time.Second) // The machines are in touch.
	spec := "lasts"
	if trouble {
		spec = "failed=4000"
	}
	j := s.submit(1, fmt.Sprintf(`{"spec":%q,"job_stages":[{"count":1,"cpu":3400,"mem_mb":6900,"estimate_ms":400,"required_label":"b","long_running":true}]}`, spec))
	if j.accepted.IsZero() {
		return fmt.Errorf("job was answered %v", j.statuses)
	}
	if err := s.awaitBegun(1, 5*time.Second); err != nil {
		return err
	}
	time.Sleep(plays)
	s.state(j)
	s.record.checkLasts(j.id+".0.0.0", time.Now())
	s.record.checkTwice()
	return nil
}
