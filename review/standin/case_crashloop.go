package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	cases["crashloop"] = crashloop
}

const (
	// flapPeriod, flapTime and flapUp describe a worker that goes down and up: the period, for how long it does so, and how
	// long it is up each time. It does so flaps times, flapPause apart.
	flapPeriod = 1400 * time.Millisecond
	flapTime   = 7 * time.Second
	flapUp     = 50 * time.Millisecond
	flaps      = 3
	flapPause  = time.Second
)

// crashloop: after a planned change of the leader, one of eight workers goes down and up by turns.
func crashloop(rec *record, program string, trouble bool) (bool, error) {
	const workers = 8
	s, err := newSystem(rec, program, 7, workers-1)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	flapping, err := s.addWorker("i-flap-0", workers-1)
	if err != nil {
		return false, err
	}
	if _, err := s.awaitLeader(nil, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	// The first step of these jobs ends 4 s after the flapping begins.
	for range 4 {
		s.submit(newJob(0, 2, 20000, 2000), s.live())
	}
	end := rec.now()
	rec.log("end of the traffic")
	// Planned work, with and without the disruption: the leader's machine is stopped and started again.
	time.Sleep(2 * time.Second)
	leader, err := s.awaitLeader(nil, time.Second)
	if err != nil {
		return false, err
	}
	s.signal(leader, syscall.SIGTERM)
	<-leader.done
	if err := s.start(leader); err != nil {
		return false, err
	}
	if _, err := s.awaitLeader(leader, 10*time.Second); err != nil {
		return false, err
	}
	begin := end + finish + 2*time.Second
	time.Sleep(begin - rec.now())
	for n := 0; trouble && n < flaps; n++ {
		from := begin + time.Duration(n)*(flapTime+flapPause)
		time.Sleep(from - rec.now())
		rec.log("worker %s begins to go down and up", flapping.address)
		for life := 1; rec.now() < from+flapTime; life++ {
			flapping.crash()
			time.Sleep(flapPeriod - flapUp)
			if flapping, err = s.addWorker(fmt.Sprintf("i-flap-%d-%d", n, life), workers-1); err != nil {
				return false, err
			}
			rec.log("worker %s is up as %s", flapping.address, flapping.id)
			time.Sleep(flapUp)
		}
		rec.log("worker %s stays up", flapping.address)
	}
	return s.checkLost(end, begin+flaps*(flapTime+flapPause)+6*time.Second), nil
}
