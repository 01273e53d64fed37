// Package thpick decides which target runs a request, what follows each
// attempt, and when a request is refused because it would only wait.
//
// Everything is pure: time and randomness are arguments.
package thpick

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thtable"
)

// Candidate is what a VM knows of one target when it picks.
type Candidate struct {
	Target thtable.Target
	Belief thjudge.Belief
	// InFlight counts the requests of all VMs at the target.
	InFlight int
	// Connected is whether this VM has an idle connection to the target.
	Connected bool
	// ColdUntil is until when the target is slow after its start.
	ColdUntil thclock.Instant
	// UsedAt is when a VM last had a request at the target, and FailedAt when a
	// request last failed there; zero if none did.
	UsedAt, FailedAt thclock.Instant
}

// Query is the request that a target is picked for.
type Query struct {
	Now  thclock.Instant
	Zone string
	// Repeatable is whether a failed attempt can be made good by another one.
	Repeatable bool
	// Scarcity is how much of the budget of repeats is used up, 0 to 1.
	Scarcity float64
	// Bytes is about how many bytes pass between the VM and the target.
	Bytes int
	// Expected is the median time that the request takes at a normal target.
	Expected time.Duration
	// Objective is until when the answer is worth its full credit.
	Objective thclock.Instant
	// Deadline is until when an answer is of use.
	Deadline thclock.Instant
	// Priority is the request's rank under overload; 0 is the most urgent.
	Priority int
	// Tried holds the IDs of the targets that this request was sent to.
	Tried []string
}

// Costs are in credit: 1 is what an answer within its objective is worth.
const (
	// lateCost is what a late answer loses; from the platform's sheets.
	lateCost = 0.7
	// repeatCost is what a failure costs a request that can be repeated, while
	// the budget is unused. It rises to that of one that cannot.
	repeatCost = 0.3
	// spread is the standard deviation of the logarithm of how long a request
	// takes; from the platform's sheets.
	spread = 0.8
	// zoneCostPerByte is the price of a byte between zones.
	zoneCostPerByte = 0.004 / 1024
	// connectCost is the price of a new connection.
	connectCost = 0.06
	// noveltyGain draws requests to a target that had none yet.
	noveltyGain = 0.12
	// coldFactor is how much longer a cold target takes.
	coldFactor = 2
	// jitterCost breaks ties between targets, so that VMs do not herd.
	jitterCost = 0.01
)

// meanOverMedian is the mean of a log-normal time over its median.
var meanOverMedian = math.Exp(spread * spread / 2)

// work returns the median time that the target needs for the request.
func work(q Query, c Candidate) time.Duration {
	w := float64(q.Expected) * c.Belief.Pace()
	if q.Now.Before(c.ColdUntil) {
		w *= coldFactor
	}
	return time.Duration(w)
}

// Wait returns how long the request would wait for a slot of the target.
func Wait(q Query, c Candidate) time.Duration {
	slots := max(1, c.Target.Slots)
	behind := c.InFlight - slots + 1
	if behind <= 0 {
		return 0
	}
	return time.Duration(float64(work(q, c)) * meanOverMedian * float64(behind) / float64(slots))
}

// Cost returns what is expected to be lost if the target runs the request.
func Cost(q Query, c Candidate) float64 {
	bad := c.Belief.Bad(q.Now)
	took := work(q, c) + Wait(q, c)
	late, missed := lateness(took, q.Objective.Sub(q.Now)), lateness(took, q.Deadline.Sub(q.Now))
	cost := (1 - bad) * (late*lateCost + missed*(1-lateCost))
	if q.Repeatable {
		cost += bad * (repeatCost + (1-repeatCost)*q.Scarcity)
	} else {
		cost += bad
	}
	if c.Target.Zone != q.Zone {
		cost += float64(q.Bytes) * zoneCostPerByte
	}
	if !c.Connected {
		cost += connectCost
	}
	if c.Belief == (thjudge.Belief{}) && c.InFlight == 0 {
		cost -= noveltyGain
	}
	return cost
}

// lateness returns the probability that work of the median time takes longer
// than what is left.
func lateness(median, left time.Duration) float64 {
	if left <= 0 {
		return 1
	}
	z := math.Log(float64(max(median, 1))/float64(left)) / spread
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}

// overdueFactor is how many times its median time a request takes at a well
// target in one case of fifty, by the spread above.
const overdueFactor = 5.2

// OverdueAfter returns after what time an attempt that is expected to take the
// median time is overdue.
func OverdueAfter(expected time.Duration) time.Duration {
	return max(minOverdue, time.Duration(overdueFactor*float64(expected)))
}

// minOverdue bounds what counts as overdue from below: a round trip that is sent
// again after a lost packet takes about 200 ms.
const minOverdue = 400 * time.Millisecond

// Pick returns the index of the candidate that costs least, and false if none
// may be used. Targets that were tried are left out.
func Pick(rng *rand.Rand, q Query, cs []Candidate) (int, bool) {
	best, least := -1, math.Inf(1)
	for i, c := range cs {
		if !isOpen(q, c) {
			continue
		}
		if cost := Cost(q, c) + rng.Float64()*jitterCost; cost < least {
			best, least = i, cost
		}
	}
	return best, best >= 0
}

// isOpen reports whether the candidate may run the request: it is not leaving,
// and the request has not been sent to it before.
func isOpen(q Query, c Candidate) bool {
	return !c.Target.Draining && !slices.Contains(q.Tried, c.Target.ID)
}

const (
	// urgentWait and lowWait are the parts of the time left that a request may
	// wait for a slot, by priority.
	urgentWait = 0.8
	lowWait    = 0.5
	// lowPriority is the first rank that is shed early.
	lowPriority = 2
)

// Overloaded reports whether the request would wait too long at its best
// target to be worth sending, and after what time it may be worth trying.
func Overloaded(q Query, c Candidate) (time.Duration, bool) {
	part := urgentWait
	if q.Priority >= lowPriority {
		part = lowWait
	}
	wait := Wait(q, c)
	left := q.Deadline.Sub(q.Now)
	if float64(wait) <= part*float64(left) {
		return 0, false
	}
	return wait - time.Duration(part*float64(left)), true
}
