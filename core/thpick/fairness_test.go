package thpick_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thpick"

	"gotest.tools/v3/assert"
)

// fairCustomer is a customer that has asked for so many requests, of which so many were answered.
type fairCustomer struct {
	name            string
	urgency         thpick.Urgency
	asked, answered int
}

// Guards against a customer that takes the capacity of others, against capacity that nobody may use,
// against a customer that is starved, and against shares of a service that has room for all.
func TestFairSharesAreMaxMin(t *testing.T) {
	for _, c := range []struct {
		name      string
		customers []fairCustomer
		want      map[string]float64
	}{
		{"one asks for six times as much", []fairCustomer{{"a", low, 5, 2}, {"b", low, 5, 2}, {"c", low, 30, 16}}, map[string]float64{"a": 1, "b": 1, "c": 1.0 / 3}},
		{"what one leaves goes to the others", []fairCustomer{{"a", low, 2, 1}, {"b", low, 20, 14}, {"c", low, 20, 15}}, map[string]float64{"a": 1, "b": 0.7, "c": 0.7}},
		{"a quarter of the mean share", []fairCustomer{
			{"a", low, 9, 9}, {"b", low, 9, 9}, {"c", low, 9, 9}, {"d", low, 9, 9}, {"e", low, 9, 9}, {"f", low, 9, 9}, {"g", low, 9, 9}, {"h", low, 9, 9}, {"i", low, 9, 9}, {"j", low, 180, 9},
		}, map[string]float64{"a": (90 - 180*0.25*90/261) / 81, "j": 0.25 * 90 / 261}},
		{"room for all", []fairCustomer{{"a", low, 5, 5}, {"b", low, 60, 60}}, map[string]float64{"a": 1, "b": 1}},
		{"urgency goes first", []fairCustomer{{"a", urgent, 5, 5}, {"b", urgent, 25, 15}, {"d", urgent, 5, 5}, {"c", low, 5, 5}, {"d", low, 30, 10}}, map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1.0 / 3}},
		{"unknown customer", nil, map[string]float64{"a": 1}},
		{"open route", []fairCustomer{{"", low, 50, 5}, {"a", low, 9, 8}}, map[string]float64{"": 1, "a": 8.0 / 9}},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := thclock.At(time.Hour)
			now := start.Add(time.Minute)
			f := thpick.Fairness{}.WithRequest(start, "before", low, time.Second)
			urgencies := map[string]thpick.Urgency{}
			for _, c := range c.customers {
				urgencies[c.name] = c.urgency
				for range c.asked {
					f = f.WithRequest(now, c.name, c.urgency, time.Second)
				}
				for range c.answered {
					f = f.WithAnswer(now, c.name, c.urgency, time.Second)
				}
			}
			for name, want := range c.want {
				got := f.Share(now, name, urgencies[name])
				assert.Assert(t, math.Abs(got-want) < 0.001, "%s: %.3f, want %.3f", name, got, want)
			}
		})
	}
}

// Guards against requests that are refused within the share, and against ones that are never refused
// since what was sent long ago is forgotten later than what was asked.
func TestRequestsBeyondShareAreThoseSentAboveIt(t *testing.T) {
	var f thpick.Fairness
	now := thclock.At(time.Hour)
	within := 0
	for i := range 600 { // 10 a second, of which 4 are answered
		now = now.Add(100 * time.Millisecond)
		f = f.WithRequest(now, "a", low, time.Second)
		isWithin := !f.IsBeyondShare(now, "a", low)
		if isWithin {
			f = f.WithSent(now, "a", low, time.Second)
		}
		if i%5 < 2 {
			f = f.WithAnswer(now, "a", low, time.Second)
		}
		if i >= 400 && isWithin {
			within++
		}
	}
	assert.Assert(t, within >= 78 && within <= 82, "%d of 200 within the share", within)
}

// Guards against a VM that takes the first requests, which are not answered yet, for a shortage: after
// its start and after a pause of the service.
func TestFairnessKnowsNothingAtFirst(t *testing.T) {
	var f thpick.Fairness
	for _, start := range []time.Duration{time.Hour, 2 * time.Hour} {
		for second := range 12 {
			now := thclock.At(start + time.Duration(second)*time.Second)
			for range 10 {
				f = f.WithRequest(now, "a", low, time.Second).WithSent(now, "a", low, time.Second)
			}
			assert.Equal(t, f.IsBeyondShare(now, "a", low), second >= 10, "%d s", second)
		}
	}
}

// Guards against waits that are estimated by requests of other urgencies, or by work instead of requests.
func TestThroughputCountsRequestsOfUrgency(t *testing.T) {
	now := thclock.At(time.Hour)
	var f thpick.Fairness
	for range 10 {
		for _, u := range []thpick.Urgency{urgent, low} {
			f = f.WithRequest(now, "a", u, 2*time.Second).WithSent(now, "a", u, 2*time.Second)
		}
	}
	// One a second, and the two in 5 s that a Throughput takes for granted.
	assert.Equal(t, f.Throughput(low, 2*time.Second).TimeFor(now, 7).Round(time.Millisecond), 5*time.Second)
}

// Guards against a customer that is limited because its requests were sent late, not because it asks for
// too much.
func TestLateRequestsAreNotBeyondShare(t *testing.T) {
	start := thclock.At(time.Hour)
	now := start.Add(15 * time.Second)
	f := thpick.Fairness{}.WithRequest(start, "a", low, time.Second)
	f = f.WithSent(now, "a", low, time.Second).WithAnswer(now, "a", low, time.Second)
	assert.Equal(t, f.Share(now, "a", low), 1.0)
	assert.Assert(t, !f.IsBeyondShare(now, "a", low))
}

// Guards against memory that grows with the number of customers, and against a large customer that is
// not known since small ones came before it.
func TestFairnessIsBounded(t *testing.T) {
	var f thpick.Fairness
	now := thclock.At(time.Hour)
	for second := range 40 {
		now = thclock.At(time.Hour + time.Duration(second)*time.Second)
		for i := range 1000 {
			if second%20 == i%20 {
				f = f.WithRequest(now, fmt.Sprintf("small-%d", i), low, time.Second)
			}
		}
		for range 20 {
			f = f.WithRequest(now, "large", low, time.Second).WithSent(now, "large", low, time.Second)
		}
	}
	assert.Assert(t, f.IsBeyondShare(now, "large", low))
	assert.Assert(t, !f.IsBeyondShare(now, "unknown", low))
}
