package thforward_test

import (
	"context"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thforward"
	"tamarackhollow/io/thingress"
	"tamarackhollow/io/thsend"

	"gotest.tools/v3/assert"
)

// busyForwarder returns a forwarder all of whose twelve slots are taken by urgent requests until
// release is closed.
func busyForwarder(t *testing.T) (f *thforward.Forwarder, s *fakeSender, release chan struct{}) {
	t.Helper()
	return busyForwarderFor(t, "")
}

// busyForwarderFor is the same for requests of the named customer, of which the forwarder has known for long.
func busyForwarderFor(t *testing.T, customer string) (f *thforward.Forwarder, s *fakeSender, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	f, s = newForwarder(func(_ context.Context, number int) thsend.Result {
		if number <= 12 {
			<-release
		}
		return answered
	})
	f.WithView(func(now thclock.Instant, v *thview.View) {
		v.RecordDemand(now.Add(-time.Minute), customerRequest(customer), "s")
	})
	for range 12 {
		go func() { f.Forward(context.Background(), customerRequest(customer)) }()
	}
	waitUntil(t, func() bool { return len(s.attempts()) == 12 })
	return f, s, release
}

// customerRequest returns an urgent request of the named customer.
func customerRequest(name string) *thmessage.Request {
	r := newRequest(thtable.AtMostOnce, testTimeout)
	r.Customer.Name, r.Arrived = name, thclock.System{}.Now()
	return r
}

// lowRequest returns a request that others overtake.
func lowRequest(safety thtable.Safety, objective time.Duration) *thmessage.Request {
	r := newRequest(safety, objective)
	r.Arrived = thclock.System{}.Now()
	r.Route.Name, r.Route.Priority = "low", 2
	return r
}

