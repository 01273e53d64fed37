package thmemory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"tamarackhollow/core/thmemory"

	"gotest.tools/v3/assert"
)

const limit = 1 << 20

// TestLedgerStaysWithinLimits guards, over drawn scripts, against bytes beyond the limit, a
// holder with more than three quarters of it, and bytes that stay counted.
func TestLedgerStaysWithinLimits(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, seed))
		var l thmemory.Ledger
		l.SetLimit(limit)
		held := map[string][]int64{}
		var total int64
		for range 500 {
			holder := fmt.Sprintf("h%d", rng.IntN(4))
			if mine := held[holder]; len(mine) > 0 && rng.IntN(3) == 0 {
				i := rng.IntN(len(mine))
				l.Release(holder, mine[i])
				total -= mine[i]
				held[holder] = append(mine[:i:i], mine[i+1:]...)
			} else if bytes := rng.Int64N(limit / 4); l.Hold(holder, bytes) {
				held[holder] = append(held[holder], bytes)
				total += bytes
			}
			own := int64(0)
			for _, bytes := range held[holder] {
				own += bytes
			}
			assert.Equal(t, l.Used(), total, "seed %d", seed)
			assert.Assert(t, total <= limit, "seed %d: %d bytes", seed, total)
			assert.Assert(t, own <= limit*3/4, "seed %d: %s has %d bytes", seed, holder, own)
		}
		for holder, mine := range held {
			for _, bytes := range mine {
				l.Release(holder, bytes)
			}
		}
		assert.Equal(t, l.Used(), int64(0))
	}
}

// TestHolderIsNotCrowdedOutByAnother guards against a holder that takes all of the limit: a
// second one still gets a sixth of it.
func TestHolderIsNotCrowdedOutByAnother(t *testing.T) {
	for _, bytes := range []int64{1, 1000, limit / 10, limit / 3, limit * 3 / 4} {
		var l thmemory.Ledger
		l.SetLimit(limit)
		for l.Hold("greedy", bytes) {
			continue
		}
		assert.Assert(t, l.Hold("modest", limit/6), "in steps of %d", bytes)
	}
}

// TestLedgerWithoutLimitRefusesNothing guards against a zero Ledger that refuses.
func TestLedgerWithoutLimitRefusesNothing(t *testing.T) {
	var l thmemory.Ledger
	assert.Assert(t, l.Hold("h", 1<<40))
	l.SetLimit(limit)
	assert.Assert(t, !l.Hold("h", 1))
	l.Release("h", 1<<40)
	assert.Assert(t, l.Hold("h", 1))
}
