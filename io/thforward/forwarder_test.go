package thforward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thforward"
	"tamarackhollow/io/thsend"

	"gotest.tools/v3/assert"
)

// patience bounds every wait of these tests; it is reached only by a failure.
const patience = 10 * time.Second

// sender answers each attempt as the test says.
type sender struct {
	mu        sync.Mutex
	sent      []string
	cancelled int
	answer    func(ctx context.Context, number int) thsend.Result
}

func (s *sender) Retain([]thtable.Target) {}

func (s *sender) Send(ctx context.Context, t thtable.Target, _ *thmessage.Request, _ thsend.Manner) thsend.Result {
	s.mu.Lock()
	s.sent = append(s.sent, t.ID)
	number := len(s.sent)
	s.mu.Unlock()
	r := s.answer(ctx, number)
	if ctx.Err() != nil {
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
	}
	return r
}

func (s *sender) sends() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.sent...)
}

func (s *sender) cancellations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

var (
	good     = thsend.Result{End: thpick.Answered, Answer: &thmessage.Answer{Status: 200}}
	failed   = thsend.Result{End: thpick.Failure, Outcome: thjudge.Failed, Answer: &thmessage.Answer{Status: 500}}
	lost     = thsend.Result{End: thpick.Lost, Outcome: thjudge.Cut}
	rejected = thsend.Result{End: thpick.NotRun, Outcome: thjudge.Rejected}
	unsent   = thsend.Result{End: thpick.NotSent, Outcome: thjudge.Refused}
)

func newForwarder(answer func(ctx context.Context, number int) thsend.Result) (*thforward.Forwarder, *sender) {
	s := &sender{answer: answer}
	table := thtable.New(thtable.Document{Version: 1, Services: []thtable.Service{{Name: "s"}}})
	f := thforward.New(thforward.Options{
		View: thview.New(thview.Options{
			Self: thfleet.Identity{ID: "vm"}, Budget: thpick.BudgetRule{Window: 10 * time.Second, Slack: 56},
			Rand: rand.New(rand.NewPCG(1, 2)),
		}),
		Table: func() thtable.Table { return table }, Sender: s, Clock: thclock.System{}, Stir: func() {},
	})
	var ts []thtable.Target
	for i := range 6 {
		ts = append(ts, thtable.Target{ID: fmt.Sprint(i), Service: "s", Slots: 2})
	}
	f.SetTargets(ts)
	return f, s
}

func request(safety thtable.Safety, objective time.Duration) *thmessage.Request {
	now := thclock.System{}.Now()
	return &thmessage.Request{
		ID: "id", Objective: now.Add(objective), Deadline: now.Add(patience),
		Route: thtable.Route{
			Name: "r", Safety: safety, MaxAttempts: 2, LatencyObjectiveMillis: objective.Milliseconds(),
			Backends: []thtable.Backend{{Service: "s", Weight: 1}},
		},
	}
}

func TestWhatFollowsAnAttempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		safety thtable.Safety
		ends   []thsend.Result
		sends  int
		status int
		kind   therror.Kind
	}{
		{"an answer", thtable.AtMostOnce, []thsend.Result{good}, 1, 200, 0},
		{"a failure of a request that may run once", thtable.AtMostOnce, []thsend.Result{failed, good}, 1, 500, 0},
		{"a failure that may be repeated", thtable.Idempotent, []thsend.Result{failed, good}, 2, 200, 0},
		{"two failures", thtable.Idempotent, []thsend.Result{failed, failed, good}, 2, 500, 0},
		{"a loss of an upload", thtable.Upload, []thsend.Result{lost, good}, 1, 0, therror.AnswerLost},
		{"rejections and refused connections", thtable.AtMostOnce, []thsend.Result{rejected, unsent, good}, 3, 200, 0},
		{"rejected everywhere", thtable.AtMostOnce, []thsend.Result{rejected}, 6, 0, therror.Shed},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, s := newForwarder(func(_ context.Context, number int) thsend.Result {
				return c.ends[min(number, len(c.ends))-1]
			})
			answer, refusal := f.Run(context.Background(), request(c.safety, time.Second))
			assert.Equal(t, len(s.sends()), c.sends)
			if c.status > 0 {
				assert.Assert(t, refusal == nil)
				assert.Equal(t, answer.Status, c.status)
				return
			}
			assert.Equal(t, therror.KindOf(refusal.Err), c.kind)
		})
	}
}

func TestACallerThatLeft(t *testing.T) {
	for _, safety := range []thtable.Safety{thtable.Idempotent, thtable.AtMostOnce} {
		ctx, cancel := context.WithCancel(context.Background())
		f, s := newForwarder(func(ctx context.Context, _ int) thsend.Result {
			cancel()
			time.Sleep(50 * time.Millisecond)
			if ctx.Err() != nil {
				return lost
			}
			return good
		})
		_, refusal := f.Run(ctx, request(safety, time.Second))
		if safety == thtable.Idempotent {
			assert.Assert(t, therror.Is(refusal.Err, therror.CallerGone))
			assert.Equal(t, s.cancellations(), 1)
			continue
		}
		assert.Assert(t, refusal == nil)
		assert.Equal(t, s.cancellations(), 0)
	}
}

func TestAnAttemptThatIsOverdueIsToldBeforeItEnds(t *testing.T) {
	release := make(chan struct{})
	f, _ := newForwarder(func(context.Context, int) thsend.Result {
		<-release
		return good
	})
	done := make(chan struct{})
	go func() {
		_, refusal := f.Run(context.Background(), request(thtable.AtMostOnce, 40*time.Millisecond))
		assert.Check(t, refusal == nil)
		close(done)
	}()
	told := func() (overdue bool) {
		f.With(func(_ thclock.Instant, v *thview.View) {
			for _, e := range v.Notice().Ends {
				overdue = overdue || e.Outcome == thjudge.Overdue
			}
		})
		return overdue
	}
	for until := time.Now().Add(patience); !told(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "nothing was told")
	}
	close(release)
	<-done
}

func TestASecondAttemptBesideOneThatIsOverdue(t *testing.T) {
	for _, c := range []struct {
		name   string
		safety thtable.Safety
		second thsend.Result
		sends  int
	}{
		{"may be repeated", thtable.Idempotent, good, 2},
		{"may be repeated, and the second fails", thtable.Idempotent, failed, 2},
		{"may run once", thtable.AtMostOnce, good, 1},
		{"an upload", thtable.Upload, good, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, s := newForwarder(func(ctx context.Context, number int) thsend.Result {
				if number > 1 {
					return c.second
				}
				select {
				case <-ctx.Done():
					return lost
				case <-time.After(time.Second): // longer than until it is overdue
					return good
				}
			})
			answer, refusal := f.Run(context.Background(), request(c.safety, 40*time.Millisecond))
			assert.Assert(t, refusal == nil)
			assert.Equal(t, answer.Status, 200)
			assert.Equal(t, len(s.sends()), c.sends)
			for until := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
				inFlight := 0
				f.With(func(now thclock.Instant, v *thview.View) {
					for _, st := range v.Standings(now) {
						inFlight += st.InFlight
					}
				})
				if inFlight == 0 {
					break
				}
				assert.Assert(t, time.Now().Before(until), "%d in flight", inFlight)
			}
		})
	}
}
