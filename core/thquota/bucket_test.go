package thquota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thquota"

	"gotest.tools/v3/assert"
)

// The platform's specification allows, in any window, the limit times tolerance
// plus slack requests.
const (
	window    = 5 * time.Second
	tolerance = 1.1
	slack     = 20
)

// fleet simulates VMs that receive each other's reports after a delay, unless they
// are isolated.
type fleet struct {
	limit   thquota.Limit
	buckets []thquota.Bucket
	// isolated holds the VMs that neither send nor receive reports.
	isolated []bool
	delay    time.Duration
	// pending holds the reports on their way, ordered by time of arrival.
	pending []report
	// admitted holds the times of all admitted requests, in order.
	admitted []time.Duration
	refused  int
}

// report informs the other VMs of one request that a VM admitted.
type report struct {
	// at is when the report arrives.
	at   time.Duration
	from int
}

func newFleet(size int, l thquota.Limit, delay time.Duration) *fleet {
	return &fleet{limit: l, buckets: make([]thquota.Bucket, size), isolated: make([]bool, size), delay: delay}
}

func (f *fleet) share(vm int) float64 {
	live := 1
	for i := range f.isolated {
		if i != vm && !f.isolated[i] && !f.isolated[vm] {
			live++
		}
	}
	return thquota.UsableShare(live, len(f.buckets))
}

// request delivers the reports that are due and then sends one request to a VM.
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
		if i != r.from && !f.isolated[i] && !f.isolated[r.from] {
			f.buckets[i] = f.buckets[i].WithRemoteRequests(thclock.At(time.Hour+r.at), f.limit, f.share(i), 1)
		}
	}
}

// maxPerWindow returns the largest number of requests admitted in any window.
func (f *fleet) maxPerWindow() int {
	largest, begin := 0, 0
	for end := range f.admitted {
		for f.admitted[end]-f.admitted[begin] > window {
			begin++
		}
		largest = max(largest, end-begin+1)
	}
	return largest
}

// allowedPerWindow returns the largest number of requests that the platform's
// specification allows in a window.
func (f *fleet) allowedPerWindow() int {
	return int((f.limit.Rate*window.Seconds()+f.limit.Burst)*tolerance) + slack
}

// run sends requests at random times, rate per second on average, to random VMs.
func (f *fleet) run(rng *rand.Rand, rate float64, until time.Duration) {
	for now := time.Duration(0); now < until; {
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		f.request(now, rng.IntN(len(f.buckets)))
	}
}

// A customer that sends five times its rate must not exceed the limit beyond the
// tolerance, neither through the delay of reports nor through isolated VMs.
func TestCustomerFarOverItsRateStaysWithinTolerance(t *testing.T) {
	for _, c := range []struct {
		name     string
		limit    thquota.Limit
		isolated int
	}{
		{"small", thquota.Limit{Rate: 2, Burst: 2}, 0},
		{"large", thquota.Limit{Rate: 40, Burst: 40}, 0},
		{"6 of 32 VMs isolated", thquota.Limit{Rate: 18, Burst: 18}, 6},
		{"16 of 32 VMs isolated", thquota.Limit{Rate: 18, Burst: 18}, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(32, c.limit, 2*time.Millisecond)
			for i := range c.isolated {
				f.isolated[i] = true
			}
			f.run(rand.New(rand.NewPCG(1, 2)), 5*c.limit.Rate, 30*time.Second)
			assert.Assert(t, f.maxPerWindow() <= f.allowedPerWindow(), "%d of %d", f.maxPerWindow(), f.allowedPerWindow())
		})
	}
}

// At most one in a thousand requests of a customer within its rate may be refused,
// although reports of other VMs arrive late.
func TestCustomerWithinItsRateIsRarelyRefused(t *testing.T) {
	f := newFleet(32, thquota.Limit{Rate: 16, Burst: 16}, 2*time.Millisecond)
	f.run(rand.New(rand.NewPCG(3, 4)), 10, time.Minute)
	assert.Assert(t, f.refused*1000 <= len(f.admitted), "%d refused of %d", f.refused, len(f.admitted))
}

// If half of the VMs are isolated, capacity and refill rate of each bucket of the
// others fall to one half. For three seconds, at most one in twenty requests of a
// customer within its rate may then be refused.
func TestLossOfHalfTheVMsRefusesFewRequestsForThreeSeconds(t *testing.T) {
	f := newFleet(32, thquota.Limit{Rate: 16, Burst: 16}, 2*time.Millisecond)
	rng := rand.New(rand.NewPCG(5, 6))
	f.run(rng, 10, 20*time.Second)
	for i := range 16 {
		f.isolated[i] = true
	}
	before := len(f.admitted)
	for now := 20 * time.Second; now < 23*time.Second; {
		now += time.Duration(rng.ExpFloat64() / 10 * float64(time.Second))
		f.request(now, 16+rng.IntN(16))
	}
	assert.Assert(t, f.refused*20 <= len(f.admitted)-before, "%d refused", f.refused)
}

func TestZeroRateMeansNoLimit(t *testing.T) {
	var b thquota.Bucket
	b, ok := b.WithRequest(thclock.At(1), thquota.Limit{}, 1)
	assert.Assert(t, ok)
	assert.Equal(t, b.RetryAfter(thquota.Limit{}, 1), time.Duration(0))
}

func TestRequestIsAdmittedAfterRetryAfter(t *testing.T) {
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
