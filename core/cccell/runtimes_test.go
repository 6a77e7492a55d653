package cccell

import (
	"math"
	"testing"

	"coriandercross/core/ccruntimes"

	"gotest.tools/v3/assert"
)

// learnedRuns is the number of finished stages that learnJob records, enough for a prediction to count.
const learnedRuns = 100

// learnJob records finished runs of each stage of a job, which differ by a fifth around a median.
func learnJob(l *ccruntimes.Learner, j *Job, medianMs float64) {
	for i := range j.Stages {
		w := workOf(j, i)
		for k := range learnedRuns {
			l.Finished(&w, medianMs*math.Exp(0.2*math.Sin(float64(k))), 1)
		}
	}
}

// learningCell returns readyCell with a learner, or without one to show what the estimates decide.
func learningCell(t *testing.T, learns bool, l *ccruntimes.Learner, workers ...WorkerInfo) *Cell {
	t.Helper()
	c := readyCell(t, workers...)
	if learns {
		c.cfg.RunTimes = l
	}
	return c
}

// estimatedJob returns a job with one stage.
func estimatedJob(id, queue string, count int, estimateMs int64) *Job {
	j := testJob(id, count)
	j.Queue.Name, j.Queue.SlackFactor, j.Stages[0].EstimateMs = queue, 3, estimateMs
	return j
}

// Load: a full cell, short jobs with estimates ten times too long, and long jobs with estimates ten times too short. The
// latency target depends on the real work, so the short job is due first. By the estimates it waits for the long one, and
// is late.
func TestOrderByLearnedRunTimes(t *testing.T) {
	tests := map[string]struct {
		learns bool
		want   string
	}{
		"Estimates": {false, "long"},
		"Learned":   {true, "short"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			short, long := estimatedJob("short", "q-short", 1, 5000), estimatedJob("long", "q-long", 1, 400)
			for _, j := range []*Job{short, long} {
				j.Stages[0].Size.MilliCores = 16_000
			}
			l := ccruntimes.New()
			learnJob(l, short, 500)
			learnJob(l, long, 4000)
			c := learningCell(t, test.learns, l, testWorker("w1"))
			c.AddJob(long, 1100, 1100)
			c.AddJob(short, 1101, 1101)
			got := runStarts(c, 1200)
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].Task.Job, test.want)
		})
	}
}

// Load: estimates off by ten. A task without progress is moved once it should have reached its first percent, and one
// without siblings when it exceeds all that is known of such tasks: by the estimate a stalled task stays for as long as
// it is estimated to need for a tenth of its work, and a long task is stopped before its first percent.
func TestStragglersByLearnedRunTimes(t *testing.T) {
	tests := map[string]struct {
		estimateMs int64
		medianMs   float64
		percent    int
		// progressMs is when the progress was reported, afterMs the time of the check, both since the start.
		progressMs, afterMs ms
		// byEstimate and learned are whether the task is moved.
		byEstimate, learned bool
	}{
		"StalledEstimateTooLong": {estimateMs: 60_000, medianMs: 600, afterMs: 3000, learned: true},
		"LongEstimateTooShort":   {estimateMs: 5000, medianMs: 60_000, afterMs: 2500, byEstimate: true},
		"LagsWithoutSiblings":    {estimateMs: 1000, medianMs: 1000, percent: 10, progressMs: 1000, afterMs: 1100, learned: true},
		"AsLongAsUsual":          {estimateMs: 200, medianMs: 2000, percent: 50, progressMs: 1000, afterMs: 1100},
	}
	for name, test := range tests {
		for _, learns := range []bool{false, true} {
			want := map[bool]bool{false: test.byEstimate, true: test.learned}[learns]
			t.Run(name+map[bool]string{false: "/Estimates", true: "/Learned"}[learns], func(t *testing.T) {
				j := estimatedJob("a", "q", 1, test.estimateMs)
				l := ccruntimes.New()
				learnJob(l, j, test.medianMs)
				c := learningCell(t, learns, l, testWorker("w1"), testWorker("w2"))
				c.AddJob(j, 1100, 1100)
				got := runStarts(c, 1100)
				assert.Equal(t, len(got), 1)
				a := got[0].attempt
				if test.percent > 0 {
					c.recordRunning(a.worker, &RunningTask{Task: a.task, Attempt: a.number, Percent: test.percent}, 1100+test.progressMs)
				}
				now := 1100 + test.afterMs
				a.worker.pollDoneAt = now
				c.stragglersCheckedAt = 0
				c.moveStragglers(now)
				assert.Equal(t, a.stopWanted, want)
			})
		}
	}
}

