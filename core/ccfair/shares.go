// Package ccfair decides the order between the teams of a cell while there is too little room for the work of all. It
// uses no sockets and no clock: callers pass in the time.
//
// Typical load: a burst of 2.5 times the usual batch work of all teams, in which one team sends seven times its usual. A
// team is owed as many jobs a second as its weight, and its weight's share of what runs. Work beyond either is placed
// after the work of the other teams, for a bounded time, and runs at once while there is room.
package ccfair

import (
	"math"
	"sort"

	"coriandercross/core/ccclock"
	"coriandercross/core/ccwork"
)

type ms = ccclock.Millis

const (
	// burstMs is the time for which a team's budget of jobs adds up. It covers the time without a leader after a
	// takeover, at whose end the jobs of that time arrive at once.
	burstMs ms = 2000
	// minBurst is the smallest number of jobs that a team may send at once, so that a team with a weight of one job a
	// second may submit a few jobs together.
	minBurst = 3
	// ExcessDelayMs is the time by which a job beyond its team's budget is placed later. It exceeds the targets of batch
	// work, so that such a job comes after the work of all teams within their budgets, and before what they send a
	// minute later.
	ExcessDelayMs ms = 60_000
	// shareDelayMs is the time by which work of a team is placed later for each share that the team holds beyond its
	// own, and maxShareDelayMs the longest such time.
	shareDelayMs    = 8000
	maxShareDelayMs = 24_000
	// recentMs is the time over which the use of room is averaged: several tasks of batch work, since a small team holds
	// more than its share while a single task of it runs.
	recentMs ms = 20_000
)

// Shares holds what each team is owed, and what it has.
type Shares struct {
	teams map[string]*Team
	// used is what the work of all teams holds, recent its mean over recentMs.
	used   ccwork.Size
	recent usage
	// roundAt is the time of the last round, 0 before the first. waiting is the number of stages that wait in this round,
	// and weights the sum of the weights of the teams that have any, or that hold room.
	roundAt ms
	waiting int64
	weights int64
}

// Team is the account of one team. The methods of a nil Team, that of jobs without a team, do nothing.
type Team struct {
	shares *Shares
	name   string
	// weight is the number of jobs a second that the team is owed, and its share relative to the other teams; 0 if the
	// configuration doesn't have the team.
	weight int64
	// budget is the number of jobs that the team may send at budgetAt.
	budget   float64
	budgetAt ms
	used     ccwork.Size
	recent   usage
	waiting  int64
	// jobs and excess count the jobs that have arrived, and those beyond the budget.
	jobs, excess int64
}

// New returns the accounts of a cell without teams.
func New() *Shares {
	return &Shares{teams: map[string]*Team{}}
}

// SetWeights activates the weights of a configuration. Teams that it doesn't contain are owed no share, and their jobs
// are never beyond a budget.
func (s *Shares) SetWeights(weights map[string]int64) {
	for _, t := range s.teams {
		t.weight = 0
	}
	for name, weight := range weights {
		s.Team(name).weight = weight
	}
}

// Team returns the account of a team, nil for the empty name.
func (s *Shares) Team(name string) *Team {
	if name == "" {
		return nil
	}
	t := s.teams[name]
	if t == nil {
		t = &Team{shares: s, name: name}
		s.teams[name] = t
	}
	return t
}

// burst returns the largest budget of the team.
func (t *Team) burst() float64 {
	return max(minBurst, float64(t.weight)*float64(burstMs)/1000)
}

// refill adds to the budget what the time until now gives.
func (t *Team) refill(now ms) {
	if t.budgetAt == 0 {
		t.budget, t.budgetAt = t.burst(), now
	}
	if now > t.budgetAt {
		t.budget += float64(now-t.budgetAt) * float64(t.weight) / 1000
		t.budgetAt = now
	}
	t.budget = min(t.budget, t.burst())
}

// Arrive charges a job that arrived at a time to the team's budget, and reports whether it is beyond the budget. Such a
// job is not charged: later jobs at the team's rate are within its budget.
func (t *Team) Arrive(at ms) (excess bool) {
	if t == nil {
		return false
	}
	t.jobs++
	if t.weight == 0 {
		return false
	}
	if t.refill(at); t.budget < 1 {
		t.excess++
		return true
	}
	t.budget--
	return false
}

// Adopt charges a job of which an earlier leader has found whether it is beyond the team's budget. When a job was, the
// budget had been used up.
func (t *Team) Adopt(at ms, excess bool) {
	if t == nil {
		return
	}
	t.jobs++
	t.refill(at)
	if excess {
		t.excess++
		t.budget = min(t.budget, 1)
		return
	}
	t.budget = max(0, t.budget-1)
}

// Use adds what a task holds to what the team has.
func (t *Team) Use(size ccwork.Size) {
	if t != nil {
		t.used, t.shares.used = t.used.Plus(size), t.shares.used.Plus(size)
	}
}

