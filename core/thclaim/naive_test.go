package thclaim_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// naiveStore keeps one mark a key and loses some answers after the write.
type naiveStore struct {
	random *rand.Rand
	marks  map[int]bool
}

// mark sets the key's mark if it is not set. Lost says that the answer to the
// write was lost.
func (s *naiveStore) mark(key int) (set, lost bool) {
	set = !s.marks[key]
	s.marks[key] = true
	return set, s.random.Float64() < 0.1
}

// TestNaiveClaimsRunTwice has each of 1,000 orders sent twice, the second time
// after the first answer was lost to the caller, through two VMs that take
// turns at random.
func TestNaiveClaimsRunTwice(t *testing.T) {
	const orders = 1000
	type strategy struct {
		name string
		// steps are what one transmission does; true from a step ends it.
		steps []func(s *naiveStore, key int, run func()) bool
	}
	send := func(_ *naiveStore, _ int, run func()) bool { run(); return false }
	strategies := []strategy{
		{"no claim", []func(*naiveStore, int, func()) bool{send}},
		{"claim after the send", []func(*naiveStore, int, func()) bool{
			func(s *naiveStore, key int, _ func()) bool { return s.marks[key] },
			send,
			func(s *naiveStore, key int, _ func()) bool { s.mark(key); return false },
		}},
		{"send when the claim's answer is lost", []func(*naiveStore, int, func()) bool{
			func(s *naiveStore, key int, _ func()) bool {
				set, lost := s.mark(key)
				return !set && !lost
			},
			send,
		}},
	}
	for _, k := range strategies {
		s := &naiveStore{random: rand.New(rand.NewPCG(1, 2)), marks: map[int]bool{}}
		twice := 0
		for key := range orders {
			runs := 0
			at := [2]int{}
			ended := [2]bool{}
			for !ended[0] || !ended[1] {
				v := s.random.IntN(2)
				if ended[v] {
					continue
				}
				ended[v] = k.steps[at[v]](s, key, func() { runs++ })
				at[v]++
				ended[v] = ended[v] || at[v] == len(k.steps)
			}
			if runs > 1 {
				twice++
			}
		}
		t.Logf("%s: %d of %d orders ran twice", k.name, twice, orders)
		assert.Assert(t, twice > 0, k.name)
	}
}
