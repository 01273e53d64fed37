// Package thburn counts how requests ended for callers and says how fast each
// service's error budget burns: per customer and service, over several windows,
// merged over all VMs, in fixed memory.
//
// Every VM counts what its own callers saw, minute by minute, in a Ledger that
// ends with its process. Reports of several VMs are merged where they are read.
package thburn

import (
	"time"

	"tamarackhollow/core/therror"
)

// Class is how a request ended for its caller.
type Class uint8

// The classes.
const (
	// Good is an answer within the objective's latency.
	Good Class = iota
	// Slow is a good answer that took longer.
	Slow
	// Failed is an error answer of a target, or none although the request may
	// have run.
	Failed
	// Refused is a refusal for the fleet's own reasons.
	Refused
	// OverLimit is a refusal over the customer's rate and burst.
	OverLimit
	// CallerError is a refusal for the caller's own reasons. It counts towards
	// no objective.
	CallerError
)

// Counts are numbers of requests by class. They are immutable.
type Counts struct {
	Good      uint32 `json:"good,omitempty"`
	Slow      uint32 `json:"slow,omitempty"`
	Failed    uint32 `json:"failed,omitempty"`
	Refused   uint32 `json:"refused,omitempty"`
	OverLimit uint32 `json:"overLimit,omitempty"`
	// WithinRate is how many of OverLimit were refused although the customer
	// had asked for no more than its rate over all VMs in the window.
	WithinRate  uint32 `json:"withinRate,omitempty"`
	CallerError uint32 `json:"callersFault,omitempty"`
}

// With returns the counts with one more request of the class.
func (c Counts) With(class Class) Counts {
	switch class {
	case Good:
		c.Good++
	case Slow:
		c.Slow++
	case Failed:
		c.Failed++
	case Refused:
		c.Refused++
	case OverLimit:
		c.OverLimit++
	case CallerError:
		c.CallerError++
	}
	return c
}

// Plus returns the sum.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Good:        c.Good + o.Good,
		Slow:        c.Slow + o.Slow,
		Failed:      c.Failed + o.Failed,
		Refused:     c.Refused + o.Refused,
		OverLimit:   c.OverLimit + o.OverLimit,
		WithinRate:  c.WithinRate + o.WithinRate,
		CallerError: c.CallerError + o.CallerError,
	}
}

// Bad is how many requests count against the objective. A refusal over the
// limit does only if the customer was within its rate.
func (c Counts) Bad() uint64 {
	return uint64(c.Slow) + uint64(c.Failed) + uint64(c.Refused) + uint64(c.WithinRate)
}

// Valid is how many requests the objective speaks of.
func (c Counts) Valid() uint64 { return uint64(c.Good) + c.Bad() }

// Offered is how many requests of the customer's rate were asked for.
func (c Counts) Offered() uint64 {
	return uint64(c.Good) + uint64(c.Slow) + uint64(c.Failed) + uint64(c.Refused) + uint64(c.OverLimit)
}

// GoodShare is the share of valid requests that were good; 1 if there were none.
func (c Counts) GoodShare() float64 {
	if c.Valid() == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Valid())
}

// Objective is what a service promises its callers.
type Objective struct {
	// Availability is the share of requests, 0 to 1, to be answered well.
	Availability float64 `json:"availability"`
	// LatencyMillis is how long a good answer may take; 0 is no bound.
	LatencyMillis int64 `json:"latencyMillis"`
}

// Observation is one request as its caller saw it end.
type Observation struct {
	// Customer is empty on open routes and where no key was known.
	Customer string
	// Service is empty where no route was known.
	Service string
	// Refused is whether the caller got an error of Kind in place of an answer.
	Refused bool
	Kind    therror.Kind
	// Status is the target's status where it answered.
	Status  int
	Latency time.Duration
}

const firstErrorStatus = 500

// Classify returns how the request ended by the service's objective. A zero
// objective bounds no latency.
func Classify(o Observation, objective Objective) Class {
	if o.Refused {
		return ClassifyRefusal(o.Kind)
	}
	limit := time.Duration(objective.LatencyMillis) * time.Millisecond
	switch {
	case o.Status >= firstErrorStatus:
		return Failed
	case limit > 0 && o.Latency > limit:
		return Slow
	}
	return Good
}

// ClassifyRefusal returns the class of a refusal.
func ClassifyRefusal(k therror.Kind) Class {
	switch k {
	case therror.KeyMissing, therror.KeyUnknown, therror.RouteUnknown, therror.RouteForbidden,
		therror.RequestMalformed, therror.RequestTooLarge, therror.CallerGone,
		therror.RequestSlow, therror.HeaderTooLarge, therror.Quarantined:
		return CallerError
	case therror.OverLimit:
		return OverLimit
	}
	if k.Answer().Outcome == therror.NotRun {
		return Refused
	}
	return Failed
}
