// Package ccretry bounds retries: a budget for each team and a jittered exponential delay.
package ccretry

import (
	"math/rand/v2"

	"coriandercross/core/ccclock"
)

// Budget lets a team retry a share of its first tries. It must be used by one goroutine only.
type Budget struct {
	// tokens are in hundredths of a retry.
	tokens map[string]int
}

const (
	retryCost = 100
	// burstTokens bounds the burst of retries after a quiet time.
	burstTokens = 20 * retryCost
)

// NewBudget returns a budget that lets every team retry a burst at first.
func NewBudget() *Budget {
	return &Budget{tokens: map[string]int{}}
}

// CountFirstAttempt counts a first try of a team, which may retry percent of them.
func (b *Budget) CountFirstAttempt(team string, percent int) {
	b.tokens[team] = min(b.tokensOf(team)+percent, burstTokens)
}

// Spend takes one retry from a team's budget, or returns false when it is used up.
func (b *Budget) Spend(team string) bool {
	if b.tokensOf(team) < retryCost {
		return false
	}
	b.tokens[team] = b.tokensOf(team) - retryCost
	return true
}

// tokensOf returns a team's tokens; a new team has a full budget.
func (b *Budget) tokensOf(team string) int {
	n, ok := b.tokens[team]
	if !ok {
		return burstTokens
	}
	return n
}

// Backoff is a jittered exponential delay.
type Backoff struct {
	Base ccclock.Millis
	Max  ccclock.Millis
}

// Delay returns the wait before a try; attempt counts from 1. It is between half and the whole of
// the exponential step.
func (b Backoff) Delay(attempt int, r *rand.Rand) ccclock.Millis {
	step := b.Base
	for i := 1; i < attempt && step < b.Max; i++ {
		step *= 2
	}
	step = min(step, b.Max)
	half := step / 2
	return half + ccclock.Millis(r.Int64N(int64(step-half)+1))
}
