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

// A leader that only the voters confirm loses its authority when fewer than half of the workers have executed its calls lately.
func TestAuthorityNeedsHalfOfTheWorkers(t *testing.T) {
	const authorityMs, won, at = 700, ms(1000), ms(9000)
	tests := map[string]struct {
		rosters []Incarnations
		// confirmed holds the time and the incarnation that each worker has confirmed.
		confirmed map[string]ms
		startMs   int64
		want      ms
	}{
		"NoWorkers":    {nil, nil, 1, at + authorityMs},
		"EmptyRoster":  {[]Incarnations{{}}, nil, 1, at + authorityMs},
		"None":         {[]Incarnations{roster(4)}, nil, 1, won + authorityMs},
		"LessThanHalf": {[]Incarnations{roster(4)}, map[string]ms{"w0": at}, 1, won + authorityMs},
		"Half":         {[]Incarnations{roster(4)}, map[string]ms{"w0": at, "w3": at}, 1, at + authorityMs},
		"HalfOfThree":  {[]Incarnations{roster(3)}, map[string]ms{"w0": at}, 1, won + authorityMs},
		"OneOfOne":     {[]Incarnations{roster(1)}, map[string]ms{"w0": at}, 1, at + authorityMs},
		"OneOfTwo":     {[]Incarnations{roster(2)}, map[string]ms{"w1": at}, 1, at + authorityMs},
		"LongAgo":      {[]Incarnations{roster(2)}, map[string]ms{"w1": at - WorkerAuthorityMs}, 1, at},
		"Restarted":    {[]Incarnations{roster(2)}, map[string]ms{"w0": at, "w1": at}, 2, won + authorityMs},
		"InDoubt":      {[]Incarnations{roster(2), {"w2": 1, "w3": 1}}, map[string]ms{"w0": at, "w1": at}, 1, won + authorityMs},
		"InDoubtBoth":  {[]Incarnations{roster(2), {"w2": 1, "w3": 1}}, map[string]ms{"w0": at, "w2": at}, 1, at + authorityMs},
		"NoneOfSecond": {[]Incarnations{{}, roster(2)}, nil, 1, won + authorityMs},
		"HalfOfSecond": {[]Incarnations{{}, roster(2)}, map[string]ms{"w0": at}, 1, at + authorityMs},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := voters(5)
			term := NewTerm(all[0], authorityMs, all, won)
			for _, r := range test.rosters {
				term.ProposeWorkers(r)
			}
			for _, v := range all[1:] {
				term.Confirm(v, at)
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

// A new leader that reaches no voter waited for an hour when all their VMs had been replaced. The workers show that the prior
// leader has lost its authority.
func TestHandoverByWorkers(t *testing.T) {
	const authorityMs, won = 700, ms(1000)
	tests := map[string]struct {
		roster  Incarnations
		reached []string
		want    ms
	}{
		"None":        {roster(4), nil, won + MaxWithoutStoreAllMs + authorityMs},
		"Half":        {roster(4), []string{"w0", "w1"}, won + MaxWithoutStoreAllMs + authorityMs},
		"MoreThan":    {roster(4), []string{"w0", "w1", "w3"}, 1200 + WorkerAuthorityMs},
		"TwoOfThree":  {roster(3), []string{"w0", "w1"}, 1200 + WorkerAuthorityMs},
		"OneOfTwo":    {roster(2), []string{"w0"}, won + MaxWithoutStoreAllMs + authorityMs},
		"OneOfOne":    {roster(1), []string{"w0"}, 1200 + WorkerAuthorityMs},
		"EmptyRoster": {roster(0), nil, won + MaxWithoutStoreAllMs + authorityMs},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := NewHandover(voters(5), true, authorityMs, won)
			h.AwaitWorkers(test.roster)
			for i := range test.reached {
				// Each is reached only once, at its own time.
				h.ReachWorkers(func(id string, _ int64) bool { return id == test.reached[i] }, 1200-ms(len(test.reached)-1-i))
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
