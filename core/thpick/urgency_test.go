package thpick_test

import (
	"cmp"
	"fmt"
	"math"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

var (
	urgent = thpick.Urgency{Customer: 1, Route: 0}
	normal = thpick.Urgency{Customer: 1, Route: 1}
	low    = thpick.Urgency{Customer: 1, Route: 2}
)

// The customer's priority goes before the route's: a low route of an urgent customer overtakes the
// urgent route of another customer.
func TestUrgencyOrder(t *testing.T) {
	assert.Assert(t, urgent.IsAbove(normal))
	assert.Assert(t, !normal.IsAbove(normal))
	assert.Assert(t, thpick.Urgency{Customer: 0, Route: 5}.IsAbove(urgent))
}

// Guards against a share that counts requests instead of the time that they take, and against one
// that never forgets.
func TestDemandFollowsTimeInSlots(t *testing.T) {
	var d thpick.Demand
	assertShares(t, d, low, 0, 0)
	now := thclock.At(time.Hour)
	for range 10 {
		d = d.WithRequest(now, urgent, 100*time.Millisecond).WithRequest(now, low, 900*time.Millisecond)
	}
	assertShares(t, d, low, 0.1, 0)
	assertShares(t, d, normal, 0.1, 0.9)
	assertShares(t, d, urgent, 0, 0.9)
	later := now.Add(10 * time.Minute)
	d = d.WithRequest(later, low, 900*time.Millisecond)
	assertShares(t, d, low, 0, 0)
}

// assertShares checks the shares of the work above and below the urgency.
func assertShares(t *testing.T, d thpick.Demand, u thpick.Urgency, wantAbove, wantBelow float64) {
	t.Helper()
	above, below := d.Shares(u)
	assert.Assert(t, math.Abs(above-wantAbove) < 1e-6 && math.Abs(below-wantBelow) < 1e-6, "%g, %g", above, below)
}

// Requests of more urgencies than are counted must not displace the known ones.
func TestDemandIsBounded(t *testing.T) {
	var d thpick.Demand
	now := thclock.At(time.Hour)
	d = d.WithRequest(now, urgent, time.Second)
	for i := range 100 {
		d = d.WithRequest(now, thpick.Urgency{Customer: 2, Route: i}, time.Second)
	}
	above, _ := d.Shares(thpick.Urgency{Customer: 9})
	assert.Equal(t, above, 1.0)
	above, _ = d.Shares(normal)
	assert.Assert(t, above > 0)
}

// A service in which nobody is more urgent reserves nothing; a reserve follows the spread of many
// urgent requests, and never takes more than a quarter of the slots.
func TestReservedSlots(t *testing.T) {
	for _, c := range []struct {
		slots int
		above float64
		want  int
	}{{96, 0, 0}, {96, 0.001, 1}, {96, 0.05, 5}, {96, 0.25, 10}, {96, 0.9, 19}, {12, 0.9, 3}, {12, 0.05, 1}} {
		assert.Equal(t, thpick.ReservedSlots(c.slots, c.above), c.want)
	}
}

// waitCase returns a query of a request that is expected to take a second and has six of them, and
// four targets with six slots each, of which the given number are free in all.
func waitCase(free int) (thpick.Query, []thpick.Candidate) {
	now := thclock.At(time.Hour)
	q := thpick.Query{Now: now, Arrived: now, ExpectedLatency: time.Second, Objective: now.Add(6 * time.Second), Deadline: now.Add(20 * time.Second)}
	candidates := make([]thpick.Candidate, 4)
	for i := range candidates {
		taken := min(6, free)
		free -= taken
		candidates[i] = thpick.Candidate{Target: thtable.Target{ID: string(rune('a' + i)), Slots: 6}, InFlight: 6 - taken}
	}
	return q, candidates
}

// Guards against less urgent requests that take the last slots, against ones that wait without need,
// and against ones that wait until they miss their deadline.
func TestDecideSlot(t *testing.T) {
	const above = 0.08 // two of 24 slots
	for _, c := range []struct {
		name   string
		free   int
		above  float64
		below  float64
		change func(*thpick.Query, []thpick.Candidate)
		want   bool
	}{
		{name: "last slots", free: 2, above: above, want: true},
		{name: "most of the work is less urgent", free: 0, above: above, below: 0.6},
		{name: "some of the work is less urgent", free: 0, above: above, below: 0.4, want: true},
		{name: "no slot", free: 0, above: above, want: true},
		{name: "room", free: 3, above: above},
		{name: "nobody is more urgent", free: 0},
		{name: "little time", free: 0, above: above, change: func(q *thpick.Query, _ []thpick.Candidate) { q.Deadline = q.Now.Add(2 * time.Second) }},
		{name: "objective missed, no slot", free: 0, above: above, want: true, change: func(q *thpick.Query, _ []thpick.Candidate) { q.Objective = q.Now.Add(2 * time.Second) }},
		{name: "objective missed, a slot", free: 1, above: above, change: func(q *thpick.Query, _ []thpick.Candidate) { q.Objective = q.Now.Add(2 * time.Second) }},
		{name: "short requests", free: 0, above: above, change: func(q *thpick.Query, _ []thpick.Candidate) { q.SlotTime = 300 * time.Millisecond }},
		{name: "sent before", free: 0, above: above, change: func(q *thpick.Query, _ []thpick.Candidate) { q.Tried = []string{"x"} }},
		{name: "free slots drain", free: 6, above: above, want: true, change: func(_ *thpick.Query, cs []thpick.Candidate) { cs[0].Target.Draining = true }},
		{name: "free slots are known to others", free: 6, above: above, want: true, change: func(_ *thpick.Query, cs []thpick.Candidate) { cs[0].IsExtra = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, candidates := waitCase(c.free)
			if c.change != nil {
				c.change(&q, candidates)
			}
			d, wait := thpick.DecideSlot(q, candidates, thpick.SlotQueue{Above: c.above, Below: c.below}).(thpick.AwaitSlot)
			assert.Equal(t, wait, c.want)
			if wait {
				assert.Equal(t, d.Until, q.Deadline.Add(-2800*time.Millisecond))
				assert.Equal(t, d.InTimeUntil, q.Objective.Add(-2800*time.Millisecond))
			}
		})
	}
	d := thpick.DecideSlot(thpick.Query{Deadline: thclock.At(time.Hour)}, nil, thpick.SlotQueue{Above: above})
	assert.Equal(t, d, thpick.SlotDecision(thpick.TakeSlot{}), "without a known target there is nothing to wait for")
}

// Guards against requests beyond their customer's share that take the slots of others, that wait although
// there is room, that are sent when it is too late, and that are refused although others would not wait
// for them.
func TestDecideSlotBeyondShare(t *testing.T) {
	fast := thpick.Throughput{}
	take, wait, refuse := "thpick.TakeSlot", "thpick.AwaitSlot", "thpick.RefuseSlot"
	for i := range 50 {
		fast = fast.WithRequest(thclock.At(time.Hour + time.Duration(i-50)*100*time.Millisecond))
	}
	for _, c := range []struct {
		name  string
		free  int
		queue thpick.SlotQueue
		left  time.Duration // to the deadline
		short bool
		want  string
	}{
		{name: "no slot", want: wait},
		{name: "a slot", free: 1, want: take},
		{name: "a slot that is reserved", free: 1, queue: thpick.SlotQueue{Above: 0.08}, want: wait},
		{name: "no slot, short requests", short: true, want: wait},
		{name: "a slot that short requests do not reserve", free: 1, queue: thpick.SlotQueue{Above: 0.08}, short: true, want: take},
		{name: "most of the work is less urgent", queue: thpick.SlotQueue{Below: 0.6}, want: take},
		{name: "no time left, no slot", left: 2 * time.Second, want: refuse},
		{name: "no time left, a slot", free: 1, left: 2 * time.Second, want: take},
		{name: "others wait, slots come slowly", queue: thpick.SlotQueue{Ahead: 2, Throughput: fast}, want: refuse},
		{name: "others wait, slots come fast", queue: thpick.SlotQueue{Ahead: 5, EqualThroughput: fast}, want: wait},
		{name: "too many wait", queue: thpick.SlotQueue{Ahead: 20, EqualThroughput: fast}, want: refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, candidates := waitCase(c.free)
			if c.short {
				q.SlotTime = 100 * time.Millisecond
				for i := range candidates {
					candidates[i].InFlight += 6 // as many as it finishes until a waiting request is sent
				}
			}
			q.Deadline = q.Now.Add(cmp.Or(c.left, 20*time.Second))
			c.queue.BeyondShare = true
			d := thpick.DecideSlot(q, candidates, c.queue)
			assert.Equal(t, fmt.Sprintf("%T", d), c.want)
			if r, ok := d.(thpick.RefuseSlot); ok {
				assert.Assert(t, r.RetryAfter > 0)
			}
		})
	}
}

