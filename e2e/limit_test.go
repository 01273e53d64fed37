package e2e_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/io/thstand"

	"gotest.tools/v3/assert"
)

// hammer has callers send through every VM without a pause until told to stop.
// It returns what stops them and waits for them.
func (r *rig) hammer(key string) (stop func()) {
	var done atomic.Bool
	var all sync.WaitGroup
	for _, v := range r.vms {
		for range 2 {
			all.Go(func() {
				c := &http.Client{Transport: &http.Transport{}}
				defer c.CloseIdleConnections()
				for !done.Load() {
					if a := call(c, v, request{path: "/stock/1", key: key}); a.err != nil || a.status == http.StatusTooManyRequests {
						time.Sleep(2 * time.Millisecond)
					}
				}
			})
		}
	}
	return func() {
		done.Store(true)
		all.Wait()
	}
}

// TestNoMoreThanRateAndBurstThroughFaults sends far more than the rate while a
// VM is killed and started again, one is frozen for longer than any lease, one
// direction of a link is cut and the store goes away.
func TestNoMoreThanRateAndBurstThroughFaults(t *testing.T) {
	const (
		rate  = 50.0
		burst = 20
		phase = 3 * time.Second
		pause = 9 * time.Second
	)
	r := newRig(t, 4, 2)
	key := r.prepare(rate, burst)
	began := time.Now()
	before := r.runs()
	stop := r.hammer(key)
	faults := []func(){
		func() { r.kill(r.vms[0]) },
		func() { r.startVM(r.vms[0]) },
		func() { r.freeze(r.vms[1]) },
		func() { time.Sleep(pause) },
		func() { r.thaw(r.vms[1]) },
		func() { r.vms[2].link.Cut(thstand.Cuts{Backward: true}) },
		func() { r.vms[2].link.Cut(thstand.Cuts{}) },
		func() { r.platform.SetFaults(thstand.PlatformFaults{Down: true}) },
		func() { r.kill(r.vms[3]) },
		func() { r.startVM(r.vms[3]) },
		func() { r.platform.SetFaults(thstand.PlatformFaults{}) },
	}
	for _, f := range faults {
		f()
		time.Sleep(phase)
	}
	stop()
	ran := r.runs() - before
	// What was in the bucket before the start counts as burst; nothing else may.
	most := burst + rate*time.Since(began).Seconds()
	t.Logf("%d ran of at most %.0f", ran, most)
	assert.Assert(t, float64(ran) <= most, "%d ran, %.0f are allowed", ran, most)
	assert.Assert(t, ran > 0)
}

// TestRateChangeHoldsEverywhere raises a rate through one VM and uses it
// through another.
func TestRateChangeHoldsEverywhere(t *testing.T) {
	r := newRig(t, 3, 2)
	key := r.prepare(1000, 1000)
	r.apply(r.vms[1], "lower", thconfig.SetCustomer{Customer: thconfig.Customer{
		Name: "depot", Rate: 0.001, Burst: 1, Deployment: "cordial",
	}})
	r.eventually("refused on the third VM", func() bool {
		return call(http.DefaultClient, r.vms[2], request{path: "/stock/1", key: key}).kind == "overLimit"
	})
	r.apply(r.vms[0], "raise", thconfig.SetCustomer{Customer: thconfig.Customer{
		Name: "depot", Rate: 1000, Burst: 1000, Deployment: "cordial",
	}})
	served := 0
	r.eventually("100 served on the third VM", func() bool {
		if call(http.DefaultClient, r.vms[2], request{path: "/stock/1", key: key}).status == http.StatusOK {
			served++
		}
		return served == 100
	})
}
