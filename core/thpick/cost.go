// Package thpick picks the target that runs a request, decides what follows
// each attempt, and sheds requests that would wait too long for a target.
//
// All functions are pure: time and randomness are passed as arguments.
package thpick

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thtable"
)

// Candidate holds what a VM knows of one target when it picks.
type Candidate struct {
	Target thtable.Target
	Health thhealth.Health
	// InFlight is the number of requests that the VM expects at the target: those of all VMs in
	// flight, corrected by what the target reported (see Load).
	InFlight int
	// HasIdleConnection is whether this VM has an idle connection to the target.
	HasIdleConnection bool
	// WarmupUntil is when the target has warmed up; it is slow until then.
	WarmupUntil thclock.Instant
	// UsedAt is when any VM last began a request at the target, and
	// FailedAt is when a request last failed there; zero if never.
	UsedAt, FailedAt thclock.Instant
	// PausedUntil is when the VM may use the target again, which has asked for a pause.
	PausedUntil thclock.Instant
	// IsEvacuated is set if the operator has ordered that the target's availability zone gets no
	// requests.
	IsEvacuated bool
	// IsThrottled is set if the target is cold and its bound lets this VM send it no request now.
	IsThrottled bool
	// IsNew is set if the target was listed while the VM ran, and has had no request
	// that the VM knows of.
	IsNew bool
	// IsExtra is set if the VM does not use the target regularly, so that it knows only
	// what it has seen there itself.
	IsExtra bool
}

// Query describes the request for which a target is picked.
type Query struct {
	Now thclock.Instant
	// Zone is the availability zone of the VM that sends the request.
	Zone string
	// Retryable is whether the request may be sent to another target if the
	// attempt fails.
	Retryable bool
	// BudgetUsedShare is the share of the service's retry budget that would be in
	// use after one more retry, 0 to 1.
	BudgetUsedShare float64
	// Bytes is the approximate number of bytes that pass between the VM and the
	// target.
	Bytes int
	// ExpectedLatency is the median time that the request takes at a target of
	// normal speed.
	ExpectedLatency time.Duration
	// SlotTime is the median time that requests of all routes take at a target of normal speed. If
	// it is zero, ExpectedLatency stands for it.
	SlotTime time.Duration
	// CountError is how many more requests are likely to be at each target than are expected there.
	CountError float64
	// Arrived is when the caller's request arrived.
	Arrived thclock.Instant
	// Objective is the time up to which an answer earns its full credit.
	Objective thclock.Instant
	// Deadline is the time up to which an answer is of any use.
	Deadline thclock.Instant
	// Priority is the request's rank under overload; 0 is the most urgent.
	Priority int
	// Tried holds the IDs of the targets to which the request was sent.
	Tried []string
}

// Costs are in units of credit: an answer within its objective earns 1.
const (
	// lateCost is the credit that an answer loses by missing its objective,
	// according to the platform's specification.
	lateCost = 0.7
	// retryCost is the cost of a failure if the request can be retried and the
	// retry budget is unused. As the budget is used up, the cost rises to 1, the
	// cost of a failure that cannot be retried.
	retryCost = 0.3
	// latencyLogStdDev is the standard deviation of the natural logarithm of a
	// request's latency, according to the platform's specification.
	latencyLogStdDev = 0.8
	// crossZoneCostPerByte is the price of a byte sent between availability
	// zones.
	crossZoneCostPerByte = 0.004 / 1024
	// connectCost is the price of a new connection.
	connectCost = 0.06
	// newTargetBonus lowers the cost of a target that has had no request yet, so
	// that it gets its first ones.
	newTargetBonus = 0.12
	// unknownExtraFailure is the failure probability of a target that the VM doesn't use
	// and has not tried: the share of targets that are failing at any time, according to
	// the platform's specification.
	unknownExtraFailure = 0.25
	// warmupFactor is how many times longer requests take while a target warms
	// up.
	warmupFactor = 2
	// maxJitterCost bounds the random cost that breaks ties, so that the VMs
	// don't all pick the same target.
	maxJitterCost = 0.01
)

// meanOverMedian is the ratio of the mean to the median of a log-normally
// distributed latency.
var meanOverMedian = math.Exp(latencyLogStdDev * latencyLogStdDev / 2)

// serviceTime returns the median time that the target takes to run the request,
// without waiting for a slot.
func serviceTime(q Query, c Candidate) time.Duration { return timeAt(q, c, q.ExpectedLatency) }

// timeAt returns the median time that the target takes to run a request that takes the given time at
// a target of normal speed.
func timeAt(q Query, c Candidate, normal time.Duration) time.Duration {
	t := float64(normal) * c.Health.LatencyRatio()
	if q.Now.Before(c.WarmupUntil) {
		t *= warmupFactor
	}
	return time.Duration(t)
}

