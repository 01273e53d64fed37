package thquota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thquota"

	"gotest.tools/v3/assert"
)

// TestPaceAdmitsNoMoreThanItsRate guards against an owner that gives out more than its part: at its
// beginning, after a quiet time, or while the rate changes.
func TestPaceAdmitsNoMoreThanItsRate(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var p thquota.Pace
		var earned, spent float64
		rate := 0.0
		for now := time.Hour; now < time.Hour+time.Minute; {
			step := time.Duration(rng.IntN(300)) * time.Millisecond
			now += step
			earned = min(1, earned+rate*step.Seconds())
			if rng.IntN(10) == 0 {
				rate = []float64{0, 0.1, 0.5, 1.1666}[rng.IntN(4)]
				if rate == 0 {
					earned = 0
				}
			}
			p = p.WithRate(thclock.At(now), rate)
			if rng.IntN(2) == 0 {
				continue
			}
			var ok bool
			if p, ok = p.WithRequest(thclock.At(now)); ok {
				spent++
				earned--
			}
			assert.Assert(t, earned >= -1e-6, "seed %d: a request more than the rate allows", seed)
		}
		assert.Assert(t, spent > 5, "seed %d: %v requests", seed, spent)
	}
}

// TestPaceTellsWhenItAdmits guards against callers that are told to return too early or too late.
func TestPaceTellsWhenItAdmits(t *testing.T) {
	now := thclock.At(time.Hour)
	p := thquota.Pace{}.WithRate(now, 2)
	assert.Equal(t, p.ReadyAt(), now.Add(500*time.Millisecond))
	p = p.WithRate(now.Add(250*time.Millisecond), 1) // half of a token is left to gain
	assert.Equal(t, p.ReadyAt(), now.Add(750*time.Millisecond))
	_, ok := p.WithRequest(now.Add(750*time.Millisecond - 1))
	assert.Assert(t, !ok)
	p, ok = p.WithRequest(now.Add(10 * time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, p.ReadyAt(), now.Add(11*time.Second))
}
