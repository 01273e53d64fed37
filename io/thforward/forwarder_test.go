package thforward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thforward"
	"tamarackhollow/io/thsend"

	"gotest.tools/v3/assert"
)

// testTimeout bounds every wait of these tests; it is reached only if a test
// fails.
const testTimeout = 10 * time.Second

// fakeSender ends each attempt with the result of a function.
type fakeSender struct {
	mu sync.Mutex
	// sent holds the IDs of the attempts' targets, and customers the names of the customers.
	sent, customers []string
	// retained holds the IDs of the targets whose connections are kept, ordered.
	retained []string
	// cancelled counts the attempts whose context ended.
	cancelled int
	// options are those of the last attempt.
	options thsend.ConnectionOptions
	// attempt returns the result of the attempt with the given number, from 1.
	attempt func(ctx context.Context, number int) thsend.Result
}

func (s *fakeSender) Retain(ts []thtable.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retained = nil
	for _, t := range ts {
		if !t.Draining { // thsend.Client closes the connections to draining targets
			s.retained = append(s.retained, t.ID)
		}
	}
	slices.Sort(s.retained)
}

// Connections to the targets of an evacuated zone stayed open, and were open again after the next
// change of the list.
func TestConnectionsToEvacuatedZonesAreClosed(t *testing.T) {
	f, s := newForwarder(nil)
	ts := []thtable.Target{{ID: "1", Service: "s", Zone: "a"}, {ID: "2", Service: "s", Zone: "b"}, {ID: "3", Service: "s", Zone: "c"}}
	f.SetTargets(ts)
	added, released := f.SetEvacuated([]string{"a", "c"})
	assert.DeepEqual(t, added, []string{"a", "c"})
	assert.Equal(t, len(released), 0)
	assert.DeepEqual(t, s.retained, []string{"2"})
	f.SetTargets(ts)
	assert.DeepEqual(t, s.retained, []string{"2"})
	_, released = f.SetEvacuated([]string{"c"})
	assert.DeepEqual(t, released, []string{"a"})
	assert.DeepEqual(t, s.retained, []string{"1", "2"})
}

func (s *fakeSender) Send(ctx context.Context, t thtable.Target, request *thmessage.Request, o thsend.ConnectionOptions) thsend.Result {
	s.mu.Lock()
	s.options = o
	s.sent = append(s.sent, t.ID)
	s.customers = append(s.customers, request.Customer.Name)
	number := len(s.sent)
	s.mu.Unlock()
	r := s.attempt(ctx, number)
	if ctx.Err() != nil {
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
	}
	return r
}

// lastCustomers returns the names of the customers of the last attempts, in their order.
func (s *fakeSender) lastCustomers(n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.customers[len(s.customers)-n:]...)
}

// attempts returns the target IDs of the attempts in their order.
func (s *fakeSender) attempts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.sent...)
}

func (s *fakeSender) cancellations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

var (
	answered = thsend.Result{End: thpick.Answered, Answer: &thmessage.Answer{Status: 200}}
	failed   = thsend.Result{End: thpick.Failure, Outcome: thhealth.Failed, Answer: &thmessage.Answer{Status: 500}}
	lost     = thsend.Result{End: thpick.Lost, Outcome: thhealth.ConnectionClosed}
	rejected = thsend.Result{End: thpick.NotRun, Outcome: thhealth.Rejected}
	unsent   = thsend.Result{End: thpick.NotSent, Outcome: thhealth.ConnectionRefused}
)

// newForwarder returns a forwarder with six targets of one service.
func newForwarder(attempt func(ctx context.Context, number int) thsend.Result) (*thforward.Forwarder, *fakeSender) {
	s := &fakeSender{attempt: attempt}
	table := thtable.New(thtable.Document{Version: 1, Services: []thtable.Service{{Name: "s"}}})
	f := thforward.New(thforward.Options{
		View: thview.New(thview.Options{
			Self: thfleet.Identity{ID: "vm"}, RetryBudgetRule: thpick.RetryBudgetRule{Window: 10 * time.Second, Slack: 56},
			Rand: rand.New(rand.NewPCG(1, 2)),
		}),
		Table: func() thtable.Table { return table }, Sender: s, Clock: thclock.System{}, NotifyPeers: func() {},
	})
	var ts []thtable.Target
	for i := range 6 {
		ts = append(ts, thtable.Target{ID: fmt.Sprint(i), Service: "s", Slots: 2})
	}
	f.SetTargets(ts)
	return f, s
}

func newRequest(safety thtable.Safety, objective time.Duration) *thmessage.Request {
	now := thclock.System{}.Now()
	return &thmessage.Request{
		ID: "id", Objective: now.Add(objective), Deadline: now.Add(testTimeout),
		Route: thtable.Route{
			Name: "r", Safety: safety, MaxAttempts: 2, LatencyObjectiveMillis: objective.Milliseconds(),
			Backends: []thtable.Backend{{Service: "s", Weight: 1}},
		},
	}
}

