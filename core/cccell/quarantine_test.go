package cccell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A task that lasts failed some seconds after each start. The only worker that may run it was put into quarantine for that, and the
// task waited there for up to 16 s.
func TestTaskDoesNotWaitForQuarantineOfItsOnlyWorker(t *testing.T) {
	const (
		fails  ms = 4000
		plays  ms = 120_000
		stepMs ms = 50
		// mayRest is the time for which a task that lasts may be without a run by the platform's rules, 6 s and 3 s.
		mayRest ms = 9000
	)
	labelled := func(id string) WorkerInfo {
		w := testWorker(id)
		w.Labels = append(w.Labels, "b")
		return w
	}
	tests := map[string]struct {
		workers []WorkerInfo
		// advice names the only worker that the policy service allows, "" for no policy service.
		advice string
	}{
		"OnlyOneHasTheLabel": {workers: []WorkerInfo{testWorker("w1"), testWorker("w2"), testWorker("w3"), labelled("only")}},
		"OnlyOneIsAllowed":   {workers: []WorkerInfo{labelled("w1"), labelled("w2"), labelled("w3"), labelled("only")}, advice: "only"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyCell(t, test.workers...)
			j := testJob("j", 1)
			j.Stages[0].LongRunning, j.Stages[0].Label = true, "b"
			if test.advice != "" {
				j.Queue.Advice = &AdviceConfig{DecideMs: 5, ValidMs: 2000}
			}
			c.AddJob(j, 1000, 1000)
			var run *StartOrder
			var endsAt ms
			endedAt, number := ms(1000), int64(0)
			for now := ms(1000); now < plays; now += stepMs {
				if run != nil && now >= endsAt {
					number++
					w := c.workers["only"]
					c.OnPollReply(&PollOrder{OrderHeader: c.header(w), worker: w}, executedReply(now), &TaskLists{
						Ended: []EndedTask{{Number: number, Task: run.Task, Attempt: run.Attempt, End: EndFailed}},
					}, now)
					run, endedAt = nil, now
				}
				out := runRound(c, now)
				for i := range out.AdviceRequests {
					r := &out.AdviceRequests[i]
					a := AdviceReply{ID: r.ID, Stage: r.Stage, Workers: r.Workers, Tickets: map[string]string{}, ValidMs: 2000}
					for _, id := range r.Workers {
						if id == test.advice {
							a.Tickets[id] = "ticket"
						}
					}
					c.OnAdviceReply(&a, now)
				}
				for i := range out.Starts {
					o := out.Starts[i]
					assert.Equal(t, o.WorkerID, "only")
					assert.Assert(t, run == nil, "started twice")
					run, endsAt = &o, now+fails
					c.OnStartReply(&o, executedReply(now), now)
				}
				assert.Assert(t, run != nil || now-endedAt <= mayRest, "the task has not run since %d ms at %d", now-endedAt, now)
			}
			assert.Assert(t, c.stats.Quarantined > 1, "%d quarantines", c.stats.Quarantined)
		})
	}
}

// A worker in quarantine gets no tasks that another one may run.
func TestWorkerInQuarantineIsTheLastResort(t *testing.T) {
	c := readyCell(t, testWorker("w1"), testWorker("w2"), testWorker("w3"), testWorker("w4"))
	w := c.workers["w1"]
	for range 12 { // Each of these begins the next, longer one.
		w.health.record(false, 1000, true)
		w.health.quarantinedUntil = 0
	}
	assert.Assert(t, w.health.record(false, 1000, true))
	now := ms(1000) + quarantineMs
	c.AddJob(testJob("j", 48), now, now)
	for _, o := range runStarts(c, now) {
		assert.Assert(t, o.WorkerID != "w1")
	}
	c.AddJob(testJob("more", 1), now, now)
	assert.Equal(t, len(runStarts(c, now+10)), 0, "the others are full, but may run it later")
}
