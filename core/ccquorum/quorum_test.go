package ccquorum

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// voters returns n voters.
func voters(n int) []Voter {
	var out []Voter
	for i := range n {
		out = append(out, Voter{VM: fmt.Sprintf("vm%d", i), StartMs: 1})
	}
	return out
}

// A leader that the store has not confirmed for some time keeps its authority while a majority of the voters confirms
// it, up to a bound, and without a bound while all do.
func TestAuthority(t *testing.T) {
	const authorityMs, won = 700, ms(1000)
	tests := map[string]struct {
		voters, confirming int
		at                 ms
		want               ms
	}{
		"StoreOnly":               {5, 0, 5000, won + authorityMs},
		"Minority":                {5, 1, 5000, won + authorityMs},
		"Majority":                {5, 2, 5000, 5000 + authorityMs},
		"MajorityOfEven":          {6, 3, 5000, 5000 + authorityMs},
		"HalfIsNoMajority":        {6, 2, 5000, won + authorityMs},
		"MajorityWithoutStore":    {5, 2, 50_000, won + MaxWithoutStoreMs},
		"AllWithoutStore":         {5, 4, 50_000, 50_000 + authorityMs},
		"AllForLong":              {5, 4, 5_000_000, won + MaxWithoutStoreAllMs},
		"TooFewVoters":            {1, 0, 5000, won + authorityMs},
		"BothOfTwo":               {2, 1, 5000, 5000 + authorityMs},
		"ConfirmedBeforeTheWrite": {5, 4, 500, won + authorityMs},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := voters(test.voters)
			term := NewTerm(all[0], authorityMs, all, won)
			for _, v := range all[1 : 1+test.confirming] {
				term.Confirm(v, test.at)
			}
			assert.Equal(t, term.Authority(), test.want)
		})
	}
}

// Confirmations of a process that has restarted do not count for the voter that it was.
func TestRestartedVoterDoesNotCount(t *testing.T) {
	all := voters(3)
	term := NewTerm(all[0], 700, all, 1000)
	term.Confirm(Voter{VM: "vm1", StartMs: 2}, 5000)
	assert.Equal(t, term.Authority(), ms(1700))
	term.Confirm(all[2], 5000)
	assert.Equal(t, term.Authority(), ms(5700))
}

// While the outcome of a write of other voters is not known, a majority of both sets is needed.
func TestVotersInDoubt(t *testing.T) {
	all := voters(6)
	term := NewTerm(all[0], 700, all[:3], 1000)
	term.Propose([]Voter{all[0], all[3], all[4], all[5]})
	term.Confirm(all[1], 5000)
	assert.Equal(t, term.Authority(), ms(1700))
	term.Confirm(all[3], 5000)
	term.Confirm(all[4], 5000)
	assert.Equal(t, term.Authority(), ms(5700))
	term.Recorded([]Voter{all[0], all[3], all[4], all[5]})
	term.Confirm(all[3], 6000)
	term.Confirm(all[4], 6000)
	assert.Equal(t, term.Authority(), ms(6700))
}

// After a suspension, confirmations from before it must not extend the authority: the clock did not count the
// suspension. Formerly the replies of all peers from before it did so at once.
func TestSuspensionVoidsConfirmations(t *testing.T) {
	all := voters(3)
	term := NewTerm(all[0], 700, all, 1000)
	term.Confirm(all[1], 2000)
	term.Confirm(all[2], 2000)
	term.Invalidate(2010)
	term.Confirm(all[1], 2005)
	term.ConfirmByStore(2005)
	assert.Equal(t, term.Authority(), ms(0))
	term.ConfirmByStore(2050)
	assert.Equal(t, term.Authority(), ms(2750))
}

// A new leader waits until a majority of the voters has left the prior leader, and for the authority that these gave
// last.
func TestHandover(t *testing.T) {
	const authorityMs, won = 700, ms(1000)
	all := voters(5)
	tests := map[string]struct {
		voters  []Voter
		settled bool
		events  func(h *Handover)
		want    ms
	}{
		"NoVoters":                      {nil, true, func(*Handover) {}, won + authorityMs},
		"NoneReached":                   {all, true, func(*Handover) {}, won + MaxWithoutStoreAllMs + authorityMs},
		"MinorityLeft":                  {all, true, func(h *Handover) { h.Follows(all[0], 1100); h.Follows(all[1], 1100) }, won + MaxWithoutStoreMs + authorityMs},
		"MajorityLeft":                  {all, true, func(h *Handover) { h.Follows(all[0], 1100); h.Follows(all[1], 1200); h.Follows(all[2], 1300) }, 1300 + authorityMs},
		"OneTwice":                      {all, true, func(h *Handover) { h.Follows(all[0], 1100); h.Follows(all[0], 1200); h.Follows(all[2], 1300) }, won + MaxWithoutStoreMs + authorityMs},
		"Restarted":                     {all, true, func(h *Handover) { h.Follows(all[0], 1100); h.Follows(Voter{"vm1", 9}, 1200); h.Ended(all[2], 1250) }, 1250 + authorityMs},
		"OtherOfTwo":                    {all[:2], true, func(h *Handover) { h.Follows(all[1], 1100) }, 1100 + authorityMs},
		"HalfOfFour":                    {all[:4], true, func(h *Handover) { h.Follows(all[0], 1100); h.Follows(all[1], 1150) }, 1150 + authorityMs},
		"PriorLeaderEnded":              {all, true, func(h *Handover) { h.PriorLeaderEnded(1100) }, 1100},
		"PriorLeaderEndedWithoutVoters": {nil, true, func(h *Handover) { h.PriorLeaderEnded(1100) }, 1100},
		"PriorOfUnsettled":              {all, false, func(h *Handover) { h.PriorLeaderEnded(1100) }, won + MaxWithoutStoreAllMs + authorityMs},
		"OtherProcesses": {all, true, func(h *Handover) {
			h.Follows(Voter{"x", 1}, 1100)
			h.Ended(Voter{"vm1", 9}, 1200)
			h.Follows(all[2], 1250)
		}, won + MaxWithoutStoreMs + authorityMs},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := NewHandover(test.voters, test.settled, authorityMs, won)
			test.events(h)
			assert.Equal(t, h.EndsAt(), test.want)
		})
	}
}
