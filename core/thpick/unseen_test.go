package thpick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thpick"

	"gotest.tools/v3/assert"
)

// Guards against targets that always report a few requests too many, or nonsense once, and that make VMs
// pass over the cheapest target for long.
func TestUnseenRequestsFollowDifferencesOfReports(t *testing.T) {
	for _, c := range []struct {
		name        string
		differences []int
		wait        time.Duration
		// later is how many reports follow after the wait, which are as counted.
		later       int
		least, most float64
	}{
		{name: "no report"},
		{name: "as counted", differences: []int{0, 0, 0, 0}},
		{name: "all report two too many", differences: []int{2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2}, most: 0.5},
		{name: "some more, some fewer", differences: []int{3, -3, 3, -3, 3, -3, 3, -3, 3, -3}, least: 6, most: 9},
		{name: "a while ago", differences: []int{3, -3, 3, -3, 3, -3, 3, -3, 3, -3}, wait: 15 * time.Second, most: 0.5},
		{name: "as counted since", differences: []int{3, -3, 3, -3, 3, -3, 3, -3, 3, -3}, wait: 15 * time.Second, later: 1, most: 0.5},
		{name: "nonsense", differences: []int{60_000}, wait: 15 * time.Second, most: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var u thpick.UnseenRequests
			for _, d := range c.differences {
				u = u.WithReport(now, thpick.LoadReport{Running: 8 + d, Slots: 6}, 8)
			}
			for range c.later {
				u = u.WithReport(now.Add(c.wait), thpick.LoadReport{Running: 8, Slots: 6}, 8)
			}
			got := u.PerTarget(now.Add(c.wait))
			assert.Assert(t, got >= c.least && got <= c.most, "%v", got)
		})
	}
}

// Guards against VMs that all pick the target that was idle when the counts were made, against draws that
// find only targets that fail or have no room, and against draws while counts are new.
func TestPickDrawsWhileCountsAreOld(t *testing.T) {
	failing := func(c *thpick.Candidate) {
		for range 3 {
			c.Health = c.Health.WithOutcome(now, thhealth.Failed)
		}
	}
	for _, c := range []struct {
		name   string
		unseen float64
		change func(c *thpick.Candidate)
		// least and most are how many of 200 picks are of the idle target, the first of 20.
		least, most int
	}{
		{"new counts", 0.2, func(c *thpick.Candidate) { c.InFlight = 3 }, 200, 200},
		{"somewhat old counts", 1.1, func(c *thpick.Candidate) { c.InFlight = 3 }, 60, 100},
		{"old counts", 10, func(c *thpick.Candidate) { c.InFlight = 3 }, 10, 30},
		{"others fail", 10, failing, 200, 200},
		{"others are unknown", 10, func(c *thpick.Candidate) { c.IsExtra, c.InFlight = true, 3 }, 200, 200},
		{"others have no room", 10, func(c *thpick.Candidate) { c.InFlight = 60 }, 200, 200},
		{"others are paused", 10, func(c *thpick.Candidate) { c.PausedUntil = now.Add(time.Second) }, 200, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			candidates := make([]thpick.Candidate, 20)
			for i := range candidates {
				candidates[i] = candidate(string(rune('a' + i)))
				if i > 0 {
					c.change(&candidates[i])
				}
			}
			q, picked, rng := query(), 0, rand.New(rand.NewPCG(1, 1))
			q.UnseenRequests = c.unseen
			for range 200 {
				if i, ok := thpick.Pick(rng, q, candidates); ok && i == 0 {
					picked++
				}
			}
			assert.Assert(t, picked >= c.least && picked <= c.most, "%d", picked)
		})
	}
}
