package thburn_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
)

const firstMinute = 30_000_000

func at(minute int64) thclock.Instant { return thclock.At(time.Duration(minute) * time.Minute) }

var objective = thconfig.Objective{Availability: 0.99, LatencyMillis: 100}

func objectives(string) thconfig.Objective { return objective }

// event is one VM's counts of one name in one minute, as the naive version
// keeps them all.
type event struct {
	minute int64
	name   thburn.Name
	counts thburn.Counts
}

// naive adds up all events of a window.
func naive(events []event, n thburn.Name, w thburn.Window, now int64) thburn.Counts {
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
			sum = sum.Plus(e.counts)
		}
	}
	return sum
}

func drawEvent(t *rapid.T, minute int64) event {
	return event{
		minute: minute,
		name: thburn.Name{
			Customer: fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "customer")),
			Service:  fmt.Sprintf("s%d", rapid.IntRange(0, 1).Draw(t, "service")),
		},
		counts: thburn.Counts{
			Good:      uint32(rapid.IntRange(0, 50).Draw(t, "good")),
			Slow:      uint32(rapid.IntRange(0, 5).Draw(t, "slow")),
			Failed:    uint32(rapid.IntRange(0, 5).Draw(t, "failed")),
			Refused:   uint32(rapid.IntRange(0, 5).Draw(t, "refused")),
			OverLimit: uint32(rapid.IntRange(0, 20).Draw(t, "overLimit")),
		},
	}
}

func noRates(string) (float64, bool) { return 0, false }

// rig is a home with its store, and the VMs that send to it.
type rig struct {
	ledger *thburn.Ledger
	home   int
	object []byte
	boxes  []thburn.Outbox
	events []event
}

func (r *rig) homeName() string { return fmt.Sprintf("home/%d", r.home) }

// send gives a VM's counts to the home; its answer may be lost.
func (r *rig) send(vm int, now int64, answerLost bool) {
	b := thburn.Batch{Source: fmt.Sprintf("vm%d", vm), Deltas: r.boxes[vm].Pending(r.homeName())}
	a := r.ledger.Merge(at(now), b)
	if !answerLost {
		r.boxes[vm].Acknowledge(r.homeName(), a)
	}
}

func (r *rig) store(t *rapid.T) {
	s, err := r.ledger.Snapshot()
	assert.NilError(t, err)
	r.object = s.Data
	r.ledger.Stored(s)
}

// replace loses the home; the next one has what was stored.
func (r *rig) replace(t *rapid.T, now int64) {
	r.home++
	r.ledger = &thburn.Ledger{}
	if r.object != nil {
		assert.NilError(t, r.ledger.Absorb(at(now), r.object, true))
	}
}

// handOver gives the windows to the next home without the store.
func (r *rig) handOver(t *rapid.T, now int64) {
	s, err := r.ledger.Snapshot()
	assert.NilError(t, err)
	r.home++
	r.ledger = &thburn.Ledger{}
	assert.NilError(t, r.ledger.Absorb(at(now), s.Data, false))
}

func TestCountsSurviveLostAnswersAndReplacedHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &rig{ledger: &thburn.Ledger{}, boxes: make([]thburn.Outbox, 3)}
		now := int64(firstMinute) + rapid.Int64Range(0, 400).Draw(t, "offset")
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			vm := rapid.IntRange(0, 2).Draw(t, "vm")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				e := drawEvent(t, now)
				r.events = append(r.events, e)
				r.boxes[vm].Add(now, []thburn.Entry{{Name: e.name, Counts: e.counts}})
			case 2:
				r.send(vm, now, false)
			case 3:
				r.send(vm, now, true)
			case 4:
				r.store(t)
			case 5:
				r.replace(t, now)
			case 7:
				r.handOver(t, now)
			case 6:
				now++
				r.ledger.Close(at(now), noRates)
			}
		}
		for vm := range r.boxes {
			r.send(vm, now, false)
			assert.Equal(t, r.boxes[vm].Dropped, 0)
		}
		r.compare(t, now)
	})
}

