package thlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thlimit"
	"tamarackhollow/core/throster"
)

// tolerance is for rounding in floating-point sums alone.
const tolerance = 1e-6

func TestSharesAddUpToTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := thconfig.Customer{Name: "depot", Rate: rapid.Float64Range(0, 1e5).Draw(t, "rate"), Burst: rapid.IntRange(0, 1000).Draw(t, "burst")}
		var rate float64
		var burst int
		for i := range thlimit.Parts {
			r, b := thlimit.Part{Customer: u.Name, Index: i}.Share(u)
			rate += r
			burst += b
		}
		assert.Equal(t, burst, u.Burst)
		if u.Burst > 0 {
			assert.Assert(t, rate <= u.Rate*(1+tolerance) && rate >= u.Rate*(1-tolerance))
		}
	})
}

func TestBurstSmallerThanFleetIsGivenWhole(t *testing.T) {
	u := thconfig.Customer{Name: "registrar", Rate: 0.01, Burst: 5}
	f := newFleet(40, u)
	f.advance(takeoverWait + 600*time.Second)
	f.syncAll()
	for _, n := range f.nodes[:7] {
		n.request()
	}
	f.advance(2 * time.Second)
	assert.Equal(t, len(f.admitted), 5)
}

// TestNeverOverLimit runs scripts of faults against an exact observer.
func TestNeverOverLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScript(t)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			s.step()
		}
		s.f.advance(5 * time.Second)
		over := excess(s.f.admitted, s.rate, s.burst)
		assert.Assert(t, over <= tolerance, "over by %v of %d admitted", over, len(s.f.admitted))
	})
}

// script draws events for a fleet.
type script struct {
	t     *rapid.T
	f     *fleet
	rate  float64
	burst int
	cut   map[[2]string]bool
}

func newScript(t *rapid.T) *script {
	u := thconfig.Customer{
		Name: "wholesaler", Rate: float64(rapid.IntRange(1, 200).Draw(t, "rate")),
		Burst: rapid.IntRange(1, 60).Draw(t, "burst"),
	}
	s := &script{t: t, f: newFleet(rapid.IntRange(1, 7).Draw(t, "vms"), u), rate: u.Rate, burst: u.Burst, cut: map[[2]string]bool{}}
	s.f.send = s.send
	s.f.advance(takeoverWait + time.Duration(rapid.IntRange(-2000, 10000).Draw(t, "age"))*time.Millisecond)
	s.f.syncAll()
	return s
}

// send loses, delays and doubles messages.
func (s *script) send(from, to *node) []time.Duration {
	if s.cut[[2]string{from.vm.ID, to.vm.ID}] {
		return nil
	}
	delay := func() time.Duration {
		return time.Duration(rapid.SampledFrom([]int{1, 1, 1, 3, 20, 120, 400, 2500}).Draw(s.t, "delay")) * time.Millisecond
	}
	switch rapid.IntRange(0, 9).Draw(s.t, "link") {
	case 0:
		return nil
	case 1:
		return []time.Duration{delay(), delay()}
	}
	return []time.Duration{delay()}
}

func (s *script) pick() *node { return rapid.SampledFrom(s.f.nodes).Draw(s.t, "vm") }

func (s *script) step() {
	n := s.pick()
	switch rapid.IntRange(0, 13).Draw(s.t, "step") {
	case 0, 1, 2, 3:
		for range rapid.IntRange(1, 2*s.burst).Draw(s.t, "requests") {
			n.request()
		}
	case 4, 5, 6:
		s.f.advance(time.Duration(rapid.SampledFrom([]int{1, 10, 100, 500, 2000, 9000}).Draw(s.t, "millis")) * time.Millisecond)
	case 7:
		if !n.dead && n.frozen <= s.f.now {
			n.sync()
		}
	case 8:
		n.flush()
	case 9:
		s.cut[[2]string{n.vm.ID, s.pick().vm.ID}] = rapid.Bool().Draw(s.t, "cut")
	case 10:
		s.freeze(n)
	case 11:
		n.wallSkew += time.Duration(rapid.SampledFrom([]int{-3600, -10, -1, 1, 10, 3600}).Draw(s.t, "jump")) * time.Second
	case 12:
		s.replace(n)
	case 13:
		s.changeRoster(n)
	}
}

// freeze stops a VM; it may lose its monotonic clock meanwhile, as when it is
// suspended.
func (s *script) freeze(n *node) {
	d := time.Duration(rapid.SampledFrom([]int{50, 500, 3000, 20000}).Draw(s.t, "freeze")) * time.Millisecond
	n.frozen = max(n.frozen, s.f.now+d)
	if rapid.Bool().Draw(s.t, "suspended") && n.wallSkew == 0 {
		n.monoLag += d
	}
}

// replace kills a VM and starts it anew, with nothing in memory.
func (s *script) replace(n *node) {
	if n.dead || n != s.f.node(n.vm.ID) {
		return
	}
	n.dead = true
	v := n.vm
	v.Incarnation++
	s.f.roster = s.f.roster.WithVM(v)
	s.f.start(v)
}

// changeRoster removes a VM that may well be running, or adds it again.
func (s *script) changeRoster(n *node) {
	if _, ok := s.f.roster.VM(n.vm.ID); ok {
		s.f.roster = s.f.roster.WithoutVM(n.vm.ID)
		return
	}
	if !n.dead && n == s.f.node(n.vm.ID) {
		s.f.roster = s.f.roster.WithVM(throster.VM{ID: n.vm.ID, Zone: n.vm.Zone, Incarnation: n.vm.Incarnation})
	}
}
