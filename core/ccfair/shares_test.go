package ccfair

import (
	"fmt"
	"testing"

	"coriandercross/core/ccwork"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var task = ccwork.Size{MilliCores: 10_000, MemoryMB: 20_000}

// A team may send its weight in jobs a second, and those of two seconds at once. What is beyond is not charged.
func TestBudget(t *testing.T) {
	tests := map[string]struct {
		weight int64
		// every is the time between two jobs, excess the number of those of ten seconds that are beyond the budget.
		every  ms
		excess int64
	}{
		"WithinWeight":       {10, 100, 0},
		"TwiceTheWeight":     {10, 50, 81},
		"SmallTeam":          {1, 1000, 0},
		"SmallTeamTooMuch":   {1, 500, 8},
		"NotInConfiguration": {0, 10, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			s.SetWeights(map[string]int64{"a": test.weight})
			team := s.Team("a")
			for at := ms(1000); at < 11_000; at += test.every {
				team.Arrive(at)
			}
			assert.Equal(t, team.excess, test.excess)
		})
	}
}

// After a takeover, jobs that were within the budget and those that were not leave the budget where it was, though the
// jobs that have ended are not known any more.
func TestBudgetIsTakenUp(t *testing.T) {
	first, second := New(), New()
	for _, s := range []*Shares{first, second} {
		s.SetWeights(map[string]int64{"a": 10})
	}
	for at := ms(1000); at < 6000; at += 20 {
		excess := first.Team("a").Arrive(at)
		if excess || at > 4000 { // The others have ended.
			second.Team("a").Adopt(at, excess)
		}
	}
	before, adopted := first.Team("a").excess, second.Team("a").excess
	assert.Equal(t, before, adopted)
	for at := ms(6000); at < 9000; at += 20 {
		first.Team("a").Arrive(at)
		second.Team("a").Arrive(at)
	}
	difference := (first.Team("a").excess - before) - (second.Team("a").excess - adopted)
	assert.Assert(t, difference >= -1 && difference <= 1, "the new leader finds %d fewer jobs beyond the budget", difference)
}

// A team is beyond its share if it holds more than its weight gives, has held it for a while, and more of it waits.
func TestHeld(t *testing.T) {
	tests := map[string]struct {
		// running and waiting are the tasks of the teams a and b, which have weights of 3 and 1; job is the number of tasks
		// of one job of b.
		runningA, runningB, waitingA, waitingB, job int
		over                                        bool
	}{
		"Share":            {30, 10, 20, 6, 0, false},
		"TwiceTheShare":    {20, 20, 10, 10, 0, true},
		"OneJob":           {20, 20, 10, 10, 20, false},
		"HardlyMoreWaits":  {20, 20, 30, 2, 0, false},
		"AloneInTheCell":   {0, 20, 0, 10, 0, false},
		"OtherTeamAllWait": {0, 20, 10, 10, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			s.SetWeights(map[string]int64{"a": 3, "b": 1})
			a, b := s.Team("a"), s.Team("b")
			for range test.runningA {
				a.Use(task)
			}
			for range test.runningB {
				b.Use(task)
			}
			for now := ms(1000); now < 61_000; now += 1000 {
				s.BeginRound(now)
				for range test.waitingA {
					a.Wait()
				}
				for range test.waitingB {
					b.Wait()
				}
			}
			assert.Equal(t, b.Held(task.Times(int64(test.job))) > 1, test.over)
		})
	}
}

// The order of kinds of work: late, in time, beyond the team's share, beyond its budget.
func TestOrderOfWork(t *testing.T) {
	const now ms = 100_000
	works := []Work{
		{ArrivedAt: now - 13_000, TargetMs: 20_000, LeftMs: 8000},
		{ArrivedAt: now - 5000, TargetMs: 20_000, LeftMs: 8000},
		{ArrivedAt: now - 4000, TargetMs: 20_000, LeftMs: 8000},
		{ArrivedAt: now - 5000, TargetMs: 20_000, LeftMs: 8000, Held: 1.5},
		{ArrivedAt: now - 1000, TargetMs: 500, LeftMs: 300, Excess: true},
		{ArrivedAt: now - 5000, TargetMs: 20_000, LeftMs: 8000, Excess: true},
	}
	for i := range works[1:] {
		assert.Assert(t, works[i].Due() < works[i+1].Due(), "%+v after %+v", works[i], works[i+1])
	}
}

// No work waits for ever: its place is at most its target and a bounded time after its arrival, whatever the shares
// are, so that work that arrives later than that comes after it.
func TestDelayIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Work{
			ArrivedAt: ms(rapid.Int64Range(0, 1e9).Draw(t, "arrived")), TargetMs: rapid.Int64Range(0, 1e6).Draw(t, "target"),
			Excess: rapid.Bool().Draw(t, "excess"), Held: rapid.Float64Range(0, 1e6).Draw(t, "held"),
		}
		now := w.ArrivedAt + ms(rapid.Int64Range(0, 1e9).Draw(t, "waited"))
		limit := float64(w.ArrivedAt) + float64(w.TargetMs) + float64(ExcessDelayMs) + maxShareDelayMs
		assert.Assert(t, w.Due() <= limit)
		assert.Assert(t, w.Deferred(now) == (w.Excess && now < w.ArrivedAt+ExcessDelayMs))
	})
}

// What all teams hold is the sum of what each holds, also for teams that the configuration drops and has again.
func TestUseAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		held := map[string]int{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				s.Team(name).Use(task)
				held[name]++
			case 1:
				if held[name] > 0 {
					s.Team(name).Release(task)
					held[name]--
				}
			case 2:
				s.SetWeights(map[string]int64{name: 2})
			}
		}
		sum := 0
		for name, n := range held {
			assert.Equal(t, s.Team(name).used, task.Times(int64(n)))
			sum += n
		}
		assert.Equal(t, s.used, task.Times(int64(sum)))
	})
}
