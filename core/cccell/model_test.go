package cccell_test

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
	"coriandercross/core/ccworkersim"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type ms = ccclock.Millis

// leader is a process that leads, or believes that it does.
type leader struct {
	cell  *cccell.Cell
	token int64
	// notes are on their way to the store.
	notes []cccell.ProgressWrite
}

// late is an order that is carried out some time after its sender has given it up.
type late struct {
	at ms
	do func(now ms)
}

// record is a job's progress in the store.
type record struct {
	progress cccell.Progress
	revision int64
}

// world is workers, a store and leaders, with every kind of trouble between them.
type world struct {
	t        *rapid.T
	now      ms
	workers  []*ccworkersim.Worker
	cut      map[int]bool
	judge    *ccworkersim.Checker
	jobs     map[string]*cccell.Job
	order    []string
	cancels  map[string]bool
	progress map[string]record
	token    int64
	revision int64
	leaders  []*leader
	late     []late
	storeOff bool
	shown    map[string]cccell.State
	calm     bool
	roster   []cccell.WorkerInfo
	lasting  int
}

const (
	modelAttempts  = 3
	modelLeaseMs   = 3000
	modelMaxLease  = 6000
	modelAuthority = 2000
	modelWorkers   = 4
)

// newWorld returns a world with a leader.
func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: 10_000, cut: map[int]bool{}, judge: ccworkersim.NewChecker(), jobs: map[string]*cccell.Job{}, cancels: map[string]bool{},
		progress: map[string]record{}, shown: map[string]cccell.State{},
	}
	w.judge.MaxAttempts = modelAttempts
	w.judge.LongRunning = func(id cccell.TaskID) bool { return w.jobs[id.Job].Stages[id.Stage].LongRunning }
	w.judge.DependsOn = func(id cccell.TaskID) []cccell.TaskID {
		var out []cccell.TaskID
		for _, s := range w.jobs[id.Job].Stages[id.Stage].After {
			for i := 0; i < w.jobs[id.Job].Stages[s].Count; i++ {
				out = append(out, cccell.TaskID{Job: id.Job, Stage: s, Index: i})
			}
		}
		return out
	}
	for i := range modelWorkers {
		w.workers = append(w.workers, &ccworkersim.Worker{
			Info: cccell.WorkerInfo{
				ID: fmt.Sprintf("w%d", i), Address: "a:1", Service: "s", Labels: []string{"a", "r-1"}, IncarnationMs: 1000,
				Capacity: ccwork.Size{MilliCores: 4000, MemoryMB: 4000},
			},
			MaxLeaseMs: modelMaxLease, ClockOffset: int64(1_000_000 * i), Rate: 1 - 0.02*float64(i%2), Checker: w.judge, Plan: w.plan,
		})
	}
	w.takeOver()
	return w
}

// plan draws how a run goes, the same for the same attempt.
func (w *world) plan(id cccell.TaskID, attempt int64) (ms, cccell.End, ccwork.Size) {
	s := w.jobs[id.Job].Stages[id.Stage]
	h := uint64(attempt)*2654435761 + uint64(id.Index)*40503
	runMs, end := ms(50+h%700), cccell.EndDone
	if h%9 == 0 {
		end = cccell.EndFailed
	}
	if s.LongRunning && h%5 != 0 {
		runMs = 0
	}
	return runMs, end, s.Size
}

// takeOver lets another process lead: it reads the store and the workers' entries.
func (w *world) takeOver() {
	if w.storeOff {
		return
	}
	w.token++
	w.revision++
	c := cccell.New(cccell.Config{Token: w.token, LeaseMs: modelLeaseMs, PriorLeaseMs: modelLeaseMs, AuthorityMs: modelAuthority, PriorAuthorityMs: modelAuthority, RemoteFactor: 2, Log: w.log(w.token)}, w.now)
	l := &leader{cell: c, token: w.token}
	w.list(l)
	for _, info := range w.roster {
		c.AddUnlistedWorker(info, w.now)
	}
	for _, id := range w.order {
		r := w.progress[id]
		if r.progress.State.Final() {
			continue
		}
		s := cccell.StoredJob{Job: w.jobs[id], Revision: r.revision, CancelRequested: w.cancels[id]}
		if r.revision > 0 {
			s.Progress = &r.progress
		}
		c.Adopt(s, w.now, w.now)
	}
	w.leaders = append(w.leaders, l)
}

// log returns where a leader tells its decisions: nowhere unless the environment asks for it.
func (w *world) log(token int64) func(event string, kv ...any) {
	if os.Getenv("CELL_MODEL_LOG") == "" {
		return nil
	}
	return func(event string, kv ...any) { fmt.Println(w.now, token, event, kv) }
}

// list tells a leader which workers the store lists.
func (w *world) list(l *leader) {
	var infos []cccell.WorkerInfo
	for _, x := range w.workers {
		if x.Up() {
			infos = append(infos, x.Info)
		}
	}
	l.cell.SetWorkers(infos, w.now)
	if l.token == w.token && !w.storeOff {
		w.roster = l.cell.Roster()
	}
}

