package ccquota

import (
	"testing"

	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestFitting(t *testing.T) {
	size := func(cores, memory, accelerators int64) ccwork.Size {
		return ccwork.Size{MilliCores: cores, MemoryMB: memory, Accelerators: accelerators}
	}
	tests := map[string]struct {
		limit, task, unknown ccwork.Size
		// running are the tasks that run already.
		running []ccwork.Size
		n, want int
	}{
		"NoCap":                  {task: size(1000, 0, 0), running: []ccwork.Size{size(9000, 9000, 9)}, n: 7, want: 7},
		"CapOfCores":             {limit: size(3500, 0, 0), task: size(1000, 900, 0), n: 7, want: 3},
		"CapOfMemory":            {limit: size(0, 1000, 0), task: size(1000, 900, 0), n: 7, want: 1},
		"CapOfAccelerators":      {limit: size(0, 0, 2), task: size(1000, 900, 1), n: 7, want: 2},
		"Exactly":                {limit: size(3000, 0, 0), task: size(1000, 0, 0), running: []ccwork.Size{size(2000, 0, 0)}, n: 7, want: 1},
		"Full":                   {limit: size(3000, 0, 0), task: size(1000, 0, 0), running: []ccwork.Size{size(3000, 0, 0)}, n: 7, want: 0},
		"FewerThanFit":           {limit: size(3000, 0, 0), task: size(1000, 0, 0), n: 2, want: 2},
		"UsesNoneOfIt":           {limit: size(0, 0, 1), task: size(1000, 0, 0), running: []ccwork.Size{size(0, 0, 1)}, n: 7, want: 7},
		"LargerThanCap":          {limit: size(500, 0, 0), task: size(1000, 0, 0), n: 7, want: 1},
		"LargerThanCapNotAlone":  {limit: size(500, 0, 0), task: size(1000, 0, 0), running: []ccwork.Size{size(1, 0, 0)}, n: 7, want: 0},
		"BesideLargerThanCap":    {limit: size(500, 0, 0), task: size(1, 0, 0), running: []ccwork.Size{size(1000, 0, 0)}, n: 7, want: 0},
		"UnknownCounts":          {limit: size(5000, 0, 0), task: size(1000, 0, 0), running: []ccwork.Size{size(1000, 0, 0)}, unknown: size(2000, 0, 0), n: 7, want: 2},
		"UnknownIsNotAlone":      {limit: size(500, 0, 0), task: size(1000, 0, 0), unknown: size(0, 1, 0), n: 7, want: 0},
		"NoneToStart":            {limit: size(500, 0, 0), task: size(1000, 0, 0), n: 0, want: 0},
		"LoweredBelowWhatRuns":   {limit: size(1000, 0, 0), task: size(1, 0, 0), running: []ccwork.Size{size(1000, 0, 0), size(1, 0, 0)}, n: 7, want: 0},
		"LoweredForOtherTasks":   {limit: size(0, 0, 1), task: size(1, 0, 0), running: []ccwork.Size{size(0, 0, 2)}, n: 7, want: 0},
		"SizeOfNothing":          {limit: size(500, 0, 0), task: size(0, 0, 0), n: 7, want: 7},
		"LargerThanAnyProduct":   {limit: size(500, 0, 0), task: size(1<<62, 0, 0), running: []ccwork.Size{size(1, 0, 0)}, n: 4096, want: 0},
		"LargerInOneOfResources": {limit: size(5000, 100, 0), task: size(1000, 200, 0), n: 7, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBook()
			b.SetLimits(map[string]Limits{"t": {Cap: test.limit}})
			a := b.Account("t")
			for _, s := range test.running {
				a.Charge(s)
			}
			assert.Equal(t, a.Fitting(test.task, test.n, test.unknown), test.want)
			b.Account("other").Charge(size(1<<20, 1<<20, 1<<20))
			assert.Equal(t, a.Fitting(test.task, test.n, test.unknown), test.want, "what another team runs does not count")
		})
	}
}

// Before the first configuration is known, a team may have a cap.
func TestNothingFitsBeforeLimitsAreKnown(t *testing.T) {
	b := NewBook()
	one := ccwork.Size{MilliCores: 1000}
	assert.Equal(t, b.Account("t").Fitting(one, 3, ccwork.Size{}), 0)
	assert.Equal(t, b.Account("").Fitting(one, 3, ccwork.Size{}), 3)
	b.SetLimits(nil)
	assert.Equal(t, b.Account("t").Fitting(one, 3, ccwork.Size{}), 3)
	b.SetLimits(map[string]Limits{"t": {Cap: one}})
	b.SetLimits(nil)
	assert.Equal(t, b.Account("t").Fitting(one, 3, ccwork.Size{}), 1, "a team that was removed keeps its last limits")
	b.SetLimits(map[string]Limits{"t": {}})
	assert.Equal(t, b.Account("t").Fitting(one, 3, ccwork.Size{}), 3)
}

// Any order of charges and releases leaves the account with the sum of what is charged, and a charge that fits never
// passes the cap, but for one task that has started alone.
func TestBookNeverPassesTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook()
		a := b.Account("t")
		limit := int64(rapid.IntRange(1, 20).Draw(t, "limit"))
		b.SetLimits(map[string]Limits{"t": {Cap: ccwork.Size{MilliCores: limit}}})
		var charged []ccwork.Size
		for range 40 {
			if len(charged) > 0 && rapid.Bool().Draw(t, "release") {
				a.Release(charged[0])
				charged = charged[1:]
			} else {
				s := ccwork.Size{MilliCores: int64(rapid.IntRange(0, 24).Draw(t, "size"))}
				n := a.Fitting(s, 3, ccwork.Size{})
				for range n {
					a.Charge(s)
					charged = append(charged, s)
				}
			}
			var sum ccwork.Size
			for _, s := range charged {
				sum = sum.Plus(s)
			}
			running, tasks := a.Running()
			assert.Equal(t, running, sum)
			assert.Equal(t, tasks, len(charged))
			assert.Assert(t, sum.MilliCores <= limit || tasks == 1, "%+v of %d", sum, limit)
		}
	})
}

// BenchmarkStart measures what the account costs for each start and its end.
func BenchmarkStart(b *testing.B) {
	book := NewBook()
	size := ccwork.Size{MilliCores: 1000, MemoryMB: 100}
	book.SetLimits(map[string]Limits{"t": {Cap: size.Times(100)}})
	a := book.Account("t")
	b.ReportAllocs()
	for range b.N {
		if a.Fitting(size, 10, ccwork.Size{}) > 0 {
			a.Charge(size)
			a.Release(size)
		}
	}
}
