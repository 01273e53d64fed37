package thlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thlimit"
)

// tolerance is for rounding in floating-point sums alone.
const tolerance = 1e-6

func TestSharesAddUpToTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := thconfig.Customer{Name: "depot", Rate: rapid.Float64Range(0, 1e5).Draw(t, "rate"), Burst: rapid.IntRange(0, 1000).Draw(t, "burst")}
		var rate float64
		var burst int
		for i := range thlimit.Parts {
			r, b := thlimit.Part{Customer: u.Name, Index: i}.Share(u)
			rate += r
			burst += b
		}
		assert.Equal(t, burst, u.Burst)
		if u.Burst > 0 {
			assert.Assert(t, rate <= u.Rate*(1+tolerance) && rate >= u.Rate*(1-tolerance))
		}
	})
}

func TestBurstSmallerThanFleetIsGivenWhole(t *testing.T) {
	u := thconfig.Customer{Deployment: "seals", Name: "registrar", Rate: 0.01, Burst: 5}
	f := newFleet(40, u)
	f.advance(takeoverWait + 600*time.Second)
	f.syncAll()
	for _, n := range f.nodes[:7] {
		n.request()
	}
	f.advance(2 * time.Second)
	assert.Equal(t, len(f.admitted), 5)
}
