package cccell_test

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
	"coriandercross/core/ccruntimes"
	"coriandercross/core/ccwork"
	"coriandercross/core/ccworkersim"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type ms = ccclock.Millis

// leader is a process that leads or believes that it does.
type leader struct {
	cell  *cccell.Cell
	token int64
	// aloneFrom is when the authority of all prior leaders has ended.
	aloneFrom ms
	// writes are in flight to the store.
	writes []cccell.ProgressWrite
	// configVersion is the newest version of the caps that the leader knows.
	configVersion int
}

// lateCall is a call that is executed some time after its sender has given it up.
type lateCall struct {
	at     ms
	worker int
	do     func(now ms)
}

// record is the stored progress of a job.
type record struct {
	progress cccell.Progress
	revision int64
}

// simulation holds workers, a store and leaders, and injects faults between them.
type simulation struct {
	t            *rapid.T
	now          ms
	workers      []*ccworkersim.Worker
	disconnected map[int]bool
	checker      *ccworkersim.Checker
	jobs         map[string]*cccell.Job
	// jobIDs has the IDs of jobs in the order of submission.
	jobIDs    []string
	cancelled map[string]bool
	progress  map[string]record
	// unknownEnds has the stored ends of tasks of unknown jobs.
	unknownEnds map[string]record
	token       int64
	revision    int64
	leaders     []*leader
	lateCalls   []lateCall
	// lateReplies is true when lost replies to polls arrive some time later.
	lateReplies bool
	storeDown   bool
	published   map[string]cccell.State
	faultsOff   bool
	roster      []cccell.WorkerInfo
	longRunning int
	// resizes is true when workers shrink and grow.
	resizes bool
	// sameID is true when the next process of a worker executes orders that were meant for an earlier one.
	sameID bool
	// caps has the versions of the caps of teams, oldest first; it is empty without teams.
	caps []modelCaps
	// unstored has the jobs that a leader runs and that are not stored yet, with the times of their submission; submitted
	// counts them.
	unstored  map[string]ms
	submitted int
	// held has the jobs that processes hold which tell of them in their own time; see modelreports_test.go.
	held map[string]*heldJob
	// lapses is true when registrations lapse in outages of the store and rosters are written late. lapsedUntil has the
	// time until which a worker is not registered.
	lapses      bool
	lapsedUntil map[int]ms
	// rosterAt is when the roster was written last in such a simulation.
	rosterAt ms
	// longTasks is true when tasks run for up to four seconds.
	longTasks bool
	// authorityMs is the time for which a leader may give orders after a confirmation.
	authorityMs ms
	// runTimes is what all leaders learn with, nil for nothing.
	runTimes *ccruntimes.Learner
}

const (
	modelMaxAttempts = 3
	modelLeaseMs     = 3000
	modelMaxLeaseMs  = 6000
	modelAuthorityMs = 2000
	modelWorkers     = 4
	// modelRestartTokens is more than the restarts of a worker in a simulation.
	modelRestartTokens = 255
)

// modelCapacity is the capacity of a worker that has not shrunk.
var modelCapacity = ccwork.Size{MilliCores: 4000, MemoryMB: 4000}

