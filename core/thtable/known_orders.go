package thtable

import (
	"cmp"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
)

// KnownOrders is what a VM remembers of orders to evacuate availability zones, so that a store
// which comes back from an older copy of itself does not take back an order that it had
// acknowledged. What the store says in its new era goes before what was known: an order that the
// copy has is in force, and one that is deleted there is not. An order of an earlier era of which
// the store says nothing is kept for a minute. KnownOrders is immutable; the zero KnownOrders
// remembers nothing.
type KnownOrders struct {
	orders Orders
	// kept holds the last words of earlier eras of zones that orders does not name, ordered
	// by zone. Revoked ones are kept as well, against VMs that did not hear of the revocation.
	kept []keptOrder
}

// keptOrder is an order of an earlier era.
type keptOrder struct {
	Order
	forgetAt thclock.Instant
}

// KeptOrder is what a VM knows of an order by an earlier era of the store, in the form in which it
// tells others.
type KeptOrder struct {
	Order
	// RemainingMillis is how much longer the VM keeps it.
	RemainingMillis int64 `json:"remainingMillis"`
}

// WithOrders returns what is known after orders that are not before the last ones. If they are the
// first of their era, orders that were in force before and that they do not name are kept until
// knowledgeTime after eraSince, which is when the first VM is known to have seen that era.
func (k KnownOrders) WithOrders(now thclock.Instant, orders Orders, eraSince thclock.Instant) KnownOrders {
	next := KnownOrders{orders: orders}
	earlier := slices.Clone(k.kept)
	if !k.orders.IsZero() && orders.Era > k.orders.Era {
		for _, order := range k.orders.List {
			earlier = append(earlier, keptOrder{order, eraSince.Add(knowledgeTime)})
		}
	}
	for _, e := range earlier {
		next.keep(now, e)
	}
	return next
}

// WithKept returns what is known after what another VM keeps, given since when any VM is known to
// have seen the era of the orders. A later word of this VM goes before it. A VM that was cut off
// and has only just seen the era does not make the others keep an order that they have forgotten.
func (k KnownOrders) WithKept(now thclock.Instant, kept []KeptOrder, eraSince thclock.Instant) KnownOrders {
	next := KnownOrders{orders: k.orders, kept: slices.Clone(k.kept)}
	for _, told := range kept {
		span := time.Duration(min(told.RemainingMillis, knowledgeTime.Milliseconds())) * time.Millisecond
		next.keep(now, keptOrder{told.Order, now.Add(span).Min(eraSince.Add(knowledgeTime))})
	}
	return next
}

// WithoutExpired returns what is known at a later time.
func (k KnownOrders) WithoutExpired(now thclock.Instant) KnownOrders {
	return KnownOrders{orders: k.orders, kept: slices.DeleteFunc(slices.Clone(k.kept), func(e keptOrder) bool { return e.isExpired(now) })}
}

// IsDue reports whether WithoutExpired would change what is known.
func (k KnownOrders) IsDue(now thclock.Instant) bool {
	return slices.ContainsFunc(k.kept, func(e keptOrder) bool { return e.isExpired(now) })
}

func (e keptOrder) isExpired(now thclock.Instant) bool { return !now.Before(e.forgetAt) }

// keep records a word of an earlier era, unless it has expired, the current orders say more of the
// zone, or a later word is known. The current orders are complete for their own era.
func (k *KnownOrders) keep(now thclock.Instant, e keptOrder) {
	i, known := findOrder(k.orders.List, e.Zone)
	if e.isExpired(now) || e.Era == k.orders.Era || known && !e.IsAfter(k.orders.List[i].Position) {
		return
	}
	i, known = slices.BinarySearchFunc(k.kept, e.Zone, func(a keptOrder, zone string) int { return cmp.Compare(a.Zone, zone) })
	switch {
	case !known:
		k.kept = slices.Insert(k.kept, i, e)
	case e.IsAfter(k.kept[i].Position):
		k.kept[i] = e
	case e.Position == k.kept[i].Position && e.forgetAt.Before(k.kept[i].forgetAt):
		k.kept[i].forgetAt = e.forgetAt // so that all VMs forget it at about the same time
	}
}

// Position returns the position of the last orders.
func (k KnownOrders) Position() Position { return k.orders.Position }

// Zones returns the zones that are evacuated, in their order, each once.
func (k KnownOrders) Zones() []string {
	zones := k.orders.Zones()
	for _, e := range k.kept {
		if !e.Revoked {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Kept returns what a VM that has just started needs to know besides the orders themselves.
func (k KnownOrders) Kept(now thclock.Instant) []KeptOrder {
	var kept []KeptOrder
	for _, e := range k.kept {
		if remaining := e.forgetAt.Sub(now).Milliseconds(); remaining > 0 {
			kept = append(kept, KeptOrder{Order: e.Order, RemainingMillis: remaining})
		}
	}
	return kept
}
