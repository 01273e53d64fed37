package thagree_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/thstore"
	"tamarackhollow/core/thstore/thstoretest"
	"tamarackhollow/io/thagree"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thwire"
)

// steppedClock is the system's clock with a wall reading that can be stepped,
// as it is seen after a suspension.
type steppedClock struct{ ahead atomic.Int64 }

func (c *steppedClock) Now() thclock.Instant {
	n := thclock.System{}.Now()
	n.Wall += time.Duration(c.ahead.Load())
	return n
}

// oddVM starts a VM whose own parts can be made faulty.
func oddVM(t *testing.T, platform thstore.Platform, client string, clock thclock.Clock, seed string) *vm {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := throster.VM{ID: "odd", PeerAddress: l.Addr().String(), Zone: "a", Incarnation: 1}
	pool, err := thpool.New(16, thevent.Discard{})
	assert.NilError(t, err)
	m := &vm{server: &thwire.Server{Credential: credential}, pool: pool, self: self}
	m.Agreement = thagree.New(thagree.Options{
		Self: self, Platform: platform, Clock: clock, Seeds: []string{seed},
		Client: thwire.NewClient(thwire.Identity{Credential: client, From: self.ID, Incarnation: 1}),
	})
	m.Register(m.server)
	m.server.Start(l)
	m.Start(pool)
	t.Cleanup(m.stop)
	return m
}

// own is a VM's own view of the platform, which can be cut.
type own struct {
	thstore.Platform
	cut atomic.Bool
}

func (o *own) ReadRow(ctx context.Context, key string) (thstore.Row, error) {
	if o.cut.Load() {
		return thstore.Row{}, therror.New(therror.StoreUnavailable, "cut")
	}
	return o.Platform.ReadRow(ctx, key)
}

func TestWokenVMRefusesBeforeItServes(t *testing.T) {
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 2)
	var clock steppedClock
	m := oddVM(t, &platform, credential, &clock, vms[0].self.PeerAddress)
	eventually(t, "the start", m.Ready)
	clock.ahead.Store(int64(time.Minute))
	assert.Assert(t, therror.Is(m.CheckFresh(), therror.NotFresh))
	eventually(t, "the return", m.Ready)
}

// TestVMThatOnlyHearsRefuses has a VM that gets what others bring it, while
// nothing that it asks arrives: it cannot know that nothing is withheld.
func TestVMThatOnlyHearsRefuses(t *testing.T) {
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 3)
	cut := &own{Platform: &platform}
	m := oddVM(t, cut, "wrong", thclock.System{}, vms[0].self.PeerAddress)
	eventually(t, "joining", func() bool { return vms[0].Roster().Len() == 4 && m.Ready() })
	cut.cut.Store(true)
	r, err := vms[0].Apply(context.Background(), "one", 0, template("t"))
	assert.NilError(t, err)
	assert.Equal(t, r.State, thagree.Accepted)
	eventually(t, "the news", func() bool { return m.Config().Version() >= r.Version })
	eventually(t, "the refusal", func() bool { return therror.Is(m.CheckFresh(), therror.NotFresh) })
}

// TestVMThatOnlyAsksServes has a VM that nobody reaches, and that asks.
func TestVMThatOnlyAsksServes(t *testing.T) {
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 3)
	cut := &own{Platform: &platform}
	m := oddVM(t, cut, credential, thclock.System{}, vms[0].self.PeerAddress)
	eventually(t, "joining", func() bool { return vms[0].Roster().Len() == 4 && m.Ready() })
	assert.NilError(t, m.server.Shutdown())
	cut.cut.Store(true)
	r, err := vms[0].Apply(context.Background(), "one", 0, template("t"))
	assert.NilError(t, err)
	assert.Equal(t, r.State, thagree.Accepted)
	eventually(t, "the news", func() bool { return m.Config().Version() >= r.Version && m.Ready() })
}

