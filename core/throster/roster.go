// Package throster holds which VMs there are, which of them is home to what,
// and until when a VM may trust what it knows.
package throster

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// VM is one entry VM. A replaced VM comes back with a higher incarnation.
type VM struct {
	ID string `json:"id"`
	// PeerAddress is "IP:port" of the listener for peers.
	PeerAddress string `json:"peerAddress"`
	Zone        string `json:"zone"`
	Region      string `json:"region,omitempty"`
	Incarnation uint64 `json:"incarnation"`
}

// Roster is an immutable set of VMs ordered by ID. The zero Roster is empty.
type Roster struct {
	version uint64
	vms     []VM
}

// NewRoster returns the roster of the given version and VMs.
func NewRoster(version uint64, vms []VM) Roster {
	vs := slices.Clone(vms)
	slices.SortFunc(vs, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	return Roster{version: version, vms: vs}
}

// Version counts the roster's changes.
func (r Roster) Version() uint64 { return r.version }

// VMs returns the VMs ordered by ID; the slice is not to be changed.
func (r Roster) VMs() []VM { return r.vms }

// Len returns the number of VMs.
func (r Roster) Len() int { return len(r.vms) }

// VM returns a VM by its ID.
func (r Roster) VM(id string) (VM, bool) {
	i, ok := r.index(id)
	if !ok {
		return VM{}, false
	}
	return r.vms[i], true
}

func (r Roster) index(id string) (int, bool) {
	return slices.BinarySearchFunc(r.vms, id, func(v VM, id string) int { return strings.Compare(v.ID, id) })
}

// WithVM returns the next version of the roster with the VM added or replaced.
func (r Roster) WithVM(v VM) Roster {
	n := r.WithoutVM(v.ID)
	return NewRoster(r.version+1, append(slices.Clone(n.vms), v))
}

// WithoutVM returns the next version of the roster without the VM.
func (r Roster) WithoutVM(id string) Roster {
	vs := slices.DeleteFunc(slices.Clone(r.vms), func(v VM) bool { return v.ID == id })
	return Roster{version: r.version + 1, vms: vs}
}

// Home returns the VM that rendezvous hashing gives for the name, and false
// if the roster is empty.
func (r Roster) Home(name string) (VM, bool) {
	var best VM
	var top uint64
	for _, v := range r.vms {
		if w := weight(name, v.ID); best.ID == "" || w > top {
			best, top = v, w
		}
	}
	return best, best.ID != ""
}

// Zones returns the zones that have VMs, ordered by name.
func (r Roster) Zones() []string {
	zs := make([]string, 0, len(r.vms))
	for _, v := range r.vms {
		zs = append(zs, v.Zone)
	}
	slices.Sort(zs)
	return slices.Compact(zs)
}

// InZone returns the roster cut down to one zone, at the same version.
func (r Roster) InZone(zone string) Roster {
	vs := slices.DeleteFunc(slices.Clone(r.vms), func(v VM) bool { return v.Zone != zone })
	return Roster{version: r.version, vms: vs}
}

func weight(name, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
