package cccell

import (
	"fmt"
	"testing"

	"coriandercross/core/ccruntimes"
)

// BenchmarkRound measures a scheduling round over 3,000 workers with two new jobs in each round. About a third of the
// workers run tasks.
func BenchmarkRound(b *testing.B) {
	benchmarkRound(b, nil)
}

// BenchmarkRoundLearning is BenchmarkRound with learned run times.
func BenchmarkRoundLearning(b *testing.B) {
	benchmarkRound(b, ccruntimes.New())
}

func benchmarkRound(b *testing.B, runTimes *ccruntimes.Learner) {
	const (
		workers  = 3000
		perRound = 2
		roundMs  = 10
		runMs    = 1000
	)
	c := testCell(1, 1000)
	c.cfg.RunTimes = runTimes
	for i := range workers {
		c.SetWorker(testWorker(fmt.Sprintf("w%d", i)), 1000)
	}
	now := ms(1000)
	reply := func() Reply { return executedReply(now) }
	type ended struct {
		at       ms
		workerID string
		t        EndedTask
	}
	ends := map[string]int64{}
	lists := map[string]*TaskLists{}
	var due []ended
	serve := func(out *Orders) {
		for i := range out.Starts {
			s := &out.Starts[i]
			c.OnStartReply(s, reply(), now)
			due = append(due, ended{now + runMs, s.WorkerID, EndedTask{Task: s.Task, Attempt: s.Attempt, End: EndDone}})
			l := lists[s.WorkerID]
			if l == nil {
				l = &TaskLists{}
				lists[s.WorkerID] = l
			}
			l.Running = append(l.Running, RunningTask{Task: s.Task, Attempt: s.Attempt})
		}
		for i := range out.Polls {
			l := lists[out.Polls[i].WorkerID]
			if l == nil {
				l = &TaskLists{}
			}
			c.OnPollReply(&out.Polls[i], reply(), l, now)
		}
	}
	for now < 8000 {
		c.ExtendAuthority(now + 1000)
		c.Schedule(now, now)
		out := c.TakeOrders()
		serve(&out)
		now += roundMs
	}
	b.ResetTimer()
	for i := range b.N {
		b.StopTimer()
		now += roundMs
		for len(due) > 0 && due[0].at <= now {
			d := due[0]
			due = due[1:]
			l := lists[d.workerID]
			for k := range l.Running {
				if l.Running[k].Task == d.t.Task {
					l.Running = append(l.Running[:k], l.Running[k+1:]...)
					break
				}
			}
			ends[d.workerID]++
			d.t.Number = ends[d.workerID]
			l.Ended = append(l.Ended[:0:0], d.t)
		}
		for k := range perRound {
			c.AddJob(testJob(fmt.Sprintf("j%d-%d", i, k), 20), now, now)
		}
		b.StartTimer()
		c.ExtendAuthority(now + 1000)
		c.Schedule(now, now)
		out := c.TakeOrders()
		b.StopTimer()
		serve(&out)
		if writes := c.NextWrites(1000, now); len(writes) > 0 {
			c.OnWritten(writes, int64(i+10), now)
		}
		b.StartTimer()
	}
}
