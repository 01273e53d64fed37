package thburn_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/throster"
)

// The two-year target's load, and how many services a customer uses.
const (
	requestsPerSecond = 31_000
	fullVMs           = 460
	fullCustomers     = 24_000
	customerServices  = 3
	// callHeaderBytes are a call's and its answer's headers, as BenchmarkCall of io/thwire gives them.
	callHeaderBytes = 290
)

// BenchmarkFleetMinute draws one minute's requests of a whole fleet, with the
// load and the customers in proportion to the VMs, and gives what a VM sends
// and what the busiest home hears.
func BenchmarkFleetMinute(b *testing.B) {
	for _, vms := range []int{40, 115, 230, fullVMs} {
		for _, even := range []bool{true, false} {
			b.Run(fmt.Sprintf("vms=%d/even=%v", vms, even), func(b *testing.B) {
				for b.Loop() {
					reportFleet(b, vms, even)
				}
			})
		}
	}
}

type fleetMinute struct {
	sentBytes, calls float64
	heard            map[string]float64
	names            map[string]map[thburn.Name]bool
}

func reportFleet(b *testing.B, vms int, even bool) {
	b.Helper()
	r := rand.New(rand.NewPCG(uint64(vms), 1))
	customers := fullCustomers * vms / fullVMs
	zipf := rand.NewZipf(r, 1.1, 1, uint64(customers-1))
	draw := func() uint64 { return r.Uint64N(uint64(customers)) }
	if !even {
		draw = zipf.Uint64
	}
	homes := homesOf(vms)
	f := fleetMinute{heard: map[string]float64{}, names: map[string]map[thburn.Name]bool{}}
	for range vms {
		counts := map[thburn.Name]thburn.Counts{}
		for range requestsPerSecond * 60 / fullVMs {
			n := thburn.Name{
				Customer: fmt.Sprintf("customer-%05d", draw()), Service: fmt.Sprintf("service-%d", r.IntN(customerServices)),
			}
			counts[n] = counts[n].With(thburn.Good)
		}
		f.send(b, homes, counts)
	}
	most, names := 0.0, 0
	for home, bytes := range f.heard {
		most = max(most, bytes)
		names = max(names, len(f.names[home]))
	}
	b.ReportMetric(f.sentBytes/float64(vms)/60, "sentB/s/VM")
	b.ReportMetric(f.calls/float64(vms)/60, "calls/s/VM")
	b.ReportMetric(most/60, "mostHeardB/s")
	b.ReportMetric(float64(names), "mostNames")
}

func homesOf(vms int) []string {
	homes := make([]string, thburn.Parts)
	for i, v := range thburn.Homes(rosterOf(vms)) {
		homes[i] = v.ID
	}
	return homes
}

// send brings one VM's minute to the homes.
func (f *fleetMinute) send(b *testing.B, homes []string, counts map[thburn.Name]thburn.Counts) {
	b.Helper()
	byHome := map[string]map[int][]thburn.Entry{}
	for n, c := range counts {
		part := thburn.PartOf(n.Customer)
		home := homes[part]
		if byHome[home] == nil {
			byHome[home] = map[int][]thburn.Entry{}
			if f.names[home] == nil {
				f.names[home] = map[thburn.Name]bool{}
			}
		}
		f.names[home][n] = true
		byHome[home][part] = append(byHome[home][part], thburn.Entry{Name: n, Counts: c})
	}
	for home, parts := range byHome {
		bytes := float64(callHeaderBytes)
		for part, entries := range parts {
			data, err := json.Marshal(thburn.Batch{Source: "vm-001/1", Part: part, Deltas: []thburn.Delta{{Sequence: 1, Minute: firstMinute, Entries: entries}}})
			if err != nil {
				b.Fatal(err)
			}
			bytes += float64(len(data))
		}
		f.sentBytes += bytes
		f.heard[home] += bytes
		f.calls++
	}
}

func rosterOf(vms int) throster.Roster {
	list := make([]throster.VM, vms)
	for i := range list {
		list[i].ID = fmt.Sprintf("vm-%03d", i)
	}
	return throster.NewRoster(1, list)
}

func TestHomesAreEvenAndMostlyStay(t *testing.T) {
	for _, vms := range []int{1, 3, 40, 115, 460, 600} {
		r := rosterOf(vms)
		homes := thburn.Homes(r)
		load := map[string]int{}
		for _, v := range homes {
			load[v.ID]++
		}
		for id, n := range load {
			assert.Assert(t, n <= thburn.Parts/vms+1, "%s has %d of %d parts at %d VMs", id, n, thburn.Parts, vms)
		}
		if vms == 1 {
			continue
		}
		moved := 0
		for i, v := range thburn.Homes(r.WithoutVM("vm-000")) {
			if v.ID != homes[i].ID {
				moved++
			}
		}
		// What the VM had has to move; a tenth more is the price of evenness.
		assert.Assert(t, moved <= load["vm-000"]+thburn.Parts/10, "%d parts moved at %d VMs", moved, vms)
	}
	assert.Equal(t, thburn.Homes(throster.Roster{})[0].ID, "")
}
