package thfleet

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"tamarackhollow/core/thclock"

	"github.com/cespare/xxhash/v2"
)

const (
	// minParts is how many parts a customer's limit is divided into at least. With
	// fewer, the crash of one owner would take too much of the limit away.
	minParts = 3
	// ranksPerPart is how many VMs are in line for a part: its owner, and those that
	// take over while the ones before are silent.
	ranksPerPart = 4
	// suspicionLifetime is how long a VM that did not answer is passed over, unless it is
	// heard before.
	suspicionLifetime = time.Second
	// isolationDelay is how long a VM hears nothing from any other before it takes
	// itself for isolated. The VMs that it probes answer every ProbeInterval.
	isolationDelay = ProbeInterval + 200*time.Millisecond
	// isolationQuestions is how many questions in a row must remain unanswered, with
	// nothing heard from any VM, before a VM takes itself for isolated without waiting.
	isolationQuestions = 3
)

// Part is one of the equal parts of a customer's limit.
type Part struct {
	Number uint8
	Zone   string
	// Line holds the VMs that are in line for the part; the first one owns it.
	Line []Owner
}

// Owner is a VM that is in line for a part of a customer's limit.
type Owner struct {
	Key VMKey
	// Peer is empty if this VM is meant.
	Peer   Peer
	IsSelf bool
}

// LimitParts returns the parts of a customer's limit. Each availability zone has the
// same number of parts, and their owners are VMs of the zone. So a VM finds an owner
// near it, and zones that lose contact with each other never share a part. The VMs in
// line are those that rank first by rendezvous hashing: if a VM joins or is lost, only
// the parts that it owns move.
//
// A zone that has no live VM keeps its parts, which nobody can use meanwhile.
func (f *Fleet) LimitParts(now thclock.Instant, customer Key) []Part {
	zones, count := f.limitZones(now)
	parts := make([]Part, 0, count)
	for i := range count {
		parts = append(parts, f.limitPart(customer, i, zones))
	}
	return parts
}

// LimitPart returns one of the parts that LimitParts returns, and their number. It returns
// false if there is no such part.
func (f *Fleet) LimitPart(now thclock.Instant, customer Key, number uint8) (p Part, parts int, ok bool) {
	zones, count := f.limitZones(now)
	if int(number) >= count {
		return Part{}, count, false
	}
	return f.limitPart(customer, int(number), zones), count, true
}

// limitZones returns the zones that have parts of the limits, and the number of parts.
func (f *Fleet) limitZones(now thclock.Instant) (zones []string, parts int) {
	f.updateSize(now)
	zones = f.size.zones
	perZone := (minParts + len(zones) - 1) / len(zones)
	return zones, perZone * len(zones)
}

func (f *Fleet) limitPart(customer Key, number int, zones []string) Part {
	p := Part{Number: uint8(number), Zone: zones[number%len(zones)]}
	p.Line = f.lineFor(customer, p)
	return p
}

// lineFor returns the VMs of the part's zone that rank first for it.
func (f *Fleet) lineFor(customer Key, p Part) []Owner {
	line := make([]Owner, 0, ranksPerPart+1)
	weights := make([]uint64, 0, ranksPerPart+1)
	for _, m := range f.Live() {
		if m.Zone != p.Zone {
			continue
		}
		w := rendezvousWeight(customer, p.Number, m.Key)
		i, _ := slices.BinarySearchFunc(weights, w, func(a, b uint64) int { return cmp.Compare(b, a) })
		if i >= ranksPerPart {
			continue
		}
		o := Owner{Key: m.Key, IsSelf: m.peer == nil}
		if m.peer != nil {
			o.Peer = *m.peer
		}
		line, weights = slices.Insert(line, i, o), slices.Insert(weights, i, w)
		line, weights = line[:min(ranksPerPart, len(line))], weights[:min(ranksPerPart, len(weights))]
	}
	return line
}

func rendezvousWeight(customer Key, part uint8, vm VMKey) uint64 {
	var data [13]byte
	binary.LittleEndian.PutUint32(data[:], uint32(customer))
	binary.LittleEndian.PutUint64(data[4:], uint64(vm))
	data[12] = part
	return xxhash.Sum64(data[:])
}

// Skip records that a VM did not answer a question, so that for a while others are asked
// instead.
func (f *Fleet) Skip(now thclock.Instant, vm VMKey) {
	f.unanswered++
	if p := f.peers[vm]; p != nil {
		p.skipUntil = now.Add(suspicionLifetime)
	}
}

// IsSkipped reports whether the VM did not answer lately and was not heard since.
func (f *Fleet) IsSkipped(now thclock.Instant, vm VMKey) bool {
	p := f.peers[vm]
	return p != nil && now.Before(p.skipUntil)
}

// Suspect records that a VM did not answer repeatedly, so that this VM may take over from
// it where it is next in line.
func (f *Fleet) Suspect(now thclock.Instant, vm VMKey) {
	f.Skip(now, vm)
	if p := f.peers[vm]; p != nil {
		p.suspectUntil = p.skipUntil
	}
}

// IsSuspect reports whether the VM did not answer repeatedly and was not heard since.
func (f *Fleet) IsSuspect(now thclock.Instant, vm VMKey) bool {
	p := f.peers[vm]
	return p != nil && now.Before(p.suspectUntil)
}

// IsIsolated reports whether this VM has live peers but hears none of them.
func (f *Fleet) IsIsolated(now thclock.Instant) bool {
	return len(f.Live()) > 1 && (f.unanswered >= isolationQuestions || now.Sub(f.heardAt) >= isolationDelay)
}
