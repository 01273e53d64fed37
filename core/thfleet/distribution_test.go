package thfleet_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackhollow/core/thfleet"

	"gotest.tools/v3/assert"
)

// zoneFleets returns the fleets of VMs of one zone that all know each other. VM 0 has
// announced the versions 3 and 9.
func zoneFleets(vms int) []*thfleet.Fleet {
	fleets := make([]*thfleet.Fleet, vms)
	for i := range fleets {
		fleets[i] = thfleet.New(identity(i))
		for j := range vms {
			n := notice(j, 1)
			if j == 0 {
				n = n.WithVersions(thfleet.StoreVersions{Table: 3, Targets: position(9)})
			}
			fleets[i].Receive(at(0), n)
		}
	}
	return fleets
}

var older = thfleet.StoreVersions{Table: 2, Targets: position(9)}

func firstSource(f *thfleet.Fleet) string { return f.FetchOrder(at(time.Hour), older)[0].Identity.ID }

// One VM must not have to send to a whole zone, and a change must not pass many VMs
// one after the other. No two VMs may wait for each other.
func TestZoneFetchesThroughTree(t *testing.T) {
	for _, c := range []struct{ vms, depth int }{{2, 1}, {5, 1}, {6, 2}, {32, 3}, {77, 3}} {
		fleets := zoneFleets(c.vms)
		children := map[string]int{}
		for i := 1; i < c.vms; i++ {
			children[firstSource(fleets[i])]++
			depth, at := 0, i
			for at != 0 {
				depth++
				assert.Assert(t, depth <= c.depth, "VM %d of %d is %d levels below the one that announced", i, c.vms, depth)
				_, err := fmt.Sscanf(firstSource(fleets[at]), "vm-%d", &at)
				assert.NilError(t, err)
			}
		}
		for vm, n := range children {
			assert.Assert(t, n <= 4, "%s sends to %d of %d VMs", vm, n, c.vms)
		}
	}
}

// A VM whose source does not answer must have others to ask, the VM that announced
// the versions among them.
func TestFetchOrderEndsWithAnnouncer(t *testing.T) {
	fleets := zoneFleets(77)
	for i := 1; i < len(fleets); i++ {
		order := fleets[i].FetchOrder(at(time.Hour), older)
		assert.Equal(t, order[len(order)-1].Identity.ID, "vm-0")
		seen := map[string]bool{identity(i).ID: true}
		for _, p := range order {
			assert.Assert(t, !seen[p.Identity.ID], "%s is listed twice, or asks itself", p.Identity.ID)
			seen[p.Identity.ID] = true
		}
	}
}

// A VM must fetch only what it lacks itself, and only from VMs that are live.
func TestFetchOrderIsEmptyWithoutNewerVersions(t *testing.T) {
	f := zoneFleets(5)[1]
	assert.Equal(t, len(f.FetchOrder(at(time.Hour), thfleet.StoreVersions{Table: 3, Targets: position(9)})), 0)
	assert.Equal(t, len(f.FetchOrder(at(time.Hour), thfleet.StoreVersions{Table: 4, Targets: position(8)})), 1)
	n := notice(2, 2)
	n.Lost = []thfleet.Loss{{VM: thfleet.VMKeyOf("vm-0"), StartMillis: 1}}
	assert.Equal(t, len(f.Receive(at(thfleet.LiveTimeout), n).Lost), 1)
	assert.Equal(t, len(f.FetchOrder(at(time.Hour), older)), 0)
}

// A leader of another zone must fetch from the reader, however many VMs its own zone
// has, and prefer the VM with the newest versions.
func TestLeaderFetchesFromNewestAnnouncer(t *testing.T) {
	f := thfleet.New(identity(0))
	for i, zone := range []string{"z", "z", "y", "x"} {
		n := notice(i+1, 1)
		n.Identity.Zone = zone
		if zone != "z" {
			n = n.WithVersions(thfleet.StoreVersions{Table: 3, Targets: position(uint64(8 + i))})
		}
		f.Receive(at(0), n)
	}
	order := f.FetchOrder(at(time.Hour), older)
	assert.Equal(t, len(order), 2)
	assert.Equal(t, order[0].Identity.ID, "vm-4")
	assert.Equal(t, order[1].Identity.ID, "vm-3")
}
