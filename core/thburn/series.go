package thburn

import (
	"slices"

	"tamarackhollow/core/therror"
)

// Name says whose and which service's requests are counted together.
type Name struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
}

// KindCount is how many requests were refused with a kind.
type KindCount struct {
	Kind  string `json:"kind"`
	Count uint32 `json:"count"`
}

// series holds one name's windows. Minutes go into the longer rings once they
// are closed, when it is known whether the customer was within its rate.
type series struct {
	minutes   ring
	halfHours ring
	sixHours  ring
	// kinds are the refusals of this hour and the one before.
	kinds [2]kindHour
}

type kindHour struct {
	Hour   int64       `json:"hour"`
	Counts []KindCount `json:"counts,omitempty"`
}

const hourMinutes = 60

func newSeries() *series {
	slots := make([]slot, minuteSlots+2*coarseSlots)
	return &series{
		minutes:   ring{1, slots[:minuteSlots]},
		halfHours: ring{halfHourMin, slots[minuteSlots : minuteSlots+coarseSlots]},
		sixHours:  ring{sixHoursMin, slots[minuteSlots+coarseSlots:]},
	}
}

// add counts a minute's requests. A minute that is closed already goes into
// the longer rings too.
func (s *series) add(minute, closed int64, c Counts) {
	s.minutes.add(minute, c)
	if minute <= closed {
		s.addClosed(minute, c)
	}
}

func (s *series) addClosed(minute int64, c Counts) {
	s.halfHours.add(minute, c)
	s.sixHours.add(minute, c)
}

func (s *series) addKinds(minute int64, kinds []KindCount) {
	if len(kinds) == 0 || minute < 0 {
		return
	}
	hour := minute / hourMinutes
	h := &s.kinds[hour%int64(len(s.kinds))]
	if h.Hour < hour {
		*h = kindHour{Hour: hour}
	}
	if h.Hour == hour {
		h.Counts = plusKinds(h.Counts, kinds)
	}
}

// window sums a window up to now. Minutes that are not closed are in the
// minutes' ring only.
func (s *series) window(w Window, now, closed int64) Counts {
	switch w {
	case sixHours, threeDays:
		c := s.coarse(w, now)
		for m := max(closed, now-minuteSlots) + 1; m <= now; m++ {
			if o := s.minutes.at(m); o != nil {
				c = c.Plus(o.counts)
			}
		}
		return c
	}
	return s.minutes.sum(now, int64(w.Span.Minutes()))
}

func (s *series) coarse(w Window, now int64) Counts {
	r := s.sixHours
	if w == sixHours {
		r = s.halfHours
	}
	return r.sum(now, int64(w.Span.Minutes())/r.minutes)
}

// recentKinds returns the refusals of the last one to two hours.
func (s *series) recentKinds(now int64) []KindCount {
	var all []KindCount
	for _, h := range s.kinds {
		if h.Hour >= now/hourMinutes-1 {
			all = plusKinds(all, h.Counts)
		}
	}
	return all
}

// empty reports whether nothing is left in any window.
func (s *series) empty(now int64) bool {
	return s.sixHours.sum(now, coarseSlots) == Counts{} && s.minutes.sum(now, minuteSlots) == Counts{}
}

// plusKinds adds up counts by kind; the result is ordered by kind.
func plusKinds(a, b []KindCount) []KindCount {
	sum := slices.Clone(a)
	for _, k := range b {
		i, ok := slices.BinarySearchFunc(sum, k.Kind, func(o KindCount, kind string) int { return compareNames(o.Kind, kind) })
		if ok {
			sum[i].Count += k.Count
			continue
		}
		sum = slices.Insert(sum, i, k)
	}
	return sum
}

// KindsOf returns the counts of the kinds that are not zero.
func KindsOf(counts []uint32) []KindCount {
	var all []KindCount
	for _, k := range therror.Kinds() {
		if int(k) < len(counts) && counts[k] > 0 {
			all = append(all, KindCount{k.String(), counts[k]})
		}
	}
	slices.SortFunc(all, func(a, b KindCount) int { return compareNames(a.Kind, b.Kind) })
	return all
}
