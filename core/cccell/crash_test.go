package cccell_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"
	"coriandercross/core/ccworkersim"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// A task crashes each worker that starts it. It is given up, and the jobs beside it are done. Seen on the test bench: it
// was started on worker after worker, 14 in a day.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	size := ccwork.Size{MilliCores: 1500, MemoryMB: 3000}
	one := []cccell.Stage{{Count: 6, Size: size, EstimateMs: 500}}
	tests := map[string]struct {
		stages []cccell.Stage
		// stage and index are those of the deadly task; an index of -1 stands for all tasks.
		stage, index int
		crashAfterMs ms
		sameID       bool
		backAfterMs  ms
		// replaceLeaderEachMs is the time between two changes of the leader, 0 for none.
		replaceLeaderEachMs ms
	}{
		"NewID":              {stages: one, index: 2, crashAfterMs: 20},
		"SameID":             {stages: one, index: 2, crashAfterMs: 20, sameID: true},
		"ReplyLost":          {stages: one, index: 2},
		"ReplyLostSameID":    {stages: one, index: 2, sameID: true},
		"AllTasks":           {stages: one, index: -1, crashAfterMs: 20},
		"AfterSomeTime":      {stages: one, index: 2, crashAfterMs: 400},
		"BackAfterTheLeases": {stages: one, index: 2, crashAfterMs: 20, backAfterMs: 6500},
		"LeaderReplaced":     {stages: one, index: 2, crashAfterMs: 20, replaceLeaderEachMs: 7000},
		"SecondStage":        {stages: []cccell.Stage{one[0], {Count: 6, Size: size, EstimateMs: 500, After: []int{0}}}, stage: 1, index: 0, crashAfterMs: 20},
		"LongRunning":        {stages: []cccell.Stage{{Count: 6, Size: size, LongRunning: true}}, index: 1, crashAfterMs: 20},
		"Gang":               {stages: []cccell.Stage{{Count: 6, Size: size, EstimateMs: 500, Gang: true}}, index: 1, crashAfterMs: 20},
		"GangOfAll":          {stages: []cccell.Stage{{Count: 6, Size: size, EstimateMs: 500, Gang: true}}, index: -1, crashAfterMs: 20},
		"Speculative":        {stages: []cccell.Stage{{Count: 6, Size: size, EstimateMs: 500, Speculative: true}}, index: 2, crashAfterMs: 300},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newCrashLoad(t)
			l.sameID = test.sameID
			if test.backAfterMs > 0 {
				l.backAfterMs = test.backAfterMs
			}
			l.deadly = func(id cccell.TaskID) (ms, bool) {
				return test.crashAfterMs, id.Job == "deadly" && id.Stage == test.stage && (test.index < 0 || id.Index == test.index)
			}
			began, replacedAt := l.now, l.now+2500
			l.run(40_000, func() {
				if l.now == began+1000 {
					l.submit(&cccell.Job{ID: "deadly", Stages: test.stages})
				}
				if (l.now-began)%100 == 0 && l.now < began+20_000 {
					l.submitInnocent()
				}
				if test.replaceLeaderEachMs > 0 && l.now >= replacedAt {
					replacedAt += test.replaceLeaderEachMs
					l.replaceLeader()
				}
			})
			assert.Equal(t, l.states["deadly"], cccell.Failed, "crashes: %v", l.crashes)
			for id, n := range l.startsAfter {
				assert.Assert(t, n < 3, "%v started %d times more after three crashes", id, n)
			}
			l.assertInnocentCompleted()
		})
	}
}

