package thburn

import (
	"slices"

	"tamarackhollow/core/therror"
)

// SeriesKey identifies the requests that are counted together: those of one
// customer to one service.
type SeriesKey struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
}

// KindCount is the number of requests that ended with an error of a kind.
type KindCount struct {
	Kind  string `json:"kind"`
	Count uint32 `json:"count"`
}

// series holds the counts of one SeriesKey in slots of three lengths. The counts of
// a window are summed up from the slots of one length.
type series struct {
	minuteRing   ring
	halfHourRing ring
	sixHourRing  ring
	// kinds holds the refusals of this hour and the one before, indexed by
	// the hour modulo two.
	kinds [2]hourlyKinds
}

type hourlyKinds struct {
	Hour   int64       `json:"hour"`
	Counts []KindCount `json:"counts,omitempty"`
}

const hourMinutes = 60

func newSeries() *series {
	slots := make([]slot, minuteSlots+2*coarseSlots)
	return &series{
		minuteRing:   ring{1, slots[:minuteSlots]},
		halfHourRing: ring{halfHourMinutes, slots[minuteSlots : minuteSlots+coarseSlots]},
		sixHourRing:  ring{sixHoursMinutes, slots[minuteSlots+coarseSlots:]},
	}
}

// add adds requests of the minute.
func (s *series) add(minute int64, c Counts) {
	s.minuteRing.add(minute, c)
	s.halfHourRing.add(minute, c)
	s.sixHourRing.add(minute, c)
}

func (s *series) addKind(minute int64, kind therror.Kind) {
	if minute < 0 {
		return
	}
	hour := minute / hourMinutes
	h := &s.kinds[hour%int64(len(s.kinds))]
	if h.Hour < hour {
		*h = hourlyKinds{Hour: hour}
	}
	if h.Hour == hour {
		h.Counts = addRefusal(h.Counts, kind)
	}
}

// window returns the counts of the window that ends with the minute.
func (s *series) window(w Window, minute int64) Counts {
	r := s.minuteRing
	switch w {
	case sixHours:
		r = s.halfHourRing
	case threeDays:
		r = s.sixHourRing
	}
	return r.sum(minute, int64(w.Span.Minutes())/r.slotMinutes)
}

// recentKinds returns the refusals, by kind, of the minute's hour and the one before.
func (s *series) recentKinds(minute int64) []KindCount {
	var all []KindCount
	for _, h := range s.kinds {
		if h.Hour >= minute/hourMinutes-1 {
			all = addKinds(all, h.Counts)
		}
	}
	return all
}

// isEmpty reports whether no window that ends with the minute holds a request.
func (s *series) isEmpty(minute int64) bool {
	return s.sixHourRing.sum(minute, coarseSlots) == Counts{} && s.minuteRing.sum(minute, minuteSlots) == Counts{}
}

// addKinds returns the sum of both counts by kind. The first must be ordered by
// kind, as the result is.
func addKinds(a, b []KindCount) []KindCount {
	sum := slices.Clone(a)
	for _, k := range b {
		i, ok := slices.BinarySearchFunc(sum, k.Kind, func(o KindCount, kind string) int { return compareKinds(o.Kind, kind) })
		if ok {
			sum[i].Count += k.Count
			continue
		}
		sum = slices.Insert(sum, i, k)
	}
	return sum
}
