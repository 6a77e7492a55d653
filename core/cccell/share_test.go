package cccell_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// fairBound is the least part of what it is owed that the worst team gets, against that of the median team.
	fairBound = 0.9
	// shareDays is the number of days that are played, which differ in what is drawn.
	shareDays = 4
	// Team 0 sends a third of all jobs, from smallTeam on, a team sends less than a job in two seconds.
	largestTeam, smallTeam = 0, 10
)

// shareDay is a day of the load: batch work at 2.5 times its rate, and one team at seven times its usual.
type shareDay struct {
	seed uint64
	hot  int
	fair bool
}

// sharePlays holds the days that were played, since several tests look at them.
var sharePlays = map[shareDay]*shareLoad{}

// play plays a day, once.
func (d shareDay) play(t *testing.T) *shareLoad {
	if sharePlays[d] == nil {
		traffic, teams := shareTraffic(d.seed, 2.5, 7, d.hot)
		sharePlays[d] = newShareLoad(t, traffic, teams, d.fair)
		sharePlays[d].play(nil)
	}
	return sharePlays[d]
}

func all(*sharedJob) bool { return true }

func ofSmallTeam(j *sharedJob) bool { return j.Team >= fmt.Sprintf("t%02d", smallTeam) }

// Over several days, each team gets its part of what it is owed. Jobs placed as they come don't pass.
func TestTeamsGetWhatTheyAreOwed(t *testing.T) {
	var fair, plain []*sharedJob
	for seed := uint64(1); seed <= shareDays; seed++ {
		fair = append(fair, shareDay{seed, largestTeam, true}.play(t).traffic...)
		plain = append(plain, shareDay{seed, largestTeam, false}.play(t).traffic...)
	}
	t.Logf("worst to median %.3f, as they come %.3f; served %.3f, as they come %.3f", worstToMedian(fair), worstToMedian(plain), served(fair, all), served(plain, all))
	t.Logf("by team %.2f, as they come %.2f", byTeam(fair), byTeam(plain))
	assert.Assert(t, worstToMedian(fair) >= fairBound)
	assert.Assert(t, worstToMedian(plain) < fairBound, "the load doesn't tell the orders apart")
}

// On each single day, the worst team gets nearly as much of what it is owed as the median team.
func TestTeamsGetWhatTheyAreOwedEachDay(t *testing.T) {
	for seed := uint64(1); seed <= shareDays; seed++ {
		t.Run(fmt.Sprint("Day", seed), func(t *testing.T) {
			got := worstToMedian(shareDay{seed, largestTeam, true}.play(t).traffic)
			plain := worstToMedian(shareDay{seed, largestTeam, false}.play(t).traffic)
			t.Logf("worst to median %.3f, as they come %.3f", got, plain)
			assert.Assert(t, got >= fairBound, "got %.3f", got)
			assert.Assert(t, plain < fairBound)
		})
	}
}

// Small teams are served as on the same days without the hot team.
func TestSmallTeamsDontNoticeTheHotTeam(t *testing.T) {
	var hot, usual, plain []*sharedJob
	for seed := uint64(1); seed <= shareDays; seed++ {
		hot = append(hot, shareDay{seed, largestTeam, true}.play(t).traffic...)
		plain = append(plain, shareDay{seed, largestTeam, false}.play(t).traffic...)
		traffic, teams := shareTraffic(seed, 2.5, 1, largestTeam)
		l := newShareLoad(t, traffic, teams, true)
		l.play(nil)
		usual = append(usual, l.traffic...)
	}
	t.Logf("small teams %.3f, without the hot team %.3f, as they come %.3f", served(hot, ofSmallTeam), served(usual, ofSmallTeam), served(plain, ofSmallTeam))
	assert.Assert(t, served(hot, ofSmallTeam) >= served(usual, ofSmallTeam))
	assert.Assert(t, served(plain, ofSmallTeam) < served(usual, ofSmallTeam))
}

