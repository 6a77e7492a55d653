package ccretry

import (
	"coriandercross/core/ccclock"
)

// ByteLimiter is a token bucket for each team that limits the bytes sent over the link between regions. It is not safe
// for concurrent use.
type ByteLimiter struct {
	// balance is the number of bytes that each team may send now. It is negative after a team has sent more than
	// that.
	balance    map[string]float64
	refilledAt map[string]ccclock.Millis
}

// NewByteLimiter returns a limiter in which every team may start with a burst.
func NewByteLimiter() *ByteLimiter {
	return &ByteLimiter{balance: map[string]float64{}, refilledAt: map[string]ccclock.Millis{}}
}

const (
	bytesPerKB    = 1_000
	millisPerHour = 3_600_000
	// burstFraction is the part of an hour's budget that may be sent at once.
	burstFraction = 0.05
)

// Allows reports whether a team may send now. The team's budget over all processes is kbPerHour, and this process's
// part of it is share, from 0 to 1. A budget of 0 means no limit.
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

// Spend subtracts the bytes that a team has sent from its balance. A message may exceed the balance; then the team may
// not send again until the balance is positive.
func (l *ByteLimiter) Spend(team string, bytes int) {
	l.balance[team] -= float64(bytes)
}