// draw draws one of n.
func (w *world) draw(n int, what string) int {
	return rapid.IntRange(0, n-1).Draw(w.t, what)
}

// submit hands in a job.
func (w *world) submit() {
	if w.storeOff || len(w.order) > 12 {
		return
	}
	id := "j" + strconv.Itoa(len(w.order))
	j := &cccell.Job{ID: id, Queue: cccell.Queue{Name: "q", Service: "s", MaxAttempts: modelAttempts, TargetMs: 500, SlackFactor: 1.5}, Spec: "x"}
	size := ccwork.Size{MilliCores: int64(500 * (1 + w.draw(4, "size"))), MemoryMB: 500}
	j.Stages = []cccell.Stage{{Count: 1 + w.draw(4, "count"), Size: size, EstimateMs: 300}}
	switch w.draw(4, "shape") {
	case 0:
		j.Stages = append(j.Stages, cccell.Stage{Count: 2, Size: size, EstimateMs: 300, After: []int{0}})
	case 1:
		if w.lasting++; w.lasting <= 2 {
			// Few and small, so that there is room for all the rest.
			j.Stages[0].LongRunning, j.Stages[0].MaxPerWorker = true, 2
			j.Stages[0].Count, j.Stages[0].Size.MilliCores = 2, 500
		}
	}
	w.jobs[id] = j
	w.order = append(w.order, id)
	if w.draw(3, "told") > 0 {
		for _, l := range w.leaders {
			l.cell.AddJob(j, w.now, w.now)
		}
	}
}

// reaches reports whether calls reach a worker.
func (w *world) reaches(i int) bool {
	return !w.cut[i]
}

// index returns the place of a worker.
func (w *world) index(id string) int {
	return slices.IndexFunc(w.workers, func(x *ccworkersim.Worker) bool { return x.Info.ID == id })
}

// call carries out a call, or loses it, or its answer, or carries it out later.
func (w *world) call(i int, do func(now ms) cccell.Reply, answer func(r cccell.Reply)) {
	fate := 0
	if !w.calm {
		fate = w.draw(12, "fate")
	}
	if os.Getenv("CELL_MODEL_LOG") != "" && fate > 0 {
		fmt.Println(w.now, "fate", fate, "worker", i)
	}
	lost := cccell.Reply{Outcome: cccell.ReplyLost, Sent: w.now, Received: w.now}
	switch {
	case !w.reaches(i) || fate == 1:
		answer(cccell.Reply{Outcome: cccell.Unsent, Sent: w.now, Received: w.now})
	case fate == 2:
		do(w.now)
		answer(lost)
	case fate == 3:
		w.late = append(w.late, late{at: w.now + ms(100+w.draw(12_000, "late")), do: func(now ms) { do(now) }})
		answer(lost)
	default:
		answer(do(w.now))
	}
}

// round lets a leader decide, and carries out its orders.
func (w *world) round(l *leader) {
	if l.token == w.token {
		// The record, or all others, confirm the newest leader only.
		l.cell.ExtendAuthority(w.now + modelAuthority)
	}
	l.cell.Schedule(w.now, w.now)
	out := l.cell.TakeOrders()
	// The same draws must meet the same orders.
	slices.SortFunc(out.Starts, func(a, b cccell.StartOrder) int { return cmp.Compare(a.Attempt, b.Attempt) })
	slices.SortFunc(out.Stops, func(a, b cccell.StopOrder) int { return cmp.Compare(a.Attempt, b.Attempt) })
	slices.SortFunc(out.Polls, func(a, b cccell.PollOrder) int {
		return cmp.Or(cmp.Compare(a.WorkerID, b.WorkerID), cmp.Compare(b.WaitMs, a.WaitMs))
	})
	for _, ch := range out.Changes {
		if ch.State.Final() {
			if old := w.shown[ch.Job]; old != "" && old != ch.State {
				w.judge.Violations = append(w.judge.Violations, fmt.Sprintf("State: %s shown as %s and %s", ch.Job, old, ch.State))
			}
			w.shown[ch.Job] = ch.State
		}
	}
	for k := range out.Starts {
		o := &out.Starts[k]
		i := w.index(o.WorkerID)
		w.call(i, func(now ms) cccell.Reply { return w.workers[i].Start(o, now) }, func(r cccell.Reply) { l.cell.OnStartReply(o, r, w.now) })
	}
	for k := range out.Stops {
		o := &out.Stops[k]
		i := w.index(o.WorkerID)
		w.call(i, func(now ms) cccell.Reply { return w.workers[i].Stop(o, now) }, func(r cccell.Reply) { l.cell.OnStopReply(o, r, w.now) })
	}
	for k := range out.Polls {
		o := &out.Polls[k]
		i := w.index(o.WorkerID)
		lists := &cccell.TaskLists{}
		w.call(i, func(now ms) cccell.Reply {
			r, read := w.workers[i].Poll(o, now)
			lists = read
			return r
		}, func(r cccell.Reply) { l.cell.OnPollReply(o, r, lists, w.now) })
	}
	w.note(l)
}

