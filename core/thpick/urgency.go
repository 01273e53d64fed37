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

// Shares returns the shares of the work, 0 to 1, that come from requests above and below the urgency.
func (d Demand) Shares(u Urgency) (above, below float64) {
	all := 0.0
	for _, w := range d.work {
		all += w.seconds
		switch {
		case w.seconds == 0:
		case w.urgency.IsAbove(u):
			above += w.seconds
		case u.IsAbove(w.urgency):
			below += w.seconds
		}
	}
	if all == 0 {
		return 0, 0
	}
	return above / all, below / all
}

const (
	// maxReservedShare bounds the share of a service's slots that less urgent requests leave, so
	// that they are not starved.
	maxReservedShare = 0.25
	// reservedSpread is how many standard deviations of the number of urgent requests in slots the
	// reserve covers. A slot that ends is offered to urgent requests first, so the reserve only has to
	// bridge the time until then.
	reservedSpread = 2.0
	// slotDelay is how long a slot that has become free stays unused by requests that wait: VMs hear of
	// it some 50 ms later and then check every 20 to 60 ms.
	slotDelay = 100 * time.Millisecond
	// minSlotTime is the median time in a slot from which on requests wait at their VM. Below it, a
	// service loses more by unused slots than urgent requests gain.
	minSlotTime = 4 * slotDelay
	// minYieldingShare is the share of the work that is less urgent than a request from which on it
	// does not wait: even if twice the capacity is asked for, there is room for it and for all that
	// is more urgent once the rest waits.
	minYieldingShare = 0.5
	// waitSuspectProbability is the failure probability from which the slots of a target do not
	// count as room: few requests are sent there.
	waitSuspectProbability = 0.5
	// beyondShareWait is the share of its longest wait that a request may expect to wait which only its
	// customer's share holds back: requests within their shares take most slots before it. In the play
	// of docs/design/fair-shares.md with six times as much of one, all customers earn 0.583 with 0.5
	// and 0.606 with 0.25.
	beyondShareWait = 0.25
	// latencyReserveFactor is the multiple of the median latency that one in ten requests exceeds,
	// given latencyLogStdDev. A request that waits for a slot keeps that much of its time.
	latencyReserveFactor = 2.8
)

// ReservedSlots returns how many of the given slots requests leave free for more urgent ones, whose
// share of the work is above: at most as many as these occupy on average, and at least one.
func ReservedSlots(slots int, above float64) int {
	if above <= 0 {
		return 0
	}
	occupied := above * float64(slots)
	return int(math.Ceil(min(occupied, reservedSpread*math.Sqrt(occupied), maxReservedShare*float64(slots))))
}

// Room counts the places of the targets that are likely to answer, and how many of them are free. A
// target has a place for each slot, and further ones in its queue for the requests that it finishes
// until a VM that has waited for a slot can use it.
func Room(q Query, candidates []Candidate) (places int, free float64) {
	for _, c := range candidates {
		if c.IsExtra || !isEligible(q, c) || c.Health.FailureProbability(q.Now) > waitSuspectProbability {
			continue
		}
		n := placesAt(q, c)
		places += n
		free += max(0, float64(n-c.InFlight)-q.CountError)
	}
	return places, free
}

func placesAt(q Query, c Candidate) int {
	slots := max(1, c.Target.Slots)
	running := timeAt(q, c, cmp.Or(q.SlotTime, q.ExpectedLatency))
	return slots + int(float64(slots)*float64(slotDelay)/float64(max(running, slotDelay)))
}

// SlotDecision is what DecideSlot decides: a TakeSlot, an AwaitSlot or a RefuseSlot.
type SlotDecision interface{ isSlotDecision() }

// TakeSlot lets the request be sent.
type TakeSlot struct{}

// AwaitSlot lets the request wait at its VM, where more urgent requests overtake it.
type AwaitSlot struct {
	// InTimeUntil is when it has to be sent at the latest to meet its objective, and Until to meet
	// its deadline.
	InTimeUntil, Until thclock.Instant
}

// RefuseSlot means that the requests before it at its VM take longer than it can wait.
type RefuseSlot struct {
	// RetryAfter is the time after which there is likely to be room.
	RetryAfter time.Duration
}

func (TakeSlot) isSlotDecision()   {}
func (AwaitSlot) isSlotDecision()  {}
func (RefuseSlot) isSlotDecision() {}