// Load: three stages in a hundred are seven times as long as the others, on all their workers. Seen in a trial: all tasks
// of such stages were moved, and 6,000 core-seconds of work thrown away.
func TestLongStagesAreNotMoved(t *testing.T) {
	j := estimatedJob("a", "q", 6, 500)
	l := ccruntimes.New()
	learnJob(l, j, 500)
	c := learningCell(t, true, l, testWorker("w1"), testWorker("w2"))
	c.AddJob(j, 1100, 1100)
	got := runStarts(c, 1100)
	assert.Equal(t, len(got), 6)
	for now := ms(1150); now < 4600; now += 50 {
		for _, o := range got {
			a := o.attempt
			a.worker.pollDoneAt = now
			c.recordRunning(a.worker, &RunningTask{Task: a.task, Attempt: a.number, Percent: int((now - 1100) / 35)}, now)
		}
		c.moveStragglers(now)
	}
	assert.Equal(t, c.stats.Moved, int64(0))
}

// Load: a worker gets a notice and leaves in 6.5 s. A task that saves checkpoints has run for 3 s without a report of its
// progress. By its estimate it ends at once, so that it runs on and is lost with the worker; tasks like it take 20 s. The
// other way round, one that ends in time is stopped.
func TestEvacuationByLearnedRunTimes(t *testing.T) {
	tests := map[string]struct {
		estimateMs          int64
		medianMs            float64
		byEstimate, learned bool
	}{
		"EstimateTooShort": {2000, 20_000, false, true},
		"EstimateTooLong":  {40_000, 4000, true, false},
	}
	for name, test := range tests {
		for _, learns := range []bool{false, true} {
			want := map[bool]bool{false: test.byEstimate, true: test.learned}[learns]
			t.Run(name+map[bool]string{false: "/Estimates", true: "/Learned"}[learns], func(t *testing.T) {
				j := estimatedJob("a", "q", 1, test.estimateMs)
				j.Stages[0].Checkpoints = true
				l := ccruntimes.New()
				learnJob(l, j, test.medianMs)
				c := learningCell(t, learns, l, testWorker("w1"))
				c.AddJob(j, 1100, 1100)
				got := runStarts(c, 1100)
				assert.Equal(t, len(got), 1)
				info := testWorker("w1")
				info.Draining, info.DrainLeftMs = true, 6500
				c.SetWorker(info, 4100)
				assert.Equal(t, got[0].attempt.stopWanted, want)
			})
		}
	}
}

// Load: one worker is to be held for a large task. By the estimates the task on w1 ends next; in fact it is the one on
// w2.
func TestHoldsByLearnedRunTimes(t *testing.T) {
	tests := map[string]struct {
		learns bool
		want   string
	}{
		"Estimates": {false, "w1"},
		"Learned":   {true, "w2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			workers := []WorkerInfo{testWorker("w1"), testWorker("w2"), testWorker("w3"), testWorker("w4")}
			for i := range workers {
				workers[i].Labels = append(workers[i].Labels, workers[i].ID)
			}
			l := ccruntimes.New()
			c := learningCell(t, test.learns, l, workers...)
			add := func(id, label string, estimateMs int64, medianMs float64) {
				j := estimatedJob(id, "q-"+id, 1, estimateMs)
				j.Stages[0].Label, j.Stages[0].Size.MilliCores = label, 2000
				learnJob(l, j, medianMs)
				c.AddJob(j, 1100, 1100)
			}
			add("first", "w1", 20_000, 60_000)
			add("second", "w2", 60_000, 12_000)
			add("third", "w3", 90_000, 90_000)
			add("fourth", "w4", 90_000, 90_000)
			assert.Equal(t, len(runStarts(c, 1100)), 4)
			large := estimatedJob("large", "q", 1, 500)
			large.Stages[0].Size.MilliCores = 16_000
			c.AddJob(large, 1200, 1200)
			runStarts(c, 1200)
			runStarts(c, 1200+holdAfterMs)
			held := ""
			for id, w := range c.workers {
				if w.heldFor != nil {
					assert.Equal(t, held, "", "one worker is held")
					held = id
				}
			}
			assert.Equal(t, held, test.want)
		})
	}
}

