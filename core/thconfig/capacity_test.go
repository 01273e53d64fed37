package thconfig_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"tamarackhollow/core/thconfig"
)

const (
	fullServices  = 83
	fullTargets   = 4800
	fullRoutes    = 1600
	fullCustomers = 24_000
)

// sized returns a configuration of the two-year target's shape, with so many
// customers of one key each.
func sized(b *testing.B, customers int) thconfig.Config {
	b.Helper()
	d := thconfig.Deployment{Name: "all"}
	target := 0
	for i := range fullServices {
		s := thconfig.Service{Name: fmt.Sprintf("service-%d", i), Slots: 6, Connections: 350, Floor: 0.5}
		for target < (i+1)*fullTargets/fullServices {
			s.Targets = append(s.Targets, thconfig.Target{
				Address: fmt.Sprintf("10.%d.%d.%d:8080", target>>16, target>>8&255, target&255), Zone: "zone-a",
			})
			target++
		}
		d.Services = append(d.Services, s)
	}
	for i := range fullRoutes {
		name := fmt.Sprintf("route-%d", i)
		d.Routes = append(d.Routes, thconfig.Route{Name: name, Prefix: "/" + name, Service: d.Services[i%fullServices].Name})
	}
	p := thconfig.PutDeployment{Deployment: d}
	for i := range customers {
		p.Customers = append(p.Customers, thconfig.Customer{Name: fmt.Sprintf("customer-%05d", i), Rate: 5, Burst: 10})
	}
	c := changed(b, thconfig.Config{}, p)
	return withKeys(b, c, customers)
}

// withKeys adds the keys by way of the snapshot's JSON, which is faster than
// change by change.
func withKeys(b *testing.B, c thconfig.Config, customers int) thconfig.Config {
	b.Helper()
	var tree map[string]json.RawMessage
	data, err := json.Marshal(c)
	must(b, err)
	must(b, json.Unmarshal(data, &tree))
	keys := make([]thconfig.Key, 0, customers)
	for i := range customers {
		_, k := thconfig.NewKey(fmt.Sprintf("customer-%05d", i), fmt.Sprintf("key-%05d", i), []byte("0123456789abcdef01234567"))
		keys = append(keys, k)
	}
	tree["keys"], err = json.Marshal(keys)
	must(b, err)
	data, err = json.Marshal(tree)
	must(b, err)
	var n thconfig.Config
	must(b, json.Unmarshal(data, &n))
	return n
}

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func changed(b *testing.B, c thconfig.Config, change thconfig.Change) thconfig.Config {
	b.Helper()
	r, err := thconfig.NextRecord(c, "id", change)
	must(b, err)
	n, err := c.WithRecord(r)
	must(b, err)
	return n
}

var customerCounts = []int{1000, 6000, fullCustomers}

// BenchmarkConfigMemory gives the bytes of the whole configuration in memory
// and as a snapshot.
func BenchmarkConfigMemory(b *testing.B) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			data, err := json.Marshal(sized(b, n))
			must(b, err)
			for b.Loop() {
				before := heapBytes()
				var c thconfig.Config
				must(b, json.Unmarshal(data, &c))
				b.ReportMetric(float64(heapBytes()-before), "heapB")
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(len(data)), "snapshotB")
		})
	}
}

func heapBytes() uint64 {
	// The second collection takes what the first one's finalizers let go.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkConfigChange puts one change of a customer in force, as every VM does.
func BenchmarkConfigChange(b *testing.B) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			c := sized(b, n)
			u, _ := c.Customer("customer-00007")
			b.ReportAllocs()
			for b.Loop() {
				u.Burst++
				c = changed(b, c, thconfig.SetCustomer{Customer: u})
			}
		})
	}
}

// BenchmarkConfigLoad reads a snapshot, as a new VM does.
func BenchmarkConfigLoad(b *testing.B) {
	data, err := json.Marshal(sized(b, fullCustomers))
	must(b, err)
	for b.Loop() {
		var c thconfig.Config
		must(b, json.Unmarshal(data, &c))
	}
}

// BenchmarkAuthenticate finds a key's customer, its route and whether it may
// use it, as each request does.
func BenchmarkAuthenticate(b *testing.B) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			c := sized(b, n)
			text, _ := thconfig.NewKey("customer-00007", "key-00007", []byte("0123456789abcdef01234567"))
			for b.Loop() {
				u, ok := c.Authenticate(text)
				r, found := c.Route("/route-900/a/b")
				if !ok || !found || !c.Allows(u, r) {
					b.Fatal("not authenticated")
				}
			}
		})
	}
}
