package thfleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackhollow/core/thclock"

	"github.com/cespare/xxhash/v2"
)

// Only one VM, the reader, reads the platform's store. VMs are ranked by a hash of
// their ID. In each availability zone the live VM with the best rank is the leader:
// it notifies the other VMs of its zone of each read. The best-ranked leader is the
// reader and notifies the other leaders and their deputies, the next in rank. If the last
// read that a VM knows of, by whichever VM, is too old, the next in rank takes over, both
// among the leaders and within a zone. A VM that took over but can't read either gives way
// to the next after a turn, so that an outage of the store does not make all VMs try it.
const (
	// ReadInterval is how often the reader reads the list of targets. A draining
	// target must get no new requests after two seconds, so two reads in a row may
	// fail.
	ReadInterval = 500 * time.Millisecond
	// baseTakeoverDelay and takeoverDelayPerRank set how old the last read that VMs with
	// a better rank have reported must be before a VM takes over: the base plus the
	// delay per rank times its rank, where the best rank is 0.
	baseTakeoverDelay    = 700 * time.Millisecond
	takeoverDelayPerRank = 150 * time.Millisecond
	// fastRanks is how many VMs follow each other after takeoverDelayPerRank. Only if all
	// of them fail do the others follow, one after each turnInterval.
	fastRanks    = 4
	turnInterval = time.Second
	// turnDuration is how long a VM that took over tries to read before it gives way.
	turnDuration = 1200 * time.Millisecond
)

// ZoneRank returns this VM's rank among the live VMs of its zone; the best rank
// is 0.
func (f *Fleet) ZoneRank() int {
	rank, ownHash := 0, rankHash(f.self.ID)
	for _, p := range f.peers {
		if p.Identity.Zone == f.self.Zone && p.IsLive() && rankHash(p.Identity.ID) < ownHash {
			rank++
		}
	}
	return rank
}

// rankHash returns the hash that VMs are ranked by. The lowest has the best rank.
func rankHash(id string) uint64 { return xxhash.Sum64String("reader " + id) }

// LastReadInZone returns when the store was last read for versions that a VM of this zone
// with a better rank has announced; the zero Instant if none did.
func (f *Fleet) LastReadInZone() thclock.Instant {
	var last thclock.Instant
	ownHash := rankHash(f.self.ID)
	for _, p := range f.peers {
		if p.Identity.Zone == f.self.Zone && rankHash(p.Identity.ID) < ownHash {
			last = last.Max(f.readsOf(p).Complete())
		}
	}
	return last
}

// isZoneLeader reports whether this VM has to keep its zone up to date: it has the
// best rank of its zone, or better-ranked VMs have reported no read for its takeover
// delay and either this VM reports reads or it is its turn to try.
func (f *Fleet) isZoneLeader(now, since thclock.Instant) bool {
	rank := f.ZoneRank()
	if rank == 0 {
		return true
	}
	silence := now.Sub(since.Max(f.LastReadInZone()))
	if silence < takeoverDelay(rank) {
		return false
	}
	zoneSize, _ := f.ZoneSize(now)
	return now.Sub(f.announcedReads.Complete()) < turnDuration || isInTurn(rank, zoneSize, silence)
}

// takeoverDelay returns how long a VM of the given rank waits for a better-ranked VM
// to report a read.
func takeoverDelay(rank int) time.Duration {
	return baseTakeoverDelay + time.Duration(min(rank, fastRanks))*takeoverDelayPerRank + time.Duration(max(0, rank-fastRanks))*turnInterval
}

// isInTurn reports whether a VM may try to read that waits since better-ranked VMs became
// silent. Once all VMs of the zone had a turn, they begin again.
func isInTurn(rank, zoneSize int, silence time.Duration) bool {
	round := max(turnDuration, takeoverDelay(zoneSize)-takeoverDelay(1))
	return (silence-takeoverDelay(rank))%round < turnDuration
}

// Role is the part that a VM takes in keeping its zone up to date with the store.
type Role uint8

const (
	// Follower fetches new versions when the leader of its zone reports them.
	Follower Role = iota
	// Relayer leads its zone and fetches new versions when the fleet's reader reports
	// them.
	Relayer
	// Reader leads its zone and reads the store.
	Reader
)

// Role returns the current role of this VM, which has known the other VMs since the given
// time. Before that, it would not have heard of a read.
func (f *Fleet) Role(now, since thclock.Instant) Role {
	if !f.isZoneLeader(now, since) {
		return Follower
	}
	ownHash, rank := rankHash(f.self.ID), 0
	for _, p := range f.OtherZoneLeaders() {
		if rankHash(p.Identity.ID) < ownHash {
			rank++
		}
	}
	if rank > 0 && now.Sub(since.Max(f.lastReadInOtherZones(ownHash))) < takeoverDelay(rank) {
		return Relayer
	}
	return Reader
}

// lastReadInOtherZones returns when the store was last read for versions that a VM of another
// zone whose rank hash is below hashLimit has announced; the zero Instant if none did.
func (f *Fleet) lastReadInOtherZones(hashLimit uint64) thclock.Instant {
	var last thclock.Instant
	for _, p := range f.peers {
		if p.Identity.Zone != f.self.Zone && rankHash(p.Identity.ID) < hashLimit {
			last = last.Max(f.readsOf(p).Complete())
		}
	}
	return last
}

// RoleBasis is what the role of a VM follows from.
type RoleBasis struct {
	// ZoneRank is the VM's rank in its zone.
	ZoneRank int
	// SilentInZone and SilentElsewhere are how long ago a read was last reported by a VM of
	// a better rank, in this VM's zone and in the others; negative if none was.
	SilentInZone, SilentElsewhere time.Duration
}

// RoleBasis returns what the role of this VM follows from.
func (f *Fleet) RoleBasis(now thclock.Instant) RoleBasis {
	silence := func(lastRead thclock.Instant) time.Duration {
		if lastRead == (thclock.Instant{}) {
			return -time.Millisecond
		}
		return now.Sub(lastRead)
	}
	return RoleBasis{
		ZoneRank: f.ZoneRank(), SilentInZone: silence(f.LastReadInZone()),
		SilentElsewhere: silence(f.lastReadInOtherZones(rankHash(f.self.ID))),
	}
}

const (
	// deputies is how many VMs of each zone hear of reads in other zones besides its leader.
	// They relay what the leader does not, since it may have crashed.
	deputies = 2
	// deputyDelay is how long, times its rank, a deputy leaves newer versions to the VMs
	// with a better rank.
	deputyDelay = 100 * time.Millisecond
)

// OtherZoneLeaders returns, for each other zone, the live VM with the best rank. The
// order of zones is random.
func (f *Fleet) OtherZoneLeaders() []Peer { return f.firstOfOtherZones(1) }

// Representatives returns, for each other zone, its leader and its deputies. The order of
// zones is random.
func (f *Fleet) Representatives() []Peer { return f.firstOfOtherZones(1 + deputies) }

// firstOfOtherZones returns the first n live VMs of each other zone, in the order of ranks.
func (f *Fleet) firstOfOtherZones(n int) []Peer {
	zones := make(map[string][]Peer)
	for _, p := range f.peers {
		if p.Identity.Zone == f.self.Zone || !p.IsLive() {
			continue
		}
		zone := append(zones[p.Identity.Zone], *p)
		slices.SortFunc(zone, func(a, b Peer) int { return cmp.Compare(rankHash(a.Identity.ID), rankHash(b.Identity.ID)) })
		zones[p.Identity.Zone] = zone[:min(n, len(zone))]
	}
	return slices.Concat(slices.Collect(maps.Values(zones))...)
}
