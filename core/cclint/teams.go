package cclint

import (
	"fmt"

	"coriandercross/core/cccell"
	"coriandercross/core/ccwork"
)

const (
	// milliCoresPerCore is the number of thousandths in a core. A cap below it is most likely a number of whole cores.
	milliCoresPerCore = 1000
	// idlePercent is the share of the workers' capacity from which a warning says that the caps leave it idle.
	idlePercent = 50
)

// resource is a resource that caps bound.
type resource struct {
	name string
	of   func(s *ccwork.Size) int64
}

// resources are the resources that the operators set caps for.
var resources = []resource{
	{"MilliCores", func(s *ccwork.Size) int64 { return s.MilliCores }},
	{"MemoryMB", func(s *ccwork.Size) int64 { return s.MemoryMB }},
	{"Accelerators", func(s *ccwork.Size) int64 { return s.Accelerators }},
}

// checkTeams adds warnings about the teams and their limits.
func (f *findings) checkTeams(in *Input) {
	teams := in.Config.Teams
	capacity := capacityOf(in)
	running := map[string]*cccell.TeamSummary{}
	for i := range in.Teams {
		running[in.Teams[i].Team] = &in.Teams[i]
	}
	weighted := false
	var largest ccwork.Size // The largest cap of each resource, 0 if no team has one.
	for i := range teams {
		weighted = weighted || teams[i].Limits.Weight > 0
		largest = largest.Max(teams[i].Limits.Cap)
	}
	known := map[string]bool{}
	for i := range teams {
		t, place := &teams[i], fmt.Sprintf("Teams[%d]", i)
		known[t.Name] = true
		if len(t.Keys) == 0 {
			f.add(Warning, place+".Keys", t.Name, "the team has no key, so no request is its own")
		}
		if t.Limits.Weight == 0 && weighted {
			f.add(Warning, place+".Limits.Weight", t.Name, "0 beside teams with a weight: the team asks for no share when all is full")
		}
		f.checkCap(place+".Limits.Cap", t, largest, capacity, running[t.Name])
	}
	for i := range in.Teams {
		if t := &in.Teams[i]; t.Tasks > 0 && !known[t.Team] {
			f.add(Warning, "Teams", t.Team, "the team is not in the configuration but has tasks running, which run on: %d", t.Tasks)
		}
	}
	f.checkIdle(in.Config, capacity)
}

// capacityOf returns the capacity of the workers that run the queues of the configuration and are not about to leave.
// It is 0 if no workers are given.
func capacityOf(in *Input) ccwork.Size {
	used := map[string]bool{}
	for i := range in.Config.Routes {
		used[in.Config.Routes[i].Queue.Service] = true
	}
	var out ccwork.Size
	for i := range in.Workers {
		if w := &in.Workers[i]; used[w.Service] && !w.Draining {
			out = out.Plus(w.Capacity)
		}
	}
	return out
}

// checkCap adds warnings about the cap of a team: values that are most likely mistaken, that never bind, or that are
// below what the team has running. largest has the largest cap that a team has on each resource. now is nil if it is not
// known what runs.
func (f *findings) checkCap(place string, t *cccell.Team, largest, capacity ccwork.Size, now *cccell.TeamSummary) {
	limit := t.Limits.Cap
	if limit.MilliCores > 0 && limit.MilliCores < milliCoresPerCore {
		f.add(Warning, place+".MilliCores", t.Name, "%d is less than one core; the unit is a thousandth of a core", limit.MilliCores)
	}
	for _, r := range resources {
		v, total := r.of(&limit), r.of(&capacity)
		if v == 0 && limit != (ccwork.Size{}) && r.of(&largest) > 0 {
			f.add(Warning, place+"."+r.name, t.Name, "0 means no limit, not none: the team has caps on other resources, and other teams have one on this")
		}
		if v > total && total > 0 {
			f.add(Warning, place+"."+r.name, t.Name, "%d never binds: all workers together have %d", v, total)
		}
		if now != nil && v > 0 && v < r.of(&now.Running) {
			f.add(Warning, place+"."+r.name, t.Name, "%d is below the %d that the team has running; nothing of the team starts until enough has ended", v, r.of(&now.Running))
		}
	}
}

// checkIdle adds a warning for each resource of which the caps of all teams together admit so little that idlePercent
// of the workers' capacity can't be used. Jobs of public routes have no team and so no cap.
func (f *findings) checkIdle(c *cccell.Configuration, capacity ccwork.Size) {
	for i := range c.Routes {
		if c.Routes[i].Public {
			return
		}
	}
	for _, r := range resources {
		var sum int64
		for i := range c.Teams {
			v := r.of(&c.Teams[i].Limits.Cap)
			if v <= 0 {
				sum = 0 // A team without a limit can use everything.
				break
			}
			sum += v
		}
		if total := r.of(&capacity); sum > 0 && float64(sum) <= float64(total)*(100-idlePercent)/100 {
			f.add(Warning, "Teams", "", "the caps of all teams together admit %d %s of the workers' %d; the rest stays idle", sum, r.name, total)
		}
	}
}
