package thdiff_test

import (
	"fmt"
	"testing"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thdiff"
)

// BenchmarkBetween compares two configurations that differ in one customer, as
// an operator's dry run does.
func BenchmarkBetween(b *testing.B) {
	for _, n := range []int{1000, 6000, 24_000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			p := thconfig.PutDeployment{Deployment: thconfig.Deployment{Name: "all"}}
			for i := range n {
				p.Customers = append(p.Customers, thconfig.Customer{Name: fmt.Sprintf("customer-%05d", i), Rate: 5, Burst: 10})
			}
			before := put(b, thconfig.Config{}, p)
			u, _ := before.Customer("customer-00007")
			u.Rate = 9
			after := put(b, before, thconfig.SetCustomer{Customer: u})
			for b.Loop() {
				if len(thdiff.Between(before, after)) != 1 {
					b.Fatal("one difference")
				}
			}
		})
	}
}

func put(b *testing.B, c thconfig.Config, change thconfig.Change) thconfig.Config {
	b.Helper()
	r, err := thconfig.NextRecord(c, "id", change)
	if err != nil {
		b.Fatal(err)
	}
	n, err := c.WithRecord(r)
	if err != nil {
		b.Fatal(err)
	}
	return n
}
