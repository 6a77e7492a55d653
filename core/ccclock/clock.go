// Package ccclock is the one source of time: a monotonic clock in milliseconds.
package ccclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point on a process's monotonic clock, or a span of it, in milliseconds.
// Points of different processes must not be compared.
type Millis int64

// Duration converts a span to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// SuspendedTime returns how much longer the machine has been up than its monotonic clock has counted: the clock does not count the
// time in which the machine is suspended. Only growth means something.
func SuspendedTime() Millis {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil {
		return 0
	}
	return Millis((boot.Nano() - mono.Nano()) / int64(time.Millisecond))
}

// Clock tells the time. Every method may be called from any goroutine and none blocks.
type Clock interface {
	// Now returns the present point of the monotonic clock.
	Now() Millis
}

// System is the machine's monotonic clock, counted from the creation of the value.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts at 1, so that 0 can mean "never".
func NewSystem() *System {
	return &System{start: time.Now().Add(-time.Millisecond)}
}

// Now implements Clock.
func (s *System) Now() Millis {
	return Millis(time.Since(s.start).Milliseconds())
}
