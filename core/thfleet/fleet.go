package thfleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackhollow/core/thclock"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadTimeout is how long a reported load counts without a newer report, so that
	// a VM that crashed does not occupy slots of its targets forever.
	loadTimeout = 4 * time.Second
	// LiveTimeout is how long a VM counts as live after its last notice. VMs send at
	// least one notice per second.
	LiveTimeout = 3 * time.Second
	// MemberTimeout is how long a VM counts as a member of the fleet after its last
	// notice or its discovery. While it does, a share of the customers' limits is
	// reserved for it.
	MemberTimeout = 15 * time.Second
)

// KeyOf returns the hash by which notices name a target, customer or service.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// VMKeyOf returns the hash by which notices name the VM with the given ID.
func VMKeyOf(id string) VMKey { return VMKey(xxhash.Sum64String(id)) }

// Peer holds what this VM knows of one other VM.
type Peer struct {
	// Identity is empty until the VM has introduced itself, or the store or another
	// VM has listed it.
	Identity Identity
	Key      VMKey
	// LastHeardAt is when the last notice that was not stale arrived; zero if none
	// did.
	LastHeardAt thclock.Instant
	// DiscoveredAt is when the VM was first listed or its first notice arrived.
	DiscoveredAt thclock.Instant
	// startMillis and lastSequence are those of the newest notice; 0 before the
	// first one.
	startMillis  uint64
	lastSequence uint32
	// receivedBits records which of the last notices arrived: bit i stands for the
	// notice with sequence number lastSequence-i.
	receivedBits uint64
	// admitted and refused hold the totals of the newest notices.
	admitted, refused map[Key]uint32
	// storeVersions are the last that the VM sent, and versionsReceivedAt is when they
	// arrived; zero if none did.
	storeVersions      StoreVersions
	versionsReceivedAt thclock.Instant
}

// load is the number of requests that one VM has in flight at one target.
type load struct {
	inFlight  uint16
	expiresAt thclock.Instant
}

// Fleet holds what one VM knows of the others. Create one with New. It is not safe
// for concurrent use.
type Fleet struct {
	self  Identity
	key   VMKey
	peers map[VMKey]*Peer
	loads map[Key]map[VMKey]load
}

// New returns the Fleet of the VM self, without any peers.
func New(self Identity) *Fleet {
	return &Fleet{
		self: self, key: VMKeyOf(self.ID), peers: make(map[VMKey]*Peer), loads: make(map[Key]map[VMKey]load),
	}
}

// Update holds what a received notice adds to what this VM knew.
type Update struct {
	// Stale is set if a newer notice of the sender arrived before, or if this VM sent
	// the notice itself. A stale notice adds nothing but results and crashes.
	// Duplicate is set if the stale notice arrived before, is too old to know whether
	// it did, or is from before the sender's restart; it then adds nothing at all.
	Stale, Duplicate bool
	Results          []AttemptResult
	Crashes          []Crash
	// Admitted and Refused hold the increases since the newest notice before.
	Admitted, Refused []KeyCount
	// Joined is set if the notice has an identity that is new or whose address
	// changed.
	Joined bool
	// SenderUnknown is set if the sender's identity is not known.
	SenderUnknown bool
	// BecameLive is set if the notice has an identity and the sender was not live
	// before or has restarted.
	BecameLive bool
}

// RecordPeer adds the VM to the peers or replaces its identity, and reports whether
// the VM is new or its address changed. It ignores this VM and an empty ID.
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
	return &Peer{Identity: i, Key: key, DiscoveredAt: now, admitted: make(map[Key]uint32), refused: make(map[Key]uint32)}
}

