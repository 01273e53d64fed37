// Package thhealth estimates from the outcomes of requests how likely a target
// is to fail the next one, and how its latency compares with the expected one.
//
// A target is modelled as either healthy or failing, with random transitions
// between the two states. Health holds the probability of the failing state,
// updated by Bayes' rule with each outcome. Outcomes seen by any VM are applied
// as they arrive, so all VMs reach about the same estimate.
package thhealth

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
)

// Outcome classifies how one request to a target ended, as evidence of the
// target's health. Its numbers are sent to other VMs.
type Outcome uint8

const (
	// Answered is a complete answer that does not report a failure of the target.
	Answered Outcome = iota
	// Failed is an answer that reports a failure of the target, or one that is
	// malformed or incomplete.
	Failed
	// ConnectionClosed is a connection that the target closed without answering.
	ConnectionClosed
	// ConnectionRefused is a connection that the target's machine refused to open.
	ConnectionRefused
	// TimedOut is a connection that was never established or an answer that never
	// came. It says more about the network path from the VM that saw it than
	// about the target.
	TimedOut
	// Rejected is an answer which states that the target did not run the request.
	Rejected
	// Inconclusive gives no evidence, for example because the request was abandoned
	// too early.
	Inconclusive
	// Overdue is an attempt still in progress after the time in which a healthy
	// target answers almost all attempts.
	Overdue
)

// IsKnown reports whether the outcome is one of those above. A VM of a newer version may
// send others, which give no evidence.
func (o Outcome) IsKnown() bool { return int(o) < len(likelihoods) }

// IsNegative reports whether the outcome is evidence that the target is failing.
func (o Outcome) IsNegative() bool { return o.IsKnown() && o != Answered && o != Inconclusive }

// Parameters of the model. The probabilities and durations come from the
// platform's specification: at any time some targets fail most of their requests
// for several seconds.
const (
	// priorFailureProbability applies to a target without any evidence.
	priorFailureProbability = 0.08
	// idleFailureProbability is the value that the failure probability of a target
	// without requests approaches. It is less than the share of time that targets
	// spend failing, so that a target is not avoided for lack of recent evidence.
	idleFailureProbability = 0.1
	// onsetsPerSecond is the rate at which a healthy target starts to fail.
	onsetsPerSecond = 0.04
	// episodeScale and episodeShape are the parameters of the Weibull distribution
	// of how long a target keeps failing (a failing episode).
	episodeScale = 10 * time.Second
	episodeShape = 3
	// minProbability is the smallest failure probability; the largest is
	// 1-minProbability.
	minProbability = 0.002
)

// likelihood is the probability of an outcome if the target is failing, and if it
// is healthy.
type likelihood struct{ failing, healthy float64 }

var likelihoods = [...]likelihood{
	Answered:          {0.25, 0.98},
	Failed:            {0.75, 0.014},
	ConnectionClosed:  {0.6, 0.01},
	ConnectionRefused: {0.9, 0.002},
	TimedOut:          {0.6, 0.01},
	Rejected:          {0.5, 0.06},
	Inconclusive:      {1, 1},
	Overdue:           {0.5, 0.04},
}

// remoteTimeout replaces the likelihoods of TimedOut and Overdue for outcomes that
// another VM saw, because the network path between that VM and the target may be
// the cause.
var remoteTimeout = likelihood{0.3, 0.1}

// Health is the estimated state of one target: its failure probability and its
// latency ratio. It is immutable. The zero Health is that of a target without any
// evidence.
type Health struct {
	// failureProbability is the value at updatedAt.
	failureProbability float64
	updatedAt          thclock.Instant
	// failingSince is the estimated start of the latest failing episode.
	failingSince thclock.Instant
	hasEvidence  bool
	latency      ratioMean
}

// FailureProbability returns the probability that the target is failing at now and
// therefore likely to fail the next request.
func (h Health) FailureProbability(now thclock.Instant) float64 {
	if !h.hasEvidence {
		return priorFailureProbability
	}
	return h.predict(now)
}

// predict returns the failure probability at now, given that of the last outcome:
// since then a failing episode may have ended and a new one may have begun.
func (h Health) predict(now thclock.Instant) float64 {
	elapsed := max(0, now.Sub(h.updatedAt))
	stillFailing := episodeSurvival(now.Sub(h.failingSince)) / max(episodeSurvival(h.updatedAt.Sub(h.failingSince)), math.SmallestNonzeroFloat32)
	startedFailing := idleFailureProbability * (1 - math.Exp(-elapsed.Seconds()*onsetsPerSecond/idleFailureProbability))
	return clamp(h.failureProbability*min(1, stillFailing) + (1-h.failureProbability)*startedFailing)
}

// episodeSurvival returns the probability that a failing episode lasts longer than
// age.
func episodeSurvival(age time.Duration) float64 {
	return math.Exp(-math.Pow(max(0, age.Seconds())/episodeScale.Seconds(), episodeShape))
}

// WithOutcome returns the health updated with an outcome that this VM saw itself.
func (h Health) WithOutcome(now thclock.Instant, o Outcome) Health {
	return h.update(now, likelihoods[o])
}

// WithRemoteOutcome returns the health updated with an outcome that another VM
// reported.
func (h Health) WithRemoteOutcome(now thclock.Instant, o Outcome) Health {
	if o == TimedOut || o == Overdue {
		return h.update(now, remoteTimeout)
	}
	if !o.IsKnown() {
		return h
	}
	return h.update(now, likelihoods[o])
}

// update applies Bayes' rule. An outcome that raises the failure probability
// starts a new failing episode if the target was more likely healthy than failing,
// or if the current episode has lasted longer than episodeScale.
func (h Health) update(now thclock.Instant, l likelihood) Health {
	before := h.FailureProbability(now)
	after := before * l.failing / (before*l.failing + (1-before)*l.healthy)
	isNewEpisode := after > before && (before < 0.5 || episodeSurvival(now.Sub(h.failingSince)) < episodeSurvival(episodeScale))
	if isNewEpisode {
		h.failingSince = now
	}
	h.failureProbability, h.updatedAt, h.hasEvidence = clamp(after), now, true
	return h
}

func clamp(p float64) float64 { return min(1-minProbability, max(minProbability, p)) }
