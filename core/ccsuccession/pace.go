// Package ccsuccession decides when a leader is replaced, by whom, and when a leader that has turned slow hands over. It
// only chooses: who may act is decided by the store and by package ccquorum, whatever this package says.
//
// Load that it answers: some of the entry VMs, the leader among them, run several times slower for some seconds. A slow
// leader is late with its replies, so that followers take it for dead; a successor that is chosen without regard to how
// it runs just now is as slow, and the lead goes back and forth while nothing is placed.
package ccsuccession

import (
	"math"
	"slices"
	"time"

	"coriandercross/core/ccclock"
)

type ms = ccclock.Millis

const (
	// SlowFrom is the slowness from which a VM counts as slow. Below it, the room that an entry VM has for bursts makes
	// up for it; processors also change their frequency by a factor of two.
	SlowFrom = 2.5
	// ReportFrom is the slowness from which a follower reports it to the leader.
	ReportFrom = 1.5
	// normalFall and normalRise are the fractions by which the normal duration follows each measurement that is shorter
	// or longer. A VM that is slower for several minutes takes that for normal.
	normalFall = 0.005
	normalRise = 0.0002
	// workRounds is the number of rounds of Work, which takes some 3 microseconds on a core of its own.
	workRounds = 1024
)

// Work is a fixed amount of computation whose duration shows how fast the VM runs. It returns a seed for the next call.
//
//go:noinline
func Work(seed uint64) uint64 {
	x := seed | 1
	for range workRounds {
		x ^= x >> 29
		x *= 0xbf58476d1ce4e5b9
	}
	return x
}

// Pace estimates how fast this VM runs just now, from durations of Work. The zero value is ready for
// use.
type Pace struct {
	// recent holds the last measurements, the newest last.
	recent [3]time.Duration
	// normal is in nanoseconds. measured is the number of measurements that it follows from.
	normal   float64
	measured int
}

// Observe adds the duration of a call of Work.
func (p *Pace) Observe(d time.Duration) {
	if d <= 0 {
		return
	}
	copy(p.recent[:], p.recent[1:])
	p.recent[len(p.recent)-1] = d
	if p.recent[0] == 0 {
		return
	}
	p.measured++
	switch d := float64(slices.Max(p.recent[:])); {
	case p.normal == 0:
		p.normal = d
	case d < p.normal:
		p.normal = max(d, p.normal*(1-max(normalFall, 1/float64(p.measured)))) // The first measurements say little.
	default:
		p.normal = min(d, p.normal*(1+normalRise))
	}
}

// Slowness returns how many times longer work takes than normally on this VM, at least 1, by the best of the last three
// measurements. A process that started on a VM that was already slow does not see it.
func (p *Pace) Slowness() float64 {
	return p.slowness(len(p.recent))
}

// LastSlowness returns the same by the last measurement alone. It shows at once that a VM has turned slow, but an
// interruption as well.
func (p *Pace) LastSlowness() float64 {
	return p.slowness(1)
}

// slowness returns the slowness by the best of the last n measurements.
func (p *Pace) slowness(n int) float64 {
	if p.normal == 0 {
		return 1
	}
	return max(float64(slices.Min(p.recent[len(p.recent)-n:]))/p.normal, 1)
}

// lagHalfLifeMs is the time after which a delay of the event loop counts for half.
const lagHalfLifeMs ms = 300

// Lag estimates for how long an event waits for the leader's loop. It is a mean of the durations of rounds, weighted by
// these durations, since an event is the more likely to arrive during a round the longer it takes. The zero value is
// ready for use.
type Lag struct {
	weighted, weight float64
	at               ms
}

// Observe adds a round that took a time and has just ended.
func (l *Lag) Observe(took, now ms) {
	l.decay(now)
	d := float64(max(took, 1))
	l.weighted += d * d
	l.weight += d
}

// Ms returns the mean delay.
func (l *Lag) Ms(now ms) ms {
	l.decay(now)
	if l.weight == 0 {
		return 0
	}
	return ms(l.weighted / l.weight)
}

// decay lets earlier rounds count for less.
func (l *Lag) decay(now ms) {
	f := math.Exp2(-float64(now-l.at) / float64(lagHalfLifeMs))
	l.weighted, l.weight, l.at = l.weighted*f, l.weight*f, now
}
