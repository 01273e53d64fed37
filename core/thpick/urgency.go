package thpick

import (
	"cmp"
	"math"
	"time"

	"tamarackhollow/core/thclock"
)

// Urgency ranks requests for the slots of a service. The customer's priority goes before the
// route's; 0 is the most urgent of each.
type Urgency struct{ Customer, Route int }

// IsAbove reports whether requests of this urgency go before those of the other one.
func (u Urgency) IsAbove(o Urgency) bool { return u.Compare(o) < 0 }

// Compare returns -1, 0 or +1 if requests of this urgency go before, with or after those of the
// other one.
func (u Urgency) Compare(o Urgency) int {
	return cmp.Or(cmp.Compare(u.Customer, o.Customer), cmp.Compare(u.Route, o.Route))
}

// demandMemory is the time constant with which Demand forgets requests. A VM may see an urgent
// request every few seconds only.
const demandMemory = 20 * time.Second

// maxUrgencies bounds the urgencies of which a Demand knows the share. Requests of others count for
// none of them.
const maxUrgencies = 16

// Demand estimates how the work of a service divides among requests of different urgency. It is
// immutable; the zero Demand has seen no request.
type Demand struct {
	updatedAt thclock.Instant
	work      [maxUrgencies]urgencyWork
}

// urgencyWork is the fading sum of the time in slots, in seconds, that requests of one urgency took.
type urgencyWork struct {
	urgency Urgency
	seconds float64
}

// WithRequest returns the demand with one more request, which is expected to take the given time in
// a slot.
func (d Demand) WithRequest(now thclock.Instant, u Urgency, expected time.Duration) Demand {
	keep := math.Exp(-max(0, now.Sub(d.updatedAt).Seconds()) / demandMemory.Seconds())
	d.updatedAt = now
	free := -1
	for i := range d.work {
		w := &d.work[i]
		w.seconds *= keep
		switch {
		case w.seconds > 0 && w.urgency == u:
			w.seconds += expected.Seconds()
			return d
		case w.seconds < 1e-6 && free < 0:
			free = i
		}
	}
	if free >= 0 {
		d.work[free] = urgencyWork{urgency: u, seconds: expected.Seconds()}
	}
	return d
}

// ShareAbove returns the share of the work, 0 to 1, that comes from requests above the urgency.
func (d Demand) ShareAbove(u Urgency) float64 {
	above, all := 0.0, 0.0
	for _, w := range d.work {
		all += w.seconds
		if w.seconds > 0 && w.urgency.IsAbove(u) {
			above += w.seconds
		}
	}
	if all == 0 {
		return 0
	}
	return above / all
}

const (
	// maxReservedShare bounds the share of a service's slots that less urgent requests leave, so
	// that they are not starved.
	maxReservedShare = 0.25
	// waitSuspectProbability is the failure probability from which the slots of a target do not
	// count as room: few requests are sent there.
	waitSuspectProbability = 0.5
	// latencyReserveFactor is the multiple of the median latency that one in ten requests exceeds,
	// given latencyLogStdDev. A request that waits for a slot keeps that much of the time to its
	// objective.
	latencyReserveFactor = 2.8
	// mostPatience and leastPatience are the multiples of the reserved slots that a request leaves
	// free when it arrives, and when it may not wait any longer.
	mostPatience  = 1.0
	leastPatience = 0.5
)

// ReservedSlots returns how many of the given slots requests leave free for more urgent ones, whose
// share of the work is above: as many as these occupy on average, and at least one.
func ReservedSlots(slots int, above float64) int {
	if above <= 0 {
		return 0
	}
	return int(math.Ceil(float64(slots) * min(maxReservedShare, above)))
}

// Room counts the slots of the targets that are likely to answer, and how many of them are free.
func Room(q Query, candidates []Candidate) (slots, free int) {
	for _, c := range candidates {
		if c.IsExtra || !isEligible(q, c) || c.Health.FailureProbability(q.Now) > waitSuspectProbability {
			continue
		}
		slots += max(1, c.Target.Slots)
		free += max(0, max(1, c.Target.Slots)-c.InFlight)
	}
	return slots, free
}

// WaitForSlot decides whether a request waits at its VM, where more urgent requests overtake it,
// instead of taking one of the last free slots or a place in a target's queue. It answers the load
// in which a burst of less urgent requests fills all slots of a service: without it, urgent requests
// queue behind them. The share of the work that comes from more urgent requests is above. A request
// waits no longer than until the returned instant, from which on it might miss its objective; it
// waits only if fewer slots are free than are reserved for the more urgent ones.
func WaitForSlot(q Query, candidates []Candidate, above float64) (until thclock.Instant, wait bool) {
	if above <= 0 || len(q.Tried) > 0 {
		return until, false
	}
	until = q.Objective.Min(q.Deadline).Add(-time.Duration(latencyReserveFactor * float64(q.ExpectedLatency)))
	if !q.Now.Before(until) {
		return until, false
	}
	slots, free := Room(q, candidates)
	return until, slots > 0 && float64(free) <= float64(ReservedSlots(slots, above))*patience(q, until)
}

// patience returns the multiple of the reserved slots that a request leaves free: the most when it
// has just arrived and the least when it may not wait any longer, so that of the requests that wait
// at many VMs those go first which have waited longest.
func patience(q Query, until thclock.Instant) float64 {
	left := float64(until.Sub(q.Now)) / float64(max(1, until.Sub(q.Arrived)))
	return leastPatience + (mostPatience-leastPatience)*left
}
