package throute

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Candidate is what a VM believes of one target of a service.
type Candidate struct {
	Address string
	// Gone targets are leaving: they are never picked and count as no capacity.
	Gone bool
	// Sick targets are to be ejected as far as the floor allows.
	Sick bool
	// Severity orders sick targets; the largest is ejected first.
	Severity float64
	// Cold is the share, 0 to 1, of the target's capacity that it does not
	// have yet.
	Cold float64
}

func (c Candidate) capacity() float64 {
	if c.Gone || !(c.Cold >= 0) {
		return 0
	}
	return 1 - min(c.Cold, maxCold)
}

// maxCold leaves a cold target enough work to warm up.
const maxCold = 0.9

// Set is an immutable choice of targets that may be picked. It can only be
// made by NewSet, which keeps the floor: the open targets hold at least the
// floor's share of the capacity of all candidates, or are all that are not
// gone. The zero Set is empty.
type Set struct {
	all   []Candidate
	open  []int
	trial []int
	held  int
}

// NewSet returns the set that ejects the sick candidates, the worst first, and
// stops where one more would take the open capacity below the floor. Gone
// candidates count in what the floor is a share of, and never towards it.
func NewSet(all []Candidate, floor float64) Set {
	s := Set{all: slices.Clone(all)}
	ejected := make([]bool, len(all))
	left, need := s.capacity(), needed(len(all), floor)
	for _, i := range s.worstFirst() {
		c := s.all[i].capacity()
		if left-c < need-capacityStep {
			s.held++
			continue
		}
		left -= c
		ejected[i] = true
	}
	for i, c := range s.all {
		switch {
		case c.Gone:
		case ejected[i]:
			s.trial = append(s.trial, i)
		default:
			s.open = append(s.open, i)
		}
	}
	return s
}

// capacityStep absorbs rounding in sums of capacities.
const capacityStep = 1e-9

func needed(targets int, floor float64) float64 {
	if !(floor >= 0) || floor > 1 {
		floor = 1
	}
	// One target always stays open, whatever the floor.
	return max(1-maxCold, math.Ceil(floor*float64(targets)-capacityStep))
}

func (s Set) capacity() float64 {
	var sum float64
	for _, c := range s.all {
		sum += c.capacity()
	}
	return sum
}

func (s Set) worstFirst() []int {
	var sick []int
	for i, c := range s.all {
		if c.Sick && !c.Gone {
			sick = append(sick, i)
		}
	}
	slices.SortStableFunc(sick, func(a, b int) int { return cmp.Compare(s.all[b].Severity, s.all[a].Severity) })
	return sick
}

// Open returns the indices of the candidates that may be picked; the slice is
// not to be changed.
func (s Set) Open() []int { return s.open }

// Ejected returns the indices of the candidates that get no ordinary work; the
// slice is not to be changed.
func (s Set) Ejected() []int { return s.trial }

// Held returns how many sick candidates the floor kept open.
func (s Set) Held() int { return s.held }

// Candidates returns all candidates in the order given to NewSet; the slice is
// not to be changed.
func (s Set) Candidates() []Candidate { return s.all }

// Loads tells Pick what it needs to know of the moment.
type Loads interface {
	// Load is the work expected at the target, in requests.
	Load(i int) float64
	// Tried is whether this request was sent to the target already.
	Tried(i int) bool
}

// sickLoad is what a sick target that the floor keeps open counts more by.
const sickLoad = 1.5

// triedLoad is what a target that failed this request counts more by.
const triedLoad = 16

// drawsForUntried bounds the draws before Pick looks at every target.
const drawsForUntried = 4

// Pick draws two open targets at random, cold ones less often, and returns the
// one with less load. It avoids targets that were tried while others are left,
// and returns false if the set has no open target.
func (s Set) Pick(r *rand.Rand, l Loads) (int, bool) {
	a, ok := s.draw(r, l)
	if !ok {
		return 0, false
	}
	b, _ := s.draw(r, l)
	if a == b {
		b, _ = s.draw(r, l)
	}
	if s.cost(b, l) < s.cost(a, l) {
		return b, true
	}
	return a, true
}

func (s Set) cost(i int, l Loads) float64 {
	load := l.Load(i) + 1
	if s.all[i].Sick {
		load += sickLoad
	}
	if l.Tried(i) {
		load += triedLoad
	}
	return load / max(s.all[i].capacity(), 1-maxCold)
}

func (s Set) draw(r *rand.Rand, l Loads) (int, bool) {
	if len(s.open) == 0 {
		return 0, false
	}
	for range drawsForUntried {
		i := s.open[r.IntN(len(s.open))]
		if l.Tried(i) {
			continue
		}
		if c := s.all[i].Cold; c > 0 && r.Float64() < c {
			continue
		}
		return i, true
	}
	best := s.open[r.IntN(len(s.open))]
	for _, i := range s.open {
		if s.cost(i, l) < s.cost(best, l) {
			best = i
		}
	}
	return best, true
}
