package thhealth

import (
	"math"
	"time"
)

// Reference follows the median latency of a service's good answers. The zero
// Reference knows none.
type Reference struct {
	logMedian float64
	seen      int
}

const (
	// The median moves by a step for each answer: large at first, then small,
	// so that no few answers carry it off.
	firstStep = 0.5
	lastStep  = 0.02
)

// WithLatency returns the reference after one more answer.
func (r Reference) WithLatency(d time.Duration) Reference {
	x := math.Log(max(float64(d), 1))
	if r.seen == 0 {
		return Reference{logMedian: x, seen: 1}
	}
	step := max(firstStep/float64(r.seen), lastStep)
	switch {
	case x > r.logMedian:
		r.logMedian += step
	case x < r.logMedian:
		r.logMedian -= step
	}
	r.seen++
	return r
}

// Median returns the median, or zero if there was no answer yet.
func (r Reference) Median() time.Duration {
	if r.seen == 0 {
		return 0
	}
	return time.Duration(math.Exp(r.logMedian))
}

const (
	// slackLatency is added to what counts as slow, so that services that
	// answer within a millisecond are not judged by scheduling noise.
	slackLatency = 2 * time.Millisecond
	// unknownSlow stands in until the reference has seen enough answers.
	unknownSlow   = time.Second
	enoughAnswers = 8
)

// SlowAfter returns the latency beyond which an answer is slow.
func (r Reference) SlowAfter(p Policy) time.Duration {
	if r.seen < enoughAnswers {
		return unknownSlow
	}
	return time.Duration(float64(r.Median())*p.SlowFactor) + slackLatency
}

// stalledFactor is how many times the bound of slow answers is extremely slow.
const stalledFactor = 2.5

// StalledAfter returns the latency beyond which an answer is extremely slow.
func (r Reference) StalledAfter(p Policy) time.Duration {
	return time.Duration(stalledFactor * float64(r.SlowAfter(p)))
}
