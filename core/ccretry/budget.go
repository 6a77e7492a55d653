// Package ccretry limits retries by a budget for each team and a jittered exponential backoff, and limits the bytes
// that teams send between regions.
package ccretry

import (
	"math/rand/v2"

	"coriandercross/core/ccclock"
)

// Budget limits a team's retries to a share of its first attempts. It is not safe for concurrent use.
type Budget struct {
	// tokens has the balance of each team, in hundredths of a retry.
	tokens map[string]int
}

const (
	retryCost = 100
	// burstTokens is the maximum balance. It limits the retries that a team may do at once after a time without any.
	burstTokens = 20 * retryCost
)

// NewBudget returns a budget in which every team starts with the maximum balance.
func NewBudget() *Budget {
	return &Budget{tokens: map[string]int{}}
}

// CountFirstAttempt counts a first attempt of a team. The team may retry the given percentage of its first attempts.
func (b *Budget) CountFirstAttempt(team string, percent int) {
	b.tokens[team] = min(b.tokensOf(team)+percent, burstTokens)
}

// Spend takes one retry from a team's balance. It returns false if the balance is too low.
func (b *Budget) Spend(team string) bool {
	if b.tokensOf(team) < retryCost {
		return false
	}
	b.tokens[team] = b.tokensOf(team) - retryCost
	return true
}

// tokensOf returns a team's balance; a new team has the maximum.
func (b *Budget) tokensOf(team string) int {
	n, ok := b.tokens[team]
	if !ok {
		return burstTokens
	}
	return n
}

// Backoff is a jittered exponential backoff.
type Backoff struct {
	Base ccclock.Millis
	Max  ccclock.Millis
}

// Delay returns the delay before an attempt, which is counted from 1. It is random, between half of the exponential
// step and the whole step.
func (b Backoff) Delay(attempt int, r *rand.Rand) ccclock.Millis {
	step := b.Base
	for i := 1; i < attempt && step < b.Max; i++ {
		step *= 2
	}
	step = min(step, b.Max)
	half := step / 2
	return half + ccclock.Millis(r.Int64N(int64(step-half)+1))
}
