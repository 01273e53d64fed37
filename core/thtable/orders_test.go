package thtable_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

func position(era, version uint64) thtable.Position {
	return thtable.Position{Era: era, Version: version}
}

func ordered(zone string, era, version uint64) thtable.Order {
	return thtable.Order{Zone: zone, Position: position(era, version)}
}

func revoked(zone string, era, version uint64) thtable.Order {
	return thtable.Order{Zone: zone, Revoked: true, Position: position(era, version)}
}

func whole(era, version uint64, rows ...thtable.Order) thtable.OrdersRead {
	return thtable.OrdersRead{Position: position(era, version), Whole: true, Rows: rows}
}

func changed(era, version uint64, rows ...thtable.Order) thtable.OrdersRead {
	return thtable.OrdersRead{Position: position(era, version), Rows: rows}
}

// The position must move with each change of an order and with the era, and only then: VMs take the
// later position for the later word. A revocation may be seen only by the lack of a row.
func TestOrdersFollowReadsOfStore(t *testing.T) {
	z100 := thtable.Orders{}.WithRead(whole(1, 100, ordered("z", 1, 90)))
	for name, c := range map[string]struct {
		read  thtable.OrdersRead
		at    thtable.Position
		zones []string
	}{
		"the same rows":             {whole(1, 120, ordered("z", 1, 90)), position(1, 100), []string{"z"}},
		"no change":                 {changed(1, 120), position(1, 100), []string{"z"}},
		"another order":             {changed(1, 120, ordered("y", 1, 110)), position(1, 110), []string{"y", "z"}},
		"revoked":                   {changed(1, 120, revoked("z", 1, 110)), position(1, 110), nil},
		"revoked and ordered again": {changed(1, 120, revoked("z", 1, 110), ordered("z", 1, 112)), position(1, 112), []string{"z"}},
		"a change read late":        {changed(1, 120, revoked("z", 1, 80)), position(1, 100), []string{"z"}},
		"gone":                      {whole(1, 120), position(1, 120), nil},
		"gone, another added":       {whole(1, 120, ordered("y", 1, 122)), position(1, 122), []string{"y"}},
		"a read that was overtaken": {whole(1, 99), position(1, 100), []string{"z"}},
		"an older copy":             {whole(2, 50), position(2, 50), nil},
		"an older copy with it":     {whole(2, 50, ordered("z", 2, 40)), position(2, 50), []string{"z"}},
		"a read of an earlier era":  {whole(0, 500), position(1, 100), []string{"z"}},
	} {
		t.Run(name, func(t *testing.T) {
			got := z100.WithRead(c.read)
			assert.Equal(t, got.Position, c.at)
			assert.DeepEqual(t, got.Zones(), c.zones)
			assert.DeepEqual(t, got.WithRead(c.read), got)
		})
	}
}

// The operator may order and revoke any number of zones; the document must not grow with them.
func TestRevokedOrdersAreBounded(t *testing.T) {
	o := thtable.Orders{}.WithRead(whole(1, 1, ordered("kept", 1, 1)))
	for i := range uint64(500) {
		o = o.WithRead(changed(1, i+2, revoked(fmt.Sprint(i), 1, i+2)))
	}
	assert.Assert(t, len(o.List) < 100)
	assert.DeepEqual(t, o.Zones(), []string{"kept"})
	assert.Equal(t, o.Version, uint64(501))
}

// A VM with a newer table and an older order, or the reverse, must get the newer of both.
func TestDocumentsAreMergedByPart(t *testing.T) {
	table := thtable.Document{Version: 7, RequiresKey: true, Orders: thtable.Orders{}.WithRead(whole(1, 100, ordered("z", 1, 90)))}
	orders := thtable.Document{Version: 6, Orders: thtable.Orders{}.WithRead(whole(1, 110))}
	for _, merged := range []thtable.Document{table.Merged(orders), orders.Merged(table)} {
		assert.Equal(t, merged.Version, uint64(7))
		assert.Assert(t, merged.RequiresKey)
		assert.Equal(t, merged.Orders.Position, position(1, 110))
		assert.Equal(t, len(thtable.New(merged).Evacuated()), 0)
	}
	assert.Assert(t, table.IsNewerThan(orders) && orders.IsNewerThan(table))
	assert.DeepEqual(t, table.Merged(thtable.Document{Version: 8}).Orders, table.Orders) // of an older build
}

// Two VMs with the same table and other orders held the same digest, and changes did not bring the
// orders. Documents without orders must keep the digest that older builds compute.
func TestOrdersArePartOfDigestAndChange(t *testing.T) {
	before, after := document(3, 2), document(3, 2)
	after.Orders = thtable.Orders{}.WithRead(whole(1, 100, ordered("z", 1, 90)))
	c, ok := thtable.New(before).Diff(after)
	assert.Assert(t, ok)
	changed, err := thtable.New(before).WithChange(c)
	assert.NilError(t, err)
	assert.DeepEqual(t, changed.Evacuated(), []string{"z"})
	assert.DeepEqual(t, changed.Document().Orders, after.Orders)
	assert.Equal(t, changed.Digest(), thtable.New(after).Digest())
	assert.Assert(t, changed.Digest() != thtable.New(before).Digest())

	newer := document(4, 2)
	newer.Version, newer.Orders = 9, after.Orders
	c, _ = changed.Diff(newer)
	assert.Assert(t, c.Orders == nil)
	newTable, err := changed.WithChange(c)
	assert.NilError(t, err)
	assert.DeepEqual(t, newTable.Evacuated(), []string{"z"})
}

