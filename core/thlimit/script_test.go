package thlimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thlimit"
	"tamarackhollow/core/throster"
)

// TestNeverOverLimit runs scripts of faults under a load of several times the
// rate against an exact observer.
func TestNeverOverLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := scriptCase{
			vms:   rapid.IntRange(2, 7).Draw(t, "vms"),
			rate:  rapid.SampledFrom([]int{1, 3, 10, 30}).Draw(t, "rate"),
			burst: rapid.SampledFrom([]int{1, 2, 3, 5, 12, 40}).Draw(t, "burst"),
			seed:  rapid.Uint64().Draw(t, "seed"),
			steps: rapid.SliceOfN(rapid.SampledFrom(stepKinds), 5, 60).Draw(t, "steps"),
		}
		over, admitted := c.run()
		assert.Assert(t, over <= tolerance, "over by %v of %d admitted", over, admitted)
	})
}

// TestKeptScripts runs scripts that once failed.
func TestKeptScripts(t *testing.T) {
	for name, c := range map[string]scriptCase{
		"a home that was stopped hears of its loss late": {3, 3, 3, 2, []stepKind{
			"pause", "go", "flip", "leave", "pause", "burst", "drizzle", "drizzle", "drizzle", "drizzle",
		}},
		"an answer to a pull comes after a newer roster": {5, 3, 3, 0x7325d498e82, []stepKind{
			"burst", "flip", "roster", "cut", "freeze", "go", "go", "leave", "flip", "go", "pause", "go", "go",
		}},
		"an answer to a pull comes twice": {3, 10, 5, 0x331af99, []stepKind{"leave", "leave", "go", "replace", "go", "leave"}},
	} {
		t.Run(name, func(t *testing.T) {
			over, admitted := c.run()
			assert.Assert(t, over <= tolerance, "over by %v of %d admitted", over, admitted)
		})
	}
}

// scriptCase is one script; it always runs the same way.
type scriptCase struct {
	vms, rate, burst int
	seed             uint64
	steps            []stepKind
}

type stepKind string

const (
	stepGo      stepKind = "go"
	stepPause   stepKind = "pause"
	stepCut     stepKind = "cut"
	stepHeal    stepKind = "heal"
	stepIsolate stepKind = "isolate"
	stepFreeze  stepKind = "freeze"
	stepSuspend stepKind = "suspend"
	stepJump    stepKind = "jump"
	stepReplace stepKind = "replace"
	stepRoster  stepKind = "roster"
	stepLimits  stepKind = "limits"
	stepLeave   stepKind = "leave"
	stepDrizzle stepKind = "drizzle"
	stepBurst   stepKind = "burst"
	stepFlip    stepKind = "flip"
)

var stepKinds = []stepKind{
	stepGo, stepGo, stepGo, stepPause, stepCut, stepHeal, stepIsolate, stepFreeze,
	stepSuspend, stepJump, stepReplace, stepRoster, stepFlip, stepLimits, stepLeave,
	stepDrizzle, stepDrizzle, stepBurst,
}

// script is a case on its way.
type script struct {
	f        *fleet
	rng      *rand.Rand
	cut      map[[2]string]bool
	isolated map[*node]bool
}

const tick = 100 * time.Millisecond

func (c scriptCase) run() (over float64, admitted int) {
	u := thconfig.Customer{Name: "wholesaler", Deployment: "cordial", Rate: float64(c.rate), Burst: c.burst}
	s := &script{
		f: newFleet(c.vms, u), rng: rand.New(rand.NewPCG(c.seed, 0)),
		cut: map[[2]string]bool{}, isolated: map[*node]bool{},
	}
	s.f.send = s.send
	s.f.stall = s.stall
	s.f.early = func() bool { return s.rng.IntN(2) == 0 }
	s.f.advance(takeoverWait)
	s.idle(time.Duration(s.rng.IntN(20)) * time.Second)
	for _, k := range c.steps {
		s.step(k)
	}
	s.burst()
	s.load(2*time.Second, 3)
	return s.f.excess(), len(s.f.admitted)
}

// send loses, delays and doubles some messages.
func (s *script) send(from, to *node) []time.Duration {
	if s.cut[[2]string{from.vm.ID, to.vm.ID}] {
		return nil
	}
	switch s.rng.IntN(40) {
	case 0:
		return nil
	case 1, 2:
		return []time.Duration{s.delay(), s.delay()}
	case 3:
		return []time.Duration{s.delay()}
	}
	return []time.Duration{time.Millisecond}
}

func (s *script) delay() time.Duration {
	return time.Duration(1+s.rng.IntN(50)*s.rng.IntN(50)) * time.Millisecond
}

// stall stops a home now and then between reading its clock and deciding.
func (s *script) stall() time.Duration {
	if s.rng.IntN(200) > 0 {
		return 0
	}
	return time.Duration(s.rng.IntN(12000)) * time.Millisecond
}

func (s *script) pick() *node { return s.f.nodes[s.rng.IntN(len(s.f.nodes))] }

