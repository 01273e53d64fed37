// Package thjudge estimates from the outcomes of requests how likely a target
// is to fail the next one, and how much slower than its peers it is.
//
// A target is modelled as either well or failing, with random changes between
// the two; a Belief is the filtered probability of the second. Outcomes seen by
// any VM are folded in as they arrive, so all VMs reach about the same belief.
package thjudge

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
)

// Outcome is how one request to a target ended, as evidence about the target.
type Outcome uint8

// The outcomes.
const (
	// Answered is a whole answer that is no failure of the target.
	Answered Outcome = iota
	// Failed is an answer that says that the target failed, or one that is broken.
	Failed
	// ConnectionClosed is a connection that the target ended without an answer.
	ConnectionClosed
	// ConnectionRefused is a connection that the target's machine refused.
	ConnectionRefused
	// TimedOut is a connection attempt or answer that never came. It tells more
	// about the path of the VM that saw it than about the target.
	TimedOut
	// Rejected is an answer that says that the request did not run.
	Rejected
	// Inconclusive is no evidence: the request was given up too early to tell.
	Inconclusive
	// Overdue is an attempt that is still under way when almost all of a well
	// target's are answered.
	Overdue
)

// IsNegative reports whether the outcome speaks against the target.
func (o Outcome) IsNegative() bool { return o != Answered && o != Inconclusive }

// The model of a target. Shares and spans come from the platform's pages: at
// any time some targets fail most of their requests for several seconds.
const (
	// priorFailureProbability is the belief in a target of which nothing is known.
	priorFailureProbability = 0.08
	// idleFailureProbability is what the belief in a target that gets no requests comes to. It
	// is less than the share of time that a target fails, so that targets are
	// not left out for want of news.
	idleFailureProbability = 0.1
	// onsetsPerSecond is how often a well target begins to fail.
	onsetsPerSecond = 0.04
	// episodeScale and episodeShape give the Weibull law of how long a target
	// keeps failing.
	episodeScale = 10 * time.Second
	episodeShape = 3
	// minProbability bounds every belief away from 0 and 1.
	minProbability = 0.002
)

// likelihood is the probability of an outcome for a failing and a well target.
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

// remoteTimeout replaces the likelihoods of Silent and Overdue if another VM saw
// them: the path between that VM and the target may be the cause.
var remoteTimeout = likelihood{0.3, 0.1}

// Health is what is believed of one target. It is immutable. The zero Health
// is of a target of which nothing is known.
type Health struct {
	failureProbability float64
	updatedAt          thclock.Instant
	failingSince       thclock.Instant
	hasEvidence        bool
	latency            ratioMean
}

// FailureProbability returns the probability that the target fails the next request.
func (b Health) FailureProbability(now thclock.Instant) float64 {
	if !b.hasEvidence {
		return priorFailureProbability
	}
	return b.predict(now)
}

// predict moves the belief from the last outcome to now: an episode may have
// ended since, and a new one may have begun.
func (b Health) predict(now thclock.Instant) float64 {
	span := max(0, now.Sub(b.updatedAt))
	stays := episodeSurvival(now.Sub(b.failingSince)) / max(episodeSurvival(b.updatedAt.Sub(b.failingSince)), math.SmallestNonzeroFloat32)
	begins := idleFailureProbability * (1 - math.Exp(-span.Seconds()*onsetsPerSecond/idleFailureProbability))
	return clamp(b.failureProbability*min(1, stays) + (1-b.failureProbability)*begins)
}

func episodeSurvival(age time.Duration) float64 {
	return math.Exp(-math.Pow(max(0, age.Seconds())/episodeScale.Seconds(), episodeShape))
}

// WithOutcome returns the belief after an outcome that this VM saw itself.
func (b Health) WithOutcome(now thclock.Instant, o Outcome) Health {
	return b.update(now, likelihoods[o])
}

// WithRemoteOutcome returns the belief after an outcome that another VM saw.
func (b Health) WithRemoteOutcome(now thclock.Instant, o Outcome) Health {
	if o == TimedOut || o == Overdue {
		return b.update(now, remoteTimeout)
	}
	return b.update(now, likelihoods[o])
}

func (b Health) update(now thclock.Instant, l likelihood) Health {
	before := b.FailureProbability(now)
	after := before * l.failing / (before*l.failing + (1-before)*l.healthy)
	begins := after > before && (before < 0.5 || episodeSurvival(now.Sub(b.failingSince)) < episodeSurvival(episodeScale))
	if begins {
		b.failingSince = now
	}
	b.failureProbability, b.updatedAt, b.hasEvidence = clamp(after), now, true
	return b
}

func clamp(p float64) float64 { return min(1-minProbability, max(minProbability, p)) }
