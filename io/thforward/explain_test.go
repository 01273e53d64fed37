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
// refusal of a request that would wait.
func TestExplainedWait(t *testing.T) {
	f, s, release := busyForwarder(t)
	defer close(release)
	e := f.Explain(lowRequest(thtable.AtMostOnce, testTimeout))
	assert.Assert(t, e.Waits && e.WaitUntil.Sub(e.At) > time.Second && e.Refusal == nil, "%+v", e)
	assert.Assert(t, !f.Explain(newRequest(thtable.AtMostOnce, testTimeout)).Waits)
	late := lowRequest(thtable.AtMostOnce, testTimeout)
	late.Deadline = late.Arrived.Add(300 * time.Millisecond) // less than the wait at a target
	late.Objective = late.Deadline
	late.Route.LatencyObjectiveMillis = 300
	e = f.Explain(late)
	assert.Assert(t, e.Waits == (e.Refusal == nil), "%+v", e)
	f.StopWaiting()
	assert.Assert(t, !f.Explain(lowRequest(thtable.AtMostOnce, testTimeout)).Waits)
	assert.Equal(t, len(s.attempts()), 12)
	assert.Equal(t, f.Waiting(), 0)
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
