package cccell

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"

	"coriandercross/core/ccquota"

	"gotest.tools/v3/assert"
)

// adviceLoad plays the calls of a cell to the policy service in virtual time.
type adviceLoad struct {
	t     *testing.T
	cell  *Cell
	queue *AdviceQueue
	vms   []string
	// lost names the VMs whose calls never return.
	lost map[string]bool
	// freeAt is the time at which the service has answered the calls of a VM.
	freeAt  map[string]ms
	results []adviceResult
	// calls counts the calls that the service has received.
	calls int
}

// adviceResult is the result of a call that is under way.
type adviceResult struct {
	at    ms
	vm    string
	reply AdviceReply
}

// newAdviceLoad returns a load with the given numbers of callers and workers. The VMs whose calls are lost come first in
// the order of names.
func newAdviceLoad(t *testing.T, callers, lost, workers int) *adviceLoad {
	t.Helper()
	var infos []WorkerInfo
	for i := range workers {
		infos = append(infos, testWorker(fmt.Sprintf("w%02d", i)))
	}
	l := &adviceLoad{t: t, cell: readyCell(t, infos...), lost: map[string]bool{}, freeAt: map[string]ms{}}
	l.queue = NewAdviceQueue(l.cell)
	for i := range callers {
		vm := fmt.Sprintf("vm%02d", i)
		l.vms = append(l.vms, vm)
		l.lost[vm] = i < lost
	}
	return l
}

// submit adds a job whose stage needs a call of half a second.
func (l *adviceLoad) submit(id string, priority int, now ms) {
	j := testJob(id, 4)
	j.Queue.Priority = priority
	j.Queue.Name = fmt.Sprintf("q%d", priority)
	j.Queue.Advice = &AdviceConfig{DecideMs: 350, PerWorkerMs: 5, ValidMs: 4000}
	l.cell.AddJob(j, now, now)
}

// allowedWorker reports whether a worker may run a stage: a third of them may. The answer for a stage never changes.
func allowedWorker(s StageID, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Job + worker))
	return h.Sum32()%3 == 0
}

// startsOf runs a scheduling round, with the results that have arrived by now, and the calls that it assigns. It
// confirms the starts of the round and returns them.
func (l *adviceLoad) startsOf(now ms) []StartOrder {
	var remaining []adviceResult
	for _, r := range l.results {
		if r.at > now {
			remaining = append(remaining, r)
			continue
		}
		l.queue.Complete(r.vm, &r.reply, now)
		l.cell.OnAdviceReply(&r.reply, now)
	}
	l.results = remaining
	l.cell.ExtendAuthority(now + 1000)
	l.cell.Schedule(now, now)
	out := l.cell.TakeOrders()
	l.queue.Add(out.AdviceRequests)
	for _, a := range l.queue.Assign(l.vms, func(string) bool { return false }, 0, now) {
		l.calls++
		if l.lost[a.VM] {
			continue
		}
		l.freeAt[a.VM] = max(l.freeAt[a.VM], now) + ms(a.Request.CallMs)
		reply := AdviceReply{ID: a.Request.ID, Stage: a.Request.Stage, Workers: a.Request.Workers, Tickets: map[string]string{}, ValidMs: 4000}
		for _, w := range a.Request.Workers {
			if allowedWorker(a.Request.Stage, w) {
				reply.Tickets[w] = "ticket"
			}
		}
		l.results = append(l.results, adviceResult{l.freeAt[a.VM] + 10, a.VM, reply})
	}
	for i := range out.Starts {
		l.cell.OnStartReply(&out.Starts[i], executedReply(now), now)
	}
	return out.Starts
}

// round is startsOf for tasks that end at once. It returns the jobs whose tasks have all started.
func (l *adviceLoad) round(now ms) []string {
	var placed []string
	for _, o := range l.startsOf(now) {
		// The task ends at once: the test is about tickets, not about capacity.
		l.cell.endAttempt(o.attempt, EndDone, "", now)
		if o.Task.Index == 3 {
			placed = append(placed, o.Task.Job)
		}
	}
	return placed
}