// All accepted jobs complete, also those beyond their team's budget, and the largest tenth of a kind of job is served at
// half the rate of its kind or more.
func TestExcessAndLargeJobsComplete(t *testing.T) {
	var list []*sharedJob
	for seed := uint64(1); seed <= shareDays; seed++ {
		l := shareDay{seed, largestTeam, true}.play(t)
		assert.Assert(t, l.complete())
		list = append(list, l.traffic...)
	}
	for i := range shareKinds {
		kind := shareKinds[i].name
		ofKind := func(j *sharedJob) bool { return j.Queue.Name == kind }
		var sizes []int
		for _, j := range list {
			if ofKind(j) {
				sizes = append(sizes, j.tasks)
			}
		}
		slices.Sort(sizes)
		limit := sizes[len(sizes)*9/10]
		large := func(j *sharedJob) bool { return ofKind(j) && j.tasks >= limit }
		t.Logf("%s: all %.3f, largest %.3f", kind, served(list, ofKind), served(list, large))
		assert.Assert(t, served(list, large) >= served(list, ofKind)/2)
	}
}

// A twelfth of the workers is taken away at two seconds' notice in the middle of the crest.
func TestSharesWhileWorkersAreTakenAway(t *testing.T) {
	ratio := map[bool]float64{}
	for _, fair := range []bool{true, false} {
		var list []*sharedJob
		for seed := uint64(1); seed <= 3; seed++ {
			traffic, teams := shareTraffic(seed, 2.5, 7, largestTeam)
			l := newShareLoad(t, traffic, teams, fair)
			l.play(func(at ms) {
				if at == 9000 {
					l.takeAway(slices.Clone(l.workers[:3]))
				}
			})
			assert.Assert(t, l.complete())
			list = append(list, l.traffic...)
		}
		ratio[fair] = worstToMedian(list)
		t.Logf("fair %v: worst to median %.3f, served %.3f, small teams %.3f", fair, ratio[fair], served(list, all), served(list, ofSmallTeam))
	}
	assert.Assert(t, ratio[true] >= fairBound)
	assert.Assert(t, ratio[false] < fairBound)
}

// A change of leader at the crest changes nothing: the jobs that were within their teams' budgets stay so, excess stays
// excess, and the budgets go on where they were.
func TestTakeoverChangesNoBudget(t *testing.T) {
	traffic, teams := shareTraffic(1, 2.5, 7, largestTeam)
	play := func(takeoverAt ms) (*shareLoad, map[string]bool) {
		l := newShareLoad(t, traffic, teams, true)
		var before map[string]bool
		l.play(func(at ms) {
			if at == takeoverAt {
				before = map[string]bool{}
				for _, j := range l.traffic {
					if s := l.stored[j.ID]; s.Job != nil && (s.Progress == nil || !s.Progress.State.Final()) {
						before[j.ID] = l.excess[j.ID]
					}
				}
				l.replaceLeader()
			}
		})
		return l, before
	}
	l, before := play(10_000)
	undisturbed := shareDay{1, largestTeam, true}.play(t)
	changed, excess := 0, 0
	for id, was := range before {
		if l.excess[id] != was {
			changed++
		}
		if was {
			excess++
		}
	}
	later, laterUndisturbed := 0, 0
	for _, j := range l.traffic {
		if j.at > 10_000 && j.at < 20_000 && l.excess[j.ID] {
			later++
		}
		if j.at > 10_000 && j.at < 20_000 && undisturbed.excess[j.ID] {
			laterUndisturbed++
		}
	}
	t.Logf("%d jobs, %d excess, %d changed; excess among later jobs %d, without the takeover %d", len(before), excess, changed, later, laterUndisturbed)
	t.Logf("served %.3f, worst to median %.3f; without the takeover %.3f, %.3f", served(l.traffic, all), worstToMedian(l.traffic), served(undisturbed.traffic, all), worstToMedian(undisturbed.traffic))
	assert.Assert(t, excess > 50)
	assert.Equal(t, changed, 0)
	assert.Equal(t, later, laterUndisturbed)
	assert.Assert(t, l.complete())
	assert.Assert(t, worstToMedian(l.traffic) >= fairBound)
}
