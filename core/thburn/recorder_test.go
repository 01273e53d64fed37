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

// lookup gives every service the objective and every customer the rate.
func lookup(rate float64) thburn.Lookup {
	return thburn.Lookup{
		Objective: func(string) thburn.Objective { return objective },
		Rate:      func(string) float64 { return rate },
	}
}

// observation returns a request of the series that ends in the class.
func observation(key thburn.SeriesKey, c thburn.Class) thburn.Observation {
	o := thburn.Observation{Customer: key.Customer, Service: key.Service, Status: 200}
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

// event is one request, as the reference implementation keeps it.
type event struct {
	minute int64
	key    thburn.SeriesKey
	class  thburn.Class
}

// sumOf adds up the events of a window. It is the reference implementation.
func sumOf(events []event, key thburn.SeriesKey, w thburn.Window, now int64) thburn.Counts {
	slotMinutes := int64(1)
	switch w.Name {
	case "6h":
		slotMinutes = 30
	case "3d":
		slotMinutes = 360
	}
	slots := int64(w.Span.Minutes()) / slotMinutes
	var sum thburn.Counts
	for _, e := range events {
		if e.key == key && e.minute/slotMinutes > now/slotMinutes-slots && e.minute <= now {
			sum = sum.With(e.class)
		}
	}
	return sum
}

// TestWindowCountsEqualThoseOfAllRequests compares the merged reports of several
// VMs with a reference implementation that keeps every request. It guards against
// requests that are lost or counted in a wrong window when slots are reused after
// hours or days.
func TestWindowCountsEqualThoseOfAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := make([]thburn.Recorder, 3)
		var events []event
		now := int64(firstMinute)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			e := event{
				minute: now,
				key: thburn.SeriesKey{
					Customer: fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "customer")),
					Service:  fmt.Sprintf("s%d", rapid.IntRange(0, 1).Draw(t, "service")),
				},
				class: thburn.Class(rapid.IntRange(0, int(thburn.CallerError)).Draw(t, "class")),
			}
			events = append(events, e)
			vm := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			assert.Assert(t, vms[vm].Record(at(now), observation(e.key, e.class), objective))
			now += rapid.Int64Range(0, 90).Draw(t, "minutes")
		}
		var parts []thburn.Report
		for i := range vms {
			parts = append(parts, vms[i].Report(at(now), lookup(0)))
		}
		for _, row := range thburn.Merge(thburn.Query{}, parts).Rows {
			for i, w := range thburn.Windows() {
				assert.Equal(t, row.Windows[i].Counts, sumOf(events, row.SeriesKey, w, now), "%s %v", w.Name, row.SeriesKey)
			}
		}
	})
}

// TestWithinRateIsJudgedOverAllVMs has three VMs count the requests of a customer,
// which all together are below its rate, above it, or not limited. It guards
// against a refusal counting as within the rate although the customer exceeded it
// over all VMs, and the reverse.
func TestWithinRateIsJudgedOverAllVMs(t *testing.T) {
	key := thburn.SeriesKey{Customer: "c", Service: "s"}
	for _, c := range []struct {
		rate float64
		want uint64
	}{{0.5, 300}, {0.1, 0}, {0, 0}} {
		var parts []thburn.Report
		for range 3 {
			var recorder thburn.Recorder
			for m := range int64(60) {
				for range 5 {
					recorder.Record(at(firstMinute+m), observation(key, thburn.Good), objective)
				}
			}
			for range 100 {
				recorder.Record(at(firstMinute+59), observation(key, thburn.OverLimit), objective)
			}
			parts = append(parts, recorder.Report(at(firstMinute+59), lookup(c.rate)))
		}
		assert.Equal(t, thburn.Merge(thburn.Query{}, parts).WithinRate, c.want, "rate %v", c.rate)
	}
}

func TestRecorderIsBoundedAndEvictsOldSeries(t *testing.T) {
	var recorder thburn.Recorder
	counted := 0
	for i := range 5000 {
		if recorder.Record(at(firstMinute), observation(thburn.SeriesKey{Customer: fmt.Sprint(i)}, thburn.Good), objective) {
			counted++
		}
	}
	assert.Equal(t, recorder.Len(), counted)
	assert.Assert(t, counted < 5000)
	// Five days later, the old series have left all windows and are evicted.
	assert.Assert(t, recorder.Record(at(firstMinute+5*24*60), observation(thburn.SeriesKey{Customer: "new"}, thburn.Good), objective))
	assert.Equal(t, recorder.Len(), 1)
}
