package cccell_test

import (
	"maps"
	"slices"
	"testing"

	"coriandercross/core/cccell"

	"pgregory.net/rapid"
)

// TestCellModelUnstoredReports is TestCellModelUnstored with jobs of which one or two processes tell the leaders, each when it
// gets to it and with the mark that it knows. The caller of a job comes to the second process within modelCallerMs, with
// its whole time or with the rest of it. Either process may be lost, and leaders find stored jobs late.
func TestCellModelUnstoredReports(t *testing.T) {
	rapid.Check(t, modelRun(modelOptions{unstored: true, reports: true}))
}

// TestCellModelUnstoredLapses is TestCellModelUnstored with registrations that lapse in an outage of the store, and are back
// within modelRegisterMs, and with rosters that are written late.
func TestCellModelUnstoredLapses(t *testing.T) {
	rapid.Check(t, modelRun(modelOptions{unstored: true, lapses: true}))
}

const (
	// modelCallerMs is the time for which a caller repeats its submission.
	modelCallerMs ms = 3000
	// modelRegisterMs is the time after an outage of the store in which workers register again.
	modelRegisterMs = 2000
	// modelRosterMs is the least time between two writes of the roster.
	modelRosterMs ms = 1000
)

// heldJob is a job that processes hold.
type heldJob struct {
	submittedAt ms
	holders     []*holder
	// returned is true once the caller has come to a second process, stored once the job is in the store.
	returned, stored bool
}

// holder is a process that has got a job from its caller.
type holder struct {
	spec *cccell.Job
	// newFor is the token of the leader of which the process knew, when the caller first submitted the job as far as it says, that
	// no prior one had authority; 0 for none. For any other leader the job may have begun.
	newFor int64
	// begunBy is the token of the last leader that has confirmed to run the job; askedInVain is true if one may run it.
	begunBy     int64
	askedInVain bool
}

// newHolder returns a process that gets a job now, whose caller says that it has submitted it first at a time.
func (sim *simulation) newHolder(j *cccell.Job, firstAt ms) *holder {
	spec := *j
	spec.AcceptedMs, spec.Returning = int64(sim.now), firstAt < sim.now
	h := &holder{spec: &spec}
	if n := len(sim.leaders); n > 0 && firstAt >= sim.leaders[n-1].aloneFrom && sim.draw(3, "knowsLeader") > 0 {
		h.newFor = sim.leaders[n-1].token
	}
	return h
}

// submitHeld submits a job to a process.
func (sim *simulation) submitHeld() {
	if len(sim.jobIDs)+len(sim.unstored)+len(sim.held) > 12 {
		return
	}
	j := sim.newUnstored("h")
	sim.held[j.ID] = &heldJob{submittedAt: sim.now, holders: []*holder{sim.newHolder(j, sim.now)}}
}

// moveHeld lets the caller or a process of each held job do something.
func (sim *simulation) moveHeld() {
	for _, id := range slices.Sorted(maps.Keys(sim.held)) {
		h := sim.held[id]
		action := sim.draw(10, "heldAction")
		if action == 0 && !h.returned && sim.now-h.submittedAt < modelCallerMs {
			h.returned = true
			firstAt := sim.now
			if sim.draw(2, "returning") == 0 {
				firstAt = h.submittedAt
			}
			h.holders = append(h.holders, sim.newHolder(sim.jobs[id], firstAt))
		}
		if action == 1 && h.stored {
			sim.find(id)
		}
		if len(h.holders) == 0 {
			if action == 2 {
				delete(sim.held, id) // Nobody tells of it any more.
			}
			continue
		}
		k := sim.draw(len(h.holders), "holder")
		switch action {
		case 2:
			h.holders = slices.Delete(h.holders, k, k+1) // The process is lost.
		case 3, 4, 5:
			sim.askToBegin(h.holders[k])
		case 6, 7:
			if !h.stored && !sim.storeDown {
				h.stored = true
				sim.jobIDs = append(sim.jobIDs, id)
			}
		case 8, 9:
			if h.stored && len(sim.leaders) > 0 {
				if l := sim.leaders[len(sim.leaders)-1]; !sim.ended(id) {
					l.cell.AddReportedJob(h.holders[k].spec, h.holders[k].newFor != l.token, sim.now, sim.now)
				}
				if sim.draw(2, "again") == 0 { // Else it tells the next leader as well.
					h.holders = slices.Delete(h.holders, k, k+1)
				}
			}
		}
	}
}

