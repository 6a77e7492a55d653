package ccquorum

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// roster returns n workers.
func roster(n int) Incarnations {
	out := Incarnations{}
	for i := range n {
		out[fmt.Sprintf("w%d", i)] = 1
	}
	return out
}

// A leader that only the voters confirm loses its authority when fewer than half of the workers have executed its calls lately, and
// when fewer than most have, after a while without the store.
func TestAuthorityNeedsHalfOfTheWorkers(t *testing.T) {
	const (
		authorityMs, won = 700, ms(1000)
		// at is within MaxWithHalfMs of the last confirmation by the store, late is not.
		at, late = won + MaxWithHalfMs - 1000, ms(9000)
	)
	tests := map[string]struct {
		rosters []Incarnations
		// confirmed holds the time and the incarnation that each worker has confirmed.
		confirmed map[string]ms
		startMs   int64
		want      ms
		// votersAt is the time of the confirmations by the voters.
		votersAt ms
	}{
		"NoWorkers":    {nil, nil, 1, at + authorityMs, at},
		"EmptyRoster":  {[]Incarnations{{}}, nil, 1, at + authorityMs, at},
		"None":         {[]Incarnations{roster(4)}, nil, 1, won + authorityMs, at},
		"LessThanHalf": {[]Incarnations{roster(4)}, map[string]ms{"w0": at}, 1, won + authorityMs, at},
		"Half":         {[]Incarnations{roster(4)}, map[string]ms{"w0": at, "w3": at}, 1, at + authorityMs, at},
		"HalfOfThree":  {[]Incarnations{roster(3)}, map[string]ms{"w0": at}, 1, won + authorityMs, at},
		"OneOfOne":     {[]Incarnations{roster(1)}, map[string]ms{"w0": at}, 1, at + authorityMs, at},
		"OneOfTwo":     {[]Incarnations{roster(2)}, map[string]ms{"w1": at}, 1, at + authorityMs, at},
		"LongAgo":      {[]Incarnations{roster(2)}, map[string]ms{"w1": at - WorkerAuthorityMs}, 1, at, at},
		"Restarted":    {[]Incarnations{roster(2)}, map[string]ms{"w0": at, "w1": at}, 2, won + authorityMs, at},
		"InDoubt":      {[]Incarnations{roster(2), {"w2": 1, "w3": 1}}, map[string]ms{"w0": at, "w1": at}, 1, won + authorityMs, at},
		"InDoubtBoth":  {[]Incarnations{roster(2), {"w2": 1, "w3": 1}}, map[string]ms{"w0": at, "w2": at}, 1, at + authorityMs, at},
		"NoneOfSecond": {[]Incarnations{{}, roster(2)}, nil, 1, won + authorityMs, at},
		"HalfOfSecond": {[]Incarnations{{}, roster(2)}, map[string]ms{"w0": at}, 1, at + authorityMs, at},
		"LateNone":     {[]Incarnations{roster(4)}, nil, 1, won + authorityMs, late},
		"LateHalf":     {[]Incarnations{roster(4)}, map[string]ms{"w0": late, "w3": late}, 1, won + MaxWithHalfMs, late},
		"LateMost":     {[]Incarnations{roster(4)}, map[string]ms{"w0": late, "w1": late, "w3": late}, 1, late + authorityMs, late},
		"LateOneOfTwo": {[]Incarnations{roster(2)}, map[string]ms{"w0": late}, 1, won + MaxWithHalfMs, late},
		"LateOneOfOne": {[]Incarnations{roster(1)}, map[string]ms{"w0": late}, 1, late + authorityMs, late},
		"LateInDoubt":  {[]Incarnations{roster(1), roster(4)}, map[string]ms{"w0": late, "w1": late}, 1, won + MaxWithHalfMs, late},
		"MostLongAgo":  {[]Incarnations{roster(2)}, map[string]ms{"w0": late - WorkerAuthorityMs, "w1": late - WorkerAuthorityMs}, 1, late, late},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := voters(5)
			term := NewTerm(all[0], authorityMs, all, won)
			for _, r := range test.rosters {
				term.ProposeWorkers(r)
			}
			for _, v := range all[1:] {
				term.Confirm(v, test.votersAt)
			}
			term.ConfirmByWorkers(func(id string, startMs int64) ms {
				if startMs != test.startMs {
					return 0
				}
				return test.confirmed[id]
			})
			assert.Equal(t, term.Authority(), test.want)
		})
	}
}

