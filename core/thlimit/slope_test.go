package thlimit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thlimit"
	"tamarackhollow/core/throster"
)

// slopeHome returns a home of many customers, and the moment from which on it
// acts for them.
func slopeHome(b *testing.B, customers int) (*thlimit.Home, thclock.Instant) {
	b.Helper()
	us := make([]thconfig.Customer, customers)
	for i := range us {
		us[i] = thconfig.Customer{Name: fmt.Sprintf("customer%d", i), Deployment: "bench", Rate: 1000, Burst: 20}
	}
	var c thconfig.Config
	r, err := thconfig.NextRecord(c, "bench", thconfig.PutDeployment{Deployment: thconfig.Deployment{Name: "bench"}, Customers: us})
	if err == nil {
		c, err = c.WithRecord(r)
	}
	if err != nil {
		b.Fatal(err)
	}
	l, v := oneVM()
	h := thlimit.NewHome(v, freshFor)
	h.Adopt(start, l)
	h.Accept(start, 1)
	h.Configure(start, c)
	return h, start.Add(time.Hour)
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkHomeGrant measures what one ask costs a home, and what it remembers
// of a customer that is active.
func BenchmarkHomeGrant(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000, 24_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h, now := slopeHome(b, n)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("customer%d", i)
			}
			from := throster.VM{ID: "vm01", Incarnation: 1}
			before := heapBytes()
			number := uint64(0)
			grant := func(i int) {
				number++
				now = now.Add(100 * time.Microsecond)
				h.Ask(now, from, thlimit.Ask{Part: thlimit.Part{Customer: names[i%n]}, Number: number, Need: 1})
			}
			for i := range n {
				grant(i)
			}
			bytes := float64(heapBytes()-before) / float64(n)
			b.ResetTimer()
			for i := range b.N {
				grant(i)
			}
			b.ReportMetric(bytes, "B/customer")
		})
	}
}

// BenchmarkAdmit measures an admission from tokens at hand, and what a spender
// remembers of a customer that is active.
func BenchmarkAdmit(b *testing.B) {
	const tokens = 1 << 40
	for _, n := range []int{100, 1_000, 10_000, 24_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, _ := oneVM()
			us := make([]thconfig.Customer, n)
			for i := range us {
				us[i] = thconfig.Customer{Name: fmt.Sprintf("customer%d", i), Rate: 1, Burst: 1}
			}
			before := heapBytes()
			s := &thlimit.Spender{}
			for _, u := range us {
				d := s.Admit(start, l, u, &thlimit.Try{})
				s.Answer(start, d.Ask.Ask.Part, thlimit.Grant{Status: thlimit.StatusGranted, Number: d.Ask.Ask.Number, Tokens: tokens, LifeMillis: 2000})
			}
			bytes := float64(heapBytes()-before) / float64(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				var t thlimit.Try
				s.Admit(start, l, us[i%n], &t)
			}
			b.ReportMetric(bytes, "B/customer")
		})
	}
}

// BenchmarkPrune measures one round over what a home remembers.
func BenchmarkPrune(b *testing.B) {
	h, now := slopeHome(b, 1000)
	from := throster.VM{ID: "vm01", Incarnation: 1}
	for i := range 1000 {
		h.Ask(now, from, thlimit.Ask{Part: thlimit.Part{Customer: fmt.Sprintf("customer%d", i)}, Number: 1, Need: 1})
	}
	b.ResetTimer()
	for range b.N {
		h.Prune(now)
	}
}
