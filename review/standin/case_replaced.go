package main

import (
	"syscall"
	"time"
)

func init() {
	cases["replaced"] = replaced
}

// replaced: all entry VMs are lost at the same moment, and as many come at other addresses two seconds later.
func replaced(rec *record, program string, trouble bool) (bool, error) {
	const vms = 7
	s, err := newSystem(rec, program, vms, 8)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	if _, err := s.awaitLeader(nil, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for range 4 {
		s.submit(newJob(0, 2, 6000, 2000), s.live())
	}
	time.Sleep(time.Second)
	if trouble {
		lost := s.live()
		for _, p := range lost {
			s.signal(p, syscall.SIGKILL)
		}
		for _, p := range lost {
			<-p.done
			if err := s.silence(p); err != nil {
				return false, err
			}
		}
		time.Sleep(2 * time.Second)
		for i := range vms {
			if _, err := s.addProcess(vms + i); err != nil {
				return false, err
			}
		}
		for _, p := range s.live() {
			if err := s.awaitReady(p, 15*time.Second); err != nil {
				return false, err
			}
		}
	}
	// Traffic goes on for 16 s, longer than recovery_s.
	for range 16 {
		s.submit(newJob(0, 2, 500), s.live())
		time.Sleep(time.Second)
	}
	end := rec.now()
	rec.log("end of the traffic")
	return s.checkLost(end, end+finish+5*time.Second), nil
}