// newSimulation returns a simulation with one leader.
func newSimulation(t *rapid.T, teams bool, runTimes *ccruntimes.Learner) *simulation {
	sim := &simulation{
		t: t, now: 10_000, disconnected: map[int]bool{}, checker: ccworkersim.NewChecker(), jobs: map[string]*cccell.Job{}, cancelled: map[string]bool{},
		progress: map[string]record{}, unknownEnds: map[string]record{}, published: map[string]cccell.State{}, unstored: map[string]ms{}, held: map[string]*heldJob{}, lapsedUntil: map[int]ms{}, authorityMs: modelAuthorityMs, runTimes: runTimes,
	}
	sim.checker.MaxAttempts = modelMaxAttempts
	sim.checker.LongRunning = func(id cccell.TaskID) bool { return sim.jobs[id.Job].Stages[id.Stage].LongRunning }
	sim.checker.DependsOn = func(id cccell.TaskID) []cccell.TaskID {
		var out []cccell.TaskID
		for _, s := range sim.jobs[id.Job].Stages[id.Stage].After {
			for i := 0; i < sim.jobs[id.Job].Stages[s].Count; i++ {
				out = append(out, cccell.TaskID{Job: id.Job, Stage: s, Index: i})
			}
		}
		return out
	}
	for i := range modelWorkers {
		sim.workers = append(sim.workers, &ccworkersim.Worker{
			Info: cccell.WorkerInfo{
				ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("a%d:1", i), Service: "s", Labels: []string{"a", "r-1"}, IncarnationMs: 1000,
				Capacity: modelCapacity,
			},
			MaxLeaseMs: modelMaxLeaseMs, ClockOffset: int64(1_000_000 * i), Rate: 1 - 0.02*float64(i%2), Checker: sim.checker, Plan: sim.plan,
		})
	}
	if teams {
		sim.addTeams()
	}
	sim.takeOver()
	return sim
}

// plan returns the duration, end and size of an attempt. They depend only on the task and the attempt number, so that a
// replay gives the same.
func (sim *simulation) plan(id cccell.TaskID, attempt int64) (ms, cccell.End, ccwork.Size) {
	s := sim.jobs[id.Job].Stages[id.Stage]
	h := uint64(attempt)*2654435761 + uint64(id.Index)*40503
	runMs, end := ms(50+h%700), cccell.EndDone
	if h%9 == 0 {
		end = cccell.EndFailed
	}
	if s.LongRunning && h%5 != 0 {
		runMs = 0
	}
	if sim.longTasks {
		runMs *= 5 // Longer than a change of the leader takes.
	}
	return runMs, end, s.Reserved()
}

// takeOver adds a leader with a new token, which reads the store and the list of workers.
func (sim *simulation) takeOver() {
	if sim.storeDown {
		return
	}
	sim.token += 1 + modelRestartTokens
	sim.revision++
	c := cccell.New(cccell.Config{Token: sim.token, RestartTokens: modelRestartTokens, LeaseMs: modelLeaseMs, MaxLeaseMs: modelMaxLeaseMs, PriorLeaseMs: modelLeaseMs, AuthorityMs: sim.authorityMs, PriorAuthorityMs: sim.authorityMs, RemoteFactor: 2, Log: sim.log(sim.token), PriorUnstored: sim.token > 1+modelRestartTokens, AwaitRoster: sim.lapses, Ended: sim.ended, RunTimes: sim.runTimes}, sim.now)
	l := &leader{cell: c, token: sim.token, aloneFrom: sim.now + sim.authorityMs}
	roster := sim.roster // That of the prior leader, which the new one replaces.
	c.SetRecorded(ids(roster))
	sim.listWorkers(l)
	for _, info := range roster {
		c.AdoptWorker(info, sim.now)
	}
	if !sim.lapses {
		sim.storeRoster(c)
	}
	for _, id := range sim.jobIDs {
		r := sim.progress[id]
		if r.progress.State.Final() {
			continue
		}
		s := cccell.StoredJob{Job: sim.jobs[id], Revision: r.revision, CancelRequested: sim.cancelled[id]}
		if r.revision > 0 {
			s.Progress = &r.progress
		}
		c.Adopt(s, sim.now, sim.now)
	}
	for _, id := range slices.Sorted(maps.Keys(sim.unknownEnds)) {
		if r := sim.unknownEnds[id]; !sim.ended(id) {
			c.AdoptUnknownEnds(id, &r.progress, r.revision, sim.now)
		}
	}
	sim.learnSomeCaps(l)
	sim.leaders = append(sim.leaders, l)
	sim.tellBegun()
}

// ended reports whether the store has a final state of a job.
func (sim *simulation) ended(id string) bool {
	return sim.progress[id].progress.State.Final()
}

