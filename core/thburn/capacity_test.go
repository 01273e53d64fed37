package thburn_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"tamarackhollow/core/thburn"
)

// minuteOf returns what one VM counted in a minute of so many names.
func minuteOf(names int, sequence uint64) thburn.Batch {
	r := rand.New(rand.NewPCG(sequence, 1))
	d := thburn.Delta{Sequence: sequence, Minute: firstMinute + int64(sequence)}
	for i := range names {
		d.Entries = append(d.Entries, thburn.Entry{
			Name:   thburn.Name{Customer: fmt.Sprintf("customer-%05d", i/3), Service: fmt.Sprintf("service-%d", i%3)},
			Counts: thburn.Counts{Good: r.Uint32N(30), Slow: r.Uint32N(2)},
		})
	}
	return thburn.Batch{Source: "vm", Deltas: []thburn.Delta{d}}
}

// full returns a ledger of so many names in which every slot is filled.
func full(names int) *thburn.Ledger {
	l := &thburn.Ledger{}
	const days = 3 * 24 * 60
	for m := uint64(1); m <= days; m += 30 {
		l.Merge(at(firstMinute+int64(m)), minuteOf(names, m))
		l.Close(at(firstMinute+int64(m)+5), noRates)
	}
	for m := uint64(days); m <= days+64; m++ {
		l.Merge(at(firstMinute+int64(m)), minuteOf(names, m))
		l.Close(at(firstMinute+int64(m)), noRates)
	}
	return l
}

var sizes = []int{100, 1000}

// BenchmarkLedgerMemory gives the bytes that a home keeps for a name.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("names=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				l := full(n)
				b.ReportMetric(float64(heap()-before)/float64(n), "B/name")
				runtime.KeepAlive(l)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMerge counts one VM's minute at a home.
func BenchmarkMerge(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("names=%d", n), func(b *testing.B) {
			l := full(n)
			sequence := uint64(10_000)
			batch := minuteOf(n, sequence)
			data, err := json.Marshal(batch)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				sequence++
				batch.Deltas[0].Sequence = sequence
				l.Merge(at(firstMinute+5000), batch)
			}
			b.ReportMetric(float64(len(data))/float64(n), "wireB/name")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/name")
		})
	}
}

// BenchmarkDecode reads one VM's minute off the wire, which costs more than counting it.
func BenchmarkDecode(b *testing.B) {
	data, err := json.Marshal(minuteOf(1000, 1))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var batch thburn.Batch
		if err := json.Unmarshal(data, &batch); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/name")
}

// BenchmarkSnapshot makes the object of a part, which is stored each five minutes.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("names=%d", n), func(b *testing.B) {
			l := full(n)
			size := 0
			for b.Loop() {
				s, err := l.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(s.Data)
			}
			b.ReportMetric(float64(size)/float64(n), "objectB/name")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/name")
		})
	}
}

// BenchmarkReport makes the report of a home's names.
func BenchmarkReport(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("names=%d", n), func(b *testing.B) {
			l := full(n)
			for b.Loop() {
				l.Report(at(firstMinute+4400), thburn.Query{}, objectives)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/name")
		})
	}
}
