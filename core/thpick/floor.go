package thpick

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
)

// Floor decides when a service must keep a minimum share of its targets in
// use. Without it, a service that fails some of its requests could end up on
// too few targets, because the evidence against the others may be wrong.
//
// It counts the results of the service's requests over all VMs. It is
// immutable; the zero Floor has counted nothing.
type Floor struct {
	slots [floorSlots]floorSlot
}

// floorSlot holds the counts of one floorSlotSpan.
type floorSlot struct {
	number            int64
	succeeded, failed float64
}

const (
	// floorSlots is the number of slots of floorSlotSpan each. Together they
	// cover two seconds, the time over which the platform checks the floor.
	floorSlots    = 4
	floorSlotSpan = 500 * time.Millisecond
	// floorFailureShare is the share of failed requests above which the floor
	// is enforced. It is below the tenth from which the platform requires it.
	floorFailureShare = 0.08
	// floorIgnoredFailures is the number of failed requests up to which the
	// floor is not enforced, whatever their share; floorIgnoredLatestFailures is
	// that of the latest floorLatestSlots, where the share varies more.
	floorIgnoredFailures       = 2
	floorIgnoredLatestFailures = 4
	// floorLatestSlots is how many slots show a rise of the failures early, so that
	// there is time to use more targets before two seconds are over.
	floorLatestSlots = 2
	// floorRecentUse is how long a target counts as in use after a request. It
	// is shorter than the platform's two seconds, because VMs receive each
	// other's notices with a delay.
	floorRecentUse = 1700 * time.Millisecond
	// floorRecentFailure is how long the floor leaves out a target that failed.
	// The platform counts the target as healthy again after two seconds.
	floorRecentFailure = 1700 * time.Millisecond
	// floorLastingSuccess is how long a target must not have failed for the
	// platform to count it as healthy during all of two seconds. The floor holds for
	// these targets as well: unused ones are a larger share of them, because a target
	// that gets no requests doesn't fail.
	floorLastingSuccess = floorRecentFailure + 2*time.Second
	// floorMargin is added to the share of targets to keep in use, because VMs
	// pick at the same time and differ in what they know.
	floorMargin = 0.05
	// enforcedRetryableMargin and cheapRetryableMargin replace floorMargin for requests that
	// may be retried: while the floor is enforced, and otherwise. A VM does not know which
	// targets the platform counts as healthy. Of these, a smaller share may be in use than
	// of those that it counts itself, and it finds out at the least cost by a request that
	// can be sent to another target if the attempt fails.
	enforcedRetryableMargin = 0.15
	cheapRetryableMargin    = 0.25
)

// WithSuccess returns the floor with one more answered request counted, sent
// by any VM.
func (f Floor) WithSuccess(now thclock.Instant) Floor {
	f.slot(now).succeeded++
	return f
}

// WithFailures returns the floor with n more failed, overdue or refused requests
// counted, on any VM. Requests refused for the customer's rate limit count
// too, since they are not served either.
func (f Floor) WithFailures(now thclock.Instant, n float64) Floor {
	f.slot(now).failed += n
	return f
}

// slot returns the slot for the time now. It clears counts left there from an
// earlier time.
func (f *Floor) slot(now thclock.Instant) *floorSlot {
	n := int64(now.Mono / floorSlotSpan)
	s := &f.slots[n%floorSlots]
	if s.number != n {
		*s = floorSlot{number: n}
	}
	return s
}

// Counts returns how many requests succeeded and failed in the last two seconds.
func (f Floor) Counts(now thclock.Instant) (succeeded, failed float64) {
	return f.counts(now, floorSlots)
}

// IsEnforced reports whether enough requests failed in the last two seconds, or
// in the last one, for the floor to apply.
func (f Floor) IsEnforced(now thclock.Instant) bool {
	return f.hasFailures(now, floorSlots, floorIgnoredFailures) || f.hasFailures(now, floorLatestSlots, floorIgnoredLatestFailures)
}

