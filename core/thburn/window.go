package thburn

import "time"

// Window is a span that burn is looked at over, up to now.
type Window struct {
	Name string        `json:"name"`
	Span time.Duration `json:"-"`
}

// The windows. The two of an alert are far apart, so that it needs a lasting
// cause and ends soon after the cause.
var (
	fiveMinutes = Window{"5m", 5 * time.Minute}
	halfHour    = Window{"30m", 30 * time.Minute}
	oneHour     = Window{"1h", time.Hour}
	sixHours    = Window{"6h", 6 * time.Hour}
	threeDays   = Window{"3d", 72 * time.Hour}
)

// Windows returns the windows, shortest first.
func Windows() []Window {
	return []Window{fiveMinutes, halfHour, oneHour, sixHours, threeDays}
}

const (
	minuteSlots     = 61 // one hour and the minute that is filling
	coarseSlots     = 13 // twelve and the one that is filling
	halfHourMinutes = 30 // minutes in a slot of the middle ring
	sixHoursMinutes = 360
)

// slot holds the counts of one stretch of time.
type slot struct {
	// index is the stretch's number since the Unix epoch.
	index  int64
	counts Counts
}

// ring holds the latest stretches of one length.
type ring struct {
	slotMinutes int64
	slots       []slot
}

func (r ring) indexOf(minute int64) int64 { return minute / r.slotMinutes }

// add counts into the stretch of a minute. What is older than the ring, or
// before the epoch, is left out.
func (r ring) add(minute int64, c Counts) {
	if minute < 0 {
		return
	}
	n := r.indexOf(minute)
	s := &r.slots[n%int64(len(r.slots))]
	switch {
	case s.index == n:
		s.counts = s.counts.Plus(c)
	case s.index < n:
		*s = slot{index: n, counts: c}
	}
}

// sum adds up the stretches of the last n lengths up to the minute.
func (r ring) sum(minute, n int64) Counts {
	last := r.indexOf(minute)
	var c Counts
	for i := range r.slots {
		if at := r.slots[i].index; at > last-n && at <= last {
			c = c.Plus(r.slots[i].counts)
		}
	}
	return c
}
