package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["history"] = history
}

// pastJobs is the number of jobs that the system has completed before: what the clients of karambol-sched send in 13 hours,
// at 15 a second.
const pastJobs = 700_000

// history: the process that leads is killed, after hours of work.
func history(rec *record, program string, trouble bool) (bool, error) {
	s, err := newSystem(rec, program, 7, 8)
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
	first := newJob(0, 1, 200)
	if !s.submit(first, s.live()) {
		return false, fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(2 * time.Second)
	// Hours pass: the store gets the records that the system leaves of as many jobs like the first one.
	kept := s.store.keysWith(first.id)
	if len(kept) != 1 || s.state(first, s.live()) != "completed" {
		return false, fmt.Errorf("the first job left %d records", len(kept))
	}
	rec.log("the system has left %q of the first job, %d bytes; the store gets %d such records", kept[0].Key, len(kept[0].Value), pastJobs)
	past := make([]item, pastJobs)
	base := strings.TrimSuffix(kept[0].Key, first.id)
	for i := range past {
		past[i] = item{Key: fmt.Sprintf("%s%016x", base, uint64(i)*0x9e3779b97f4a7c15), Value: kept[0].Value, Revision: int64(i + 1), Created: int64(i + 1)}
	}
	s.store.addOld(past)
	for range 4 {
		s.submit(newJob(0, 2, 4000, 2000), s.live())
	}
	time.Sleep(time.Second)
	leader, err := s.awaitLeader(nil, time.Second) // Another one may lead by now.
	if err != nil {
		return false, err
	}
	if trouble {
		s.signal(leader, syscall.SIGKILL)
		<-leader.done
		time.Sleep(2 * time.Second)
		if err := s.start(leader); err != nil {
			return false, err
		}
	}
	for range 16 {
		s.submit(newJob(0, 2, 500), s.live())
		time.Sleep(time.Second)
	}
	end := rec.now()
	rec.log("end of the traffic")
	return s.checkLost(end, end+finish+5*time.Second), nil
}
