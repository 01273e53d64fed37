package thpick_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thpick"

	"gotest.tools/v3/assert"
)

func TestTheFloorHolds(t *testing.T) {
	for _, c := range []struct {
		name       string
		good, lost int
		want       bool
	}{
		{"nothing is lost", 60, 0, false},
		{"a few are lost", 60, 3, false},
		{"a tenth is lost", 54, 6, true},
		{"two of four are lost", 2, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f thpick.Floor
			for range c.good {
				f = f.WithGood(now)
			}
			f = f.WithLost(now, float64(c.lost))
			assert.Equal(t, f.Holds(now), c.want)
			assert.Assert(t, !f.Holds(now.Add(3*time.Second)))
		})
	}
}

// TestSpread checks which targets the floor of 0.7 counts.
func TestSpread(t *testing.T) {
	const share = 0.7
	for _, c := range []struct {
		name                   string
		used, unused, failed   int
		leaving                int
		held, suspects, spread bool
	}{
		{name: "all are used", used: 8, held: true},
		{name: "enough are used", used: 8, unused: 2, held: true},
		{name: "too few are used", used: 6, unused: 4, held: true, spread: true},
		{name: "the others have just failed", used: 6, failed: 4, held: true},
		{name: "the others are leaving", used: 6, leaving: 4, held: true},
		{name: "the others are suspect and nothing is lost", used: 6, unused: 4, suspects: true},
		{name: "the others are suspect", used: 6, unused: 4, suspects: true, held: true, spread: true},
		{name: "the others are as good", used: 6, unused: 4, spread: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var cs []thpick.Candidate
			add := func(n int, change func(c *thpick.Candidate)) {
				for range n {
					k := candidate(fmt.Sprint("t", len(cs)))
					change(&k)
					cs = append(cs, k)
				}
			}
			add(c.used, func(k *thpick.Candidate) { k.UsedAt = now.Add(-time.Second) })
			add(c.unused, func(k *thpick.Candidate) {
				if c.suspects {
					k.Belief = k.Belief.WithReport(now, thjudge.Failed)
				}
			})
			add(c.failed, func(k *thpick.Candidate) { k.FailedAt = now.Add(-time.Second) })
			add(c.leaving, func(k *thpick.Candidate) { k.Target.Draining = true })
			i, ok := thpick.Spread(query(), cs, share, c.held, 0)
			assert.Equal(t, ok, c.spread)
			assert.Assert(t, !ok || i >= c.used)
		})
	}
}
