package thmemory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"tamarackhollow/core/thmemory"

	"gotest.tools/v3/assert"
)

const limit = 1 << 20

// openRunning adds a request of the customer that never gives way.
func openRunning(t *testing.T, a *thmemory.Account, customer string) thmemory.ID {
	t.Helper()
	id := a.OpenRequest(now, 0, thmemory.Owner{Customer: customer, HasKey: true})
	assert.Assert(t, a.SetPhase(now, id, thmemory.Running))
	return id
}

func isCharged(a *thmemory.Account, id thmemory.ID, bytes int64) bool {
	verdict, _ := a.Charge(now, id, bytes)
	return verdict == thmemory.Granted
}

// TestAccountStaysWithinLimits guards, over drawn scripts, against bytes beyond the limit, a
// customer with more than three quarters of it, and bytes that stay counted.
func TestAccountStaysWithinLimits(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, seed))
		var a thmemory.Account
		a.SetLimits(limit, 0)
		ids := map[string]thmemory.ID{}
		held := map[string][]int64{}
		var total int64
		for range 500 {
			customer := fmt.Sprintf("c%d", rng.IntN(4))
			id, ok := ids[customer]
			if !ok {
				id = openRunning(t, &a, customer)
				ids[customer] = id
			}
			if mine := held[customer]; len(mine) > 0 && rng.IntN(3) == 0 {
				i := rng.IntN(len(mine))
				a.Release(id, mine[i])
				total -= mine[i]
				held[customer] = append(mine[:i:i], mine[i+1:]...)
			} else if bytes := rng.Int64N(limit / 4); isCharged(&a, id, bytes) {
				held[customer] = append(held[customer], bytes)
				total += bytes
			}
			own := int64(0)
			for _, bytes := range held[customer] {
				own += bytes
			}
			assert.Equal(t, a.Used(), total, "seed %d", seed)
			assert.Assert(t, total <= limit, "seed %d: %d bytes", seed, total)
			assert.Assert(t, own <= limit*3/4, "seed %d: %s has %d bytes", seed, customer, own)
		}
		for customer, mine := range held {
			for _, bytes := range mine {
				a.Release(ids[customer], bytes)
			}
		}
		assert.Equal(t, a.Used(), int64(0))
	}
}

// TestHolderIsNotCrowdedOutByAnother guards against a holder that takes all of the limit: a
// second one still gets a sixth of it.
func TestHolderIsNotCrowdedOutByAnother(t *testing.T) {
	for _, bytes := range []int64{1, 1000, limit / 10, limit / 3, limit * 3 / 4} {
		var a thmemory.Account
		a.SetLimits(limit, 0)
		greedy := openRunning(t, &a, "greedy")
		for isCharged(&a, greedy, bytes) {
			continue
		}
		assert.Assert(t, isCharged(&a, openRunning(t, &a, "modest"), limit/6), "in steps of %d", bytes)
	}
}

// TestAccountWithoutLimitRefusesNothing guards against a zero Account that refuses.
func TestAccountWithoutLimitRefusesNothing(t *testing.T) {
	var a thmemory.Account
	id := openRunning(t, &a, "c")
	assert.Assert(t, isCharged(&a, id, 1<<40))
	a.SetLimits(limit, 0)
	assert.Assert(t, !isCharged(&a, id, 1))
	a.Release(id, 1<<40)
	assert.Assert(t, isCharged(&a, id, 1))
}
