package thforward

import (
	"context"
	"sync/atomic"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thsend"
)

// attemptResult is a picked target and the result of the attempt at it.
type attemptResult struct {
	picked thview.Picked
	result thsend.Result
}

// sendHedged makes an attempt at the picked target. If the request is idempotent
// and the attempt is overdue, it may send a hedged attempt to a second target. It
// returns the first attempt that is answered and cancels the other; if none is
// answered, it returns the one that ends last.
func (f *Forwarder) sendHedged(ctx context.Context, s *requestState, p thview.Picked) attemptResult {
	s.tried = append(s.tried, p.Target.ID)
	if !s.request.Route.IsIdempotent() {
		a := f.sendAttempt(ctx, s, p, s.connectionOptions(), s.attempts.Total+1, func() {})
		s.recordEnd(a.result)
		return a
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	overdue := make(chan struct{}, 1)
	results := make(chan attemptResult, 2)
	start := func(p thview.Picked, number int, onOverdue func()) {
		o := s.connectionOptions()
		go func() { results <- f.sendAttempt(attemptCtx, s, p, o, number, onOverdue) }()
	}
	start(p, s.attempts.Total+1, func() { overdue <- struct{}{} })
	for inFlight := 1; ; {
		select {
		case <-overdue:
			if hedge, ok := f.pickHedge(s, p); ok {
				s.requireNew = true
				s.tried = append(s.tried, hedge.Target.ID)
				start(hedge, s.attempts.Total+2, func() {})
				inFlight++
			}
		case a := <-results:
			inFlight--
			s.recordEnd(a.result)
			if inFlight == 0 || a.result.End == thpick.Answered {
				// A cancelled attempt may have run.
				s.attempts.MayHaveRun += inFlight
				return a
			}
		}
	}
}

// connectionOptions returns the options of the next attempt.
func (s *requestState) connectionOptions() thsend.ConnectionOptions {
	return thsend.ConnectionOptions{MaxConnections: s.maxConnections, RequireNew: s.requireNew}
}

// recordEnd records how an attempt ended. After the loss of an attempt on a reused
// connection, later ones require a new connection, since other idle connections
// may be broken too.
func (s *requestState) recordEnd(r thsend.Result) {
	s.attempts = s.attempts.WithEnd(r.End)
	s.requireNew = s.requireNew || r.End == thpick.Lost && !r.NewConnection
}

// pickHedge picks a target for a hedged attempt. It returns false if the request's
// rules or the retry budget allow none, or if no target is suitable.
func (f *Forwarder) pickHedge(s *requestState, p thview.Picked) (hedge thview.Picked, ok bool) {
	f.WithView(func(now thclock.Instant, v *thview.View) {
		r := retryRules(s, p.ExpectedLatency)
		if !thpick.ShouldHedge(now, r, s.attempts, v.HasRetryBudget(now, s.service)) {
			return
		}
		// The overdue attempt and the hedged one may both have run by the time of a retry.
		hedge, ok = v.PickHedge(now, s.request, s.service, s.tried, s.attempts.MayHaveRun+2 < r.MaxAttempts)
	})
	return hedge, ok
}

// sendAttempt makes the attempt with the given number and records how it ended. If
// the attempt becomes overdue, sendAttempt records that in the view, for all VMs,
// and calls onOverdue.
func (f *Forwarder) sendAttempt(ctx context.Context, s *requestState, p thview.Picked, o thsend.ConnectionOptions, number int, onOverdue func()) attemptResult {
	f.options.NotifyPeers()
	var overdue atomic.Bool
	timer := time.AfterFunc(thpick.OverdueAfter(p.ExpectedLatency), func() {
		overdue.Store(true)
		f.WithView(func(now thclock.Instant, v *thview.View) { v.MarkOverdue(now, p) })
		f.options.NotifyPeers()
		onOverdue()
	})
	r := f.options.Sender.Send(ctx, p.Target, s.request, o)
	timer.Stop()
	if r.End == thpick.TimedOut && overdue.Load() {
		r.Outcome = thhealth.Inconclusive // the view has recorded the attempt as overdue already
	}
	leaves, pauses := false, false
	f.WithView(func(now thclock.Instant, v *thview.View) {
		v.Finish(now, p, s.request, outcomeOf(p, r), r.Took)
		v.RecordLoad(now, p, r.Load)
		leaves = r.TargetLeaves && v.MarkLeaving(p)
		pauses = recordPause(now, v, p, r)
		if r.ColdUntil != (thclock.Instant{}) {
			v.MarkCold(now, p, r.ColdUntil)
		}
	})
	if pauses {
		f.logPause(p, r)
	}
	if leaves {
		f.RetainConnections()
	}
	f.options.NotifyPeers()
	f.reportAttempt(s, p, r, number)
	return attemptResult{p, r}
}
