package ccretry

import (
	"math/rand/v2"
	"testing"

	"coriandercross/core/ccclock"

	"gotest.tools/v3/assert"
)

func TestBudgetIsShareOfFirstAttempts(t *testing.T) {
	b := NewBudget()
	for b.Spend("t") {
		continue
	}
	for range 100 {
		b.CountFirstAttempt("t", 10)
	}
	retries := 0
	for b.Spend("t") {
		retries++
	}
	assert.Equal(t, retries, 10)
	assert.Assert(t, b.Spend("other"), "teams must not share a budget")
}

func TestBackoffStaysWithinItsStep(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	b := Backoff{Base: 20, Max: 500}
	for attempt, step := range map[int]ccclock.Millis{1: 20, 2: 40, 3: 80, 10: 500} {
		for range 100 {
			d := b.Delay(attempt, r)
			assert.Assert(t, d >= step/2 && d <= step, "attempt %d: %d", attempt, d)
		}
	}
}

func TestByteLimiter(t *testing.T) {
	const hour = ccclock.Millis(3_600_000)
	cases := map[string]struct {
		kbPerHour int64
		share     float64
		spent     int
		later     ccclock.Millis
		allows    bool
	}{
		"NoLimit":                 {0, 1, 1 << 30, 0, true},
		"WithinBurst":             {1_000, 1, 49_000, 0, true},
		"OverBurst":               {1_000, 1, 51_000, 0, false},
		"OverBurstOfShare":        {1_000, 0.5, 26_000, 0, false},
		"RefilledByTime":          {1_000, 1, 51_000, hour / 100, true},
		"BalanceStillNegative":    {1_000, 1, 100_000, hour / 100, false},
		"NegativeBalanceRefilled": {1_000, 1, 100_000, hour / 10, true},
		"NothingSpentForHours":    {1_000, 1, 0, 10 * hour, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l := NewByteLimiter()
			l.Allows("t", tc.kbPerHour, tc.share, 1)
			l.Spend("t", tc.spent)
			assert.Equal(t, l.Allows("t", tc.kbPerHour, tc.share, 1+tc.later), tc.allows)
		})
	}
}
