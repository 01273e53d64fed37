package thpick

import (
	"math"
	"math/rand/v2"

	"tamarackhollow/core/thclock"
)

// UnseenRequests estimates how many requests reach a target of a service before the fleet's count has
// them, from the targets' reports. It answers the load in which notices between VMs are held back or
// take long: all VMs then send to the targets that were idle a while ago, which get more than they can
// run, while others stay idle.
//
// The estimate is the variance of the differences between reports and counts, since requests arrive
// independently of each other. What targets report too much all the time does not add to it. It is
// immutable; the zero UnseenRequests has seen no report.
type UnseenRequests struct {
	difference CountError
	squares    float64
}

// maxCountDifference bounds the difference of a report, so that a target that reports nonsense does not
// count for long.
const maxCountDifference = 16

// WithReport returns the estimate after a report of a target at which that many requests were expected.
func (u UnseenRequests) WithReport(now thclock.Instant, r LoadReport, expected int) UnseenRequests {
	difference := max(-maxCountDifference, min(maxCountDifference, r.Requests()-expected))
	keep := u.difference.keepUntil(now)
	return UnseenRequests{u.difference.WithReport(now, r, r.Requests()-difference), u.squares*keep + float64(difference*difference)}
}

// PerTarget returns the estimate for each target.
func (u UnseenRequests) PerTarget(now thclock.Instant) float64 {
	keep := u.difference.keepUntil(now)
	mean := u.difference.PerTarget(now)
	return max(0, u.squares*keep/(u.difference.weight*keep+countErrorPrior)-mean*mean)
}

const (
	// maxUnseenAtCheapest is how many unseen requests the cheapest target may get: they fill the slots of
	// a typical target, of which there are six, and the wait of the rest is still short. With four,
	// more requests are late while datagrams are lost or others use some of the targets; with nine, more are
	// late while notices take a second.
	maxUnseenAtCheapest = 9
	// minChoices is the least number of candidates among which the cheapest is taken.
	minChoices = 2
)

// choices returns among how many of the candidates, drawn at random, a request takes the cheapest.
//
// If all VMs know the same counts and choose among k of n targets, the cheapest target gets k/n of the
// requests. Of the n times UnseenRequests that nobody has counted yet, that is k times UnseenRequests.
func choices(q Query, candidates int) int {
	return max(minChoices, int(min(float64(candidates), maxUnseenAtCheapest/q.UnseenRequests)))
}

// pickAmong returns the index of the cheapest eligible candidate of as many as given, drawn at random,
// and false if there is none. Only candidates that are likely to answer, and that the VM uses regularly,
// count as drawn. More are drawn while the request would be shed at the cheapest.
func pickAmong(rng *rand.Rand, q Query, candidates []Candidate, choices int) (int, bool) {
	best, lowest := -1, math.Inf(1)
	for _, i := range rng.Perm(len(candidates)) {
		c := candidates[i]
		if !isEligible(q, c) {
			continue
		}
		if cost := Cost(q, c) + rng.Float64()*maxJitterCost; cost < lowest {
			best, lowest = i, cost
		}
		if !c.IsExtra && c.Health.FailureProbability(q.Now) <= waitSuspectProbability {
			choices--
		}
		if choices > 0 {
			continue
		}
		if _, shed := ShouldShed(q, candidates[best]); !shed {
			break
		}
	}
	return best, best >= 0
}
