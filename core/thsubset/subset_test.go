package thsubset_test

import (
	"testing"

	"tamarackhollow/core/thsubset"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// users returns how many VMs use each target, and checks that Contains and At agree.
func users(t assert.TestingT, vms, length, ring int) []int {
	count := make([]int, ring)
	for rank := range vms {
		w := thsubset.WindowOf(rank, vms, length, ring)
		for i := range w.Length {
			count[w.At(i)]++
		}
		contained := 0
		for position := range ring {
			if w.Contains(position) {
				contained++
			}
		}
		assert.Equal(t, contained, w.Length)
	}
	return count
}

// TestWindowsCoverTargetsEvenly guards against targets that no VM uses, and against
// targets that many more VMs use than others.
func TestWindowsCoverTargetsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms, ring := rapid.IntRange(1, 120).Draw(t, "vms"), rapid.IntRange(1, 120).Draw(t, "ring")
		count := users(t, vms, thsubset.Size, ring)
		mean := float64(vms*min(thsubset.Size, ring)) / float64(ring)
		for position, n := range count {
			if vms*thsubset.Size >= ring {
				assert.Assert(t, n >= 1, "nobody uses target %d", position)
			}
			assert.Assert(t, float64(n) <= 2*mean+2, "%d VMs use target %d, %.1f on average", n, position, mean)
		}
	})
}

// TestJoiningVMShiftsWindowsByAtMostOneTarget guards against a VM that joins or leaves
// making all others open connections to new targets.
func TestJoiningVMShiftsWindowsByAtMostOneTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ring := rapid.IntRange(1, 120).Draw(t, "ring")
		vms := rapid.IntRange(ring, 240).Draw(t, "vms")
		joined := rapid.IntRange(0, vms).Draw(t, "joined")
		for rank := range vms {
			newRank := rank
			if rank >= joined {
				newRank++
			}
			before := thsubset.WindowOf(rank, vms, thsubset.Size, ring)
			after := thsubset.WindowOf(newRank, vms+1, thsubset.Size, ring)
			shift := (after.Start - before.Start + ring) % ring
			assert.Assert(t, shift <= 1 || shift == ring-1, "VM %d: from %d to %d", rank, before.Start, after.Start)
		}
	})
}

func TestSmallServiceIsUsedByAllVMs(t *testing.T) {
	for rank := range 5 {
		assert.Equal(t, thsubset.WindowOf(rank, 5, thsubset.Size, 7).Length, 7)
	}
	assert.Equal(t, thsubset.WindowOf(0, 0, thsubset.Size, 7), thsubset.Window{})
	assert.Equal(t, thsubset.WindowOf(3, 5, thsubset.Size, 0), thsubset.Window{})
}
