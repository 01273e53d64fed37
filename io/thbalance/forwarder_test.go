package thbalance_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/throute"
	"tamarackhollow/io/thbalance"
	"tamarackhollow/io/thpool"
)

// bubbleClock counts from the beginning of a synctest bubble's time.
type bubbleClock struct{}

var bubbleOrigin = time.Date(1999, 12, 31, 0, 0, 0, 0, time.UTC)

func (bubbleClock) Now() thclock.Instant { return thclock.At(time.Since(bubbleOrigin)) }

// senderFunc makes an attempt out of a function.
type senderFunc func(ctx context.Context, target string, q *threquest.Request) threquest.Attempt

func (f senderFunc) Send(ctx context.Context, target string, q *threquest.Request) threquest.Attempt {
	return f(ctx, target, q)
}

func service(targets int) thconfig.Service {
	s := thconfig.Service{Name: "inventory", Slots: 2, Connections: 300, Floor: 0.5, TimeoutMillis: 2000, ShedStatus: 503}
	for i := range targets {
		s.Targets = append(s.Targets, thconfig.Target{Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "a"})
	}
	return s
}

func config(t *testing.T, s thconfig.Service) thconfig.Config {
	t.Helper()
	var c thconfig.Config
	r, err := thconfig.NextRecord(c, "first", thconfig.PutDeployment{Deployment: thconfig.Deployment{
		Name: "cordial", Services: []thconfig.Service{s},
		Routes: []thconfig.Route{{Name: "stock", Prefix: "/stock", Service: s.Name}},
	}})
	assert.NilError(t, err)
	c, err = c.WithRecord(r)
	assert.NilError(t, err)
	return c
}

func request(s thconfig.Service, method, customer string) *threquest.Request {
	return &threquest.Request{
		ID: "1", Customer: thconfig.Customer{Name: customer}, Service: s, Method: method, URI: "/stock/1",
		Route: thconfig.Route{Name: "stock"}, Deadline: bubbleClock{}.Now().Add(s.Timeout()),
	}
}

func answer(target string, status int, took time.Duration) threquest.Attempt {
	began := bubbleClock{}.Now()
	time.Sleep(took)
	return threquest.Attempt{
		Target: target, Sent: true, Answer: &threquest.Answer{Status: status, Target: target},
		Began: began, Ended: bubbleClock{}.Now(),
	}
}

func forwarder(t *testing.T, s thconfig.Service, send senderFunc) *thbalance.Forwarder {
	t.Helper()
	c := config(t, s)
	f := thbalance.New(thbalance.Options{
		Self:   throster.VM{ID: "vm1", Incarnation: 1},
		Config: func() thconfig.Config { return c },
		Sender: send,
		Clock:  bubbleClock{},
		Rand:   rand.New(rand.NewPCG(1, 2)),
	})
	p, err := thpool.New(4, thevent.Discard{})
	assert.NilError(t, err)
	f.Start(p)
	t.Cleanup(p.Close)
	return f
}

