package cccell

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// advisedCell returns a cell with a job whose queue has a policy service of the given call duration, and the requests
// of the first round.
func advisedCell(t *testing.T, decideMs, perWorkerMs float64, workers, tasks int) (*Cell, []AdviceRequest) {
	t.Helper()
	var infos []WorkerInfo
	for i := range workers {
		infos = append(infos, testWorker(fmt.Sprintf("w%02d", i)))
	}
	c := readyCell(t, infos...)
	j := testJob("a", tasks)
	j.Queue.Advice = &AdviceConfig{DecideMs: decideMs, PerWorkerMs: perWorkerMs, ValidMs: 2000}
	c.AddJob(j, 1100, 1100)
	c.Schedule(1100, 1100)
	return c, c.TakeOrders().AdviceRequests
}

// An expensive request names 30 workers, a cheap one all 48. No second request is sent while the first is in flight.
func TestAdviceRequestSize(t *testing.T) {
	tests := map[string]struct {
		decideMs, perWorkerMs float64
		want                  int
	}{
		"Expensive": {370, 5.3, expensiveRequestWorkers},
		"Cheap":     {18, 0.26, 48},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, requests := advisedCell(t, test.decideMs, test.perWorkerMs, 48, 4)
			assert.Equal(t, len(requests), 1)
			assert.Equal(t, len(requests[0].Workers), test.want)
			c.Schedule(1200, 1200)
			assert.Equal(t, len(c.TakeOrders().AdviceRequests), 0)
		})
	}
}

// The workers that may run a stage never change: after the reply, denied workers are not named again, and an expired
// ticket is renewed by a request that names only its worker.
func TestTicketsDeniedAndRenewed(t *testing.T) {
	c, requests := advisedCell(t, 370, 5.3, 3, 1)
	assert.Equal(t, len(requests[0].Workers), 3)
	c.OnAdviceReply(&AdviceReply{Stage: requests[0].Stage, Workers: requests[0].Workers, Tickets: map[string]string{"w01": "ticket"}, ValidMs: 2000}, 1500)
	got := runStarts(c, 1510)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].WorkerID, "w01")
	assert.Equal(t, got[0].Ticket, "ticket")
	// The attempt ends without success after the ticket has expired.
	c.endAttempt(c.stageOf(got[0].Task).tasks[0][0], EndStopped, "", 5000)
	c.Schedule(5000, 5000)
	out := c.TakeOrders()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.AdviceRequests), 1)
	assert.DeepEqual(t, out.AdviceRequests[0].Workers, []string{"w01"})
}

// The time after which a lost reply is given up depends on the number of workers that the request named, not on the
// number of workers in the cell. Seen on the test bench: stages were delayed by 20 s among 1,002 workers after the
// process that was to send the request had been stopped.
func TestLostAdviceReplyTimesOut(t *testing.T) {
	for name, workers := range map[string]int{"FewWorkers": 48, "ManyWorkers": 1000} {
		t.Run(name, func(t *testing.T) {
			c, requests := advisedCell(t, 507, 7.15, workers, 4)
			assert.Equal(t, len(requests), 1)
			for now := ms(1200); now < 6000; now += 100 {
				c.ExtendAuthority(now + 1000)
				c.Schedule(now, now)
				if len(c.TakeOrders().AdviceRequests) > 0 {
					return
				}
			}
			t.Error("no second request was sent")
		})
	}
}
