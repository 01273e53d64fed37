package throute_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/throute"
)

// fleetSize is a size of the fleet as one VM sees it.
type fleetSize struct{ vms, targets, services int }

var fleetSizes = []fleetSize{{40, 24, 3}, {120, 600, 20}, {460, 4800, 83}}

// balancers returns one VM's balancers, with reports of as many VMs as a row
// keeps about each target in use.
func (z fleetSize) balancers(reports int) (bs []*throute.Balancer[int], targets int) {
	now := noon
	for s := range z.services {
		spec := thconfig.Service{Name: fmt.Sprint("s", s), Slots: 2, Connections: 300, Floor: 0.5}
		for i := range z.targets / z.services {
			spec.Targets = append(spec.Targets, thconfig.Target{Address: fmt.Sprint(i)})
		}
		p := throute.Place{ID: "vm", VMs: z.vms}
		b := throute.NewBalancer[int](now, spec, p, rand.New(rand.NewPCG(1, uint64(s))))
		for _, g := range p.Subset(spec) {
			targets++
			for o := range reports {
				b.Receive(now, thhealth.Cell{
					Target: thhealth.TargetKey(spec.Name, g.Address), Origin: uint32(o + 1),
					Tally: thhealth.Tally{Long: thhealth.Counts{Requests: 10}, Short: thhealth.Counts{Requests: 1}},
					Rest:  thhealth.Rest{Long: thhealth.Counts{Requests: 50}, Short: thhealth.Counts{Requests: 5}},
				})
			}
		}
		bs = append(bs, b)
	}
	return bs, targets
}

const usualReports = 30

// BenchmarkJudge measures one VM's round of judging all its targets.
func BenchmarkJudge(b *testing.B) {
	for _, z := range fleetSizes {
		b.Run(fmt.Sprintf("%dvms/%dtargets", z.vms, z.targets), func(b *testing.B) {
			bs, targets := z.balancers(usualReports)
			now := noon
			for b.Loop() {
				now = now.Add(time.Millisecond)
				for _, x := range bs {
					x.Apply(now, x.Evidence(now).Judge())
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(targets), "ns/target")
			b.ReportMetric(float64(targets), "targets")
		})
	}
}

// BenchmarkBoundedRound measures a round in which every service has news and
// no more targets are judged than the rota allows.
func BenchmarkBoundedRound(b *testing.B) {
	const most = 320
	for _, z := range fleetSizes {
		b.Run(fmt.Sprintf("%dvms/%dtargets", z.vms, z.targets), func(b *testing.B) {
			bs, targets := z.balancers(usualReports)
			due := make([]throute.Turn, len(bs))
			byName := make(map[string]int, len(bs))
			for i, x := range bs {
				due[i] = throute.Turn{Name: fmt.Sprintf("s%03d", i), Targets: x.Targets()}
				byName[due[i].Name] = i
			}
			var r throute.Rota
			now, judged := noon, 0
			for b.Loop() {
				now = now.Add(time.Millisecond)
				var names []string
				names, r = r.Next(due, most)
				for _, name := range names {
					x := bs[byName[name]]
					x.Apply(now, x.Evidence(now).Judge())
					judged += x.Targets()
				}
			}
			perRound := float64(judged) / float64(b.N)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "us/round")
			b.ReportMetric(float64(targets)/perRound, "rounds/turn")
		})
	}
}

// BenchmarkCalmRound measures a round in which no target gave news.
func BenchmarkCalmRound(b *testing.B) {
	for _, z := range fleetSizes {
		b.Run(fmt.Sprintf("%dvms/%dtargets", z.vms, z.targets), func(b *testing.B) {
			bs, targets := z.balancers(usualReports)
			for _, x := range bs {
				x.Apply(noon, x.Evidence(noon).Judge())
			}
			for b.Loop() {
				for _, x := range bs {
					if x.Due(noon) {
						b.Fatal("due without news")
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(targets), "ns/target")
		})
	}
}

// BenchmarkExchange measures making one message and taking one in.
func BenchmarkExchange(b *testing.B) {
	for _, z := range fleetSizes {
		b.Run(fmt.Sprintf("%dvms/%dtargets", z.vms, z.targets), func(b *testing.B) {
			bs, _ := z.balancers(usualReports)
			now := noon
			bytes := 0
			for b.Loop() {
				now = now.Add(time.Millisecond)
				bytes += len(exchangeOnce(now, bs))
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/message")
		})
	}
}

func exchangeOnce(now thclock.Instant, bs []*throute.Balancer[int]) []byte {
	var entries []thhealth.Entry
	for _, x := range bs {
		entries = x.Offers(now, entries)
	}
	entries[0].Suspect = true
	data := thhealth.EncodeCells(thhealth.Collect(now, 999, entries, cellsPerMessage))
	cells, _ := thhealth.DecodeCells(data)
	for _, c := range cells {
		for _, x := range bs {
			if x.Receive(now, c) {
				break
			}
		}
	}
	return data
}

// BenchmarkMemory measures what one VM keeps for each target that it uses.
func BenchmarkMemory(b *testing.B) {
	for _, z := range fleetSizes {
		b.Run(fmt.Sprintf("%dvms/%dtargets", z.vms, z.targets), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				bs, targets := z.balancers(usualReports)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(bs)
				kept := float64(after.HeapAlloc) - float64(before.HeapAlloc)
				b.ReportMetric(kept/float64(targets), "B/target")
				b.ReportMetric(kept/1e6, "MB")
			}
		})
	}
}
