package thforward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
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
// requests do not need. The zero value is ready to use.
type slotQueue struct {
	mu sync.Mutex
	// waiting is ordered by urgency, and among equal ones by the time until which they may wait.
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
	until   thclock.Instant
	// granted is closed once the request may be sent.
	granted chan struct{}
}

func (w *slotWaiter) compare(o *slotWaiter) int {
	return cmp.Or(w.urgency.Compare(o.urgency), cmp.Compare(w.until.Mono, o.until.Mono))
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
// need. It returns a refusal if the caller leaves meanwhile.
func (f *Forwarder) awaitSlot(ctx context.Context, s *requestState) *thingress.Refusal {
	w := &slotWaiter{state: s, urgency: thview.UrgencyOf(s.request), granted: make(chan struct{})}
	wait := false
	f.WithView(func(now thclock.Instant, v *thview.View) {
		v.RecordDemand(now, s.request, s.service)
		w.until, wait = v.WaitForSlot(now, s.request, s.service)
	})
	if !wait || !f.enqueue(w) {
		return nil
	}
	startedAt := f.options.Clock.Now()
	select {
	case <-w.granted:
	case <-ctx.Done():
		f.dequeue(w)
	}
	s.waited = f.options.Clock.Now().Sub(startedAt)
	if f.options.RecordWait != nil {
		f.options.RecordWait(s.service, s.waited)
	}
	if ctx.Err() != nil {
		return callerGoneRefusal()
	}
	return nil
}

// enqueue adds a request to those that wait, and returns false if none may wait.
func (f *Forwarder) enqueue(w *slotWaiter) bool {
	q := &f.slots
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	i, _ := slices.BinarySearchFunc(q.waiting, w, (*slotWaiter).compare)
	q.waiting = slices.Insert(q.waiting, i, w)
	if !q.isChecking {
		q.isChecking = true
		go f.checkWaiting()
	}
	return true
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

// grantSlots lets those requests go on that need not wait any more, and of each service at most one
// that takes a slot: the requests are counted at their targets only after that. It returns false,
// and ends the checks, if no request waits.
func (f *Forwarder) grantSlots() bool {
	q := &f.slots
	q.mu.Lock()
	defer q.mu.Unlock()
	checked := make(map[string]bool)
	q.waiting = slices.DeleteFunc(q.waiting, func(w *slotWaiter) bool {
		isFirst := !checked[w.state.service]
		checked[w.state.service] = true
		wait := true
		f.WithView(func(now thclock.Instant, v *thview.View) {
			switch {
			case !now.Before(w.until):
				wait = false
			case isFirst:
				_, wait = v.WaitForSlot(now, w.state.request, w.state.service)
			}
		})
		if !wait {
			close(w.granted)
		}
		return !wait
	})
	q.isChecking = len(q.waiting) > 0
	return q.isChecking
}
