package cccell

import (
	"fmt"
	"testing"

	"coriandercross/core/ccfair"
	"coriandercross/core/ccquota"
	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
)

// gpuWorker returns a worker with eight accelerators.
func gpuWorker(id string) WorkerInfo {
	w := testWorker(id)
	w.Capacity = ccwork.Size{MilliCores: 128_000, MemoryMB: 256_000, Accelerators: 8}
	return w
}

// Load: small tasks, of which there are more than the cell can run at any time, and a gang of four tasks that each need
// all accelerators of a worker. It is due before the small tasks that come later, so workers are held for it once it has
// waited for holdAfterMs, and it starts when four of them are empty, which takes about as long as the longest of the
// small tasks. Seen on the test bench: such gangs waited for
// up to 34 s, until no more jobs came, since each accelerator that became free was taken by a small task.
func TestGangOfWholeWorkersStartsAmongSmallTasks(t *testing.T) {
	const (
		workers, gangAt, maxWaitMs = 20, ms(5000), holdAfterMs + 6000
		// A gang that is not held for asks again after each reply, which takes 0.9 s.
		maxCalls = 14
		// Each small job has eight tasks of one accelerator; 2.6 s on average make 92 % of 160 accelerators.
		jobIntervalMs ms = 140
	)
	tests := map[string]struct {
		adviceMs float64
	}{
		"NoPolicyService": {0},
		"PolicyService":   {700},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newAdviceLoad(t, 20, 0, 0)
			for i := range workers {
				l.cell.SetWorker(gpuWorker(fmt.Sprintf("w%02d", i)), 1000)
			}
			pollAll(t, l.cell, 1050, nil)
			ends := map[*attempt]ms{}
			gangStarted := ms(0)
			for now, next := ms(1100), ms(1100); now < gangAt+maxWaitMs+1000; now += 20 {
				for ; next <= now; next += jobIntervalMs {
					j := testJob(fmt.Sprintf("small%05d", next), 8)
					j.Queue.Priority, j.Queue.SlackFactor = 2, 4
					j.Stages[0].Size, j.Stages[0].EstimateMs = ccwork.Size{MilliCores: 11_000, MemoryMB: 16_000, Accelerators: 1}, 2600
					l.cell.AddJob(j, now, now)
				}
				if now == gangAt {
					j := testJob("gang", 4)
					j.Queue.Priority, j.Stages[0].Gang = 1, true
					j.Stages[0].Size, j.Stages[0].EstimateMs = ccwork.Size{MilliCores: 62_000, MemoryMB: 130_000, Accelerators: 8}, 3100
					if test.adviceMs > 0 {
						j.Queue.Advice = &AdviceConfig{DecideMs: test.adviceMs, PerWorkerMs: 10, ValidMs: 2000}
					}
					l.cell.AddJob(j, now, now)
				}
				for a, at := range ends {
					if at <= now {
						delete(ends, a)
						l.cell.endAttempt(a, EndDone, "", now)
					}
				}
				for _, o := range l.startsOf(now) {
					if o.Task.Job == "gang" {
						gangStarted = now
						continue
					}
					ends[o.attempt] = now + 1600 + ms(o.Attempt*7919%2000)
				}
			}
			assert.Assert(t, gangStarted > 0, "the gang did not start")
			assert.Assert(t, gangStarted-gangAt <= maxWaitMs, "the gang waited %d ms", gangStarted-gangAt)
			assert.Assert(t, l.calls <= maxCalls, "%d calls to the policy service for one stage", l.calls)
		})
	}
}

// No worker is held for a gang beyond its team's budget, until it has waited for the time by which excess comes later.
func TestExcessHoldsNoWorkers(t *testing.T) {
	for _, excess := range []bool{false, true} {
		c := readyCell(t, testWorker("w1"), testWorker("w2"), testWorker("w3"), testWorker("w4"))
		c.SetTeams([]Team{{Name: "a", Limits: ccquota.Limits{Weight: 1}}})
		small := testJob("small", 4)
		small.Stages[0].MaxPerWorker, small.Stages[0].EstimateMs = 1, 300_000
		c.AddJob(small, 1000, 1000)
		assert.Equal(t, len(runStarts(c, 1000)), 4)
		if excess {
			for i := range 5 {
				j := testJob(fmt.Sprint("earlier", i), 1)
				j.Team = "a"
				c.AddJob(j, 1050, 1050)
				c.Cancel(j.ID, 1050)
			}
		}
		j := testJob("gang", 1)
		j.Team, j.Stages[0].Size.MilliCores = "a", 16_000
		c.AddJob(j, 1100, 1100)
		held := func(now ms) bool {
			runRound(c, now)
			return len(c.jobs["gang"].runs[0].stages[0].held) > 0
		}
		held(1100)
		assert.Equal(t, c.jobs["gang"].excess, excess)
		assert.Equal(t, held(1100+holdAfterMs), !excess)
		assert.Equal(t, held(1100+ccfair.ExcessDelayMs), true)
	}
}
