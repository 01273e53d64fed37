package thfleet

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// LiveTimeout is how long a VM that is probed may be silent before it is lost.
	LiveTimeout = 3 * time.Second
	// ProbeInterval is the time between two probes of a VM.
	ProbeInterval = time.Second
	// probedVMs is how many VMs each VM probes, so that a VM is probed by others even
	// if one of them crashes with it.
	probedVMs = 2
	// rumourPrecedence is how long a VM that was heard is not taken for lost because
	// another VM says so.
	rumourPrecedence = 1500 * time.Millisecond
	// MemberTimeout is how long a VM counts as a member of the fleet after it was lost
	// or, if it was never heard, after its discovery. While it does, a share of the
	// customers' limits is reserved for it.
	MemberTimeout = 15 * time.Second
	// forgetAfter is how long a VM that is not live is remembered. Until then it is
	// contacted now and then, in case only the path to it was lost, and its zone keeps
	// its part of the customers' limits.
	forgetAfter = time.Hour
)

// Member is a live VM with its place in its zone.
type Member struct {
	Key  VMKey
	Zone string
	// Rank is the VM's position in its zone, from 0, in the order of keys, and ZoneSize
	// the number of live VMs of the zone.
	Rank, ZoneSize int
	// peer is nil for this VM itself.
	peer *Peer
}

// liveIndex lists the live VMs whose identity is known, this one included.
type liveIndex struct {
	// ring holds the VMs in the order of their keys. It is made anew when it is next
	// used if outdated is set.
	ring     []Member
	outdated bool
	// hash is the exclusive or of the VMs' keys. Unlike the ring, it is kept up to date
	// with each VM: while a fleet starts, each notice of hundreds changes it.
	hash uint64
	// changedAt is when the live VMs of each zone last changed.
	changedAt map[string]thclock.Instant
	// lastChangedAt is when the live VMs of any zone last changed, and generation how
	// often they did.
	lastChangedAt thclock.Instant
	generation    uint64
}

// IsLive reports whether the VM is known, has sent a notice and was not lost since.
func (p *Peer) IsLive() bool { return p.Identity.ID != "" && p.startMillis != 0 && !p.isLost() }

func (p *Peer) isLost() bool { return p.lostAt != (thclock.Instant{}) }

// updateLive records what became of a VM that was live before or not. It must be called
// after each change of what makes a VM live.
func (f *Fleet) updateLive(now thclock.Instant, p *Peer, wasLive bool) {
	if p.IsLive() == wasLive {
		return
	}
	f.live.hash ^= uint64(p.Key)
	f.changed(now, p.Identity.Zone)
}

// changed records that a VM of the zone joined, left, was lost or became live.
func (f *Fleet) changed(now thclock.Instant, zone string) {
	if f.live.changedAt == nil {
		f.live.changedAt = make(map[string]thclock.Instant)
	}
	f.live.changedAt[zone], f.live.lastChangedAt = now, now
	f.live.outdated = true
	f.live.generation++
	f.size = sizeCache{}
}

// Live returns the live VMs, this one included, in the order of their keys. The result
// must not be changed.
func (f *Fleet) Live() []Member {
	if !f.live.outdated {
		return f.live.ring
	}
	ring := []Member{{Key: f.key, Zone: f.self.Zone}}
	for _, p := range f.peers {
		if p.IsLive() {
			ring = append(ring, Member{Key: p.Key, Zone: p.Identity.Zone, peer: p})
		}
	}
	slices.SortFunc(ring, func(a, b Member) int { return cmp.Compare(a.Key, b.Key) })
	sizes := make(map[string]int)
	for i, m := range ring {
		ring[i].Rank = sizes[m.Zone]
		sizes[m.Zone]++
	}
	for i, m := range ring {
		ring[i].ZoneSize = sizes[m.Zone]
	}
	f.live.ring, f.live.outdated = ring, false
	return ring
}

// LiveHash returns a hash of the live VMs, for Notice.LiveHash.
func (f *Fleet) LiveHash() uint64 { return f.live.hash }

