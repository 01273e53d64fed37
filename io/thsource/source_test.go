package thsource_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thsource"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

// patience bounds every wait of these tests; it is reached only by a failure.
const patience = 15 * time.Second

// store is a store whose answers the test sets.
type store struct {
	mu    sync.Mutex
	list  thtable.TargetList
	table thtable.Document
	down  bool
	reads int
}

func (s *store) set(change func(s *store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.list.Version++
}

func (s *store) Table(ctx context.Context, after uint64, wait time.Duration) (thtable.Document, error) {
	s.mu.Lock()
	d, down := s.table, s.down
	s.mu.Unlock()
	if down {
		return d, therror.New(therror.StoreUnavailable, "down")
	}
	if d.Version <= after {
		select {
		case <-ctx.Done():
		case <-time.After(min(wait, 50*time.Millisecond)):
		}
	}
	return d, nil
}

func (s *store) Targets(context.Context) (thtable.TargetList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return thtable.TargetList{}, therror.New(therror.StoreUnavailable, "down")
	}
	return s.list, nil
}

func (s *store) Join(context.Context, thfleet.Identity) ([]thfleet.Identity, error) { return nil, nil }
func (s *store) Leave(context.Context, thfleet.Identity) error                      { return nil }

// fleet is a fleet whose readings the test sets.
type fleet struct {
	mu     sync.Mutex
	should bool
	ahead  thfleet.Identity
}

func (f *fleet) Duty() thfleet.Duty {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.should {
		return thfleet.Read
	}
	return thfleet.Follow
}

func (f *fleet) ReadElsewhere() bool { return false }

func (f *fleet) read(should bool) {
	f.mu.Lock()
	f.should = should
	f.mu.Unlock()
}

func (f *fleet) Ahead(thfleet.Reading) (thfleet.Identity, bool) { return f.ahead, f.ahead.ID != "" }
func (f *fleet) Introduce([]thfleet.Identity)                   {}
func (f *fleet) Tell(thfleet.Reading, bool)                     {}

func targets(ids ...string) []thtable.Target {
	ts := make([]thtable.Target, 0, len(ids))
	for _, id := range ids {
		ts = append(ts, thtable.Target{ID: id})
	}
	return ts
}

type rig struct {
	store  *store
	fleet  *fleet
	source *thsource.Source
	mu     sync.Mutex
	known  []thtable.Target
}

func newRig(t *testing.T) *rig {
	t.Helper()
	g := &rig{store: &store{}, fleet: &fleet{should: true}}
	g.store.set(func(s *store) { s.list.Targets, s.table.Version = targets("a", "b"), 1 })
	g.source = thsource.New(thsource.Options{
		Store: g.store, Fleet: g.fleet, Client: thwire.NewClient(thwire.ClientOptions{Credential: "credential"}), Log: thevent.Discard{},
		ApplyTable: func(thtable.Table) {},
		ApplyTargets: func(ts []thtable.Target) {
			g.mu.Lock()
			g.known = ts
			g.mu.Unlock()
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		g.source.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	g.await(t, 2)
	return g
}

func (g *rig) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.known)
}

// await waits until that many targets are known.
func (g *rig) await(t *testing.T, n int) {
	t.Helper()
	for until := time.Now().Add(patience); g.count() != n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d targets are known, not %d", g.count(), n)
		}
	}
}

func TestARemovedTargetIsGoneAtOnceForAVMThatDidNotReadForLong(t *testing.T) {
	g := newRig(t)
	g.fleet.read(false)
	time.Sleep(2500 * time.Millisecond) // longer than any outage that keeps targets
	g.store.set(func(s *store) { s.list.Targets = targets("a") })
	began := time.Now()
	g.fleet.read(true)
	g.await(t, 1)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

func TestTargetsThatLapsedDuringAnOutageAreKeptForAWhile(t *testing.T) {
	g := newRig(t)
	g.store.set(func(s *store) { s.down = true })
	time.Sleep(2500 * time.Millisecond)
	g.store.set(func(s *store) { s.down, s.list.Targets = false, targets("b", "c") })
	g.await(t, 3) // c is taken in, a is kept
	g.store.set(func(s *store) { s.list.Targets = targets("b") })
	g.await(t, 1) // a has not come back, c was never missing during the outage
}

func TestAVMThatDoesNotReadCallsTheStoreNoMore(t *testing.T) {
	g := newRig(t)
	g.fleet.read(false)
	time.Sleep(time.Second)
	g.store.set(func(s *store) { s.reads = 0 })
	time.Sleep(time.Second)
	g.store.set(func(s *store) { assert.Equal(t, s.reads, 0) })
}