// knownBeforeRestore returns what a VM knows that had the orders a and b in force at the first position, and c
// revoked, before the store came back in era 2.
func knownBeforeRestore() thtable.KnownOrders {
	o := thtable.Orders{}.WithRead(whole(1, 100, ordered("a", 1, 80), ordered("b", 1, 90))).WithRead(changed(1, 105, revoked("c", 1, 105)))
	return thtable.KnownOrders{}.WithOrders(thclock.Instant{}, o, thclock.Instant{})
}

// at returns the time since the store came back.
func at(d time.Duration) thclock.Instant { return thclock.Instant{}.Add(time.Hour + d) }

// A restored store took back orders that it had acknowledged, and could not end those that VMs kept.
func TestOrdersAreKeptAgainstOlderCopy(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		copy    []thtable.Order
		changes []thtable.Order
		after   time.Duration
		zones   []string
	}{
		"both are lacking":            {zones: []string{"a", "b"}},
		"one is lacking":              {copy: []thtable.Order{ordered("a", 2, 80)}, zones: []string{"a", "b"}},
		"a revoked one is there":      {copy: []thtable.Order{ordered("c", 2, 70)}, zones: []string{"a", "b", "c"}},
		"and is revoked again":        {copy: []thtable.Order{ordered("c", 2, 70)}, changes: []thtable.Order{revoked("c", 2, 72)}, zones: []string{"a", "b"}},
		"a lacking one is deleted":    {changes: []thtable.Order{revoked("a", 2, 72)}, zones: []string{"b"}},
		"written again and deleted":   {changes: []thtable.Order{ordered("a", 2, 72), revoked("a", 2, 73)}, zones: []string{"b"}},
		"within a minute":             {after: 59 * second, zones: []string{"a", "b"}},
		"not written within a minute": {after: 60 * second},
		"one written, after a minute": {changes: []thtable.Order{ordered("a", 2, 72)}, after: 60 * second, zones: []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			o := thtable.Orders{}.WithRead(whole(2, 71, c.copy...))
			k := knownBeforeRestore().WithOrders(at(0), o, at(0))
			for _, change := range c.changes {
				o = o.WithRead(changed(2, change.Version, change))
				k = k.WithOrders(at(second), o, at(0))
			}
			assert.Equal(t, k.IsDue(at(c.after)), c.after >= 60*second)
			k = k.WithoutExpired(at(c.after))
			assert.DeepEqual(t, k.Zones(), c.zones)
			assert.Assert(t, !k.IsDue(at(c.after)))
		})
	}
}

// A VM that starts has not heard of an order that the restored store lacks, or of a revocation. It
// forgets what it is told when the others do.
func TestVMThatStartsIsToldOfKeptOrders(t *testing.T) {
	o := thtable.Orders{}.WithRead(whole(2, 71, ordered("b", 2, 60)))
	told := knownBeforeRestore().WithOrders(at(0), o, at(0)).Kept(at(20 * time.Second))
	starting := thtable.KnownOrders{}.WithOrders(at(0), o, at(0)).WithKept(at(20*time.Second), told, at(0))
	assert.DeepEqual(t, starting.Zones(), []string{"a", "b"})
	assert.Assert(t, !starting.IsDue(at(59*time.Second)))
	assert.DeepEqual(t, starting.WithoutExpired(at(60*time.Second)).Zones(), []string{"b"})
	assert.DeepEqual(t, thtable.KnownOrders{}.WithOrders(at(0), o, at(0)).WithKept(at(70*time.Second), told, at(0)).Zones(), []string{"b"})
	ended := o.WithRead(changed(2, 72, revoked("a", 2, 72)))
	assert.DeepEqual(t, starting.WithOrders(at(time.Second), ended, at(0)).Zones(), []string{"b"})

	missed := thtable.Orders{}.WithRead(whole(1, 100, ordered("c", 1, 90))) // it was cut off when c was revoked
	returning := thtable.KnownOrders{}.WithOrders(at(0), missed, at(0)).WithOrders(at(0), o, at(0))
	assert.DeepEqual(t, returning.Zones(), []string{"b", "c"})
	assert.DeepEqual(t, returning.WithKept(at(20*time.Second), told, at(0)).Zones(), []string{"a", "b"})
	assert.DeepEqual(t, knownBeforeRestore().WithOrders(at(0), o, at(0)).WithKept(at(0), returning.Kept(at(0)), at(0)).Zones(), []string{"a", "b"})
}

// The store came back twice within a minute: an order that was written again in between, and is
// lacking again, is kept for a minute from then on.
func TestOrdersAreKeptOverSeveralRestores(t *testing.T) {
	second := thtable.Orders{}.WithRead(whole(2, 71, ordered("a", 2, 72)))
	third := thtable.Orders{}.WithRead(whole(3, 71))
	k := knownBeforeRestore().WithOrders(at(0), second, at(0)).WithOrders(at(30*time.Second), third, at(30*time.Second))
	assert.DeepEqual(t, k.Zones(), []string{"a", "b"})
	k = k.WithoutExpired(at(60 * time.Second))
	assert.DeepEqual(t, k.Zones(), []string{"a"})
	assert.Equal(t, len(k.WithoutExpired(at(90*time.Second)).Zones()), 0)
}
