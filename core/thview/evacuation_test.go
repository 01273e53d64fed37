package thview_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"gotest.tools/v3/assert"
)

// zonedView returns the view of a VM in zone-0 and the given number of targets in each zone.
func zonedView(seed uint64, zones, perZone int) *thview.View {
	v := thview.New(thview.Options{
		Self: thfleet.Identity{ID: "vm-0", Zone: "zone-0", Address: "10.0.0.1:1"}, StartMillis: 1, FloorShare: 0.7,
		Rand: rand.New(rand.NewPCG(seed, 1)),
	})
	v.SetTargets(thclock.At(time.Hour), zonedTargets(zones, perZone))
	v.MarkJoined(thclock.At(time.Hour))
	return v
}

func zonedTargets(zones, perZone int) (ts []thtable.Target) {
	for i := range zones * perZone {
		ts = append(ts, thtable.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Zone: fmt.Sprintf("zone-%d", i%zones), Slots: slots})
	}
	return ts
}

// usedByZone returns how many of the targets a VM that is alone uses regularly, so that other VMs
// would tell it of them, by zone.
func usedByZone(v *thview.View, targets []thtable.Target) map[string]int {
	used := map[string]int{}
	for _, t := range targets {
		used[t.Zone] += len(v.RelayMembers(thfleet.Notice{Loads: []thfleet.Load{{Target: thfleet.KeyOf(t.ID)}}}))
	}
	return used
}

// TestEvacuatedZoneIsPickedInNoWay guards against a way to a target of an evacuated zone, against
// targets that the VM does not regularly use instead, and against orders that outlast their revocation.
func TestEvacuatedZoneIsPickedInNoWay(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 8))
		f := newFleet(0, 0)
		v := zonedView(seed, 3, 40)
		f.views = append(f.views, v)
		added, released := v.SetEvacuated(f.instant(), []string{"zone-0", "zone-1"})
		assert.Equal(t, len(added)+len(released), 2)
		assert.DeepEqual(t, usedByZone(v, zonedTargets(3, 40)), map[string]int{"zone-0": 0, "zone-1": 0, "zone-2": 16})
		picked := map[string]int{}
		for i := range 600 {
			f.now += time.Duration(rng.IntN(50)) * time.Millisecond
			if i == 300 {
				v.SetTargets(f.instant(), zonedTargets(3, 44))
			}
			p, refusal := pickRandomly(f, rng)
			if refusal != nil {
				continue
			}
			assert.Equal(t, p.Target.Zone, "zone-2", "seed %d", seed)
			picked[p.Target.ID]++
			v.Finish(f.instant(), p, leavingRequest(f, thtable.Idempotent), []thhealth.Outcome{thhealth.Failed, thhealth.Answered}[rng.IntN(2)], time.Millisecond)
		}
		assert.Assert(t, len(picked) >= 16, "seed %d: %d targets are used", seed, len(picked))
		_, released = v.SetEvacuated(f.instant(), []string{"zone-1"})
		assert.DeepEqual(t, released, []string{"zone-0"})
		p, refusal := v.Pick(f.instant(), leavingRequest(f, thtable.AtMostOnce), "s", nil, false)
		assert.Assert(t, refusal == nil && p.Target.Zone == "zone-0", "%s", p.Target.Zone)
	}
}

// TestEvacuatedServiceIsRefusedAtOnce guards against requests that wait for or are sent to targets
// of evacuated zones for want of others, and against connections that are kept there.
func TestEvacuatedServiceIsRefusedAtOnce(t *testing.T) {
	f := newFleet(1, 3)
	f.views[0].SetEvacuated(f.instant(), []string{"z"})
	_, refusal := f.views[0].Pick(f.instant(), leavingRequest(f, thtable.AtMostOnce), "s", nil, false)
	assert.Assert(t, refusal != nil && refusal.Evacuated && refusal.RetryAfter > 0, "%+v", refusal)
	for _, target := range f.views[0].Targets() {
		assert.Assert(t, target.Draining)
	}
}
