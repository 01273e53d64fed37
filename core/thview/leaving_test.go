package thview_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"gotest.tools/v3/assert"
)

func leavingRequest(f *fleet, safety thtable.Safety) *thmessage.Request {
	return &thmessage.Request{
		Route:     thtable.Route{Name: "r", Safety: safety, LatencyObjectiveMillis: 400, MaxAttempts: 2},
		Objective: f.instant().Add(time.Second), Deadline: f.instant().Add(10 * time.Second),
	}
}

// pickTarget picks until the target with the ID is picked. Other attempts end at once.
func (f *fleet) pickTarget(t *testing.T, vm int, id string) thview.Picked {
	t.Helper()
	for range 1000 {
		q := leavingRequest(f, thtable.Idempotent)
		p, refusal := f.views[vm].Pick(f.instant(), q, "s", nil, false)
		assert.Assert(t, refusal == nil)
		if p.Target.ID == id {
			return p
		}
		f.now += 10 * time.Millisecond
		f.views[vm].Finish(f.instant(), p, q, thhealth.Answered, time.Millisecond)
	}
	t.Fatalf("%s is not picked", id)
	return thview.Picked{}
}

// TestLeavingTargetIsPickedInNoWay guards against a way to a target that has said that it
// leaves: a pick, a retry, a hedged attempt, one that keeps the floor, or the last target left.
func TestLeavingTargetIsPickedInNoWay(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		f := newFleet(1, 3)
		v := f.views[0]
		p := f.pickTarget(t, 0, "t0")
		assert.Assert(t, v.MarkLeaving(p))
		assert.Assert(t, !v.MarkLeaving(p))
		v.Finish(f.instant(), p, leavingRequest(f, thtable.Idempotent), thhealth.Answered, time.Millisecond)
		for range 300 {
			f.now += time.Duration(rng.IntN(200)) * time.Millisecond
			safety := []thtable.Safety{thtable.Idempotent, thtable.AtMostOnce}[rng.IntN(2)]
			q := leavingRequest(f, safety)
			tried := [][]string{nil, nil, {"t1"}, {"t1", "t2"}}[rng.IntN(4)]
			var picked thview.Picked
			ok := false
			if rng.IntN(3) == 0 {
				picked, ok = v.PickHedge(f.instant(), q, "s", tried, false)
			} else {
				var refusal *thview.Refusal
				picked, refusal = v.Pick(f.instant(), q, "s", tried, false)
				ok = refusal == nil
			}
			if !ok {
				continue
			}
			assert.Assert(t, picked.Target.ID != "t0", "seed %d", seed)
			// Most requests fail, so that the floor is enforced.
			v.Finish(f.instant(), picked, q, []thhealth.Outcome{thhealth.Failed, thhealth.Failed, thhealth.Answered}[rng.IntN(3)], time.Millisecond)
			if rng.IntN(20) == 0 { // the list has the target as ready again and again
				v.SetTargets(f.instant(), targetsWithStart(0))
			}
		}
	}
}

// targetsWithStart returns the targets of newFleet(_, 3), of which t0 started at the time.
func targetsWithStart(millis int64) []thtable.Target {
	ts := []thtable.Target{{ID: "t0"}, {ID: "t1"}, {ID: "t2"}}
	for i := range ts {
		ts[i].Service, ts[i].Zone, ts[i].Slots = "s", "z", slots
	}
	ts[0].StartMillis = millis
	return ts
}

// TestNewProcessOfLeavingTargetIsUsed guards against a mark that outlives the process that it
// was made for, at the VM that made it and at those that were told.
func TestNewProcessOfLeavingTargetIsUsed(t *testing.T) {
	f := newFleet(2, 3)
	f.introduceAll()
	for _, v := range f.views {
		v.SetTargets(f.instant(), targetsWithStart(1))
	}
	assert.Assert(t, f.views[0].MarkLeaving(f.pickTarget(t, 0, "t0")))
	notices := f.views[0].TakeNotices(f.instant())
	for _, v := range f.views {
		v.SetTargets(f.instant(), targetsWithStart(2))
	}
	for _, o := range notices { // late: t0 has started again meanwhile
		f.views[1].Receive(f.instant(), o.Notice)
	}
	for vm := range f.views {
		f.pickTarget(t, vm, "t0")
	}
}

// TestOtherVMsLearnThatTargetLeaves guards against VMs that use a target until it tells each
// of them that it leaves.
func TestOtherVMsLearnThatTargetLeaves(t *testing.T) {
	f := newFleet(3, 3)
	f.introduceAll()
	p := f.pickTarget(t, 0, "t0")
	f.broadcast(0)
	assert.Assert(t, f.views[0].MarkLeaving(p))
	pending, urgent := f.views[0].Pending()
	assert.Assert(t, pending && urgent)
	f.broadcast(0)
	for vm, v := range f.views {
		for range 200 {
			f.now += 50 * time.Millisecond
			q := leavingRequest(f, thtable.Idempotent)
			picked, refusal := v.Pick(f.instant(), q, "s", nil, false)
			assert.Assert(t, refusal == nil)
			assert.Assert(t, picked.Target.ID != "t0", "VM %d", vm)
			v.Finish(f.instant(), picked, q, thhealth.Answered, time.Millisecond)
		}
		for _, s := range v.TargetStatuses(f.instant()) {
			assert.Equal(t, s.Draining, s.ID == "t0")
		}
	}
	update := f.views[1].Receive(f.instant(), thfleet.Notice{From: 1, StartMillis: 1, Sequence: 1, LeavingTargets: []thfleet.LeavingTarget{{Target: thfleet.KeyOf("t0")}}})
	assert.Assert(t, !update.TargetsLeave) // it knows
}