// Workers are lost for reasons that are not the fault of a task. No job is given up, and all are done.
func TestJobsSurviveCrashesOfOtherCauses(t *testing.T) {
	tests := map[string]struct {
		// fault is called for each worker of the first ten, three times, 5 s apart.
		fault  func(l *crashLoad, w *ccworkersim.Worker)
		sameID bool
	}{
		"PowerLost":       {fault: func(l *crashLoad, w *ccworkersim.Worker) { l.crash(w) }},
		"PowerLostSameID": {fault: func(l *crashLoad, w *ccworkersim.Worker) { l.crash(w) }, sameID: true},
		"CutOff":          {fault: func(l *crashLoad, w *ccworkersim.Worker) { l.reached[w.Info.ID] = false }},
		"CutOffUnlisted": {fault: func(l *crashLoad, w *ccworkersim.Worker) {
			l.reached[w.Info.ID] = false
			l.cell.MarkUnlisted(w.Info.ID)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newCrashLoad(t)
			l.sameID = test.sameID
			began := l.now
			l.submit(&cccell.Job{ID: "innocent-lasting", Stages: []cccell.Stage{{Count: 8, Size: ccwork.Size{MilliCores: 1000, MemoryMB: 1000}, LongRunning: true}}})
			l.submit(&cccell.Job{ID: "innocent-long", Stages: []cccell.Stage{{Count: 8, Size: ccwork.Size{MilliCores: 1000, MemoryMB: 1000}, EstimateMs: 6000}}})
			l.run(50_000, func() {
				if (l.now-began)%100 == 0 && l.now < began+20_000 {
					l.submitInnocent()
				}
				at := l.now - began - 2000
				if at >= 0 && at < 15_000 && at%5000 == 0 {
					for _, w := range l.workers[:10] {
						test.fault(l, w)
					}
				}
				if at >= 0 && at%5000 == 4800 {
					for _, w := range l.workers {
						l.reached[w.Info.ID] = true
						l.cell.SetWorkers(l.listed(), nil, l.now)
					}
				}
			})
			l.assertInnocentCompleted()
			assert.Equal(t, l.states["innocent-lasting"], cccell.Running)
		})
	}
}

// The workers of one task are lost again and again for reasons that are not its fault. Its job is not given up.
func TestTaskIsNotBlamedForLostWorkers(t *testing.T) {
	size := ccwork.Size{MilliCores: 1000, MemoryMB: 1000}
	cutOff := func(unlisted bool) func(l *crashLoad, w *ccworkersim.Worker) {
		return func(l *crashLoad, w *ccworkersim.Worker) {
			l.reached[w.Info.ID] = false
			if unlisted {
				l.cell.MarkUnlisted(w.Info.ID)
			}
		}
	}
	crash := func(l *crashLoad, w *ccworkersim.Worker) { l.crash(w) }
	tests := map[string]struct {
		stage cccell.Stage
		// fault is called once the task has run for ranMs on a worker, six times; after is called 6 s later. staysLost is true
		// when the workers are not reached again, and the last one crashes in place of the fault.
		ranMs        ms
		fault, after func(l *crashLoad, w *ccworkersim.Worker)
		staysLost    bool
	}{
		"CutOff":              {stage: cccell.Stage{EstimateMs: 30_000}, ranMs: 200, fault: cutOff(false)},
		"CutOffUnlisted":      {stage: cccell.Stage{EstimateMs: 30_000}, ranMs: 200, fault: cutOff(true)},
		"CutOffThenCrashed":   {stage: cccell.Stage{EstimateMs: 30_000}, ranMs: 200, fault: cutOff(true), after: crash},
		"CrashAfterCutOffs":   {stage: cccell.Stage{EstimateMs: 30_000}, ranMs: 200, fault: cutOff(true), staysLost: true},
		"LongRunningAtWork":   {stage: cccell.Stage{LongRunning: true}, ranMs: 3000, fault: crash},
		"LongRunningCutOff":   {stage: cccell.Stage{LongRunning: true}, ranMs: 200, fault: cutOff(true)},
		"GangMembersOfCutOff": {stage: cccell.Stage{EstimateMs: 30_000, Gang: true, Count: 3, MaxPerWorker: 1}, ranMs: 200, fault: cutOff(true)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newCrashLoad(t)
			stage := test.stage
			stage.Size, stage.Count = size, max(stage.Count, 1)
			l.submit(&cccell.Job{ID: "innocent", Stages: []cccell.Stage{stage}})
			faults, healAt := 0, ms(0)
			var faulty *ccworkersim.Worker
			l.run(110_000, func() {
				if faulty != nil && l.now >= healAt {
					if faulty.Up() && !test.staysLost {
						l.reached[faulty.Info.ID] = true
						l.cell.SetWorker(faulty.Info, l.now)
					}
					if test.after != nil && l.now >= healAt+500 {
						test.after(l, faulty)
					}
					if l.now >= healAt+500 {
						faulty = nil
					}
					return
				}
				if faulty != nil || faults == 6 {
					return
				}
				for _, w := range l.workers {
					if a, ok := w.Oldest(); ok && l.reached[w.Info.ID] && w.Up() && l.now-a.StartedAt >= test.ranMs {
						faults++
						faulty, healAt = w, l.now+5500
						if faults == 6 && test.staysLost {
							l.crash(w)
							return
						}
						test.fault(l, w)
						return
					}
				}
			})
			assert.Equal(t, faults, 6)
			want := cccell.Completed
			if stage.LongRunning {
				want = cccell.Running
			}
			assert.Equal(t, l.states["innocent"], want)
		})
	}
}

