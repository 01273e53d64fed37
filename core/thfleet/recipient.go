package thfleet

import (
	"slices"

	"tamarackhollow/core/thclock"
)

// SelectRecipients returns the VMs that a notice for the given members is sent to
// directly, and the relays: members of other zones that forward it to the members of
// their zone, so that only one copy of the notice goes to each other zone, or two if it
// is urgent. Relays rotate with the sequence number, which spreads the work.
func (f *Fleet) SelectRecipients(members []Member, sequence uint32, urgent bool) (direct, relays []Peer) {
	zones := make(map[string][]Peer)
	for _, m := range members {
		switch {
		case m.peer == nil:
		case m.Zone == f.self.Zone:
			direct = append(direct, *m.peer)
		default:
			zones[m.Zone] = append(zones[m.Zone], *m.peer)
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
			relays = append(relays, ps[(int(sequence)+i*len(ps)/copies)%len(ps)])
		}
	}
	return direct, relays
}

// RelayedDatagrams returns how many datagrams the relays send when each forwards a
// notice to the members of its zone.
func (f *Fleet) RelayedDatagrams(members []Member, relays []Peer) int {
	datagrams := 0
	for _, r := range relays {
		for _, m := range members {
			if m.Zone == r.Identity.Zone && m.Key != r.Key {
				datagrams++
			}
		}
	}
	return datagrams
}

// LivePeersInZone returns the live VMs of this VM's zone, without the VM except.
func (f *Fleet) LivePeersInZone(except VMKey) []Peer {
	return f.InZone(f.Live(), except)
}

// InZone returns the members that are in this VM's zone, without this VM and the VM
// except.
func (f *Fleet) InZone(members []Member, except VMKey) []Peer {
	var ps []Peer
	for _, m := range members {
		if m.peer != nil && m.Zone == f.self.Zone && m.Key != except {
			ps = append(ps, *m.peer)
		}
	}
	return ps
}

// NewlyDiscovered returns the VMs that were listed within LiveTimeout and have not sent
// a notice yet. They may have just started.
func (f *Fleet) NewlyDiscovered(now thclock.Instant) []Peer {
	return slices.DeleteFunc(f.Peers(), func(p Peer) bool {
		return p.startMillis != 0 || now.Sub(p.DiscoveredAt) >= LiveTimeout
	})
}
