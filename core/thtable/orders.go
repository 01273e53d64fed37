package thtable

import (
	"cmp"
	"slices"
)

// Order is the last thing that the operator has said of the evacuation of an availability zone.
// While an order is in force, no request may be sent to the targets of the zone.
type Order struct {
	Zone string `json:"zone"`
	// Revoked is set if the order is no longer in force.
	Revoked bool `json:"revoked,omitempty"`
	// Position is that of the store when it was written or revoked, or a later one of the same
	// era at which that was seen.
	Position
}

// Orders holds the orders to evacuate availability zones as of one position of the store. It is
// immutable. The zero Orders comes before all others.
type Orders struct {
	// Position is that of the last change of an order that the VM knows, or of the first read in
	// the era; in an answer of the store, that of the read. It is apart from the table's
	// version, which the operator sets and the store does not know.
	Position
	// List holds the orders that are in force, and those that were revoked last. It is ordered
	// by zone, and each zone is in it once.
	List []Order `json:"list,omitempty"`
}

// OrdersRead is what a read of the store says of orders.
type OrdersRead struct {
	// Position is the store's at the time of the read.
	Position
	// Whole is set if the rows are all orders in force; else they are those that have changed
	// since the read before. Revoked ones may be among them in either case.
	Whole bool
	Rows  []Order
}

// maxRevokedOrders bounds the revoked orders in a list: their number is the operator's to choose. A
// revoked order is of use for the few seconds until all VMs have heard of it.
const maxRevokedOrders = 64

// Zones returns the zones whose orders are in force, in their order.
func (o Orders) Zones() []string {
	var zones []string
	for _, order := range o.List {
		if !order.Revoked {
			zones = append(zones, order.Zone)
		}
	}
	return zones
}

// AsOf returns the same orders as of a position of the store, unless they are of a later one.
func (o Orders) AsOf(p Position) Orders {
	if p.IsAfter(o.Position) {
		o.Position = p
	}
	return o
}

// WithRead returns the orders after a read of the store. A whole read tells of a revocation by an
// order that it lacks, which then counts as revoked at the position of the read. A read that is
// before the orders changes nothing, nor does one that has the same orders in the same era.
func (o Orders) WithRead(r OrdersRead) Orders {
	switch {
	case r.Era > o.Era, o.IsZero():
		return newOrders(r.Position, r.Rows)
	case r.Era < o.Era, r.Whole && r.IsBefore(o.Position):
		return o
	}
	list := slices.Clone(o.List)
	at := o.Position
	if r.Whole {
		list = withRevoked(list, r)
	}
	for _, row := range r.Rows {
		i, known := findOrder(list, row.Zone)
		switch {
		case known && !row.IsAfter(list[i].Position) && row.Revoked == list[i].Revoked:
		case known && (r.Whole || row.IsAfter(list[i].Position)):
			list[i] = row
		case !known:
			list = slices.Insert(list, i, row)
		}
	}
	if slices.Equal(list, o.List) {
		return o
	}
	if r.Whole {
		at = r.Position
	}
	return newOrders(at, list)
}

// withRevoked returns the list with those orders revoked that the whole read lacks.
func withRevoked(list []Order, r OrdersRead) []Order {
	listed := make(map[string]bool, len(r.Rows))
	for _, row := range r.Rows {
		listed[row.Zone] = true
	}
	for i, order := range list {
		if !order.Revoked && !listed[order.Zone] {
			list[i] = Order{Zone: order.Zone, Revoked: true, Position: r.Position}
		}
	}
	return list
}

// newOrders returns the orders of the list as of the position, or as of the last of them if that
// is later: rows on later pages of a read may be newer than its position.
func newOrders(at Position, list []Order) Orders {
	list = slices.Clone(list)
	revoked := 0
	for _, order := range list {
		if order.IsAfter(at) {
			at = order.Position
		}
		if order.Revoked {
			revoked++
		}
	}
	slices.SortFunc(list, func(a, b Order) int { return b.Compare(a.Position) })
	for i := len(list) - 1; revoked > maxRevokedOrders; i-- {
		if list[i].Revoked {
			list = slices.Delete(list, i, i+1)
			revoked--
		}
	}
	slices.SortStableFunc(list, func(a, b Order) int { return cmp.Compare(a.Zone, b.Zone) })
	list = slices.CompactFunc(list, func(a, b Order) bool { return a.Zone == b.Zone })
	return Orders{Position: at, List: list}
}

// findOrder returns where the zone's order is in the list, or belongs, and whether it is there.
func findOrder(list []Order, zone string) (int, bool) {
	return slices.BinarySearchFunc(list, zone, func(o Order, zone string) int { return cmp.Compare(o.Zone, zone) })
}

func (o Orders) equal(other Orders) bool {
	return o.Position == other.Position && slices.Equal(o.List, other.List)
}