// Load: a worker is held for a large task until the long task on it ends, and there is no room elsewhere. Work that ends
// before that runs there meanwhile, also if it is estimated to take longer. Work that takes longer does not, also if it is
// estimated to be short.
func TestShortWorkRunsOnHeldWorkers(t *testing.T) {
	tests := map[string]struct {
		learns     bool
		estimateMs int64
		medianMs   float64
		want       int
	}{
		"Estimates":           {false, 500, 500, 0},
		"ShortEstimatedLong":  {true, 60_000, 500, 4},
		"LongEstimatedShort":  {true, 500, 60_000, 0},
		"LittleIsKnownOfWork": {true, 500, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := ccruntimes.New()
			// Of four workers at most one is held; the others are full.
			c := learningCell(t, test.learns, l, testWorker("w1"), testWorker("w2"), testWorker("w3"), testWorker("w4"))
			full := estimatedJob("full", "q-full", 4, 30_000)
			full.Stages[0].Size.MilliCores = 11_000
			learnJob(l, full, 30_000)
			c.AddJob(full, 1100, 1100)
			assert.Equal(t, len(runStarts(c, 1100)), 4)
			large := estimatedJob("large", "q", 1, 500)
			large.Queue.Priority, large.Stages[0].Size.MilliCores = 0, 16_000
			c.AddJob(large, 1200, 1200)
			runStarts(c, 1200)
			now := 1200 + holdAfterMs
			filler := estimatedJob("filler", "q-filler", 3, 30_000) // The workers that are not held have no room.
			filler.Stages[0].Size.MilliCores = 5000
			filler.Stages[0].MaxPerWorker = 1
			c.AddJob(filler, now, now)
			runStarts(c, now)
			job := estimatedJob("short", "q-short", 4, test.estimateMs)
			job.Queue.Priority, job.Stages[0].Size.MilliCores = 2, 1000
			if test.medianMs > 0 {
				learnJob(l, job, test.medianMs)
			}
			c.AddJob(job, now+100, now+100)
			got := runStarts(c, now+100)
			assert.Equal(t, len(got), test.want)
			for _, o := range got {
				assert.Assert(t, c.workers[o.WorkerID].heldFor != nil)
			}
			assert.Equal(t, c.stats.Backfilled, int64(test.want))
		})
	}
}

// The cell learns from the runs that it has seen from the start on: whole ones as they are, failed ones as lower bounds,
// and those that continued from a checkpoint or on a slow worker not at all.
func TestCellLearnsFromEnds(t *testing.T) {
	tests := map[string]struct {
		end     End
		change  func(a *attempt)
		percent int
		learned bool
	}{
		"Done":            {end: EndDone, learned: true},
		"DoneWithSaved":   {end: EndDone, change: func(a *attempt) { a.stage.saveCheckpoint(a.task.Index, "c") }, learned: true},
		"Adopted":         {end: EndDone, change: func(a *attempt) { a.adopted = true }},
		"Resumed":         {end: EndDone, change: func(a *attempt) { a.resumed = true }},
		"FailedOfUnknown": {end: EndFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := ccruntimes.New()
			c := learningCell(t, true, l, testWorker("w1"))
			j := estimatedJob("a", "q", 1, 500)
			j.Queue.MaxAttempts = 3
			c.AddJob(j, 1100, 1100)
			got := runStarts(c, 1100)
			assert.Equal(t, len(got), 1)
			if test.change != nil {
				test.change(got[0].attempt)
			}
			c.recordEnd(got[0].attempt.worker, &EndedTask{Number: 1, Task: got[0].Task, Attempt: got[0].Attempt, End: test.end}, 3100)
			w := workOf(j, 0)
			p := l.Predict(&w)
			assert.Equal(t, p.Weight > 0 || l.Keys() > 0, test.learned)
			if test.learned {
				assert.Equal(t, len(l.Errors()), 2, "of the queue, and of all")
				assert.Assert(t, l.Errors()[0].EstimateP50 > 3, "the estimate was off by four")
			}
		})
	}
}

// The line of a placed stage says what was expected of its tasks and why, so that explain shows it. Without learning it
// does not.
func TestExpectationIsLogged(t *testing.T) {
	for _, learns := range []bool{false, true} {
		j := estimatedJob("a", "q", 1, 200)
		l := ccruntimes.New()
		learnJob(l, j, 2000)
		c := learningCell(t, learns, l, testWorker("w1"))
		logged := map[any]any{}
		c.cfg.Log = func(event string, kv ...any) {
			for i := 0; event == "stage placed" && i+1 < len(kv); i += 2 {
				logged[kv[i]] = kv[i+1]
			}
		}
		c.AddJob(j, 1100, 1100)
		assert.Equal(t, len(runStarts(c, 1100)), 1)
		if !learns {
			assert.Equal(t, logged["ExpectMs"], nil)
			continue
		}
		expected, ok := logged["ExpectMs"].(int64)
		assert.Assert(t, ok && expected > 1700 && expected < 2300, "%v", logged)
		assert.Equal(t, logged["ExpectBy"], ccruntimes.SourceWork)
		assert.Equal(t, logged["EstimateMs"], int64(200))
		s := c.Summary(1100)
		assert.Assert(t, s.RunTimeKeys > 0)
	}
}
