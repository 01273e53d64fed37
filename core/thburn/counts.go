// Package thburn counts how requests ended for callers and computes how fast
// each service's error budget burns: per customer and service, over several
// windows, merged over all VMs, in bounded memory.
//
// Each VM counts its own callers' requests per minute in a Recorder, whose counts
// are lost when the process ends. A VM that is asked for a report merges those of
// all VMs.
package thburn

import (
	"time"

	"tamarackhollow/core/therror"
)

// Class says how a request ended for its caller, as far as the objective is
// concerned.
type Class uint8

// The classes of requests.
const (
	// Good is an answer within the objective's latency.
	Good Class = iota
	// Slow is an answer without error that took longer than that.
	Slow
	// Failed is a target's error answer, or a missing answer to a request that
	// may have run.
	Failed
	// Refused is a refusal for a reason that lies with the fleet. The request did
	// not run.
	Refused
	// OverLimit is a refusal because the customer exceeded its rate and burst.
	OverLimit
	// CallerError is a refusal for a reason that lies with the caller. It counts
	// towards no objective.
	CallerError
)

// Counts holds the number of requests of each class. It is immutable.
type Counts struct {
	Good      uint32 `json:"good,omitempty"`
	Slow      uint32 `json:"slow,omitempty"`
	Failed    uint32 `json:"failed,omitempty"`
	Refused   uint32 `json:"refused,omitempty"`
	OverLimit uint32 `json:"overLimit,omitempty"`
	// WithinRate is the part of OverLimit that was refused although the customer
	// offered no more than its rate over all VMs in the window.
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

// Plus returns the sum of both, field by field.
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

// Bad returns the number of requests that count against the objective. Refusals
// over the limit do only if the customer was within its rate.
func (c Counts) Bad() uint64 {
	return uint64(c.Slow) + uint64(c.Failed) + uint64(c.Refused) + uint64(c.WithinRate)
}

// Valid returns the number of requests that the objective applies to: the good
// and the bad ones.
func (c Counts) Valid() uint64 { return uint64(c.Good) + c.Bad() }

// Offered returns the number of requests that the customer's rate applies to,
// admitted or not.
func (c Counts) Offered() uint64 {
	return uint64(c.Good) + uint64(c.Slow) + uint64(c.Failed) + uint64(c.Refused) + uint64(c.OverLimit)
}

// GoodShare returns the share of valid requests that were good, and 1 if there
// were no valid ones.
func (c Counts) GoodShare() float64 {
	if c.Valid() == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Valid())
}

// Objective is the service-level objective of a service.
type Objective struct {
	// Availability is the share of valid requests, 0 to 1, that should be good.
	Availability float64 `json:"availability"`
	// LatencyMillis is the longest latency of a good answer; 0 means no bound.
	LatencyMillis int64 `json:"latencyMillis"`
}

// Observation describes the end of one request as its caller saw it.
type Observation struct {
	// Customer is empty on open routes and if the key was missing or unknown.
	Customer string
	// Service is empty if no route matched.
	Service string
	// Refused is set if the caller got an error of Kind instead of a target's
	// answer.
	Refused bool
	Kind    therror.Kind
	// Status is the HTTP status of the target's answer.
	Status  int
	Latency time.Duration
}

const firstErrorStatus = 500

// Classify returns the class of the request under the objective. With a zero
// objective, no answer is too slow.
func Classify(observation Observation, objective Objective) Class {
	if observation.Refused {
		return ClassifyRefusal(observation.Kind)
	}
	limit := time.Duration(objective.LatencyMillis) * time.Millisecond
	switch {
	case observation.Status >= firstErrorStatus:
		return Failed
	case limit > 0 && observation.Latency > limit:
		return Slow
	}
	return Good
}

// ClassifyRefusal returns the class of a request that ended with an error of the
// kind.
func ClassifyRefusal(kind therror.Kind) Class {
	switch kind {
	case therror.KeyMissing, therror.KeyUnknown, therror.RouteUnknown, therror.RouteForbidden,
		therror.RequestMalformed, therror.RequestTooLarge, therror.CallerGone,
		therror.RequestSlow, therror.HeaderTooLarge, therror.Quarantined:
		return CallerError
	case therror.OverLimit:
		return OverLimit
	}
	if kind.Answer().Outcome == therror.NotRun {
		return Refused
	}
	return Failed
}