// log returns a function that prints the decisions of a leader, or nil unless CELL_MODEL_LOG is set.
func (sim *simulation) log(token int64) func(event string, kv ...any) {
	if os.Getenv("CELL_MODEL_LOG") == "" {
		return nil
	}
	return func(event string, kv ...any) { fmt.Println(sim.now, token, event, kv) }
}

// listWorkers passes the workers that the store lists to a leader.
func (sim *simulation) listWorkers(l *leader) {
	var infos []cccell.WorkerInfo
	for i, x := range sim.workers {
		if x.Up() && sim.now >= sim.lapsedUntil[i] {
			infos = append(infos, x.Info)
		}
	}
	l.cell.SetWorkers(infos, nil, sim.now)
	if l.token == sim.token && !sim.storeDown && !sim.lapses {
		sim.storeRoster(l.cell)
	}
}

// draw draws a number below n.
func (sim *simulation) draw(n int, what string) int {
	return rapid.IntRange(0, n-1).Draw(sim.t, what)
}

// submit submits a job.
func (sim *simulation) submit() {
	if sim.storeDown || len(sim.jobIDs) > 12 {
		return
	}
	id := "j" + strconv.Itoa(len(sim.jobIDs))
	j := &cccell.Job{ID: id, Queue: cccell.Queue{Name: "q", Service: "s", MaxAttempts: modelMaxAttempts, TargetMs: 500, SlackFactor: 1.5}, Spec: "x"}
	size := ccwork.Size{MilliCores: int64(500 * (1 + sim.draw(4, "size"))), MemoryMB: 500}
	if sim.resizes && sim.draw(3, "noMemory") == 0 {
		size.MemoryMB = 0
	}
	j.Stages = []cccell.Stage{{Count: 1 + sim.draw(4, "count"), Size: size, EstimateMs: 300}}
	switch sim.draw(4, "shape") {
	case 0:
		j.Stages = append(j.Stages, cccell.Stage{Count: 2, Size: size, EstimateMs: 300, After: []int{0}})
	case 1:
		if sim.longRunning++; sim.longRunning <= 2 {
			// Few and small, so that capacity is left for the other jobs.
			j.Stages[0].LongRunning, j.Stages[0].MaxPerWorker = true, 2
			j.Stages[0].Count, j.Stages[0].Size.MilliCores = 2, 500
		}
	}
	if len(sim.caps) > 0 && !sim.joinTeam(j) {
		return
	}
	sim.jobs[id] = j
	sim.jobIDs = append(sim.jobIDs, id)
	if sim.draw(3, "notified") > 0 {
		for _, l := range sim.leaders {
			l.cell.AddJob(j, sim.now, sim.now)
		}
	}
}

// reaches reports whether calls reach a worker.
func (sim *simulation) reaches(i int) bool {
	return !sim.disconnected[i]
}

// index returns the index of a worker.
func (sim *simulation) index(id string) int {
	return slices.IndexFunc(sim.workers, func(x *ccworkersim.Worker) bool { return x.Info.ID == id })
}

// call executes a call, or loses the call or its reply, or executes it late.
// late is called with a lost reply some time after that if the simulation has late replies; it may be nil.
func (sim *simulation) call(i int, do func(now ms) cccell.Reply, reply, late func(r cccell.Reply)) {
	fault := 0
	if !sim.faultsOff {
		fault = sim.draw(12, "callFault")
	}
	if os.Getenv("CELL_MODEL_LOG") != "" && fault > 0 {
		fmt.Println(sim.now, "fault", fault, "worker", i)
	}
	lost := cccell.Reply{Outcome: cccell.ReplyLost, Sent: sim.now, Received: sim.now}
	switch {
	case !sim.reaches(i) || fault == 1:
		reply(cccell.Reply{Outcome: cccell.Unsent, Sent: sim.now, Received: sim.now})
	case fault == 2:
		r := do(sim.now)
		reply(lost)
		sim.deliverLate(i, r, late)
	case fault == 3:
		incarnation := sim.workers[i].Info.IncarnationMs
		sim.lateCalls = append(sim.lateCalls, lateCall{at: sim.now + ms(100+sim.draw(12_000, "late")), worker: i, do: func(now ms) {
			if !sim.sameID || sim.workers[i].Info.IncarnationMs == incarnation {
				r := do(now)
				r.Sent = lost.Sent
				sim.deliverLate(i, r, late)
			}
		}})
		reply(lost)
	default:
		reply(do(sim.now))
	}
}

