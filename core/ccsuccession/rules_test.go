package ccsuccession

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEvidence checks when a leader is kept although calls to it fail.
func TestEvidence(t *testing.T) {
	tests := map[string]struct {
		e    Evidence
		want string
	}{
		"SilentAndConfirmed":      {Evidence{Failure: Silent, Misses: 1, Asked: 3, Answered: 2}, ""},
		"NobodyElseIsLeft":        {Evidence{Failure: Silent, Misses: 1}, ""},
		"Refused":                 {Evidence{Failure: Dead, Misses: 1, Asked: 3, OwnSlow: true, Patience: 4800}, ""},
		"RefusedButReached":       {Evidence{Failure: Dead, Misses: 1, Asked: 3, Answered: 3, Reached: 1}, keepReached},
		"SilentButReached":        {Evidence{Failure: Silent, Misses: 5, Asked: 3, Answered: 3, Reached: 1}, keepReached},
		"ReachedForTooLong":       {Evidence{Failure: Silent, Misses: 6, Asked: 3, Answered: 3, Reached: 1}, ""},
		"SlowObserver":            {Evidence{Failure: Silent, Misses: 5, Asked: 3, Answered: 3, OwnSlow: true}, keepOwnSlow},
		"SlowObserverIsToldSo":    {Evidence{Failure: Silent, Misses: 50, Asked: 3, Answered: 3, Reached: 1, OwnSlow: true}, keepReached},
		"SlowObserverIsConfirmed": {Evidence{Failure: Silent, Misses: 6, Asked: 3, Answered: 1, OwnSlow: true}, ""},
		"SlowObserverReachesNone": {Evidence{Failure: Silent, Misses: 29, Asked: 3, OwnSlow: true}, keepOwnSlow},
		"AllSlowForLong":          {Evidence{Failure: Silent, Misses: 30, Asked: 3, OwnSlow: true}, ""},
		"CutOffFromAll":           {Evidence{Failure: Silent, Misses: 2, Asked: 3}, keepUnconfirmed},
		"AllOthersDead":           {Evidence{Failure: Silent, Misses: 3, Asked: 3}, ""},
		"LeadersChangeTooOften":   {Evidence{Failure: Silent, Misses: 2, ForMs: 500, Asked: 3, Answered: 3, Patience: 600}, keepPatience},
		"PatienceIsOver":          {Evidence{Failure: Silent, Misses: 2, ForMs: 600, Asked: 3, Answered: 3, Patience: 600}, ""},
		"NoStoreTooOften":         {Evidence{Failure: NoStore, Misses: 1, Patience: 600}, keepPatience},
		"NoStore":                 {Evidence{Failure: NoStore, Misses: 1, OwnSlow: true}, ""},
		"ResignsAlsoToSlow":       {Evidence{Failure: Resigns, Misses: 1, OwnSlow: true, Patience: 4800}, ""},
		"EndedAlsoWhenTheyChange": {Evidence{Failure: Ended, Misses: 1, OwnSlow: true, Patience: 4800}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.e.Keep(), test.want)
		})
	}
}

// A leader was killed, and the reply that it had sent to another process 30 ms before counted as contact 270 ms later: the
// first in rank kept it, and the next one that tried led.
func TestContactBeforeTheFailureDoesNotCount(t *testing.T) {
	const heartbeat, usual ms = 150, 300
	tests := map[string]struct {
		e    Evidence
		want ms
	}{
		"DeadForLonger":    {Evidence{Failure: Dead, ForMs: 268}, 268},
		"JustBroken":       {Evidence{Failure: Dead, ForMs: 20}, heartbeat},
		"BrokenForSeconds": {Evidence{Failure: Dead, ForMs: 2000}, usual},
		"Silent":           {Evidence{Failure: Silent, ForMs: 20}, usual},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.e.MaxContactAge(heartbeat, usual), test.want)
		})
	}
}

