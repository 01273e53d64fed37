package thforward_test

import (
	"context"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thforward"
	"tamarackhollow/io/thsend"

	"gotest.tools/v3/assert"
)

// TestExplainedWait guards against explanations of a wait that would not take place, and against a
// refusal of a request that would wait although all targets are too busy for it now.
func TestExplainedWait(t *testing.T) {
	const slow, urgent = 24, 12
	release := make(chan struct{})
	defer close(release)
	f, s := newForwarder(func(_ context.Context, number int) thsend.Result {
		r := answered
		r.Took = 5 * time.Second
		if number > slow {
			<-release
		}
		return r
	})
	for range slow {
		f.Forward(context.Background(), newRequest(thtable.AtMostOnce, testTimeout))
	}
	for range urgent {
		go func() { f.Forward(context.Background(), newRequest(thtable.AtMostOnce, testTimeout)) }()
	}
	waitUntil(t, func() bool { return len(s.attempts()) == slow+urgent })
	q := lowRequest(thtable.AtMostOnce, time.Second)
	q.Deadline = q.Objective
	e := f.Explain(q)
	assert.Assert(t, e.Waits() && e.Refusal == nil && e.Explanation.Refusal.Overloaded, "%+v", e)

	forwardLow(context.Background(), f, lowRequest(thtable.AtMostOnce, testTimeout))
	waitUntil(t, func() bool { return f.Waiting() == 1 })
	explained := f.Explain(q).Refusal
	_, refusal := f.Forward(context.Background(), q)
	assert.Assert(t, explained != nil && refusal != nil, "one before it waits: explained %v, done %v", explained, refusal)
	assert.Equal(t, explained.Err.Error(), refusal.Err.Error())
	assert.Equal(t, len(s.attempts()), slow+urgent)

	f.StopWaiting()
	e = f.Explain(q)
	assert.Assert(t, !e.Waits())
	assert.Equal(t, therror.KindOf(e.Refusal.Err), therror.QueueFull)
}

// TestExplainedRefusalIsThatOfForward guards against refusals that only one of Explain and Forward
// knows, and against others than Forward gives.
func TestExplainedRefusalIsThatOfForward(t *testing.T) {
	paused := rejected
	paused.PausedUntil = thclock.System{}.Now().Add(time.Hour)
	for _, c := range []struct {
		name     string
		result   thsend.Result
		requests int
		change   func(f *thforward.Forwarder, q *thmessage.Request)
		kind     therror.Kind
	}{
		{"all targets pause", paused, 1, nil, therror.Shed},
		{"all targets evacuated", answered, 0, func(f *thforward.Forwarder, _ *thmessage.Request) { f.SetEvacuated([]string{""}) }, therror.NoTarget},
		{"unknown service", answered, 0, func(_ *thforward.Forwarder, q *thmessage.Request) { q.Route.Backends[0].Service = "x" }, therror.NoTarget},
		{"quarantined", lost, 20, nil, therror.Quarantined},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, s := newForwarder(func(context.Context, int) thsend.Result { return c.result })
			q := newRequest(thtable.AtMostOnce, testTimeout)
			assert.Assert(t, f.Explain(q).Refusal == nil)
			for range c.requests {
				f.Forward(context.Background(), q)
			}
			if c.change != nil {
				c.change(f, q)
			}
			sent := len(s.attempts())
			explained := f.Explain(q).Refusal
			_, refusal := f.Forward(context.Background(), q)
			assert.Assert(t, explained != nil && refusal != nil, "explained %v, done %v", explained, refusal)
			assert.Equal(t, explained.Err.Error(), refusal.Err.Error())
			assert.Equal(t, therror.KindOf(explained.Err), c.kind)
			assert.Equal(t, explained.RetryAfter > 0, refusal.RetryAfter > 0)
			assert.Equal(t, len(s.attempts()), sent)
		})
	}
}