// deliverLate passes a reply to late after up to five seconds, if the simulation has late replies.
func (sim *simulation) deliverLate(i int, r cccell.Reply, late func(r cccell.Reply)) {
	if !sim.lateReplies || late == nil || sim.faultsOff {
		return
	}
	sim.lateCalls = append(sim.lateCalls, lateCall{at: sim.now + ms(sim.draw(5000, "lateReply")), worker: i, do: func(now ms) {
		r.Received = now
		late(r)
	}})
}

// round runs one scheduling round of a leader and executes its orders.
func (sim *simulation) round(l *leader) {
	if l.token == sim.token {
		// Only the newest leader is confirmed, by the store or by all other processes.
		l.cell.ExtendAuthority(sim.now + sim.authorityMs)
	}
	sim.learnCapsInTime(l)
	l.cell.Schedule(sim.now, sim.now)
	out := l.cell.TakeOrders()
	// Orders come from maps. They are sorted, so that a replay applies each draw to the same order.
	slices.SortFunc(out.Starts, func(a, b cccell.StartOrder) int { return cmp.Compare(a.Attempt, b.Attempt) })
	slices.SortFunc(out.Stops, func(a, b cccell.StopOrder) int { return cmp.Compare(a.Attempt, b.Attempt) })
	slices.SortFunc(out.Polls, func(a, b cccell.PollOrder) int {
		return cmp.Or(cmp.Compare(a.WorkerID, b.WorkerID), cmp.Compare(b.WaitMs, a.WaitMs))
	})
	for _, ch := range out.Changes {
		if ch.State.Final() {
			if !sim.ended(ch.Job) {
				// All memory may be lost, and with it a worker that lists an end: the next leader would run the task again.
				sim.checker.Violations = append(sim.checker.Violations, fmt.Sprintf("State: %s published as %s before it is stored", ch.Job, ch.State))
			}
			if old := sim.published[ch.Job]; old != "" && old != ch.State {
				sim.checker.Violations = append(sim.checker.Violations, fmt.Sprintf("State: %s published as %s and as %s", ch.Job, old, ch.State))
			}
			sim.published[ch.Job] = ch.State
		}
	}
	for k := range out.Starts {
		o := &out.Starts[k]
		if l.token == sim.token && sim.published[o.Task.Job].Final() {
			sim.checker.Violations = append(sim.checker.Violations, fmt.Sprintf("Started: %s after it was published as %s", o.Task.Job, sim.published[o.Task.Job]))
		}
		i := sim.index(o.WorkerID)
		sim.call(i, func(now ms) cccell.Reply { return sim.workers[i].Start(o, now) }, func(r cccell.Reply) { l.cell.OnStartReply(o, r, sim.now) }, nil)
	}
	for k := range out.Stops {
		o := &out.Stops[k]
		i := sim.index(o.WorkerID)
		sim.call(i, func(now ms) cccell.Reply { return sim.workers[i].Stop(o, now) }, func(r cccell.Reply) { l.cell.OnStopReply(o, r, sim.now) }, nil)
	}
	for k := range out.Polls {
		o := &out.Polls[k]
		i := sim.index(o.WorkerID)
		lists := &cccell.TaskLists{}
		sim.call(i, func(now ms) cccell.Reply {
			r, listed := sim.workers[i].Poll(o, now)
			lists = listed
			return r
		}, func(r cccell.Reply) { l.cell.OnPollReply(o, r, lists, sim.now) }, func(r cccell.Reply) { l.cell.OnLateReply(o, r, lists, sim.now) })
	}
	sim.writeProgress(l)
}

