package thburns_test

import (
	"fmt"
	"testing"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thburns"
)

// BenchmarkRecord counts requests of one large customer on all processors.
func BenchmarkRecord(b *testing.B) {
	for _, customers := range []int{1, 100, 4000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			r := thburns.New(thburns.Options{
				Self:   throster.VM{ID: "vm"},
				Config: func() thconfig.Config { return thconfig.Config{} },
			})
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprintf("customer-%05d", i)
			}
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				for i := 0; p.Next(); i++ {
					r.Record(thburn.Observation{Customer: names[i%customers], Service: "stock", Status: 200})
				}
			})
		})
	}
}
