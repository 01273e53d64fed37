package thforward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thingress"
)

const (
	// minSlotCheckDelay and maxSlotCheckDelay bound the time between two checks of whether
	// waiting requests may be sent. It is drawn at random, so that the VMs that wait for the same
	// target hear of each other's requests before they send their own.
	minSlotCheckDelay = 20 * time.Millisecond
	maxSlotCheckDelay = 60 * time.Millisecond
)

// slotQueue holds the requests that wait at this VM until a service has a slot that more urgent
// requests, or those of other customers, do not need. The zero value is ready to use.
type slotQueue struct {
	mu sync.Mutex
	// waiting is in the order of compare as of the last check.
	waiting []*slotWaiter
	// isChecking is set while a goroutine checks the waiting requests.
	isChecking bool
	// closed is set once no request waits any more, since the VM stops.
	closed bool
}

// slotWaiter is a request that waits for a slot.
type slotWaiter struct {
	state   *requestState
	urgency thpick.Urgency
	wait    thpick.AwaitSlot
	// decision is that of the latest check, nil before the first one. Once granted is closed it is what
	// ended the wait, and may be read without the lock; if it is not a RefuseSlot, the request is sent.
	decision thpick.SlotDecision
	// granted is closed once the wait is over.
	granted chan struct{}
}

// compare orders requests by urgency, among equal ones those within their customer's fair share first,
// and then by the time that they have left to meet their objective. Those that may miss it anyway come
// last.
func (w *slotWaiter) compare(o *slotWaiter, now thclock.Instant) int {
	return cmp.Or(w.compareRank(o), w.isLate(now)-o.isLate(now), cmp.Compare(w.wait.InTimeUntil.Mono, o.wait.InTimeUntil.Mono))
}

// compareRank returns -1, 0 or +1 if the request goes before the other one, with or after it, whatever
// time they have left.
func (w *slotWaiter) compareRank(o *slotWaiter) int {
	return cmp.Or(w.urgency.Compare(o.urgency), boolToInt(w.state.beyondShare)-boolToInt(o.state.beyondShare))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// isLate returns 1 if the request may miss its objective, else 0.
func (w *slotWaiter) isLate(now thclock.Instant) int {
	return boolToInt(!now.Before(w.wait.InTimeUntil))
}

// countAhead returns how many waiting requests of the same service go before the given one, which
// arrives. q.mu must be held.
func (q *slotQueue) countAhead(w *slotWaiter) (ahead int) {
	for _, o := range q.waiting {
		if o.state.service == w.state.service && o.compareRank(w) <= 0 {
			ahead++
		}
	}
	return ahead
}

// Waiting returns how many requests wait for a slot.
func (f *Forwarder) Waiting() int {
	f.slots.mu.Lock()
	defer f.slots.mu.Unlock()
	return len(f.slots.waiting)
}

// StopWaiting sends the requests that wait for a slot, and lets no further ones wait: a VM that
// stops has little time left for them.
func (f *Forwarder) StopWaiting() {
	f.slots.mu.Lock()
	defer f.slots.mu.Unlock()
	f.slots.closed = true
	for _, w := range f.slots.waiting {
		close(w.granted)
	}
	f.slots.waiting = nil
}

// awaitSlot lets the request wait while less room is left at its service than more urgent requests
// need, or while it is beyond its customer's fair share and no slot is free. It returns a refusal if
// the wait would be too long, or if the caller leaves meanwhile.
func (f *Forwarder) awaitSlot(ctx context.Context, s *requestState) *thingress.Refusal {
	w := &slotWaiter{state: s, urgency: thview.UrgencyOf(s.request), granted: make(chan struct{})}
	d := f.enqueue(w)
	if _, ok := d.(thpick.AwaitSlot); ok {
		d = f.await(ctx, w)
		if ctx.Err() != nil {
			return callerGoneRefusal()
		}
	}
	refusal := s.slotRefusal(d)
	if s.beyondShare && f.options.RecordBeyondShare != nil {
		f.options.RecordBeyondShare(s.service, refusal != nil)
	}
	return refusal
}

// slotRefusal returns the refusal that a decision on a slot means, or nil if it means none.
func (s *requestState) slotRefusal(d thpick.SlotDecision) *thingress.Refusal {
	r, ok := d.(thpick.RefuseSlot)
	if !ok {
		return nil
	}
	return &thingress.Refusal{Err: therror.New(therror.QueueFull, "%s", s.slotRefusalDetail()), RetryAfter: r.RetryAfter}
}

// slotRefusalDetail returns the detail of the refusal of a request that gets no slot.
func (s *requestState) slotRefusalDetail() string {
	if s.beyondShare {
		return "the customer asks for more than its fair share of the service, which is short"
	}
	return "more urgent requests take the slots of the service"
}

// await waits until the request may be sent or is refused, and returns which, or nil if the caller
// leaves meanwhile.
func (f *Forwarder) await(ctx context.Context, w *slotWaiter) (d thpick.SlotDecision) {
	s := w.state
	startedAt := f.options.Clock.Now()
	select {
	case <-w.granted:
		d = w.decision
	case <-ctx.Done():
		f.dequeue(w)
	}
	s.waited = f.options.Clock.Now().Sub(startedAt)
	if f.options.RecordWait != nil {
		f.options.RecordWait(s.service, s.waited)
	}
	return d
}

// enqueue adds a request that arrives to those that wait, if it has to. It returns the decision.
func (f *Forwarder) enqueue(w *slotWaiter) (d thpick.SlotDecision) {
	q := &f.slots
	q.mu.Lock()
	defer q.mu.Unlock()
	f.WithView(func(now thclock.Instant, v *thview.View) {
		v.RecordDemand(now, w.state.request, w.state.service)
		w.state.beyondShare = v.IsBeyondShare(now, w.state.request, w.state.service)
		w.state.fairShare = v.FairShare(now, w.state.request, w.state.service)
		d = v.DecideSlot(now, w.state.request, w.state.service, q.countAhead(w))
	})
	var ok bool
	if w.wait, ok = d.(thpick.AwaitSlot); !ok {
		return d
	}
	if q.closed {
		return thpick.TakeSlot{}
	}
	q.waiting = append(q.waiting, w)
	if !q.isChecking {
		q.isChecking = true
		go f.checkWaiting()
	}
	return d
}

func (f *Forwarder) dequeue(w *slotWaiter) {
	q := &f.slots
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(o *slotWaiter) bool { return o == w })
}

