package thfleet_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thjudge"

	"gotest.tools/v3/assert"
)

func at(d time.Duration) thclock.Instant { return thclock.At(time.Hour + d) }

func identity(i int) thfleet.Identity {
	return thfleet.Identity{ID: fmt.Sprintf("vm-%d", i), Zone: "z", Address: fmt.Sprintf("10.0.0.%d:1", i)}
}

func notice(i int, number uint32) thfleet.Notice {
	id := identity(i)
	return thfleet.Notice{From: thfleet.VMKeyOf(id.ID), StartMillis: 1, Sequence: number, Identity: &id}
}

func TestLoadsAreTotalsThatExpire(t *testing.T) {
	f := thfleet.New(identity(0))
	target := thfleet.KeyOf("t")
	for i := 1; i <= 2; i++ {
		n := notice(i, 1)
		n.Loads = []thfleet.Load{{Target: target, InFlight: 2}}
		assert.Assert(t, f.Receive(at(0), n).Joined)
	}
	assert.Equal(t, f.InFlight(at(0), target), 4)
	n := notice(1, 2)
	n.Loads = []thfleet.Load{{Target: target, InFlight: 0}}
	f.Receive(at(time.Second), n)
	assert.Equal(t, f.InFlight(at(time.Second), target), 2)
	assert.Equal(t, f.InFlight(at(time.Minute), target), 0)
}

func TestARestartForgetsLoads(t *testing.T) {
	f := thfleet.New(identity(0))
	target := thfleet.KeyOf("t")
	n := notice(1, 5)
	n.Loads = []thfleet.Load{{Target: target, InFlight: 2}}
	f.Receive(at(0), n)
	n = notice(1, 1)
	n.StartMillis = 2
	assert.Assert(t, !f.Receive(at(0), n).Stale)
	assert.Equal(t, f.InFlight(at(0), target), 0)
}

func TestTotalsSurviveLostAndRepeatedNotices(t *testing.T) {
	f := thfleet.New(identity(0))
	customer := thfleet.KeyOf("c")
	var all uint32
	take := func(number, total uint32) {
		n := notice(1, number)
		n.Admitted = []thfleet.KeyCount{{Key: customer, Count: total}}
		for _, r := range f.Receive(at(0), n).Admitted {
			all += r.Count
		}
	}
	take(1, 10) // may be old: the VM ran before it was known
	assert.Equal(t, all, uint32(0))
	take(2, 11)
	take(4, 15)
	take(4, 15)
	take(3, 12)
	assert.Equal(t, all, uint32(5))
}

func TestEndsOfAnOvertakenNoticeCount(t *testing.T) {
	f := thfleet.New(identity(0))
	f.Receive(at(0), notice(1, 5))
	n := notice(1, 4)
	n.Results = []thfleet.AttemptResult{{Target: 1, Outcome: thjudge.Failed}}
	news := f.Receive(at(0), n)
	assert.Assert(t, news.Stale)
	assert.Equal(t, len(news.Results), 1)
}

func TestSizeDropsSilentVMs(t *testing.T) {
	f := thfleet.New(identity(0))
	for i := 1; i <= 3; i++ {
		f.Receive(at(0), notice(i, 1))
	}
	leaving := notice(3, 2)
	leaving.Leaving = true
	f.Receive(at(0), leaving)
	for _, c := range []struct {
		after        time.Duration
		heard, known int
	}{{0, 3, 3}, {5 * time.Second, 1, 3}, {time.Minute, 1, 1}} {
		heard, known := f.Size(at(c.after))
		assert.Equal(t, heard, c.heard)
		assert.Equal(t, known, c.known)
	}
}

// TestOneReaderAZone has five VMs hear each other, and then lets the readers
// fall silent one after the other.
func TestOneReaderAZone(t *testing.T) {
	const vms = 5
	fleets := make([]*thfleet.Fleet, vms)
	for i := range fleets {
		fleets[i] = thfleet.New(identity(i))
	}
	dead := map[int]bool{}
	number := uint32(0)
	lastRead := at(0)
	var longest time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += 100 * time.Millisecond {
		if now > 0 && now%(8*time.Second) == 0 {
			for i := range fleets {
				if !dead[i] && fleets[i].Role(at(now)) == thfleet.Reader {
					dead[i] = true
				}
			}
		}
		readers := 0
		number++
		for i := range fleets {
			if dead[i] {
				continue
			}
			n := notice(i, number)
			if now%thfleet.ReadInterval == 0 && fleets[i].Role(at(now)) == thfleet.Reader {
				readers++
				n.StoreVersions = &thfleet.StoreVersions{Table: 1, Targets: 1}
			}
			for j := range fleets {
				if j != i && !dead[j] {
					fleets[j].Receive(at(now), n)
				}
			}
		}
		if readers > 0 {
			longest = max(longest, at(now).Sub(lastRead))
			lastRead = at(now)
		}
		if now > 4*time.Second && now%(8*time.Second) > 5*time.Second {
			assert.Assert(t, readers <= 1, "%d readers at %s", readers, now)
		}
	}
	assert.Assert(t, longest < 2*time.Second, "nothing was read for %s", longest)
}