// writeProgress writes progress records, on condition that the writer is the newest leader and that each record still
// has the revision it knows.
func (sim *simulation) writeProgress(l *leader) {
	if l.writes == nil {
		if l.writes = l.cell.NextWrites(20, sim.now); len(l.writes) == 0 {
			l.writes = nil
			return
		}
	}
	if sim.storeDown || l.token != sim.token {
		return
	}
	found := map[string]int64{}
	same := true
	for _, w := range l.writes {
		found[w.Job] = sim.records(&w)[w.Job].revision
		same = same && found[w.Job] == w.Revision
	}
	if !same {
		// The same write was executed before and its reply was lost, so the store has the records.
		l.cell.OnWritten(l.writes, found[l.writes[0].Job], sim.now)
		l.writes = nil
		return
	}
	sim.revision++
	for _, w := range l.writes {
		sim.records(&w)[w.Job] = record{w.Progress, sim.revision}
		if w.EndsStored && w.Progress.State.Final() {
			delete(sim.unknownEnds, w.Job)
		}
	}
	if !sim.faultsOff && sim.draw(5, "writeLost") == 0 {
		return // Executed, but the reply is lost: the leader tries again.
	}
	l.cell.OnWritten(l.writes, sim.revision, sim.now)
	l.writes = nil
}

// records returns the stored records among which a write belongs.
func (sim *simulation) records(w *cccell.ProgressWrite) map[string]record {
	if w.Unknown {
		return sim.unknownEnds
	}
	return sim.progress
}

// step advances the time and runs a round of each leader.
func (sim *simulation) step(d ms) {
	sim.now += d
	for k := 0; k < len(sim.lateCalls); k++ {
		if sim.lateCalls[k].at <= sim.now {
			do := sim.lateCalls[k].do
			sim.lateCalls = append(sim.lateCalls[:k], sim.lateCalls[k+1:]...)
			k--
			do(sim.now)
		}
	}
	for _, x := range sim.workers {
		x.AdvanceTo(sim.now)
	}
	for k := 0; k < len(sim.leaders); k++ {
		l := sim.leaders[k]
		sim.round(l)
		if l.cell.Deposed() {
			sim.leaders = append(sim.leaders[:k], sim.leaders[k+1:]...)
			k--
		}
	}
}

// resize changes the capacity of a worker, also to nothing or below what runs there. All leaders see its registration
// at once, and calls that are executed late do not reach it, so that no start may exceed the new capacity.
func (sim *simulation) resize(i int) {
	if sim.storeDown {
		return
	}
	sim.workers[i].SetCapacity(ccwork.Size{MilliCores: 500 * int64(sim.draw(9, "cores")), MemoryMB: 500 * int64(sim.draw(9, "memory"))}, sim.now)
	sim.lateCalls = slices.DeleteFunc(sim.lateCalls, func(l lateCall) bool { return l.worker == i })
	for _, l := range sim.leaders {
		sim.listWorkers(l)
	}
}

// injectFault injects one random fault or change.
func (sim *simulation) injectFault() {
	faults := 11
	if sim.resizes {
		faults = 12
	}
	i := sim.draw(modelWorkers, "worker")
	if len(sim.caps) > 0 && sim.draw(5, "changeCaps") == 0 {
		sim.changeCaps()
		return
	}
	switch sim.draw(faults, "fault") {
	case 0:
		sim.workers[i].Crash(sim.now)
	case 1:
		sim.workers[i].Restart(sim.now)
	case 2, 3:
		sim.disconnected[i] = !sim.disconnected[i]
	case 4, 5:
		sim.takeOver()
	case 6:
		if len(sim.leaders) > 1 {
			sim.leaders = sim.leaders[1:]
		}
	case 7:
		sim.storeDown = !sim.storeDown
		sim.lapseSome()
	case 8:
		if len(sim.jobIDs) > 0 && !sim.storeDown {
			id := sim.jobIDs[sim.draw(len(sim.jobIDs), "cancel")]
			sim.cancelled[id] = true
			for _, l := range sim.leaders {
				l.cell.Cancel(id, sim.now)
			}
		}
	case 9:
		for _, l := range sim.leaders {
			if !sim.storeDown {
				sim.listWorkers(l)
			}
		}
	case 10:
		sim.workers[i].Info.Draining = !sim.workers[i].Info.Draining
	case 11:
		sim.resize(i)
	}
}

