package throute_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/throute"
)

// TestConnectionBudget counts the connections that all VMs may open to each
// target, at today's size and at the one of two years from now.
func TestConnectionBudget(t *testing.T) {
	for _, c := range []struct{ vms, targets, connections int }{
		{1, 6, 300}, {40, 6, 300}, {40, 15, 350}, {40, 8, 10}, {460, 6, 300}, {460, 58, 300}, {460, 200, 300}, {460, 1, 300},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			s := thconfig.Service{Name: "s", Slots: 2, Connections: c.connections}
			for i := range c.targets {
				s.Targets = append(s.Targets, thconfig.Target{Address: fmt.Sprint(i)})
			}
			open := map[string]int{}
			for v := range c.vms {
				p := throute.Place{ID: fmt.Sprint("vm", v), VMs: c.vms}
				_, each := p.Connections(s)
				subset := p.Subset(s)
				assert.Assert(t, len(subset) > 0)
				for _, g := range subset {
					open[g.Address] += each
				}
			}
			assert.Equal(t, len(open), c.targets, "every target is used")
			for a, n := range open {
				// One connection a VM is the least there is.
				assert.Assert(t, n <= max(c.connections, c.vms/c.targets), "%s: %d", a, n)
			}
		})
	}
}

// TestSubsetMovesFew: one VM more or one target less moves few subsets.
func TestSubsetMovesFew(t *testing.T) {
	s := thconfig.Service{Name: "s", Slots: 2, Connections: 300}
	for i := range 58 {
		s.Targets = append(s.Targets, thconfig.Target{Address: fmt.Sprint(i)})
	}
	moved, all := 0, 0
	for v := range 460 {
		p := throute.Place{ID: fmt.Sprint("vm", v), VMs: 460}
		before := map[string]bool{}
		for _, g := range p.Subset(s) {
			before[g.Address] = true
		}
		fewer := s
		fewer.Targets = s.Targets[1:]
		for _, g := range p.Subset(fewer) {
			all++
			if !before[g.Address] {
				moved++
			}
		}
	}
	assert.Assert(t, moved*20 < all, "%d of %d moved", moved, all)
}
