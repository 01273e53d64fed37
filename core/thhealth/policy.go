package thhealth

import (
	"time"

	"tamarackhollow/core/thconfig"
)

// The defaults of a HealthPolicy's zero fields.
const (
	DefaultSlowFactor   = 2.5
	DefaultFailureShare = 0.01
	DefaultEvidence     = 4
	DefaultHold         = 5 * time.Second
)

// Policy is a HealthPolicy with its defaults filled in.
type Policy struct {
	SlowFactor   float64
	FailureShare float64
	Evidence     float64
	Hold         time.Duration
}

// NewPolicy fills in the defaults.
func NewPolicy(h thconfig.HealthPolicy) Policy {
	p := Policy{
		SlowFactor:   h.SlowFactor,
		FailureShare: h.FailureShare,
		Evidence:     float64(h.Evidence),
		Hold:         time.Duration(h.HoldMillis) * time.Millisecond,
	}
	if !(p.SlowFactor > 1) {
		p.SlowFactor = DefaultSlowFactor
	}
	if !(p.FailureShare > 0) {
		p.FailureShare = DefaultFailureShare
	}
	if p.Evidence <= 0 {
		p.Evidence = DefaultEvidence
	}
	if p.Hold <= 0 {
		p.Hold = DefaultHold
	}
	return p
}

// suspecting is the policy by which more evidence is asked for.
func (p Policy) suspecting() Policy {
	p.Evidence = 1
	return p
}
