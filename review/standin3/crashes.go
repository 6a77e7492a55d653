package main

import (
	"fmt"
	"time"
)

// playCrashes runs a job of one task that one worker of four may run. That worker is idle and has crashed each time that the
// start arrives, so that the task never begins; another one is at its address 1 s later. After four such crashes the address
// stays up. It checks that the job is not shown as failed (LOST).
func playCrashes(s *system, trouble bool) error {
	const (
		up      = 2700 * time.Millisecond
		down    = 1 * time.Second
		longest = 5 * time.Second
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
	if trouble {
		w.goDark()
	}
	j := s.submit(1, `{"spec":"done=5100","job_stages":[{"count":1,"cpu":2700,"mem_mb":7800,"estimate_ms":5100,"required_label":"b"}]}`)
	if j.accepted.IsZero() {
		return fmt.Errorf("job was answered %v", j.statuses)
	}
	task := j.id + ".0.0.0"
	for n := 1; trouble; n++ {
		for deadline := time.Now().Add(longest); w.startsUnanswered() == 0; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				return fmt.Errorf("no start has arrived %s after crash %d", longest, n)
			}
		}
		time.Sleep(down)
		if err := w.replace(fmt.Sprintf("i-b%03d", n+1)); err != nil {
			return err
		}
		if n == crashes {
			break
		}
		time.Sleep(up)
		if !w.wasHeld() || s.record.begun(task) > 0 {
			return fmt.Errorf("worker %d was not looked at, or the task has begun there", n+1)
		}
		w.goDark()
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		switch state, _ := s.state(j); state {
		case "completed":
			s.record.checkTwice()
			return nil
		case "failed":
			if n := s.record.ended(task, "failed"); n == 0 {
				s.record.breaks("LOST: %s is shown as failed, and no run of its task has ended failed; %d have begun", j.id, s.record.begun(task))
				return nil
			}
		}
	}
	return fmt.Errorf("job has not ended")
}
