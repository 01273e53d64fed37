package thpick

import (
	"math"
	"time"
)

const (
	// estimateMemory is the number of answers over which an estimate averages;
	// older answers fade out exponentially.
	estimateMemory = 24
	// estimatePrior is the number of answers that the prior counts as.
	estimatePrior = 3
	// priorObjectiveShare is the prior median as a share of the route's
	// objective: objectives are set to several times the usual latency.
	priorObjectiveShare = 0.25
)

// LatencyEstimate estimates the median latency of a route's answers as a
// fading geometric mean. It is immutable; the zero value returns the prior.
type LatencyEstimate struct{ sum, weight float64 }

// WithAnswer returns the estimate updated by an answer that took the given
// time.
func (e LatencyEstimate) WithAnswer(took time.Duration) LatencyEstimate {
	keep := 1 - 1.0/estimateMemory
	ms := max(1, float64(took)/float64(time.Millisecond))
	return LatencyEstimate{e.sum*keep + math.Log(ms), e.weight*keep + 1}
}

// Median returns the estimated median latency. The route's latency objective
// sets the prior.
func (e LatencyEstimate) Median(objective time.Duration) time.Duration {
	prior := max(1, priorObjectiveShare*float64(objective)/float64(time.Millisecond))
	logMillis := (e.sum + estimatePrior*math.Log(prior)) / (e.weight + estimatePrior)
	return time.Duration(math.Exp(logMillis) * float64(time.Millisecond))
}
