package thforward_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thsend"

	"gotest.tools/v3/assert"
)

// TestTargetThatReportsLoadIsAvoided guards against reports that do not reach the picks.
func TestTargetThatReportsLoadIsAvoided(t *testing.T) {
	f, s := newForwarder(func(_ context.Context, number int) thsend.Result {
		r := answered
		r.Took = 300 * time.Millisecond
		if number == 1 {
			r.Load = thpick.LoadReport{Running: 2, Waiting: 24, Slots: 2}
		}
		return r
	})
	for range 20 {
		_, refusal := f.Forward(context.Background(), newRequest(thtable.AtMostOnce, time.Second))
		assert.Assert(t, refusal == nil)
	}
	full := s.attempts()[0]
	assert.Assert(t, !slices.Contains(s.attempts()[1:], full), "%s is used again: %v", full, s.attempts())
	f.WithView(func(now thclock.Instant, v *thview.View) {
		for _, status := range v.TargetStatuses(now) {
			assert.Equal(t, status.InFlight, 0)
			assert.Equal(t, status.Expected > 2, status.ID == full, "%+v", status)
		}
	})
}
