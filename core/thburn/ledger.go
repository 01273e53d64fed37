package thburn

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
)

// Recorder keeps the windows of what one VM's callers saw. The zero Recorder is
// empty. It is not safe for concurrent use.
type Recorder struct {
	series map[SeriesKey]*series
}

// maxSeries bounds the ledger: 24,000 customers in 83 services of which each VM
// sees a part.
const maxSeries = 4096

// MinuteOf returns the number of the minute that the instant lies in.
func MinuteOf(i thclock.Instant) int64 { return int64(i.Wall / time.Minute) }

// Record counts one request that ended now. It reports false if the ledger is
// full and the request's customer and service are not in it.
func (l *Recorder) Record(now thclock.Instant, o Observation, b Objective) bool {
	minute := MinuteOf(now)
	n := SeriesKey{Customer: o.Customer, Service: o.Service}
	s, ok := l.series[n]
	if !ok {
		if l.evictIfFull(minute); len(l.series) >= maxSeries {
			return false
		}
		s = newSeries()
		if l.series == nil {
			l.series = make(map[SeriesKey]*series)
		}
		l.series[n] = s
	}
	s.add(minute, Counts{}.With(Classify(o, b)))
	if o.Refused {
		s.addKind(minute, o.Kind)
	}
	return true
}

// evictIfFull forgets what has left every window, if the ledger is full.
func (l *Recorder) evictIfFull(now int64) {
	if len(l.series) < maxSeries {
		return
	}
	maps.DeleteFunc(l.series, func(_ SeriesKey, s *series) bool { return s.isEmpty(now) })
}

// Len returns how many names the ledger has windows of.
func (l *Recorder) Len() int { return len(l.series) }

func (l *Recorder) sortedKeys() []SeriesKey {
	return slices.SortedFunc(maps.Keys(l.series), compareKeys)
}

func compareKeys(a, b SeriesKey) int {
	if c := strings.Compare(a.Customer, b.Customer); c != 0 {
		return c
	}
	return strings.Compare(a.Service, b.Service)
}

func compareKinds(a, b string) int { return strings.Compare(a, b) }

// addKindOnce adds one refusal to counts that are ordered by kind.
func addKindOnce(counts []KindCount, k therror.Kind) []KindCount {
	return addKinds(counts, []KindCount{{Kind: k.String(), Count: 1}})
}
