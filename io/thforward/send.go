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

// attemptResult is an attempt and how it attemptResult.
type attemptResult struct {
	picked thview.Picked
	result thsend.Result
}

// sendHedged makes an attempt at the picked target. If the request may run more than
// once and the attempt is overdue, a second one is made beside it; the first
// whole answer counts, and the other attempt is given up. What is returned is
// the attempt that decides.
func (f *Forwarder) sendHedged(ctx context.Context, t *requestState, p thview.Picked) attemptResult {
	t.tried = append(t.tried, p.Target.ID)
	if !t.request.Route.IsIdempotent() {
		e := f.sendAttempt(ctx, t, p, t.connectionOptions(), t.attempts.Sends+1, func() {})
		t.recordEnd(e.result)
		return e
	}
	both, cancel := context.WithCancel(ctx)
	defer cancel()
	overdue := make(chan struct{}, 1)
	ends := make(chan attemptResult, 2)
	begin := func(p thview.Picked, number int, late func()) {
		m := t.connectionOptions()
		go func() { ends <- f.sendAttempt(both, t, p, m, number, late) }()
	}
	begin(p, t.attempts.Sends+1, func() { overdue <- struct{}{} })
	for underWay := 1; ; {
		select {
		case <-overdue:
			if second, ok := f.pickHedge(t, p); ok {
				t.requireNew = true
				t.tried = append(t.tried, second.Target.ID)
				begin(second, t.attempts.Sends+2, func() {})
				underWay++
			}
		case e := <-ends:
			underWay--
			t.recordEnd(e.result)
			if underWay == 0 || e.result.End == thpick.Answered {
				// An attempt that is given up may have run.
				t.attempts.Ran += underWay
				return e
			}
		}
	}
}

func (t *requestState) connectionOptions() thsend.ConnectionOptions {
	return thsend.ConnectionOptions{MaxConnections: t.maxConnections, RequireNew: t.requireNew}
}

// recordEnd takes in how an attempt ended. If one over an idle connection was lost,
// others may be lost as well.
func (t *requestState) recordEnd(r thsend.Result) {
	t.attempts = t.attempts.WithEnd(r.End)
	t.requireNew = t.requireNew || r.End == thpick.Lost && !r.NewConnection
}

// pickHedge picks a target for a second attempt, if there is to be one.
func (f *Forwarder) pickHedge(t *requestState, p thview.Picked) (second thview.Picked, ok bool) {
	f.With(func(now thclock.Instant, v *thview.View) {
		r := retryRules(t, p.Expected)
		if !thpick.Beside(now, r, t.attempts, v.Affords(now, t.service)) {
			return
		}
		second, ok = v.PickBeside(now, t.request, t.service, t.tried, t.attempts.Ran+2 < r.MaxAttempts)
	})
	return second, ok
}

// sendAttempt makes the attempt of that number and takes in how it ended. If it is
// overdue, all VMs and the function are told.
func (f *Forwarder) sendAttempt(ctx context.Context, t *requestState, p thview.Picked, m thsend.ConnectionOptions, number int, late func()) attemptResult {
	f.options.NotifyPeers()
	var overdue atomic.Bool
	timer := time.AfterFunc(thpick.OverdueAfter(p.Expected), func() {
		overdue.Store(true)
		f.With(func(now thclock.Instant, v *thview.View) { v.Overdue(now, p) })
		f.options.NotifyPeers()
		late()
	})
	r := f.options.Sender.Send(ctx, p.Target, t.request, m)
	timer.Stop()
	if r.End == thpick.Late && overdue.Load() {
		r.Outcome = thjudge.Unknown // the same silence was told already
	}
	f.With(func(now thclock.Instant, v *thview.View) { v.Finish(now, p, t.request, outcomeOf(p, r), r.Took) })
	f.options.NotifyPeers()
	f.reportAttempt(t, p, r, number)
	return attemptResult{p, r}
}
