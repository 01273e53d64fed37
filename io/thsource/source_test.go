package thsource_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thsource"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

// testTimeout bounds every wait of these tests; only a failing test reaches it.
const testTimeout = 15 * time.Second

// fakeStore is a Store whose answers the test sets.
type fakeStore struct {
	mu    sync.Mutex
	list  thtable.TargetList
	table thtable.Document
	down  bool
	// reads counts the calls of Targets, and polls those of Table.
	reads, polls int
	// readTime is how long Targets takes.
	readTime time.Duration
	// silent lets the current and later calls of Table wait for their deadline, and dark
	// those of Targets too.
	silent, dark bool
}

// set changes the store's answers and raises the version of the list of targets.
func (s *fakeStore) set(change func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.list.Version++
}

func (s *fakeStore) Table(ctx context.Context, after uint64, wait time.Duration) (thtable.Document, error) {
	s.mu.Lock()
	d, down, silent := s.table, s.down, s.silent || s.dark
	s.polls++
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return d, therror.New(therror.StoreUnavailable, "no answer")
	}
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

func (s *fakeStore) Targets(ctx context.Context) (thtable.TargetList, error) {
	s.mu.Lock()
	readTime, dark := s.readTime, s.dark
	s.mu.Unlock()
	if dark {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Second) // as the platform's client does
		defer cancel()
		readTime = testTimeout
	}
	select {
	case <-ctx.Done():
		return thtable.TargetList{}, therror.New(therror.StoreUnavailable, "no answer")
	case <-time.After(readTime):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return thtable.TargetList{}, therror.New(therror.StoreUnavailable, "down")
	}
	return s.list, nil
}

func (s *fakeStore) Join(context.Context, thfleet.Identity) ([]thfleet.Identity, error) {
	return nil, nil
}

func (s *fakeStore) Leave(context.Context, thfleet.Identity) error { return nil }

func (s *fakeStore) Era() uint64 { return 0 }

// fakeFleet is a Fleet in which the test sets whether this VM is the reader.
type fakeFleet struct {
	mu     sync.Mutex
	reader bool
	// newer are the VMs that may hold the versions announced.
	newer     []thfleet.Identity
	announced thfleet.StoreVersions
	joined    bool
	// random are the VMs that RandomPeers returns.
	random []thfleet.Identity
}

func (f *fakeFleet) Role() thfleet.Role {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reader {
		return thfleet.Reader
	}
	return thfleet.Follower
}

func (f *fakeFleet) NoteEra(uint64) thclock.Instant { return thclock.System{}.Now() }

func (f *fakeFleet) LeavingTargets() []thfleet.LeavingTarget { return nil }

func (f *fakeFleet) NoteLeaving([]thfleet.LeavingTarget) {}

func (f *fakeFleet) RoleBasis() thfleet.RoleBasis          { return thfleet.RoleBasis{} }
func (f *fakeFleet) IsRelayDue(thfleet.StoreVersions) bool { return false }

// announce says that the VMs hold the versions.
func (f *fakeFleet) announce(versions thfleet.StoreVersions, vms ...thfleet.Identity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newer, f.announced = vms, versions
}

func (f *fakeFleet) setReader(reader bool) {
	f.mu.Lock()
	f.reader = reader
	f.mu.Unlock()
}

func (f *fakeFleet) FetchOrder(have thfleet.StoreVersions) []thfleet.Identity {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.announced.IsNewerThan(have) {
		return nil
	}
	return f.newer
}
func (f *fakeFleet) RecordPeers([]thfleet.Identity) {}
func (f *fakeFleet) NotePeer(thfleet.Identity)      {}
func (f *fakeFleet) MarkJoined() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.joined = true
}

func (f *fakeFleet) IsJoined() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.joined
}

func (f *fakeFleet) Roster() ([]thfleet.Identity, bool)                             { return nil, true }
func (f *fakeFleet) ZoneRank() int                                                  { return 0 }
func (f *fakeFleet) RandomPeers(int) []thfleet.Identity                             { return f.random }
func (f *fakeFleet) AnnounceVersions(thfleet.StoreVersions, thfleet.ReadAges, bool) {}

func targets(ids ...string) []thtable.Target {
	ts := make([]thtable.Target, 0, len(ids))
	for _, id := range ids {
		ts = append(ts, thtable.Target{ID: id})
	}
	return ts
}

// fixture is a running source with a fake store and a fake fleet.
type fixture struct {
	store  *fakeStore
	fleet  *fakeFleet
	source *thsource.Source
	mu     sync.Mutex
	// applied are the targets that the source applied last.
	applied []thtable.Target
}

// newFixture starts a source that is the reader of a store with the targets a and
// b, and waits until it has applied them.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	g := &fixture{store: &fakeStore{}, fleet: &fakeFleet{reader: true}}
	g.store.set(func(s *fakeStore) { s.list.Targets, s.table.Version = targets("a", "b"), 1 })
	g.source = thsource.New(thsource.Options{
		Store: g.store, Fleet: g.fleet, Client: thwire.NewClient(thwire.ClientOptions{Credential: "credential"}), Log: thevent.Discard{},
		ApplyTable: func(thtable.Table) {},
		ApplyTargets: func(ts []thtable.Target) {
			g.mu.Lock()
			g.applied = ts
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
	g.waitForTargets(t, 2)
	return g
}

func (g *fixture) targetCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.applied)
}

// waitForTargets waits until the source has applied a list of n targets.
func (g *fixture) waitForTargets(t *testing.T, n int) {
	t.Helper()
	for until := time.Now().Add(testTimeout); g.targetCount() != n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d targets are applied, want %d", g.targetCount(), n)
		}
	}
}

