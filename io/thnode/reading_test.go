package thnode_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thfake"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// vmStore is the store as one VM reaches it.
type vmStore struct {
	*thfake.Store
	// silentTables and silentTargets let calls of Table and Targets pass without an answer.
	silentTables, silentTargets atomic.Bool
	// unanswered counts the calls that got no answer.
	unanswered atomic.Int32
	// refuses is set while the store refuses the VM, and refused counts the calls of
	// Targets that it has refused.
	refuses atomic.Bool
	refused atomic.Int32
}

// silenceTimeout is how long a call of Targets waits for a store that is silent.
const silenceTimeout = time.Second

func (s *vmStore) Table(ctx context.Context, after uint64, wait time.Duration) (thtable.Document, error) {
	switch {
	case s.refuses.Load():
		return thtable.Document{}, therror.New(therror.StoreUnavailable, "refused")
	case s.silentTables.Load():
		s.unanswered.Add(1)
		<-ctx.Done()
		return thtable.Document{}, therror.New(therror.StoreUnavailable, "no answer")
	}
	return s.Store.Table(ctx, after, wait)
}

func (s *vmStore) Targets(ctx context.Context) (thtable.TargetList, error) {
	switch {
	case s.refuses.Load():
		s.refused.Add(1)
		return thtable.TargetList{}, therror.New(therror.StoreUnavailable, "refused")
	case s.silentTargets.Load():
		s.unanswered.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(silenceTimeout):
		}
		return thtable.TargetList{}, therror.New(therror.StoreUnavailable, "no answer")
	}
	return s.Store.Targets(ctx)
}

func (s *vmStore) Join(ctx context.Context, self thfleet.Identity) ([]thfleet.Identity, error) {
	if s.refuses.Load() {
		return nil, therror.New(therror.StoreUnavailable, "refused")
	}
	return s.Store.Join(ctx, self)
}

// vmIDs returns the IDs of n VMs, the one that is to read the store first.
func vmIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("vm%d", i)
	}
	rank := func(id string) uint64 { return xxhash.Sum64String("reader " + id) }
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return ids
}

// newZonedFleet starts VMs, perZone in each zone and without targets, and waits until only
// the first one reads the store.
func newZonedFleet(t *testing.T, zones, perZone int) *fixture {
	t.Helper()
	g := newFixture(t, 0, 0)
	for i, id := range vmIDs(zones * perZone) {
		g.startIn(fmt.Sprintf("zone-%d", i/perZone), id)
	}
	g.waitUntil("only the first VM reads the store", func() bool {
		for vm := range g.nodes {
			if g.metric(vm, "store_reader") != boolToInt(vm == 0) {
				return false
			}
		}
		return true
	})
	return g
}

func boolToInt(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

const (
	// contactTime is the time after a fault from which VMs are held to their bounds, and
	// changeBound the time within which a change must then be in force. spreadBound is the
	// time that it should take while a VM reads the store.
	contactTime = 3 * time.Second
	changeBound = 2 * time.Second
	spreadBound = 1500 * time.Millisecond
)

// waitUntilAllHave waits until the metric has the value at all VMs, at most until the time.
func (g *fixture) waitUntilAllHave(name string, value uint64, until time.Time) {
	g.t.Helper()
	for vm := range g.nodes {
		for g.metric(vm, name) != value {
			assert.Assert(g.t, time.Now().Before(until), "VM %d has %s %d, want %d", vm, name, g.metric(vm, name), value)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// A reader whose calls for the table get no answer must not keep others from reading it.
func TestTableIsReadThoughReaderOnlyReadsTargets(t *testing.T) {
	g := newZonedFleet(t, 3, 2)
	g.stores[0].silentTables.Store(true)
	g.waitUntil("a call gets no answer", func() bool { return g.stores[0].unanswered.Load() > 0 })
	time.Sleep(contactTime)
	g.store.PutTable(newTable(2, "key"))
	g.waitUntilAllHave("table_version", 2, time.Now().Add(changeBound))
}

// The metrics must tell how old a follower's table and targets are, while the store answers and
// after it has ceased to.
func TestMetricsTellAgeOfTableAndTargets(t *testing.T) {
	g := newZonedFleet(t, 2, 2)
	ages := []string{"table_read_age_seconds", "targets_read_age_seconds"}
	for vm := range g.nodes {
		for _, name := range ages {
			g.waitUntil(name+" is small", func() bool { return g.metric(vm, name) < 2 })
		}
	}
	for _, s := range g.stores {
		s.refuses.Store(true)
	}
	for vm := range g.nodes {
		for _, name := range ages {
			g.waitUntil(name+" grows", func() bool { return g.metric(vm, name) >= 2 })
		}
	}
}

// A reader whose calls for the targets get no answer must not keep others from reading them.
func TestTargetsAreReadThoughReaderOnlyReadsTable(t *testing.T) {
	g := newZonedFleet(t, 3, 2)
	g.stores[0].silentTargets.Store(true)
	g.waitUntil("a call gets no answer", func() bool { return g.stores[0].unanswered.Load() > 0 })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := uint64(2); ctx.Err() == nil; version++ {
			g.store.PutTable(newTable(version, "key"))
			time.Sleep(silenceTimeout / 4)
		}
	}()
	defer func() {
		cancel()
		<-done
	}()
	time.Sleep(contactTime)
	g.store.PutTargets([]thtable.Target{{ID: "t", Service: "s", Address: "127.0.0.1:1", Zone: "zone-0", Draining: true}})
	g.waitUntilAllHave("targets_known", 1, time.Now().Add(changeBound))
}

// A zone's leader that the store refuses must pass on what it gets from another zone at once.
func TestChangeReachesZoneWhoseLeaderIsRefusedByStore(t *testing.T) {
	g := newZonedFleet(t, 2, 2)
	for _, s := range g.stores[:2] {
		s.refuses.Store(true)
	}
	time.Sleep(contactTime)
	refused := g.stores[0].refused.Load()
	g.waitUntil("the store refuses the leader once more", func() bool { return g.stores[0].refused.Load() > refused })
	g.store.PutTable(newTable(2, "key"))
	g.waitUntilAllHave("table_version", 2, time.Now().Add(spreadBound))
}