// Confirmations of workers from before a suspension do not count, and a roster that is certain replaces those in doubt.
func TestConfirmationsByWorkersEnd(t *testing.T) {
	all := voters(3)
	term := NewTerm(all[0], 700, all, 1000)
	term.RecordedWorkers(roster(2))
	confirm := func(at ms) {
		term.Confirm(all[1], at)
		term.Confirm(all[2], at)
		term.ConfirmByWorkers(func(string, int64) ms { return at })
	}
	confirm(2000)
	assert.Equal(t, term.Authority(), ms(2700))
	term.Invalidate(2100)
	term.ConfirmByStore(2150)
	term.Confirm(all[1], 4000)
	term.Confirm(all[2], 4000)
	term.ConfirmByWorkers(func(string, int64) ms { return 2050 })
	assert.Equal(t, term.Authority(), ms(2850))
	confirm(4000)
	assert.Equal(t, term.Authority(), ms(4700))
	term.ProposeWorkers(Incarnations{"x": 1})
	term.RecordedWorkers(roster(1))
	confirm(5000)
	assert.Equal(t, term.Authority(), ms(5700))
}

// A new leader that reaches no voter waited for an hour when all their VMs had been replaced, and again when half of the workers had been
// lost with them. The other workers show that the prior leader has lost its authority.
func TestHandoverByWorkers(t *testing.T) {
	const authorityMs, won = 700, ms(1000)
	tests := map[string]struct {
		roster  Incarnations
		reached []string
		// earlier is true if the prior leader is of a release that needs half of the workers at any time.
		earlier bool
		at      ms // The time of the last call that a worker has executed.
		want    ms
	}{
		"None":               {roster: roster(4), at: 1200, want: won + MaxWithoutStoreAllMs + authorityMs},
		"Quarter":            {roster: roster(4), reached: []string{"w1"}, at: 1200, want: won + MaxWithoutStoreAllMs + authorityMs},
		"Half":               {roster: roster(4), reached: []string{"w0", "w1"}, at: 1200, want: won + MaxWithHalfMs},
		"HalfLater":          {roster: roster(4), reached: []string{"w0", "w1"}, at: 5000, want: 5000 + WorkerAuthorityMs},
		"HalfEarlierRelease": {roster: roster(4), reached: []string{"w0", "w1"}, earlier: true, at: 1200, want: won + MaxWithoutStoreAllMs + authorityMs},
		"MoreThan":           {roster: roster(4), reached: []string{"w0", "w1", "w3"}, at: 1200, want: 1200 + WorkerAuthorityMs},
		"MoreThanEarlier":    {roster: roster(4), reached: []string{"w0", "w1", "w3"}, earlier: true, at: 1200, want: 1200 + WorkerAuthorityMs},
		"TwoOfThree":         {roster: roster(3), reached: []string{"w0", "w1"}, at: 1200, want: 1200 + WorkerAuthorityMs},
		"OneOfTwo":           {roster: roster(2), reached: []string{"w0"}, at: 1200, want: won + MaxWithHalfMs},
		"OneOfOne":           {roster: roster(1), reached: []string{"w0"}, at: 1200, want: 1200 + WorkerAuthorityMs},
		"EmptyRoster":        {roster: roster(0), at: 1200, want: won + MaxWithoutStoreAllMs + authorityMs},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := NewHandover(voters(5), true, authorityMs, won)
			h.AwaitWorkers(test.roster, !test.earlier)
			for i := range test.reached {
				// Each is reached only once, at its own time.
				h.ReachWorkers(func(id string, _ int64) bool { return id == test.reached[i] }, test.at-ms(len(test.reached)-1-i))
			}
			h.ReachWorkers(func(string, int64) bool { return false }, 9000)
			assert.Equal(t, h.EndsAt(), test.want)
		})
	}
}

// A worker counts as recorded only if every roster that the store may hold has it: a write whose outcome is not known may leave
// either.
func TestInEachRoster(t *testing.T) {
	tests := map[string]struct {
		found    Incarnations
		proposed []Incarnations
		recorded Incarnations
		want     Incarnations
	}{
		"Found":             {found: roster(2), want: roster(2)},
		"None":              {want: Incarnations{}},
		"FirstInDoubt":      {proposed: []Incarnations{roster(2)}, want: Incarnations{}},
		"MoreInDoubt":       {found: roster(1), proposed: []Incarnations{roster(3)}, want: roster(1)},
		"FewerInDoubt":      {found: roster(3), proposed: []Incarnations{roster(1)}, want: roster(1)},
		"TwoInDoubt":        {found: roster(3), proposed: []Incarnations{roster(2), roster(4)}, want: roster(2)},
		"RestartedInDoubt":  {found: roster(1), proposed: []Incarnations{{"w0": 2}}, want: roster(1)},
		"RecordedAfterward": {found: roster(1), proposed: []Incarnations{roster(3)}, recorded: roster(3), want: roster(3)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			term := NewTerm(Voter{VM: "a"}, 700, nil, 1000)
			term.RecordedWorkers(test.found)
			for _, r := range test.proposed {
				term.ProposeWorkers(r)
			}
			if test.recorded != nil {
				term.RecordedWorkers(test.recorded)
			}
			got := term.InEachRoster()
			assert.Equal(t, len(got), len(test.want))
			for id := range test.want {
				assert.Assert(t, got[id], id)
			}
		})
	}
}