// TestOffer checks when a leader hands over, and to whom.
func TestOffer(t *testing.T) {
	slow := State{Region: "r", Cores: 0.8, Slowness: 6, AgeMs: 60_000, Settled: true, StoreReached: true}
	well := Candidate{VM: "a", Region: "r", Cores: 0.8, Slowness: 0, ReportedAt: 2000}
	tests := map[string]struct {
		state     func(s *State)
		candidate func(c *Candidate)
		after     ms
		want      bool
	}{
		"Slow":                 {nil, nil, 200, true},
		"SlowForTooShort":      {nil, nil, 100, false},
		"NotSlow":              {func(s *State) { s.Slowness = 2 }, nil, 10_000, false},
		"AllSlow":              {func(s *State) { s.Slowness = 3 }, func(c *Candidate) { c.Slowness = 2 }, 10_000, false},
		"SuccessorIsSlow":      {nil, func(c *Candidate) { c.Slowness = 2.5 }, 10_000, false},
		"SuccessorIsDemoted":   {nil, func(c *Candidate) { c.Demoted = true }, 10_000, false},
		"ReportIsOld":          {nil, func(c *Candidate) { c.ReportedAt = 900 }, 10_000, false},
		"OtherRegion":          {nil, func(c *Candidate) { c.Region = "s" }, 1500, false},
		"OtherRegionLater":     {nil, func(c *Candidate) { c.Region = "s" }, 2000, true},
		"SmallerVM":            {func(s *State) { s.Slowness = 10 }, func(c *Candidate) { c.Cores = 0.192 }, 400, false},
		"SmallerVMLater":       {func(s *State) { s.Slowness = 10 }, func(c *Candidate) { c.Cores = 0.192 }, 800, true},
		"SmallerVMIsNoGain":    {nil, func(c *Candidate) { c.Cores = 0.192 }, 10_000, false},
		"NotSettled":           {func(s *State) { s.Settled = false }, nil, 10_000, false},
		"StoreNotReached":      {func(s *State) { s.StoreReached = false }, nil, 10_000, false},
		"NewTerm":              {func(s *State) { s.AgeMs = 400 }, nil, 200, false},
		"TooOften":             {func(s *State) { s.AgeMs, s.Patience = 4000, 600 }, nil, 200, false},
		"OverloadedSmallVM":    {func(s *State) { s.Slowness, s.Cores, s.Lag = 1, 0.192, 200 }, nil, 2000, true},
		"OverloadedForAMoment": {func(s *State) { s.Slowness, s.Cores, s.Lag = 1, 0.192, 200 }, nil, 1000, false},
		"OverloadedLargeVM":    {func(s *State) { s.Slowness, s.Lag = 1, 200 }, nil, 10_000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := slow, well
			if test.state != nil {
				test.state(&s)
			}
			if test.candidate != nil {
				test.candidate(&c)
			}
			var r Resignation
			var o *Offer
			for now := ms(1000); now <= 1000+test.after; now += 50 {
				o = r.Offer(&s, now)
			}
			assert.Equal(t, o != nil && o.Accepts(&c), test.want)
		})
	}
}

// TestPace checks that single measurements don't make a VM slow, or normal, and that hours do.
func TestPace(t *testing.T) {
	var p Pace
	observe := func(n int, d time.Duration) {
		for range n {
			p.Observe(d)
		}
	}
	observe(1, 50*time.Microsecond) // The first one is interrupted.
	observe(50, 10*time.Microsecond)
	assert.Assert(t, p.Slowness() < 1.5, "%v", p.Slowness())
	observe(2, 100*time.Microsecond)
	assert.Assert(t, p.Slowness() < 1.5 && p.LastSlowness() > 5, "%v, last %v", p.Slowness(), p.LastSlowness())
	observe(1, 100*time.Microsecond)
	assert.Assert(t, p.Slowness() > SlowFrom)
	observe(3, time.Nanosecond)
	observe(300, 60*time.Microsecond) // Some 15 s.
	assert.Assert(t, p.Slowness() > 5 && p.Slowness() < 7, "%v", p.Slowness())
	observe(1, 10*time.Microsecond)
	assert.Assert(t, p.Slowness() < SlowFrom)
	observe(100_000, 60*time.Microsecond)
	assert.Assert(t, p.Slowness() < SlowFrom)
}

// TestTerms checks the patience after several changes, and what other processes learn of demoted ones.
func TestTerms(t *testing.T) {
	var a, b Terms
	a.Began(7, 1000)
	assert.Equal(t, a.Patience(1000), ms(0))
	a.Began(8, 2000)
	assert.Equal(t, a.Patience(2000), ms(0))
	a.Began(10, 3000) // The term between has not been seen.
	assert.Equal(t, a.Recent(3000), 3)
	assert.Equal(t, a.Patience(3000), 2*basePatienceMs)
	assert.Equal(t, a.Patience(3000+termWindowMs+1), ms(0))
	a.Demote("vm", 3000)
	assert.Assert(t, a.Demoted("vm", 3000+demotionMs-1) && !a.Demoted("vm", 3000+demotionMs) && !a.Demoted("other", 3000))
	b.Adopt(a.Demotions(13_000), 500)
	assert.Assert(t, b.Demoted("vm", 500+demotionMs-10_001) && !b.Demoted("vm", 500+demotionMs-10_000))
	assert.Equal(t, len(a.Demotions(3000+demotionMs)), 0)
}

// TestOrder checks who takes over first.
func TestOrder(t *testing.T) {
	list := []Candidate{
		{VM: "remote-slow", Region: "s", Cores: 0.8, Slowness: 7}, {VM: "demoted", Region: "r", Cores: 0.8, Demoted: true}, {VM: "small", Region: "r", Cores: 0.192},
		{VM: "remote", Region: "s", Cores: 0.8}, {VM: "slow", Region: "r", Cores: 0.8, Slowness: 6}, {VM: "b", Region: "r", Cores: 0.8}, {VM: "a", Region: "r", Cores: 0.8},
		{VM: "half", Region: "r", Cores: 0.4}, {VM: "remote-small", Region: "s", Cores: 0.192},
	}
	Order(list, "r")
	var got []string
	for _, c := range list {
		got = append(got, c.VM)
	}
	assert.DeepEqual(t, got, []string{"a", "b", "half", "small", "slow", "remote", "remote-small", "remote-slow", "demoted"})
}
