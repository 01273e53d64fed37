package thquota

import (
	"time"

	"tamarackhollow/core/thclock"
)

// Pace admits single requests at a rate: a token bucket with the capacity 1, which is represented by
// the time of its next token. It is immutable. The zero Pace has the rate 0 and admits nothing.
type Pace struct {
	// rate is in requests per second.
	rate    float64
	readyAt thclock.Instant
}

// WithRate returns the pace with another rate in requests per second. The part of the next token
// that has been gained by now is kept, but a pace that had the rate 0 begins without any.
func (p Pace) WithRate(now thclock.Instant, rate float64) Pace {
	switch {
	case rate == p.rate:
		return p
	case rate <= 0:
		return Pace{}
	case p.rate <= 0:
		return Pace{rate: rate, readyAt: now.Add(interval(rate))}
	}
	missing := max(0, p.readyAt.Sub(now).Seconds()) * p.rate
	return Pace{rate: rate, readyAt: now.Add(time.Duration(missing * float64(interval(rate))))}
}

// interval returns the time between two tokens, at most maxInterval.
func interval(rate float64) time.Duration {
	return time.Duration(min(float64(maxInterval), float64(time.Second)/rate))
}

// maxInterval bounds the time to the next token, so that it fits into a Duration.
const maxInterval = 24 * time.Hour

// IsReady reports whether a request is admitted.
func (p Pace) IsReady(now thclock.Instant) bool { return p.rate > 0 && !now.Before(p.readyAt) }

// ReadyAt returns when the next request is admitted. It has no meaning for the zero Pace.
func (p Pace) ReadyAt() thclock.Instant { return p.readyAt }

// WithRequest returns the pace after one request and whether that request is admitted. A refused
// request takes no token.
func (p Pace) WithRequest(now thclock.Instant) (Pace, bool) {
	if !p.IsReady(now) {
		return p, false
	}
	p.readyAt = now.Add(interval(p.rate))
	return p, true
}
