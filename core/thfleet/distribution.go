package thfleet

import (
	"cmp"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// fanout is how many VMs of a zone fetch from the same VM. With it, no VM sends
	// more than four copies in its zone, and three levels of VMs cover 84.
	fanout = 4
	// maxFetchSources bounds the VMs that FetchOrder returns.
	maxFetchSources = 4
)

// FetchOrder returns the VMs from which to fetch what is newer than the given
// versions, in the order in which to ask them. It returns none if no live VM has
// announced newer ones.
//
// The VMs of a zone form a tree below the one that announced the newest versions. A
// VM asks the VM above it, which may still be waiting for the versions itself, and
// then the ones above that. All VMs of a zone that know the same live VMs compute the
// same tree.
func (f *Fleet) FetchOrder(now thclock.Instant, have StoreVersions) []Peer {
	announcers := f.newerPeers(now, have)
	if len(announcers) == 0 {
		return nil
	}
	root, others := announcers[0], announcers[1:]
	order := append(f.ancestors(root), root)
	for _, p := range others {
		if !slices.ContainsFunc(order, func(o Peer) bool { return o.Key == p.Key }) {
			order = append(order, p)
		}
	}
	return order[:min(len(order), maxFetchSources)]
}

// newerPeers returns the live VMs that have announced newer orders, a newer table or newer targets,
// those with the newest versions first, and among equal ones those of this zone. A deputy
// leaves what other zones have just announced to its leader.
func (f *Fleet) newerPeers(now thclock.Instant, have StoreVersions) []Peer {
	var newer []Peer
	patience := time.Duration(min(f.ZoneRank(), deputies)) * deputyDelay
	for _, p := range f.peers {
		isLeft := p.Identity.Zone != f.self.Zone && now.Sub(p.versionsAt) < patience
		if p.Identity.ID != "" && p.IsLive() && !isLeft && p.storeVersions.IsNewerThan(have) {
			newer = append(newer, *p)
		}
	}
	otherZone := func(p Peer) int {
		if p.Identity.Zone == f.self.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(newer, func(a, b Peer) int {
		return cmp.Or(
			b.storeVersions.Orders.Compare(a.storeVersions.Orders), cmp.Compare(b.storeVersions.Table, a.storeVersions.Table), b.storeVersions.Targets.Compare(a.storeVersions.Targets),
			cmp.Compare(otherZone(a), otherZone(b)), cmp.Compare(a.Key, b.Key),
		)
	})
	return newer
}

// IsNewerThan reports whether the table, the list of targets or the orders are newer than the
// other ones.
func (v StoreVersions) IsNewerThan(o StoreVersions) bool {
	return v.Table > o.Table || v.Targets.IsAfter(o.Targets) || v.Orders.IsAfter(o.Orders)
}

// ancestors returns the VMs between this one and the root of its zone's tree, the
// nearest first. There are none if the root is in another zone. The order of VMs in the
// tree is that of their ranks, but begins at the root: VMs with a better rank have not
// announced the versions themselves, so they may have crashed, and come last.
func (f *Fleet) ancestors(root Peer) []Peer {
	if root.Identity.Zone != f.self.Zone {
		return nil
	}
	rootHash := rankHash(root.Identity.ID)
	place := func(id string) uint64 { return rankHash(id) - rootHash } // wraps around
	ownPlace := place(f.self.ID)
	var above []Peer // the VMs before this one, which is where all ancestors are
	for _, p := range f.peers {
		if p.Identity.Zone == f.self.Zone && p.Key != root.Key && p.IsLive() && place(p.Identity.ID) < ownPlace {
			above = append(above, *p)
		}
	}
	slices.SortFunc(above, func(a, b Peer) int { return cmp.Compare(place(a.Identity.ID), place(b.Identity.ID)) })
	var ancestors []Peer
	// The root is node 0 and the VMs follow in their order; the node above node n is
	// (n-1)/fanout.
	for node := len(above) / fanout; node > 0; node = (node - 1) / fanout {
		ancestors = append(ancestors, above[node-1])
	}
	return ancestors
}