// Roster returns the identities of this VM, of the live ones and of those that have just
// been discovered.
func (f *Fleet) Roster(now thclock.Instant) []Identity {
	vms := []Identity{f.self}
	for _, m := range f.Live() {
		if m.peer != nil {
			vms = append(vms, m.peer.Identity)
		}
	}
	for _, p := range f.NewlyDiscovered(now) {
		vms = append(vms, p.Identity)
	}
	return vms
}

// differingProbes is how many answers to probes in a row must come with another LiveHash
// before the VMs are compared. While VMs join or are lost, hashes differ for a moment.
const differingProbes = 3

// compareHash records whether a VM knows the same live VMs as this one, and reports
// whether it knows others for so long that a notice must have been lost.
func (f *Fleet) compareHash(p *Peer, hash uint64) (differs bool) {
	if hash == 0 || hash == f.LiveHash() {
		p.differing = 0
		return false
	}
	p.differing++
	if p.differing < differingProbes {
		return false
	}
	p.differing = 0
	return true
}

// Self returns this VM's place in its zone.
func (f *Fleet) Self() Member {
	ring := f.Live()
	i, _ := slices.BinarySearchFunc(ring, f.key, func(m Member, k VMKey) int { return cmp.Compare(m.Key, k) })
	return ring[i]
}

// ChangedAt returns when the live VMs last changed.
func (f *Fleet) ChangedAt() thclock.Instant { return f.live.lastChangedAt }

// Generation returns a number that increases whenever the live VMs change.
func (f *Fleet) Generation() uint64 { return f.live.generation }

// ZoneChangedAt returns when the live VMs of this VM's zone last changed.
func (f *Fleet) ZoneChangedAt() thclock.Instant { return f.live.changedAt[f.self.Zone] }

// sizeCache holds the result of Size until a time.
type sizeCache struct {
	live, members         int
	zoneLive, zoneMembers int
	// zones holds the zones of this VM and of all VMs that it remembers, in order.
	zones      []string
	validUntil thclock.Instant
}

// sizeValidity is how long a computed size is used if no VM joins or is lost.
const sizeValidity = 100 * time.Millisecond

// Size returns how many VMs are live and how many are members of the fleet. Both
// counts include this VM.
func (f *Fleet) Size(now thclock.Instant) (live, members int) {
	f.updateSize(now)
	return f.size.live, f.size.members
}

// ZoneSize returns the same counts as Size for this VM's zone.
func (f *Fleet) ZoneSize(now thclock.Instant) (live, members int) {
	f.updateSize(now)
	return f.size.zoneLive, f.size.zoneMembers
}

func (f *Fleet) updateSize(now thclock.Instant) {
	if now.Before(f.size.validUntil) {
		return
	}
	s := sizeCache{live: 1, members: 1, zoneLive: 1, zoneMembers: 1, validUntil: now.Add(sizeValidity)}
	zones := map[string]bool{f.self.Zone: true}
	for _, p := range f.peers {
		inZone := p.Identity.Zone == f.self.Zone
		if p.Identity.ID != "" {
			zones[p.Identity.Zone] = true
		}
		if p.IsLive() {
			s.live++
			if inZone {
				s.zoneLive++
			}
		}
		if p.isMember(now) {
			s.members++
			if inZone {
				s.zoneMembers++
			}
		}
	}
	s.zones = slices.Sorted(maps.Keys(zones))
	f.size = s
}

func (p *Peer) isMember(now thclock.Instant) bool {
	return p.IsLive() || now.Sub(p.lostAt.Max(p.LastHeardAt).Max(p.DiscoveredAt)) < MemberTimeout
}

// probes records since when this VM probes others.
type probes struct {
	since map[VMKey]thclock.Instant
	// lastAt is when Probe was last called.
	lastAt thclock.Instant
}

