package thfleet

import (
	"cmp"
	"slices"
	"time"

	"tamarackhollow/core/thclock"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadTimeout is how long a load counts without news of it, so that a VM
	// that died does not hold its targets' slots.
	loadTimeout = 4 * time.Second
	// LiveTimeout is how long after its last notice a VM counts as heard. VMs
	// send one a second at the least.
	LiveTimeout = 3 * time.Second
	// MemberTimeout is how long a silent VM counts as a part of the fleet, which
	// its share of the limits is kept for.
	MemberTimeout = 15 * time.Second
)

// KeyOf returns the key of a name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// VMKeyOf returns the key of a VM's ID.
func VMKeyOf(id string) VMKey { return VMKey(xxhash.Sum64String(id)) }

// Peer is another VM.
type Peer struct {
	Identity    Identity
	Key         VMKey
	LastHeardAt thclock.Instant
	// DiscoveredAt is when the VM was first known of.
	DiscoveredAt thclock.Instant
	startMillis  uint64
	lastSequence uint32
	// receivedBits has a bit for each of the last notices that came: the lowest is
	// that of number.
	receivedBits uint64
	// admitted, retries and refused hold the totals last heard.
	admitted, retries, refused map[Key]uint32
	storeVersions              StoreVersions
	storeReadAt                thclock.Instant
}

// load is what one VM has in flight at one target.
type load struct {
	inFlight  uint16
	expiresAt thclock.Instant
}

// Fleet is what one VM knows of the others. Make one with New. It is not safe
// for concurrent use.
type Fleet struct {
	self  Identity
	key   VMKey
	peers map[VMKey]*Peer
	loads map[Key]map[VMKey]load
}

// New returns the fleet of a VM that knows no other.
func New(self Identity) *Fleet {
	return &Fleet{
		self: self, key: VMKeyOf(self.ID), peers: make(map[VMKey]*Peer), loads: make(map[Key]map[VMKey]load),
	}
}

// Update is what a notice adds to what was known.
type Update struct {
	// Stale is set if the notice is older than one that came before, and Duplicate
	// if it came before itself.
	Stale, Duplicate bool
	Results          []AttemptResult
	Crashes          []Crash
	// Admitted, Retries and Refused are what was added since the last notice.
	Admitted, Retries, Refused []KeyCount
	// Joined is set if the sender's identity is new.
	Joined bool
	// SenderUnknown is set if the sender's identity is not known.
	SenderUnknown bool
	// BecameLive is set if the sender introduces itself and was not heard before,
	// or has started anew.
	BecameLive bool
}

// RecordPeer takes in that a VM exists, and reports whether that is new.
func (f *Fleet) RecordPeer(now thclock.Instant, i Identity) bool {
	key := VMKeyOf(i.ID)
	if key == f.key || i.ID == "" {
		return false
	}
	p := f.peers[key]
	if p == nil {
		f.peers[key] = newPeer(now, key, i)
		return true
	}
	changed := p.Identity.Address != i.Address
	p.Identity = i
	return changed
}

func newPeer(now thclock.Instant, key VMKey, i Identity) *Peer {
	return &Peer{Identity: i, Key: key, DiscoveredAt: now, admitted: make(map[Key]uint32), retries: make(map[Key]uint32), refused: make(map[Key]uint32)}
}

// Receive takes in a notice.
func (f *Fleet) Receive(now thclock.Instant, n Notice) Update {
	if n.From == f.key {
		return Update{Stale: true}
	}
	var news Update
	if n.Identity != nil && VMKeyOf(n.Identity.ID) == n.From {
		news.Joined = f.RecordPeer(now, *n.Identity)
	}
	p := f.peers[n.From]
	if p == nil {
		news.SenderUnknown = true
		p = newPeer(now, n.From, Identity{})
		f.peers[n.From] = p
	}
	news.SenderUnknown = p.Identity.ID == ""
	switch {
	case n.StartMillis < p.startMillis && !p.IsLive(now):
		// The VM started anew with its clock set back.
		f.resetPeer(p)
	case n.StartMillis < p.startMillis || n.StartMillis == p.startMillis && n.Sequence <= p.lastSequence:
		// Totals only rise, so a notice that was overtaken adds nothing but its ends.
		news.Stale = true
		if news.Duplicate = n.StartMillis < p.startMillis || p.markReceived(n.Sequence); !news.Duplicate {
			news.Results, news.Crashes = n.Results, n.Crashes
		}
		return news
	case n.StartMillis > p.startMillis:
		news.BecameLive = n.Identity != nil
		f.resetPeer(p)
	}
	news.BecameLive = news.BecameLive || n.Identity != nil && !p.IsLive(now)
	known := p.startMillis != 0
	p.recordNewest(n)
	p.LastHeardAt = now
	if n.Leaving {
		f.removePeer(n.From)
		return news
	}
	f.recordLoads(now, n)
	news.Results, news.Crashes = n.Results, n.Crashes
	news.Admitted = updateTotals(p.admitted, n.Admitted, known)
	news.Retries = updateTotals(p.retries, n.Retries, known)
	news.Refused = updateTotals(p.refused, n.Refused, known)
	if n.StoreVersions != nil {
		p.storeVersions, p.storeReadAt = *n.StoreVersions, now
	}
	return news
}