func TestForwardAnswers(t *testing.T) {
	s := service(3)
	send := func(_ context.Context, target string, _ *threquest.Request) threquest.Attempt {
		return answer(target, 200, time.Millisecond)
	}
	synctest.Test(t, func(t *testing.T) {
		f := forwarder(t, s, send)
		a, err := f.Forward(t.Context(), request(s, "POST", "depot"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		assert.Equal(t, a.Attempts, 1)
	})
}

func TestFailingTargetIsEjectedAndGetsLittleWork(t *testing.T) {
	s := service(4)
	bad := s.Targets[0].Address
	sent := 0
	send := func(_ context.Context, target string, q *threquest.Request) threquest.Attempt {
		if q.URI == "/health" {
			return answer(target, 200, time.Millisecond)
		}
		if target == bad {
			sent++
			return answer(target, 500, time.Millisecond)
		}
		return answer(target, 200, time.Millisecond)
	}
	synctest.Test(t, func(t *testing.T) {
		f := forwarder(t, s, send)
		for range 200 {
			_, err := f.Forward(t.Context(), request(s, "GET", "depot"))
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, f.Status()[0].State, "ejected")
		before := sent
		for range 200 {
			_, err := f.Forward(t.Context(), request(s, "GET", "depot"))
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, sent, before)
	})
}

func TestUnsafeRequestIsSentOnceUnlessSurelyNotRun(t *testing.T) {
	s := service(3)
	for _, c := range []struct {
		name  string
		sent  bool
		kind  therror.Kind
		sends int
	}{
		{"nothing left", false, therror.ConnectFailed, 3},
		{"something left", true, therror.AnswerLost, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			sends := 0
			send := func(_ context.Context, target string, _ *threquest.Request) threquest.Attempt {
				sends++
				now := bubbleClock{}.Now()
				return threquest.Attempt{Target: target, Sent: c.sent, Err: therror.New(c.kind, "gone"), Began: now, Ended: now}
			}
			synctest.Test(t, func(t *testing.T) {
				f := forwarder(t, s, send)
				_, err := f.Forward(t.Context(), request(s, "POST", "depot"))
				assert.Assert(t, therror.Is(err, c.kind), "%v", err)
				assert.Equal(t, sends, c.sends)
			})
		})
	}
}

func TestShedIsNotHeldAgainstTheTarget(t *testing.T) {
	s := service(3)
	busy := s.Targets[1].Address
	send := func(_ context.Context, target string, _ *threquest.Request) threquest.Attempt {
		if target == busy {
			return answer(target, 503, time.Millisecond)
		}
		return answer(target, 200, time.Millisecond)
	}
	synctest.Test(t, func(t *testing.T) {
		f := forwarder(t, s, send)
		for range 300 {
			_, err := f.Forward(t.Context(), request(s, "POST", "depot"))
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, f.Status()[1].State, "healthy")
	})
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	s := service(3)
	leaving := s.Targets[2].Address
	late := 0
	var f0 time.Time
	send := func(_ context.Context, target string, q *threquest.Request) threquest.Attempt {
		a := answer(target, 200, time.Millisecond)
		if target == leaving && q.URI != "/health" {
			if time.Since(f0) > time.Second {
				late++
			}
			a.Answer.Headers = []threquest.Header{{Name: throute.HeaderState, Value: throute.StateLeaving}}
		}
		return a
	}
	synctest.Test(t, func(t *testing.T) {
		f := forwarder(t, s, send)
		f0 = time.Now()
		for range 400 {
			_, err := f.Forward(t.Context(), request(s, "GET", "depot"))
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, late, 0)
		assert.Equal(t, f.Status()[2].State, throute.StateLeaving)
	})
}

func TestWaitingRequestIsRefusedAtItsDeadline(t *testing.T) {
	s := service(1)
	s.Slots = 1
	send := func(ctx context.Context, target string, _ *threquest.Request) threquest.Attempt {
		now := bubbleClock{}.Now()
		<-ctx.Done()
		return threquest.Attempt{Target: target, Sent: true, Err: therror.New(therror.AnswerLate, "late"), Began: now, Ended: bubbleClock{}.Now()}
	}
	synctest.Test(t, func(t *testing.T) {
		f := forwarder(t, s, send)
		done := make(chan error, 1)
		long := request(s, "POST", "depot")
		long.Deadline = long.Deadline.Add(time.Hour)
		go func() {
			_, err := f.Forward(t.Context(), long)
			done <- err
		}()
		synctest.Wait()
		began := time.Now()
		_, err := f.Forward(t.Context(), request(s, "POST", "depot"))
		assert.Assert(t, therror.Is(err, therror.QueueTimeout), "%v", err)
		assert.Equal(t, time.Since(began), 2*time.Second)
		assert.Assert(t, therror.Is(<-done, therror.AnswerLate))
	})
}
