package ccroute

import (
	"math/rand/v2"
	"testing"

	"coriandercross/core/ccmember"
	"coriandercross/core/ccwork"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// member returns an owner with the given load.
func member(id, region string, slots, free, deferrable, waiting int64) ccmember.Member {
	return ccmember.Member{ID: id, Region: region, Digest: ccmember.Digest{
		Slots: slots, FreeSlots: free, DeferrableSlots: deferrable, Waiting: waiting, ServiceMs: 100,
		LargestMilliCores: 8, LargestMemoryMB: 8,
	}}
}

func TestChoose(t *testing.T) {
	fits := ccwork.Size{MilliCores: 1, MemoryMB: 1}
	cases := map[string]struct {
		members []ccmember.Member
		request Request
		want    string
		err     error
	}{
		"NoOwners": {[]ccmember.Member{member("a", "here", 0, 0, 0, 0)}, Request{Size: fits, BudgetMs: 1_000}, "", ccwork.ErrNoOwner},
		"NoWorkerLargeEnough": {
			[]ccmember.Member{member("a", "here", 8, 8, 0, 0)}, Request{Size: ccwork.Size{MilliCores: 9}, BudgetMs: 1_000}, "", ccwork.ErrImpossible,
		},
		"OtherRegionNotAllowed": {[]ccmember.Member{member("b", "there", 8, 8, 0, 0)}, Request{Size: fits, BudgetMs: 1_000}, "", ccwork.ErrNoOwner},
		"OtherRegionAllowed": {
			[]ccmember.Member{member("b", "there", 8, 8, 0, 0)}, Request{Size: fits, BudgetMs: 1_000, CrossRegion: true}, "b", nil,
		},
		"NoWaitWithinDeadline": {[]ccmember.Member{member("a", "here", 8, 0, 0, 800)}, Request{Size: fits, BudgetMs: 1_000}, "", ccwork.ErrDeadline},
		"FreeSlotPreferredToQueue": {
			[]ccmember.Member{member("a", "here", 8, 0, 0, 3), member("b", "here", 8, 1, 0, 0)}, Request{Size: fits, BudgetMs: 1_000}, "b", nil,
		},
		"SlotsHeldByLongWorkDoNotCount": {
			[]ccmember.Member{member("a", "here", 80, 0, 80, 0), member("b", "here", 8, 0, 0, 20)}, Request{Size: fits, BudgetMs: 2_000}, "b", nil,
		},
		"TriedOwnersExcluded": {
			[]ccmember.Member{member("a", "here", 8, 8, 0, 0), member("b", "here", 8, 1, 0, 0)},
			Request{Size: fits, BudgetMs: 1_000, Tried: map[string]bool{"a": true}}, "b", nil,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Region: "here", Policy: TwoChoices, CrossRegionMs: 40, Rand: rand.New(rand.NewPCG(1, 1))})
			// Both draws can be the same owner, so the expected owner is only required to be chosen most often.
			got := map[string]int{}
			for range 40 {
				m, err := r.Choose(tc.members, tc.request)
				assert.Assert(t, tc.err == nil && err == nil || errors.Is(err, tc.err), "%v", err)
				got[m.ID]++
				clear(r.sent)
			}
			for id, n := range got {
				assert.Assert(t, n <= got[tc.want], "%s was chosen %d times, %q %d times", id, n, tc.want, got[tc.want])
			}
		})
	}
}