// checkWaiting lets requests go on until none waits any more.
func (f *Forwarder) checkWaiting() {
	for {
		time.Sleep(minSlotCheckDelay + rand.N(maxSlotCheckDelay-minSlotCheckDelay))
		if !f.grantSlots() {
			return
		}
	}
}

// decideWaiting decides what follows for a request that waits.
func (f *Forwarder) decideWaiting(w *slotWaiter, now thclock.Instant) (d thpick.SlotDecision) {
	if !now.Before(w.wait.Until) && !w.state.beyondShare {
		return thpick.TakeSlot{}
	}
	f.WithView(func(now thclock.Instant, v *thview.View) {
		d = v.DecideSlot(now, w.state.request, w.state.service, 0)
	})
	return d
}

// grantSlots ends the wait of those requests that may not wait any longer, and of each service at most
// one that takes a slot: the requests are counted at their targets only after that. It returns false,
// and ends the checks, if no request waits.
func (f *Forwarder) grantSlots() bool {
	q := &f.slots
	q.mu.Lock()
	defer q.mu.Unlock()
	now := f.options.Clock.Now()
	slices.SortStableFunc(q.waiting, func(w, o *slotWaiter) int { return w.compare(o, now) })
	checked := make(map[string]bool)
	q.waiting = slices.DeleteFunc(q.waiting, func(w *slotWaiter) bool {
		isFirst := !checked[w.state.service]
		checked[w.state.service] = true
		if isFirst || !now.Before(w.wait.Until) {
			w.decision = f.decideWaiting(w, now)
		}
		switch w.decision.(type) {
		case nil, thpick.AwaitSlot:
			return false
		}
		close(w.granted)
		return true
	})
	q.isChecking = len(q.waiting) > 0
	return q.isChecking
}
