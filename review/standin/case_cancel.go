package main

import (
	"sync"
	"time"
)

func init() {
	cases["cancel"] = cancelled
}

const (
	// downTime is how long the store is down.
	downTime = 5 * time.Second
	// clients is the number of clients that hand a job in during the outage, clientGap the time between two of them.
	clients   = 60
	clientGap = 20 * time.Millisecond
)

// cancelled: the store is down for some seconds. Clients hand jobs in meanwhile, get no 2xx within their time, and cancel.
func cancelled(rec *record, program string, trouble bool) (bool, error) {
	s, err := newSystem(rec, program, 7, 16)
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
	back := rec.now() + downTime
	if trouble {
		rec.log("store   is down")
		s.store.setDown(true)
	}
	// The time of the first client ends 0.3 s before the store is back, that of the last one 0.9 s after it.
	time.Sleep(back - 300*time.Millisecond - deadline - rec.now())
	live := s.live()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var list []*job
	acks := map[*job]int{}
	for i := range clients {
		j := newJob(0, 1, 9000, 2000)
		wg.Add(1)
		go func() {
			defer wg.Done()
			accepted := s.submit(j, live[i%len(live):][:1])
			if trouble && accepted {
				return // This client has its answer.
			}
			status, acknowledged := s.cancel(j, live[(i+3)%len(live)])
			if !acknowledged {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			list = append(list, j)
			acks[j] = status
		}()
		time.Sleep(clientGap)
		if trouble && rec.now() >= back {
			s.store.setDown(false)
		}
	}
	time.Sleep(back - rec.now())
	s.store.setDown(false)
	rec.log("store   is back, for %.3f s", (rec.now() - back).Seconds())
	wg.Wait()
	time.Sleep(back + 18*time.Second - rec.now())
	broken := false
	for _, j := range list {
		for _, e := range s.runs.of(j.id) {
			// A machine in touch has been without trouble of the store for contact.
			if e.Begin > j.cancelled+cancelTime && e.Begin > back+contact {
				rec.log("UNASKED %s started at %.3f, %.3f s after the cancel was acknowledged with %d, %.3f s after the store was back", e.Task, e.Begin.Seconds(), (e.Begin - j.cancelled).Seconds(), acks[j], (e.Begin - back).Seconds())
				rec.log("client  its job is shown as %s", s.state(j, live))
				broken = true
			}
		}
	}
	rec.log("%d cancels were acknowledged", len(list))
	return broken, nil
}
