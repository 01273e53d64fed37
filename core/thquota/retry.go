package thquota

import (
	"time"

	"tamarackhollow/core/thclock"
)

// maxRetrySpread is how far ahead the owner of a part sends those that it has no token for,
// unless the next token takes longer. With 3 s, callers lose as many requests after their
// customer has come back within its limit as without a schedule; with 4 s, half more.
const maxRetrySpread = 3 * time.Second

// RetrySchedule spreads the times at which the VMs that found a part of a limit empty may
// ask its owner again: each gets the time of a token of its own, so that most find one. It
// responds to a customer above its limit, whose requests reach all VMs: if all were told the
// time of the next token, all would ask then, and one would get it. It is immutable; the zero
// RetrySchedule has given out no time.
type RetrySchedule struct {
	// last is the latest time that was given out.
	last thclock.Instant
}

// Next returns the time at which a VM may ask again that is refused now, and the schedule
// after it. The first token is expected at the time next, and further ones follow at the
// interval. The number r, 0 to 1, spreads the times if more VMs ask than tokens are expected.
func (s RetrySchedule) Next(now, next thclock.Instant, interval time.Duration, r float64) (thclock.Instant, RetrySchedule) {
	at, latest := next.Max(s.last.Add(interval)), next.Max(now.Add(maxRetrySpread))
	if !latest.Before(at) {
		s.last = at
		return at, s
	}
	s.last = latest
	return next.Max(now.Add(maxRetrySpread / 2)).Add(time.Duration(r / 2 * float64(maxRetrySpread))), s
}