// Load: all stages of a cell request tickets at once, as at the end of an outage, while jobs of both priorities go on
// arriving at three quarters of what the callers can do, and some callers lose their calls. No job waits longer than
// the backlog takes, of either priority, and few calls are made twice. Seen on the test bench: with requests that were
// given up and made again while they waited in the queue, and with callers that lost one call every half second,
// stages of lower priority waited for up to 34 s.
func TestTicketsAfterABacklog(t *testing.T) {
	const (
		callers, lostCallers, workers = 24, 4, 60
		backlog, perSecond, seconds   = 100, 30, 15
		// A call takes half a second: the other 20 callers make 40 calls a second, so the backlog takes 2.5 s alone.
		maxWaitMs    ms = 12_000
		maxEndWaitMs ms = 2000
	)
	l := newAdviceLoad(t, callers, lostCallers, workers)
	arrived := map[string]ms{}
	submit := func(now ms) {
		id := fmt.Sprintf("j%04d", len(arrived))
		arrived[id] = now
		l.submit(id, 2*(len(arrived)%2), now)
	}
	begin := ms(1100)
	for range backlog {
		submit(begin)
	}
	jobs := 0
	worst, worstLate := ms(0), ms(0)
	end := begin + seconds*1000
	for now := begin; now < end+3000; now += 10 {
		for now < end && jobs < int(now-begin)*perSecond/1000 {
			jobs++
			submit(now)
		}
		for _, id := range l.round(now) {
			wait := now - arrived[id]
			worst = max(worst, wait)
			if arrived[id] > begin+10_000 {
				worstLate = max(worstLate, wait)
			}
			delete(arrived, id)
			arrived[id+" placed"] = now
		}
	}
	open := 0
	for id := range arrived {
		if !strings.HasSuffix(id, "placed") {
			open++
		}
	}
	t.Logf("longest wait %d ms, of jobs that arrived when the backlog was done %d ms, calls %d for %d jobs", worst, worstLate, l.calls, jobs+backlog)
	assert.Equal(t, open, 0, "jobs without tickets")
	assert.Assert(t, worst <= maxWaitMs, "longest wait %d ms", worst)
	assert.Assert(t, worstLate <= maxEndWaitMs, "wait %d ms after the backlog", worstLate)
	assert.Assert(t, l.calls <= (jobs+backlog)*11/10, "%d calls for %d jobs", l.calls, jobs+backlog)
}

// A request that waits in the queue is sent once, with workers that have capacity when it is sent; it is dropped when
// its job has ended.
func TestQueuedRequestIsBroughtUpToDate(t *testing.T) {
	tests := map[string]struct {
		cancel bool
		want   int
	}{
		"StillNeeded": {false, 1},
		"Cancelled":   {true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newAdviceLoad(t, 0, 0, 3)
			l.submit("a", 0, 1100)
			for now := ms(1100); now < 9000; now += 100 {
				l.round(now) // No process is available.
			}
			assert.Equal(t, l.queue.Len(), 1)
			l.cell.MarkUnlisted("w01")
			if test.cancel {
				l.cell.Cancel("a", 9000)
			}
			l.cell.Schedule(9000, 9000)
			l.queue.Add(l.cell.TakeOrders().AdviceRequests)
			out := l.queue.Assign([]string{"vm"}, func(string) bool { return false }, 0, 9000)
			assert.Equal(t, len(out), test.want)
			if test.want > 0 {
				assert.DeepEqual(t, out[0].Request.Workers, []string{"w00", "w02"})
			}
			assert.Equal(t, l.queue.Len(), 0)
		})
	}
}

