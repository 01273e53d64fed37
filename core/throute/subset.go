package throute

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackhollow/core/thconfig"
)

// Place is a VM's place among all VMs. The zero Place is a VM on its own.
type Place struct {
	ID string
	// VMs is how many VMs there are.
	VMs int
}

const (
	// usualConnections is how many connections a VM may open to a target where
	// the budget does not force fewer.
	usualConnections = 2
	// enoughTargets is how many targets a VM uses at the least before it is
	// allowed more than one connection to each.
	enoughTargets = 3
	// spread is how many standard deviations are left for chance, since each
	// VM draws its subset by itself.
	spread = 4.0
)

// Connections returns how many of a service's targets a VM uses and how many
// connections it may open to each, so that all VMs together keep within the
// service's budget of connections a target.
func (p Place) Connections(s thconfig.Service) (targets, each int) {
	vms, all := max(1, p.VMs), len(s.Targets)
	if share := s.Connections / vms; share >= usualConnections {
		return all, share
	}
	for each = usualConnections; each > 1; each-- {
		if targets = usable(s.Connections/each, all, vms); targets >= enoughTargets {
			return min(targets, all), each
		}
	}
	return min(max(1, usable(s.Connections, all, vms)), all), 1
}

// usable is how many targets each VM may use so that no target is likely to
// have more than the given number of users.
func usable(users, all, vms int) int {
	if users >= vms {
		return all
	}
	mean := float64(users) - spread*math.Sqrt(float64(users))
	return int(mean * float64(all) / float64(vms))
}

// Subset returns the targets that the VM uses, in the order of the service. It
// is drawn by rendezvous hashing, so that a VM or target more or less moves few.
func (p Place) Subset(s thconfig.Service) []thconfig.Target {
	n, _ := p.Connections(s)
	if n >= len(s.Targets) {
		return s.Targets
	}
	type ranked struct {
		index  int
		weight uint64
	}
	rs := make([]ranked, len(s.Targets))
	for i, t := range s.Targets {
		rs[i] = ranked{i, xxhash.Sum64String(p.ID + "\x00" + s.Name + "\x00" + t.Address)}
		if t.Leaving {
			rs[i].weight = 0
		}
	}
	slices.SortFunc(rs, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	rs = rs[:n]
	slices.SortFunc(rs, func(a, b ranked) int { return cmp.Compare(a.index, b.index) })
	ts := make([]thconfig.Target, n)
	for i, r := range rs {
		ts[i] = s.Targets[r.index]
	}
	return ts
}
