package thpick

import "math"

// Spread is the standard deviation of the natural logarithm of a latency, which is roughly
// log-normal. The zero Spread is one that is not known, latencyLogStdDev.
type Spread float64

// minSpread and maxSpread bound a Spread that is learned. The spreads of routes are 0.3 to 0.8
// according to the platform's specification; queues of unknown length beside them add to these.
const minSpread, maxSpread = 0.25, 1.25

// factor returns the multiple of the median that is exceeded as often as the given multiple is if the
// spread is latencyLogStdDev.
func (s Spread) factor(multiple float64) float64 {
	if s <= 0 {
		return multiple
	}
	return math.Pow(multiple, float64(s)/latencyLogStdDev)
}
