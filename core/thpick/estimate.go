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
	// spreadMemory is the number of answers over which the spread averages. It changes less often than
	// the median, and a spread from a few dozen answers is off by a sixth.
	spreadMemory = 100
	// spreadPrior is the number of answers that latencyLogStdDev counts as.
	spreadPrior = 12
	// maxDeviation bounds the deviation of an answer from the expected time, in multiples of the
	// spread. One answer in thirty may take 3 to 7 times as long as it would otherwise, which must
	// not make the route seem unpredictable.
	maxDeviation = 2.5
)

// LatencyEstimate estimates the distribution of the latency of a route's answers: the median as a
// fading geometric mean, and the spread as the fading root mean square of the logarithm by which
// answers missed what was expected of their target. It is immutable; the zero value returns the
// priors.
type LatencyEstimate struct {
	sum, weight float64
	// squares and deviations are the sum of squares and the number of the known deviations.
	squares, deviations float64
}

// WithAnswer returns the estimate updated by an answer that took the given time. The median that was
// expected at its target, which may be slow or have a queue, is expected; if that is not positive, the
// spread remains as it is.
//
// The median is learned from times that are not divided by the target's latency ratio. The ratio is
// measured against the median: if the requests of a route began to take longer at all targets, the
// ratios would take that up, and the median would hardly follow.
func (e LatencyEstimate) WithAnswer(took, expected time.Duration) LatencyEstimate {
	keep := 1 - 1.0/estimateMemory
	ms := max(1, float64(took)/float64(time.Millisecond))
	next := LatencyEstimate{e.sum*keep + math.Log(ms), e.weight*keep + 1, e.squares, e.deviations}
	if expected <= 0 {
		return next
	}
	keep = 1 - 1.0/spreadMemory
	limit := maxDeviation * float64(e.Spread())
	deviation := min(limit, math.Abs(math.Log(float64(max(took, 1))/float64(expected))))
	next.squares, next.deviations = e.squares*keep+deviation*deviation, e.deviations*keep+1
	return next
}

// Median returns the estimated median latency. The route's latency objective
// sets the prior.
func (e LatencyEstimate) Median(objective time.Duration) time.Duration {
	prior := max(1, priorObjectiveShare*float64(objective)/float64(time.Millisecond))
	logMillis := (e.sum + estimatePrior*math.Log(prior)) / (e.weight + estimatePrior)
	return time.Duration(math.Exp(logMillis) * float64(time.Millisecond))
}

// Spread returns the estimated spread, between minSpread and maxSpread.
func (e LatencyEstimate) Spread() Spread {
	s := math.Sqrt((e.squares + spreadPrior*latencyLogStdDev*latencyLogStdDev) / (e.deviations + spreadPrior))
	return Spread(min(maxSpread, max(minSpread, s)))
}