// note writes progress: under the condition that the writer leads and that the record is the one that it knows.
func (w *world) note(l *leader) {
	if l.notes == nil {
		if l.notes = l.cell.NextWrites(20, w.now); len(l.notes) == 0 {
			l.notes = nil
			return
		}
	}
	if w.storeOff || l.token != w.token {
		return
	}
	found := map[string]int64{}
	same := true
	for _, n := range l.notes {
		found[n.Job] = w.progress[n.Job].revision
		same = same && found[n.Job] == n.Revision
	}
	if !same {
		// An earlier try was carried out: what is there is what was written.
		l.cell.OnWritten(l.notes, found[l.notes[0].Job], w.now)
		l.notes = nil
		return
	}
	w.revision++
	for _, n := range l.notes {
		w.progress[n.Job] = record{n.Progress, w.revision}
	}
	if !w.calm && w.draw(5, "noteLost") == 0 {
		return // Written, but the answer is lost: the leader tries again.
	}
	l.cell.OnWritten(l.notes, w.revision, w.now)
	l.notes = nil
}

// step lets time pass.
func (w *world) step(d ms) {
	w.now += d
	for k := 0; k < len(w.late); k++ {
		if w.late[k].at <= w.now {
			do := w.late[k].do
			w.late = append(w.late[:k], w.late[k+1:]...)
			k--
			do(w.now)
		}
	}
	for _, x := range w.workers {
		x.AdvanceTo(w.now)
	}
	for k := 0; k < len(w.leaders); k++ {
		l := w.leaders[k]
		w.round(l)
		if l.cell.Deposed() {
			w.leaders = append(w.leaders[:k], w.leaders[k+1:]...)
			k--
		}
	}
}

// trouble does something to the world.
func (w *world) trouble() {
	i := w.draw(modelWorkers, "worker")
	switch w.draw(11, "trouble") {
	case 0:
		w.workers[i].Crash(w.now)
	case 1:
		w.workers[i].Restart(w.now)
	case 2, 3:
		w.cut[i] = !w.cut[i]
	case 4, 5:
		w.takeOver()
	case 6:
		if len(w.leaders) > 1 {
			w.leaders = w.leaders[1:]
		}
	case 7:
		w.storeOff = !w.storeOff
	case 8:
		if len(w.order) > 0 && !w.storeOff {
			id := w.order[w.draw(len(w.order), "cancel")]
			w.cancels[id] = true
			for _, l := range w.leaders {
				l.cell.Cancel(id, w.now)
			}
		}
	case 9:
		for _, l := range w.leaders {
			if !w.storeOff {
				w.list(l)
			}
		}
	case 10:
		w.workers[i].Info.Draining = !w.workers[i].Info.Draining
	}
}

// heal ends all trouble and lets everything come to its end.
func (w *world) heal() {
	w.calm, w.storeOff = true, false
	w.cut = map[int]bool{}
	for _, x := range w.workers {
		x.Info.Draining = false
		if !x.Up() {
			x.Restart(w.now)
		}
	}
	w.takeOver()
	for k := range 400 {
		if k%10 == 0 {
			for _, l := range w.leaders {
				w.list(l)
				for _, id := range w.order {
					if !w.progress[id].progress.State.Final() {
						l.cell.AddJob(w.jobs[id], w.now, w.now)
					}
				}
			}
		}
		w.step(100)
	}
}

// check fails when a promise was broken.
func (w *world) check() {
	if len(w.judge.Violations) > 0 {
		w.t.Fatalf("broken: %v", w.judge.Violations)
	}
}

// TestCellModel plays random troubles against leaders that come and go. Workers judge: no task twice, none after it was done,
// none before its turn, no worker over its room, no more failures than permitted; and when the trouble ends, every job ends.
func TestCellModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 60 {
			switch w.draw(4, "what") {
			case 0:
				w.submit()
			case 1:
				w.trouble()
			}
			w.step(ms(5 + w.draw(400, "time")))
			w.check()
		}
		w.heal()
		w.check()
		for _, id := range w.order {
			j := w.jobs[id]
			state := w.progress[id].progress.State
			switch {
			case w.cancels[id]:
				assert.Assert(t, state.Final(), "%s was cancelled and is %q", id, state)
			case j.LongRunning():
				for i := 0; i < j.Stages[0].Count; i++ {
					if w.judge.Live(cccell.TaskID{Job: id, Index: i}) != 1 {
						t.Fatalf("task %d of %s lasts and has %d attempts", i, id, w.judge.Live(cccell.TaskID{Job: id, Index: i}))
					}
				}
			default:
				if !state.Final() {
					t.Fatalf("%s did not end: %+v", id, w.progress[id])
				}
				if state == cccell.Completed {
					for s := range j.Stages {
						for i := 0; i < j.Stages[s].Count; i++ {
							if !w.judge.Done(cccell.TaskID{Job: id, Stage: s, Index: i}) {
								t.Fatalf("%s is shown as completed without task %d of stage %d", id, i, s)
							}
						}
					}
				}
			}
		}
	})
}
