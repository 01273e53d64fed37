package throute_test

import (
	"fmt"
	"testing"

	"tamarackhollow/core/throute"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestRotaServesEverybodyWithinItsBound draws services that are due again and
// again: none is judged twice in a round, the bound holds unless one service
// alone is larger, and everybody has a turn within as many rounds as the
// targets need.
func TestRotaServesEverybodyWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 30).Draw(t, "sizes")
		most := rapid.IntRange(1, 100).Draw(t, "most")
		due := make([]throute.Turn, len(sizes))
		for i, n := range sizes {
			due[i] = throute.Turn{Name: fmt.Sprintf("s%02d", i), Targets: n}
		}
		var r throute.Rota
		waited := make(map[string]int)
		for range 3 * len(sizes) {
			var names []string
			names, r = r.Next(due, most)
			assert.Assert(t, len(names) > 0)
			sum, seen := 0, map[string]bool{}
			for _, name := range names {
				assert.Assert(t, !seen[name], "%s twice", name)
				seen[name] = true
				for _, d := range due {
					if d.Name == name {
						sum += d.Targets
					}
				}
			}
			assert.Assert(t, sum <= most || len(names) == 1)
			for _, d := range due {
				waited[d.Name]++
				if seen[d.Name] {
					waited[d.Name] = 0
				}
				assert.Assert(t, waited[d.Name] <= len(due), "%s has no turn", d.Name)
			}
		}
	})
}

func TestRotaGoesOnWhereItStopped(t *testing.T) {
	due := []throute.Turn{{"c", 5}, {"a", 5}, {"b", 5}}
	var r throute.Rota
	var got []string
	for range 3 {
		var names []string
		names, r = r.Next(due, 10)
		got = append(got, fmt.Sprint(names))
	}
	assert.DeepEqual(t, got, []string{"[a b]", "[c a]", "[b c]"})
	names, _ := r.Next(nil, 10)
	assert.Equal(t, len(names), 0)
}
