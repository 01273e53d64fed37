package thforward

import (
	"context"
	"sync/atomic"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thsend"
)

// ended is an attempt and how it ended.
type ended struct {
	picked thview.Picked
	result thsend.Result
}

// send makes an attempt at the picked target. If the request may run more than
// once and the attempt is overdue, a second one is made beside it; the first
// whole answer counts, and the other attempt is given up. What is returned is
// the attempt that decides.
func (f *Forwarder) send(ctx context.Context, t *trip, p thview.Picked) ended {
	t.tried = append(t.tried, p.Target.ID)
	if !t.q.Route.IsIdempotent() {
		e := f.exchange(ctx, t, p, t.manner(), t.attempts.Total+1, func() {})
		t.end(e.result)
		return e
	}
	both, cancel := context.WithCancel(ctx)
	defer cancel()
	overdue := make(chan struct{}, 1)
	ends := make(chan ended, 2)
	begin := func(p thview.Picked, number int, late func()) {
		m := t.manner()
		go func() { ends <- f.exchange(both, t, p, m, number, late) }()
	}
	begin(p, t.attempts.Total+1, func() { overdue <- struct{}{} })
	for underWay := 1; ; {
		select {
		case <-overdue:
			if second, ok := f.pickBeside(t, p); ok {
				t.fresh = true
				t.tried = append(t.tried, second.Target.ID)
				begin(second, t.attempts.Total+2, func() {})
				underWay++
			}
		case e := <-ends:
			underWay--
			t.end(e.result)
			if underWay == 0 || e.result.End == thpick.Answered {
				// An attempt that is given up may have run.
				t.attempts.MayHaveRun += underWay
				return e
			}
		}
	}
}

func (t *trip) manner() thsend.Manner { return thsend.Manner{Most: t.most, Fresh: t.fresh} }

// end takes in how an attempt ended. If one over an idle connection was lost,
// others may be lost as well.
func (t *trip) end(r thsend.Result) {
	t.attempts = t.attempts.WithEnd(r.End)
	t.fresh = t.fresh || r.End == thpick.Lost && !r.Connected
}

// pickBeside picks a target for a second attempt, if there is to be one.
func (f *Forwarder) pickBeside(t *trip, p thview.Picked) (second thview.Picked, ok bool) {
	f.With(func(now thclock.Instant, v *thview.View) {
		r := rules(t, p.ExpectedLatency)
		if !thpick.ShouldHedge(now, r, t.attempts, v.HasRetryBudget(now, t.service)) {
			return
		}
		second, ok = v.PickHedge(now, t.q, t.service, t.tried, t.attempts.MayHaveRun+2 < r.MaxAttempts)
	})
	return second, ok
}

// exchange makes the attempt of that number and takes in how it ended. If it is
// overdue, all VMs and the function are told.
func (f *Forwarder) exchange(ctx context.Context, t *trip, p thview.Picked, m thsend.Manner, number int, late func()) ended {
	f.o.Stir()
	var overdue atomic.Bool
	timer := time.AfterFunc(thpick.OverdueAfter(p.ExpectedLatency), func() {
		overdue.Store(true)
		f.With(func(now thclock.Instant, v *thview.View) { v.MarkOverdue(now, p) })
		f.o.Stir()
		late()
	})
	r := f.o.Sender.Send(ctx, p.Target, t.q, m)
	timer.Stop()
	if r.End == thpick.TimedOut && overdue.Load() {
		r.Outcome = thjudge.Unknown // the same silence was told already
	}
	f.With(func(now thclock.Instant, v *thview.View) { v.Finish(now, p, t.q, outcomeOf(p, r), r.Took) })
	f.o.Stir()
	f.noteAttempt(t, p, r, number)
	return ended{p, r}
}
