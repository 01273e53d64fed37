package thhealth

import "math"

const (
	// ratioMemoryRequests sets how fast old requests lose weight in a target's mean
	// latency ratio: the total weight stays below this number of requests.
	ratioMemoryRequests = 6
	// ratioPriorRequests is the weight, in requests, of the initial assumption that
	// the target takes as long as expected.
	ratioPriorRequests = 2
)

// ratioMean is an exponentially weighted mean of the logarithm of the latency
// ratio, that is, of the time that a request took divided by the expected time.
type ratioMean struct{ logSum, weight float64 }

func (m ratioMean) add(ratio float64) ratioMean {
	decay := 1 - 1.0/ratioMemoryRequests
	return ratioMean{m.logSum*decay + math.Log(ratio), m.weight*decay + 1}
}

// maxRatio and its reciprocal bound the latency ratio of a single request, which
// limits the influence of outliers.
const maxRatio = 20

// WithLatencyRatio returns the health updated with a request that took ratio times
// as long as expected.
func (h Health) WithLatencyRatio(ratio float64) Health {
	h.latency = h.latency.add(min(maxRatio, max(1.0/maxRatio, ratio)))
	return h
}

// LatencyRatio returns the weighted geometric mean of the target's latency ratios.
// It is 1 without evidence.
func (h Health) LatencyRatio() float64 {
	return math.Exp(h.latency.logSum / (h.latency.weight + ratioPriorRequests))
}
