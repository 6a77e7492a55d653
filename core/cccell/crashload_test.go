package cccell_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"
	"coriandercross/core/ccworkersim"

	"gotest.tools/v3/assert"
)

const (
	// crashStepMs is the time between two scheduling rounds, crashBackMs the time after which a crashed worker is back,
	// and crashUnlistedMs that after which its registration is removed.
	crashStepMs     ms = 20
	crashBackMs     ms = 3300
	crashUnlistedMs ms = 3800
	crashWorkers       = 12
)

// crashLoad is a leader with workers that can crash, be cut off and come back, under a load of short jobs.
type crashLoad struct {
	t       *testing.T
	now     ms
	cell    *cccell.Cell
	token   int64
	workers []*ccworkersim.Worker
	// reached is false for the workers that are cut off.
	reached map[string]bool
	// crashAt, backAt and unlistAt hold the times of what is to happen, by worker ID.
	crashAt, backAt, unlistAt map[string]ms
	// sameID is true when a crashed worker comes back under the ID that it had.
	sameID bool
	// backAfterMs is the time after which a crashed worker is back.
	backAfterMs ms
	// deadly returns whether a task crashes its worker, and after which time.
	deadly func(id cccell.TaskID) (ms, bool)
	jobs   map[string]*cccell.Job
	stored map[string]cccell.StoredJob
	states map[string]cccell.State
	// excess holds the jobs beyond their teams' budgets, nil if the test has no teams.
	excess map[string]bool
	// stepMs is the time between two rounds, crashStepMs if it is 0.
	stepMs ms
	// advise gets the requests to the policy service, once in each round; nil if no queue has one.
	advise func([]cccell.AdviceRequest)
	// crashes counts the workers that a task has crashed, and startsAfter its starts after the third of them.
	crashes, startsAfter map[cccell.TaskID]int
	seq                  int
}

// newCrashLoad returns a load with a leader that has polled its workers.
func newCrashLoad(t *testing.T) *crashLoad {
	l := &crashLoad{
		t: t, now: 10_000, reached: map[string]bool{}, crashAt: map[string]ms{}, backAt: map[string]ms{}, unlistAt: map[string]ms{}, backAfterMs: crashBackMs,
		deadly: func(cccell.TaskID) (ms, bool) { return 0, false },
		jobs:   map[string]*cccell.Job{}, stored: map[string]cccell.StoredJob{}, states: map[string]cccell.State{},
		crashes: map[cccell.TaskID]int{}, startsAfter: map[cccell.TaskID]int{},
	}
	for i := range crashWorkers {
		l.addWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("10.0.0.%d:1", i))
	}
	l.replaceLeader()
	l.run(6000, nil)
	return l
}

func (l *crashLoad) addWorker(id, address string) {
	w := &ccworkersim.Worker{
		Info: cccell.WorkerInfo{
			ID: id, Address: address, Service: "s", Labels: []string{"a", "r-" + id[1:2]}, IncarnationMs: int64(l.now),
			Capacity: ccwork.Size{MilliCores: 16_000, MemoryMB: 64_000},
		},
		MaxLeaseMs: 6000, Plan: l.plan, Checker: ccworkersim.NewChecker(),
	}
	w.Checker.MaxAttempts = 1 << 30
	w.Checker.LongRunning = func(cccell.TaskID) bool { return true }
	w.Checker.DependsOn = func(cccell.TaskID) []cccell.TaskID { return nil }
	l.workers = append(l.workers, w)
	l.reached[id] = true
	if l.cell != nil {
		l.cell.SetWorker(w.Info, l.now)
	}
}

// plan returns the run time of an attempt, its end and its size.
func (l *crashLoad) plan(id cccell.TaskID, _ int64) (ms, cccell.End, ccwork.Size) {
	s := &l.jobs[id.Job].Stages[id.Stage]
	if s.LongRunning {
		return 0, cccell.EndDone, s.Size
	}
	if s.Gang && id.Job == "deadly" {
		return 100, cccell.EndBroken, s.Size
	}
	return ms(s.EstimateMs), cccell.EndDone, s.Size
}