// TestWindowsOverDays has no faults but runs through every ring.
func TestWindowsOverDays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &rig{ledger: &thburn.Ledger{}, boxes: make([]thburn.Outbox, 1)}
		now := int64(firstMinute)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			e := drawEvent(t, now)
			r.events = append(r.events, e)
			r.boxes[0].Add(now, []thburn.Entry{{Name: e.name, Counts: e.counts}})
			r.send(0, now, false)
			for range rapid.IntRange(0, 60).Draw(t, "minutes") {
				now++
				r.ledger.Close(at(now), noRates)
			}
		}
		r.compare(t, now)
	})
}

func (r *rig) compare(t *rapid.T, now int64) {
	report := r.ledger.Report(at(now), thburn.Query{}, objectives)
	assert.Equal(t, len(report.Missing), 0)
	found := map[thburn.Name]thburn.Row{}
	for _, row := range report.Rows {
		found[row.Name] = row
	}
	names := map[thburn.Name]bool{}
	for _, e := range r.events {
		names[e.name] = true
	}
	for n := range names {
		for i, w := range thburn.Windows() {
			want := naive(r.events, n, w, now)
			var got thburn.Counts
			if row, ok := found[n]; ok {
				got = row.Windows[i].Counts
			}
			assert.Equal(t, got, want, "%v over %s", n, w.Name)
		}
	}
}

func TestRefusalsWithinRateAreFoundOverAllVMs(t *testing.T) {
	rates := func(customer string) (float64, bool) { return 1, customer != "" }
	entry := func(service string, good, over uint32) []thburn.Entry {
		return []thburn.Entry{{
			Name:   thburn.Name{Customer: "depot", Service: service},
			Counts: thburn.Counts{Good: good, OverLimit: over},
		}}
	}
	var l thburn.Ledger
	// 25 + 5 on one VM and 28 + 2 on another are 60 a minute: the rate.
	l.Merge(at(firstMinute), thburn.Batch{Source: "vm1", Deltas: []thburn.Delta{{Sequence: 1, Minute: firstMinute, Entries: entry("stock", 25, 5)}}})
	l.Merge(at(firstMinute), thburn.Batch{Source: "vm2", Deltas: []thburn.Delta{{Sequence: 1, Minute: firstMinute, Entries: entry("orders", 28, 2)}}})
	// One more is over the rate.
	l.Merge(at(firstMinute+1), thburn.Batch{Source: "vm1", Deltas: []thburn.Delta{{Sequence: 2, Minute: firstMinute + 1, Entries: entry("stock", 50, 11)}}})
	l.Close(at(firstMinute+10), rates)
	r := l.Report(at(firstMinute+10), thburn.Query{}, objectives)
	assert.Equal(t, r.WithinRate, uint64(7))
	for _, row := range r.Rows {
		c := row.Windows[len(row.Windows)-1].Counts
		if row.Service == "stock" {
			assert.Equal(t, c, thburn.Counts{Good: 75, OverLimit: 16, WithinRate: 5})
		} else {
			assert.Equal(t, c, thburn.Counts{Good: 28, OverLimit: 2, WithinRate: 2})
		}
	}
}

func TestDamagedSnapshotsAreRefused(t *testing.T) {
	var l thburn.Ledger
	assert.ErrorContains(t, l.Absorb(at(firstMinute), []byte("no snapshot"), true), "burn snapshot")
	l.Merge(at(firstMinute), thburn.Batch{Source: "vm1", Deltas: []thburn.Delta{{
		Sequence: 1, Minute: -5, Entries: []thburn.Entry{{Kinds: []thburn.KindCount{{Kind: "shed", Count: 1}}}},
	}}})
	assert.Equal(t, l.Report(at(firstMinute), thburn.Query{}, objectives).Rows[0].Windows[0].Counts, thburn.Counts{})
}

func TestOutboxIsBounded(t *testing.T) {
	var o thburn.Outbox
	for m := range int64(3000) {
		o.Add(m, make([]thburn.Entry, 10))
	}
	assert.Assert(t, o.Held() <= 1000)
	assert.Equal(t, o.Dropped, 30_000-o.Held())
	oldest, ok := o.Oldest()
	assert.Assert(t, ok)
	o.DropBefore(oldest + 1)
	next, ok := o.Oldest()
	assert.Assert(t, ok && next == oldest+1)
	o.DropBefore(3000)
	assert.Equal(t, o.Held(), 0)
}