// heal ends all faults and runs for 40 s, in which every job that is not long-running should end.
func (sim *simulation) heal() {
	sim.faultsOff, sim.storeDown = true, false
	sim.liftCaps()
	sim.disconnected, sim.lapsedUntil = map[int]bool{}, map[int]ms{}
	for _, x := range sim.workers {
		x.Info.Draining = false
		x.SetCapacity(modelCapacity, sim.now)
		if !x.Up() {
			x.Restart(sim.now)
		}
	}
	sim.takeOver()
	for _, id := range slices.Sorted(maps.Keys(sim.unstored)) {
		sim.store(id)
	}
	sim.storeHeld()
	for k := range 400 {
		if k%10 == 0 {
			for _, l := range sim.leaders {
				sim.listWorkers(l)
				for _, id := range sim.jobIDs {
					if !sim.progress[id].progress.State.Final() {
						l.cell.AddJob(sim.jobs[id], sim.now, sim.now)
					}
				}
			}
			if sim.lapses {
				sim.writeRoster()
			}
		}
		sim.step(100)
	}
}

// mayHaveFailed reports whether a task of a job has failed as often as permitted, or several workers have crashed under
// it.
func (sim *simulation) mayHaveFailed(j *cccell.Job) bool {
	for s := range j.Stages {
		if j.Stages[s].Gang && sim.gangFailures(j, s) >= modelMaxAttempts {
			return true
		}
		for i := range j.Stages[s].Count {
			id := cccell.TaskID{Job: j.ID, Stage: s, Index: i}
			if crashes, _ := sim.checker.CrashedUnder(id); crashes >= 2 || (!j.Stages[s].LongRunning && sim.checker.Failures(id) >= modelMaxAttempts) {
				return true
			}
		}
	}
	return false
}

// check fails the test when an invariant was violated.
func (sim *simulation) check() {
	if len(sim.checker.Violations) > 0 {
		sim.t.Fatalf("invariants violated: %v", sim.checker.Violations)
	}
}

// TestCellModel injects random faults while leaders take over from each other. The simulated workers check the
// invariants: no task runs twice at a time, none starts after it was done or before its predecessors, no worker exceeds
// its capacity, no task fails more often than permitted, no job fails without a cause. After the faults end, every job ends,
// except long-running ones, each task of which has exactly one attempt.
func TestCellModel(t *testing.T) {
	rapid.Check(t, modelRun(modelOptions{}))
}

// TestCellModelResizes is TestCellModel with workers that shrink and grow. It is a test of its own, so that the recorded
// seeds of TestCellModel keep their meaning.
func TestCellModelResizes(t *testing.T) {
	rapid.Check(t, modelRun(modelOptions{resizes: true}))
}

// TestCellModelSameID is TestCellModel with workers that keep their identifiers, so that orders reach the next process of a worker
// before the leader knows of it. Orders that are late by seconds don't, and workers shorten leases to those that leaders give:
// a process whose restart is not known may give a longer one (UNPROVED.md).
func TestCellModelSameID(t *testing.T) {
	rapid.Check(t, modelRun(modelOptions{sameID: true}))
}

// TestCellModelLearns is TestCellModel with learned run times.
func TestCellModelLearns(t *testing.T) {
	rapid.Check(t, modelRun(modelOptions{learns: true}))
}

// TestCellModelLateReplies is TestCellModelUnstored with replies to polls that come late, also from an earlier incarnation.
func TestCellModelLateReplies(t *testing.T) {
	rapid.Check(t, modelRun(modelOptions{lateReplies: true, unstored: true}))
}

