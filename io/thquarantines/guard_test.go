package thquarantines_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thquarantines"
	"tamarackhollow/io/thstand"
	"tamarackhollow/io/thtarget"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

const (
	deadly = "deadly"
	// downTime is how long a dead target refuses connections.
	downTime = 300 * time.Millisecond
)

// newMortal returns a target that dies of the deadly body.
func newMortal(t *testing.T) *thstand.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m := thstand.StartTarget(l, thstand.TargetBehaviour{DiesOf: deadly, DownMillis: int(downTime.Milliseconds())}, 1)
	t.Cleanup(m.Close)
	return m
}

// fleet is some guards that tell each other what they see.
func fleet(t *testing.T, n int) []*thquarantines.Guard {
	t.Helper()
	var roster throster.Roster
	var gs []*thquarantines.Guard
	var ls []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		ls = append(ls, l)
		roster = roster.WithVM(throster.VM{ID: fmt.Sprint("vm", i), PeerAddress: l.Addr().String()})
	}
	for i, l := range ls {
		self, _ := roster.VM(fmt.Sprint("vm", i))
		g := thquarantines.New(thquarantines.Options{
			Sender: thtarget.New(thtarget.Options{Clock: thclock.System{}, Log: thevent.Discard{}}),
			Clock:  thclock.System{}, Log: thevent.Discard{}, Self: self,
			Client: thwire.NewClient(thwire.Identity{Credential: "c", From: self.ID}),
			Roster: func() throster.Roster { return roster },
		})
		s := &thwire.Server{Credential: "c"}
		g.Register(s)
		s.Start(l)
		p, err := thpool.New(8, thevent.Discard{})
		assert.NilError(t, err)
		g.Start(p)
		t.Cleanup(func() {
			p.Close()
			_ = s.Shutdown()
		})
		gs = append(gs, g)
	}
	return gs
}

func request(body string) *threquest.Request {
	return &threquest.Request{
		ID: "1", Method: "POST", URI: "/proofs", Body: []byte(body), Customer: thconfig.Customer{Name: "guild"},
		Service: thconfig.Service{Name: "proofs", Connections: 300}, Deadline: thclock.System{}.Now().Add(5 * time.Second),
	}
}

// TestKillerIsStoppedOnAllVMs has a caller send a request that kills its
// target again and again, through one VM after another.
func TestKillerIsStoppedOnAllVMs(t *testing.T) {
	gs := fleet(t, 3)
	targets := []*thstand.Target{newMortal(t), newMortal(t), newMortal(t), newMortal(t), newMortal(t), newMortal(t)}
	blamed := 0
	for i := range 12 {
		g, m := gs[i%len(gs)], targets[i%len(targets)]
		before := m.Deaths()
		a := g.Send(context.Background(), m.Address(), request(deadly))
		assert.Assert(t, a.Err != nil)
		if therror.Is(a.Err, therror.Quarantined) {
			assert.Equal(t, m.Deaths(), before)
			assert.Assert(t, !a.Sent)
			continue
		}
		if g.Died(request(deadly), m.Address()) {
			blamed++
		}
		// A resend comes after the caller's own timeout.
		time.Sleep(2 * downTime)
	}
	deaths := 0
	for _, m := range targets {
		deaths += m.Deaths()
	}
	assert.Equal(t, deaths, 3)
	assert.Assert(t, blamed >= 2, "only %d deaths were put down to the request", blamed)
	for _, g := range gs {
		assert.Assert(t, therror.Is(g.Check(request(deadly)), therror.Quarantined))
		assert.NilError(t, g.Check(request("harmless")))
		a := g.Send(context.Background(), targets[5].Address(), request("harmless"))
		assert.NilError(t, a.Err)
	}
}

// cutter is a sender whose attempts are cut, though its targets live.
type cutter struct{ err error }

func (c cutter) Send(_ context.Context, target string, _ *threquest.Request) threquest.Attempt {
	return threquest.Attempt{Target: target, Sent: true, Err: c.err}
}

func TestCutsWithoutDeathsAreNotEnough(t *testing.T) {
	live := newMortal(t)
	for _, err := range []error{
		therror.New(therror.AnswerLost, "cut"),
		therror.New(therror.AnswerLate, "late"),
		therror.Wrap(therror.AnswerBroken, errors.New("short"), ""),
	} {
		g := thquarantines.New(thquarantines.Options{Sender: cutter{err}, Clock: thclock.System{}, Log: thevent.Discard{}})
		p, poolErr := thpool.New(4, thevent.Discard{})
		assert.NilError(t, poolErr)
		g.Start(p)
		for range 20 {
			a := g.Send(context.Background(), live.Address(), request("slow"))
			assert.Equal(t, a.Err, err)
		}
		assert.Assert(t, !g.Died(request("slow"), live.Address()))
		p.Close()
	}
}
