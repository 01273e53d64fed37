package throute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// playOne runs one service of 40 VMs with one scripted clock and a fixed seed.
func playOne(faults map[int]fault, s surge, length time.Duration) *world {
	x := newWorld(nyabugogo()[0], 11, faults, 10*time.Second, true)
	x.surge = s
	x.result = x.run(length)
	return x
}

const second = time.Second

// TestFaultsFound: every VM stops sending ordinary work to a target at fault,
// and the floor of one half is kept throughout.
func TestFaultsFound(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]fault{
		"slow":   {slow: 10},
		"fails":  {fail: 0.5},
		"wrong":  {wrong: 0.5},
		"frozen": {frozen: true},
		"flaps":  {fail: 0.8, period: second},
	} {
		t.Run(name, func(t *testing.T) {
			r := playOne(map[int]fault{2: f}, surge{}, 20*second).result
			assert.Equal(t, r.missed, 0)
			assert.Equal(t, r.falseOnes, 0)
			assert.Assert(t, r.capacity >= 0.5, "%v", r.capacity)
		})
	}
}

// TestNaiveMissesSlowTarget shows the same fault under the naive policy.
func TestNaiveMissesSlowTarget(t *testing.T) {
	t.Parallel()
	x := newWorld(nyabugogo()[0], 11, map[int]fault{2: {slow: 10}}, 10*second, false)
	r := x.run(20 * second)
	assert.Equal(t, r.missed, vmCount)
}

// TestFloorUnderManyFaults: however many targets are at fault, half of them
// stay open.
func TestFloorUnderManyFaults(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 3, 4, 6} {
		faults := map[int]fault{}
		for i := range n {
			faults[i] = fault{fail: 0.9, slow: 3}
		}
		r := playOne(faults, surge{}, 20*second).result
		assert.Assert(t, r.capacity >= 0.5, "%d at fault: %v", n, r.capacity)
	}
}

// TestBadPathStaysLocal: what one VM alone sees makes no other eject.
func TestBadPathStaysLocal(t *testing.T) {
	t.Parallel()
	x := playOne(map[int]fault{2: {fail: 0.8, onlyVM: 7}}, surge{}, 30*second)
	assert.Equal(t, x.result.falseOnes, 0)
	assert.Assert(t, x.vms[6].found[2] > 0, "the VM itself avoids the target")
}

// TestSlowServiceEjectsNobody: a slowdown of all targets makes none sick.
func TestSlowServiceEjectsNobody(t *testing.T) {
	t.Parallel()
	faults := map[int]fault{}
	for i := range 6 {
		faults[i] = fault{slow: 2}
	}
	r := playOne(faults, surge{}, 25*second).result
	assert.Equal(t, r.falseOnes, 0)
	assert.Equal(t, r.capacity, 1.0)
}

// TestSilentConnectionsEjectNobody: connections that went silent cost a wait,
// and no healthy target is ejected for them.
func TestSilentConnectionsEjectNobody(t *testing.T) {
	t.Parallel()
	faults := map[int]fault{}
	for i := range 6 {
		faults[i] = fault{silent: 2}
	}
	r := playOne(faults, surge{}, 30*second).result
	assert.Equal(t, r.falseOnes, 0)
}

// TestLeavingTargetGetsNothing: once a target says that it is leaving, no VM
// sends it new work after a few seconds.
func TestLeavingTargetGetsNothing(t *testing.T) {
	t.Parallel()
	r := playOne(map[int]fault{2: {leaving: true}}, surge{}, 30*second).result
	assert.Equal(t, r.lateWork, 0)
}

// TestLyingLoadHarmsLittle: a target that reports the reverse of its load is
// neither starved nor flooded so that others suffer.
func TestLyingLoadHarmsLittle(t *testing.T) {
	t.Parallel()
	r := playOne(map[int]fault{2: {lyLoad: true}}, surge{}, 30*second).result
	assert.Equal(t, r.refused+r.failed, 0)
	assert.Assert(t, r.worst() > 0.99, "%v", r.worst())
}

// TestStormIsNotMultiplied: when every caller comes at once and sends again
// what was refused, at most two sends are made for one request asked for.
func TestStormIsNotMultiplied(t *testing.T) {
	t.Parallel()
	r := playOne(map[int]fault{2: {fail: 0.5}}, surge{factor: 5, length: 5 * second, resend: true}, 16*second).result
	assert.Assert(t, float64(r.sends) <= 2*float64(r.total()), "%d sends, %d asked", r.sends, r.total())
	x := newWorld(nyabugogo()[0], 11, map[int]fault{2: {fail: 0.5}}, 10*second, false)
	x.surge = surge{factor: 5, length: 5 * second, resend: true}
	n := x.run(16 * second)
	assert.Assert(t, float64(n.sends) > 2*float64(n.total()), "the naive policy: %d sends, %d asked", n.sends, n.total())
}

// TestLargeCustomerCrowdsNobodyOut: while one customer asks for more than all
// there is, the others fare better than first come first served.
func TestLargeCustomerCrowdsNobodyOut(t *testing.T) {
	t.Parallel()
	s := surge{factor: 4, length: 15 * second, one: true}
	ours := playOne(nil, s, 25*second).result
	x := newWorld(nyabugogo()[0], 11, nil, 10*second, false)
	x.surge = s
	naive := x.run(25 * second)
	lost, lostNaive := 1-ours.worstFrom(1), 1-naive.worstFrom(1)
	assert.Assert(t, lost < lostNaive, "lost %v, naive %v", lost, lostNaive)
}
