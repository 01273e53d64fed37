package thfleet

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackhollow/core/thclock"

	"github.com/cespare/xxhash/v2"
)

// loadTimeout is how long a reported load counts without a newer report, so that
// a VM that crashed does not occupy slots of its targets forever.
const loadTimeout = 4 * time.Second

// loadRetention is how long a load is kept after that, so that the end of a long request is
// not taken for a new one.
const loadRetention = 30 * time.Second

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
	// lostAt is when the VM was found silent; zero if it was not, or was heard since.
	lostAt thclock.Instant
	// skipUntil is until when other VMs are asked instead of this one, and suspectUntil
	// until when others may take over from it.
	skipUntil, suspectUntil thclock.Instant
	// differing is how many answers to probes in a row came with another LiveHash than
	// this VM's.
	differing int
	// startMillis and lastSequence are those of the newest notice; 0 before the
	// first one.
	startMillis  uint64
	lastSequence uint32
	// receivedBits records which of the last notices arrived: bit i stands for the
	// notice with sequence number lastSequence-i.
	receivedBits uint64
	// refused holds the totals of the newest notices.
	refused map[Key]uint32
	// storeVersions are the last that the VM sent, versionsAt is when they last rose, and
	// reads when the store was read for them.
	storeVersions StoreVersions
	versionsAt    thclock.Instant
	reads         StoreReads
}

// load is the number of requests that one VM has in flight at one target.
type load struct {
	inFlight uint16
	// sequence is that of the notice that reported the load.
	sequence  uint32
	expiresAt thclock.Instant
}

// Fleet holds what one VM knows of the others. Create one with New. It is not safe
// for concurrent use.
type Fleet struct {
	self  Identity
	key   VMKey
	peers map[VMKey]*Peer
	loads map[Key]map[VMKey]load
	live  liveIndex
	// heardAt is when the last notice of any VM arrived.
	heardAt thclock.Instant
	// unanswered is how many questions of this VM were not answered since then.
	unanswered int
	// announced are the versions that this VM last announced, and announcedReads when the
	// store was read for them.
	announced      StoreVersions
	announcedReads StoreReads
	// era is the highest era of the store that this VM has heard of, and eraSince since when.
	era      uint64
	eraSince thclock.Instant
	// probes records since when this VM probes others.
	probes probes
	size   sizeCache
}

// New returns the Fleet of the VM self, without any peers.
func New(self Identity) *Fleet {
	f := &Fleet{
		self: self, key: VMKeyOf(self.ID), peers: make(map[VMKey]*Peer), loads: make(map[Key]map[VMKey]load),
		probes: probes{since: make(map[VMKey]thclock.Instant)},
	}
	f.live.hash = uint64(f.key)
	f.changed(thclock.Instant{}, self.Zone)
	return f
}

// Update holds what a received notice adds to what this VM knew.
type Update struct {
	// Stale is set if a newer notice of the sender arrived before, or if this VM sent
	// the notice itself. A stale notice adds nothing but results, crashes and the loads
	// of targets that no newer notice names.
	// Duplicate is set if the stale notice arrived before, is too old to know whether
	// it did, or is from before the sender's restart; it then adds nothing at all.
	Stale, Duplicate bool
	Results          []AttemptResult
	Crashes          []Crash
	// Started holds the targets at which the sender has begun new requests.
	Started []Key
	// Refused holds the increases since the newest notice before.
	Refused []KeyCount
	// TargetsLeave is set if the notice reports targets that leave, of which this VM did not
	// know it.
	TargetsLeave bool
	// Lost holds the live VMs that the notice reports as lost.
	Lost []Identity
	// ReportedLost is set if the notice reports this VM as lost.
	ReportedLost bool
	// Joined is set if the notice has an identity that is new or whose address
	// changed.
	Joined bool
	// SenderUnknown is set if the sender's identity is not known.
	SenderUnknown bool
	// BecameLive is set if the sender was not live before or has restarted.
	BecameLive bool
	// RosterDiffers is set if the sender has known other live VMs than this one for a
	// while.
	RosterDiffers bool
	// Healed is set if the sender was lost and has not restarted since, so that there
	// is a path to it again.
	Healed bool
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
		f.size = sizeCache{}
		return true
	}
	changed, wasLive := p.Identity.Address != i.Address, p.IsLive()
	p.Identity = i
	f.updateLive(now, p, wasLive)
	if changed {
		f.changed(now, i.Zone)
	}
	return changed
}

