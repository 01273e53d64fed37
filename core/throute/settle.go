package throute

import (
	"strconv"
	"strings"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/threquest"
)

// The headers by which targets speak of themselves in any answer.
const (
	// HeaderLoad holds the number of requests that the target has in hand.
	HeaderLoad = "Tamarack-Target-Load"
	// HeaderState holds StateLeaving once the target takes no new work.
	HeaderState = "Tamarack-Target-State"
	// StateLeaving is a leaving target's HeaderState.
	StateLeaving = "leaving"
)

// Settle takes in an attempt to the target that Pick chose last, and decides
// what follows. Blamed attempts are the request's fault and no evidence.
func (b *Balancer[W]) Settle(t *Try, a threquest.Attempt, blamed bool) Decision {
	now := a.Ended
	g := t.tried[len(t.tried)-1]
	g.inFlight--
	t.Note(a)
	b.observe(now, g, t, a, blamed)
	d := AfterAttempt(t.Request, a, t.count)
	if r, again := d.(Repeat); again && r.Pause == 0 && !b.Again(t.Request, r) {
		return giveUp(a)
	}
	return d
}

// Again takes a repeat from the budget, and returns false while there is no
// credit for it. A part of the budget is kept for customers that have nothing
// else under way.
func (b *Balancer[W]) Again(q *threquest.Request, r Repeat) bool {
	reserve := 0.0
	if b.turns[q.Customer.Name] > 1 || b.queue.Waiting(q.Customer.Name) > 0 {
		reserve = sparseReserve
	}
	budget, ok := b.budget.WithRepeat(r.Cost, reserve)
	b.budget = budget
	return ok
}

// sparseReserve is in repeats.
const sparseReserve = 1.5

// observe takes in what the attempt shows of the target and of the service.
func (b *Balancer[W]) observe(now thclock.Instant, g *target, t *Try, a threquest.Attempt, blamed bool) {
	took := a.Ended.Sub(a.Began)
	if IsShed(t.Request, a) {
		b.shed(now, g, t)
		return
	}
	b.hear(now, g, a.Answer)
	o := thhealth.Classify(a, b.reference.SlowAfter(b.policy))
	if blamed {
		o = thhealth.None
	}
	g.row.Observe(now, o, took)
	b.stirred = b.stirred || o != thhealth.Good && o != thhealth.None
	if o != thhealth.Good && o != thhealth.Slow && o != thhealth.Stalled {
		return
	}
	if g.state.Phase == thhealth.Healthy || g.state.Phase == thhealth.Warming {
		b.reference = b.reference.WithLatency(took)
	}
	b.budget = b.budget.WithSuccess()
	if b.inFlight >= b.window.Size() {
		b.window = b.window.WithSuccess(b.slots())
	}
}

// shed believes the target and does not hold it against it. Only a request
// that several targets shed says that the service as a whole is busy.
func (b *Balancer[W]) shed(now thclock.Instant, g *target, t *Try) {
	g.busyUntil = now.Add(shedBelieved)
	if t.count < 2 || now.Before(b.shrunk.Add(shrinkPause)) {
		return
	}
	b.window = b.window.WithShed()
	b.shrunk = now
}

// hear takes in what the target's answer says of the target itself.
func (b *Balancer[W]) hear(now thclock.Instant, g *target, a *threquest.Answer) {
	if a == nil {
		return
	}
	for _, h := range a.Headers {
		switch {
		case strings.EqualFold(h.Name, HeaderLoad):
			g.hearLoad(now, h.Value)
		case strings.EqualFold(h.Name, HeaderState):
			if strings.EqualFold(strings.TrimSpace(h.Value), StateLeaving) {
				b.hearLeaving(now, g)
			}
		}
	}
}

func (g *target) hearLoad(now thclock.Instant, value string) {
	load, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(load >= 0) {
		return
	}
	g.reported, g.reportedUntil = load, now.Add(loadBelieved)
}

func (b *Balancer[W]) hearLeaving(now thclock.Instant, g *target) {
	before := g.leaving(now)
	g.leavingUntil = now.Add(leavingBelieved)
	if before {
		return
	}
	b.notify(thevent.TargetLeaving, thevent.F("target", g.address))
	b.rebuild(now)
}