// SlotQueue is what a VM knows of the requests that wait for a slot of a service.
type SlotQueue struct {
	// Above is the share of the service's work that comes from more urgent requests, and Below that
	// of less urgent ones.
	Above, Below float64
	// BeyondShare is set if the request is beyond its customer's fair share; see Fairness.
	BeyondShare bool
	// Ahead is how many requests that wait at this VM go before one that arrives, 0 for one that
	// waits already.
	Ahead int
	// Throughput is how fast the VM's requests get a slot that may have to wait for more urgent ones,
	// and EqualThroughput those of the same urgency.
	Throughput, EqualThroughput Throughput
}

// DecideSlot decides whether a request takes one of the last free slots of a service, waits, or is
// refused. It answers the load in which a burst of less urgent requests asks for more slots than a
// service has: sent at once, they fill the targets' queues, and urgent requests wait behind them.
//
// A request leaves a reserve to more urgent ones when it arrives, and less of it the longer it waits:
// so of the requests that wait at many VMs those go first that have waited longest, and by the time
// at which it might miss its objective it takes any free slot. It is refused when it arrives if the
// wait behind others would cost it its objective.
//
// A request beyond its customer's fair share waits in the same way while no slot is free, so that those
// of other customers are sent before it. It is refused if there is none until it has to be sent. That
// holds for short requests as well: those within the shares are not held back, and use the slots.
func DecideSlot(q Query, candidates []Candidate, w SlotQueue) SlotDecision {
	if cmp.Or(q.SlotTime, q.ExpectedLatency) < minSlotTime {
		w.Above = 0
	}
	if w.Above <= 0 && !w.BeyondShare || w.Below >= minYieldingShare || len(q.Tried) > 0 {
		return TakeSlot{}
	}
	reserve := -time.Duration(latencyReserveFactor * float64(q.ExpectedLatency))
	until := q.Deadline.Add(reserve)
	if !q.Now.Before(until) && !w.BeyondShare {
		return TakeSlot{}
	}
	inTimeUntil := q.Objective.Min(q.Deadline).Add(reserve)
	places, free := Room(q, candidates)
	if places == 0 || free >= 1 && free > float64(ReservedSlots(places, w.Above))*patience(q, inTimeUntil) {
		return TakeSlot{}
	}
	throughput, longest := w.Throughput, longestWait(q, until)
	if w.Above <= 0 {
		throughput, longest = w.EqualThroughput, time.Duration(beyondShareWait*float64(longest))
	}
	if !q.Now.Before(until) {
		return RefuseSlot{RetryAfter: min(maxRetryAfter, throughput.TimeFor(q.Now, w.Ahead+1))}
	}
	if wait := throughput.TimeFor(q.Now, w.Ahead); wait > longest {
		return RefuseSlot{RetryAfter: min(maxRetryAfter, wait-longest)}
	}
	return AwaitSlot{InTimeUntil: inTimeUntil, Until: until}
}

// longestWait returns how long a request that arrives may expect to wait: until half of its like would
// miss their objective or, if that is now, until it might miss its deadline.
func longestWait(q Query, until thclock.Instant) time.Duration {
	if left := q.Objective.Sub(q.Now) - q.ExpectedLatency; left > 0 {
		return min(left, until.Sub(q.Now))
	}
	return until.Sub(q.Now)
}

// patience returns the multiple of the reserved slots that a request leaves free: 1 when it arrives
// and 0 from the given instant on.
func patience(q Query, until thclock.Instant) float64 {
	return max(0, float64(until.Sub(q.Now))/float64(max(1, until.Sub(q.Arrived))))
}

const (
	// throughputMemory is the time constant with which a Throughput forgets. A shortage begins and
	// ends within seconds.
	throughputMemory = 5 * time.Second
	// throughputPrior is the number of requests that a Throughput takes for granted, so that a VM
	// with few requests does not refuse the second one.
	throughputPrior = 2
)

// Throughput estimates how many requests a second get a slot of a service. It is immutable; the zero
// Throughput has seen none.
type Throughput struct {
	updatedAt thclock.Instant
	requests  float64
}

// WithRequest returns the throughput with one more request that got a slot.
func (t Throughput) WithRequest(now thclock.Instant) Throughput {
	return Throughput{updatedAt: now, requests: t.requestsAt(now) + 1}
}

func (t Throughput) requestsAt(now thclock.Instant) float64 {
	return t.requests * math.Exp(-max(0, now.Sub(t.updatedAt).Seconds())/throughputMemory.Seconds())
}

// TimeFor returns how long the given number of requests take to get their slots.
func (t Throughput) TimeFor(now thclock.Instant, requests int) time.Duration {
	return time.Duration(float64(requests) * float64(throughputMemory) / (t.requestsAt(now) + throughputPrior))
}
