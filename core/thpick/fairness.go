package thpick

import (
	"math"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// fairnessMemory is the time constant with which a Fairness forgets requests. It has to cover
	// several requests of each customer at one VM, and the time that answers lag behind requests.
	fairnessMemory = 10 * time.Second
	// maxFairCustomers bounds the customers of which a Fairness knows the share.
	maxFairCustomers = 32
	// minServedRatio is the least share of a customer's requests that is within its fair share, as a
	// multiple of the same share of all customers.
	minServedRatio = 0.25
	// fairnessEpsilon is the work, in seconds, below which nothing is remembered.
	fairnessEpsilon = 1e-6
)

// Fairness decides which requests of equal urgency are beyond their customer's fair share of a
// service. It answers the load in which a customer sends several times its usual rate to a service
// that has no room for that: without it, all customers are served late or refused alike.
//
// The capacity is what was answered lately of this urgency and of lower ones. It is divided by max-min
// fairness: no customer gets more than it asks for, and what it leaves goes to the others in equal
// parts. A customer of which nothing is known is within its share, and so are requests without a
// customer, whose name is empty: the callers of an open route are not one party.
//
// Those who ask for the least are displaced once more than maxFairCustomers ask.
//
// It is immutable; the zero Fairness has seen no request.
type Fairness struct {
	updatedAt thclock.Instant
	// knowsFrom is when requests have been seen for fairnessMemory.
	knowsFrom thclock.Instant
	customers [maxFairCustomers]customerWork
}

// customerWork holds fading sums of the time in slots, in seconds, of one customer's requests of one
// urgency.
type customerWork struct {
	name    string
	urgency Urgency
	// asked, sent and answered are the sums of the requests that arrived, were sent to a target at
	// least once, and were answered by one.
	asked, sent, answered float64
}

// WithRequest returns the fairness after the arrival of a request, which is expected to take the
// given time in a slot.
func (f Fairness) WithRequest(now thclock.Instant, customer string, u Urgency, expected time.Duration) Fairness {
	if customer == "" {
		return f
	}
	f = f.at(now)
	if !slices.ContainsFunc(f.customers[:], func(c customerWork) bool { return c.asked > fairnessEpsilon }) {
		f.knowsFrom = now.Add(fairnessMemory)
	}
	i := f.index(customer, u)
	if i < 0 {
		i = f.indexOfLeast()
		f.customers[i] = customerWork{name: customer, urgency: u}
	}
	f.customers[i].asked += expected.Seconds()
	return f
}

// WithSent returns the fairness after a request was sent to a target for the first time.
func (f Fairness) WithSent(now thclock.Instant, customer string, u Urgency, expected time.Duration) Fairness {
	f = f.at(now)
	if i := f.index(customer, u); i >= 0 {
		f.customers[i].sent += expected.Seconds()
	}
	return f
}

// WithAnswer returns the fairness after a target has answered a request.
func (f Fairness) WithAnswer(now thclock.Instant, customer string, u Urgency, expected time.Duration) Fairness {
	f = f.at(now)
	if i := f.index(customer, u); i >= 0 {
		f.customers[i].answered += expected.Seconds()
	}
	return f
}

// at returns the fairness with all sums faded to the given time.
func (f Fairness) at(now thclock.Instant) Fairness {
	keep := math.Exp(-max(0, now.Sub(f.updatedAt).Seconds()) / fairnessMemory.Seconds())
	f.updatedAt = now
	for i := range f.customers {
		c := &f.customers[i]
		c.asked, c.sent, c.answered = c.asked*keep, c.sent*keep, c.answered*keep
	}
	return f
}

// index returns the index of the customer's requests of the urgency, or -1 if they are not known.
func (f *Fairness) index(customer string, u Urgency) int {
	return slices.IndexFunc(f.customers[:], func(c customerWork) bool {
		return c.name == customer && c.urgency == u && c.asked > fairnessEpsilon
	})
}

// indexOfLeast returns the index of those who ask for the least.
func (f *Fairness) indexOfLeast() int {
	least := 0
	for i := range f.customers {
		if f.customers[i].asked < f.customers[least].asked {
			least = i
		}
	}
	return least
}

// IsBeyondShare reports whether a request that was counted by WithRequest is beyond its customer's
// share of the service: whether the customer has sent more than its share already. So a customer may
// exceed its share by up to a request; VMs that see few requests of a customer need that, since their
// number varies by chance.
func (f Fairness) IsBeyondShare(now thclock.Instant, customer string, u Urgency) bool {
	i, share := f.index(customer, u), f.Share(now, customer, u)
	// All sums fade alike, so they compare without being faded to now. More may be sent than asked,
	// since requests are sent later.
	return share < 1 && f.customers[i].sent > share*f.customers[i].asked
}

// Share returns the share, 0 to 1, of the work for which the customer asks by requests of the urgency
// that it may send. What less urgent requests get is there for them as well, since urgency takes
// precedence. It is 1 for all as long as less is known than fairnessMemory covers.
func (f Fairness) Share(now thclock.Instant, customer string, u Urgency) float64 {
	i := f.index(customer, u)
	if i < 0 {
		return 1
	}
	return f.limit(now, u).share(f.customers[i].asked)
}

// Throughput returns how fast requests of the urgency that take the given time in a slot are sent.
func (f Fairness) Throughput(u Urgency, expected time.Duration) Throughput {
	sent := 0.0
	for _, c := range f.customers {
		if c.urgency == u {
			sent += c.sent
		}
	}
	perSecond := sent / expected.Seconds() / fairnessMemory.Seconds()
	return Throughput{updatedAt: f.updatedAt, requests: perSecond * throughputMemory.Seconds()}
}

// fairLimit bounds what each customer may send: level is the most work by max-min fairness, in seconds, and
// least the least share of what a customer asks for.
type fairLimit struct{ level, least float64 }

// share returns the share of the given work that a customer may send.
func (l fairLimit) share(asked float64) float64 { return min(1, max(l.least, l.level/asked)) }

// limit returns the limit of all customers for requests of the urgency.
func (f *Fairness) limit(now thclock.Instant, u Urgency) fairLimit {
	if now.Before(f.knowsFrom) {
		return fairLimit{level: math.Inf(1)}
	}
	var asks [maxFairCustomers]float64
	n, all, answered := 0, 0.0, 0.0
	for _, c := range f.customers {
		if c.urgency == u && c.asked > fairnessEpsilon {
			asks[n] = c.asked
			n++
			all += c.asked
		}
		if !c.urgency.IsAbove(u) {
			answered += c.answered
		}
	}
	if n == 0 {
		return fairLimit{level: math.Inf(1)}
	}
	least := minServedRatio * answered / all
	return fairLimit{level: fairLevel(asks[:n], answered, least), least: least}
}

// fairLevel returns the most that those get who get more than the given share of what they ask for, if
// the capacity is divided by max-min fairness and nobody gets less than that share. It sorts asks.
func fairLevel(asks []float64, capacity, least float64) float64 {
	slices.Sort(asks)
	for n := len(asks) - 1; n > 0; n-- {
		level := maxMinLevel(asks[:n+1], capacity)
		if least*asks[n] <= level {
			return level
		}
		capacity -= least * asks[n]
	}
	return capacity
}

// maxMinLevel returns the most that anyone gets if the capacity is divided by max-min fairness among
// those who ask for the given amounts, in rising order. It is infinite if there is enough for all.
func maxMinLevel(asks []float64, capacity float64) float64 {
	for i, asked := range asks {
		level := capacity / float64(len(asks)-i)
		if asked > level {
			return level
		}
		capacity -= asked
	}
	return math.Inf(1)
}