// idle lets time go by without requests.
func (s *script) idle(d time.Duration) {
	for ; d > 0; d -= tick {
		s.f.advance(tick)
		for _, n := range s.f.nodes {
			if !s.isolated[n] && n.frozen <= s.f.now && s.rng.IntN(4) == 0 {
				n.sync()
			}
			if s.rng.IntN(2) == 0 {
				n.flush()
			}
		}
	}
}

// load lets time go by under requests at some multiple of the rate, on one VM
// or on all.
func (s *script) load(d time.Duration, multiple float64) {
	u := s.f.limits[len(s.f.limits)-1]
	due := 0.0
	n := s.pick()
	skewed := s.rng.IntN(2) == 0
	for ; d > 0; d -= tick {
		for due += multiple * u.Rate * tick.Seconds(); due >= 1; due-- {
			if !skewed {
				n = s.pick()
			}
			n.request()
		}
		s.idle(tick)
	}
}

// burst brings more requests at once than any burst allows.
func (s *script) burst() {
	u := s.f.limits[len(s.f.limits)-1]
	for range 2 * u.Burst {
		s.pick().request()
	}
	s.f.advance(tick)
}

// flip takes a part's home out of the roster for some seconds.
func (s *script) flip() {
	u := s.f.limits[len(s.f.limits)-1]
	v, ok := thlimit.NewLayout(s.f.roster).Home(thlimit.Part{Customer: u.Name, Index: 0})
	if !ok || s.f.roster.Len() < 2 {
		return
	}
	n := s.f.node(v.ID)
	s.changeRoster(n)
	s.load(time.Duration(s.rng.IntN(12000))*time.Millisecond, 3)
	if _, back := s.f.roster.VM(v.ID); !back {
		s.changeRoster(n)
	}
}

func (s *script) step(k stepKind) {
	n := s.pick()
	switch k {
	case stepGo:
		s.load(time.Duration(s.rng.IntN(3000))*time.Millisecond, 3)
	case stepPause:
		s.idle(time.Duration(s.rng.IntN(12)) * time.Second)
	case stepCut:
		s.cut[[2]string{n.vm.ID, s.pick().vm.ID}] = true
	case stepHeal:
		clear(s.cut)
		clear(s.isolated)
	case stepIsolate:
		s.isolated[n] = true
	case stepFreeze:
		s.freeze(n)
	case stepSuspend:
		if n.wallSkew == 0 {
			n.monoLag += s.freeze(n)
		}
	case stepJump:
		if n.monoLag == 0 {
			n.wallSkew = time.Duration(s.rng.IntN(8000)-4000) * time.Millisecond
		}
	case stepReplace:
		s.replace(n)
	case stepRoster:
		s.changeRoster(n)
	case stepLimits:
		s.changeLimits()
	case stepDrizzle:
		s.load(time.Duration(s.rng.IntN(4000))*time.Millisecond, 0.7)
	case stepBurst:
		s.burst()
	case stepFlip:
		s.flip()
	case stepLeave:
		n.leave()
	}
}

// freeze stops a VM, and sometimes lets a burst arrive there meanwhile.
func (s *script) freeze(n *node) time.Duration {
	d := time.Duration(s.rng.IntN(3000)) * time.Millisecond
	if s.rng.IntN(3) == 0 {
		d *= 6
	}
	if n.frozen > s.f.now {
		return 0
	}
	n.frozen = s.f.now + d
	for range s.rng.IntN(20) {
		n.request()
	}
	return d
}

// replace starts a VM anew, with nothing in memory, and kills the former one or
// leaves it running.
func (s *script) replace(n *node) {
	if n.dead || n != s.f.node(n.vm.ID) {
		return
	}
	n.dead = s.rng.IntN(2) == 0
	v := n.vm
	v.Incarnation++
	s.f.setRoster(s.f.roster.WithVM(v), time.Duration(s.rng.IntN(3)*s.rng.IntN(1000))*time.Millisecond)
	s.f.start(v)
}

// changeRoster removes a VM that may well be running, or adds it again.
func (s *script) changeRoster(n *node) {
	if _, ok := s.f.roster.VM(n.vm.ID); ok && s.f.roster.Len() > 1 {
		s.f.setRoster(s.f.roster.WithoutVM(n.vm.ID), time.Duration(s.rng.IntN(3)*s.rng.IntN(1000))*time.Millisecond)
		return
	}
	if !n.dead && n == s.f.node(n.vm.ID) {
		s.f.setRoster(s.f.roster.WithVM(throster.VM{ID: n.vm.ID, Zone: n.vm.Zone, Incarnation: n.vm.Incarnation}), time.Duration(s.rng.IntN(3)*s.rng.IntN(1000))*time.Millisecond)
	}
}

func (s *script) changeLimits() {
	u := s.f.limits[len(s.f.limits)-1].Customer
	u.Rate = float64(1 + s.rng.IntN(20))
	u.Burst = []int{1, 2, 3, 5, 20, 60}[s.rng.IntN(6)]
	s.f.setCustomer(u)
}
