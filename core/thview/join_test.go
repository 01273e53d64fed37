package thview_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"gotest.tools/v3/assert"
)

// startingFleet is a fleet whose VMs all start within startSpread, as after a power cut.
// A VM that starts and those that started before it know each other at once.
type startingFleet struct {
	ids      []thfleet.Identity
	views    []*thview.View
	startsAt []time.Duration
	now      time.Duration
	// readers holds the VMs that were the reader at any time.
	readers map[int]bool
}

const (
	startSpread = 300 * time.Millisecond
	// joinDelay is how long a VM that starts waits until it takes those that it knows for
	// the whole fleet.
	joinDelay = 250 * time.Millisecond
	stepTime  = 10 * time.Millisecond
)

func newStartingFleet(vms, zones int) *startingFleet {
	f := &startingFleet{readers: map[int]bool{}}
	rng := rand.New(rand.NewPCG(5, 5))
	for i := range vms {
		f.ids = append(f.ids, thfleet.Identity{ID: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Address: fmt.Sprintf("10.0.0.%d:1", i+1)})
		f.views = append(f.views, nil)
		f.startsAt = append(f.startsAt, time.Duration(rng.Int64N(int64(startSpread))).Truncate(stepTime))
	}
	return f
}

func (f *startingFleet) instant() thclock.Instant { return thclock.At(time.Hour + f.now) }

// step starts the VMs whose time has come, and lets readers and leaders announce what
// they read.
func (f *startingFleet) step() {
	for i, id := range f.ids {
		switch f.now {
		case f.startsAt[i]:
			f.start(i, id)
		case f.startsAt[i] + joinDelay:
			f.views[i].MarkJoined(f.instant())
		}
		if f.views[i] == nil {
			continue
		}
		switch f.views[i].Role(f.instant()) {
		case thfleet.Reader:
			f.readers[i] = true
			f.announce(i, func(int) bool { return true })
		case thfleet.Relayer:
			f.announce(i, func(j int) bool { return f.ids[j].Zone == id.Zone })
		case thfleet.Follower:
		}
	}
	f.now += stepTime
}

func (f *startingFleet) start(i int, id thfleet.Identity) {
	v := thview.New(thview.Options{Self: id, StartMillis: 1, StartedAt: f.instant(), Rand: rand.New(rand.NewPCG(uint64(i), 2))})
	for _, other := range f.views {
		if other != nil {
			other.Receive(f.instant(), v.Introduction(false))
			v.Receive(f.instant(), other.Introduction(false))
		}
	}
	f.views[i] = v
}

func (f *startingFleet) announce(i int, to func(j int) bool) {
	n := f.views[i].Announcement(f.instant(), thfleet.StoreVersions{Table: 1, Targets: thtable.Position{Version: 1}}, thfleet.ReadAges{})
	for j, v := range f.views {
		if v != nil && j != i && to(j) {
			v.Receive(f.instant(), n)
		}
	}
}

// When all VMs start at once, nobody has announced a read yet. If each took that for the
// silence of a crashed reader, all would read the store.
func TestFleetThatStartsHasOneReader(t *testing.T) {
	for _, vms := range []int{1, 2, 40, 200} {
		f := newStartingFleet(vms, 4)
		for f.now < 3*time.Second {
			f.step()
		}
		assert.Equal(t, len(f.readers), 1, "%d VMs: readers are %v", vms, f.readers)
	}
}

// The VM with the best rank may crash before it reads the store for the first time.
func TestFleetThatStartsReplacesReaderThatCrashes(t *testing.T) {
	f := newStartingFleet(12, 3)
	for len(f.readers) == 0 {
		f.step()
		assert.Assert(t, f.now < 3*time.Second, "no VM reads the store")
	}
	for i := range f.readers {
		f.views[i], f.startsAt[i] = nil, -time.Hour
	}
	clear(f.readers)
	for crashedAt := f.now; len(f.readers) == 0; {
		f.step()
		assert.Assert(t, f.now < crashedAt+2*time.Second, "no VM takes over")
	}
}