// TestRetries guards against retries of requests that may have run and are not
// idempotent, against missing retries, and against retries beyond the bounds.
func TestRetries(t *testing.T) {
	for _, c := range []struct {
		name     string
		safety   thtable.Safety
		ends     []thsend.Result
		attempts int
		status   int
		kind     therror.Kind
	}{
		{"answered", thtable.AtMostOnce, []thsend.Result{answered}, 1, 200, 0},
		{"failure of a non-idempotent request", thtable.AtMostOnce, []thsend.Result{failed, answered}, 1, 500, 0},
		{"failure of an idempotent request", thtable.Idempotent, []thsend.Result{failed, answered}, 2, 200, 0},
		{"two failures of an idempotent request", thtable.Idempotent, []thsend.Result{failed, failed, answered}, 2, 500, 0},
		{"lost answer to an upload", thtable.Upload, []thsend.Result{lost, answered}, 1, 0, therror.AnswerLost},
		{"rejection and refused connection", thtable.AtMostOnce, []thsend.Result{rejected, unsent, answered}, 3, 200, 0},
		{"rejected by all targets", thtable.AtMostOnce, []thsend.Result{rejected}, 6, 0, therror.Shed},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, s := newForwarder(func(_ context.Context, number int) thsend.Result {
				return c.ends[min(number, len(c.ends))-1]
			})
			answer, refusal := f.Forward(context.Background(), newRequest(c.safety, time.Second))
			assert.Equal(t, len(s.attempts()), c.attempts)
			if c.status > 0 {
				assert.Assert(t, refusal == nil)
				assert.Equal(t, answer.Status, c.status)
				return
			}
			assert.Equal(t, therror.KindOf(refusal.Err), c.kind)
		})
	}
}

// TestCallerReturnsAfterPause guards against callers that are told to return while all targets
// have asked for a pause, by the request that learned of the last one too.
func TestCallerReturnsAfterPause(t *testing.T) {
	const pause = time.Hour
	f, s := newForwarder(func(context.Context, int) thsend.Result {
		r := rejected
		r.PausedUntil = thclock.System{}.Now().Add(pause)
		return r
	})
	for range 3 {
		_, refusal := f.Forward(context.Background(), newRequest(thtable.AtMostOnce, time.Second))
		assert.Equal(t, therror.KindOf(refusal.Err), therror.Shed)
		assert.Assert(t, refusal.RetryAfter > pause-testTimeout, "%v", refusal.RetryAfter)
	}
	assert.Equal(t, len(s.attempts()), 6)
}

// TestCallerLeaves guards against cancelling a non-idempotent request after it was
// sent, and against finishing an idempotent one whose caller has left.
func TestCallerLeaves(t *testing.T) {
	for _, safety := range []thtable.Safety{thtable.Idempotent, thtable.AtMostOnce} {
		ctx, cancel := context.WithCancel(context.Background())
		f, s := newForwarder(func(ctx context.Context, _ int) thsend.Result {
			cancel()
			time.Sleep(50 * time.Millisecond)
			if ctx.Err() != nil {
				return lost
			}
			return answered
		})
		_, refusal := f.Forward(ctx, newRequest(safety, time.Second))
		if safety == thtable.Idempotent {
			assert.Assert(t, therror.Is(refusal.Err, therror.CallerGone))
			assert.Equal(t, s.cancellations(), 1)
			continue
		}
		assert.Assert(t, refusal == nil)
		assert.Equal(t, s.cancellations(), 0)
	}
}

// TestOverdueAttemptIsReportedBeforeItEnds guards against other VMs learning that
// a target is slow only after the attempt has ended.
func TestOverdueAttemptIsReportedBeforeItEnds(t *testing.T) {
	release := make(chan struct{})
	f, _ := newForwarder(func(context.Context, int) thsend.Result {
		<-release
		return answered
	})
	done := make(chan struct{})
	go func() {
		_, refusal := f.Forward(context.Background(), newRequest(thtable.AtMostOnce, 40*time.Millisecond))
		assert.Check(t, refusal == nil)
		close(done)
	}()
	reported := func() (overdue bool) {
		f.WithView(func(now thclock.Instant, v *thview.View) {
			for _, o := range v.TakeNotices(now) {
				for _, e := range o.Notice.Results {
					overdue = overdue || e.Outcome == thhealth.Overdue
				}
			}
		})
		return overdue
	}
	for until := time.Now().Add(testTimeout); !reported(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the notice does not report an overdue attempt")
	}
	close(release)
	<-done
}

// TestHedgedAttempt guards against hedged attempts of non-idempotent requests, and
// against attempts that stay counted as in flight after the request has ended.
func TestHedgedAttempt(t *testing.T) {
	for _, c := range []struct {
		name     string
		safety   thtable.Safety
		hedge    thsend.Result
		attempts int
	}{
		{"idempotent", thtable.Idempotent, answered, 2},
		{"idempotent, hedged attempt fails", thtable.Idempotent, failed, 2},
		{"non-idempotent", thtable.AtMostOnce, answered, 1},
		{"upload", thtable.Upload, answered, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, s := newForwarder(func(ctx context.Context, number int) thsend.Result {
				if number > 1 {
					return c.hedge
				}
				select {
				case <-ctx.Done():
					return lost
				case <-time.After(time.Second): // longer than the time after which the attempt is overdue
					return answered
				}
			})
			answer, refusal := f.Forward(context.Background(), newRequest(c.safety, 40*time.Millisecond))
			assert.Assert(t, refusal == nil)
			assert.Equal(t, answer.Status, 200)
			assert.Equal(t, len(s.attempts()), c.attempts)
			for until := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
				inFlight := 0
				f.WithView(func(now thclock.Instant, v *thview.View) {
					for _, st := range v.TargetStatuses(now) {
						inFlight += st.InFlight
					}
				})
				if inFlight == 0 {
					break
				}
				assert.Assert(t, time.Now().Before(until), "%d attempts still count as in flight", inFlight)
			}
		})
	}
}
