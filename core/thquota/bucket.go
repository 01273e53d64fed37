// Package thquota limits each customer to a request rate and burst over all VMs.
//
// A customer's limit is divided into equal parts, and each part has an owner, one of
// the VMs. An owner keeps a token bucket for its part, and every VM asks an owner for a
// token before it admits a request. Since a token is given out once, the VMs together
// stay within the limit however late or lost their messages are.
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
	// tolerates 20 requests over the limit per window; the rest is left for parts that
	// two VMs own for a moment, while one of them takes over from the other.
	burstSlackRequests = 8
	// initialTokens is what the parts of a limit hold together if all their owners have
	// just begun to own them.
	initialTokens = 4
	// minCapacity is the least capacity of a bucket. With less than one request it
	// would refuse all.
	minCapacity = 1
)

// Bucket is the token bucket of one part of a customer's limit. It is immutable. The
// zero Bucket is full. The share, 0 to 1, that its functions take is the fraction of
// the limit that this part is.
type Bucket struct {
	// tokens is the number of requests that could be admitted at refilledAt.
	tokens     float64
	refilledAt thclock.Instant
}

// NewBucket returns the bucket of a part that a VM has owned since the given time. It
// begins with few tokens, because the owner before may have given out the rest.
func NewBucket(since thclock.Instant, share float64) Bucket {
	return Bucket{tokens: initialTokens * share, refilledAt: since}
}

// refilled returns the bucket with the tokens added until now.
func (b Bucket) refilled(now thclock.Instant, l Limit, share float64) Bucket {
	capacity := max(minCapacity, (l.Burst+burstSlackRequests)*share)
	elapsed := max(0, now.Sub(b.refilledAt)).Seconds()
	return Bucket{tokens: min(capacity, b.tokens+elapsed*l.Rate*share), refilledAt: now}
}

// WithRequest returns the bucket after one request and whether that request is
// admitted. A refused request takes no token.
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

// Tokens returns the number of requests that could be admitted at the last refill.
func (b Bucket) Tokens() float64 { return b.tokens }

// RetryAfter returns the time from the last refill until the bucket holds enough
// for one request; 0 if it does already.
func (b Bucket) RetryAfter(l Limit, share float64) time.Duration {
	if l.Rate <= 0 || share <= 0 || b.tokens >= 1 {
		return 0
	}
	return time.Duration((1-b.tokens)/(l.Rate*share)*float64(time.Second)) + time.Microsecond
}

// Interval returns the time in which the share of the limit gets one token; 0 if there is no
// limit.
func (l Limit) Interval(share float64) time.Duration {
	if l.Rate <= 0 || share <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / (l.Rate * share))
}

// UsableShare returns the fraction of a part that its owner may use. The counts of live
// VMs and of members of the owner's zone include the owner. If the network splits the
// zone, each half has an owner; together they stay within the part.
func UsableShare(live, members int) float64 {
	if members <= 0 || live >= members {
		return 1
	}
	return float64(live) / float64(members)
}
