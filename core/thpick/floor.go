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
	number     int64
	good, lost float64
}

const (
	// floorSlots parts of floorSlot cover the two seconds that a floor is
	// judged over.
	floorSlots    = 4
	floorSlotSpan = 500 * time.Millisecond
	// floorLoss is the share of lost requests from which the floor is held; it
	// is judged from a tenth on.
	floorLoss = 0.08
	// floorFew is how many lost requests say nothing yet.
	floorFew = 2
	// FloorUsed is how long a target counts as used after a request.
	FloorUsed = 1700 * time.Millisecond
	// floorMargin is added to the share that is to be used: VMs pick at the
	// same time, and differ in what they know.
	floorMargin = 0.05
)

// WithEnd returns the floor after a request was answered or lost.
func (f Floor) WithEnd(now thclock.Instant, good bool) Floor {
	n := int64(now.Mono / floorSlotSpan)
	s := &f.slots[n%floorSlots]
	if s.number != n {
		*s = floorSlot{number: n}
	}
	if good {
		s.good++
	} else {
		s.lost++
	}
	return f
}

// Holds reports whether so many requests are lost that the floor is held.
func (f Floor) Holds(now thclock.Instant) bool {
	newest := int64(now.Mono / floorSlotSpan)
	var good, lost float64
	for _, s := range f.slots {
		if newest-s.number < floorSlots {
			good += s.good
			lost += s.lost
		}
	}
	return lost > floorFew && lost > floorLoss*(good+lost)
}

// spreadGain is how much more than the best target an unused one may cost to
// be used all the same, while the service loses few requests.
const spreadGain = 0.12

// Spread returns the index of the unused candidate that costs least, if fewer
// of the candidates than the share are in use. Used tells which are. Unless
// the floor is held, it has to be about as good as the best one.
func Spread(q Query, cs []Candidate, used []bool, share float64, held bool, best int) (int, bool) {
	unused, ok := leastUnused(q, cs, used, share)
	if !ok || !held && Cost(q, cs[unused]) > Cost(q, cs[best])+spreadGain {
		return 0, false
	}
	return unused, true
}

// leastUnused returns the unused candidate that costs least, and false if
// enough of them are in use, which is told before any cost is worked out.
func leastUnused(q Query, cs []Candidate, used []bool, share float64) (int, bool) {
	all, inUse := 0, 0
	for i, c := range cs {
		if c.Target.Leaving {
			continue
		}
		all++
		if used[i] {
			inUse++
		}
	}
	if float64(inUse) >= (share+floorMargin)*float64(all) {
		return 0, false
	}
	best, least := -1, math.Inf(1)
	for i, c := range cs {
		if used[i] || !isOpen(q, c) {
			continue
		}
		if cost := Cost(q, c); cost < least {
			best, least = i, cost
		}
	}
	return best, best >= 0
}
