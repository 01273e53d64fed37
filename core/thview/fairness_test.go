package thview_test

import (
	"cmp"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// add returns the sum of two results.
func (r kindResult) add(o kindResult) kindResult {
	return kindResult{r.asked + o.asked, r.inTime + o.inTime, r.late + o.late, r.held + o.held}
}

// fairCase is a play of six customers that share a service, of which the last one sends several times its
// usual requests.
type fairCase struct {
	name string
	// change changes the usual requests of the customer with the given index.
	change func(i int, k *requestKind)
	times  int
	// leastInTime and leastLast bound the share of the requests of the other customers and of the last
	// one that is in time, leastGain what the mean credit of all gains, and mostHeld the share of all
	// requests that is held.
	leastInTime, leastLast, leastGain, mostHeld float64
}

// play returns what the other customers and the last one got.
func (c fairCase) play(t *testing.T, isFair bool, seed uint64) (others, last kindResult) {
	t.Helper()
	s := newCrowdedService(t, 20, 13, isFair) // 65 requests a second of 870 ms
	s.rng = rand.New(rand.NewPCG(seed, 5))
	var kinds []requestKind
	for i, name := range []string{"a", "b", "c", "d", "e", "f"} {
		k := requestKind{name: "status", customer: name, median: 870 * time.Millisecond, objective: 3 * time.Second, perSecond: 9}
		if c.change != nil {
			c.change(i, &k)
		}
		kinds = append(kinds, k)
	}
	s.arrive(15*time.Second, kinds)
	kinds[5].perSecond *= c.times
	for name, r := range s.play(20*time.Second, kinds...) {
		if name == "f" {
			last = *r
		} else {
			others = others.add(*r)
		}
	}
	return others, last
}

// TestCustomersGetFairShares guards against a customer that takes the slots of others of its urgency,
// whether VMs see all customers or few and whether requests are long or short; against one that gets next
// to nothing; against urgent requests that are held for less urgent ones; and against requests that are
// held or refused although there is room for all. SEEDS is how many plays are summed up for each case.
func TestCustomersGetFairShares(t *testing.T) {
	seeds, err := strconv.Atoi(cmp.Or(os.Getenv("SEEDS"), "1"))
	assert.NilError(t, err)
	for _, c := range []fairCase{
		{name: "six times as much of one", times: 6, leastInTime: 0.75, leastGain: 0.05, mostHeld: 1},
		{name: "seen by a quarter of the VMs", times: 6, leastInTime: 0.75, leastGain: 0.05, mostHeld: 1, change: func(i int, k *requestKind) {
			if i == 5 {
				k.vms = 5
			}
		}},
		{name: "each customer at five VMs", times: 6, leastInTime: 0.75, leastGain: 0.05, mostHeld: 1, change: func(i int, k *requestKind) { k.firstVM, k.vms = 3*i, 5 }},
		{name: "short requests", times: 6, leastInTime: 0.75, leastGain: 0.05, mostHeld: 1, change: func(_ int, k *requestKind) {
			k.median, k.objective, k.perSecond = 300*time.Millisecond, time.Second, 26
		}},
		{name: "long objective", times: 6, leastInTime: 0.85, leastGain: -0.1, mostHeld: 1, change: func(_ int, k *requestKind) { k.objective = 8 * time.Second }},
		{name: "more urgent than four others", times: 6, leastLast: 0.7, leastGain: 0.05, mostHeld: 1, change: func(i int, k *requestKind) {
			if i < 4 {
				k.priority = 1
			}
		}},
		{name: "more of all", times: 1, leastInTime: 0.45, leastGain: 0.05, mostHeld: 1, change: func(_ int, k *requestKind) { k.perSecond = 16 }},
		{name: "nearly as much as there is", times: 1, leastInTime: 0.85, leastGain: -0.01, mostHeld: 0.1, change: func(_ int, k *requestKind) { k.perSecond = 10 }},
		{name: "room for all", times: 3, leastInTime: 0.9, change: func(_ int, k *requestKind) { k.perSecond = 6 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			var others, last, all [2]kindResult
			for seed := range uint64(seeds) {
				for i, isFair := range []bool{false, true} {
					o, l := c.play(t, isFair, seed)
					others[i], last[i], all[i] = others[i].add(o), last[i].add(l), all[i].add(o).add(l)
				}
			}
			for i := range 2 {
				t.Logf("in time (served, credit): others %.3f (%.3f, %.3f), last %.3f (%.3f, %.3f), all %.3f (%.3f, %.3f); held %.3f",
					others[i].shareInTime(), others[i].shareServed(), others[i].credit(), last[i].shareInTime(), last[i].shareServed(), last[i].credit(),
					all[i].shareInTime(), all[i].shareServed(), all[i].credit(), all[i].shareHeld())
			}
			assert.Assert(t, others[1].shareInTime() >= c.leastInTime)
			assert.Assert(t, last[1].shareInTime() >= c.leastLast)
			assert.Assert(t, all[1].credit() >= all[0].credit()+c.leastGain)
			assert.Assert(t, all[1].shareHeld() <= c.mostHeld)
			assert.Assert(t, last[1].shareServed() >= 0.25*all[1].shareServed(), "the last customer is starved")
		})
	}
}
