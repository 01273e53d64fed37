package thsource_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

// known is the call by which VMs fetch from each other, as far as these tests use it.
type known struct {
	Table       uint64         `json:"table"`
	TableDigest thtable.Digest `json:"tableDigest"`
	Targets     uint64         `json:"targets"`
}

// knownAnswer is the answer to that call.
type knownAnswer struct {
	Table        *thtable.Document     `json:"table,omitempty"`
	Targets      *thtable.TargetList   `json:"targets,omitempty"`
	TableChanges []thtable.TableChange `json:"tableChanges,omitempty"`
}

// startPeer starts a VM that answers the call, and returns its identity.
func startPeer(t *testing.T, id string, register func(s *thwire.Server)) thfleet.Identity {
	t.Helper()
	s := &thwire.Server{Credential: "credential"}
	register(s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.Start(l)
	t.Cleanup(func() { _ = s.Shutdown() })
	return thfleet.Identity{ID: id, Zone: "z", Address: l.Addr().String()}
}

// answering registers a handler that calls answer for each fetch of a newer table.
func answering(answer func(q known) knownAnswer) func(s *thwire.Server) {
	return func(s *thwire.Server) {
		thwire.Handle(s, "/known", func(_ thwire.Sender, q known) (knownAnswer, error) { return answer(q), nil })
	}
}

// announce makes the fixture's VM a follower to which the VMs are said to hold version
// 2 of the table.
func (g *fixture) announce(vms ...thfleet.Identity) {
	g.fleet.setReader(false)
	g.fleet.announce(thfleet.StoreVersions{Table: 2}, vms...)
	g.source.HandleAnnouncement(thfleet.ReadAges{})
}

func (g *fixture) waitForTable(t *testing.T, version uint64) {
	t.Helper()
	for until := time.Now().Add(testTimeout); g.source.Table().Version() != version; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the table has version %d, want %d", g.source.Table().Version(), version)
	}
}

// applyBound is the time within which a change has to be in force.
const applyBound = 2500 * time.Millisecond

var version2 = thtable.Document{Version: 2, Customers: []thtable.Customer{{Name: "c"}}}

// A VM behind a busy link takes long to answer. What it sends must be used, rather than
// given up and asked for again.
func TestSlowTransferIsUsed(t *testing.T) {
	g := newFixture(t)
	g.announce(startPeer(t, "slow", answering(func(known) knownAnswer {
		time.Sleep(1500 * time.Millisecond)
		return knownAnswer{Table: &version2}
	})))
	g.waitForTable(t, 2)
}

// A VM that never answers must not keep others from being asked.
func TestNextVMIsAskedWhileOneIsSilent(t *testing.T) {
	g := newFixture(t)
	silent := make(chan struct{})
	first := startPeer(t, "silent", answering(func(known) knownAnswer {
		<-silent
		return knownAnswer{}
	}))
	t.Cleanup(func() { close(silent) }) // before the VM's server is shut down
	startedAt := time.Now()
	g.announce(first, startPeer(t, "well", answering(func(known) knownAnswer { return knownAnswer{Table: &version2} })))
	g.waitForTable(t, 2)
	assert.Assert(t, time.Since(startedAt) < applyBound)
}

// A VM asks another one that does not have the version yet. It must get it as soon as
// that VM does.
func TestVersionIsPassedOnByVMThatWaitsForItself(t *testing.T) {
	parent, child := newFixture(t), newFixture(t)
	child.announce(startPeer(t, "parent", parent.source.Register))
	time.Sleep(100 * time.Millisecond) // the call is mostly under way by then
	parent.store.set(func(s *fakeStore) { s.table = version2 })
	child.waitForTable(t, 2)
	assert.Equal(t, len(child.source.Table().Document().Customers), 1)
}

// Changes that were made for another content must not be applied; the VM must then get
// the whole table.
func TestChangesThatDoNotFitAreReplacedByWholeTable(t *testing.T) {
	g := newFixture(t)
	var mu sync.Mutex
	var asked []known
	g.announce(startPeer(t, "peer", answering(func(q known) knownAnswer {
		mu.Lock()
		defer mu.Unlock()
		asked = append(asked, q)
		if q.TableDigest == 0 {
			return knownAnswer{Table: &version2}
		}
		return knownAnswer{TableChanges: []thtable.TableChange{{Base: q.TableDigest + 1, Version: 2}}}
	})))
	g.waitForTable(t, 2)
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, len(asked) >= 2)
	assert.Assert(t, asked[0].TableDigest != 0)
}

// TestAgeOfWarmupIsPassedOn guards against a VM that takes a target for cold for longer than others,
// since it got the list later, and against a list that changes although the reports are the same.
func TestAgeOfWarmupIsPassedOn(t *testing.T) {
	reader, follower := newFixture(t), newFixture(t)
	cold := []thtable.Target{{ID: "a"}, {ID: "c", WarmupMillis: 20_000}, {ID: "d"}}
	reader.store.set(func(s *fakeStore) { s.list.Version, s.list.Targets = 20, cold })
	reader.waitForTargets(t, 3)
	const age = 300 * time.Millisecond
	time.Sleep(age)
	reads := 0
	reader.store.set(func(s *fakeStore) {
		reads, s.list.Version, s.list.Targets = s.reads, 21, []thtable.Target{cold[0], {ID: "c", WarmupMillis: 19_500}, cold[2]}
	})
	for until, read := time.Now().Add(testTimeout), 0; read < reads+2; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until))
		reader.store.set(func(s *fakeStore) { read = s.reads })
	}
	peer := startPeer(t, "reader", reader.source.Register)
	follower.fleet.mu.Lock()
	follower.fleet.reader, follower.fleet.newer, follower.fleet.announced = false, []thfleet.Identity{peer}, thfleet.StoreVersions{Targets: thtable.Position{Version: 20}}
	follower.fleet.mu.Unlock()
	follower.source.HandleAnnouncement(thfleet.ReadAges{})
	follower.waitForTargets(t, 3)
	follower.mu.Lock()
	defer follower.mu.Unlock()
	c := follower.applied[1]
	assert.Equal(t, c.WarmupMillis, int64(20_000))
	assert.Assert(t, c.WarmupAgeMillis >= age.Milliseconds() && c.WarmupAgeMillis < testTimeout.Milliseconds(), "%d", c.WarmupAgeMillis)
}

// Two VMs hold different lists, since one of them keeps targets for a while after an
// outage. After the next change they must hold the same.
func TestDifferentListsConverge(t *testing.T) {
	reader, follower := newFixture(t), newFixture(t) // both hold a and b
	reader.store.set(func(s *fakeStore) { s.list.Targets = targets("a") })
	reader.waitForTargets(t, 1)
	reader.store.set(func(s *fakeStore) { s.list.Version, s.list.Targets = 20, targets("a", "c", "d") })
	reader.waitForTargets(t, 3)
	peer := startPeer(t, "reader", reader.source.Register)
	follower.fleet.mu.Lock()
	follower.fleet.reader, follower.fleet.newer, follower.fleet.announced = false, []thfleet.Identity{peer}, thfleet.StoreVersions{Targets: thtable.Position{Version: 21}}
	follower.fleet.mu.Unlock()
	follower.source.HandleAnnouncement(thfleet.ReadAges{})
	follower.waitForTargets(t, 3)
}
