package ccretry

import (
	"coriandercross/core/ccclock"
)

// ByteLimiter bounds the bytes that each team sends over the link between regions. It must be used by one
// goroutine only.
type ByteLimiter struct {
	// left is what each team may still send, in bytes.
	left map[string]float64
	at   map[string]ccclock.Millis
}

// NewByteLimiter returns a meter that lets every team send a burst at first.
func NewByteLimiter() *ByteLimiter {
	return &ByteLimiter{left: map[string]float64{}, at: map[string]ccclock.Millis{}}
}

const (
	bytesPerKB    = 1_000
	millisPerHour = 3_600_000
	// burstShare is the part of an hour's budget that may go at once.
	burstShare = 0.05
)

// Allows reports whether a team may send more. KBPerHour is its budget, of which this process has the
// given share; a budget of 0 is no limit.
func (m *ByteLimiter) Allows(team string, kbPerHour int64, share float64, now ccclock.Millis) bool {
	if kbPerHour == 0 {
		return true
	}
	budget := float64(kbPerHour) * bytesPerKB * share
	left, ok := m.left[team]
	if !ok {
		left = budget * burstShare
	}
	left += budget * float64(now-m.at[team]) / millisPerHour
	m.left[team] = min(left, budget*burstShare)
	m.at[team] = now
	return m.left[team] > 0
}

// Spend counts bytes that a team has sent. It may exceed the budget by the last message, which the
// next ones wait for.
func (m *ByteLimiter) Spend(team string, bytes int) {
	m.left[team] -= float64(bytes)
}
