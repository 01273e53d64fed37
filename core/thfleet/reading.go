package thfleet

import (
	"time"

	"tamarackhollow/core/thclock"

	"github.com/cespare/xxhash/v2"
)

// Only a few VMs read the platform's store: in each zone the first by rank
// among those heard. It tells the others of its zone each time that it has
// read. The next in rank steps in when nothing is heard for a while.
const (
	// ReadEvery is how often the reader reads the list of targets. A target
	// that leaves gets no new requests after two seconds, so two readings may
	// fail.
	ReadEvery = 500 * time.Millisecond
	// firstStep is how long the second in rank waits for the reader, and step
	// how much longer each one after it waits.
	firstStep = 900 * time.Millisecond
	step      = 150 * time.Millisecond
	// maxSteps bounds the wait of the last in rank.
	maxSteps = 4
)

// Rank returns this VM's place among the VMs of its zone that are heard; the
// first is 0.
func (f *Fleet) Rank(now thclock.Instant) int {
	rank, own := 0, rankKey(f.self.ID)
	for _, p := range f.peers {
		if p.Identity.Zone == f.self.Zone && p.IsHeard(now) && rankKey(p.Identity.ID) < own {
			rank++
		}
	}
	return rank
}

func rankKey(id string) uint64 { return xxhash.Sum64String("reader " + id) }

// LastRead returns when a VM of this zone with a better rank last told that it
// has read the store.
func (f *Fleet) LastRead() thclock.Instant {
	var last thclock.Instant
	own := rankKey(f.self.ID)
	for _, p := range f.peers {
		if p.Identity.Zone == f.self.Zone && rankKey(p.Identity.ID) < own && last.Before(p.readAt) {
			last = p.readAt
		}
	}
	return last
}

// ShouldRead reports whether this VM is to read the store: it is the first of
// its zone, or has heard of no reading for too long.
func (f *Fleet) ShouldRead(now thclock.Instant) bool {
	rank := f.Rank(now)
	if rank == 0 {
		return true
	}
	return now.Sub(f.LastRead()) >= firstStep+time.Duration(min(rank, maxSteps))*step
}

// Route returns the VMs that a notice is sent to directly, and those of other
// zones that pass it on within theirs, so that it crosses between two zones
// once, or twice if it is urgent. The number spreads the work over the VMs.
func (f *Fleet) Route(now thclock.Instant, number uint32, urgent bool) (direct, relays []Peer) {
	zones := make(map[string][]Peer)
	for _, p := range f.Peers() {
		switch {
		case p.start == 0 && now.Sub(p.KnownAt) < HeardWithin:
			direct = append(direct, p) // it may have come up just now
		case !p.IsHeard(now):
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

// Zone returns the heard VMs of this VM's zone, but for one.
func (f *Fleet) Zone(now thclock.Instant, but VMKey) []Peer {
	var ps []Peer
	for _, p := range f.Peers() {
		if p.Identity.Zone == f.self.Zone && p.Key != but && p.IsHeard(now) {
			ps = append(ps, p)
		}
	}
	return ps
}

// Ahead returns the heard VM that knows the newest of what this VM lacks, and
// false if none does.
func (f *Fleet) Ahead(now thclock.Instant, have Reading) (Peer, bool) {
	var best Peer
	found := false
	for _, p := range f.peers {
		if p.Identity.ID == "" || !p.IsHeard(now) {
			continue
		}
		if p.reading.Table <= have.Table && p.reading.Targets <= have.Targets {
			continue
		}
		if !found || p.reading.Targets > best.reading.Targets || p.reading.Table > best.reading.Table {
			best, found = *p, true
		}
	}
	return best, found
}
