package thfleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"

	"gotest.tools/v3/assert"
)

// simulation runs VMs in three zones that act as their roles require. VMs are numbered by
// their index in ids.
type simulation struct {
	ids     []thfleet.Identity
	fleets  []*thfleet.Fleet
	crashed []bool
	// isolatedZone is a zone that no notice enters or leaves; empty for none.
	isolatedZone string
	// refused holds the VMs whose requests the store refuses.
	refused map[int]bool
	// updatedAt is when each VM last read the store or received its versions.
	updatedAt []time.Duration
	sequence  uint32
	now       time.Duration
	// recentReaders holds the VMs that read the store in the last second, and refusedReaders
	// those that it refused.
	recentReaders, refusedReaders map[int]bool
}

func newSimulation(vms int) *simulation {
	s := &simulation{recentReaders: map[int]bool{}, refused: map[int]bool{}, refusedReaders: map[int]bool{}}
	for i := range vms {
		id := thfleet.Identity{ID: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Address: fmt.Sprintf("10.0.0.%d:1", i+1)}
		s.ids = append(s.ids, id)
		s.fleets = append(s.fleets, thfleet.New(id))
	}
	s.crashed, s.updatedAt = make([]bool, len(s.ids)), make([]time.Duration, len(s.ids))
	return s
}

// reaches reports whether a notice of VM i arrives at VM j.
func (s *simulation) reaches(i, j int) bool {
	from, to := s.ids[i].Zone, s.ids[j].Zone
	return i != j && !s.crashed[j] && (from == to || from != s.isolatedZone && to != s.isolatedZone)
}

// send delivers a notice of VM i to the VMs that to selects.
func (s *simulation) send(i int, to func(j int) bool) {
	s.sequence++
	s.deliver(i, thfleet.Notice{From: thfleet.VMKeyOf(s.ids[i].ID), StartMillis: 1, Sequence: s.sequence, Identity: &s.ids[i]}, to)
}

func (s *simulation) deliver(i int, n thfleet.Notice, to func(j int) bool) {
	for j := range s.fleets {
		if s.reaches(i, j) && to(j) {
			s.fleets[j].Receive(at(s.now), n)
		}
	}
}

// announce lets VM i announce what was read from the store at the given time.
func (s *simulation) announce(i int, readAt time.Duration, to func(j int) bool) {
	s.sequence++
	versions, reads := thfleet.StoreVersions{Table: 1, Targets: position(1)}, thfleet.StoreReads{Table: at(readAt), Targets: at(readAt)}
	s.fleets[i].RecordAnnouncement(at(s.now), versions, reads)
	ages := reads.Ages(at(s.now))
	n := thfleet.Notice{From: thfleet.VMKeyOf(s.ids[i].ID), StartMillis: 1, Sequence: s.sequence, Identity: &s.ids[i], ReadAges: &ages}.WithVersions(versions)
	s.deliver(i, n, func(j int) bool {
		if !to(j) {
			return false
		}
		if s.reaches(i, j) {
			s.updatedAt[j] = max(s.updatedAt[j], readAt)
		}
		return true
	})
}

// probe lets VM i probe others and report those that are lost. The notices that all VMs
// send each second answer the probes.
func (s *simulation) probe(i int) {
	_, lost := s.fleets[i].Probe(at(s.now))
	if len(lost) == 0 {
		return
	}
	s.sequence++
	n := thfleet.Notice{From: thfleet.VMKeyOf(s.ids[i].ID), StartMillis: 1, Sequence: s.sequence}
	for _, p := range lost {
		n.Lost = append(n.Lost, thfleet.LossOf(p))
	}
	for j := range s.fleets {
		if s.reaches(i, j) {
			s.fleets[j].Receive(at(s.now), n)
		}
	}
}

// step simulates a tenth of a second.
func (s *simulation) step() {
	for i, f := range s.fleets {
		if s.crashed[i] {
			continue
		}
		if s.now%time.Second == 0 {
			s.send(i, func(int) bool { return true })
			s.probe(i)
		}
		inZone := func(j int) bool { return s.ids[j].Zone == s.ids[i].Zone }
		role := f.Role(at(s.now), thclock.Instant{})
		if role == thfleet.Reader && s.refused[i] {
			s.refusedReaders[i] = true
		}
		switch {
		case role == thfleet.Reader && !s.refused[i]:
			if s.now%thfleet.ReadInterval != 0 {
				break
			}
			s.recentReaders[i], s.updatedAt[i] = true, s.now
			s.announce(i, s.now, func(j int) bool { return inZone(j) || s.isLeader(f, j) })
		case role != thfleet.Follower && f.IsRelayDue(at(s.now), role, thfleet.StoreVersions{Table: 1, Targets: position(1)}):
			s.announce(i, s.updatedAt[i], inZone)
		}
	}
	s.now += 100 * time.Millisecond
}

