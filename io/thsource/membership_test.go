package thsource_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thsource"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

// rosterAnswer is the answer to the call by which a VM learns of the others.
type rosterAnswer struct {
	VMs    []thfleet.Identity `json:"vms"`
	Joined bool               `json:"joined"`
}

// startJoining runs a source that knows only the seeds, until the test ends.
func startJoining(t *testing.T, o thsource.Options) *thsource.Source {
	t.Helper()
	o.Client, o.Log = thwire.NewClient(thwire.ClientOptions{Credential: "credential"}), thevent.Discard{}
	if o.ApplyTable == nil {
		o.ApplyTable = func(thtable.Table) {}
	}
	o.ApplyTargets = func([]thtable.Target) {}
	s := thsource.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

func (f *fakeFleet) waitUntilJoined(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !f.IsJoined(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the VM has not joined")
	}
}

// Each answer of a seed lists the whole fleet. If hundreds of VMs that start together
// asked again and again, they would overload it.
func TestStartingVMAsksEachSeedOnce(t *testing.T) {
	var calls [2]atomic.Int32
	var seeds []string
	for i := range calls {
		seeds = append(seeds, startPeer(t, "seed", func(s *thwire.Server) {
			thwire.Handle(s, "/roster", func(thwire.Sender, struct{}) (rosterAnswer, error) {
				calls[i].Add(1)
				return rosterAnswer{}, nil
			})
		}).Address)
	}
	fleet := &fakeFleet{}
	startJoining(t, thsource.Options{Store: &fakeStore{}, Fleet: fleet, Seeds: seeds})
	fleet.waitUntilJoined(t)
	for i := range calls {
		assert.Equal(t, calls[i].Load(), int32(1), "calls to seed %d", i)
	}
}

// A seed may start later than the VM, or its answer may be lost.
func TestStartingVMAsksSilentSeedAgain(t *testing.T) {
	var calls atomic.Int32
	seed := startPeer(t, "seed", func(s *thwire.Server) {
		thwire.Handle(s, "/roster", func(thwire.Sender, struct{}) (rosterAnswer, error) {
			if calls.Add(1) == 1 {
				time.Sleep(time.Second) // longer than the VM waits for an answer
			}
			return rosterAnswer{Joined: true}, nil
		})
	})
	fleet := &fakeFleet{}
	startJoining(t, thsource.Options{Store: &fakeStore{down: true}, Fleet: fleet, Seeds: []string{seed.Address}})
	fleet.waitUntilJoined(t)
	assert.Assert(t, calls.Load() >= 2)
}

// When the fleet starts for the first time, one VM reads the store for all. A VM that
// knows the others already must wait for it, since each read of each VM costs money.
func TestFirstStartWaitsForReaderAfterJoining(t *testing.T) {
	seed := startPeer(t, "seed", func(s *thwire.Server) {
		thwire.Handle(s, "/roster", func(thwire.Sender, struct{}) (rosterAnswer, error) { return rosterAnswer{}, nil })
		thwire.Handle(s, "/known", func(thwire.Sender, known) (knownAnswer, error) {
			return knownAnswer{Table: &version2, Targets: &thtable.TargetList{Position: thtable.Position{Version: 2}, Targets: targets("a")}}, nil
		})
	})
	fleet, store := &fakeFleet{}, &fakeStore{}
	s := startJoining(t, thsource.Options{Store: store, Fleet: fleet, Seeds: []string{seed.Address}, FirstStart: true})
	fleet.waitUntilJoined(t)
	time.Sleep(300 * time.Millisecond) // the reader reads the store
	fleet.announce(thfleet.StoreVersions{Table: 2, Targets: thtable.Position{Version: 2}}, seed)
	s.HandleAnnouncement(thfleet.ReadAges{})
	for until := time.Now().Add(testTimeout); !s.IsLoaded(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the VM has no table or no targets")
	}
	store.set(func(s *fakeStore) { assert.Equal(t, s.reads+s.polls, 0) })
}

// A VM that starts may ask one that was isolated and still holds a withdrawn key. What
// another VM knows to be older must not be applied.
func TestStartingVMAppliesNewestOfTwoPeers(t *testing.T) {
	newest := thtable.Document{Version: 3}
	for _, c := range []struct {
		name     string
		versions []uint64
		want     []uint64
	}{
		{"the first is behind", []uint64{2, 3}, []uint64{3}},
		{"the second is behind", []uint64{3, 2}, []uint64{3}},
		{"the first does not answer", []uint64{0, 2, 3}, []uint64{3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := &fakeFleet{}
			for _, version := range c.versions {
				fleet.random = append(fleet.random, startPeer(t, "peer", func(s *thwire.Server) {
					thwire.Handle(s, "/known", func(_ thwire.Sender, request known) (answer knownAnswer, err error) {
						switch {
						case version == 0:
							time.Sleep(time.Second) // longer than the VM waits for an answer
						case version > request.Table:
							d := newest
							d.Version = version
							answer.Table = &d
						}
						if version > request.Targets {
							answer.Targets = &thtable.TargetList{Position: thtable.Position{Version: version}, Targets: targets(fmt.Sprint(version))}
						}
						return answer, nil
					})
				}))
			}
			seed := startPeer(t, "seed", func(s *thwire.Server) {
				thwire.Handle(s, "/roster", func(thwire.Sender, struct{}) (rosterAnswer, error) { return rosterAnswer{Joined: true}, nil })
			})
			applied := make(chan uint64, 10)
			s := startJoining(t, thsource.Options{
				Store: &fakeStore{down: true}, Fleet: fleet, Seeds: []string{seed.Address}, FirstStart: true,
				ApplyTable: func(table thtable.Table) { applied <- table.Version() },
			})
			for until := time.Now().Add(testTimeout); !s.IsLoaded(); time.Sleep(5 * time.Millisecond) {
				assert.Assert(t, time.Now().Before(until), "the VM has no table or no targets")
			}
			var versions []uint64
			for len(applied) > 0 {
				versions = append(versions, <-applied)
			}
			assert.DeepEqual(t, versions, c.want)
			assert.Equal(t, s.Table().Version(), c.want[0])
		})
	}
}
