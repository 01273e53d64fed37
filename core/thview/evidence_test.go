package thview_test

import (
	"slices"
	"testing"
	"time"

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

// leastRise is less than a failure raises the failure probability of a target, and more than it
// rises without evidence.
const leastRise = 0.1

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
	before := make(map[int]float64)
	for _, m := range f.flush(vm) {
		if i := f.indexOf[m.Key]; i != vm {
			before[i] = failureProbability(f.views[i])
		}
	}
	f.passTime(span)
	for i, b := range before {
		if failureProbability(f.views[i]) > b+leastRise {
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

// The users of a target are in one zone of the large fleet, and in all zones of the small one.
func TestEvidenceReachesAllUsersDespiteLoss(t *testing.T) {
	for _, c := range []struct{ vms, zones, targets int }{{largeVMs, largeZones, largeTargets}, {32, 3, 11}} {
		f := newLargeFleet(t, c.vms, c.zones, c.targets)
		f.lossPercent = 3
		var reached, users int
		for range 1000 {
			r, u := f.spreadFailure(t, time.Second)
			reached, users = reached+r, users+u
		}
		t.Logf("%d of %d VMs know of a failure, %d bytes are sent for one", reached, users, sum(f.sentBytes)/1000)
		assert.Assert(t, float64(reached) >= 0.999*float64(users), "%d of %d VMs know of a failure", reached, users)
	}
}

func sum(numbers []int) (total int) {
	for _, n := range numbers {
		total += n
	}
	return total
}

// TestEvidenceIsRepeated guards against evidence that is sent once, for too long or so often that it
// counts twice, and against repeats of what is no evidence.
func TestEvidenceIsRepeated(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		outcome thhealth.Outcome
		takeAt  []time.Duration
		want    []int
	}{
		{"in time", thhealth.Failed, []time.Duration{59 * ms, 60 * ms, 119 * ms, 120 * ms, 180 * ms}, []int{0, 1, 0, 1, 0}},
		{"held back", thhealth.Failed, []time.Duration{700 * ms, 759 * ms, 760 * ms, 900 * ms}, []int{1, 0, 1, 0}},
		{"too late", thhealth.Failed, []time.Duration{999 * ms, 1059 * ms}, []int{1, 0}},
		{"expired", thhealth.Failed, []time.Duration{1000 * ms}, []int{0}},
		{"no evidence", thhealth.Answered, []time.Duration{60 * ms}, []int{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(2, 1)
			q := &thmessage.Request{Objective: f.instant().Add(time.Hour), Deadline: f.instant().Add(time.Hour)}
			p, refusal := f.views[0].Pick(f.instant(), q, "s", nil, false)
			assert.Assert(t, refusal == nil)
			f.views[0].Finish(f.instant(), p, q, c.outcome, ms)
			sent := f.views[0].TakeNotices(f.instant())
			start := f.now
			for i, at := range c.takeAt {
				f.now = start + at
				repeats := f.views[0].TakeRepeats(f.instant())
				assert.Equal(t, len(repeats), c.want[i], "after %s", at)
				for j, o := range repeats {
					assert.DeepEqual(t, o.Notice.Results, sent[0].Notice.Results)
					u := f.views[1].Receive(f.instant(), o.Notice)
					assert.Equal(t, len(u.Results) == 1, i == slices.Index(c.want, 1) && j == 0, "after %s", at)
				}
			}
			_, waits := f.views[0].NextRepeat()
			assert.Assert(t, !waits)
		})
	}
}