// ExpectedWait returns how long the request is expected to wait for a free slot
// at the target. The requests that run and wait there may be of other routes, which take longer or
// less time than this one.
func ExpectedWait(q Query, c Candidate) time.Duration {
	slots := max(1, c.Target.Slots)
	// mustFinish is how many requests must finish before a slot is free.
	mustFinish := c.InFlight - slots + 1
	if mustFinish <= 0 {
		return 0
	}
	running := cmp.Or(q.SlotTime, q.ExpectedLatency)
	return time.Duration(float64(timeAt(q, c, running)) * meanOverMedian * float64(mustFinish) / float64(slots))
}

// Cost returns the expected cost of sending the request to the target, in
// credit: late, missed and failed answers, traffic between zones and a new
// connection.
func Cost(q Query, c Candidate) float64 {
	failing := c.Health.FailureProbability(q.Now)
	if c.IsExtra && c.Health == (thhealth.Health{}) {
		failing = unknownExtraFailure
	}
	took := serviceTime(q, c) + ExpectedWait(q, c)
	late, missed := exceedProbability(took, q.Objective.Sub(q.Now)), exceedProbability(took, q.Deadline.Sub(q.Now))
	cost := (1 - failing) * (late*lateCost + missed*(1-lateCost))
	if q.Retryable {
		cost += failing * (retryCost + (1-retryCost)*q.BudgetUsedShare)
	} else {
		cost += failing
	}
	if c.Target.Zone != q.Zone {
		cost += float64(q.Bytes) * crossZoneCostPerByte
	}
	if !c.HasIdleConnection {
		cost += connectCost
	}
	if c.IsNew && !c.IsExtra {
		cost -= newTargetBonus
	}
	return cost
}

// exceedProbability returns the probability that a request with the given
// median latency takes longer than limit.
func exceedProbability(median, limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	z := math.Log(float64(max(median, 1))/float64(limit)) / latencyLogStdDev
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}

// overdueFactor is the multiple of the median latency that one in fifty requests
// to a healthy target exceeds, given latencyLogStdDev.
const overdueFactor = 5.2

// OverdueAfter returns the time after which an attempt with the given expected
// latency is overdue.
func OverdueAfter(expected time.Duration) time.Duration {
	return max(minOverdueAfter, time.Duration(overdueFactor*float64(expected)))
}

// minOverdueAfter is the least time after which an attempt is overdue. It has to
// exceed a round trip with a lost packet, which takes about 200 ms to resend.
const minOverdueAfter = 400 * time.Millisecond

// Pick returns the index of the cheapest eligible candidate, and false if there
// is none. A small random cost breaks ties.
func Pick(rng *rand.Rand, q Query, candidates []Candidate) (int, bool) {
	best, lowest := -1, math.Inf(1)
	for i, c := range candidates {
		if !isEligible(q, c) {
			continue
		}
		if cost := Cost(q, c) + rng.Float64()*maxJitterCost; cost < lowest {
			best, lowest = i, cost
		}
	}
	return best, best >= 0
}

// IsPaused reports whether the target has asked for a pause that has not ended.
func (c Candidate) IsPaused(now thclock.Instant) bool { return now.Before(c.PausedUntil) }

// isEligible reports whether the candidate may run the request: it is not
// draining, paused, evacuated nor throttled, and the request has not been sent to it before.
func isEligible(q Query, c Candidate) bool {
	return ExclusionOf(q, c) == NotExcluded
}

const (
	// waitShare is the share of the time left to the deadline that a request
	// may wait for a slot; lowPriorityWaitShare is that of a less urgent request.
	waitShare            = 0.8
	lowPriorityWaitShare = 0.5
	// lowPriority is the smallest Query.Priority for which lowPriorityWaitShare
	// applies, so that less urgent requests are shed first.
	lowPriority = 2
	// maxRetryAfter bounds the time after which a refused request may be retried. The expected wait
	// at targets that hang reaches an hour, while their slots may be free again after seconds.
	maxRetryAfter = 10 * time.Second
)

// ShouldShed reports whether the request would wait too long at the given
// candidate, its best one, to be worth sending. It also returns the time after
// which a retry may succeed.
func ShouldShed(q Query, c Candidate) (time.Duration, bool) {
	share := waitShare
	if q.Priority >= lowPriority {
		share = lowPriorityWaitShare
	}
	wait := ExpectedWait(q, c)
	left := q.Deadline.Sub(q.Now)
	if float64(wait) <= share*float64(left) {
		return 0, false
	}
	return min(maxRetryAfter, wait-time.Duration(share*float64(left))), true
}
