package cccell_test

import (
	"fmt"
	"maps"
	"testing"

	"coriandercross/core/cccell"
	"coriandercross/core/ccquota"
	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// modelCaps is a version of the caps of teams.
type modelCaps struct {
	at   ms
	caps map[string]ccwork.Size
}

const (
	modelTeams = 2
	// modelConfigMs is the time within which each leader knows a new version.
	modelConfigMs = 4000
	// modelLateStartMs is how late a start may be executed: a lease on a clock that is 2 % slow, and a margin.
	modelLateStartMs = modelLeaseMs + 100
	// modelShortAuthorityMs leaves a long time between the end of the prior leader's authority and that of its leases, in
	// which tasks run on silent workers.
	modelShortAuthorityMs = 500
)

// teams returns the teams as a configuration has them.
func (m *modelCaps) teams() []cccell.Team {
	var out []cccell.Team
	for i := range modelTeams {
		if limit, ok := m.caps[modelTeam(i)]; ok {
			out = append(out, cccell.Team{Name: modelTeam(i), Limits: ccquota.Limits{Weight: 1, Cap: limit}})
		}
	}
	return out
}

func modelTeam(i int) string {
	return fmt.Sprintf("t%d", i)
}

// addTeams adds the first version of the caps, and checks each start against those that may be in force.
func (sim *simulation) addTeams() {
	first := modelCaps{caps: map[string]ccwork.Size{}}
	for i := range modelTeams {
		first.caps[modelTeam(i)] = sim.drawCap()
	}
	sim.caps = []modelCaps{first}
	sim.authorityMs = modelShortAuthorityMs
	sim.checker.Team = func(t cccell.TaskID) (string, ccwork.Size) {
		return sim.jobs[t.Job].Team, sim.jobs[t.Job].Stages[t.Stage].Size
	}
	sim.checker.Cap = sim.highestCap
}

// drawCap draws a cap: often smaller than a task, sometimes none, or larger than a worker that does not answer may run.
func (sim *simulation) drawCap() ccwork.Size {
	out := ccwork.Size{MilliCores: 500 * int64(sim.draw(8, "capCores"))}
	if sim.draw(5, "largeCap") == 0 {
		out.MilliCores += 2 * modelCapacity.MilliCores
	}
	if sim.draw(3, "capMemory") == 0 {
		out.MemoryMB = 500 * int64(1+sim.draw(6, "capMB"))
	}
	return out
}

// highestCap returns the highest cap of a team among the versions that may be in force: the newest, and those that were
// replaced within modelConfigMs and modelLateStartMs.
func (sim *simulation) highestCap(team string, now ms) ccwork.Size {
	var out ccwork.Size
	var unlimited bool
	for i := len(sim.caps) - 1; i >= 0; i-- {
		limit := sim.caps[i].caps[team] // None if the team was removed: a new leader knows no earlier version.
		unlimited = unlimited || limit.MilliCores == 0
		out = out.Max(limit)
		if limit.MemoryMB == 0 {
			out.MemoryMB = 1 << 40
		}
		if now-sim.caps[i].at >= modelConfigMs+modelLateStartMs {
			break
		}
	}
	if unlimited {
		out.MilliCores = 0
	}
	return out
}

// changeCaps adds a version in which the cap of one team has changed, or one team is missing.
func (sim *simulation) changeCaps() {
	next := modelCaps{at: sim.now, caps: maps.Clone(sim.caps[len(sim.caps)-1].caps)}
	team := modelTeam(sim.draw(modelTeams, "changedTeam"))
	if sim.draw(6, "removed") == 0 {
		delete(next.caps, team)
	} else {
		next.caps[team] = sim.drawCap()
	}
	sim.caps = append(sim.caps, next)
}

// liftCaps ends all caps.
func (sim *simulation) liftCaps() {
	if len(sim.caps) == 0 {
		return
	}
	next := modelCaps{at: sim.now, caps: map[string]ccwork.Size{}}
	for i := range modelTeams {
		next.caps[modelTeam(i)] = ccwork.Size{MilliCores: 8000}
	}
	sim.caps = append(sim.caps, next)
}

// learnSomeCaps passes a version to a new leader: the newest, an older one that may still be in force, or none.
func (sim *simulation) learnSomeCaps(l *leader) {
	if len(sim.caps) == 0 {
		return
	}
	back := sim.draw(4, "versionsBehind")
	version := len(sim.caps) - back
	if version > 0 && (version == len(sim.caps) || sim.now-sim.caps[version].at < modelConfigMs) {
		sim.learnCaps(l, version)
	}
}

// learnCapsInTime passes a newer version to a leader at a random time, at the latest modelConfigMs after the change.
func (sim *simulation) learnCapsInTime(l *leader) {
	if l.configVersion == len(sim.caps) {
		return
	}
	next := sim.caps[l.configVersion]
	switch {
	case sim.faultsOff:
	case l.configVersion == 0: // It starts nothing until then.
		if sim.draw(8, "learnsFirst") > 0 {
			return
		}
	case sim.now-next.at < modelConfigMs-400 && sim.draw(4, "learns") > 0:
		return
	}
	sim.learnCaps(l, len(sim.caps))
}

func (sim *simulation) learnCaps(l *leader, version int) {
	l.configVersion = version
	l.cell.SetTeams(sim.caps[version-1].teams())
}

// joinTeam makes a job one of a team, or of none, in the shapes that count differently. It returns false if the job is
// refused.
func (sim *simulation) joinTeam(j *cccell.Job) bool {
	if team := sim.draw(modelTeams+1, "team"); team < modelTeams {
		j.Team = modelTeam(team)
	}
	s := &j.Stages[0]
	switch sim.draw(5, "teamShape") {
	case 0:
		if s.Gang = !s.LongRunning; s.Gang {
			j.Stages = j.Stages[:1] // The checker expects the success of all tasks of the stage before.
		}
	case 1:
		s.BestEffortCPU = true
	}
	version := sim.caps[len(sim.caps)-1]
	if err := (&cccell.Configuration{Teams: version.teams()}).CheckCap(j); err != nil || (s.Gang && s.Count > 2) {
		return false
	}
	return true
}

// gangFailures returns the number of failed attempts of all members of a gang.
func (sim *simulation) gangFailures(j *cccell.Job, stage int) int {
	n := 0
	for i := range j.Stages[stage].Count {
		n += sim.checker.Failures(cccell.TaskID{Job: j.ID, Stage: stage, Index: i})
	}
	return n
}

// TestCellModelCaps is TestCellModel with teams whose caps are raised, lowered and removed, and with leaders that learn of
// that at different times. No start may bring what a team has running above the highest cap that may be in force, as
// counted by the simulated workers.
func TestCellModelCaps(t *testing.T) {
	rapid.Check(t, modelRun(modelOptions{teams: true}))
}

// The cap of the checker counts what runs on all workers.
func TestModelHighestCap(t *testing.T) {
	size := func(cores int64) ccwork.Size { return ccwork.Size{MilliCores: cores, MemoryMB: 100} }
	version := func(at ms, cores int64) modelCaps {
		return modelCaps{at: at, caps: map[string]ccwork.Size{"t0": size(cores)}}
	}
	sim := &simulation{caps: []modelCaps{version(0, 4000), version(1000, 8000), version(2000, 1000)}}
	assert.Equal(t, sim.highestCap("t0", 2000), size(8000))
	assert.Equal(t, sim.highestCap("t0", 2000+modelConfigMs+modelLateStartMs), size(1000))
}
