package thbalance_test

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/throute"
	"tamarackhollow/io/thbalance"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thwire"
)

// peer is one VM's forwarder with a listener for peers on loopback.
func peer(t *testing.T, id string, c thconfig.Config, roster func() throster.Roster, send senderFunc) (*thbalance.Forwarder, throster.VM) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := throster.VM{ID: id, PeerAddress: l.Addr().String(), Zone: "a", Incarnation: 1}
	f := thbalance.New(thbalance.Options{
		Self: self, Roster: roster, Config: func() thconfig.Config { return c }, Sender: send,
		Client: thwire.NewClient(thwire.Identity{Credential: "c", From: id, Incarnation: 1}),
		Rand:   rand.New(rand.NewPCG(1, 2)),
	})
	s := &thwire.Server{Credential: "c"}
	f.Register(s)
	s.Start(l)
	t.Cleanup(func() { _ = s.Shutdown() })
	p, err := thpool.New(8, thevent.Discard{})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	f.Start(p)
	return f, self
}

// TestLeavingIsToldToPeers: a VM that sends a target nothing learns from
// another that the target is leaving, and asks the target itself.
func TestLeavingIsToldToPeers(t *testing.T) {
	s := service(3)
	c := config(t, s)
	leaving := s.Targets[0].Address
	send := func(_ context.Context, target string, q *threquest.Request) threquest.Attempt {
		now := thclock.System{}.Now()
		a := threquest.Attempt{Target: target, Sent: true, Answer: &threquest.Answer{Status: 200}, Began: now, Ended: now}
		if target == leaving {
			a.Answer.Headers = []threquest.Header{{Name: throute.HeaderState, Value: throute.StateLeaving}}
			if q.URI == "/health" {
				a.Answer = &threquest.Answer{Status: 200, Body: []byte(`{"status":"leaving","load":0}`)}
			}
		}
		return a
	}
	var vms []throster.VM
	ready := make(chan struct{})
	roster := func() throster.Roster {
		select {
		case <-ready:
			return throster.NewRoster(1, vms)
		default:
			return throster.Roster{}
		}
	}
	one, a := peer(t, "vm1", c, roster, send)
	two, b := peer(t, "vm2", c, roster, send)
	vms = []throster.VM{a, b}
	close(ready)
	forward := func(f *thbalance.Forwarder) {
		q := request(s, "GET", "depot")
		q.Deadline = thclock.System{}.Now().Add(time.Minute)
		_, err := f.Forward(t.Context(), q)
		assert.NilError(t, err)
	}
	for range 30 {
		forward(one)
	}
	forward(two)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if rows := two.Status(); len(rows) > 0 && rows[0].State == throute.StateLeaving {
			return poll.Success()
		}
		return poll.Continue("%+v", two.Status())
	}, poll.WithTimeout(20*time.Second))
}

// TestDeadlineAndCancelReachTheSender: an attempt ends with the caller's
// deadline, and at once when the caller goes away.
func TestDeadlineAndCancelReachTheSender(t *testing.T) {
	s := service(2)
	send := func(ctx context.Context, target string, _ *threquest.Request) threquest.Attempt {
		began := bubbleClock{}.Now()
		<-ctx.Done()
		return threquest.Attempt{Target: target, Sent: true, Err: therror.New(therror.AnswerLate, "late"), Began: began, Ended: bubbleClock{}.Now()}
	}
	synctest.Test(t, func(t *testing.T) {
		f := forwarder(t, s, send)
		began := time.Now()
		_, err := f.Forward(t.Context(), request(s, "POST", "depot"))
		assert.Assert(t, therror.Is(err, therror.AnswerLate), "%v", err)
		assert.Equal(t, time.Since(began), s.Timeout())

		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		began = time.Now()
		_, err = f.Forward(ctx, request(s, "POST", "depot"))
		assert.Assert(t, therror.Is(err, therror.CallerGone), "%v", err)
		assert.Equal(t, time.Since(began), time.Second)
	})
}

// blamed blames every death on the request.
type blamed struct{}

func (blamed) Died(*threquest.Request, string) bool { return true }

// TestBlamedDeathsEjectNobody: deaths for which a request is to blame are no
// evidence against the targets it ran on.
func TestBlamedDeathsEjectNobody(t *testing.T) {
	for _, c := range []struct {
		name  string
		blame thbalance.Blame
		state string
	}{{"blamed", blamed{}, "healthy"}, {"not blamed", nil, "ejected"}} {
		t.Run(c.name, func(t *testing.T) {
			s := service(4)
			victim := s.Targets[0].Address
			synctest.Test(t, func(t *testing.T) {
				f := forwarder(t, s, func(_ context.Context, target string, q *threquest.Request) threquest.Attempt {
					if target != victim || q.URI == "/health" {
						return answer(target, 200, time.Millisecond)
					}
					now := bubbleClock{}.Now()
					return threquest.Attempt{Target: target, Sent: true, Err: therror.New(therror.AnswerLost, "died"), Began: now, Ended: now}
				})
				f.Blame = c.blame
				for range 100 {
					_, _ = f.Forward(t.Context(), request(s, "POST", "depot"))
					time.Sleep(10 * time.Millisecond)
				}
				assert.Equal(t, f.Status()[0].State, c.state)
			})
		})
	}
}