// replaceLeader ends the term of the leader. The next one reads the jobs and their progress.
func (l *crashLoad) replaceLeader() {
	l.token++
	l.cell = cccell.New(cccell.Config{Token: l.token, LeaseMs: 4000, PriorLeaseMs: 4000, AuthorityMs: 700, PriorAuthorityMs: 700, RemoteFactor: 2}, l.now)
	l.cell.SetHandover(l.now)
	for _, w := range l.workers {
		if _, gone := l.unlistAt[w.Info.ID]; w.Up() || gone {
			l.cell.SetWorker(w.Info, l.now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.stored)) {
		if s := l.stored[id]; s.Progress == nil || !s.Progress.State.Final() {
			l.cell.Adopt(s, l.now, l.now)
		}
	}
}

// submit submits a job.
func (l *crashLoad) submit(j *cccell.Job) {
	j.Queue = cccell.Queue{Name: "q", Service: "s", MaxAttempts: 3, TargetMs: 500, SlackFactor: 1.5}
	l.jobs[j.ID], l.stored[j.ID] = j, cccell.StoredJob{Job: j}
	l.cell.AddJob(j, l.now, l.now)
}

// submitInnocent submits a job that could be done.
func (l *crashLoad) submitInnocent() {
	l.seq++
	l.submit(&cccell.Job{ID: fmt.Sprintf("innocent%04d", l.seq), Stages: []cccell.Stage{{Count: 5, Size: ccwork.Size{MilliCores: 1500, MemoryMB: 3000}, EstimateMs: int64(300 + 400*(l.seq%3))}}})
}

// crash ends the process of a worker.
func (l *crashLoad) crash(w *ccworkersim.Worker) {
	id := w.Info.ID
	delete(l.crashAt, id)
	if !w.Up() {
		return
	}
	w.Crash(l.now)
	l.backAt[id] = l.now + l.backAfterMs
	if !l.sameID {
		l.unlistAt[id] = l.now + crashUnlistedMs
	}
}

// run plays a time, with a job that could be done each 100 ms; each is called before each round.
func (l *crashLoad) run(forMs ms, each func()) {
	for until := l.now + forMs; l.now < until; l.now += max(l.stepMs, crashStepMs) {
		if each != nil {
			each()
		}
		l.runWorkers()
		l.cell.ExtendAuthority(l.now + 700)
		l.cell.Schedule(l.now, l.now)
		out := l.cell.TakeOrders()
		l.execute(&out)
		l.write()
	}
}

// runWorkers crashes, restarts and unlists the workers for which that is due.
func (l *crashLoad) runWorkers() {
	for _, w := range slices.Clone(l.workers) {
		id := w.Info.ID
		if at, ok := l.crashAt[id]; ok && at <= l.now {
			l.crash(w)
		}
		if at, ok := l.unlistAt[id]; ok && at <= l.now {
			delete(l.unlistAt, id)
			l.cell.MarkUnlisted(id)
		}
		if at, ok := l.backAt[id]; ok && at <= l.now {
			delete(l.backAt, id)
			if l.sameID {
				w.Restart(l.now)
				l.cell.SetWorker(w.Info, l.now)
			} else {
				l.seq++
				l.addWorker(fmt.Sprintf("%s-%d", id[:3], l.seq), w.Info.Address)
			}
		}
	}
}

// worker returns the worker with an ID.
func (l *crashLoad) worker(id string) *ccworkersim.Worker {
	return l.workers[slices.IndexFunc(l.workers, func(w *ccworkersim.Worker) bool { return w.Info.ID == id })]
}

// execute executes orders.
func (l *crashLoad) execute(out *cccell.Orders) {
	lost := cccell.Reply{Outcome: cccell.ReplyLost, Sent: l.now, Received: l.now}
	for i := range out.Starts {
		o := &out.Starts[i]
		w := l.worker(o.WorkerID)
		if !l.reached[o.WorkerID] {
			l.cell.OnStartReply(o, lost, l.now)
			continue
		}
		up := w.Up()
		reply := w.Start(o, l.now)
		if up && reply.Outcome == cccell.Executed {
			reply = l.started(w, o, reply)
		}
		l.cell.OnStartReply(o, reply, l.now)
	}
	for i := range out.Stops {
		o := &out.Stops[i]
		reply := lost
		if l.reached[o.WorkerID] {
			reply = l.worker(o.WorkerID).Stop(o, l.now)
		}
		l.cell.OnStopReply(o, reply, l.now)
	}
	slices.SortStableFunc(out.Polls, func(a, b cccell.PollOrder) int { return strings.Compare(a.WorkerID, b.WorkerID) }) // A play repeats.
	for i := range out.Polls {
		o := &out.Polls[i]
		reply, lists := lost, &cccell.TaskLists{}
		if l.reached[o.WorkerID] {
			reply, lists = l.worker(o.WorkerID).Poll(o, l.now)
		}
		l.cell.OnPollReply(o, reply, lists, l.now)
	}
	if l.advise != nil {
		l.advise(out.AdviceRequests)
	}
	for _, c := range out.Changes {
		l.states[c.Job] = c.State
		if c.Excess {
			l.excess[c.Job] = true
		}
	}
}

// started crashes the worker of a deadly task, at once or later, and returns the reply to its start.
func (l *crashLoad) started(w *ccworkersim.Worker, o *cccell.StartOrder, reply cccell.Reply) cccell.Reply {
	after, deadly := l.deadly(o.Task)
	if !deadly {
		return reply
	}
	if l.crashes[o.Task] >= 3 {
		l.startsAfter[o.Task]++
	}
	l.crashes[o.Task]++
	if after == 0 {
		l.crash(w)
		return cccell.Reply{Outcome: cccell.ReplyLost, Sent: l.now, Received: l.now}
	}
	if _, due := l.crashAt[o.WorkerID]; !due {
		l.crashAt[o.WorkerID] = l.now + after
	}
	return reply
}

// write writes the progress of jobs.
func (l *crashLoad) write() {
	writes := l.cell.NextWrites(1000, l.now)
	for i := range writes {
		s := l.stored[writes[i].Job]
		s.Progress, s.Revision = &writes[i].Progress, int64(l.now)
		l.stored[writes[i].Job] = s
	}
	l.cell.OnWritten(writes, int64(l.now), l.now)
}

// assertInnocentCompleted fails the test unless every job that could be done has completed.
func (l *crashLoad) assertInnocentCompleted() {
	l.t.Helper()
	for id, j := range l.jobs {
		if id[:4] == "inno" && !j.LongRunning() {
			assert.Equal(l.t, l.states[id], cccell.Completed, id)
		}
	}
}

// listed returns the workers that are registered in the store.
func (l *crashLoad) listed() []cccell.WorkerInfo {
	var out []cccell.WorkerInfo
	for _, w := range l.workers {
		if _, gone := l.unlistAt[w.Info.ID]; w.Up() || gone {
			out = append(out, w.Info)
		}
	}
	return out
}
