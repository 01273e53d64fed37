package thtable_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

// document returns a document with the given number of routes, one service per
// twenty routes, and customers with one key each.
func document(routes, customers int) thtable.Document {
	d := thtable.Document{Version: 1, RequiresKey: true}
	for i := range routes {
		service := fmt.Sprintf("service-%d", i/20)
		if i%20 == 0 {
			d.Services = append(d.Services, thtable.Service{Name: service, MaxConnections: 300})
		}
		d.Routes = append(d.Routes, thtable.Route{
			Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("host-%d.example", i%100), Prefix: fmt.Sprintf("/path-%d/", i),
			Safety: thtable.AtMostOnce, TimeoutMillis: 2000, LatencyObjectiveMillis: 800, Priority: 1, MaxAttempts: 2,
			Backends: []thtable.Backend{{Service: service, Weight: 1}},
		})
	}
	for i := range customers {
		d.Customers = append(d.Customers, thtable.Customer{
			Name: fmt.Sprintf("customer-%d", i), Keys: []string{fmt.Sprintf("key-%016x", i)}, Rate: 10, Burst: 20,
		})
	}
	return d
}

// BenchmarkTable builds a table from a JSON document and reports the document's
// size as B.
func BenchmarkTable(b *testing.B) {
	for _, size := range []struct{ routes, customers int }{{20, 8}, {400, 80}, {1600, 6000}, {1600, 24000}} {
		b.Run(fmt.Sprintf("%d/%d", size.routes, size.customers), func(b *testing.B) {
			data, err := json.Marshal(document(size.routes, size.customers))
			assert.NilError(b, err)
			b.ResetTimer()
			for range b.N {
				var d thtable.Document
				assert.NilError(b, json.Unmarshal(data, &d))
				assert.Equal(b, thtable.New(d).Version(), uint64(1))
			}
			b.ReportMetric(float64(len(data)), "B")
		})
	}
}

// BenchmarkRoute looks up a request's route and customer.
func BenchmarkRoute(b *testing.B) {
	t := thtable.New(document(1600, 24000))
	b.ResetTimer()
	for i := range b.N {
		_, ok := t.Route("host-77.example", "/path-177/a/b/c")
		_, known := t.Authenticate("key-0000000000000fff")
		assert.Assert(b, ok && known, "%d", i)
	}
}
