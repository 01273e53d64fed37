package thpick_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"

	"gotest.tools/v3/assert"
)

func TestFloorIsEnforcedWhenManyRequestsFail(t *testing.T) {
	for _, c := range []struct {
		name              string
		succeeded, failed int
		want              bool
	}{
		{"none failed", 60, 0, false},
		{"a few failed", 60, 3, false},
		{"a tenth failed", 54, 6, true},
		{"two of four failed", 2, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f thpick.Floor
			for range c.succeeded {
				f = f.WithSuccess(now)
			}
			f = f.WithFailures(now, float64(c.failed))
			assert.Equal(t, f.IsEnforced(now), c.want)
			assert.Assert(t, !f.IsEnforced(now.Add(3*time.Second)))
		})
	}
}

// TestFloorIsEnforcedBeforeTenthOfRequestsFailed guards against a floor that is enforced
// so late that unused targets get nothing for two seconds in which a tenth of the
// requests fail: it must be enforced while there are 0.2 s left to use them.
func TestFloorIsEnforcedBeforeTenthOfRequestsFailed(t *testing.T) {
	const (
		perSecond = 250
		span      = 2 * time.Second
		required  = 0.1
		spare     = 200 * time.Millisecond
	)
	for _, share := range []float64{0.15, 0.25, 0.33, 0.45} {
		for _, offset := range []time.Duration{0, 130 * time.Millisecond, 260 * time.Millisecond, 390 * time.Millisecond} {
			t.Run(fmt.Sprint(share, offset), func(t *testing.T) {
				var f thpick.Floor
				start := now.Add(offset)
				for i := int(span.Seconds() * perSecond); i > 0; i-- {
					f = f.WithSuccess(start.Add(-time.Duration(i) * time.Second / perSecond))
				}
				var failed, due float64
				for i := 0; failed < required*span.Seconds()*perSecond; i++ {
					at := start.Add(time.Duration(i) * time.Second / perSecond)
					if due += share; due >= 1 {
						due--
						failed++
						f = f.WithFailures(at, 1)
					} else {
						f = f.WithSuccess(at)
					}
					left := (required*span.Seconds()*perSecond - failed) / (share * perSecond)
					if left <= spare.Seconds() {
						assert.Assert(t, f.IsEnforced(at), "%v after the first failure", at.Sub(start))
					}
				}
			})
		}
	}
}

// TestPickUnusedKeepsShareOfTargetsInUse checks when PickUnused picks an unused
// target for a floor of 0.7, and which targets it leaves out of the count.
func TestPickUnusedKeepsShareOfTargetsInUse(t *testing.T) {
	const share = 0.7
	for _, c := range []struct {
		name                                string
		used, unused, failed                int
		failedInUse, draining               int
		enforced, suspects, retryable, want bool
	}{
		{name: "all are in use", used: 8, enforced: true},
		{name: "enough are in use", used: 8, unused: 2, enforced: true},
		{name: "enough are in use for a request that may be retried", used: 9, unused: 1, suspects: true, enforced: true, retryable: true},
		{name: "too few are in use", used: 6, unused: 4, enforced: true, want: true},
		{name: "too few are in use for a request that may be retried", used: 8, unused: 2, suspects: true, enforced: true, retryable: true, want: true},
		{name: "the unused ones have just failed", used: 6, failed: 4, enforced: true},
		{name: "most of those in use have failed lately", used: 6, unused: 4, failedInUse: 10, enforced: true, want: true},
		{name: "the unused ones are draining", used: 6, draining: 4, enforced: true},
		{name: "the unused ones are suspect and no requests fail", used: 6, unused: 4, suspects: true},
		{name: "the unused ones are suspect and requests fail", used: 6, unused: 4, suspects: true, enforced: true, want: true},
		{name: "the unused ones are as good as the others", used: 6, unused: 4, want: true},
		{name: "few unused ones are as good as the others", used: 9, unused: 1},
		{name: "few unused ones are as good as the others, for a request that may be retried", used: 9, unused: 1, retryable: true, want: true},
		{name: "nearly all are in use", used: 19, unused: 1, retryable: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var candidates []thpick.Candidate
			add := func(n int, change func(c *thpick.Candidate)) {
				for range n {
					added := candidate(fmt.Sprint("t", len(candidates)))
					change(&added)
					candidates = append(candidates, added)
				}
			}
			add(c.used, func(added *thpick.Candidate) { added.UsedAt = now.Add(-time.Second) })
			add(c.unused, func(added *thpick.Candidate) {
				if c.suspects {
					added.Health = added.Health.WithRemoteOutcome(now, thhealth.Failed)
				}
			})
			add(c.failed, func(added *thpick.Candidate) { added.FailedAt = now.Add(-time.Second) })
			add(c.failedInUse, func(added *thpick.Candidate) {
				added.UsedAt, added.FailedAt = now.Add(-time.Second), now.Add(-3*time.Second)
			})
			add(c.draining, func(added *thpick.Candidate) { added.Target.Draining = true })
			q := query()
			q.Retryable = c.retryable
			i, ok := thpick.PickUnused(q, candidates, share, c.enforced, 0)
			assert.Equal(t, ok, c.want)
			assert.Assert(t, !ok || i >= c.used)
		})
	}
}

// TestFloorCountsNoThrottledTargets guards against a floor that counts cold targets which this VM may
// not use: requests would go to unused targets one after the other, whatever these cost.
func TestFloorCountsNoThrottledTargets(t *testing.T) {
	for _, throttled := range []bool{true, false} {
		var candidates []thpick.Candidate
		for i := range 10 {
			c := thpick.Candidate{Target: thtable.Target{ID: fmt.Sprint(i), Slots: 1}}
			if i < 5 {
				c.UsedAt = now
			}
			c.IsThrottled = throttled && i >= 5 && i < 9
			candidates = append(candidates, c)
		}
		i, ok := thpick.PickUnused(thpick.Query{Now: now, Deadline: now.Add(time.Second), Objective: now.Add(time.Second)}, candidates, 0.7, true, 0)
		assert.Equal(t, ok, !throttled)
		assert.Assert(t, throttled || i >= 5)
	}
}