// A worker of each member of a gang crashed once. The crashes were added up, and the job failed.
func TestCrashesOfGangMembersAreCountedApart(t *testing.T) {
	for name, ranMs := range map[string]ms{"JustStarted": 300, "RanForLong": 3000} {
		t.Run(name, func(t *testing.T) {
			l := newCrashLoad(t)
			stage := cccell.Stage{Count: 4, Gang: true, MaxPerWorker: 1, Size: ccwork.Size{MilliCores: 1000, MemoryMB: 1000}, EstimateMs: 30_000}
			l.submit(&cccell.Job{ID: "innocent", Stages: []cccell.Stage{stage}})
			member, nextAt := 0, ms(0)
			l.run(60_000, func() {
				if member == 4 || l.now < nextAt {
					return
				}
				for _, w := range l.workers {
					if a, ok := w.Oldest(); ok && w.Up() && a.Task.Index == member && l.now-a.StartedAt >= ranMs {
						member++
						nextAt = l.now + 6000
						l.crash(w)
						return
					}
				}
			})
			assert.Equal(t, member, 4)
			assert.Assert(t, l.states["innocent"] != cccell.Failed)
		})
	}
}

// One worker of a small service crashes just after a burst of small jobs was started on it. The trials of their tasks, one
// at a time on each worker, took up to 7 s.
func TestTrialsDoNotDelaySmallService(t *testing.T) {
	const maxDelayMs ms = 3000 // A task that could run has to run within that time.
	size := ccwork.Size{MilliCores: 400, MemoryMB: 500}
	for _, workers := range []int{3, 4, 6, 12} {
		for _, estimateMs := range []int64{400, 20_000} {
			t.Run(fmt.Sprintf("%dWorkers/%dms", workers, estimateMs), func(t *testing.T) {
				l := newCrashLoad(t)
				for _, w := range l.workers[workers:] {
					l.cell.MarkUnlisted(w.Info.ID)
				}
				l.workers = l.workers[:workers]
				startedAt, submittedAt := map[string]ms{}, map[string]ms{}
				l.deadly = func(id cccell.TaskID) (ms, bool) {
					startedAt[id.Job] = l.now
					return 0, false
				}
				for i := range 40 {
					l.submit(&cccell.Job{ID: fmt.Sprintf("innocent%02d", i), Stages: []cccell.Stage{{Count: 1, Size: size, EstimateMs: estimateMs}}})
				}
				l.run(200, nil)
				lost := maps.Clone(startedAt)
				busy := slices.IndexFunc(l.workers, func(w *ccworkersim.Worker) bool { _, ok := w.Oldest(); return ok })
				l.crash(l.workers[busy])
				crashedAt := l.now
				l.run(20_000, func() {
					if n := l.now - crashedAt; n >= 4400 && n < 6000 && n%200 == 0 {
						id := fmt.Sprintf("innocent-new%04d", n)
						submittedAt[id] = l.now
						l.submit(&cccell.Job{ID: id, Stages: []cccell.Stage{{Count: 1, Size: size, EstimateMs: 400}}})
					}
				})
				first := ms(math.MaxInt64)
				for id, at := range lost {
					assert.Assert(t, startedAt[id] > at, "%s was not started again", id)
					first = min(first, startedAt[id])
				}
				for id := range lost {
					assert.Check(t, startedAt[id]-first < maxDelayMs, id)
				}
				for id, at := range submittedAt {
					assert.Check(t, startedAt[id]-at < maxDelayMs, id)
				}
			})
		}
	}
}

