package thhealth

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
)

// Outcome is what one attempt says of its target.
type Outcome uint8

// The outcomes. None is no evidence: the target shed the request, the caller
// went away, or the connection rather than the target is to blame.
const (
	None Outcome = iota
	Good
	Slow
	// Stalled is an answer that was extremely slow.
	Stalled
	Failed
	// Late is an answer that had not come when the attempt was given up.
	Late
	// Silent is an open connection on which no answer came.
	Silent
)

const (
	shortMemory = 2 * time.Second
	longMemory  = 20 * time.Second
	// latestMemory is in attempts.
	latestMemory = 6
	// silentRun is how many silent connections in a row, without one good
	// answer, are blamed on the target.
	silentRun = 3
)

// Counts are attempts seen, older ones counting less.
type Counts struct {
	Requests, Failed, Slow float64
	// Stalled counts those of the slow ones that were extremely so.
	Stalled float64
}

// Bad returns how many attempts failed or were slow.
func (c Counts) Bad() float64 { return min(c.Failed+c.Slow, c.Requests) }

// Plus returns the sum of both.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Requests: c.Requests + o.Requests, Failed: c.Failed + o.Failed, Slow: c.Slow + o.Slow, Stalled: c.Stalled + o.Stalled}
}

// Minus returns what is left of c without o.
func (c Counts) Minus(o Counts) Counts {
	return Counts{
		Requests: max(0, c.Requests-o.Requests),
		Failed:   max(0, c.Failed-o.Failed),
		Slow:     max(0, c.Slow-o.Slow),
		Stalled:  max(0, c.Stalled-o.Stalled),
	}
}

func (c Counts) scaled(f float64) Counts {
	return Counts{Requests: c.Requests * f, Failed: c.Failed * f, Slow: c.Slow * f, Stalled: c.Stalled * f}
}

func (c Counts) with(o Outcome) Counts {
	switch o {
	case Good:
		c.Requests++
	case Slow:
		c.Requests++
		c.Slow++
	case Stalled:
		c.Requests++
		c.Slow++
		c.Stalled++
	case Failed:
		c.Requests++
		c.Failed++
	case Late:
		c.Requests++
		c.Failed++
		c.Slow++
		c.Stalled++
	}
	return c
}

// Tally is what one VM saw of one target. The zero Tally has seen nothing.
type Tally struct {
	// Short and Long remember for a few seconds and for some tens.
	Short, Long Counts
	// Latest remembers the last few attempts, however long ago. It stays on
	// this VM.
	Latest Counts
	// Work is the time that attempts took, remembered as long as Short.
	Work time.Duration
	// At is the moment to which the counts have faded.
	At     thclock.Instant
	silent uint8
}

// Faded returns the tally as it stands at a later moment.
func (t Tally) Faded(now thclock.Instant) Tally {
	d := now.Sub(t.At)
	if d <= 0 {
		return t
	}
	t = t.scaled(fade(d, shortMemory), fade(d, longMemory))
	t.At = now
	return t
}

func (t Tally) scaled(short, long float64) Tally {
	t.Short = t.Short.scaled(short)
	t.Long = t.Long.scaled(long)
	t.Work = time.Duration(float64(t.Work) * short)
	return t
}

func fade(d, memory time.Duration) float64 { return math.Exp(-float64(d) / float64(memory)) }

// WithOutcome returns the tally with one more attempt.
func (t Tally) WithOutcome(now thclock.Instant, o Outcome) Tally {
	switch o {
	case None:
		return t
	case Silent:
		if t.silent++; t.silent < silentRun {
			return t
		}
		o = Failed
	case Good, Slow, Stalled:
		t.silent = 0
	}
	t = t.Faded(now)
	t.Short = t.Short.with(o)
	t.Long = t.Long.with(o)
	t.Latest = t.Latest.scaled(1 - 1.0/latestMemory).with(o)
	return t
}

// WithWork returns the tally with the time that one more attempt took.
func (t Tally) WithWork(now thclock.Instant, took time.Duration) Tally {
	t = t.Faded(now)
	t.Work += max(took, 0)
	return t
}

// Busy returns how many of the VM's requests the target had in flight, on
// average over the last few seconds.
func (t Tally) Busy() float64 { return float64(t.Work) / float64(shortMemory) }

// Rest is what one VM saw of a service's other targets while it gathered a
// Tally of one, so that the two can be compared as equals.
type Rest struct {
	Short, Long Counts
}

// Plus adds a target's tally to the rest.
func (r Rest) Plus(t Tally) Rest {
	return Rest{Short: r.Short.Plus(t.Short), Long: r.Long.Plus(t.Long)}
}

// Minus takes a target's tally out of the rest.
func (r Rest) Minus(t Tally) Rest {
	return Rest{Short: r.Short.Minus(t.Short), Long: r.Long.Minus(t.Long)}
}