// A long list from a slow store takes several calls and seconds.
func TestLongListFromSlowStoreIsApplied(t *testing.T) {
	g := newFixture(t)
	g.store.set(func(s *fakeStore) { s.list.Targets, s.readTime = targets("a", "b", "c"), 2*time.Second })
	g.waitForTargets(t, 3)
}

// A VM that has not read for long and becomes the reader must not mistake that
// gap for an outage of the store, after which it would keep removed targets.
func TestNewReaderDropsRemovedTargetAtOnce(t *testing.T) {
	g := newFixture(t)
	g.fleet.setReader(false)
	time.Sleep(2500 * time.Millisecond) // longer than the shortest outage after which targets are kept
	g.store.set(func(s *fakeStore) { s.list.Targets = targets("a") })
	startedAt := time.Now()
	g.fleet.setReader(true)
	g.waitForTargets(t, 1)
	assert.Assert(t, time.Since(startedAt) < 2*time.Second)
}

// Targets cannot renew their entries while the store is down. Those that expired
// must not be dropped before they had time to be listed again.
func TestTargetsExpiredDuringOutageAreKeptForAWhile(t *testing.T) {
	g := newFixture(t)
	g.store.set(func(s *fakeStore) { s.down = true })
	time.Sleep(2500 * time.Millisecond)
	g.store.set(func(s *fakeStore) { s.down, s.list.Targets = false, targets("b", "c") })
	g.waitForTargets(t, 3) // c is added, a is kept
	g.store.set(func(s *fakeStore) { s.list.Targets = targets("b") })
	// Once the time to be listed again is over, a is dropped because it was not
	// listed, and c, which did not expire in the outage, because it was removed.
	g.waitForTargets(t, 1)
}

// A store that refuses one VM and serves the others is no outage, after which targets that left
// would be kept in use.
func TestReaderThatWasRefusedDropsRemovedTargetAtOnce(t *testing.T) {
	g := newFixture(t)
	g.store.set(func(s *fakeStore) { s.down = true })
	for until := time.Now().Add(2500 * time.Millisecond); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		g.source.HandleAnnouncement(thfleet.ReadAges{}) // another VM reads the store
	}
	g.store.set(func(s *fakeStore) { s.down, s.list.Targets = false, targets("a") })
	var reads int
	g.store.set(func(s *fakeStore) { s.reads = 0 })
	for reads == 0 || g.targetCount() != 1 {
		g.store.set(func(s *fakeStore) { reads = s.reads })
		assert.Assert(t, reads <= 2, "%d targets are applied after %d reads", g.targetCount(), reads)
		time.Sleep(5 * time.Millisecond)
	}
}

// After an outage, the first VM that reads the store announces its list. The next one must not
// drop the targets that expired, although it has heard of a read.
func TestSecondVMToReadAfterOutageKeepsExpiredTargets(t *testing.T) {
	g := newFixture(t)
	g.store.set(func(s *fakeStore) { s.down = true })
	time.Sleep(2500 * time.Millisecond)
	g.source.HandleAnnouncement(thfleet.ReadAges{})
	g.store.set(func(s *fakeStore) { s.down, s.list.Targets = false, targets("b", "c") })
	g.waitForTargets(t, 3) // c is added, a is kept
}

// A store that comes back from a copy with the same targets must be followed in its new era, which
// is also when this VM is listed there again.
func TestNewEraIsFollowedThoughTargetsAreTheSame(t *testing.T) {
	g := newFixture(t)
	g.store.set(func(s *fakeStore) { s.list.Era, s.list.Version = 2, 0 })
	for until := time.Now().Add(testTimeout); g.source.Status().Targets.Era != 2; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the list is at %v", g.source.Status().Targets)
	}
}

// Every call to the store costs money, so a VM must stop reading targets once it
// is no longer the reader.
func TestFormerReaderStopsReadingTargets(t *testing.T) {
	g := newFixture(t)
	g.fleet.setReader(false)
	time.Sleep(time.Second)
	g.store.set(func(s *fakeStore) { s.reads = 0 })
	time.Sleep(time.Second)
	g.store.set(func(s *fakeStore) { assert.Equal(t, s.reads, 0) })
}

// The longest time for which a VM may keep an old table after its connections went
// silent: a VM is held to its bounds 3 s after a fault, and a change then has 2.5 s.
const silenceBound = 5500 * time.Millisecond

// One request to the store gets no answer, while later ones do. A change must not
// have to wait until that request's long poll is over.
func TestChangeIsAppliedThoughOnePollIsSilent(t *testing.T) {
	g := newFixture(t)
	g.store.set(func(s *fakeStore) { s.silent, s.polls = true, 0 })
	for polls := 0; polls == 0; time.Sleep(5 * time.Millisecond) {
		g.store.set(func(s *fakeStore) { polls = s.polls })
	}
	g.store.set(func(s *fakeStore) { s.silent, s.table.Version = false, 2 })
	for until := time.Now().Add(silenceBound); g.source.Table().Version() != 2; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the table has version %d", g.source.Table().Version())
	}
}

// returnBound is the time within which the reader must have the newest table after an outage:
// all VMs must have it after 3 s.
const returnBound = 2 * time.Second

// A call that was made in an outage of the store, and the delay after it, must not hold back
// the table once the store is known to answer.
func TestTableIsReadSoonAfterOutage(t *testing.T) {
	g := newFixture(t)
	g.store.set(func(s *fakeStore) { s.dark, s.polls = true, 0 })
	for polls := 0; polls < 3; time.Sleep(5 * time.Millisecond) {
		g.store.set(func(s *fakeStore) { polls = s.polls })
	}
	g.store.set(func(s *fakeStore) { s.dark, s.table.Version = false, 2 })
	for until := time.Now().Add(returnBound); g.source.Table().Version() != 2; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the table has version %d", g.source.Table().Version())
	}
}