// Guards against a request that waits until it misses its objective although few requests are before
// it: the longer it has waited, the fewer slots it leaves free.
func TestLongWaitTakesReservedSlot(t *testing.T) {
	queue := thpick.SlotQueue{Above: 0.08} // two of 24 slots
	q, candidates := waitCase(2)
	_, wait := thpick.DecideSlot(q, candidates, queue).(thpick.AwaitSlot)
	assert.Assert(t, wait)
	q.Now = q.Now.Add(time.Second)
	assert.Equal(t, thpick.DecideSlot(q, candidates, queue), thpick.SlotDecision(thpick.TakeSlot{}))
}

// Guards against requests that wait in vain because others before them take longer than they have, and
// against refusals of requests that would be in time.
func TestRequestBehindTooManyIsRefused(t *testing.T) {
	q, candidates := waitCase(0) // half of its like are in time if they are sent within 5 s
	var throughput thpick.Throughput
	for i := range 50 {
		throughput = throughput.WithRequest(q.Now.Add(time.Duration(i-50) * 100 * time.Millisecond))
	}
	for _, c := range []struct {
		ahead int
		delay time.Duration
		want  bool
	}{{ahead: 25}, {ahead: 60, want: true}, {ahead: 25, delay: 5 * time.Second, want: true}, {ahead: 0, delay: time.Minute}, {ahead: 1, delay: time.Minute}} {
		q, candidates := q, candidates
		q.Now, q.Objective, q.Deadline = q.Now.Add(c.delay), q.Objective.Add(c.delay), q.Deadline.Add(c.delay)
		d, refused := thpick.DecideSlot(q, candidates, thpick.SlotQueue{Above: 0.08, Ahead: c.ahead, Throughput: throughput}).(thpick.RefuseSlot)
		assert.Equal(t, refused, c.want, "%+v", c)
		if refused {
			assert.Assert(t, d.RetryAfter > 0 && d.RetryAfter < 20*time.Second, "%v", d.RetryAfter)
		}
	}
}

// Guards against a short request that expects a short wait behind long ones of other routes.
func TestExpectedWaitFollowsWhatOccupiesSlots(t *testing.T) {
	q, candidates := waitCase(0)
	alone := thpick.ExpectedWait(q, candidates[0])
	q.SlotTime = 4 * time.Second
	assert.Equal(t, thpick.ExpectedWait(q, candidates[0]).Round(time.Millisecond), (4 * alone).Round(time.Millisecond))
}
