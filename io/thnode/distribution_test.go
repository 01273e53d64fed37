package thnode_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

// The size of the largest availability zone of the deployments that are served
// today, and of its routing table after a change that adds many routes.
const (
	zoneVMs       = 32
	zoneTargets   = 266
	zoneCustomers = 79
	fewRoutes     = 20
	manyRoutes    = 1420
)

const (
	// applyMillis is the time within which a change has to be in force.
	applyMillis = 2500
	// controlBytesPerSecond is what a VM may send to control the fleet.
	controlBytesPerSecond = 27_000
	// slowLinkBytesPerSecond is what a VM's link of 10 Mbit/s carries.
	slowLinkBytesPerSecond = 1_250_000
	// hops is over how many links a change passes one after the other: from the
	// reader to the leader of a zone, and over two more VMs to the last one.
	hops = 4
)

// randomName returns a name of random letters and digits, which compresses as little
// as those of the platform.
func randomName(rng *rand.Rand, length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := make([]byte, length)
	for i := range name {
		name[i] = letters[rng.IntN(len(letters))]
	}
	return string(name)
}

// zoneTable returns a table of the given number of routes. Tables of any version
// begin with the same routes.
func zoneTable(version uint64, routes int) thtable.Document {
	d, rng := newTable(version, "key"), rand.New(rand.NewPCG(1, 1))
	for range routes {
		d.Routes = append(d.Routes, thtable.Route{
			Name: "r-" + randomName(rng, 7), Host: host, Prefix: "/" + randomName(rng, 7) + "/" + randomName(rng, 4) + "/", Safety: thtable.Idempotent,
			MaxAttempts: 2, TimeoutMillis: 4000, LatencyObjectiveMillis: 400, Backends: []thtable.Backend{{Service: "s", Weight: 1}},
		})
	}
	for i := range zoneCustomers {
		d.Customers = append(d.Customers, thtable.Customer{Name: fmt.Sprintf("customer-%d", i), Keys: []string{fmt.Sprintf("%016x", i*7919)}, Rate: 10, Burst: 10})
	}
	return d
}

// newZone starts a zone of VMs whose table has the given number of routes, and waits
// until only one of them reads the store. The table's version is then 3.
func newZone(t *testing.T, routes int) *fixture {
	t.Helper()
	g := newFixture(t, 0, 0)
	var listed []thtable.Target
	for i := range zoneTargets {
		listed = append(listed, thtable.Target{ID: fmt.Sprintf("i-%010x", i*104729), Service: "s", Address: fmt.Sprintf("10.0.0.1:%d", 1000+i), Zone: "a", Slots: 4})
	}
	g.store.PutTargets(listed)
	g.store.PutTable(zoneTable(2, routes))
	for i := range zoneVMs {
		g.start(fmt.Sprintf("vm%d", i))
	}
	g.waitForTable(2)
	g.waitUntil("one VM is the reader", func() bool {
		var readers uint64
		for vm := range g.nodes {
			readers += g.metric(vm, "store_reader")
		}
		return readers == 1
	})
	// VMs that are no longer the reader still wait for the answer to one request.
	g.store.PutTable(zoneTable(3, routes))
	g.waitForTable(3)
	return g
}

// waitForTable waits until every VM has the table of that version.
func (g *fixture) waitForTable(version uint64) {
	g.t.Helper()
	g.waitUntil(fmt.Sprintf("all VMs have version %d", version), func() bool {
		for vm := range g.nodes {
			if g.metric(vm, "table_version") != version {
				return false
			}
		}
		return true
	})
}

// metric returns the value of a metric without labels of one VM.
func (g *fixture) metric(vm int, name string) uint64 {
	g.t.Helper()
	a, err := g.client.Get("http://" + g.metrics[vm] + "/metrics")
	assert.NilError(g.t, err)
	defer func() { _ = a.Body.Close() }()
	assert.Equal(g.t, a.StatusCode, http.StatusOK)
	text, err := io.ReadAll(a.Body)
	assert.NilError(g.t, err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			assert.NilError(g.t, err)
			return uint64(x)
		}
	}
	g.t.Fatalf("VM %d has no metric %s", vm, name)
	return 0
}

// bytesOfChange puts a table, waits until every VM has it, and returns how many
// bytes the busiest VM sent to the others for it.
func (g *fixture) bytesOfChange(d thtable.Document) uint64 {
	g.t.Helper()
	before := make([]uint64, len(g.nodes))
	for vm := range g.nodes {
		before[vm] = g.metric(vm, "peer_answers_bytes_total")
	}
	g.store.PutTable(d)
	g.waitForTable(d.Version)
	var most uint64
	for vm := range g.nodes {
		most = max(most, g.metric(vm, "peer_answers_bytes_total")-before[vm])
	}
	g.t.Logf("the busiest VM sent %d bytes", most)
	return most
}

// A change of one route must not cost a copy of the whole table for each VM.
func TestSmallChangeFitsControlTraffic(t *testing.T) {
	g := newZone(t, manyRoutes)
	d := zoneTable(4, manyRoutes)
	d.Routes[7].TimeoutMillis = 1234
	most := g.bytesOfChange(d)
	assert.Assert(t, most <= controlBytesPerSecond*applyMillis/1000, "the busiest VM sent %d bytes", most)
}

// A change that adds many routes must get through VMs with slow links in time.
func TestLargeChangeFitsSlowLinks(t *testing.T) {
	g := newZone(t, fewRoutes)
	most := g.bytesOfChange(zoneTable(4, manyRoutes))
	assert.Assert(t, most <= slowLinkBytesPerSecond*applyMillis/1000/hops, "the busiest VM sent %d bytes", most)
}
