package thview_test

import (
	"testing"
	"time"

	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"gotest.tools/v3/assert"
)

// passTime lets what is under way happen in the given span.
func (f *largeFleet) passTime(span time.Duration) {
	until := f.now + span
	for len(f.events) > 0 && f.events[0].at <= until {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.do()
	}
	f.now = until
}

// spreadFailure lets a request fail at a target. It returns how many of the other VMs that
// use the target know more of it within the given span, and how many use it.
func (f *largeFleet) spreadFailure(t *testing.T, span time.Duration) (reached, users int) {
	t.Helper()
	vm := f.rng.IntN(len(f.views))
	v := f.views[vm]
	q := &thmessage.Request{Route: thtable.Route{Name: "r", Safety: thtable.AtMostOnce}, Objective: f.instant().Add(time.Hour), Deadline: f.instant().Add(time.Hour)}
	p, refusal := v.Pick(f.instant(), q, "s", nil, false)
	assert.Assert(t, refusal == nil)
	f.flush(vm) // the request in flight
	f.passTime(span)
	failureProbability := func(v *thview.View) float64 {
		for _, s := range v.TargetStatuses(f.instant()) {
			if s.ID == p.Target.ID {
				return s.FailureProbability
			}
		}
		t.Fatalf("target %s is not listed", p.Target.ID)
		return 0
	}
	v.Finish(f.instant(), p, q, thhealth.Failed, 10*time.Millisecond)
	var members []thfleet.Member
	for _, o := range v.TakeNotices(f.instant()) {
		members = append(members, o.Members...)
		direct, relays := v.Fleet.SelectRecipients(o.Members, o.Notice.Sequence, o.Urgent)
		f.transmit(vm, o.Notice, direct)
		o.Notice.Relay = true
		f.transmit(vm, o.Notice, relays)
	}
	before := make(map[int]float64)
	for _, m := range members {
		if i := f.indexOf[m.Key]; i != vm {
			before[i] = failureProbability(f.views[i])
		}
	}
	f.passTime(span)
	for i, b := range before {
		if failureProbability(f.views[i]) > b {
			reached++
		}
	}
	return reached, len(before)
}

// Evidence against a target must be at every VM that may pick it within 200 ms on a calm
// network, and within a second if 3 % of the datagrams are lost, where one VM in a thousand may
// miss it.
func TestEvidenceReachesAllUsersOnCalmNetwork(t *testing.T) {
	f := newLargeFleet(t, largeVMs, largeZones, largeTargets)
	for range 40 {
		reached, users := f.spreadFailure(t, 200*time.Millisecond)
		assert.Assert(t, users > 0)
		assert.Equal(t, reached, users)
	}
}

func TestEvidenceReachesAllUsersDespiteLoss(t *testing.T) {
	f := newLargeFleet(t, largeVMs, largeZones, largeTargets)
	f.lossPercent = 3
	var reached, users int
	for range 200 {
		r, u := f.spreadFailure(t, time.Second)
		reached, users = reached+r, users+u
	}
	assert.Assert(t, float64(reached) >= 0.999*float64(users), "%d of %d VMs know of a failure", reached, users)
}
