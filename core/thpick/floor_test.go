package thpick_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thpick"

	"gotest.tools/v3/assert"
)

func floorOf(good, lost, ran, refused int) thpick.Floor {
	var f thpick.Floor
	for range good {
		f = f.WithEnd(now, true)
	}
	for range lost {
		f = f.WithEnd(now, false)
	}
	for range ran {
		f = f.WithRun(now)
	}
	for range refused {
		f = f.WithRefusal(now)
	}
	return f
}

func TestTheFloorHolds(t *testing.T) {
	for _, c := range []struct {
		name                     string
		good, lost, ran, refused int
		want                     bool
	}{
		{"nothing is lost", 60, 0, 2, 0, false},
		{"a few are lost", 60, 3, 2, 0, false},
		{"a tenth is lost", 54, 6, 2, 0, true},
		{"this VM refuses a tenth", 60, 0, 30, 3, true},
		{"this VM refuses a few", 60, 0, 60, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := floorOf(c.good, c.lost, c.ran, c.refused)
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
			add(c.leaving, func(k *thpick.Candidate) { k.Target.Leaving = true })
			i, ok := thpick.Spread(query(), cs, share, c.held, 0)
			assert.Equal(t, ok, c.spread)
			assert.Assert(t, !ok || i >= c.used)
		})
	}
}
