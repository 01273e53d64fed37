package thnode_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thtable"
)

// evacuateBound is the time within which each VM must obey an order to evacuate a zone.
const evacuateBound = 5 * time.Second

// The VM that reads the store falls silent as the order is written, as if it were killed. All VMs of
// all zones must obey it in time, also those that the store refuses.
func TestOrderReachesAllZonesThoughReaderFallsSilent(t *testing.T) {
	g := newZonedFleet(t, 3, 3)
	g.store.PutTargets([]thtable.Target{{ID: "t", Service: "s", Address: "127.0.0.1:1", Zone: "zone-1"}})
	g.waitUntilAllHave("targets_known", 1, time.Now().Add(testTimeout))
	g.stores[0].silentTables.Store(true)
	for vm := 3; vm < len(g.stores); vm++ {
		g.stores[vm].refuses.Store(true)
	}
	g.waitUntil("a call gets no answer", func() bool { return g.stores[0].unanswered.Load() > 0 })
	g.store.PutOrders(7, "zone-1")
	until := time.Now().Add(evacuateBound)
	g.waitUntilAllHave(`zone_evacuated{zone="zone-1"}`, 1, until)
	g.waitUntilAllHave("evacuations_version", 7, until)
	g.store.PutOrders(8)
	g.waitUntilAllHave("evacuations_version", 8, time.Now().Add(evacuateBound))
}
