// Package ccclock provides the monotonic clock that all packages take the time from, in milliseconds.
package ccclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a time of a process's monotonic clock, or a duration, in milliseconds. Times of different processes must
// not be compared.
type Millis int64

// Duration converts a duration to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// SuspendedTime returns the time for which the machine was suspended, which its monotonic clock does not count. Only
// the growth between two calls is meaningful. It returns 0 if the clocks can't be read.
func SuspendedTime() Millis {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil {
		return 0
	}
	return Millis((boot.Nano() - mono.Nano()) / int64(time.Millisecond))
}

// Clock returns the current time. Its methods are safe for concurrent use and do not block.
type Clock interface {
	// Now returns the current time of the monotonic clock.
	Now() Millis
}

// System is the machine's monotonic clock, counted from when the value was created.
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