// Probe returns the VMs that this VM has to probe now, and those that were silent
// for LiveTimeout, which are lost from now on. It must be called every ProbeInterval.
// Each probe asks for an answer, so that a VM is heard if there is a path to it.
func (f *Fleet) Probe(now thclock.Instant) (probe []Peer, lost []Peer) {
	if f.probes.lastAt != (thclock.Instant{}) && now.Sub(f.probes.lastAt) > 2*ProbeInterval {
		clear(f.probes.since) // this VM itself was suspended, and has not received the answers
	}
	f.probes.lastAt = now
	for {
		probe = f.successors()
		silent := f.recordProbed(now, probe)
		if len(silent) == 0 {
			break
		}
		for _, p := range silent {
			lost = append(lost, *p)
			f.lose(now, p)
		}
	}
	f.forget(now)
	f.sweepLoads(now)
	return probe, lost
}

// successors returns the VMs that follow this one in the order of keys.
func (f *Fleet) successors() []Peer {
	ring := f.Live()
	self, _ := slices.BinarySearchFunc(ring, f.key, func(m Member, k VMKey) int { return cmp.Compare(m.Key, k) })
	var ps []Peer
	for i := 1; i < len(ring) && len(ps) < probedVMs; i++ {
		ps = append(ps, *ring[(self+i)%len(ring)].peer)
	}
	return ps
}

// recordProbed records which VMs are probed and returns those that have been silent for
// LiveTimeout while they were.
func (f *Fleet) recordProbed(now thclock.Instant, probe []Peer) (silent []*Peer) {
	since := make(map[VMKey]thclock.Instant, len(probe))
	for _, p := range probe {
		begun, ok := f.probes.since[p.Key]
		if !ok {
			begun = now
		}
		since[p.Key] = begun
		if now.Sub(begun.Max(p.LastHeardAt)) >= LiveTimeout {
			silent = append(silent, f.peers[p.Key])
		}
	}
	f.probes.since = since
	return silent
}

// lose records that a live VM was lost.
func (f *Fleet) lose(now thclock.Instant, p *Peer) {
	wasLive := p.IsLive()
	p.lostAt = now
	f.removeLoads(p.Key)
	f.updateLive(now, p, wasLive)
}

// receiveLosses records the VMs that another VM reports as lost, except those that this
// VM has just heard itself.
func (f *Fleet) receiveLosses(now thclock.Instant, losses []Loss, u *Update) {
	for _, l := range losses {
		if l.VM == f.key {
			u.ReportedLost = true
			continue
		}
		p := f.peers[l.VM]
		if p == nil || !p.IsLive() || p.startMillis != l.StartMillis || now.Sub(p.LastHeardAt) < rumourPrecedence {
			continue
		}
		u.Lost = append(u.Lost, p.Identity)
		f.lose(now, p)
	}
}

// LossOf returns the report of a VM that was found silent.
func LossOf(p Peer) Loss { return Loss{VM: p.Key, StartMillis: p.startMillis} }

// IsStillLost reports whether a VM that was lost has not been heard since.
func (f *Fleet) IsStillLost(p Peer) bool {
	known := f.peers[p.Key]
	return known != nil && known.isLost() && known.startMillis == p.startMillis
}

// RandomSilentPeer returns one of the VMs that are known but not live, to contact it
// again, and false if there is none.
func (f *Fleet) RandomSilentPeer(rng *rand.Rand) (Peer, bool) {
	silent := f.SilentPeers()
	if len(silent) == 0 {
		return Peer{}, false
	}
	return silent[rng.IntN(len(silent))], true
}

// SilentPeers returns the VMs that are known but not live, ordered by key.
func (f *Fleet) SilentPeers() []Peer {
	return slices.DeleteFunc(f.Peers(), func(p Peer) bool { return p.IsLive() })
}

// forget removes the VMs that have not been live for forgetAfter, and those that never
// said who they are, such as one whose last notice arrived after it had left.
func (f *Fleet) forget(now thclock.Instant) {
	for key, p := range f.peers {
		if p.IsLive() {
			continue
		}
		age := now.Sub(p.lostAt.Max(p.LastHeardAt).Max(p.DiscoveredAt))
		if age >= forgetAfter || p.Identity.ID == "" && age >= MemberTimeout {
			delete(f.peers, key)
		}
	}
}
