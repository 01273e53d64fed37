package thconfig_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/throster"
)

// size is how much a configuration holds.
type size struct {
	services, targets, routes, customers, vms int
}

// sizes goes from today's to the two-year shape, and by one quantity each.
var sizes = []size{
	{3, 24, 20, 8, 40},
	{21, 1200, 400, 6000, 115},
	{42, 2400, 800, 12000, 230},
	{83, 4800, 1600, 24000, 460},
	{83, 4800, 1600, 8, 40},
	{83, 4800, 1600, 24000, 40},
	{3, 24, 20, 24000, 40},
	{3, 24, 20, 8, 460},
}

func (z size) String() string {
	return fmt.Sprintf("services=%d/targets=%d/routes=%d/customers=%d/vms=%d", z.services, z.targets, z.routes, z.customers, z.vms)
}

// build makes a configuration of the size, with one key a customer.
func build(tb testing.TB, z size) thconfig.Config {
	tb.Helper()
	var b builder
	b.tb = tb
	for i := range z.services {
		b.put(deploymentOf(z, i))
	}
	for i := range z.customers {
		name := fmt.Sprintf("customer-%05d", i)
		b.put(thconfig.SetCustomer{Customer: thconfig.Customer{
			Name: name, Rate: 5, Burst: 10, Deployment: fmt.Sprintf("deployment-%02d", i%z.services),
		}})
		_, key := thconfig.NewKey(name, fmt.Sprintf("key-%05d", i), []byte("0123456789abcdef"))
		b.put(thconfig.IssueKey{Key: key})
	}
	var m thconfig.ChangeMembers
	for i := range z.vms {
		m.Join = append(m.Join, throster.VM{ID: fmt.Sprintf("vm-%03d", i), PeerAddress: fmt.Sprintf("127.0.%d.%d:7000", i/200, i%200+1), Zone: "a", Incarnation: 1})
	}
	b.put(m)
	return b.config
}

type builder struct {
	tb     testing.TB
	config thconfig.Config
}

func (b *builder) put(c thconfig.Change) {
	b.tb.Helper()
	r, err := thconfig.NextRecord(b.config, fmt.Sprint(b.config.Version()), c)
	assert.NilError(b.tb, err)
	b.config, err = b.config.WithRecord(r)
	assert.NilError(b.tb, err)
}

func deploymentOf(z size, i int) thconfig.Change {
	s := thconfig.Service{Name: fmt.Sprintf("service-%02d", i), Slots: 2, Connections: 300, Floor: 0.5}
	for j := i; j < z.targets; j += z.services {
		s.Targets = append(s.Targets, thconfig.Target{Address: fmt.Sprintf("127.1.%d.%d:80", j/200, j%200+1), Zone: "a"})
	}
	d := thconfig.Deployment{Name: fmt.Sprintf("deployment-%02d", i), Services: []thconfig.Service{s}}
	for j := i; j < z.routes; j += z.services {
		d.Routes = append(d.Routes, thconfig.Route{Name: fmt.Sprintf("route-%04d", j), Prefix: fmt.Sprintf("/s%02d/r%04d", i, j), Service: s.Name})
	}
	return thconfig.PutDeployment{Deployment: d}
}

func BenchmarkMemory(b *testing.B) {
	for _, z := range sizes {
		b.Run(z.String(), func(b *testing.B) {
			data, err := json.Marshal(build(b, z))
			assert.NilError(b, err)
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				var c thconfig.Config
				assert.NilError(b, json.Unmarshal(data, &c))
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B-kept")
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(len(data)), "B-snapshot")
		})
	}
}

func BenchmarkChange(b *testing.B) {
	for _, z := range sizes {
		b.Run(z.String(), func(b *testing.B) {
			c := build(b, z)
			k, ok := c.Key("key-00000")
			assert.Assert(b, ok)
			for b.Loop() {
				r, err := thconfig.NextRecord(c, "change", thconfig.WithdrawKey{ID: k.ID})
				assert.NilError(b, err)
				_, err = c.WithRecord(r)
				assert.NilError(b, err)
			}
		})
	}
}

func BenchmarkSetTarget(b *testing.B) {
	for _, z := range sizes[:4] {
		b.Run(z.String(), func(b *testing.B) {
			c := build(b, z)
			for b.Loop() {
				r, err := thconfig.NextRecord(c, "change", thconfig.SetTarget{Service: "service-00", Target: thconfig.Target{Address: "127.1.0.1:80", Zone: "a", Leaving: true}})
				assert.NilError(b, err)
				_, err = c.WithRecord(r)
				assert.NilError(b, err)
			}
		})
	}
}

func BenchmarkPutDeployment(b *testing.B) {
	for _, z := range sizes[:4] {
		b.Run(z.String(), func(b *testing.B) {
			c := build(b, z)
			change := deploymentOf(z, 0)
			for b.Loop() {
				r, err := thconfig.NextRecord(c, "change", change)
				assert.NilError(b, err)
				_, err = c.WithRecord(r)
				assert.NilError(b, err)
			}
		})
	}
}

func BenchmarkSnapshotWrite(b *testing.B) {
	for _, z := range sizes[:4] {
		b.Run(z.String(), func(b *testing.B) {
			c := build(b, z)
			for b.Loop() {
				_, err := json.Marshal(c)
				assert.NilError(b, err)
			}
		})
	}
}

func BenchmarkSnapshotLoad(b *testing.B) {
	for _, z := range sizes[:4] {
		b.Run(z.String(), func(b *testing.B) {
			data, err := json.Marshal(build(b, z))
			assert.NilError(b, err)
			for b.Loop() {
				var c thconfig.Config
				assert.NilError(b, json.Unmarshal(data, &c))
			}
		})
	}
}
