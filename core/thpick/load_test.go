package thpick_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thpick"

	"gotest.tools/v3/assert"
)

// TestLoadJoinsCountAndReport states the rule for contradictions between the requests that the
// fleet counts at a target and what the target reports.
func TestLoadJoinsCountAndReport(t *testing.T) {
	const second = time.Second
	type report struct {
		after            time.Duration
		running, waiting int
		counted          int
	}
	for _, c := range []struct {
		name    string
		reports []report
		at      time.Duration
		counted int
		want    int
	}{
		{"no report", nil, 0, 5, 5},
		{"both agree", []report{{0, 4, 1, 5}}, 0, 5, 5},
		{"both agree, and more was counted since", []report{{0, 4, 1, 5}}, second, 9, 9},
		{"two on their way", []report{{0, 3, 0, 5}}, 0, 5, 5},
		{"two more, the answered one and one whose notice is on its way", []report{{0, 6, 1, 5}}, 0, 5, 5},
		{"foreign load", []report{{0, 8, 4, 5}}, 0, 5, 12},
		{"foreign load, and three were begun since", []report{{0, 8, 4, 5}}, 0, 8, 15},
		{"foreign load, and three have ended since", []report{{0, 8, 4, 5}}, 0, 2, 9},
		{"foreign load fades", []report{{0, 8, 4, 5}}, second, 5, 8},
		{"foreign load is forgotten", []report{{0, 8, 4, 5}}, 10 * second, 5, 5},
		{"foreign load is renewed", []report{{0, 8, 4, 5}, {second, 8, 4, 5}}, second, 5, 12},
		{"foreign load has ended", []report{{0, 8, 4, 5}, {second, 5, 0, 5}}, second, 5, 5},
		{"a lost VM's requests have ended", []report{{0, 2, 0, 8}}, 0, 8, 2},
		{"they are no longer counted", []report{{0, 2, 0, 8}}, 0, 2, 0},
		{"they are no longer counted, and others were begun", []report{{0, 2, 0, 8}}, 0, 5, 0},
		{"their absence fades, until the count expires", []report{{0, 2, 0, 8}}, 3 * second, 2, 2},
		{"an older report arrives late", []report{{second, 5, 0, 5}, {0, 8, 4, 5}}, second, 5, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := thclock.At(time.Hour)
			var l thpick.Load
			for _, r := range c.reports {
				l = l.WithReport(start.Add(r.after), thpick.LoadReport{Running: r.running, Waiting: r.waiting, Slots: 8}, r.counted)
			}
			assert.Equal(t, l.Requests(start.Add(c.at), c.counted), c.want)
			unchanged := l.WithReport(start.Add(time.Hour), thpick.LoadReport{}, 0)
			assert.Equal(t, unchanged, l)
		})
	}
}

// TestLoadIsSharedIfOthersWouldNotExpectIt guards against reports in every notice, and against VMs
// that never hear of foreign load or of its end.
func TestLoadIsSharedIfOthersWouldNotExpectIt(t *testing.T) {
	now := thclock.At(time.Hour)
	foreign := thpick.Load{}.WithReport(now, thpick.LoadReport{Running: 8, Waiting: 4, Slots: 8}, 4)
	for _, c := range []struct {
		name    string
		known   thpick.Load
		report  thpick.LoadReport
		counted int
		want    bool
	}{
		{"no report", thpick.Load{}, thpick.LoadReport{}, 9, false},
		{"as counted", thpick.Load{}, thpick.LoadReport{Running: 4, Slots: 8}, 4, false},
		{"two less, with few slots", thpick.Load{}, thpick.LoadReport{Slots: 2}, 2, false},
		{"three more, with few slots", thpick.Load{}, thpick.LoadReport{Running: 2, Waiting: 1, Slots: 2}, 0, true},
		{"three more, with many slots", thpick.Load{}, thpick.LoadReport{Running: 21, Slots: 32}, 18, false},
		{"a quarter of the slots more", thpick.Load{}, thpick.LoadReport{Running: 26, Slots: 32}, 18, true},
		{"a quarter of the slots less", thpick.Load{}, thpick.LoadReport{Running: 10, Slots: 32}, 18, true},
		{"foreign load as known", foreign, thpick.LoadReport{Running: 8, Waiting: 4, Slots: 8}, 4, false},
		{"foreign load has ended", foreign, thpick.LoadReport{Running: 4, Slots: 8}, 4, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.known.IsSurprisedBy(now, c.report, c.counted), c.want)
		})
	}
}
