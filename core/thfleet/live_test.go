package thfleet_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"tamarackhollow/core/thfleet"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// membership simulates VMs that probe each other. Datagrams arrive at once.
type membership struct {
	ids    []thfleet.Identity
	fleets []*thfleet.Fleet
	// crashed and paused hold the VMs that don't run, for good or for now.
	crashed, paused map[int]bool
	// side divides the VMs; no datagram passes between VMs of different sides.
	side     map[int]int
	sequence uint32
	rng      *rand.Rand
	now      time.Duration
	// datagrams counts those sent by each VM.
	datagrams []int
	// lostReports counts the VMs that were reported as lost.
	lostReports int
}

func newMembership(vms int) *membership {
	m := &membership{
		crashed: map[int]bool{}, paused: map[int]bool{}, side: map[int]int{}, rng: rand.New(rand.NewPCG(1, 9)), datagrams: make([]int, vms),
	}
	for i := range vms {
		id := thfleet.Identity{ID: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("z%d", i%3), Address: fmt.Sprintf("10.0.0.1:%d", i+1)}
		m.ids = append(m.ids, id)
		m.fleets = append(m.fleets, thfleet.New(id))
	}
	for i := range vms {
		for j := range vms {
			m.send(i, j, thfleet.Notice{Identity: &m.ids[i]})
		}
	}
	return m
}

func (m *membership) runs(vm int) bool { return !m.crashed[vm] && !m.paused[vm] }

func (m *membership) indexOf(vm thfleet.VMKey) int {
	return slices.IndexFunc(m.ids, func(i thfleet.Identity) bool { return thfleet.VMKeyOf(i.ID) == vm })
}

func (m *membership) send(from, to int, n thfleet.Notice) {
	m.datagrams[from]++
	if from == to || !m.runs(to) || m.side[from] != m.side[to] {
		return
	}
	m.sequence++
	n.From, n.StartMillis, n.Sequence = thfleet.VMKeyOf(m.ids[from].ID), 1, m.sequence
	u := m.fleets[to].Receive(at(m.now), n)
	if n.WantsIdentity || n.Identity != nil && u.BecameLive {
		m.send(to, from, thfleet.Notice{Identity: &m.ids[to]})
	}
	if u.Healed {
		for _, p := range m.fleets[to].SilentPeers() {
			m.send(to, m.indexOf(p.Key), thfleet.Notice{Identity: &m.ids[to]})
		}
	}
	if u.ReportedLost {
		for other := range m.fleets {
			m.send(to, other, thfleet.Notice{Identity: &m.ids[to]})
		}
	}
}

// run lets all VMs probe for the given time.
func (m *membership) run(span time.Duration) {
	for until := m.now + span; m.now < until; m.now += thfleet.ProbeInterval {
		for i, f := range m.fleets {
			if !m.runs(i) {
				continue
			}
			probe, lost := f.Probe(at(m.now))
			if p, ok := f.RandomSilentPeer(m.rng); ok {
				probe = append(probe, p)
			}
			for _, p := range probe {
				m.send(i, m.indexOf(p.Key), thfleet.Notice{Identity: &m.ids[i], WantsIdentity: true})
			}
			if len(lost) == 0 {
				continue
			}
			m.lostReports += len(lost)
			var n thfleet.Notice
			for _, p := range lost {
				n.Lost = append(n.Lost, thfleet.LossOf(p))
			}
			for other := range m.fleets {
				m.send(i, other, n)
			}
		}
	}
}

// live returns how many VMs each running VM takes for live, itself included: the least
// and the greatest number.
func (m *membership) live() (least, greatest int) {
	least = len(m.fleets)
	for i, f := range m.fleets {
		if m.runs(i) {
			least, greatest = min(least, len(f.Live())), max(greatest, len(f.Live()))
		}
	}
	return least, greatest
}

// All running VMs must soon know of a crash, also if many VMs crash together.
func TestCrashedVMsAreLostEverywhere(t *testing.T) {
	for _, c := range []struct {
		crashed int
		within  time.Duration
	}{{1, 5 * time.Second}, {20, 12 * time.Second}, {55, 25 * time.Second}} {
		m := newMembership(100)
		m.run(5 * time.Second)
		for _, vm := range m.rng.Perm(100)[:c.crashed] {
			m.crashed[vm] = true
		}
		m.run(c.within)
		least, greatest := m.live()
		assert.Equal(t, least, 100-c.crashed)
		assert.Equal(t, greatest, 100-c.crashed)
	}
}

// What a VM sends to know of the others must not grow with the fleet.
func TestProbesDoNotGrowWithFleet(t *testing.T) {
	for _, vms := range []int{10, 100, 400} {
		m := newMembership(vms)
		clear(m.datagrams)
		m.run(10 * time.Second)
		for vm, n := range m.datagrams {
			assert.Assert(t, n <= 10*6, "VM %d of %d sends %d datagrams in 10 s", vm, vms, n)
		}
		assert.Equal(t, m.lostReports, 0)
	}
}

// A VM that was suspended must not take the VMs for lost whose answers it could not
// receive, and the others must take it back at once.
func TestPausedVMLosesNothing(t *testing.T) {
	m := newMembership(20)
	m.run(5 * time.Second)
	m.paused[3] = true
	m.run(thfleet.LiveTimeout - 2*thfleet.ProbeInterval) // the last answer may be a probe older than the pause
	m.paused[3] = false
	m.run(3 * time.Second)
	assert.Equal(t, m.lostReports, 0, "a short pause must not count as a loss")
	m.paused[3] = true
	m.run(10 * time.Second)
	m.paused[3] = false
	reportsBefore := m.lostReports
	m.run(3 * time.Second)
	assert.Equal(t, m.lostReports, reportsBefore, "the VM that was paused reports others")
	least, _ := m.live()
	assert.Equal(t, least, 20)
}

