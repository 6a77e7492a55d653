package cccell_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"

	"pgregory.net/rapid"
)

// TestCellModelUnstored is TestCellModel with jobs that the newest leader runs before they are stored. Some are stored
// later, by the process that received them, which tells whoever leads then; the others are lost with that process.
func TestCellModelUnstored(t *testing.T) {
	rapid.Check(t, modelRun(modelOptions{unstored: true}))
}

// submitUnstored submits a job that the newest leader runs before it is stored.
func (sim *simulation) submitUnstored() {
	if len(sim.leaders) == 0 || len(sim.jobIDs)+len(sim.unstored) > 12 {
		return
	}
	j := sim.newUnstored("u")
	sim.unstored[j.ID] = sim.now
	sim.newest().AddUnstored(j, false, sim.now, sim.now)
}

// newUnstored returns a new job that is not stored.
func (sim *simulation) newUnstored(prefix string) *cccell.Job {
	id := prefix + strconv.Itoa(sim.submitted)
	sim.submitted++
	j := &cccell.Job{ID: id, Queue: cccell.Queue{Name: "q", Service: "s", MaxAttempts: modelMaxAttempts, TargetMs: 500, SlackFactor: 1.5}, Spec: "x"}
	size := ccwork.Size{MilliCores: int64(500 * (1 + sim.draw(4, "size"))), MemoryMB: 500}
	j.Stages = []cccell.Stage{{Count: 1 + sim.draw(4, "count"), Size: size, EstimateMs: 300}}
	if sim.draw(3, "shape") == 0 {
		j.Stages = append(j.Stages, cccell.Stage{Count: 2, Size: size, EstimateMs: 300, After: []int{0}})
	}
	sim.jobs[id] = j
	return j
}

// newest returns the cell of the newest leader.
func (sim *simulation) newest() *cccell.Cell {
	return sim.leaders[len(sim.leaders)-1].cell
}

// storeSome stores some of the unstored jobs, and drops a few. Nothing bounds the time after which a job is stored.
func (sim *simulation) storeSome() {
	for _, id := range slices.Sorted(maps.Keys(sim.unstored)) {
		switch sim.draw(40, "unstored") {
		case 0:
			delete(sim.unstored, id)
		case 1, 2, 3, 4, 5:
			if !sim.storeDown {
				sim.store(id)
			}
		}
	}
}

// store stores an unstored job and tells the leaders.
func (sim *simulation) store(id string) {
	delete(sim.unstored, id)
	sim.jobIDs = append(sim.jobIDs, id)
	for _, l := range sim.leaders {
		l.cell.AddReportedJob(sim.jobs[id], true, sim.now, sim.now)
	}
}
