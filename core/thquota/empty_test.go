package thquota_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thquota"

	"gotest.tools/v3/assert"
)

// Guards against VMs that all ask for one token, and against times that lie before the next
// token or far behind it.
func TestRetryScheduleGivesEachVMItsOwnTime(t *testing.T) {
	now, next, interval := thclock.At(time.Hour), thclock.At(time.Hour+50*time.Millisecond), 500*time.Millisecond
	var s thquota.RetrySchedule
	var at thclock.Instant
	for i := range 6 {
		at, s = s.Next(now, next, interval, 0)
		assert.Equal(t, at, next.Add(time.Duration(i)*interval))
	}
	at, s = s.Next(now, next, interval, 0.5)
	assert.Equal(t, at.Sub(now), 2250*time.Millisecond, "more VMs than tokens in 3 s")
	later := now.Add(time.Minute)
	at, _ = s.Next(later, later.Add(interval), interval, 0)
	assert.Equal(t, at, later.Add(interval), "times that have passed count no more")
	next = now.Add(time.Minute)
	at, s = thquota.RetrySchedule{}.Next(now, next, time.Minute, 0.5)
	assert.Equal(t, at, next)
	at, _ = s.Next(now, next, time.Minute, 0.5)
	assert.Equal(t, at, next.Add(750*time.Millisecond), "the next token takes longer than 3 s")
}

// Guards against memory that grows with the customers, against records of one owner that
// count for another, and against records that are kept beyond their time.
func TestEmptyPartsAreBoundedAndExpire(t *testing.T) {
	now := thclock.At(time.Hour)
	var e thquota.EmptyParts
	known := func(now thclock.Instant) (n int) {
		for i := range thfleet.Key(10_000) {
			if _, ok := e.Until(now, i, 0, 7); ok {
				n++
			}
		}
		return n
	}
	record := func(now thclock.Instant) {
		for i := range thfleet.Key(10_000) {
			e.Record(now, i, 0, 7, now.Add(time.Second))
		}
	}
	record(now)
	assert.Equal(t, known(now), 4096)
	_, ok := e.Until(now, 0, 0, 8)
	assert.Assert(t, !ok, "another owner of the part")
	now = now.Add(time.Second)
	assert.Equal(t, known(now), 0)
	record(now)
	assert.Equal(t, known(now), 4096)
}
