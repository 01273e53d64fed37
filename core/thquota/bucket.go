// Package thquota limits customers to their rate and burst over all VMs.
//
// Every VM keeps a bucket per customer, and takes out of it both what it
// admits itself and what the others report. No request waits for a call to
// another VM; what is admitted twice in the time that a report takes lies
// within the tolerance that the limits are checked with.
package thquota

import (
	"time"

	"tamarackhollow/core/thclock"
)

// Limit is a customer's limit over all VMs.
type Limit struct {
	// Rate is in requests a second; 0 is no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
}

const (
	// burstSlackRequests is added to every burst, in requests. Limits are checked with a
	// tolerance of 20 requests a window; the rest of it is left for requests
	// that several VMs admit before they hear of each other.
	burstSlackRequests = 8
	// initialBurstShare is the part of the burst that a bucket starts with: after a
	// restart, what was admitted before is unknown.
	initialBurstShare = 0.3
	// minInitialTokens is the least that a bucket starts with, so that VMs which
	// restart together and do not hear each other yet can serve.
	minInitialTokens = 1
	// maxDebtTokens bounds, in requests, how far reports can overdraw a bucket.
	maxDebtTokens = 40
)

// Bucket is what is left of one customer's limit. It is immutable. The zero
// Bucket starts at the first With.
type Bucket struct {
	tokens      float64
	refilledAt  thclock.Instant
	initialised bool
}

// refilled returns the bucket at now. Share is the part of the limit that the
// VMs that are heard may use, 0 to 1.
func (b Bucket) refilled(now thclock.Instant, l Limit, share float64) Bucket {
	size := (l.Burst + burstSlackRequests) * share
	if !b.initialised {
		return Bucket{tokens: max(minInitialTokens, size*initialBurstShare), refilledAt: now, initialised: true}
	}
	span := max(0, now.Sub(b.refilledAt)).Seconds()
	b.tokens = min(size, b.tokens+span*l.Rate*share)
	b.refilledAt = now
	return b
}

// WithRequest returns the bucket after one request of this VM, and whether the
// request is admitted; a refused one takes nothing.
func (b Bucket) WithRequest(now thclock.Instant, l Limit, share float64) (Bucket, bool) {
	if l.Rate <= 0 {
		return b, true
	}
	b = b.refilled(now, l, share)
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// WithRemoteRequests returns the bucket after other VMs admitted a number of requests.
func (b Bucket) WithRemoteRequests(now thclock.Instant, l Limit, share float64, admitted float64) Bucket {
	if l.Rate <= 0 {
		return b
	}
	b = b.refilled(now, l, share)
	b.tokens = max(-maxDebtTokens, b.tokens-admitted)
	return b
}

// RetryAfter returns how long until a request may be admitted.
func (b Bucket) RetryAfter(l Limit, share float64) time.Duration {
	if l.Rate <= 0 || b.tokens >= 1 {
		return 0
	}
	return time.Duration((1-b.tokens)/(l.Rate*max(share, minShare))*float64(time.Second)) + time.Microsecond
}

// minShare bounds the part of a limit that a VM without peers may use.
const minShare = 0.02

// UsableShare returns the part of a limit that may be used by the VMs that are
// heard, this one included, so that parts of the fleet that do not hear each
// other stay within the limit together.
func UsableShare(heard, known int) float64 {
	if known <= 0 || heard >= known {
		return 1
	}
	return max(minShare, float64(heard)/float64(known))
}