// receivedWindowNotices is how many notices a peer's window covers.
const receivedWindowNotices = 64

// markReceived marks an earlier notice as come, and reports whether it had come before.
func (p *Peer) markReceived(number uint32) bool {
	age := p.lastSequence - number
	if age >= receivedWindowNotices {
		return true
	}
	bit := uint64(1) << age
	was := p.receivedBits&bit != 0
	p.receivedBits |= bit
	return was
}

// recordNewest takes in the newest notice's number.
func (p *Peer) recordNewest(n Notice) {
	if n.StartMillis != p.startMillis {
		p.receivedBits = 0
	}
	if steps := n.Sequence - p.lastSequence; steps < receivedWindowNotices {
		p.receivedBits <<= steps
	} else {
		p.receivedBits = 0
	}
	p.receivedBits |= 1
	p.startMillis, p.lastSequence = n.StartMillis, n.Sequence
}

// resetPeer forgets the totals of a peer that started anew: they begin at 0.
func (f *Fleet) resetPeer(p *Peer) {
	clear(p.admitted)
	clear(p.retries)
	clear(p.refused)
	for _, vms := range f.loads {
		delete(vms, p.Key)
	}
}

func (f *Fleet) removePeer(key VMKey) {
	delete(f.peers, key)
	for _, vms := range f.loads {
		delete(vms, key)
	}
}

func (f *Fleet) recordLoads(now thclock.Instant, n Notice) {
	for _, l := range n.Loads {
		if l.InFlight == 0 {
			delete(f.loads[l.Target], n.From)
			continue
		}
		if f.loads[l.Target] == nil {
			f.loads[l.Target] = make(map[VMKey]load)
		}
		f.loads[l.Target][n.From] = load{l.InFlight, now.Add(loadTimeout)}
	}
}

// updateTotals returns by how much the totals rose, and keeps them. The first totals
// of a VM that ran before it was known add nothing: they may be old.
func updateTotals(kept map[Key]uint32, totals []KeyCount, known bool) []KeyCount {
	var risen []KeyCount
	for _, t := range totals {
		before, seen := kept[t.Key]
		kept[t.Key] = t.Count
		if t.Count > before && (seen || known) {
			risen = append(risen, KeyCount{Key: t.Key, Count: t.Count - before})
		}
	}
	return risen
}

// InFlight returns how many requests the other VMs have at a target.
func (f *Fleet) InFlight(now thclock.Instant, target Key) int {
	all := 0
	for vm, l := range f.loads[target] {
		if !now.Before(l.expiresAt) {
			delete(f.loads[target], vm)
			continue
		}
		all += int(l.inFlight)
	}
	return all
}

// Peers returns the other VMs, ordered by key.
func (f *Fleet) Peers() []Peer {
	ps := make([]Peer, 0, len(f.peers))
	for _, p := range f.peers {
		if p.Identity.ID != "" {
			ps = append(ps, *p)
		}
	}
	slices.SortFunc(ps, func(a, b Peer) int { return cmp.Compare(a.Key, b.Key) })
	return ps
}

// IsLive reports whether the VM was heard lately.
func (p Peer) IsLive(now thclock.Instant) bool {
	return p.startMillis != 0 && now.Sub(p.LastHeardAt) < LiveTimeout
}

// Size returns how many VMs are heard and how many the fleet has, both with
// this one.
func (f *Fleet) Size(now thclock.Instant) (heard, known int) {
	heard, known = 1, 1
	for _, p := range f.peers {
		if p.IsLive(now) {
			heard++
		}
		if now.Sub(p.LastHeardAt.Max(p.DiscoveredAt)) < MemberTimeout {
			known++
		}
	}
	return heard, known
}
