package thpick

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
)

// Floor keeps a service that fails some of its requests from being left to too
// few of its targets: what speaks against the others may be wrong.
//
// It counts how the service's requests end over all VMs. It is immutable; the
// zero Floor has seen none.
type Floor struct {
	slots [floorSlots]floorSlot
}

type floorSlot struct {
	number            int64
	succeeded, failed float64
}

const (
	// floorSlots parts of floorSlot cover the two seconds that a floor is
	// judged over.
	floorSlots    = 4
	floorSlotSpan = 500 * time.Millisecond
	// floorFailureShare is the share of lost requests from which the floor is held; it
	// is judged from a tenth on.
	floorFailureShare = 0.08
	// floorIgnoredFailures is how many lost requests say nothing yet.
	floorIgnoredFailures = 2
	// floorRecentUse is how long a target counts as used after a request: the floor is
	// judged over two seconds, and VMs hear of each other's requests a little later.
	floorRecentUse = 1700 * time.Millisecond
	// floorRecentFailure is how long a target that failed is not counted; it is judged
	// as sound again two seconds after.
	floorRecentFailure = 1700 * time.Millisecond
	// floorShareMargin is added to the share that is to be used: VMs pick at the
	// same time, and differ in what they know.
	floorShareMargin = 0.05
)

// WithSuccess returns the floor after a request of any VM was answered.
func (f Floor) WithSuccess(now thclock.Instant) Floor {
	f.slot(now).succeeded++
	return f
}

// WithFailures returns the floor after requests of any VM were lost or refused.
// Refusals for the customer's limit count too: they are not served either.
func (f Floor) WithFailures(now thclock.Instant, n float64) Floor {
	f.slot(now).failed += n
	return f
}

// slot returns the slot that now falls in, emptied if it held an older one.
func (f *Floor) slot(now thclock.Instant) *floorSlot {
	n := int64(now.Mono / floorSlotSpan)
	s := &f.slots[n%floorSlots]
	if s.number != n {
		*s = floorSlot{number: n}
	}
	return s
}

// IsEnforced reports whether so many requests are lost that the floor is held.
func (f Floor) IsEnforced(now thclock.Instant) bool {
	newest := int64(now.Mono / floorSlotSpan)
	var good, lost float64
	for _, s := range f.slots {
		if newest-s.number < floorSlots {
			good += s.succeeded
			lost += s.failed
		}
	}
	return lost > floorIgnoredFailures && lost > floorFailureShare*(good+lost)
}

// maxExtraCost is how much more than the best target an unused one may cost to
// be used all the same, while the service loses few requests.
const maxExtraCost = 0.12

// PickUnused returns the index of the unused candidate that costs least, if fewer
// of the sound candidates than the share are in use. Unless the floor is held,
// it has to be about as good as the best one.
func PickUnused(q Query, cs []Candidate, share float64, held bool, best int) (int, bool) {
	unused, ok := cheapestUnused(q, cs, share)
	if !ok || !held && Cost(q, cs[unused]) > Cost(q, cs[best])+maxExtraCost {
		return 0, false
	}
	return unused, true
}

// cheapestUnused returns the unused candidate that costs least, and false if
// enough of them are in use, which is told before any cost is worked out.
func cheapestUnused(q Query, cs []Candidate, share float64) (int, bool) {
	sound, inUse := 0, 0
	for _, c := range cs {
		if !isCountedByFloor(q, c) {
			continue
		}
		sound++
		if isRecentlyUsed(q, c) {
			inUse++
		}
	}
	if float64(inUse) >= (share+floorShareMargin)*float64(sound) {
		return 0, false
	}
	best, least := -1, math.Inf(1)
	for i, c := range cs {
		if !isCountedByFloor(q, c) || isRecentlyUsed(q, c) || !isEligible(q, c) {
			continue
		}
		if cost := Cost(q, c); cost < least {
			best, least = i, cost
		}
	}
	return best, best >= 0
}

// isCountedByFloor reports whether the floor counts the candidate: one that has just
// failed need not be used.
func isCountedByFloor(q Query, c Candidate) bool {
	return !c.Target.Leaving && (c.FailedAt == (thclock.Instant{}) || q.Now.Sub(c.FailedAt) >= floorRecentFailure)
}

func isRecentlyUsed(q Query, c Candidate) bool {
	return c.UsedAt != (thclock.Instant{}) && q.Now.Sub(c.UsedAt) < floorRecentUse
}
