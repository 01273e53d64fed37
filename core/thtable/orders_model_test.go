package thtable_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// storeModel is a store of orders that can come back from an older copy of itself.
type storeModel struct {
	thtable.Position
	// log holds all writes, of which those of earlier eras count as the current one's.
	log []thtable.Order
	// seen holds when the first VM saw each era.
	seen map[uint64]thclock.Instant
}

func (s *storeModel) write(zone string, isRevoked bool) {
	s.Version++
	s.log = append(s.log, thtable.Order{Zone: zone, Revoked: isRevoked, Position: s.Position})
}

// rows returns the orders in force.
func (s *storeModel) rows() []thtable.Order {
	byZone := map[string]thtable.Order{}
	for _, w := range s.log {
		w.Era = s.Era
		byZone[w.Zone] = w
		if w.Revoked {
			delete(byZone, w.Zone)
		}
	}
	return slices.Collect(maps.Values(byZone))
}

// zones returns the zones with an order in force.
func (s *storeModel) zones() []string {
	var zones []string
	for _, o := range s.rows() {
		zones = append(zones, o.Zone)
	}
	slices.Sort(zones)
	return zones
}

// restore lets the store come back from a copy that was made at the version.
func (s *storeModel) restore(version uint64) {
	s.log = slices.DeleteFunc(s.log, func(w thtable.Order) bool { return w.Version > version })
	s.Position = thtable.Position{Era: s.Era + 1, Version: version}
}

// vmModel is a VM that reads the store and fetches from others.
type vmModel struct {
	cursor   thtable.Position
	client   thtable.Orders
	document thtable.Document
	known    thtable.KnownOrders
	// heldUntil is until when the VM must keep an order that it has known.
	heldUntil map[string]thclock.Instant
}

func (v *vmModel) apply(now thclock.Instant, s *storeModel, o thtable.Orders) {
	if _, ok := s.seen[o.Era]; !ok {
		s.seen[o.Era] = now
	}
	v.document = v.document.Merged(thtable.Document{Orders: o})
	v.known = v.known.WithOrders(now, v.document.Orders, s.seen[v.document.Orders.Era])
}

// readStore reads the store, whole if asked to or if it has come back.
func (v *vmModel) readStore(now thclock.Instant, s *storeModel, isWhole bool) {
	read := thtable.OrdersRead{Position: s.Position, Whole: isWhole || v.cursor.IsZero() || v.cursor.Era < s.Era}
	if read.Whole {
		read.Rows = s.rows()
	} else {
		for _, w := range s.log {
			if w.Version > v.cursor.Version {
				w.Era = s.Era
				read.Rows = append(read.Rows, w)
			}
		}
	}
	v.cursor, v.client = s.Position, v.client.WithRead(read)
	v.apply(now, s, v.document.Orders.WithRead(thtable.OrdersRead{Position: s.Position, Whole: true, Rows: v.client.List}))
}

// fetch fetches from another VM.
func (v *vmModel) fetch(now thclock.Instant, s *storeModel, from *vmModel) {
	v.apply(now, s, from.document.Orders)
	v.known = v.known.WithKept(now, from.known.Kept(now), s.seen[v.document.Orders.Era])
}

// Whatever the order of writes, reads, fetches, restarts and restores: a VM obeys what it has read,
// keeps an order that was not revoked for a minute from when the store lost it, and holds what the
// store holds in the end.
func TestVMsObeyOrdersOverRestores(t *testing.T) {
	const minute = time.Minute
	rapid.Check(t, func(t *rapid.T) {
		s, vms, now := &storeModel{Position: position(1, 1), seen: map[uint64]thclock.Instant{}}, []*vmModel{{}, {}, {}}, at(0)
		zone := func() string { return rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone") }
		vm := func() *vmModel { return rapid.SampledFrom(vms).Draw(t, "vm") }
		forever := now.Add(1000 * time.Hour)
		check := func() {
			for i, v := range vms {
				v.known = v.known.WithoutExpired(now)
				for z, until := range v.heldUntil {
					assert.Assert(t, !now.Before(until) || slices.Contains(v.known.Zones(), z), "VM %d has forgotten %s", i, z)
				}
				for _, o := range v.document.Orders.List {
					if slices.Contains(s.rows(), o) { // else it obeys what the store no longer holds
						if v.heldUntil == nil {
							v.heldUntil = map[string]thclock.Instant{}
						}
						v.heldUntil[o.Zone] = forever
					}
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				s.write(zone(), false)
			case 2:
				z := zone()
				s.write(z, true)
				for _, v := range vms {
					delete(v.heldUntil, z)
				}
			case 3:
				s.restore(rapid.Uint64Range(1, s.Version).Draw(t, "copy"))
				for _, v := range vms {
					for z, until := range v.heldUntil {
						v.heldUntil[z] = until.Min(now.Add(minute))
					}
				}
			case 4, 5:
				v := vm()
				v.readStore(now, s, rapid.Bool().Draw(t, "whole"))
				assert.DeepEqual(t, v.document.Orders.Zones(), s.zones())
			case 6, 7:
				vm().fetch(now, s, vm())
			case 8:
				*vm() = vmModel{}
			default:
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			}
			check()
		}
		vms[0].readStore(now, s, false)
		now = now.Add(minute)
		for _, v := range vms {
			vms[0].fetch(now, s, v)
		}
		vms[0].readStore(now, s, false) // of which another VM may have missed a revocation
		for _, v := range vms {
			v.fetch(now, s, vms[0])
			assert.DeepEqual(t, v.known.WithoutExpired(now.Add(minute)).Zones(), s.zones())
			assert.Equal(t, v.document.Orders.Position, vms[0].document.Orders.Position)
		}
	})
}