// Once two parts of the fleet that had lost each other are connected again, all VMs must
// know each other again.
func TestPartsOfFleetFindEachOtherAgain(t *testing.T) {
	m := newMembership(30)
	m.run(5 * time.Second)
	for vm := range 12 {
		m.side[vm] = 1
	}
	m.run(40 * time.Second)
	least, greatest := m.live()
	assert.Equal(t, least, 12)
	assert.Equal(t, greatest, 18)
	clear(m.side)
	m.run(10 * time.Second)
	least, _ = m.live()
	assert.Equal(t, least, 30)
}

// What another VM says must not override what this VM has just heard itself.
func TestLossReportOfVMJustHeardIsIgnored(t *testing.T) {
	f := thfleet.New(identity(0))
	f.Receive(at(0), notice(1, 1))
	f.Receive(at(0), notice(2, 1))
	report := func(sequence uint32) thfleet.Notice {
		n := notice(1, sequence)
		n.Lost = []thfleet.Loss{{VM: thfleet.VMKeyOf("vm-2"), StartMillis: 1}}
		return n
	}
	assert.Equal(t, len(f.Receive(at(time.Second), report(2)).Lost), 0)
	assert.Equal(t, len(f.Receive(at(2*time.Second), report(3)).Lost), 1)
	// A report of the VM before its restart is too late.
	restarted := notice(2, 1)
	restarted.StartMillis = 5
	f.Receive(at(3*time.Second), restarted)
	assert.Equal(t, len(f.Receive(at(10*time.Second), report(4)).Lost), 0)
	n := notice(1, 5)
	n.Lost = []thfleet.Loss{{VM: thfleet.VMKeyOf("vm-0"), StartMillis: 1}}
	assert.Assert(t, f.Receive(at(11*time.Second), n).ReportedLost)
}

// A notice that arrives after its sender has left must not make it a member again for
// good.
func TestLateNoticeAfterLeavingIsForgotten(t *testing.T) {
	f := thfleet.New(identity(0))
	f.Receive(at(0), notice(1, 1))
	leaving := notice(1, 3)
	leaving.Leaving = true
	f.Receive(at(0), leaving)
	late := notice(1, 2)
	late.Identity = nil
	f.Receive(at(time.Second), late)
	assert.Equal(t, len(f.Live()), 1)
	f.Probe(at(time.Minute))
	live, members := f.Size(at(time.Minute))
	assert.Equal(t, live, 1)
	assert.Equal(t, members, 1)
}

// A leaving VM's last notice carries results that no other notice repeats.
func TestResultsOfLeavingNoticeCount(t *testing.T) {
	f := thfleet.New(identity(0))
	f.Receive(at(0), notice(1, 1))
	n := notice(1, 2)
	n.Leaving, n.Results = true, []thfleet.AttemptResult{{Target: 1}}
	assert.Equal(t, len(f.Receive(at(0), n).Results), 1)
}

// The hash that VMs compare must follow from who is live, whatever the order of events.
func TestLiveHashFollowsFromLiveVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, now := thfleet.New(thfleet.Identity{ID: "self", Zone: "z0", Address: "1:1"}), time.Duration(0)
		sequence := uint32(0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "gap")) * time.Millisecond
			i := rapid.IntRange(0, 5).Draw(t, "vm")
			id := thfleet.Identity{ID: fmt.Sprint("vm-", i), Zone: fmt.Sprint("z", i%2), Address: fmt.Sprint("10.0.0.1:", rapid.IntRange(1, 2).Draw(t, "port"))}
			sequence++
			n := thfleet.Notice{From: thfleet.VMKeyOf(id.ID), StartMillis: uint64(rapid.IntRange(1, 3).Draw(t, "start")), Sequence: sequence}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				n.Identity = &id
				f.Receive(at(now), n)
			case 1:
				f.Receive(at(now), n)
			case 2:
				n.Leaving = true
				f.Receive(at(now), n)
			case 3:
				lost := thfleet.VMKeyOf(fmt.Sprint("vm-", rapid.IntRange(0, 5).Draw(t, "lost")))
				n.Lost = []thfleet.Loss{{VM: lost, StartMillis: uint64(rapid.IntRange(1, 3).Draw(t, "lostStart"))}}
				f.Receive(at(now), n)
			case 4:
				f.RecordPeer(at(now), id)
			case 5:
				f.Probe(at(now))
			}
			var want uint64
			for _, m := range f.Live() {
				want ^= uint64(m.Key)
			}
			assert.Equal(t, f.LiveHash(), want)
		}
	})
}

// While hundreds of VMs start together, each receives a notice of every other one. If each
// notice cost as much as the fleet is large, small VMs would serve no caller meanwhile.
func TestJoiningVMCostsTheSameInLargeFleet(t *testing.T) {
	bytesPerVM := func(vms int) uint64 {
		f := thfleet.New(thfleet.Identity{ID: "self", Zone: "z0", Address: "1:1"})
		notices := make([]thfleet.Notice, 0, vms)
		for i := range vms {
			id := &thfleet.Identity{ID: fmt.Sprint("vm-", i), Zone: "z0", Address: "1:1"}
			notices = append(notices, thfleet.Notice{From: thfleet.VMKeyOf(id.ID), StartMillis: 1, Sequence: 1, Identity: id, LiveHash: 1})
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for _, n := range notices {
			f.Receive(at(0), n)
			f.LiveHash()
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / uint64(vms)
	}
	small, large := bytesPerVM(50), bytesPerVM(1000)
	assert.Assert(t, large < 2*small, "%d bytes for each VM of 1000, %d of 50", large, small)
}