// hasFailures reports whether more than the ignored number of requests, and more than
// floorFailureShare of all, failed in the newest slots.
func (f Floor) hasFailures(now thclock.Instant, slots int64, ignored float64) bool {
	succeeded, failed := f.counts(now, slots)
	return failed > ignored && failed > floorFailureShare*(succeeded+failed)
}

// counts returns the counts in the newest slots.
func (f Floor) counts(now thclock.Instant, slots int64) (succeeded, failed float64) {
	newest := int64(now.Mono / floorSlotSpan)
	for _, s := range f.slots {
		if newest-s.number < slots {
			succeeded += s.succeeded
			failed += s.failed
		}
	}
	return succeeded, failed
}

// maxExtraCost is how much more than the best target an unused target may cost
// to be picked while the floor is not enforced.
const maxExtraCost = 0.12

// PickUnused returns the index of the cheapest target that is not in use, and
// true, if fewer than the given share of the service's targets and a margin are in
// use. Unless the floor is enforced, that target may cost at most maxExtraCost more
// than the candidate at index best; otherwise PickUnused returns false.
func PickUnused(q Query, candidates []Candidate, share float64, enforced bool, best int) (int, bool) {
	enforcedMargin, cheapMargin := floorMargin, floorMargin
	if q.Retryable {
		enforcedMargin, cheapMargin = enforcedRetryableMargin, cheapRetryableMargin
	}
	if enforced {
		if i, ok := cheapestUnused(q, candidates, share+enforcedMargin); ok {
			return i, true
		}
	}
	i, ok := cheapestUnused(q, candidates, share+cheapMargin)
	return i, ok && Cost(q, candidates[i]) <= Cost(q, candidates[best])+maxExtraCost
}

// cheapestUnused returns the index of the cheapest candidate that is not in
// use, and false if there is none or the given share of the targets is in use,
// both of those that have not just failed and of those that have not failed for
// longer.
func cheapestUnused(q Query, candidates []Candidate, share float64) (int, bool) {
	for _, span := range [...]time.Duration{floorRecentFailure, floorLastingSuccess} {
		if i, ok := cheapestUnusedWithoutFailure(q, candidates, share, span); ok {
			return i, true
		}
	}
	return 0, false
}

// cheapestUnusedWithoutFailure is cheapestUnused for the targets that have not failed
// within span. It counts those in use first, to compute costs only when needed.
func cheapestUnusedWithoutFailure(q Query, candidates []Candidate, share float64, span time.Duration) (int, bool) {
	counted, inUse := 0, 0
	for _, c := range candidates {
		if !isCountedByFloor(q, c, span) {
			continue
		}
		counted++
		if isRecentlyUsed(q, c) {
			inUse++
		}
	}
	if float64(inUse) >= share*float64(counted) {
		return 0, false
	}
	best, lowest := -1, math.Inf(1)
	for i, c := range candidates {
		if !isCountedByFloor(q, c, span) || isRecentlyUsed(q, c) || !isEligible(q, c) {
			continue
		}
		if cost := Cost(q, c); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best, best >= 0
}

// isCountedByFloor reports whether the candidate is one of the targets of which
// a share must be in use. A draining, paused, evacuated or throttled target or one that has failed within
// span is not, nor is one that other VMs keep in use.
func isCountedByFloor(q Query, c Candidate, span time.Duration) bool {
	return !c.Target.Draining && !c.IsEvacuated && !c.IsThrottled && !c.IsPaused(q.Now) && !c.IsExtra && (c.FailedAt == (thclock.Instant{}) || q.Now.Sub(c.FailedAt) >= span)
}

// isRecentlyUsed reports whether any VM had a request at the candidate within
// floorRecentUse.
func isRecentlyUsed(q Query, c Candidate) bool {
	return c.UsedAt != (thclock.Instant{}) && q.Now.Sub(c.UsedAt) < floorRecentUse
}
