package thburn_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
)

const firstMinute = 30_000_000

func at(minute int64) thclock.Instant { return thclock.At(time.Duration(minute) * time.Minute) }

var objective = thburn.Objective{Availability: 0.99, LatencyMillis: 100}

// rules give every customer the rate.
func rules(rate float64) thburn.Lookup {
	return thburn.Lookup{
		Objective: func(string) thburn.Objective { return objective },
		Rate:      func(string) float64 { return rate },
	}
}

// observations returns a request that ends in the class.
func observation(n thburn.SeriesKey, c thburn.Class) thburn.Observation {
	o := thburn.Observation{Customer: n.Customer, Service: n.Service, Status: 200}
	switch c {
	case thburn.Slow:
		o.Latency = time.Second
	case thburn.Failed:
		o.Status = 500
	case thburn.Refused:
		o.Refused, o.Kind = true, therror.QueueFull
	case thburn.OverLimit:
		o.Refused, o.Kind = true, therror.OverLimit
	case thburn.CallerError:
		o.Refused, o.Kind = true, therror.KeyUnknown
	default:
	}
	return o
}

// event is one request, as the naive version keeps them all.
type event struct {
	minute int64
	name   thburn.SeriesKey
	class  thburn.Class
}

// naive adds up all events of a window.
func naive(events []event, n thburn.SeriesKey, w thburn.Window, now int64) thburn.Counts {
	length := int64(1)
	switch w.Name {
	case "6h":
		length = 30
	case "3d":
		length = 360
	}
	stretches := int64(w.Span.Minutes()) / length
	var sum thburn.Counts
	for _, e := range events {
		if e.name == n && e.minute/length > now/length-stretches && e.minute <= now {
			sum = sum.With(e.class)
		}
	}
	return sum
}

// TestWindowsOverDays is the differential test against a version that keeps
// every request, over several VMs whose reports are merged.
func TestWindowsOverDays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := make([]thburn.Recorder, 3)
		var events []event
		now := int64(firstMinute)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			e := event{
				minute: now,
				name: thburn.SeriesKey{
					Customer: fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "customer")),
					Service:  fmt.Sprintf("s%d", rapid.IntRange(0, 1).Draw(t, "service")),
				},
				class: thburn.Class(rapid.IntRange(0, int(thburn.CallerError)).Draw(t, "class")),
			}
			events = append(events, e)
			vm := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			assert.Assert(t, vms[vm].Record(at(now), observation(e.name, e.class), objective))
			now += rapid.Int64Range(0, 90).Draw(t, "minutes")
		}
		var parts []thburn.Report
		for i := range vms {
			parts = append(parts, vms[i].Report(at(now), rules(0)))
		}
		for _, row := range thburn.Merge(thburn.Query{}, parts).Rows {
			for i, w := range thburn.Windows() {
				assert.Equal(t, row.Windows[i].Counts, naive(events, row.SeriesKey, w, now), "%s %v", w.Name, row.SeriesKey)
			}
		}
	})
}

// TestRefusalsWithinRateAreFoundOverAllVMs has each VM alone see less than the
// customer's rate, while all together see more, or not.
func TestRefusalsWithinRateAreFoundOverAllVMs(t *testing.T) {
	n := thburn.SeriesKey{Customer: "c", Service: "s"}
	for _, c := range []struct {
		rate float64
		want uint64
	}{{0.5, 300}, {0.1, 0}, {0, 0}} {
		var parts []thburn.Report
		for range 3 {
			var l thburn.Recorder
			for m := range int64(60) {
				for range 5 {
					l.Record(at(firstMinute+m), observation(n, thburn.Good), objective)
				}
			}
			for range 100 {
				l.Record(at(firstMinute+59), observation(n, thburn.OverLimit), objective)
			}
			parts = append(parts, l.Report(at(firstMinute+59), rules(c.rate)))
		}
		assert.Equal(t, thburn.Merge(thburn.Query{}, parts).WithinRate, c.want, "rate %v", c.rate)
	}
}

func TestTheLedgerIsBounded(t *testing.T) {
	var l thburn.Recorder
	counted := 0
	for i := range 5000 {
		if l.Record(at(firstMinute), observation(thburn.SeriesKey{Customer: fmt.Sprint(i)}, thburn.Good), objective) {
			counted++
		}
	}
	assert.Equal(t, l.Len(), counted)
	assert.Assert(t, counted < 5000)
	// Days later, what has left all windows makes room.
	assert.Assert(t, l.Record(at(firstMinute+5*24*60), observation(thburn.SeriesKey{Customer: "new"}, thburn.Good), objective))
	assert.Equal(t, l.Len(), 1)
}
