package thlimit

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
)

// past holds the configurations that other VMs may still go by. It is
// immutable.
type past struct {
	config thconfig.Config
	old    []superseded
}

// superseded is a configuration and until when a VM may still act on it.
type superseded struct {
	config thconfig.Config
	until  thclock.Instant
}

// withConfig returns the past after a newer configuration came into force.
func (p past) withConfig(now thclock.Instant, c thconfig.Config, wait time.Duration) past {
	n := past{config: c}
	for _, s := range p.old {
		if !now.SurelyPassed(s.until) {
			n.old = append(n.old, s)
		}
	}
	if p.config.Version() > 0 {
		n.old = append(n.old, superseded{p.config, now.Add(wait)})
	}
	return n
}

// share returns the part's rate and burst. While another VM may still cut the
// customer's bucket into another number of parts, the part has the smaller of
// its shares, so that the shares in use never add up to more than the whole.
func (p past) share(now thclock.Instant, u thconfig.Customer, part Part) (rate float64, burst int) {
	rate, burst = part.Share(u)
	for _, s := range p.old {
		o, ok := s.config.Customer(u.Name)
		if !ok || PartCount(o) == PartCount(u) || now.SurelyPassed(s.until) {
			continue
		}
		r, b := part.Share(o)
		rate, burst = min(rate, r), min(burst, b)
	}
	return rate, burst
}

// newSince reports whether the customer was created after the roster of the
// given version, while that is the newest roster. Then every VM that knows the
// customer knows that roster.
func (p past) newSince(customer string, roster uint64) bool {
	return p.config.CustomerSince(customer) > roster && p.config.Roster().Version() <= roster
}

// knewBefore reports whether the customer is known to be older than a version.
func (p past) knewBefore(customer string, version uint64) bool {
	since := p.config.CustomerSince(customer)
	return since > 0 && since < version
}
