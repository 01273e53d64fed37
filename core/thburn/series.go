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

// series holds the counts of one SeriesKey in slots of three lengths, of which the
// windows are summed up.
type series struct {
	minutes   ring
	halfHours ring
	sixHours  ring
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
		minutes:   ring{1, slots[:minuteSlots]},
		halfHours: ring{halfHourMinutes, slots[minuteSlots : minuteSlots+coarseSlots]},
		sixHours:  ring{sixHoursMinutes, slots[minuteSlots+coarseSlots:]},
	}
}

// add adds requests of the minute.
func (s *series) add(minute int64, c Counts) {
	s.minutes.add(minute, c)
	s.halfHours.add(minute, c)
	s.sixHours.add(minute, c)
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

// window returns the counts of the window that ends with the minute now.
func (s *series) window(w Window, now int64) Counts {
	r := s.minutes
	switch w {
	case sixHours:
		r = s.halfHours
	case threeDays:
		r = s.sixHours
	}
	return r.sum(now, int64(w.Span.Minutes())/r.slotMinutes)
}

// recentKinds returns the refusals, by kind, of this hour and the one before.
func (s *series) recentKinds(now int64) []KindCount {
	var all []KindCount
	for _, h := range s.kinds {
		if h.Hour >= now/hourMinutes-1 {
			all = addKinds(all, h.Counts)
		}
	}
	return all
}

// isEmpty reports whether no window holds a request.
func (s *series) isEmpty(now int64) bool {
	return s.sixHours.sum(now, coarseSlots) == Counts{} && s.minutes.sum(now, minuteSlots) == Counts{}
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
