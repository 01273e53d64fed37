package thburn

import "time"

// Window is a span up to now over which burn is computed.
type Window struct {
	Name string        `json:"name"`
	Span time.Duration `json:"-"`
}

// The windows. The two windows of an alert differ much in length, so that only a
// lasting cause raises it and it ends soon after the cause does.
var (
	fiveMinutes = Window{"5m", 5 * time.Minute}
	halfHour    = Window{"30m", 30 * time.Minute}
	oneHour     = Window{"1h", time.Hour}
	sixHours    = Window{"6h", 6 * time.Hour}
	threeDays   = Window{"3d", 72 * time.Hour}
)

// Windows returns all windows, shortest first.
func Windows() []Window {
	return []Window{fiveMinutes, halfHour, oneHour, sixHours, threeDays}
}

const (
	minuteSlots     = 61  // one hour and the current minute
	coarseSlots     = 13  // twelve and the current one
	halfHourMinutes = 30  // minutes per slot of series.halfHours
	sixHoursMinutes = 360 // minutes per slot of series.sixHours
)

// slot holds the counts of one period of the ring's slotMinutes.
type slot struct {
	// index is the number of whole periods from the Unix epoch to this one.
	index  int64
	counts Counts
}

// ring holds the latest slots of one length. A slot's index modulo the number of
// slots is its place.
type ring struct {
	slotMinutes int64
	slots       []slot
}

func (r ring) indexOf(minute int64) int64 { return minute / r.slotMinutes }

// add adds the counts to the slot of the minute. Counts older than the ring's
// slots, or from before the epoch, are dropped.
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

// sum returns the counts of the n slots that end with the minute's.
func (r ring) sum(minute, n int64) Counts {
	last := r.indexOf(minute)
	var total Counts
	for i := range r.slots {
		if index := r.slots[i].index; index > last-n && index <= last {
			total = total.Plus(r.slots[i].counts)
		}
	}
	return total
}