// isLeader reports whether VM j is the leader of another zone, as f knows it.
func (s *simulation) isLeader(f *thfleet.Fleet, j int) bool {
	for _, p := range f.Representatives() {
		if p.Identity.ID == s.ids[j].ID {
			return true
		}
	}
	return false
}

// run simulates the given time span and returns the longest time that any VM went
// without store versions.
func (s *simulation) run(span time.Duration) time.Duration {
	var longestGap time.Duration
	for until := s.now + span; s.now < until; {
		if s.now%time.Second == 0 {
			clear(s.recentReaders)
			clear(s.refusedReaders)
		}
		s.step()
		for i := range s.fleets {
			if !s.crashed[i] {
				longestGap = max(longestGap, s.now-s.updatedAt[i])
			}
		}
	}
	return longestGap
}

// maxDrainDelay is the time after which a draining target must get no new requests.
const maxDrainDelay = 2 * time.Second

// The reader crashes five times. Each time, one VM must take over before any VM's
// list of targets is two seconds old.
func TestOneVMReadsForAllZones(t *testing.T) {
	s := newSimulation(9)
	s.run(5 * time.Second)
	for range 5 {
		assert.Assert(t, s.run(900*time.Millisecond) < maxDrainDelay)
		assert.Equal(t, len(s.recentReaders), 1, "%v", s.recentReaders)
		for i := range s.recentReaders {
			s.crashed[i] = true
		}
		assert.Assert(t, s.run(5100*time.Millisecond) < maxDrainDelay)
	}
}

// An isolated zone receives no versions from the reader and must read the store
// itself, until the zones are connected again.
func TestIsolatedZoneReadsForItself(t *testing.T) {
	s := newSimulation(9)
	s.run(5 * time.Second)
	s.isolatedZone = "zone-1"
	assert.Assert(t, s.run(5*time.Second) < maxDrainDelay)
	assert.Equal(t, len(s.recentReaders), 2, "%v", s.recentReaders)
	s.isolatedZone = ""
	assert.Assert(t, s.run(4*time.Second) < maxDrainDelay)
	assert.Equal(t, len(s.recentReaders), 1, "%v", s.recentReaders)
}

// A reader whose requests the store refuses still sends notices, so that only the
// missing versions show that another VM has to read.
func TestReaderRefusedByStoreIsReplaced(t *testing.T) {
	s := newSimulation(9)
	s.run(5 * time.Second)
	for i := range s.recentReaders {
		s.refused[i] = true
	}
	assert.Assert(t, s.run(5*time.Second) < maxDrainDelay)
	assert.Equal(t, len(s.recentReaders), 1, "%v", s.recentReaders)
}

// Each VM that takes itself for the reader calls the store at least once in two seconds.
// During an outage the store must not get more calls for each VM of a large fleet.
func TestOutageOfStoreMakesFewVMsTryIt(t *testing.T) {
	const vms, zones, maxPerZone = 150, 3, 5
	s := newSimulation(vms)
	s.run(5 * time.Second)
	for i := range vms {
		s.refused[i] = true
	}
	s.run(5 * time.Second)
	for range 20 {
		s.run(900 * time.Millisecond)
		assert.Assert(t, len(s.refusedReaders) <= zones*maxPerZone, "%d VMs try to read the store", len(s.refusedReaders))
		s.run(100 * time.Millisecond)
	}
	clear(s.refused)
	s.run(3 * time.Second)
	assert.Equal(t, len(s.recentReaders), 1, "%v", s.recentReaders)
}

// The store may refuse most VMs and answer the others. One of these must read for all,
// while few others try.
func TestReaderIsFoundThoughStoreRefusesMostVMs(t *testing.T) {
	const vms, zones, maxPerZone = 60, 3, 5
	for seed := range uint64(5) {
		s := newSimulation(vms)
		s.run(5 * time.Second)
		rng := rand.New(rand.NewPCG(seed, 1))
		for i := range vms {
			s.refused[i] = rng.Float64() < 0.7
		}
		assert.Assert(t, s.run(5*time.Second) < 2*maxDrainDelay, "seed %d", seed)
		for range 20 {
			assert.Assert(t, s.run(900*time.Millisecond) < maxDrainDelay, "seed %d", seed)
			assert.Assert(t, len(s.refusedReaders) <= zones*maxPerZone, "seed %d: %d VMs try in vain", seed, len(s.refusedReaders))
			s.run(100 * time.Millisecond)
		}
	}
}