// TestHalfAStoreIsNoWorseThanNone has a store that reads and does not write,
// and then one that reads the head alone.
func TestHalfAStoreIsNoWorseThanNone(t *testing.T) {
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 3)
	before := vms[0].Config().Version()
	platform.SetFault(func(call, _ string) thstoretest.Fault {
		if call == "Commit" {
			return thstoretest.Down
		}
		return thstoretest.Works
	})
	_, err := vms[0].Apply(context.Background(), "one", 0, template("t"))
	assert.Assert(t, therror.Is(err, therror.StoreUnavailable), "%v", err)
	assert.Assert(t, all(vms, func(m *vm) bool { return m.Ready() && m.Config().Version() == before }))
	platform.SetFault(func(call, key string) thstoretest.Fault {
		if call == "ReadRow" && key == "config/head" {
			return thstoretest.Works
		}
		return thstoretest.Down
	})
	_, err = vms[1].Apply(context.Background(), "two", 0, template("t"))
	assert.Assert(t, therror.Is(err, therror.StoreUnavailable), "%v", err)
	assert.Assert(t, all(vms, func(m *vm) bool { return m.Ready() }))
}

// hanging is a platform none of whose calls is answered in time.
type hanging struct {
	thstore.Platform
	on atomic.Bool
}

func (h *hanging) wait(ctx context.Context) error {
	if !h.on.Load() {
		return nil
	}
	<-ctx.Done()
	return therror.Wrap(therror.StoreUnavailable, ctx.Err(), "no answer in time")
}

func (h *hanging) ReadRow(ctx context.Context, key string) (thstore.Row, error) {
	if err := h.wait(ctx); err != nil {
		return thstore.Row{}, err
	}
	return h.Platform.ReadRow(ctx, key)
}

func (h *hanging) ListVMs(ctx context.Context) ([]thstore.VM, error) {
	if err := h.wait(ctx); err != nil {
		return nil, err
	}
	return h.Platform.ListVMs(ctx)
}

func TestStoreThatHangsIsNoWorseThanNone(t *testing.T) {
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 3)
	slow := &hanging{Platform: &platform}
	m := oddVM(t, slow, credential, thclock.System{}, vms[0].self.PeerAddress)
	eventually(t, "joining", func() bool { return vms[0].Roster().Len() == 4 && m.Ready() })
	slow.on.Store(true)
	platform.SetDown(true)
	_, err := m.Apply(context.Background(), "one", 0, template("t"))
	assert.Assert(t, therror.Is(err, therror.StoreUnavailable), "%v", err)
	time.Sleep(throster.FreshFor)
	assert.Assert(t, m.Ready())
}

// late is a platform whose reads of the head take longer than freshness lasts,
// by the VM's wall clock.
type late struct {
	thstore.Platform
	clock *steppedClock
	reads atomic.Int64
	on    atomic.Bool
}

func (l *late) ReadRow(ctx context.Context, key string) (thstore.Row, error) {
	if l.on.Load() && key == "config/head" {
		l.clock.ahead.Add(int64(throster.FreshFor))
		l.reads.Add(1)
	}
	return l.Platform.ReadRow(ctx, key)
}

func TestHeadReadCountsFromWhenItWasSent(t *testing.T) {
	var clock steppedClock
	slow := &late{Platform: &thstoretest.Fake{}, clock: &clock}
	m := oddVM(t, slow, credential, &clock, "127.0.0.1:1")
	eventually(t, "the start", m.Ready)
	slow.on.Store(true)
	eventually(t, "late reads", func() bool { return slow.reads.Load() >= 3 })
	assert.Assert(t, therror.Is(m.CheckFresh(), therror.NotFresh))
}

func TestChangeThatDoesNotCheckStoresNothing(t *testing.T) {
	var platform thstoretest.Fake
	vms := startFleet(t, &platform, 1)
	before := vms[0].Config().Version()
	_, err := vms[0].Apply(context.Background(), "bad", 0, thconfig.WithdrawKey{ID: "none"})
	assert.Assert(t, therror.Is(err, therror.ChangeInvalid), "%v", err)
	assert.ErrorContains(t, err, "key none: no such key")
	row, err := platform.ReadRow(context.Background(), "config/id/bad")
	assert.NilError(t, err)
	assert.Equal(t, row.Version, uint64(0))
	assert.Equal(t, vms[0].Config().Version(), before)
}