func waitUntil(t *testing.T, isDone func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !isDone(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
}

// forwardLow forwards a low request and returns how it ends.
func forwardLow(ctx context.Context, f *thforward.Forwarder, r *thmessage.Request) <-chan *thingress.Refusal {
	done := make(chan *thingress.Refusal, 1)
	go func() {
		_, refusal := f.Forward(ctx, r)
		done <- refusal
	}()
	return done
}

// A less urgent request must wait while urgent ones take all slots, and go on as soon as these end.
func TestLessUrgentRequestWaitsForSlot(t *testing.T) {
	f, s, release := busyForwarder(t)
	done := forwardLow(context.Background(), f, lowRequest(thtable.AtMostOnce, testTimeout))
	waitUntil(t, func() bool { return f.Waiting() == 1 })
	assert.Equal(t, len(s.attempts()), 12)
	close(release)
	assert.Assert(t, <-done == nil)
	assert.Equal(t, f.Waiting(), 0)
}

// A request that may not wait any longer must be sent although no slot is free: its deadline would
// be missed, and targets have queues of their own.
func TestRequestStopsWaitingInTimeForItsDeadline(t *testing.T) {
	f, s, release := busyForwarder(t)
	defer close(release)
	r := lowRequest(thtable.AtMostOnce, 2*time.Second)
	r.Deadline = r.Arrived.Add(2200 * time.Millisecond)
	done := forwardLow(context.Background(), f, r)
	waitUntil(t, func() bool { return f.Waiting() == 1 })
	assert.Assert(t, <-done == nil)
	assert.Equal(t, len(s.attempts()), 13)
}

// Requests that wait behind too many others must be refused when they arrive, not when their time is
// over.
func TestRequestBehindTooManyIsRefusedAtOnce(t *testing.T) {
	f, s, release := busyForwarder(t)
	defer close(release)
	var refusal *thingress.Refusal
	for waiting := 0; refusal == nil; waiting++ {
		assert.Assert(t, waiting < 100)
		done := forwardLow(context.Background(), f, lowRequest(thtable.AtMostOnce, testTimeout))
		waitUntil(t, func() bool { return f.Waiting() > waiting || len(done) > 0 })
		if len(done) > 0 {
			refusal = <-done
		}
	}
	assert.Equal(t, therror.KindOf(refusal.Err), therror.QueueFull)
	assert.Assert(t, refusal.RetryAfter > 0)
	assert.Equal(t, len(s.attempts()), 12)
}

// A caller that leaves gives its place back, and its request must not be sent afterwards.
func TestCallerThatLeavesWhileWaitingIsNotServed(t *testing.T) {
	f, s, release := busyForwarder(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := forwardLow(ctx, f, lowRequest(thtable.AtMostOnce, testTimeout))
	waitUntil(t, func() bool { return f.Waiting() == 1 })
	cancel()
	assert.Equal(t, therror.KindOf((<-done).Err), therror.CallerGone)
	assert.Equal(t, f.Waiting(), 0)
	close(release)
	assert.Equal(t, len(s.attempts()), 12)
}

// A VM that stops must not cut requests that wait for a slot: they are sent at once.
func TestStopEndsWaiting(t *testing.T) {
	f, _, release := busyForwarder(t)
	defer close(release)
	first := forwardLow(context.Background(), f, lowRequest(thtable.AtMostOnce, testTimeout))
	waitUntil(t, func() bool { return f.Waiting() == 1 })
	f.StopWaiting()
	assert.Assert(t, <-first == nil)
	assert.Assert(t, <-forwardLow(context.Background(), f, lowRequest(thtable.AtMostOnce, testTimeout)) == nil)
}

// Requests of the same urgency as all others must not wait: there is nobody to wait for.
func TestEqualRequestsDoNotWait(t *testing.T) {
	f, _, release := busyForwarder(t)
	defer close(release)
	r := newRequest(thtable.AtMostOnce, testTimeout)
	var d thpick.SlotDecision
	f.WithView(func(now thclock.Instant, v *thview.View) { d = v.DecideSlot(now, r, "s", 100) })
	assert.Equal(t, d, thpick.SlotDecision(thpick.TakeSlot{}))
}

// A request beyond its customer's share must wait while requests of other customers are sent, and go on as
// soon as a slot is free.
func TestRequestBeyondShareWaitsForSlot(t *testing.T) {
	f, s, release := busyForwarderFor(t, "large")
	beyond := forwardLow(context.Background(), f, customerRequest("large"))
	waitUntil(t, func() bool { return f.Waiting() == 1 })
	assert.Assert(t, <-forwardLow(context.Background(), f, customerRequest("small")) == nil)
	assert.Equal(t, len(s.attempts()), 13)
	assert.Equal(t, f.Waiting(), 1)
	close(release)
	assert.Assert(t, <-beyond == nil)
}

// A request beyond its customer's share must be refused, not sent, if there is no slot until it has to be
// sent: it would take one from other customers. That must not depend on whether another one goes first.
func TestRequestBeyondShareIsRefusedAtItsDeadline(t *testing.T) {
	f, s, release := busyForwarderFor(t, "large")
	defer close(release)
	r := customerRequest("large")
	r.Deadline = r.Arrived.Add(7500 * time.Millisecond) // a median of 2.5 s is expected
	done := forwardLow(context.Background(), f, r)
	waitUntil(t, func() bool { return f.Waiting() == 1 })
	patient := customerRequest("large")
	patient.Objective, patient.Deadline = r.Arrived.Add(time.Minute), r.Arrived.Add(time.Minute)
	forwardLow(context.Background(), f, patient)
	waitUntil(t, func() bool { return f.Waiting() == 2 })
	waitUntil(t, func() bool { return f.Waiting() == 1 })
	refusal := <-done
	assert.Equal(t, therror.KindOf(refusal.Err), therror.QueueFull)
	assert.Assert(t, refusal.RetryAfter > 0)
	assert.Equal(t, len(s.attempts()), 12)
}

// Among requests of equal urgency that wait for more urgent ones, one within its customer's share must be
// sent before one beyond it that came earlier.
func TestRequestWithinShareGoesFirst(t *testing.T) {
	f, s, release := busyForwarderFor(t, "large")
	low := func(name string) *thmessage.Request {
		r := lowRequest(thtable.AtMostOnce, testTimeout)
		r.Customer.Name = name
		return r
	}
	f.WithView(func(now thclock.Instant, v *thview.View) {
		v.RecordDemand(now, low("large"), "s")
		p, refusal := v.Pick(now, low("large"), "s", nil, false)
		assert.Assert(t, refusal == nil)
		v.Finish(now, p, low("large"), thhealth.Inconclusive, 0)
	})
	beyond := forwardLow(context.Background(), f, low("large"))
	waitUntil(t, func() bool { return f.Waiting() == 1 })
	within := forwardLow(context.Background(), f, low("small"))
	waitUntil(t, func() bool { return f.Waiting() == 2 })
	close(release)
	assert.Assert(t, <-within == nil)
	assert.Assert(t, <-beyond == nil)
	assert.DeepEqual(t, s.lastCustomers(2), []string{"small", "large"})
}
