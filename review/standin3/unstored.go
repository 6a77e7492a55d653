package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// playUnstored hands a job in during an outage of the store, at a process that does not lead, so that it runs before it is stored.
// Then all processes are killed, and the worker of its task is cut off. The client comes back as the power and the store do. It
// checks TWICE.
func playUnstored(s *system, trouble bool) error {
	const (
		outage = 2400 * time.Millisecond // Of the store.
		killAt = 2 * time.Second         // From the begin of the outage.
		cut    = 5500 * time.Millisecond
	)
	s.pause = 800 * time.Millisecond // The client comes back when a new leader has read the store.
	s.configure(1)
	if err := s.addWorkers(8, workerConfig{CPU: 16000, MemoryMB: 65536, Labels: []string{"a", "r1-1"}}); err != nil {
		return err
	}
	if err := s.addEntries(3); err != nil {
		return err
	}
	time.Sleep(6 * time.Second) // The machines are in touch.
	began := time.Now()
	if trouble {
		s.record.add("store", "down")
		s.store.setDown(true)
	}
	time.Sleep(300 * time.Millisecond)
	done := make(chan *jobRecord, 1)
	go func() {
		done <- s.submit(1, `{"spec":"done=10000","job_stages":[{"count":1,"cpu":2700,"mem_mb":7800,"estimate_ms":10000}]}`)
	}()
	task := fmt.Sprintf("%016x.0.0.0", firstID+1)
	if err := s.awaitBegun(1, time.Second); err != nil {
		return err
	}
	if trouble {
		time.Sleep(time.Until(began.Add(killAt)))
		i := slices.IndexFunc(s.workers, func(w *worker) bool { return w.cfg.ID == s.record.workerOf(task) })
		s.workers[i].setCut(true)
		time.AfterFunc(cut, func() { s.workers[i].setCut(false) })
		for _, e := range s.entries {
			s.kill(e)
		}
		time.Sleep(time.Until(began.Add(outage)))
		s.store.setDown(false)
		s.record.add("store", "up")
		for _, e := range s.entries {
			if err := s.startEntry(e); err != nil {
				return err
			}
		}
	}
	j := <-done
	s.record.add("client", "%s was answered %v", j.id, j.statuses)
	if !slices.Contains(j.statuses, http.StatusOK) {
		return fmt.Errorf("job was answered %v", j.statuses)
	}
	time.Sleep(25 * time.Second)
	s.state(j)
	s.record.checkTwice()
	return nil
}
