package thjudge_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thjudge"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func at(d time.Duration) thclock.Instant { return thclock.At(time.Hour + d) }

func answered(n int, until time.Duration) thjudge.Health {
	var b thjudge.Health
	for i := range n {
		b = b.WithOutcome(at(until-time.Duration(n-1-i)*300*time.Millisecond), thjudge.Answered)
	}
	return b
}

func TestOneFailureIsSuspicious(t *testing.T) {
	b := answered(5, 0)
	assert.Assert(t, b.FailureProbability(at(0)) < 0.01)
	b = b.WithRemoteOutcome(at(300*time.Millisecond), thjudge.Failed)
	assert.Assert(t, b.FailureProbability(at(300*time.Millisecond)) > 0.3)
	b = b.WithRemoteOutcome(at(400*time.Millisecond), thjudge.Failed)
	assert.Assert(t, b.FailureProbability(at(400*time.Millisecond)) > 0.9)
}

func TestAnswersClearASuspicion(t *testing.T) {
	b := answered(5, 0).WithRemoteOutcome(at(300*time.Millisecond), thjudge.Failed)
	b = b.WithRemoteOutcome(at(time.Second), thjudge.Answered).WithRemoteOutcome(at(2*time.Second), thjudge.Answered)
	assert.Assert(t, b.FailureProbability(at(2*time.Second)) < 0.1)
}

func TestEpisodesEnd(t *testing.T) {
	b := answered(5, 0)
	for i := range 4 {
		b = b.WithOutcome(at(time.Duration(i+1)*200*time.Millisecond), thjudge.Failed)
	}
	assert.Assert(t, b.FailureProbability(at(4*time.Second)) > 0.8)
	assert.Assert(t, b.FailureProbability(at(16*time.Second)) < 0.3)
}

func TestSilenceOfOnePathConvincesNobodyElse(t *testing.T) {
	b := answered(5, 0)
	own, other := b, b
	for i := range 2 {
		own = own.WithOutcome(at(time.Duration(i)*time.Second), thjudge.TimedOut)
		other = other.WithRemoteOutcome(at(time.Duration(i)*time.Second), thjudge.TimedOut)
	}
	assert.Assert(t, own.FailureProbability(at(time.Second)) > 0.7)
	assert.Assert(t, other.FailureProbability(at(time.Second)) < 0.3)
}

func TestPaceTellsSlowTargets(t *testing.T) {
	var b thjudge.Health
	assert.Equal(t, b.LatencyRatio(), 1.0)
	for range 6 {
		b = b.WithLatencyRatio(5)
	}
	assert.Assert(t, b.LatencyRatio() > 2.5)
	for range 8 {
		b = b.WithLatencyRatio(1)
	}
	assert.Assert(t, b.LatencyRatio() < 1.6)
}

func TestBeliefIsAProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b thjudge.Health
		now := time.Duration(0)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-1000, 20_000).Draw(t, "gap")) * time.Millisecond
			o := thjudge.Outcome(rapid.IntRange(0, int(thjudge.Inconclusive)).Draw(t, "outcome"))
			before := b.FailureProbability(at(now))
			b = b.WithOutcome(at(now), o)
			p := b.FailureProbability(at(now))
			assert.Assert(t, p > 0 && p < 1)
			if o.IsNegative() {
				assert.Assert(t, p >= before-1e-9 || before > 0.99)
			}
		}
	})
}