// Receive records a notice and returns what it adds.
func (f *Fleet) Receive(now thclock.Instant, n Notice) Update {
	if n.From == f.key {
		return Update{Stale: true}
	}
	var u Update
	if n.Identity != nil && VMKeyOf(n.Identity.ID) == n.From {
		u.Joined = f.RecordPeer(now, *n.Identity)
	}
	p := f.peers[n.From]
	if p == nil {
		u.SenderUnknown = true
		p = newPeer(now, n.From, Identity{})
		f.peers[n.From] = p
	}
	u.SenderUnknown = p.Identity.ID == ""
	switch {
	case n.StartMillis < p.startMillis && !p.IsLive(now):
		// The VM restarted with its clock set back.
		f.resetPeer(p)
	case n.StartMillis < p.startMillis || n.StartMillis == p.startMillis && n.Sequence <= p.lastSequence:
		// Totals never decrease, so of a notice that arrives after a newer one only the
		// results and crashes can be new.
		u.Stale = true
		if u.Duplicate = n.StartMillis < p.startMillis || p.markReceived(n.Sequence); !u.Duplicate {
			u.Results, u.Crashes = n.Results, n.Crashes
		}
		return u
	case n.StartMillis > p.startMillis:
		u.BecameLive = n.Identity != nil
		f.resetPeer(p)
	}
	u.BecameLive = u.BecameLive || n.Identity != nil && !p.IsLive(now)
	hasSentBefore := p.startMillis != 0
	p.recordNewest(n)
	p.LastHeardAt = now
	if n.Leaving {
		f.removePeer(n.From)
		return u
	}
	f.recordLoads(now, n)
	u.Results, u.Crashes = n.Results, n.Crashes
	u.Admitted = updateTotals(p.admitted, n.Admitted, hasSentBefore)
	u.Refused = updateTotals(p.refused, n.Refused, hasSentBefore)
	if n.StoreVersions != nil {
		p.storeVersions, p.versionsReceivedAt = *n.StoreVersions, now
	}
	return u
}

// receivedWindowNotices is how many notices Peer.receivedBits covers.
const receivedWindowNotices = 64

// markReceived marks a notice that is not newer than the newest one as received. It
// reports whether the notice was received before or is too old to know.
func (p *Peer) markReceived(sequence uint32) bool {
	age := p.lastSequence - sequence
	if age >= receivedWindowNotices {
		return true
	}
	bit := uint64(1) << age
	wasReceived := p.receivedBits&bit != 0
	p.receivedBits |= bit
	return wasReceived
}

// recordNewest records the start time and sequence number of the newest notice.
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

// resetPeer drops the totals and loads of a peer that restarted, because its totals
// start again at 0.
func (f *Fleet) resetPeer(p *Peer) {
	clear(p.admitted)
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

// recordLoads replaces the loads that the notice names; 0 requests remove a load.
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

// updateTotals records the totals and returns by how much each increased. The totals
// in the first notice received from a VM count as no increase, because the VM may
// have counted them long before.
func updateTotals(recorded map[Key]uint32, totals []KeyCount, hasSentBefore bool) []KeyCount {
	var increases []KeyCount
	for _, t := range totals {
		before, found := recorded[t.Key]
		recorded[t.Key] = t.Count
		if t.Count > before && (found || hasSentBefore) {
			increases = append(increases, KeyCount{Key: t.Key, Count: t.Count - before})
		}
	}
	return increases
}

// InFlight returns how many requests the other VMs have in flight at a target. It
// removes loads that have expired.
func (f *Fleet) InFlight(now thclock.Instant, target Key) int {
	total := 0
	for vm, l := range f.loads[target] {
		if !now.Before(l.expiresAt) {
			delete(f.loads[target], vm)
			continue
		}
		total += int(l.inFlight)
	}
	return total
}

// Peers returns the other VMs whose identity is known, ordered by key.
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

// RandomPeers returns up to n live VMs, the first of them from this VM's zone if there
// is one.
func (f *Fleet) RandomPeers(now thclock.Instant, rng *rand.Rand, n int) []Peer {
	var ps []Peer
	for _, p := range f.Peers() {
		if p.IsLive(now) {
			ps = append(ps, p)
		}
	}
	rng.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
	if i := slices.IndexFunc(ps, func(p Peer) bool { return p.Identity.Zone == f.self.Zone }); i > 0 {
		ps[0], ps[i] = ps[i], ps[0]
	}
	return ps[:min(n, len(ps))]
}

// IsLive reports whether a notice from the VM arrived within LiveTimeout.
func (p Peer) IsLive(now thclock.Instant) bool {
	return p.startMillis != 0 && now.Sub(p.LastHeardAt) < LiveTimeout
}

// Size returns how many VMs are live and how many are members of the fleet. Both
// counts include this VM.
func (f *Fleet) Size(now thclock.Instant) (live, members int) {
	live, members = 1, 1
	for _, p := range f.peers {
		if p.IsLive(now) {
			live++
		}
		if now.Sub(p.LastHeardAt.Max(p.DiscoveredAt)) < MemberTimeout {
			members++
		}
	}
	return live, members
}
