package thjudge

import "math"

const (
	// paceMemory is how many requests a target's pace remembers.
	paceMemory = 6
	// pacePrior is how many requests at the normal pace are assumed beforehand.
	pacePrior = 2
)

// pace is a fading mean of the logarithm of how long requests took relative to
// what was expected of them.
type pace struct{ sum, weight float64 }

func (p pace) with(ratio float64) pace {
	keep := 1 - 1.0/paceMemory
	return pace{p.sum*keep + math.Log(ratio), p.weight*keep + 1}
}

// maxRatio bounds what one request may say about a target's pace.
const maxRatio = 20

// WithLatencyRatio returns the belief after a request that took ratio times as long as
// expected.
func (b Health) WithLatencyRatio(ratio float64) Health {
	b.pace = b.pace.with(min(maxRatio, max(1.0/maxRatio, ratio)))
	return b
}

// LatencyRatio returns how many times longer than its peers the target takes.
func (b Health) LatencyRatio() float64 {
	return math.Exp(b.pace.sum / (b.pace.weight + pacePrior))
}
