package thquota_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thquota"

	"gotest.tools/v3/assert"
)

// How the owners of a limit together keep to it is tested in package thview.

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
	assert.Assert(t, wait > 0 && wait <= 500*time.Millisecond+time.Microsecond)
	_, ok = b.WithRequest(now.Add(wait), l, 1)
	assert.Assert(t, ok)
}

// admitted returns how many requests the bucket admits at once.
func admitted(b thquota.Bucket, now thclock.Instant, l thquota.Limit, share float64) (n int) {
	for ok := true; ok; n++ {
		b, ok = b.WithRequest(now, l, share)
	}
	return n - 1
}

// A VM that takes over a part of a limit must not give out the burst that the owner
// before has just given out.
func TestNewBucketGivesOutTheBurstOnlyOnceItIsRefilled(t *testing.T) {
	l, now := thquota.Limit{Rate: 10, Burst: 40}, thclock.At(time.Hour)
	assert.Assert(t, admitted(thquota.NewBucket(now, 1), now, l, 1) <= 4)
	assert.Assert(t, admitted(thquota.NewBucket(now, 1), now.Add(time.Minute), l, 1) >= 40)
	assert.Assert(t, admitted(thquota.Bucket{}, now, l, 1) >= 40)
}

// Halves of a split zone must not use more than the whole part together.
func TestUsableShares(t *testing.T) {
	for _, c := range []struct {
		live, members int
		want          float64
	}{{8, 8, 1}, {2, 8, 0.25}, {6, 8, 0.75}, {1, 0, 1}, {3, 2, 1}} {
		assert.Equal(t, thquota.UsableShare(c.live, c.members), c.want)
	}
}

// A customer with a small limit must be served although its parts are below one request.
func TestSmallPartAdmitsRequests(t *testing.T) {
	l, now := thquota.Limit{Rate: 1, Burst: 1}, thclock.At(time.Hour)
	assert.Equal(t, admitted(thquota.Bucket{}, now, l, 0.05), 1)
}
