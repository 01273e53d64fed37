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
	// floorUsed is how long a target counts as used after a request: the floor is
	// judged over two seconds, and VMs hear of each other's requests a little later.
	floorUsed = 1700 * time.Millisecond
	// floorFailed is how long a target that failed is not counted; it is judged
	// as sound again two seconds after.
	floorFailed = 1700 * time.Millisecond
	// floorMargin is added to the share that is to be used: VMs pick at the
	// same time, and differ in what they know.
	floorMargin = 0.05
)

// WithGood returns the floor after a request of any VM was answered.
func (f Floor) WithGood(now thclock.Instant) Floor {
	f.slot(now).good++
	return f
}

// WithLost returns the floor after requests of any VM were lost or refused.
// Refusals for the customer's limit count too: they are not served either.
func (f Floor) WithLost(now thclock.Instant, n float64) Floor {
	f.slot(now).lost += n
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
// of the sound candidates than the share are in use. Unless the floor is held,
// it has to be about as good as the best one.
func Spread(q Query, cs []Candidate, share float64, held bool, best int) (int, bool) {
	unused, ok := leastUnused(q, cs, share)
	if !ok || !held && Cost(q, cs[unused]) > Cost(q, cs[best])+spreadGain {
		return 0, false
	}
	return unused, true
}

// leastUnused returns the unused candidate that costs least, and false if
// enough of them are in use, which is told before any cost is worked out.
func leastUnused(q Query, cs []Candidate, share float64) (int, bool) {
	sound, inUse := 0, 0
	for _, c := range cs {
		if !isSound(q, c) {
			continue
		}
		sound++
		if isUsed(q, c) {
			inUse++
		}
	}
	if float64(inUse) >= (share+floorMargin)*float64(sound) {
		return 0, false
	}
	best, least := -1, math.Inf(1)
	for i, c := range cs {
		if !isSound(q, c) || isUsed(q, c) || !isOpen(q, c) {
			continue
		}
		if cost := Cost(q, c); cost < least {
			best, least = i, cost
		}
	}
	return best, best >= 0
}

// isSound reports whether the floor counts the candidate: one that has just
// failed need not be used.
func isSound(q Query, c Candidate) bool {
	return !c.Target.Draining && (c.FailedAt == (thclock.Instant{}) || q.Now.Sub(c.FailedAt) >= floorFailed)
}

func isUsed(q Query, c Candidate) bool {
	return c.UsedAt != (thclock.Instant{}) && q.Now.Sub(c.UsedAt) < floorUsed
}
