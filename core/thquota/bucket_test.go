package thquota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thquota"

	"gotest.tools/v3/assert"
)

// The tolerance that limits are checked with, from the platform's rules.
const (
	window    = 5 * time.Second
	tolerance = 1.1
	slack     = 20
)

// fleet is a number of VMs that hear of each other's requests after a delay,
// unless they are cut off.
type fleet struct {
	limit   thquota.Limit
	buckets []thquota.Bucket
	cut     []bool
	delay   time.Duration
	pending []report
	// admitted holds the times of all admitted requests.
	admitted []time.Duration
	refused  int
}

type report struct {
	at   time.Duration
	from int
}

func newFleet(size int, l thquota.Limit, delay time.Duration) *fleet {
	return &fleet{limit: l, buckets: make([]thquota.Bucket, size), cut: make([]bool, size), delay: delay}
}

func (f *fleet) share(vm int) float64 {
	heard := 1
	for i := range f.cut {
		if i != vm && !f.cut[i] && !f.cut[vm] {
			heard++
		}
	}
	return thquota.UsableShare(heard, len(f.buckets))
}

func (f *fleet) request(now time.Duration, vm int) {
	for len(f.pending) > 0 && f.pending[0].at <= now {
		f.deliver(f.pending[0])
		f.pending = f.pending[1:]
	}
	b, ok := f.buckets[vm].WithRequest(thclock.At(time.Hour+now), f.limit, f.share(vm))
	f.buckets[vm] = b
	if !ok {
		f.refused++
		return
	}
	f.admitted = append(f.admitted, now)
	f.pending = append(f.pending, report{now + f.delay, vm})
}

func (f *fleet) deliver(r report) {
	for i := range f.buckets {
		if i != r.from && !f.cut[i] && !f.cut[r.from] {
			f.buckets[i] = f.buckets[i].WithRemoteRequests(thclock.At(time.Hour+r.at), f.limit, f.share(i), 1)
		}
	}
}

// most returns the largest number of admitted requests in any window.
func (f *fleet) most() int {
	most, begin := 0, 0
	for end := range f.admitted {
		for f.admitted[end]-f.admitted[begin] > window {
			begin++
		}
		most = max(most, end-begin+1)
	}
	return most
}

func (f *fleet) allowed() int {
	return int((f.limit.Rate*window.Seconds()+f.limit.Burst)*tolerance) + slack
}

func (f *fleet) run(rng *rand.Rand, rate float64, until time.Duration) {
	for now := time.Duration(0); now < until; {
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		f.request(now, rng.IntN(len(f.buckets)))
	}
}

func TestCustomerFarOverItsRateStaysWithinTheTolerance(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit thquota.Limit
		cut   int
	}{
		{"small", thquota.Limit{Rate: 2, Burst: 2}, 0},
		{"large", thquota.Limit{Rate: 40, Burst: 40}, 0},
		{"a sixth cut off", thquota.Limit{Rate: 18, Burst: 18}, 6},
		{"half cut off", thquota.Limit{Rate: 18, Burst: 18}, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(32, c.limit, 2*time.Millisecond)
			for i := range c.cut {
				f.cut[i] = true
			}
			f.run(rand.New(rand.NewPCG(1, 2)), 5*c.limit.Rate, 30*time.Second)
			assert.Assert(t, f.most() <= f.allowed(), "%d of %d", f.most(), f.allowed())
		})
	}
}

func TestCustomerWithinItsRateIsHardlyRefused(t *testing.T) {
	f := newFleet(32, thquota.Limit{Rate: 16, Burst: 16}, 2*time.Millisecond)
	f.run(rand.New(rand.NewPCG(3, 4)), 10, time.Minute)
	assert.Assert(t, f.refused*1000 <= len(f.admitted), "%d refused of %d", f.refused, len(f.admitted))
}

func TestHalfTheVMsLostRefusesLittleForSeconds(t *testing.T) {
	f := newFleet(32, thquota.Limit{Rate: 16, Burst: 16}, 2*time.Millisecond)
	rng := rand.New(rand.NewPCG(5, 6))
	f.run(rng, 10, 20*time.Second)
	for i := range 16 {
		f.cut[i] = true
	}
	before := len(f.admitted)
	for now := 20 * time.Second; now < 23*time.Second; {
		now += time.Duration(rng.ExpFloat64() / 10 * float64(time.Second))
		f.request(now, 16+rng.IntN(16))
	}
	assert.Assert(t, f.refused*20 <= len(f.admitted)-before, "%d refused", f.refused)
}

func TestNoLimit(t *testing.T) {
	var b thquota.Bucket
	b, ok := b.WithRequest(thclock.At(1), thquota.Limit{}, 1)
	assert.Assert(t, ok)
	assert.Equal(t, b.RetryAfter(thquota.Limit{}, 1), time.Duration(0))
}

func TestWaitIsUntilTheNextRequestIsAdmitted(t *testing.T) {
	l := thquota.Limit{Rate: 2, Burst: 1}
	var b thquota.Bucket
	now := thclock.At(time.Hour)
	ok := true
	for ok {
		b, ok = b.WithRequest(now, l, 1)
	}
	wait := b.RetryAfter(l, 1)
	assert.Assert(t, wait > 0 && wait <= 500*time.Millisecond)
	_, ok = b.WithRequest(now.Add(wait), l, 1)
	assert.Assert(t, ok)
}
