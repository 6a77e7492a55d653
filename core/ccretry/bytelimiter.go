package ccretry

import (
	"coriandercross/core/ccclock"
)

// ByteLimiter bounds the bytes that each team sends over the link between regions. It must be used by one
// goroutine only.
type ByteLimiter struct {
	// balance is what each team may still send, in bytes.
	balance    map[string]float64
	refilledAt map[string]ccclock.Millis
}

// NewByteLimiter returns a meter that lets every team send a burst at first.
func NewByteLimiter() *ByteLimiter {
	return &ByteLimiter{balance: map[string]float64{}, refilledAt: map[string]ccclock.Millis{}}
}

const (
	bytesPerKB    = 1_000
	millisPerHour = 3_600_000
	// burstFraction is the part of an hour's budget that may go at once.
	burstFraction = 0.05
)

// Allows reports whether a team may send more. KBPerHour is its budget, of which this process has the
// given share; a budget of 0 is no limit.
func (l *ByteLimiter) Allows(team string, kbPerHour int64, share float64, now ccclock.Millis) bool {
	if kbPerHour == 0 {
		return true
	}
	budget := float64(kbPerHour) * bytesPerKB * share
	balance, ok := l.balance[team]
	if !ok {
		balance = budget * burstFraction
	}
	balance += budget * float64(now-l.refilledAt[team]) / millisPerHour
	l.balance[team] = min(balance, budget*burstFraction)
	l.refilledAt[team] = now
	return l.balance[team] > 0
}

// Spend counts bytes that a team has sent. It may exceed the budget by the last message, which the
// next ones wait for.
func (l *ByteLimiter) Spend(team string, bytes int) {
	l.balance[team] -= float64(bytes)
}
