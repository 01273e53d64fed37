package thpick_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thpick"

	"gotest.tools/v3/assert"
)

// fairCustomer is a customer that asks for so many requests a second.
type fairCustomer struct {
	name      string
	urgency   thpick.Urgency
	perSecond int
}

// playFairness lets all customers ask every second for a minute of a service that answers the given
// number of requests a second. Requests beyond their share get what the others leave. It returns the
// share of each customer's requests that is sent in the last 40 s.
func playFairness(capacity int, customers ...fairCustomer) map[string]float64 {
	var f thpick.Fairness
	got := map[string]float64{}
	for second := range 60 {
		now, left := thclock.At(time.Hour+time.Duration(second)*time.Second), capacity
		send := func(c fairCustomer) {
			f = f.WithSent(now, c.name, c.urgency, time.Second)
			if left--; left >= 0 {
				f = f.WithAnswer(now, c.name, c.urgency, time.Second)
			}
			if second >= 20 {
				got[c.name] += 1 / float64(40*c.perSecond)
			}
		}
		var beyond []fairCustomer
		for n := range 180 {
			for _, c := range customers {
				if n*c.perSecond%180 >= c.perSecond { // evenly over the second
					continue
				}
				f = f.WithRequest(now, c.name, c.urgency, time.Second)
				if f.IsBeyondShare(now, c.name, c.urgency) {
					beyond = append(beyond, c)
					continue
				}
				send(c)
			}
		}
		for _, c := range beyond[:min(len(beyond), max(0, left))] {
			send(c)
		}
	}
	return got
}

// Guards against a customer that takes the capacity of others, against shares that nobody uses,
// against one that is starved, and against shares in a service that has room for all.
func TestFairSharesAreMaxMin(t *testing.T) {
	for _, c := range []struct {
		name      string
		capacity  int
		customers []fairCustomer
		want      map[string]float64
	}{
		{"one asks for six times as much", 20, []fairCustomer{{"a", low, 5}, {"b", low, 5}, {"c", low, 30}}, map[string]float64{"a": 1, "b": 1, "c": 0.33}},
		{"what one leaves goes to the others", 30, []fairCustomer{{"a", low, 2}, {"b", low, 20}, {"c", low, 20}}, map[string]float64{"a": 1, "b": 0.7, "c": 0.7}},
		{"a quarter of the mean share", 90, []fairCustomer{
			{"a", low, 9}, {"b", low, 9}, {"c", low, 9}, {"d", low, 9}, {"e", low, 9}, {"f", low, 9}, {"g", low, 9}, {"h", low, 9}, {"i", low, 9}, {"j", low, 180},
		}, map[string]float64{"a": 0.92, "i": 0.92, "j": 0.25 * 30 / 87}},
		{"room for all", 100, []fairCustomer{{"a", low, 5}, {"b", low, 5}, {"c", low, 60}}, map[string]float64{"a": 1, "b": 1, "c": 1}},
		{"another urgency counts apart", 70, []fairCustomer{{"a", urgent, 5}, {"b", urgent, 5}, {"c", low, 60}}, map[string]float64{"a": 1, "b": 1, "c": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := playFairness(c.capacity, c.customers...)
			for name, want := range c.want {
				assert.Assert(t, got[name] > want-0.03 && got[name] < want+0.03, "%s: %.3f, want %.3f", name, got[name], want)
			}
		})
	}
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
