package thforward

import (
	"math/rand/v2"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thingress"
)

// Explanation is what a VM would do with a request, and why.
type Explanation struct {
	thview.Explanation
	// At is when it was explained, by the clock of the VM.
	At thclock.Instant
	// Refusal is what the caller would get without an attempt; nil if the request would be sent now,
	// or if it would wait for a slot first.
	Refusal *thingress.Refusal
}

// Explain returns what Admit and Forward would do with a request that arrives now. It sends nothing,
// asks no other VM and changes nothing.
func (f *Forwarder) Explain(request *thmessage.Request) (e Explanation) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	table, q := f.options.Table(), &f.slots
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &requestState{request: request}
	ahead := func(service string, isBeyondShare bool) int {
		s.service, s.beyondShare = service, isBeyondShare
		return q.countAhead(&slotWaiter{state: s, urgency: thview.UrgencyOf(request)})
	}
	f.WithView(func(now thclock.Instant, v *thview.View) {
		e.At, e.Explanation = now, v.Explain(now, rng, request, isRetryable(request.Route, thpick.Attempts{}), ahead)
	})
	if q.closed && e.Waits() {
		e.Slot = thpick.TakeSlot{}
	}
	_, isConfigured := table.Service(e.Service)
	e.Refusal = limitRefusal(request.Customer, e.Admission)
	switch {
	case e.Refusal != nil:
	case !isConfigured:
		e.Refusal = unknownServiceRefusal(e.Service)
	case s.slotRefusal(e.Slot) != nil:
		e.Refusal = s.slotRefusal(e.Slot)
	case e.IsQuarantined:
		e.Refusal = &thingress.Refusal{Err: quarantineError(s)}
	case e.Explanation.Refusal != nil && !e.Waits(): // a request that waits is picked a target for afterwards
		e.Refusal = refusalWithoutTarget(e.Explanation.Refusal)
	}
	return e
}

// Waits reports whether the request would wait for a slot.
func (e Explanation) Waits() bool {
	_, waits := e.Slot.(thpick.AwaitSlot)
	return waits
}
