package thfleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"tamarackhollow/core/thclock"

	"github.com/cespare/xxhash/v2"
)

// Only one VM reads the platform's store. In each zone the first by rank among
// those heard leads: it tells the others of its zone each time that the store
// was read. The best of the leaders reads, and tells the other leaders. The
// next in rank steps in, among leaders and within a zone, when nothing is heard
// for a while.
const (
	// ReadInterval is how often the reader reads the list of targets. A target
	// that leaves gets no new requests after two seconds, so two readings may
	// fail.
	ReadInterval = 500 * time.Millisecond
	// baseTakeoverDelay is how long the second in rank waits for the reader, and step
	// how much longer each one after it waits.
	baseTakeoverDelay    = 900 * time.Millisecond
	takeoverDelayPerRank = 150 * time.Millisecond
	// maxDelayedRanks bounds the wait of the last in rank.
	maxDelayedRanks = 4
)

// ZoneRank returns this VM's place among the VMs of its zone that are heard; the
// first is 0.
func (f *Fleet) ZoneRank(now thclock.Instant) int {
	rank, own := 0, rankHash(f.self.ID)
	for _, p := range f.peers {
		if p.Identity.Zone == f.self.Zone && p.IsLive(now) && rankHash(p.Identity.ID) < own {
			rank++
		}
	}
	return rank
}

func rankHash(id string) uint64 { return xxhash.Sum64String("reader " + id) }

// LastReadInZone returns when a VM of this zone with a better rank last told that it
// has read the store.
func (f *Fleet) LastReadInZone() thclock.Instant {
	var last thclock.Instant
	own := rankHash(f.self.ID)
	for _, p := range f.peers {
		if p.Identity.Zone == f.self.Zone && rankHash(p.Identity.ID) < own && last.Before(p.storeReadAt) {
			last = p.storeReadAt
		}
	}
	return last
}

// isZoneLeader reports whether this VM sees to it that its zone is current: it is the
// first of its zone, or has heard of no reading for too long.
func (f *Fleet) isZoneLeader(now thclock.Instant) bool {
	rank := f.ZoneRank(now)
	return rank == 0 || now.Sub(f.LastReadInZone()) >= takeoverDelay(rank)
}

// takeoverDelay is how long the VM with the rank waits for a better one to read.
func takeoverDelay(rank int) time.Duration {
	return baseTakeoverDelay + time.Duration(min(rank, maxDelayedRanks))*takeoverDelayPerRank
}

// Role is what a VM does to keep its zone current.
type Role uint8

const (
	// Follower is to fetch what the zone's leader tells of.
	Follower Role = iota
	// Relayer is to lead the zone and fetch what the fleet's reader tells of.
	Relayer
	// Reader is to lead the zone and read the store.
	Reader
)

// Role returns what this VM has to do.
func (f *Fleet) Role(now thclock.Instant) Role {
	if !f.isZoneLeader(now) {
		return Follower
	}
	own, rank := rankHash(f.self.ID), 0
	for _, p := range f.OtherZoneLeaders(now) {
		if rankHash(p.Identity.ID) < own {
			rank++
		}
	}
	if rank > 0 && now.Sub(f.lastReadInOtherZones(own)) < takeoverDelay(rank) {
		return Relayer
	}
	return Reader
}

// lastReadInOtherZones returns when a VM of another zone whose rank is below the
// bound last told that it has read the store.
func (f *Fleet) lastReadInOtherZones(bound uint64) thclock.Instant {
	var last thclock.Instant
	for _, p := range f.peers {
		if p.Identity.Zone != f.self.Zone && rankHash(p.Identity.ID) < bound {
			last = last.Max(p.storeReadAt)
		}
	}
	return last
}

// HasRecentReadInOtherZone reports whether a VM of another zone, whatever its rank, has
// told lately that it has read the store.
func (f *Fleet) HasRecentReadInOtherZone(now thclock.Instant) bool {
	return now.Sub(f.lastReadInOtherZones(math.MaxUint64)) < baseTakeoverDelay
}

// OtherZoneLeaders returns the VM of each other zone that is the first of those heard.
func (f *Fleet) OtherZoneLeaders(now thclock.Instant) []Peer {
	first := make(map[string]Peer)
	for _, p := range f.Peers() {
		if p.Identity.Zone == f.self.Zone || !p.IsLive(now) {
			continue
		}
		if best, ok := first[p.Identity.Zone]; !ok || rankHash(p.Identity.ID) < rankHash(best.Identity.ID) {
			first[p.Identity.Zone] = p
		}
	}
	return slices.Collect(maps.Values(first))
}

// SelectRecipients returns the VMs that a notice is sent to directly, and those of other
// zones that pass it on within theirs, so that it crosses between two zones
// once, or twice if it is urgent. The number spreads the work over the VMs.
func (f *Fleet) SelectRecipients(now thclock.Instant, number uint32, urgent bool) (direct, relays []Peer) {
	zones := make(map[string][]Peer)
	for _, p := range f.Peers() {
		switch {
		case p.startMillis == 0 && now.Sub(p.DiscoveredAt) < LiveTimeout:
			direct = append(direct, p) // it may have come up just now
		case !p.IsLive(now):
		case p.Identity.Zone == f.self.Zone:
			direct = append(direct, p)
		default:
			zones[p.Identity.Zone] = append(zones[p.Identity.Zone], p)
		}
	}
	copies := 1
	if urgent {
		copies = 2
	}
	for _, ps := range zones {
		if len(ps) <= copies {
			direct = append(direct, ps...)
			continue
		}
		for i := range copies {
			relays = append(relays, ps[(int(number)+i*len(ps)/copies)%len(ps)])
		}
	}
	return direct, relays
}

// LivePeersInZone returns the heard VMs of this VM's zone, but for one.
func (f *Fleet) LivePeersInZone(now thclock.Instant, but VMKey) []Peer {
	var ps []Peer
	for _, p := range f.Peers() {
		if p.Identity.Zone == f.self.Zone && p.Key != but && p.IsLive(now) {
			ps = append(ps, p)
		}
	}
	return ps
}

// FindNewerPeer returns the heard VM that knows the newest of what this VM lacks, and
// false if none does.
func (f *Fleet) FindNewerPeer(now thclock.Instant, have StoreVersions) (Peer, bool) {
	var best Peer
	found := false
	for _, p := range f.peers {
		if p.Identity.ID == "" || !p.IsLive(now) {
			continue
		}
		if p.storeVersions.Table <= have.Table && p.storeVersions.Targets <= have.Targets {
			continue
		}
		if !found || p.storeVersions.Targets > best.storeVersions.Targets || p.storeVersions.Table > best.storeVersions.Table {
			best, found = *p, true
		}
	}
	return best, found
}
