package thfleet_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"

	"gotest.tools/v3/assert"
)

// TestOnlyNewRequestsCountAsStarted guards against targets that count as in use because a
// request that they got long ago ends or goes on, and against requests that are not counted
// because another one ended meanwhile.
func TestOnlyNewRequestsCountAsStarted(t *testing.T) {
	ended := []thfleet.AttemptResult{{Target: 1, Outcome: thhealth.Answered}}
	overdue := []thfleet.AttemptResult{{Target: 1, Outcome: thhealth.Overdue}}
	now := at(time.Hour)
	f := thfleet.New(thfleet.Identity{ID: "self", Zone: "a"})
	for _, step := range []struct {
		name     string
		after    time.Duration
		sequence uint32
		inFlight uint16
		results  []thfleet.AttemptResult
		started  bool
	}{
		{"a request begins", 0, 1, 1, nil, true},
		{"another one begins", time.Second, 2, 2, nil, true},
		{"one is overdue", time.Second, 3, 2, overdue, false},
		{"one ends", time.Second, 4, 1, ended, false},
		{"one ends and another begins", time.Second, 5, 1, ended, true},
		{"the last one ends long after", 20 * time.Second, 6, 0, ended, false},
		{"one begins and ends between two notices", time.Second, 7, 0, ended, true},
		{"a notice arrives late", time.Second, 6, 3, nil, false},
	} {
		t.Run(step.name, func(t *testing.T) {
			now = now.Add(step.after)
			update := f.Receive(now, thfleet.Notice{
				From: 7, StartMillis: 1, Sequence: step.sequence, Results: step.results,
				Loads: []thfleet.Load{{Target: 1, InFlight: step.inFlight}},
			})
			assert.Equal(t, len(update.Started) > 0, step.started)
		})
	}
}