// A task crashes its workers 1.5 s after its start, and the leader is replaced again and again. Only the attempts that had
// just started were recorded when the worker fell silent.
func TestLateCrashesOutliveLeaders(t *testing.T) {
	const crashAfterMs, phaseMs ms = 1500, 1000
	for _, eachMs := range []ms{4000, 5000, 7000, 10_000, 15_000} {
		t.Run(fmt.Sprint(eachMs), func(t *testing.T) {
			for phase := ms(0); phase < eachMs; phase += phaseMs {
				l := newCrashLoad(t)
				l.deadly = func(id cccell.TaskID) (ms, bool) { return crashAfterMs, id.Job == "deadly" && id.Index == 2 }
				l.submit(&cccell.Job{ID: "deadly", Stages: []cccell.Stage{{Count: 6, Size: ccwork.Size{MilliCores: 1500, MemoryMB: 3000}, EstimateMs: 3000}}})
				replacedAt := l.now + phase
				l.run(60_000, func() {
					if l.now >= replacedAt {
						replacedAt += eachMs
						l.replaceLeader()
					}
				})
				assert.Equal(t, l.states["deadly"], cccell.Failed)
				for id, n := range l.startsAfter {
					assert.Assert(t, n < 3, "%v started %d times more after three crashes", id, n)
				}
			}
		})
	}
}

// Two leaders ended right after a task had crashed a worker, so that no record had these crashes. Then it crashed its
// workers at the same time as tasks of other jobs did, which counted as workers that were lost together, and it was started
// a third time after its third crash.
func TestCrashesBesideTrialsOfOtherJobsCount(t *testing.T) {
	const deadlyJobs, crashAfterMs = 4, ms(40)
	size := ccwork.Size{MilliCores: 1000, MemoryMB: 1000}
	for phase := ms(0); phase < 600; phase += 100 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			l := newCrashLoad(t)
			hidden, crashesAt := 0, ms(math.MaxInt64)
			l.deadly = func(id cccell.TaskID) (ms, bool) {
				if id.Job == "deadly-0" {
					crashesAt = l.now + crashAfterMs
				}
				return crashAfterMs, id.Job[:6] == "deadly"
			}
			began := l.now
			l.run(60_000, func() {
				if l.now == began {
					l.submit(&cccell.Job{ID: "deadly-0", Stages: []cccell.Stage{{Count: 1, Size: size, EstimateMs: 400}}})
				}
				if l.now == began+phase {
					for i := range deadlyJobs - 1 {
						l.submit(&cccell.Job{ID: fmt.Sprintf("deadly-%d", i+1), Stages: []cccell.Stage{{Count: 3, Size: size, EstimateMs: 400}}})
					}
				}
				if (l.now-began)%100 == 0 && l.now < began+20_000 {
					l.submitInnocent()
				}
				if hidden < 2 && l.now >= crashesAt {
					hidden, crashesAt = hidden+1, math.MaxInt64
					l.runWorkers()
					l.replaceLeader()
				}
			})
			assert.Equal(t, hidden, 2)
			// A leader that ends may have stored a state that it has not shown.
			for id, s := range l.stored {
				want := cccell.Completed
				if id[:6] == "deadly" {
					want = cccell.Failed
				}
				assert.Check(t, is.Equal(s.Progress.State, want), id)
			}
			for id, n := range l.startsAfter {
				assert.Check(t, n < 3, "%v started %d times more after three crashes", id, n)
			}
		})
	}
}
