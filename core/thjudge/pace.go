package thjudge

import "math"

const (
	// ratioMemoryRequests is how many requests a target's pace remembers.
	ratioMemoryRequests = 6
	// ratioPriorRequests is how many requests at the normal pace are assumed beforehand.
	ratioPriorRequests = 2
)

// ratioMean is a fading mean of the logarithm of how long requests took relative to
// what was expected of them.
type ratioMean struct{ logSum, weight float64 }

func (p ratioMean) add(ratio float64) ratioMean {
	keep := 1 - 1.0/ratioMemoryRequests
	return ratioMean{p.logSum*keep + math.Log(ratio), p.weight*keep + 1}
}

// maxRatio bounds what one request may say about a target's pace.
const maxRatio = 20

// WithLatencyRatio returns the belief after a request that took ratio times as long as
// expected.
func (b Health) WithLatencyRatio(ratio float64) Health {
	b.latency = b.latency.add(min(maxRatio, max(1.0/maxRatio, ratio)))
	return b
}

// LatencyRatio returns how many times longer than its peers the target takes.
func (b Health) LatencyRatio() float64 {
	return math.Exp(b.latency.logSum / (b.latency.weight + ratioPriorRequests))
}
