package thmemory_test

import (
	"testing"

	"tamarackhollow/core/thmemory"

	"gotest.tools/v3/assert"
)

// TestLimitsFitTheMemory guards against shares that add up to more than a VM has, and against a VM of
// 136 MB that cannot hold the largest body.
func TestLimitsFitTheMemory(t *testing.T) {
	const megabyte, largestBody = 1 << 20, 64 << 20
	for _, megabytes := range []int64{16, 32, 64, 136, 512, 4096} {
		memory := megabytes * megabyte
		callers, runtime := thmemory.CallerLimit(memory), thmemory.RuntimeLimit(memory)
		assert.Assert(t, callers > 0 && callers < runtime && runtime < memory*4/5, "%d MB: %d and %d", megabytes, callers, runtime)
		var a thmemory.Account
		a.SetLimits(callers, 0)
		verdict, _ := a.Charge(now, a.OpenRequest(now, 0, keyed), largestBody+64<<10)
		assert.Equal(t, verdict == thmemory.Granted, megabytes >= 136, "%d MB", megabytes)
	}
	assert.Equal(t, thmemory.ConnectionLimit(0, 2870, 30<<10), 1435)
	assert.Equal(t, thmemory.ConnectionLimit(30<<20, 2870, 30<<10), 512)
}
