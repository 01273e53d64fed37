package thfleet_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

func at(d time.Duration) thclock.Instant { return thclock.At(time.Hour + d) }

// identity returns the identity of the VM i.
func identity(i int) thfleet.Identity {
	return thfleet.Identity{ID: fmt.Sprintf("vm-%d", i), Zone: "z", Address: fmt.Sprintf("10.0.0.%d:1", i)}
}

// notice returns a notice of the VM i that introduces it.
func notice(i int, sequence uint32) thfleet.Notice {
	id := identity(i)
	return thfleet.Notice{From: thfleet.VMKeyOf(id.ID), StartMillis: 1, Sequence: sequence, Identity: &id}
}

// Loads are replaced rather than added up, and those of a VM that stops sending
// notices must not count forever.
func TestInFlightSumsLatestLoadsUntilTheyExpire(t *testing.T) {
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

// VMs send several notices at once, for different targets. One that arrives after a newer
// one must still replace the load that it names, but not a newer load.
func TestLoadOfReorderedNoticeCountsUnlessNewerIsKnown(t *testing.T) {
	f := thfleet.New(identity(0))
	send := func(sequence uint32, target string, inFlight uint16) {
		n := notice(1, sequence)
		n.Loads = []thfleet.Load{{Target: thfleet.KeyOf(target), InFlight: inFlight}}
		f.Receive(at(0), n)
	}
	send(5, "a", 1)
	send(8, "a", 0)
	send(7, "b", 2)
	send(6, "a", 2)
	assert.Equal(t, f.InFlight(at(0), thfleet.KeyOf("a")), 0)
	assert.Equal(t, f.InFlight(at(0), thfleet.KeyOf("b")), 2)
}

// Requests of a VM that restarted are no longer in flight, so its loads from before
// the restart must not count.
func TestRestartDropsLoads(t *testing.T) {
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

// Lost, duplicate and reordered notices must not change the sum of the increases.
func TestIncreasesSurviveLostAndDuplicateNotices(t *testing.T) {
	f := thfleet.New(identity(0))
	service := thfleet.KeyOf("s")
	var sum uint32
	receive := func(sequence, total uint32) {
		n := notice(1, sequence)
		n.Refused = []thfleet.KeyCount{{Key: service, Count: total}}
		for _, r := range f.Receive(at(0), n).Refused {
			sum += r.Count
		}
	}
	receive(1, 10) // not an increase: the requests may be from long before the VM was discovered
	assert.Equal(t, sum, uint32(0))
	receive(2, 11)
	receive(4, 15)
	receive(4, 15)
	receive(3, 12)
	assert.Equal(t, sum, uint32(5))
}

// Results are not totals: those of a notice that arrives after a newer one would be
// lost if the notice were ignored.
func TestResultsOfReorderedNoticeCount(t *testing.T) {
	f := thfleet.New(identity(0))
	f.Receive(at(0), notice(1, 5))
	n := notice(1, 4)
	n.Results = []thfleet.AttemptResult{{Target: 1, Outcome: thhealth.Failed}}
	u := f.Receive(at(0), n)
	assert.Assert(t, u.Stale)
	assert.Equal(t, len(u.Results), 1)
}

// VMs that leave must stop counting at once. Silent VMs first stop counting as live
// and only later as members.
func TestSizeDropsSilentAndLeavingVMs(t *testing.T) {
	f := thfleet.New(identity(0))
	for i := 1; i <= 3; i++ {
		f.Receive(at(0), notice(i, 1))
	}
	leaving := notice(3, 2)
	leaving.Leaving = true
	f.Receive(at(0), leaving)
	for _, c := range []struct {
		after         time.Duration
		live, members int
	}{{0, 3, 3}, {5 * time.Second, 1, 3}, {time.Minute, 1, 1}} {
		probeUntil(f, c.after)
		live, members := f.Size(at(c.after))
		assert.Equal(t, live, c.live)
		assert.Equal(t, members, c.members)
	}
}

// probeUntil lets the VM probe others, none of which answers, from the start on, and
// returns the VMs that were lost.
func probeUntil(f *thfleet.Fleet, until time.Duration) (lost []string) {
	for now := time.Duration(0); now <= until; now += thfleet.ProbeInterval {
		_, silent := f.Probe(at(now))
		for _, p := range silent {
			lost = append(lost, p.Identity.ID)
		}
	}
	return lost
}

// Five VMs of one zone receive each other's notices, and one reader after the other
// crashes. A further VM must take over soon, and two VMs must not read for long.
func TestNextVMTakesOverWhenReaderCrashes(t *testing.T) {
	const vms = 5
	fleets := make([]*thfleet.Fleet, vms)
	for i := range fleets {
		fleets[i] = thfleet.New(identity(i))
	}
	crashed := map[int]bool{}
	sequence := uint32(0)
	lastRead := at(0)
	var longestGap time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += 100 * time.Millisecond {
		if now > 0 && now%(8*time.Second) == 0 {
			for i := range fleets {
				if !crashed[i] && fleets[i].Role(at(now), thclock.Instant{}) == thfleet.Reader {
					crashed[i] = true
				}
			}
		}
		readers := 0
		sequence++
		if now%thfleet.ProbeInterval == 0 {
			probeAll(fleets, crashed, at(now), sequence)
			sequence++
		}
		for i := range fleets {
			if crashed[i] {
				continue
			}
			n := notice(i, sequence)
			if now%thfleet.ReadInterval == 0 && fleets[i].Role(at(now), thclock.Instant{}) == thfleet.Reader {
				readers++
				n = n.WithVersions(thfleet.StoreVersions{Table: 1, Targets: position(1)})
			}
			for j := range fleets {
				if j != i && !crashed[j] {
					fleets[j].Receive(at(now), n)
				}
			}
		}
		if readers > 0 {
			longestGap = max(longestGap, at(now).Sub(lastRead))
			lastRead = at(now)
		}
		if now > 4*time.Second && now%(8*time.Second) > 5*time.Second {
			assert.Assert(t, readers <= 1, "%d readers at %s", readers, now)
		}
	}
	assert.Assert(t, longestGap < 2*time.Second, "no VM read the store for %s", longestGap)
}

// probeAll lets all VMs probe, and reports the VMs that are lost to all in notices of
// the sequence number.
func probeAll(fleets []*thfleet.Fleet, crashed map[int]bool, now thclock.Instant, sequence uint32) {
	for i, f := range fleets {
		if crashed[i] {
			continue
		}
		_, lost := f.Probe(now)
		for j, other := range fleets {
			if j != i && !crashed[j] && len(lost) > 0 {
				n := notice(i, sequence)
				for _, p := range lost {
					n.Lost = append(n.Lost, thfleet.LossOf(p))
				}
				other.Receive(now, n)
			}
		}
	}
}

// One copy of a notice goes to each other zone, or two if it is urgent, and different
// VMs relay different notices.
func TestSelectRecipientsPicksFewRelaysPerZone(t *testing.T) {
	f := thfleet.New(identity(0))
	for i := 1; i <= 12; i++ {
		n := notice(i, 1)
		n.Identity.Zone = []string{"z", "y", "x"}[i%3]
		f.Receive(at(0), n)
	}
	usedRelays := map[string]bool{}
	for sequence := range uint32(4) {
		direct, relays := f.SelectRecipients(f.Live(), sequence, false)
		assert.Equal(t, len(direct), 4)
		assert.Equal(t, len(relays), 2)
		usedRelays[relays[0].Identity.ID] = true
		usedRelays[relays[1].Identity.ID] = true
	}
	assert.Equal(t, len(usedRelays), 8, "relays should rotate over all VMs")
	_, relays := f.SelectRecipients(f.Live(), 0, true)
	assert.Equal(t, len(relays), 4)
}

// Urgent notices reach a VM twice. Their results must count once, also if notices
// arrive out of order. Notices too old to know whether they arrived before do not
// count.
func TestResultsOfDuplicateNoticeCountOnce(t *testing.T) {
	f := thfleet.New(identity(0))
	n := notice(1, 70)
	n.Results = []thfleet.AttemptResult{{Target: 1, Outcome: thhealth.Failed}}
	assert.Equal(t, len(f.Receive(at(0), n).Results), 1)
	assert.Assert(t, f.Receive(at(0), n).Duplicate)
	for _, c := range []struct {
		sequence uint32
		results  int
	}{{69, 1}, {69, 0}, {7, 1}, {7, 0}, {6, 0}} {
		n.Sequence = c.sequence
		assert.Equal(t, len(f.Receive(at(0), n).Results), c.results, "sequence %d", c.sequence)
	}
}

// A VM that starts, restarts or was silent for long needs an answer at once, to learn
// of this VM.
func TestBecameLiveAfterStartRestartAndSilence(t *testing.T) {
	f := thfleet.New(identity(0))
	f.RecordPeer(at(0), identity(1)) // listed in the store, but no notice arrived yet
	assert.Assert(t, f.Receive(at(0), notice(1, 1)).BecameLive)
	assert.Assert(t, !f.Receive(at(0), notice(1, 2)).BecameLive)
	n := notice(1, 1)
	n.StartMillis = 2
	assert.Assert(t, f.Receive(at(time.Second), n).BecameLive)
	probeUntil(f, 5*time.Second)
	n.Sequence = 2
	u := f.Receive(at(time.Minute), n)
	assert.Assert(t, u.BecameLive, "the VM was silent for longer than LiveTimeout")
	assert.Assert(t, u.Healed)
}

// A VM that was just listed cannot be live yet, but must receive notices. One that
// stays silent must not receive them forever.
func TestNewlyListedVMsReceiveNotices(t *testing.T) {
	f := thfleet.New(identity(0))
	other := identity(1)
	other.Zone = "y"
	f.RecordPeer(at(0), other)
	assert.Equal(t, len(f.NewlyDiscovered(at(0))), 1)
	assert.Equal(t, len(f.NewlyDiscovered(at(time.Minute))), 0)
}

// A VM that restarts with its clock set back has an earlier start time than before.
// Its notices must not be ignored as stale for good.
func TestVMThatRestartsWithClockSetBackBecomesLiveAgain(t *testing.T) {
	f := thfleet.New(identity(0))
	n := notice(1, 900)
	n.StartMillis = 5_000
	f.Receive(at(0), n)
	n = notice(1, 1)
	n.StartMillis = 4_000
	assert.Assert(t, f.Receive(at(time.Second), n).Stale, "the notice may be from before a restart")
	n.Sequence = 2
	assert.Assert(t, !f.Receive(at(5*time.Second), n).Stale)
	n.Sequence = 3
	assert.Assert(t, !f.Receive(at(5*time.Second), n).Stale)
	live, _ := f.Size(at(5 * time.Second))
	assert.Equal(t, live, 2)
}

// position returns the position of a store that tells no era.
func position(version uint64) thtable.Position { return thtable.Position{Version: version} }
