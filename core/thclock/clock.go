// Package thclock gives decision code its notion of time: instants that are
// passed in as arguments, and deadlines that are stored as instants.
//
// An Instant carries a monotonic and a wall reading, because either can stand
// still: the monotonic clock while a virtual machine is suspended, the wall
// clock while it is being stepped.
package thclock

import "time"

// Instant is one moment as this process saw it. The zero Instant lies before
// every moment that a Clock reports.
type Instant struct {
	// Mono is the monotonic reading, counted from an origin private to the process.
	Mono time.Duration
	// Wall is the wall reading, counted from the Unix epoch.
	Wall time.Duration
}

// At returns the instant at which both readings stand at d. It is meant for
// scripted clocks.
func At(d time.Duration) Instant {
	return Instant{Mono: d, Wall: d}
}

// Add returns the instant d later by both readings.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall + d}
}

// Sub returns the monotonic time from o to i.
func (i Instant) Sub(o Instant) time.Duration {
	return i.Mono - o.Mono
}

// Before reports whether i lies before o by the monotonic reading.
func (i Instant) Before(o Instant) bool {
	return i.Mono < o.Mono
}

// HasPassedOnEither reports whether either reading has reached the deadline. A holder of
// a right asks it, so that a pause is never mistaken for time left.
func (i Instant) HasPassedOnEither(deadline Instant) bool {
	return i.Mono >= deadline.Mono || i.Wall >= deadline.Wall
}

// HasPassedOnBoth reports whether both readings have reached the deadline. A
// grantor of a right asks it, so that a clock step never ends a right early.
func (i Instant) HasPassedOnBoth(deadline Instant) bool {
	return i.Mono >= deadline.Mono && i.Wall >= deadline.Wall
}

// Max returns the instant whose readings are the larger of the two.
func (i Instant) Max(o Instant) Instant {
	return Instant{Mono: max(i.Mono, o.Mono), Wall: max(i.Wall, o.Wall)}
}

// Clock reports the present moment.
type Clock interface {
	Now() Instant
}

// System is the clock of the operating system.
type System struct{}

// monoOrigin lies an hour before the start, so that the zero Instant is past.
var monoOrigin = time.Now().Add(-time.Hour)

// Now returns the present moment by both readings.
func (System) Now() Instant {
	n := time.Now()
	return Instant{Mono: n.Sub(monoOrigin), Wall: time.Duration(n.UnixNano())}
}
