// Package thclock provides the time values that decision code works with: the
// current time is passed in as an Instant, and deadlines are stored as Instants.
//
// An Instant carries a monotonic and a wall clock reading, because either clock
// can fall behind: the monotonic clock while a virtual machine is suspended, the
// wall clock when it is stepped back.
package thclock

import "time"

// Instant is a point in time, read from both clocks of this process. The zero
// Instant is earlier than every Instant that a Clock returns.
type Instant struct {
	// Mono is the monotonic clock reading. Its origin is private to the process,
	// so it must not be compared across processes.
	Mono time.Duration
	// Wall is the wall clock reading since the Unix epoch.
	Wall time.Duration
}

// At returns the instant at which both clocks read d. It is meant for tests and
// simulations that set the time themselves.
func At(d time.Duration) Instant {
	return Instant{Mono: d, Wall: d}
}

// Add returns i with both readings advanced by d.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall + d}
}

// Sub returns the time from o to i by the monotonic clock.
func (i Instant) Sub(o Instant) time.Duration {
	return i.Mono - o.Mono
}

// Before reports whether i is earlier than o by the monotonic clock.
func (i Instant) Before(o Instant) bool {
	return i.Mono < o.Mono
}

// HasPassedOnEither reports whether at least one of the two clocks has reached
// the deadline. The holder of a time-limited right uses it, so that it does not
// use the right for longer because one clock fell behind.
func (i Instant) HasPassedOnEither(deadline Instant) bool {
	return i.Mono >= deadline.Mono || i.Wall >= deadline.Wall
}

// HasPassedOnBoth reports whether both clocks have reached the deadline. The
// grantor of a time-limited right uses it, so that a clock step never ends the
// right early.
func (i Instant) HasPassedOnBoth(deadline Instant) bool {
	return i.Mono >= deadline.Mono && i.Wall >= deadline.Wall
}

// Max returns the later monotonic and the later wall reading of i and o. The two
// readings may come from different instants.
func (i Instant) Max(o Instant) Instant {
	return Instant{Mono: max(i.Mono, o.Mono), Wall: max(i.Wall, o.Wall)}
}

// Min returns the earlier monotonic and the earlier wall reading of i and o. The two
// readings may come from different instants.
func (i Instant) Min(o Instant) Instant {
	return Instant{Mono: min(i.Mono, o.Mono), Wall: min(i.Wall, o.Wall)}
}

// Clock returns the current time.
type Clock interface {
	Now() Instant
}

// System is the Clock that reads the operating system's clocks.
type System struct{}

// monoOrigin is one hour before the process started, so that the zero Instant is
// earlier than every reading.
var monoOrigin = time.Now().Add(-time.Hour)

// Now returns the current reading of both clocks.
func (System) Now() Instant {
	n := time.Now()
	return Instant{Mono: n.Sub(monoOrigin), Wall: time.Duration(n.UnixNano())}
}