// askToBegin asks a leader, which is mostly the newest one, to run a job. The call or its reply may be lost.
func (sim *simulation) askToBegin(h *holder) {
	if len(sim.leaders) == 0 {
		return
	}
	l := sim.leaders[len(sim.leaders)-1]
	if sim.draw(4, "asksAnother") == 0 {
		l = sim.leaders[sim.draw(len(sim.leaders), "leader")]
	}
	fault := sim.draw(8, "beginFault")
	if h.begunBy == l.token || (fault != 1 && sim.now >= l.cell.Authority()) {
		return
	}
	ran := fault != 1 && (sim.ended(h.spec.ID) || l.cell.AddUnstored(h.spec, h.newFor != l.token, sim.now, sim.now))
	switch {
	case fault == 1, fault == 2:
		h.askedInVain = true
	case ran:
		h.begunBy = l.token
	}
}

// tellBegun tells a new leader of the jobs that the processes have asked an earlier one to run.
func (sim *simulation) tellBegun() {
	for _, id := range slices.Sorted(maps.Keys(sim.held)) {
		for _, h := range sim.held[id].holders {
			if h.begunBy != 0 || h.askedInVain {
				sim.newest().MarkBegun(id)
			}
		}
	}
}

// find lets a leader find a job in the store.
func (sim *simulation) find(id string) {
	if len(sim.leaders) == 0 || sim.storeDown || sim.ended(id) {
		return
	}
	l := sim.leaders[sim.draw(len(sim.leaders), "finder")]
	l.cell.AddJob(sim.jobs[id], sim.now, sim.now)
}

// storeHeld stores the jobs that are held.
func (sim *simulation) storeHeld() {
	for _, id := range slices.Sorted(maps.Keys(sim.held)) {
		h := sim.held[id]
		if !h.stored && len(h.holders) > 0 {
			h.stored = true
			sim.jobIDs = append(sim.jobIDs, id)
		}
	}
}

// joinLate lets some workers join in the course of the simulation.
func (sim *simulation) joinLate() {
	for i := range modelWorkers / 2 {
		sim.lapsedUntil[i] = sim.now + ms(sim.draw(8000, "joinsAfter"))
	}
	sim.leaders, sim.roster = nil, nil
	sim.lead()
}

// moveRegistrations lets the leaders read the registrations, and the newest one write the roster, if it is time to.
func (sim *simulation) moveRegistrations() {
	if sim.storeDown || len(sim.leaders) == 0 {
		return
	}
	if sim.draw(2, "readWorkers") == 0 {
		for _, l := range sim.leaders {
			sim.listWorkers(l)
		}
	}
	if sim.now-sim.rosterAt >= modelRosterMs && sim.draw(4, "writeRoster") > 0 {
		sim.writeRoster()
	}
}

// writeRoster lets the newest leader write the roster.
func (sim *simulation) writeRoster() {
	sim.rosterAt = sim.now
	sim.storeRoster(sim.newest())
	sim.newest().SetRecorded(ids(sim.roster))
}

// storeRoster writes the roster of a leader.
func (sim *simulation) storeRoster(c *cccell.Cell) {
	sim.roster = c.Roster()
	c.RosterStored(sim.roster)
}

// ids returns the IDs of workers.
func ids(workers []cccell.WorkerInfo) map[string]bool {
	out := map[string]bool{}
	for i := range workers {
		out[workers[i].ID] = true
	}
	return out
}

// lapseSome lets registrations lapse at the end of an outage of the store. All are back within modelRegisterMs.
func (sim *simulation) lapseSome() {
	if !sim.lapses || sim.storeDown {
		return
	}
	for i := range sim.workers {
		if sim.draw(2, "lapsed") == 0 {
			sim.lapsedUntil[i] = sim.now + ms(sim.draw(modelRegisterMs, "registeredAfter"))
		}
	}
	for _, l := range sim.leaders {
		sim.listWorkers(l)
	}
}

// loseLeaders ends all leaders now and then, and a worker may fall silent at the same time. The next leader, which follows once
// the store is back, knows that the others have ended.
func (sim *simulation) loseLeaders() {
	if sim.draw(12, "lost") == 0 {
		sim.leaders = nil
		if sim.draw(2, "silent") == 0 {
			sim.disconnected[sim.draw(modelWorkers, "worker")] = true
		}
	}
	if len(sim.leaders) == 0 && sim.draw(2, "lead") == 0 {
		sim.lead()
	}
}

// lead adds a leader which knows that all others have ended.
func (sim *simulation) lead() {
	if !sim.storeDown {
		sim.takeOver()
		sim.newest().SetHandover(sim.now)
		sim.leaders[len(sim.leaders)-1].aloneFrom = sim.now
	}
}