// TestCellModelLateRepliesSameID is TestCellModelLateReplies with incarnations that share an identifier.
func TestCellModelLateRepliesSameID(t *testing.T) {
	rapid.Check(t, modelRun(modelOptions{lateReplies: true, sameID: true}))
}

// TestCellModelPages is TestCellModel with workers that list one to three ends in a reply. Tasks whose ends were not listed yet were
// started again after a takeover.
func TestCellModelPages(t *testing.T) {
	rapid.Check(t, modelRun(modelOptions{pages: true}))
}

// TestCellModelUnstoredPages is TestCellModelPages with jobs that run before they are stored, and late replies.
func TestCellModelUnstoredPages(t *testing.T) {
	rapid.Check(t, modelRun(modelOptions{pages: true, unstored: true, lateReplies: true}))
}

// modelOptions selects what a simulation has beside its faults.
type modelOptions struct {
	resizes, teams, learns, unstored, sameID, lateReplies, reports, lapses, pages bool
}

// modelRun returns a function that runs one simulation and checks the invariants.
func modelRun(opts modelOptions) func(t *rapid.T) {
	return func(t *rapid.T) {
		var runTimes *ccruntimes.Learner
		if opts.learns {
			runTimes = ccruntimes.New()
		}
		sim := newSimulation(t, opts.teams, runTimes)
		sim.resizes, sim.sameID, sim.lateReplies, sim.lapses = opts.resizes, opts.sameID, opts.lateReplies, opts.lapses
		sim.longTasks = opts.reports || opts.lapses
		if opts.lapses {
			sim.joinLate()
		}
		for _, x := range sim.workers {
			if opts.pages {
				x.EndsPerReply = 1 + sim.draw(3, "endsPerReply")
			}
			if x.SameID = opts.sameID; x.SameID {
				x.MaxLeaseMs = modelLeaseMs
			}
		}
		for range 60 {
			switch sim.draw(4, "action") {
			case 0:
				sim.submit()
			case 1:
				sim.injectFault()
			}
			if opts.unstored {
				if sim.draw(4, "unstored") == 0 {
					sim.submitUnstored()
				}
				sim.storeSome()
			}
			if opts.reports {
				if sim.draw(4, "held") == 0 {
					sim.submitHeld()
				}
				sim.moveHeld()
			}
			if opts.reports || opts.lapses {
				sim.loseLeaders()
			}
			if opts.lapses {
				sim.moveRegistrations()
			}
			sim.step(ms(5 + sim.draw(400, "time")))
			sim.check()
		}
		sim.heal()
		sim.check()
		for _, id := range sim.jobIDs {
			j := sim.jobs[id]
			state := sim.progress[id].progress.State
			switch {
			case sim.cancelled[id]:
				assert.Assert(t, state.Final(), "%s was cancelled and is %q", id, state)
			case state == cccell.Failed:
				if !sim.mayHaveFailed(j) {
					t.Fatalf("%s is published as failed without a cause", id)
				}
			case j.LongRunning():
				for i := 0; i < j.Stages[0].Count; i++ {
					if sim.checker.Live(cccell.TaskID{Job: id, Index: i}) != 1 {
						t.Fatalf("long-running task %d of %s has %d attempts, want 1", i, id, sim.checker.Live(cccell.TaskID{Job: id, Index: i}))
					}
				}
			default:
				if !state.Final() {
					t.Fatalf("%s did not end: %+v", id, sim.progress[id])
				}
				if state == cccell.Completed {
					for s := range j.Stages {
						if j.Stages[s].Gang {
							continue // The end of one member completes it.
						}
						for i := 0; i < j.Stages[s].Count; i++ {
							if !sim.checker.Done(cccell.TaskID{Job: id, Stage: s, Index: i}) {
								t.Fatalf("%s is published as completed without task %d of stage %d", id, i, s)
							}
						}
					}
				}
			}
		}
	}
}
