package thgrant_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thlimit"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thgrant"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thwire"
)

const credential = "peer"

// shiftedClock is the system's clock, set forward by a test.
type shiftedClock struct{ ahead atomic.Int64 }

func (c *shiftedClock) Now() thclock.Instant {
	return thclock.System{}.Now().Add(time.Duration(c.ahead.Load()))
}

// rig is some limiters that talk over loopback.
type rig struct {
	clock    shiftedClock
	roster   atomic.Pointer[throster.Roster]
	config   atomic.Pointer[thconfig.Config]
	stale    atomic.Bool
	pool     *thpool.Pool
	limiters []*thgrant.Limiter
	servers  []*thwire.Server
}

func newRig(t *testing.T, vms int, us ...thconfig.Customer) *rig {
	t.Helper()
	g := &rig{}
	c := configWith(t, us...)
	g.config.Store(&c)
	pool, err := thpool.New(64, thevent.Discard{})
	assert.NilError(t, err)
	t.Cleanup(pool.Close)
	g.pool = pool
	var r throster.Roster
	g.roster.Store(&r)
	vs := make([]throster.VM, vms)
	for i := range vs {
		vs[i] = g.start(t)
	}
	first := throster.NewRoster(1, vs)
	g.roster.Store(&first)
	return g
}

// start brings up one more VM, outside the roster.
func (g *rig) start(t *testing.T) throster.VM {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	i := len(g.limiters)
	v := throster.VM{ID: fmt.Sprintf("vm%02d", i), PeerAddress: l.Addr().String(), Zone: string(rune('a' + i%3)), Incarnation: 1}
	m := thgrant.New(thgrant.Options{
		Self: v, Clock: &g.clock,
		Roster:     func() throster.Roster { return *g.roster.Load() },
		Config:     func() thconfig.Config { return *g.config.Load() },
		CheckFresh: g.checkFresh,
		Client:     thwire.NewClient(thwire.Identity{Credential: credential, From: v.ID, Incarnation: v.Incarnation}),
	})
	s := &thwire.Server{Credential: credential}
	m.Register(s)
	s.Start(l)
	t.Cleanup(func() { _ = s.Shutdown() })
	m.Start(g.pool)
	g.limiters = append(g.limiters, m)
	g.servers = append(g.servers, s)
	return v
}

func (g *rig) checkFresh() error {
	if g.stale.Load() {
		return therror.New(therror.NotFresh, "stale")
	}
	return nil
}

func configWith(t *testing.T, us ...thconfig.Customer) thconfig.Config {
	t.Helper()
	var c thconfig.Config
	change := thconfig.PutDeployment{Deployment: thconfig.Deployment{Name: "cordial"}, Customers: us}
	r, err := thconfig.NextRecord(c, "change", change)
	assert.NilError(t, err)
	c, err = c.WithRecord(r)
	assert.NilError(t, err)
	return c
}

// forward sets the clock forward and waits until the limiters have noticed.
func (g *rig) forward(d time.Duration) {
	g.clock.ahead.Add(int64(d))
	seen := make([]uint64, len(g.limiters))
	for i, m := range g.limiters {
		seen[i] = m.Stats().Follows
	}
	for i, m := range g.limiters {
		for m.Stats().Follows < seen[i]+2 {
			time.Sleep(time.Millisecond)
		}
	}
}

// admit sends requests round the limiters and returns how many were admitted.
func (g *rig) admit(t *testing.T, u thconfig.Customer, requests int) int {
	t.Helper()
	n := 0
	for i := range requests {
		err := g.limiters[i%len(g.limiters)].Admit(t.Context(), u)
		if err == nil {
			n++
			continue
		}
		assert.Assert(t, therror.Is(err, therror.OverLimit), "%v", err)
	}
	return n
}

const slowRate = 0.001

func TestBurstHoldsOverAllVMs(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Rate: slowRate, Burst: 30}
	g := newRig(t, 5, u)
	waitUntilHome(t, g, u)
	g.forward(24 * time.Hour)
	assert.Equal(t, g.admit(t, u, 60), 30)
}

// waitUntilHome lets the takeover wait go by, after each limiter has taken up
// the roster.
func waitUntilHome(t *testing.T, g *rig, u thconfig.Customer) {
	t.Helper()
	for _, m := range g.limiters {
		for m.Stats().Roster == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	err := g.limiters[0].Admit(t.Context(), u)
	assert.Assert(t, therror.Is(err, therror.LimitUnavailable), "%v", err)
	g.forward(thlimit.TakeoverWait(throster.FreshFor) + time.Second)
}

func TestStaleHomeGivesNothing(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Rate: slowRate, Burst: 30}
	g := newRig(t, 3, u)
	waitUntilHome(t, g, u)
	g.forward(24 * time.Hour)
	g.stale.Store(true)
	err := g.limiters[0].Admit(t.Context(), u)
	assert.Assert(t, therror.Is(err, therror.LimitUnavailable), "%v", err)
	g.stale.Store(false)
	g.forward(time.Second)
	assert.NilError(t, g.limiters[0].Admit(t.Context(), u))
}

func TestAdmitEndsWithItsContext(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Rate: slowRate, Burst: 30}
	g := newRig(t, 3, u)
	waitUntilHome(t, g, u)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, m := range g.limiters {
		err := m.Admit(ctx, u)
		assert.Assert(t, err == nil || therror.Is(err, therror.LimitUnavailable) || therror.Is(err, therror.OverLimit), "%v", err)
	}
}
