package main

import (
	"fmt"
	"time"
)

// playCrashes runs a job of one task of 25 s, which one worker of four may run. That worker crashes four times, each time 4 s
// after the task has begun there, and is back 1.5 s later. It checks that the job is not shown as failed (LOST).
func playCrashes(s *system, trouble bool) error {
	const (
		lasts   = 25 * time.Second
		runs    = 4 * time.Second
		down    = 1500 * time.Millisecond
		crashes = 4
	)
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
	w := s.workers[3]
	j := s.submit(1, fmt.Sprintf(`{"spec":"done=%d","job_stages":[{"count":1,"cpu":2700,"mem_mb":7800,"estimate_ms":%d,"required_label":"b"}]}`, lasts.Milliseconds(), lasts.Milliseconds()))
	if j.accepted.IsZero() {
		return fmt.Errorf("job was answered %v", j.statuses)
	}
	task := j.id + ".0.0.0"
	if err := s.awaitBegun(1, 5*time.Second); err != nil {
		return err
	}
	for n := range crashes {
		if !trouble {
			break
		}
		for deadline := time.Now().Add(20 * time.Second); s.record.begun(task) <= n; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				return fmt.Errorf("run %d has not begun", n+1)
			}
		}
		time.Sleep(runs)
		w.crash()
		time.Sleep(down)
		if err := w.replace(fmt.Sprintf("i-b%03d", n+2)); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(lasts + 20*time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		switch state, _ := s.state(j); state {
		case "completed":
			s.record.checkTwice()
			return nil
		case "failed":
			if n := s.record.ended(task, "failed"); n == 0 {
				s.record.breaks("LOST: %s is shown as failed, and no run of its task has ended failed; %d were lost with their worker", j.id, s.record.ended(task, "gone"))
				return nil
			}
		}
	}
	return fmt.Errorf("job has not ended")
}
