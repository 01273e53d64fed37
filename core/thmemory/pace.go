package thmemory

import (
	"time"

	"tamarackhollow/core/thclock"
)

// PaceRule is how fast a body has to arrive. The zero rule demands nothing.
type PaceRule struct {
	// SilenceMillis is how long nothing may arrive. It is also how long a body may take before its
	// rate counts, so that a short one may be slow.
	SilenceMillis int64
	// BytesPerSecond is the least average rate.
	BytesPerSecond int64
}

// DefaultPaceRule is far below what callers inside the limits reach: a body has to arrive within 30
// seconds, and a network that loses packets is silent for at most a few.
var DefaultPaceRule = PaceRule{SilenceMillis: 10_000, BytesPerSecond: 1024}

// Pace follows a body that arrives. It answers callers that send a byte now and then, or stop, and
// make a VM hold what they have sent. It is immutable.
type Pace struct {
	rule PaceRule
	// silentUntil is when the body has been silent for too long, and paidUntil when its average
	// rate is too low.
	silentUntil, paidUntil thclock.Instant
}

// NewPace returns the pace of a body that begins to arrive now.
func NewPace(now thclock.Instant, rule PaceRule) Pace {
	end := now.Add(time.Duration(rule.SilenceMillis) * time.Millisecond)
	return Pace{rule: rule, silentUntil: end, paidUntil: end}
}

// WithReceived returns the pace after further bytes have arrived.
func (p Pace) WithReceived(now thclock.Instant, bytes int) Pace {
	p.silentUntil = now.Add(time.Duration(p.rule.SilenceMillis) * time.Millisecond)
	if p.rule.BytesPerSecond > 0 {
		p.paidUntil = p.paidUntil.Add(time.Duration(float64(bytes) / float64(p.rule.BytesPerSecond) * float64(time.Second)))
	}
	return p
}

// Deadline returns when the body is ended unless more of it arrives, or false if the rule demands
// nothing.
func (p Pace) Deadline() (thclock.Instant, bool) {
	if p.rule.BytesPerSecond > 0 && p.paidUntil.Before(p.silentUntil) {
		return p.paidUntil, true
	}
	return p.silentUntil, p.rule.SilenceMillis > 0
}
