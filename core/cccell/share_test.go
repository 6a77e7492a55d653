package cccell_test

import (
	"fmt"
	"slices"
	"testing"

	"golang.org/x/sync/errgroup"
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

// shareDay is a day of the load: batch work at 2.5 times its rate, and the largest team at seven times its usual.
type shareDay struct {
	seed uint64
	// fair is false if the cell has no teams, policy is true if the queues have a policy service.
	fair, policy bool
	// usual is true if no team is hot, and takenAway if a twelfth of the workers is taken away at two seconds' notice in
	// the middle of the crest.
	usual, takenAway bool
}

// sharePlays holds the days that were played, since several tests look at them.
var sharePlays = map[shareDay]*shareLoad{}

// playsAtOnce is the number of days that are played at the same time.
const playsAtOnce = 4

// played returns the plays of days, which differ in what is drawn. Each day is played once.
func played(t *testing.T, days int, d shareDay) []*shareLoad {
	out := make([]*shareLoad, days)
	var plays errgroup.Group
	plays.SetLimit(playsAtOnce)
	for i := range out {
		d.seed = uint64(i + 1)
		if out[i] = sharePlays[d]; out[i] != nil {
			continue
		}
		out[i] = d.load(t)
		sharePlays[d] = out[i]
		plays.Go(func() error {
			out[i].play()
			return nil
		})
	}
	assert.NilError(t, plays.Wait())
	return out
}

// load returns the load of a day.
func (d shareDay) load(t *testing.T) *shareLoad {
	hotFactor := 7.0
	if d.usual {
		hotFactor = 1
	}
	traffic, teams := shareTraffic(d.seed, 2.5, hotFactor, largestTeam)
	for _, j := range traffic {
		if d.policy {
			j.Queue.Advice = &kindOf(j.Job).advice
		}
	}
	l := newShareLoad(t, traffic, teams, d.fair)
	if d.takenAway {
		l.each = func(at ms) {
			if at == 9000 {
				l.takeAway(slices.Clone(l.workers[:3]))
			}
		}
	}
	return l
}

// jobsOf returns the jobs of several plays.
func jobsOf(plays []*shareLoad) []*sharedJob {
	var out []*sharedJob
	for _, l := range plays {
		out = append(out, l.traffic...)
	}
	return out
}

func all(*sharedJob) bool { return true }

func ofSmallTeam(j *sharedJob) bool { return j.Team >= fmt.Sprintf("t%02d", smallTeam) }

// Over several days, each team gets its part of what it is owed. Jobs placed as they come don't pass.
func TestTeamsGetWhatTheyAreOwed(t *testing.T) {
	tests := map[string]bool{"Room": false, "PolicyService": true}
	for name, policy := range tests {
		t.Run(name, func(t *testing.T) {
			fair := jobsOf(played(t, shareDays, shareDay{fair: true, policy: policy}))
			plain := jobsOf(played(t, shareDays, shareDay{policy: policy}))
			t.Logf("worst to median %.3f, as they come %.3f; served %.3f, as they come %.3f", worstToMedian(fair), worstToMedian(plain), served(fair, all), served(plain, all))
			t.Logf("by team %.2f, as they come %.2f", byTeam(fair), byTeam(plain))
			assert.Assert(t, worstToMedian(fair) >= fairBound)
			assert.Assert(t, worstToMedian(plain) < fairBound, "the load doesn't tell the orders apart")
		})
	}
}

// On each single day, the worst team gets nearly as much of what it is owed as the median team.
func TestTeamsGetWhatTheyAreOwedEachDay(t *testing.T) {
	testEachDay(t, false)
}

// The same where a policy service decides which workers may run a stage. A small team has about eight jobs on a day.
func TestTeamsGetWhatTheyAreOwedEachDayWithPolicyService(t *testing.T) {
	testEachDay(t, true)
}

func testEachDay(t *testing.T, policy bool) {
	fair := played(t, shareDays, shareDay{fair: true, policy: policy})
	plain := played(t, shareDays, shareDay{policy: policy})
	for i := range fair {
		t.Run(fmt.Sprint("Day", i+1), func(t *testing.T) {
			got, asTheyCome := worstToMedian(fair[i].traffic), worstToMedian(plain[i].traffic)
			t.Logf("worst to median %.3f, as they come %.3f", got, asTheyCome)
			assert.Assert(t, got >= fairBound, "got %.3f", got)
			assert.Assert(t, asTheyCome < fairBound)
		})
	}
}

// Small teams are served as on the same days without the hot team.
func TestSmallTeamsDontNoticeTheHotTeam(t *testing.T) {
	hot := jobsOf(played(t, shareDays, shareDay{fair: true}))
	plain := jobsOf(played(t, shareDays, shareDay{}))
	usual := jobsOf(played(t, shareDays, shareDay{fair: true, usual: true}))
	t.Logf("small teams %.3f, without the hot team %.3f, as they come %.3f", served(hot, ofSmallTeam), served(usual, ofSmallTeam), served(plain, ofSmallTeam))
	assert.Assert(t, served(hot, ofSmallTeam) >= served(usual, ofSmallTeam))
	assert.Assert(t, served(plain, ofSmallTeam) < served(usual, ofSmallTeam))
}

// All accepted jobs complete, also those beyond their team's budget, and the largest tenth of a kind of job is served at
// half the rate of its kind or more.
func TestExcessAndLargeJobsComplete(t *testing.T) {
	plays := played(t, shareDays, shareDay{fair: true})
	for _, l := range plays {
		assert.Assert(t, l.complete())
	}
	list := jobsOf(plays)
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
		plays := played(t, shareDays, shareDay{fair: fair, takenAway: true})
		for _, l := range plays {
			assert.Assert(t, l.complete())
		}
		list := jobsOf(plays)
		ratio[fair] = worstToMedian(list)
		t.Logf("fair %v: worst to median %.3f, served %.3f, small teams %.3f", fair, ratio[fair], served(list, all), served(list, ofSmallTeam))
	}
	assert.Assert(t, ratio[true] >= fairBound)
	assert.Assert(t, ratio[false] < fairBound)
}

// A change of leader at the crest changes nothing: the jobs that were within their teams' budgets stay so, excess stays
// excess, and the budgets go on where they were.
func TestTakeoverChangesNoBudget(t *testing.T) {
	l := shareDay{seed: 1, fair: true}.load(t)
	var before map[string]bool
	l.each = func(at ms) {
		if at != 10_000 {
			return
		}
		before = map[string]bool{}
		for _, j := range l.traffic {
			if s := l.stored[j.ID]; s.Job != nil && (s.Progress == nil || !s.Progress.State.Final()) {
				before[j.ID] = l.excess[j.ID]
			}
		}
		l.replaceLeader()
	}
	l.play()
	undisturbed := played(t, 1, shareDay{fair: true})[0]
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