// Load: a team sends far more than its weight, so that requests wait for a free caller. Its excess goes after the requests
// of other teams, also of those whose jobs come later. A job that is late keeps its place.
func TestAdviceOfExcessComesLast(t *testing.T) {
	l := newAdviceLoad(t, 3, 0, 12)
	l.cell.SetTeams([]Team{{Name: "hot", Limits: ccquota.Limits{Weight: 1}}, {Name: "other", Limits: ccquota.Limits{Weight: 1}}})
	submit := func(id, team string, now ms) {
		j := testJob(id, 4)
		j.Team, j.Queue.TargetMs = team, 20_000
		j.Queue.Advice = &AdviceConfig{DecideMs: 350, PerWorkerMs: 5, ValidMs: 4000}
		l.cell.AddJob(j, now, now)
	}
	for i := range 20 {
		submit(fmt.Sprintf("hot%02d", i), "hot", 2000)
	}
	submit("tight", "other", 2000)
	l.cell.jobs["tight"].queue.TargetMs = 100 // Late when its turn comes.
	requested := runRound(l.cell, 2000).AdviceRequests
	assert.Equal(t, len(requested), 21)
	l.queue.Add(requested)
	submit("later", "other", 2100)
	l.queue.Add(runRound(l.cell, 2100).AdviceRequests)
	var order []string
	for now := ms(4000); now < 20_000 && len(order) < 21; now += 100 {
		for _, a := range l.queue.Assign(l.vms, func(string) bool { return false }, 0, now) {
			order = append(order, a.Request.Stage.Job)
			l.queue.Complete(a.VM, &AdviceReply{ID: a.Request.ID, Stage: a.Request.Stage}, now)
		}
	}
	position := func(id string) int { return slices.Index(order, id) }
	excess := 0
	for i := range 20 {
		if id := fmt.Sprintf("hot%02d", i); l.cell.jobs[id].excess {
			excess++
			assert.Assert(t, position(id) > position("later"), "%v", order)
		}
	}
	assert.Equal(t, excess, 17)
	assert.Assert(t, position("tight") < position("later"), "%v", order)
	for i := range 20 {
		if id := fmt.Sprintf("hot%02d", i); l.cell.jobs[id].excess {
			assert.Assert(t, position(id) > position("later"), "%v", order)
		}
	}
}

// A new configuration removes the policy service of a queue while requests of its stages are queued, in flight or taken back
// from a caller. The leader crashed at the next call that it assigned.
func TestPolicyServiceIsRemovedBesideRequests(t *testing.T) {
	const (
		priority, workers    = 1, 4
		runMs             ms = 1500
	)
	tests := map[string]struct {
		callers, lost int
		jobs          int
	}{
		"Queued":    {callers: 2, jobs: 30},
		"InFlight":  {callers: 31, jobs: 30},
		"TakenBack": {callers: 31, lost: 31, jobs: 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newAdviceLoad(t, test.callers, test.lost, workers)
			now := ms(2000)
			l.submit("job0", priority, now)
			queue := l.cell.jobs["job0"].spec.Queue
			for i := 1; i < test.jobs; i++ {
				l.submit(fmt.Sprintf("job%d", i), priority, now)
			}
			assert.Equal(t, len(l.startsOf(now)), 0)
			assert.Assert(t, l.calls > 0 && l.calls <= test.jobs)
			without := queue
			without.Advice = nil
			l.cell.SetQueues([]Queue{without})
			callsBefore, started := l.calls, map[TaskID]bool{}
			var running []StartOrder
			for end := now + 6000; now < end; now += 50 {
				for _, o := range l.startsOf(now) {
					started[o.Task] = true
					running = append(running, o)
				}
				for len(running) > 0 && now-running[0].attempt.sentAt >= runMs {
					l.cell.endAttempt(running[0].attempt, EndDone, "", now)
					running = running[1:]
				}
			}
			assert.Equal(t, len(started), test.jobs*4, "all tasks start without the policy service")
			assert.Equal(t, l.calls, callsBefore)
			assert.Equal(t, l.queue.Len(), 0)

			l.cell.SetQueues([]Queue{queue})
			l.lost = map[string]bool{}
			l.submit("next", priority, now)
			var placed []string
			for end := now + 4000; now < end && len(placed) == 0; now += 50 {
				placed = l.round(now)
			}
			assert.DeepEqual(t, placed, []string{"next"})
			assert.Assert(t, l.calls > callsBefore)
		})
	}
}
