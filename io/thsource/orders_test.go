package thsource_test

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thsource"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

// evacuated returns the orders to evacuate the zones, as of a version of the store.
func evacuated(version uint64, zones ...string) thtable.Orders {
	at := thtable.Position{Era: 1, Version: version}
	var rows []thtable.Order
	for _, z := range zones {
		rows = append(rows, thtable.Order{Zone: z, Position: at})
	}
	return thtable.Orders{}.WithRead(thtable.OrdersRead{Position: at, Whole: true, Rows: rows})
}

func awaitEvacuated(t *testing.T, s *thsource.Source, zones ...string) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !slices.Equal(s.Status().Evacuated, zones); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the zones %v are evacuated, want %v", s.Status().Evacuated, zones)
	}
}

// VMs of older builds pass on documents without orders. These took back the orders, and the table
// was sent again and again to callers that do not know orders.
func TestOrdersBesideVMsOfOlderBuilds(t *testing.T) {
	g := newFixture(t)
	g.store.set(func(s *fakeStore) { s.table.Orders = evacuated(5, "z") })
	awaitEvacuated(t, g.source, "z")

	self := startPeer(t, "self", g.source.Register)
	ask := func(q any) (answer knownAnswer) {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		answer, err := thwire.Call[any, knownAnswer](ctx, thwire.NewClient(thwire.ClientOptions{Credential: "credential"}), self.Address, "/known", q)
		assert.NilError(t, err)
		return answer
	}
	assert.Assert(t, ask(known{Table: 1}).Table == nil)
	assert.DeepEqual(t, ask(map[string]any{"table": 1, "knowsOrders": true}).Table.Orders, evacuated(5, "z"))
	assert.Assert(t, ask(map[string]any{"table": 1, "knowsOrders": true, "orders": thtable.Position{Era: 1, Version: 5}}).Table == nil)

	g.announce(startPeer(t, "older", answering(func(known) knownAnswer { return knownAnswer{Table: &version2} })))
	g.waitForTable(t, 2)
	assert.DeepEqual(t, g.source.Table().Evacuated(), []string{"z"})
	awaitEvacuated(t, g.source, "z")
}

// Of two VMs, one has the newer table and the other the later orders. Both must get both.
func TestVMsExchangeTableAndOrdersByPart(t *testing.T) {
	a, b := newFixture(t), newFixture(t)
	a.store.set(func(s *fakeStore) { s.table.Orders = evacuated(5, "z") })
	b.store.set(func(s *fakeStore) { s.table.Orders = evacuated(5, "z") })
	awaitEvacuated(t, a.source, "z")
	awaitEvacuated(t, b.source, "z")
	a.store.set(func(s *fakeStore) { s.table.Version = 2 })
	b.store.set(func(s *fakeStore) { s.table.Orders = evacuated(6, "y") })
	a.waitForTable(t, 2)
	awaitEvacuated(t, b.source, "y")
	for _, g := range []*fixture{a, b} {
		g.fleet.setReader(false)
	}
	time.Sleep(300 * time.Millisecond) // the reads under way end
	vmA, vmB := startPeer(t, "a", a.source.Register), startPeer(t, "b", b.source.Register)
	a.fleet.announce(thfleet.StoreVersions{Orders: thtable.Position{Era: 1, Version: 6}}, vmB)
	a.source.HandleAnnouncement(thfleet.ReadAges{})
	awaitEvacuated(t, a.source, "y")
	b.fleet.announce(thfleet.StoreVersions{Table: 2}, vmA)
	b.source.HandleAnnouncement(thfleet.ReadAges{})
	b.waitForTable(t, 2)
	for _, g := range []*fixture{a, b} {
		assert.Equal(t, g.source.Table().Version(), uint64(2))
		assert.DeepEqual(t, g.source.Table().Evacuated(), []string{"y"})
		assert.Equal(t, g.source.Table().Digest(), a.source.Table().Digest())
	}
}

// A VM that has read the restored store itself was never told of an order that it lacks.
func TestVMThatStartsFromRestoredStoreAsksForKeptOrders(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // of a seed that does not answer
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	kept := thtable.KeptOrder{Order: thtable.Order{Zone: "kept", Position: thtable.Position{Era: 1, Version: 90}}, RemainingMillis: 700}
	peer := startPeer(t, "peer", func(s *thwire.Server) {
		thwire.Handle(s, "/known", func(thwire.Sender, known) (map[string]any, error) {
			return map[string]any{"keptOrders": []thtable.KeptOrder{kept}}, nil
		})
	})
	store, fleet := &fakeStore{}, &fakeFleet{random: []thfleet.Identity{peer}}
	restored := thtable.Orders{Position: thtable.Position{Era: 2, Version: 70}}
	store.set(func(s *fakeStore) {
		s.list.Targets, s.table = targets("a"), thtable.Document{Version: 1, Orders: restored}
	})
	s := startJoining(t, thsource.Options{Store: store, Fleet: fleet, Seeds: []string{l.Addr().String()}})
	awaitEvacuated(t, s, "kept")
	awaitEvacuated(t, s) // it is forgotten when the peer forgets it
}

// A VM had read an order, and another one the store after the order was revoked, of neither of which
// that one had heard. The zone stayed evacuated.
func TestOrderOfWhichOneVMMissedTheRevocationIsEnded(t *testing.T) {
	g := newFixture(t)
	g.store.set(func(s *fakeStore) { s.table.Orders = evacuated(30, "a") })
	awaitEvacuated(t, g.source, "a")
	g.store.set(func(s *fakeStore) { s.table.Orders = s.table.Orders.AsOf(thtable.Position{Era: 1, Version: 35}) })
	missed := thtable.Document{Version: 1, Orders: evacuated(31, "a", "b")}
	peer := startPeer(t, "peer", answering(func(known) knownAnswer { return knownAnswer{Table: &missed} }))
	g.fleet.announce(thfleet.StoreVersions{Orders: missed.Orders.Position}, peer)
	g.source.HandleAnnouncement(thfleet.ReadAges{})
	for until := time.Now().Add(testTimeout); g.source.Status().Orders.Version != 35; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the orders are at %v", g.source.Status().Orders)
	}
	awaitEvacuated(t, g.source, "a")
}
