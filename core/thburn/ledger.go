package thburn

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tamarackhollow/core/thclock"
)

// Entry is what one VM counted of one name in one minute.
type Entry struct {
	Name
	Counts
	Kinds []KindCount `json:"kinds,omitempty"`
}

// Delta is what one VM counted in one minute of the customers of one part.
type Delta struct {
	// Sequence counts the source's deltas for the part, from 1.
	Sequence uint64 `json:"sequence"`
	// Minute counts from the Unix epoch by the source's wall clock.
	Minute  int64   `json:"minute"`
	Entries []Entry `json:"entries"`
}

// Batch is a source's deltas in order of their sequence.
type Batch struct {
	// Source names a VM and its incarnation.
	Source string  `json:"source"`
	Part   int     `json:"part"`
	Deltas []Delta `json:"deltas"`
}

// Acknowledgement is how far a source's deltas have come.
type Acknowledgement struct {
	// Merged is the last sequence that the home has counted.
	Merged uint64 `json:"merged"`
	// Stored is the last one that outlasts the home.
	Stored uint64 `json:"stored"`
}

// closeAfter is how many minutes a minute stays open for the counts of VMs
// that send late.
const closeAfter = 3

// sourceLife is how many minutes a silent source is remembered.
const sourceLife = 120

type source struct {
	Merged uint64 `json:"merged"`
	Stored uint64 `json:"-"`
	// Heard is the minute in which it last sent.
	Heard int64 `json:"heard"`
}

// Ledger keeps the windows of the customers of one part. The zero Ledger is
// empty. It is not safe for concurrent use.
type Ledger struct {
	series  map[Name]*series
	sources map[string]source
	closed  int64
}

// Rates returns a customer's rate in requests a second, and false for a
// customer that has none.
type Rates func(customer string) (float64, bool)

// MinuteOf returns the number of the minute that the instant lies in.
func MinuteOf(i thclock.Instant) int64 { return int64(i.Wall / time.Minute) }

// Merge counts a batch. What was counted before is not counted again.
func (l *Ledger) Merge(now thclock.Instant, b Batch) Acknowledgement {
	if l.sources == nil {
		l.sources = make(map[string]source)
	}
	s := l.sources[b.Source]
	s.Heard = MinuteOf(now)
	for _, d := range b.Deltas {
		if d.Sequence <= s.Merged {
			continue
		}
		s.Merged = d.Sequence
		// A source whose clock is ahead must not fill slots of the future.
		l.count(min(d.Minute, MinuteOf(now)), d.Entries)
	}
	l.sources[b.Source] = s
	return Acknowledgement{Merged: s.Merged, Stored: s.Stored}
}

func (l *Ledger) count(minute int64, entries []Entry) {
	if l.series == nil {
		l.series = make(map[Name]*series)
	}
	for _, e := range entries {
		s, ok := l.series[e.Name]
		if !ok {
			s = newSeries()
			l.series[e.Name] = s
		}
		s.add(minute, l.closed, e.Counts)
		s.addKinds(minute, e.Kinds)
	}
}

// Close judges the minutes that no more counts are awaited for: refusals over
// the limit in a minute in which the customer asked for no more than its rate
// were within rate. It forgets what has left every window.
func (l *Ledger) Close(now thclock.Instant, rates Rates) {
	last := MinuteOf(now) - closeAfter
	first := max(l.closed+1, last-minuteSlots+closeAfter+1)
	if first > last {
		return
	}
	customers := l.byCustomer()
	for m := first; m <= last; m++ {
		for customer, all := range customers {
			closeMinute(m, all, customer, rates)
		}
	}
	l.closed = last
	l.forget(MinuteOf(now))
}

func closeMinute(minute int64, all []*series, customer string, rates Rates) {
	var offered uint64
	for _, s := range all {
		if o := s.minutes.at(minute); o != nil {
			offered += o.counts.Offered()
		}
	}
	if offered == 0 {
		return
	}
	rate, limited := rates(customer)
	within := limited && float64(offered) <= rate*time.Minute.Seconds()
	for _, s := range all {
		o := s.minutes.at(minute)
		if o == nil {
			continue
		}
		if within {
			o.counts.WithinRate = o.counts.OverLimit
		}
		s.addClosed(minute, o.counts)
	}
}

func (l *Ledger) byCustomer() map[string][]*series {
	customers := make(map[string][]*series, len(l.series))
	for n, s := range l.series {
		customers[n.Customer] = append(customers[n.Customer], s)
	}
	return customers
}

func (l *Ledger) forget(now int64) {
	maps.DeleteFunc(l.series, func(_ Name, s *series) bool { return s.empty(now) })
	maps.DeleteFunc(l.sources, func(_ string, s source) bool { return s.Heard < now-sourceLife })
}

// Len returns how many names the ledger has windows of.
func (l *Ledger) Len() int { return len(l.series) }

func (l *Ledger) names() []Name {
	return slices.SortedFunc(maps.Keys(l.series), func(a, b Name) int {
		if c := strings.Compare(a.Customer, b.Customer); c != 0 {
			return c
		}
		return strings.Compare(a.Service, b.Service)
	})
}

func compareNames(a, b string) int { return strings.Compare(a, b) }
