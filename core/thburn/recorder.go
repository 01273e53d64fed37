package thburn

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
)

// Recorder counts how the requests of one VM's callers ended, by customer and
// service. The zero Recorder is empty. It is not safe for concurrent use.
type Recorder struct {
	series map[SeriesKey]*series
}

// maxSeries bounds the recorder's memory. The fleet has 24,000 customers and 83
// services, of which each VM sees only a part.
const maxSeries = 4096

// MinuteOf returns the number of whole minutes from the Unix epoch to the instant,
// by the wall clock.
func MinuteOf(i thclock.Instant) int64 { return int64(i.Wall / time.Minute) }

// Record counts one request that ended now. It returns false, and counts nothing,
// if the recorder is full and has no series of the request's customer and service.
func (r *Recorder) Record(now thclock.Instant, observation Observation, objective Objective) bool {
	minute := MinuteOf(now)
	key := SeriesKey{Customer: observation.Customer, Service: observation.Service}
	s, ok := r.series[key]
	if !ok {
		if r.evictIfFull(minute); len(r.series) >= maxSeries {
			return false
		}
		s = newSeries()
		if r.series == nil {
			r.series = make(map[SeriesKey]*series)
		}
		r.series[key] = s
	}
	s.add(minute, Counts{}.With(Classify(observation, objective)))
	if observation.Refused {
		s.addKind(minute, observation.Kind)
	}
	return true
}

// evictIfFull removes the series without requests in any window if the recorder
// is full.
func (r *Recorder) evictIfFull(now int64) {
	if len(r.series) < maxSeries {
		return
	}
	maps.DeleteFunc(r.series, func(_ SeriesKey, s *series) bool { return s.isEmpty(now) })
}

// Len returns the number of series, one per customer and service.
func (r *Recorder) Len() int { return len(r.series) }

func (r *Recorder) sortedKeys() []SeriesKey {
	return slices.SortedFunc(maps.Keys(r.series), compareKeys)
}

func compareKeys(a, b SeriesKey) int {
	if c := strings.Compare(a.Customer, b.Customer); c != 0 {
		return c
	}
	return strings.Compare(a.Service, b.Service)
}

func compareKinds(a, b string) int { return strings.Compare(a, b) }

// addRefusal returns the counts, which are ordered by kind, with one refusal of
// the kind added.
func addRefusal(counts []KindCount, kind therror.Kind) []KindCount {
	return addKinds(counts, []KindCount{{Kind: kind.String(), Count: 1}})
}
