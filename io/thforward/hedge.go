package thforward

import (
	"context"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thsend"
)

// ended is an attempt that has ended, and what follows it.
type ended struct {
	picked   thview.Picked
	result   thsend.Result
	decision thpick.Decision
}

// send makes the attempt, and a second one at another target beside it if the
// answer of a repeatable request is late. The first good answer counts, and
// the other attempt is cancelled.
func (f *Forwarder) send(ctx context.Context, t *trip, p thview.Picked) ended {
	after, may := thpick.HedgeAfter(f.o.Clock.Now(), t.rules(p))
	if !may || t.attempts.Ran+1 >= t.q.Route.MaxAttempts {
		r := f.exchange(ctx, t, p)
		return ended{p, r, f.decide(t, p, r)}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Both attempts leave their result here, though only one may be waited for.
	results := make(chan ended, 2)
	begin := func(p thview.Picked) {
		go func() { results <- ended{picked: p, result: f.exchange(ctx, t, p)} }()
	}
	begin(p)
	under := 1
	timer := time.NewTimer(after)
	defer timer.Stop()
	for {
		select {
		case e := <-results:
			under--
			e.decision = f.decide(t, e.picked, e.result)
			if under == 0 || e.result.End == thpick.Answered {
				return e
			}
		case <-timer.C:
			if second, ok := f.second(t); ok {
				under++
				begin(second)
			}
		}
	}
}

// second picks a target for a second attempt beside the first, if the budget
// has room.
func (f *Forwarder) second(t *trip) (p thview.Picked, ok bool) {
	f.With(func(now thclock.Instant, v *thview.View) { ok = v.Affords(now, t.service) })
	if !ok {
		return p, false
	}
	p, refusal := f.pick(t)
	return p, refusal == nil
}

// exchange makes one attempt and takes in what it shows of the target.
func (f *Forwarder) exchange(ctx context.Context, t *trip, p thview.Picked) thsend.Result {
	f.o.Stir()
	stall := time.AfterFunc(thpick.StallFactor*p.Expected, func() {
		f.With(func(now thclock.Instant, v *thview.View) { v.Stall(now, p) })
		f.o.Stir()
	})
	defer stall.Stop()
	r := f.o.Sender.Send(ctx, p.Target, t.q, t.most)
	f.With(func(now thclock.Instant, v *thview.View) { v.Finish(now, p, t.q, outcomeOf(p, r), r.Took) })
	f.o.Stir()
	return r
}
