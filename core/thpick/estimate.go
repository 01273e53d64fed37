package thpick

import (
	"math"
	"time"
)

const (
	// estimateMemory is how many answers an estimate remembers.
	estimateMemory = 24
	// estimatePrior is how many answers the prior counts for.
	estimatePrior = 3
	// priorObjectiveShare is the prior: objectives are set to several times the
	// usual time.
	priorObjectiveShare = 0.25
)

// LatencyEstimate is how long a route's requests usually take. It is immutable; the
// zero LatencyEstimate has only its prior.
type LatencyEstimate struct{ sum, weight float64 }

// WithAnswer returns the estimate after an answer that took the given time.
func (e LatencyEstimate) WithAnswer(took time.Duration) LatencyEstimate {
	keep := 1 - 1.0/estimateMemory
	ms := max(1, float64(took)/float64(time.Millisecond))
	return LatencyEstimate{e.sum*keep + math.Log(ms), e.weight*keep + 1}
}

// Median returns the usual time, for a route with the given objective.
func (e LatencyEstimate) Median(objective time.Duration) time.Duration {
	prior := max(1, priorObjectiveShare*float64(objective)/float64(time.Millisecond))
	log := (e.sum + estimatePrior*math.Log(prior)) / (e.weight + estimatePrior)
	return time.Duration(math.Exp(log) * float64(time.Millisecond))
}
