package thfleet_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thfleet"

	"gotest.tools/v3/assert"
)

// fleetOf returns the fleet of VM 0 that knows that many VMs in the zones.
func fleetOf(vms int, zones ...string) *thfleet.Fleet {
	self := identity(0)
	self.Zone = zones[0]
	f := thfleet.New(self)
	for i := 1; i < vms; i++ {
		n := notice(i, 1)
		n.Identity.Zone = zones[i%len(zones)]
		f.Receive(at(0), n)
	}
	return f
}

func TestEachZoneHasTheSameNumberOfParts(t *testing.T) {
	for _, c := range []struct {
		vms   int
		zones []string
		parts int
	}{{1, []string{"a"}, 3}, {9, []string{"a"}, 3}, {9, []string{"a", "b"}, 4}, {9, []string{"a", "b", "c"}, 3}, {50, []string{"a", "b", "c", "d", "e"}, 5}} {
		parts := fleetOf(c.vms, c.zones...).LimitParts(at(0), thfleet.KeyOf("c"))
		assert.Equal(t, len(parts), c.parts)
		perZone := map[string]int{}
		for _, p := range parts {
			perZone[p.Zone]++
			seen := map[thfleet.VMKey]bool{}
			for _, o := range p.Line {
				assert.Assert(t, !seen[o.Key], "a VM is twice in line")
				seen[o.Key] = true
			}
		}
		for _, n := range perZone {
			assert.Equal(t, n, c.parts/len(c.zones))
		}
	}
}

// The owners of nearly all parts must stay the same if a VM joins, since a new owner
// does not know what the one before has given out.
func TestJoiningVMTakesOverFewParts(t *testing.T) {
	before, after := fleetOf(60, "a", "b", "c"), fleetOf(61, "a", "b", "c")
	moved := 0
	for customer := range thfleet.Key(1000) {
		a, b := before.LimitParts(at(0), customer), after.LimitParts(at(0), customer)
		for i := range a {
			if a[i].Line[0].Key != b[i].Line[0].Key {
				moved++
				assert.Equal(t, b[i].Line[0].Key, thfleet.VMKeyOf("vm-60"))
				assert.Equal(t, b[i].Line[1].Key, a[i].Line[0].Key)
			}
		}
	}
	assert.Assert(t, moved > 20 && moved < 100, "%d of 3000 parts moved", moved)
}

// A lost zone keeps its parts, so that two sides of a split fleet don't both take the
// whole limit.
func TestLostZoneKeepsItsParts(t *testing.T) {
	f := fleetOf(9, "a", "b", "c")
	n := notice(3, 2)
	n.Identity.Zone = "a"
	for _, vm := range []string{"vm-1", "vm-4", "vm-7"} {
		n.Lost = append(n.Lost, thfleet.Loss{VM: thfleet.VMKeyOf(vm), StartMillis: 1})
	}
	f.Receive(at(time.Minute), n)
	parts := f.LimitParts(at(time.Minute), thfleet.KeyOf("c"))
	assert.Equal(t, len(parts), 3)
	assert.Equal(t, len(parts[1].Line), 0)
}
