// Package thquota limits each customer to a request rate and burst over all VMs.
//
// Every VM keeps a token bucket per customer and takes tokens out of it for the
// requests that it admits itself and for those that other VMs report. Requests
// never wait for a call to another VM. While a report is on its way, several VMs
// can admit requests for the same tokens; the tolerance in the platform's
// specification covers this excess.
package thquota

import (
	"time"

	"tamarackhollow/core/thclock"
)

// Limit is the rate limit of one customer over all VMs.
type Limit struct {
	// Rate is the sustained rate in requests per second; 0 means no limit.
	Rate float64
	// Burst is the number of requests that may be admitted at once.
	Burst float64
}

const (
	// burstSlackRequests is added to every burst. The platform's specification
	// tolerates 20 requests over the limit per window; the remaining 12 are left for
	// requests that several VMs admit before they receive each other's reports.
	burstSlackRequests = 8
	// initialBurstShare is the fraction of the burst that a new bucket holds. It is
	// less than 1 because a restarted VM does not know how many requests were
	// admitted before.
	initialBurstShare = 0.3
	// minInitialTokens is the least that a new bucket holds, so that VMs that restart
	// together and have not yet received notices from each other can admit requests.
	minInitialTokens = 1
	// maxDebtTokens bounds how far below zero reports can take a bucket.
	maxDebtTokens = 40
)

// Bucket is the token bucket of one customer on one VM. It is immutable. The zero
// Bucket gets its initial tokens with the first request or report.
type Bucket struct {
	// tokens is the number of requests that may still be admitted; negative if
	// other VMs reported more requests than the bucket held.
	tokens      float64
	refilledAt  thclock.Instant
	initialised bool
}

// refilled returns the bucket with the tokens added until now. The share, 0 to 1,
// is the fraction of the limit that this VM and its live peers may use together;
// see UsableShare.
func (b Bucket) refilled(now thclock.Instant, l Limit, share float64) Bucket {
	capacity := (l.Burst + burstSlackRequests) * share
	if !b.initialised {
		return Bucket{tokens: max(minInitialTokens, capacity*initialBurstShare), refilledAt: now, initialised: true}
	}
	elapsed := max(0, now.Sub(b.refilledAt)).Seconds()
	b.tokens = min(capacity, b.tokens+elapsed*l.Rate*share)
	b.refilledAt = now
	return b
}

// WithRequest returns the bucket after one request to this VM and whether that
// request is admitted. A refused request takes no token.
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

// WithRemoteRequests returns the bucket after other VMs reported the given number of
// admitted requests.
func (b Bucket) WithRemoteRequests(now thclock.Instant, l Limit, share float64, admitted float64) Bucket {
	if l.Rate <= 0 {
		return b
	}
	b = b.refilled(now, l, share)
	b.tokens = max(-maxDebtTokens, b.tokens-admitted)
	return b
}

// RetryAfter returns the time from the last refill until the bucket holds enough
// for one request; 0 if it does already.
func (b Bucket) RetryAfter(l Limit, share float64) time.Duration {
	if l.Rate <= 0 || b.tokens >= 1 {
		return 0
	}
	return time.Duration((1-b.tokens)/(l.Rate*max(share, minShare))*float64(time.Second)) + time.Microsecond
}

// minShare is the least fraction of a limit that a VM may use, even if it has no
// live peer.
const minShare = 0.02

// UsableShare returns the fraction of a limit that this VM and its live peers may
// use together. The counts of live VMs and of members of the fleet include this
// VM. If the network splits the fleet into parts that do not receive each other's
// reports, the parts together stay within the limit.
func UsableShare(live, members int) float64 {
	if members <= 0 || live >= members {
		return 1
	}
	return max(minShare, float64(live)/float64(members))
}