func newPeer(now thclock.Instant, key VMKey, i Identity) *Peer {
	return &Peer{Identity: i, Key: key, DiscoveredAt: now, refused: make(map[Key]uint32)}
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
		p = newPeer(now, n.From, Identity{})
		f.peers[n.From] = p
	}
	u.SenderUnknown = p.Identity.ID == ""
	wasLive := p.IsLive()
	switch {
	case n.StartMillis < p.startMillis && now.Sub(p.LastHeardAt) >= LiveTimeout:
		// The VM restarted with its clock set back.
		f.resetPeer(p)
	case n.StartMillis < p.startMillis || n.StartMillis == p.startMillis && n.Sequence <= p.lastSequence:
		return f.receiveStale(now, n, p, u)
	case n.StartMillis > p.startMillis:
		u.BecameLive = true
		f.resetPeer(p)
	}
	u.Healed = p.isLost()
	u.BecameLive = u.BecameLive || !wasLive
	p.recordNewest(n)
	p.LastHeardAt, p.lostAt = now, thclock.Instant{}
	f.updateLive(now, p, wasLive)
	p.skipUntil, p.suspectUntil = thclock.Instant{}, thclock.Instant{}
	f.heardAt, f.unanswered = now, 0
	u.Results, u.Crashes = n.Results, n.Crashes
	if n.Leaving {
		f.removePeer(now, p)
		return u
	}
	if u.BecameLive && p.IsLive() {
		f.changed(now, p.Identity.Zone)
	}
	u.Started = f.recordLoads(now, n)
	u.Refused = updateTotals(p.refused, n.Refused)
	if n.NewEra != nil {
		f.NoteEra(now.Add(-time.Duration(n.NewEra.Millis)*time.Millisecond), n.NewEra.Era)
	}
	if versions, ok := n.Versions(); ok {
		f.NoteEra(now, max(versions.Targets.Era, versions.Orders.Era))
		p.recordVersions(now, versions, n.ReadAges)
	}
	f.receiveLosses(now, n.Lost, &u)
	u.RosterDiffers = p.IsLive() && f.compareHash(p, n.LiveHash)
	return u
}

// recordVersions records versions that the VM has announced.
func (p *Peer) recordVersions(now thclock.Instant, versions StoreVersions, ages *ReadAges) {
	reads := StoreReads{Table: now, Targets: now}
	if ages != nil {
		reads = ages.Reads(now)
	}
	if versions.IsNewerThan(p.storeVersions) {
		p.versionsAt = now
	}
	p.storeVersions, p.reads = versions, p.reads.Max(reads)
}

// receiveStale returns what a notice adds that arrives after a newer one. Totals of the
// newer one go first.
func (f *Fleet) receiveStale(now thclock.Instant, n Notice, p *Peer, u Update) Update {
	u.Stale = true
	if u.Duplicate = n.StartMillis < p.startMillis || p.markReceived(n.Sequence); !u.Duplicate {
		u.Results, u.Crashes = n.Results, n.Crashes
		u.Started = f.recordLoads(now, n)
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
	clear(p.refused)
	p.lostAt = thclock.Instant{}
	f.removeLoads(p.Key)
}

// removePeer removes a VM that has left.
func (f *Fleet) removePeer(now thclock.Instant, p *Peer) {
	f.lose(now, p)
	delete(f.peers, p.Key)
}

func (f *Fleet) removeLoads(vm VMKey) {
	for target, vms := range f.loads {
		delete(vms, vm)
		if len(vms) == 0 {
			delete(f.loads, target)
		}
	}
}

// recordLoads replaces the loads that the notice names, unless a newer notice has named
// them, and returns the targets at which the sender has begun requests since. Loads of 0
// requests are recorded as well, for notices that arrive late.
func (f *Fleet) recordLoads(now thclock.Instant, n Notice) (started []Key) {
	for _, l := range n.Loads {
		vms := f.loads[l.Target]
		if vms == nil {
			vms = make(map[VMKey]load)
			f.loads[l.Target] = vms
		}
		before, ok := vms[n.From]
		if ok && before.sequence >= n.Sequence {
			continue
		}
		vms[n.From] = load{l.InFlight, n.Sequence, now.Add(loadTimeout)}
		if int(l.InFlight)+n.endedAttempts(l.Target) > int(before.inFlight) {
			started = append(started, l.Target)
		}
	}
	return started
}

// sweepLoads removes the loads that have expired for loadRetention.
func (f *Fleet) sweepLoads(now thclock.Instant) {
	for target, vms := range f.loads {
		maps.DeleteFunc(vms, func(_ VMKey, l load) bool { return !now.Before(l.expiresAt.Add(loadRetention)) })
		if len(vms) == 0 {
			delete(f.loads, target)
		}
	}
}

// updateTotals records the totals and returns by how much each increased. A total that
// arrives for the first time counts as no increase, because the VM may have counted
// it long before.
func updateTotals(recorded map[Key]uint32, totals []KeyCount) []KeyCount {
	var increases []KeyCount
	for _, t := range totals {
		before, found := recorded[t.Key]
		recorded[t.Key] = t.Count
		if found && t.Count > before {
			increases = append(increases, KeyCount{Key: t.Key, Count: t.Count - before})
		}
	}
	return increases
}

// InFlight returns how many requests the other VMs have in flight at a target.
func (f *Fleet) InFlight(now thclock.Instant, target Key) int {
	total := 0
	for _, l := range f.loads[target] {
		if now.Before(l.expiresAt) {
			total += int(l.inFlight)
		}
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
func (f *Fleet) RandomPeers(rng *rand.Rand, n int) []Peer {
	ps := make([]Peer, 0, len(f.Live()))
	for _, m := range f.Live() {
		if m.Key != f.key {
			ps = append(ps, *m.peer)
		}
	}
	rng.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
	if i := slices.IndexFunc(ps, func(p Peer) bool { return p.Identity.Zone == f.self.Zone }); i > 0 {
		ps[0], ps[i] = ps[i], ps[0]
	}
	return ps[:min(n, len(ps))]
}
