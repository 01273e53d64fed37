package e2e_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"tamarackhollow/io/thstand"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const (
	benchSpan       = 4 * time.Second
	benchTargetTime = 4 // milliseconds
	benchTargets    = 24
)

// BenchmarkAddedLatency sends at an even rate to the targets directly, in turn,
// and through one VM, in the same run, and reports what the VM adds.
func BenchmarkAddedLatency(b *testing.B) {
	for _, rate := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			r := newRig(b, 3, benchTargets)
			key := r.prepare(1e6, 1e6)
			for _, target := range r.targets {
				target.Behave(thstand.TargetBehaviour{LatencyMillis: benchTargetTime})
			}
			for range b.N {
				direct := pace(b, rate, r.targetAddresses(), key)
				proxied := pace(b, rate, []string{r.vms[0].callers}, key)
				report(b, "p50", direct, proxied, 50)
				report(b, "p99", direct, proxied, 99)
			}
		})
	}
}

func report(b *testing.B, name string, direct, proxied *hdrhistogram.Histogram, quantile float64) {
	b.Helper()
	d, p := float64(direct.ValueAtQuantile(quantile)), float64(proxied.ValueAtQuantile(quantile))
	b.ReportMetric(d, "us-direct-"+name)
	b.ReportMetric(p-d, "us-added-"+name)
	b.ReportMetric(p/d, "ratio-"+name)
}

// pace sends at the rate whether or not answers come, and measures from when
// each request was due.
func pace(b *testing.B, rate int, addresses []string, key string) *hdrhistogram.Histogram {
	b.Helper()
	c := &fasthttp.Client{MaxConnsPerHost: 4096, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: time.Minute}
	defer c.CloseIdleConnections()
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var all sync.WaitGroup
	gap := time.Second / time.Duration(rate)
	began := time.Now()
	for n, due := 0, began; due.Sub(began) < benchSpan; n, due = n+1, due.Add(gap) {
		time.Sleep(time.Until(due))
		address := addresses[n%len(addresses)]
		all.Go(func() {
			status := sendOne(c, address, key)
			took := time.Since(due).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			assert.Check(b, status == fasthttp.StatusOK, "status %d", status)
			_ = h.RecordValue(took)
		})
	}
	all.Wait()
	return h
}

func (r *rig) targetAddresses() []string {
	addresses := make([]string, len(r.targets))
	for i := range r.targets {
		addresses[i] = r.targetAddress(i)
	}
	return addresses
}

func sendOne(c *fasthttp.Client, address, key string) int {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI("http://" + address + "/stock/7")
	q.Header.Set("Authorization", "Bearer "+key)
	if err := c.Do(q, a); err != nil {
		return 0
	}
	return a.StatusCode()
}