// Release takes away what a task held.
func (t *Team) Release(size ccwork.Size) {
	if t != nil {
		t.used, t.shares.used = t.used.Minus(size), t.shares.used.Minus(size)
	}
}

// BeginRound begins a round of placement. Wait is then called for each stage that waits.
func (s *Shares) BeginRound(now ms) {
	kept := 0.0
	if s.roundAt != 0 {
		kept = math.Exp(-float64(now-s.roundAt) / float64(recentMs))
	}
	s.roundAt = now
	s.recent.add(s.used, kept)
	s.waiting, s.weights = 0, 0
	for _, t := range s.teams {
		t.recent.add(t.used, kept)
		t.waiting = 0
		if t.used != (ccwork.Size{}) {
			s.weights += t.weight
		}
	}
}

// Wait notes that a stage of the team waits in this round.
func (t *Team) Wait() {
	if t == nil {
		return
	}
	if t.waiting == 0 && t.used == (ccwork.Size{}) {
		t.shares.weights += t.weight
	}
	t.waiting++
	t.shares.waiting++
}

// Held returns how many times its share a team has: 1 for the share that its weight gives among the teams that compete.
// Of what the team holds now without one job of it, what it held lately, and what of it waits besides a stage of that
// job, the least counts: the size of a single job holds no team up, nor does a moment at which it holds much, and a team
// of which hardly anything waits takes nothing away from the others. Of the resources, that of which the team holds the
// largest part counts.
func (t *Team) Held(job ccwork.Size) float64 {
	if t == nil || t.weight == 0 || t.shares.weights <= t.weight {
		return 0
	}
	share := float64(t.weight) / float64(t.shares.weights)
	others, all := usageOf(t.used.Minus(job)), usageOf(t.shares.used)
	waits := float64(t.waiting-1) / float64(max(1, t.shares.waiting))
	return max(0, min(waits, others.dominant(&all), t.recent.dominant(&t.shares.recent))/share)
}

// usage is an amount of each resource.
type usage struct {
	cores, memory, accelerators float64
}

func usageOf(size ccwork.Size) usage {
	return usage{float64(size.MilliCores), float64(size.MemoryMB), float64(size.Accelerators)}
}

// add makes u the mean of itself, to the part kept, and a size.
func (u *usage) add(size ccwork.Size, kept float64) {
	now := usageOf(size)
	u.cores = kept*u.cores + (1-kept)*now.cores
	u.memory = kept*u.memory + (1-kept)*now.memory
	u.accelerators = kept*u.accelerators + (1-kept)*now.accelerators
}

// dominant returns the part that u has of all, of the resource of which it has most.
func (u *usage) dominant(all *usage) float64 {
	part := func(n, of float64) float64 {
		if of <= 0 {
			return 0
		}
		return n / of
	}
	return max(part(u.cores, all.cores), part(u.memory, all.memory), part(u.accelerators, all.accelerators))
}

// Work is a part of a job that waits for room.
type Work struct {
	ArrivedAt ms
	// TargetMs is the time in which the job is to be completed, LeftMs the expected duration of what is left of it.
	TargetMs, LeftMs int64
	// Excess is true for a job beyond its team's budget, and Held is the result of Team.Held.
	Excess bool
	Held   float64
}

// Due returns the time by which work is placed; the earliest comes first. It is the latest time at which the work can
// start for the job to meet its target, and a bounded time later for work beyond its team's budget or share. It doesn't
// depend on the time, so that late work is not passed by what comes later.
func (w *Work) Due() float64 {
	due := float64(w.ArrivedAt) + float64(w.TargetMs-w.LeftMs)
	if w.Excess {
		due += float64(ExcessDelayMs)
	}
	if w.Held > 1 {
		due += min((w.Held-1)*shareDelayMs, maxShareDelayMs)
	}
	return due
}

// Deferred reports whether work is beyond its team's budget and comes after that of other teams now.
func (w *Work) Deferred(now ms) bool {
	return w.Excess && now < w.ArrivedAt+ExcessDelayMs
}

// Summary is the account of a team as shown to operators.
type Summary struct {
	Team   string
	Weight int64
	// Budget is the number of jobs that the team may send now.
	Budget float64
	// Cores is what its work holds, in thousandths of a core; Held is how often it holds its share.
	Cores int64
	MB    int64
	Held  float64
	// Waiting is the number of stages that wait.
	Waiting int64
	// Jobs counts the jobs that have arrived at this leader, Excess those beyond the budget.
	Jobs, Excess int64
}

// Summaries returns the accounts of the teams of the configuration, by name.
func (s *Shares) Summaries(now ms) []Summary {
	var out []Summary
	for _, t := range s.teams {
		if t.weight > 0 {
			t.refill(now)
			out = append(out, Summary{t.name, t.weight, t.budget, t.used.MilliCores, t.used.MemoryMB, t.Held(ccwork.Size{}), t.waiting, t.jobs, t.excess})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Team < out[b].Team })
	return out
}