func TestAheadFindsWhoKnowsMore(t *testing.T) {
	f := thfleet.New(identity(0))
	n := notice(1, 1)
	n.StoreVersions = &thfleet.StoreVersions{Table: 3, Targets: 9}
	f.Receive(at(0), n)
	p, ok := f.FindNewerPeer(at(0), thfleet.StoreVersions{Table: 3, Targets: 8})
	assert.Assert(t, ok)
	assert.Equal(t, p.Identity.ID, "vm-1")
	_, ok = f.FindNewerPeer(at(0), thfleet.StoreVersions{Table: 3, Targets: 9})
	assert.Assert(t, !ok)
}

func TestNoticesCrossBetweenZonesOnce(t *testing.T) {
	f := thfleet.New(identity(0))
	for i := 1; i <= 12; i++ {
		n := notice(i, 1)
		n.Identity.Zone = []string{"z", "y", "x"}[i%3]
		f.Receive(at(0), n)
	}
	relaysOf := map[string]bool{}
	for number := range uint32(4) {
		direct, relays := f.SelectRecipients(at(0), number, false)
		assert.Equal(t, len(direct), 4)
		assert.Equal(t, len(relays), 2)
		relaysOf[relays[0].Identity.ID] = true
		relaysOf[relays[1].Identity.ID] = true
	}
	assert.Equal(t, len(relaysOf), 8, "the work is spread over all VMs")
	_, relays := f.SelectRecipients(at(0), 0, true)
	assert.Equal(t, len(relays), 4)
}

func TestEndsOfANoticeThatCameTwiceCountOnce(t *testing.T) {
	f := thfleet.New(identity(0))
	n := notice(1, 70)
	n.Results = []thfleet.AttemptResult{{Target: 1, Outcome: thjudge.Failed}}
	assert.Equal(t, len(f.Receive(at(0), n).Results), 1)
	assert.Assert(t, f.Receive(at(0), n).Duplicate)
	for _, c := range []struct {
		number uint32
		ends   int
	}{{69, 1}, {69, 0}, {7, 1}, {7, 0}, {6, 0}} {
		n.Sequence = c.number
		assert.Equal(t, len(f.Receive(at(0), n).Results), c.ends, "%d", c.number)
	}
}

func TestAVMThatStartsAnewIsAnsweredAtOnce(t *testing.T) {
	f := thfleet.New(identity(0))
	f.RecordPeer(at(0), identity(1)) // known from the store, and not heard yet
	assert.Assert(t, f.Receive(at(0), notice(1, 1)).BecameLive)
	assert.Assert(t, !f.Receive(at(0), notice(1, 2)).BecameLive)
	n := notice(1, 1)
	n.StartMillis = 2
	assert.Assert(t, f.Receive(at(time.Second), n).BecameLive)
	n.Sequence = 2
	assert.Assert(t, f.Receive(at(time.Minute), n).BecameLive, "it was silent for long")
}

func TestVMsThatWereJustListedAreToldAtOnce(t *testing.T) {
	f := thfleet.New(identity(0))
	other := identity(1)
	other.Zone = "y"
	f.RecordPeer(at(0), other)
	direct, _ := f.SelectRecipients(at(0), 1, false)
	assert.Equal(t, len(direct), 1)
	direct, _ = f.SelectRecipients(at(time.Minute), 1, false)
	assert.Equal(t, len(direct), 0)
}

func TestAVMThatStartsWithItsClockSetBackIsHeardAgain(t *testing.T) {
	f := thfleet.New(identity(0))
	n := notice(1, 900)
	n.StartMillis = 5_000
	f.Receive(at(0), n)
	n = notice(1, 1)
	n.StartMillis = 4_000
	assert.Assert(t, f.Receive(at(time.Second), n).Stale, "it may be a notice of before")
	n.Sequence = 2
	assert.Assert(t, !f.Receive(at(5*time.Second), n).Stale)
	n.Sequence = 3
	assert.Assert(t, !f.Receive(at(5*time.Second), n).Stale)
	heard, _ := f.Size(at(5 * time.Second))
	assert.Equal(t, heard, 2)
}
