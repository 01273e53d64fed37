package thhealth_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thhealth"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func at(d time.Duration) thclock.Instant { return thclock.At(time.Hour + d) }

// answeredHealth returns the health of a target that answered n requests, one every
// 300 ms, the last of them at until.
func answeredHealth(n int, until time.Duration) thhealth.Health {
	var h thhealth.Health
	for i := range n {
		h = h.WithOutcome(at(until-time.Duration(n-1-i)*300*time.Millisecond), thhealth.Answered)
	}
	return h
}

// A target that just began to fail must lose requests after one or two failures,
// also when other VMs saw them.
func TestFailureRaisesFailureProbability(t *testing.T) {
	h := answeredHealth(5, 0)
	assert.Assert(t, h.FailureProbability(at(0)) < 0.01)
	h = h.WithRemoteOutcome(at(300*time.Millisecond), thhealth.Failed)
	assert.Assert(t, h.FailureProbability(at(300*time.Millisecond)) > 0.3)
	h = h.WithRemoteOutcome(at(400*time.Millisecond), thhealth.Failed)
	assert.Assert(t, h.FailureProbability(at(400*time.Millisecond)) > 0.9)
}

// A single failure must not keep requests away from a target that answers again.
func TestAnswersAfterFailureLowerFailureProbability(t *testing.T) {
	h := answeredHealth(5, 0).WithRemoteOutcome(at(300*time.Millisecond), thhealth.Failed)
	h = h.WithRemoteOutcome(at(time.Second), thhealth.Answered).WithRemoteOutcome(at(2*time.Second), thhealth.Answered)
	assert.Assert(t, h.FailureProbability(at(2*time.Second)) < 0.1)
}

// A target without requests must become usable again once a failing episode has
// probably ended.
func TestFailureProbabilityFallsAfterFailingEpisode(t *testing.T) {
	h := answeredHealth(5, 0)
	for i := range 4 {
		h = h.WithOutcome(at(time.Duration(i+1)*200*time.Millisecond), thhealth.Failed)
	}
	assert.Assert(t, h.FailureProbability(at(4*time.Second)) > 0.8)
	assert.Assert(t, h.FailureProbability(at(16*time.Second)) < 0.3)
}

// A broken network path of one VM must not make the other VMs avoid the target.
func TestRemoteTimeoutsWeighLessThanOwnTimeouts(t *testing.T) {
	h := answeredHealth(5, 0)
	own, remote := h, h
	for i := range 2 {
		own = own.WithOutcome(at(time.Duration(i)*time.Second), thhealth.TimedOut)
		remote = remote.WithRemoteOutcome(at(time.Duration(i)*time.Second), thhealth.TimedOut)
	}
	assert.Assert(t, own.FailureProbability(at(time.Second)) > 0.7)
	assert.Assert(t, remote.FailureProbability(at(time.Second)) < 0.3)
}

// The ratio must follow a target that becomes slow, and recover after it.
func TestLatencyRatioFollowsSlowAndNormalAnswers(t *testing.T) {
	var h thhealth.Health
	assert.Equal(t, h.LatencyRatio(), 1.0)
	for range 6 {
		h = h.WithLatencyRatio(5)
	}
	assert.Assert(t, h.LatencyRatio() > 2.5)
	for range 8 {
		h = h.WithLatencyRatio(1)
	}
	assert.Assert(t, h.LatencyRatio() < 1.6)
}

// No sequence of outcomes may push the probability to 0 or 1, and no negative
// outcome may lower it. Time may also step back between outcomes.
func TestFailureProbabilityStaysBetweenZeroAndOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h thhealth.Health
		now := time.Duration(0)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-1000, 20_000).Draw(t, "gap")) * time.Millisecond
			o := thhealth.Outcome(rapid.IntRange(0, int(thhealth.Inconclusive)).Draw(t, "outcome"))
			before := h.FailureProbability(at(now))
			h = h.WithOutcome(at(now), o)
			p := h.FailureProbability(at(now))
			assert.Assert(t, p > 0 && p < 1)
			if o.IsNegative() {
				assert.Assert(t, p >= before-1e-9 || before > 0.99)
			}
		}
	})
}
