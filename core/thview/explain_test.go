package thview_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// explainedFleet holds two views of one VM that go through the same: only the first one explains
// requests.
type explainedFleet struct {
	views  [2]*thview.View
	source [2]*rand.PCG
	now    time.Duration
	// sequence numbers the notices of each other VM.
	sequence  []uint32
	targets   []thtable.Target
	customers []thtable.Customer
	routes    []thtable.Route
	// underWay holds the picks that were not finished, by view.
	underWay [2][]startedPick
}

type startedPick struct {
	picked  thview.Picked
	request *thmessage.Request
}

func newExplainedFleet(t *rapid.T) *explainedFleet {
	f := &explainedFleet{now: time.Hour, sequence: make([]uint32, rapid.IntRange(0, 4).Draw(t, "peers"))}
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	f.targets = zonedTargets(zones, rapid.IntRange(1, 24).Draw(t, "perZone"))
	for i := range f.targets {
		if i%5 == 4 {
			f.targets[i].Service = "other"
		}
	}
	for i, rate := range []float64{0, 2, 200} {
		f.customers = append(f.customers, thtable.Customer{Name: fmt.Sprint("c", i), Rate: rate, Burst: rate, Priority: i})
	}
	backends := []thtable.Backend{{Service: "s", Weight: 3}, {Service: "other", Weight: 1}, {Service: "none", Weight: 0.2}}
	for i, safety := range []thtable.Safety{thtable.Idempotent, thtable.AtMostOnce} {
		f.routes = append(f.routes, thtable.Route{Name: fmt.Sprint("r", i), Safety: safety, MaxAttempts: 2, LatencyObjectiveMillis: 4000, Backends: backends[:1+2*i]})
	}
	coldRate := rapid.SampledFrom([]float64{0, 4}).Draw(t, "coldRate")
	table := thtable.New(thtable.Document{Version: 1, Customers: f.customers, Routes: f.routes, Services: []thtable.Service{{Name: "s", ColdRate: coldRate, ColdMillis: 5000}, {Name: "other"}}})
	for i := range f.views {
		f.source[i] = rand.NewPCG(uint64(zones), 7)
		f.views[i] = thview.New(thview.Options{
			Self: thfleet.Identity{ID: "vm", Zone: "zone-0", Address: "10.0.0.1:1"}, StartMillis: 1, StartedAt: f.instant(), Rand: rand.New(f.source[i]),
			RetryBudgetRule: thpick.RetryBudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 56}, FloorShare: 0.7,
		})
		f.views[i].SetTable(table)
		f.views[i].SetTargets(f.instant(), f.targets)
	}
	return f
}

func (f *explainedFleet) instant() thclock.Instant { return thclock.At(f.now) }

func (f *explainedFleet) both(do func(v *thview.View)) {
	do(f.views[0])
	do(f.views[1])
}

// peerKey returns the key of one of the other VMs.
func peerKey(i int) thfleet.VMKey { return thfleet.VMKeyOf(fmt.Sprint("peer-", i)) }

// receive passes a notice of another VM to both views.
func (f *explainedFleet) receive(t *rapid.T) {
	if len(f.sequence) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.sequence)-1).Draw(t, "peer")
	f.sequence[i]++
	n := thfleet.Notice{
		From: peerKey(i), StartMillis: 1, Sequence: f.sequence[i],
		Identity: &thfleet.Identity{ID: fmt.Sprint("peer-", i), Zone: fmt.Sprintf("zone-%d", i%3), Address: "10.0.0.2:1"},
	}
	for _, target := range f.targets {
		if rapid.IntRange(0, 3).Draw(t, "hasLoad") == 0 {
			n.Loads = append(n.Loads, thfleet.Load{Target: thfleet.KeyOf(target.ID), InFlight: uint16(rapid.SampledFrom([]int{1, 2, 40}).Draw(t, "load"))})
		}
	}
	f.both(func(v *thview.View) { v.Receive(f.instant(), n) })
}

// change changes what both views know.
func (f *explainedFleet) change(t *rapid.T) {
	some := func(what string) bool { return rapid.IntRange(0, 2).Draw(t, what) == 0 }
	switch rapid.IntRange(0, 6).Draw(t, "change") {
	case 0:
		f.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond
	case 1:
		f.receive(t)
	case 2:
		var zones []string
		for _, z := range []string{"zone-0", "zone-1", "zone-2"} {
			if some("evacuated") {
				zones = append(zones, z)
			}
		}
		f.both(func(v *thview.View) { v.SetEvacuated(f.instant(), zones) })
	case 3:
		all := rapid.Bool().Draw(t, "all")
		for i := range f.targets {
			f.targets[i].Draining = some("draining") && i > 0
			f.targets[i].WarmupMillis = 0
			if all || some("cold") {
				f.targets[i].WarmupMillis = int64(rapid.IntRange(1, 9000).Draw(t, "coldMillis"))
			}
		}
		f.both(func(v *thview.View) { v.SetTargets(f.instant(), f.targets) })
	case 4:
		f.finish(thhealth.Answered, thhealth.Failed, thhealth.ConnectionClosed, rapid.IntRange(0, 2).Draw(t, "outcome"))
	case 5:
		pauses := rapid.Bool().Draw(t, "pauses")
		for i, v := range f.views {
			for _, p := range f.underWay[i] {
				if pauses {
					v.Pause(f.instant(), p.picked, f.instant().Add(time.Second))
				} else {
					v.MarkLeaving(p.picked)
				}
			}
		}
	case 6:
		f.both(func(v *thview.View) { v.MarkJoined(f.instant()) })
	}
}

// finish ends all attempts under way, with the outcomes in turn from the given one on.
func (f *explainedFleet) finish(a, b, c thhealth.Outcome, first int) {
	for i, v := range f.views {
		for n, p := range f.underWay[i] {
			v.Finish(f.instant(), p.picked, p.request, []thhealth.Outcome{a, b, c}[(first+n)%3], time.Second)
		}
		f.underWay[i] = nil
	}
}

func (f *explainedFleet) drawRequest(t *rapid.T) *thmessage.Request {
	q := &thmessage.Request{Route: rapid.SampledFrom(f.routes).Draw(t, "route"), Host: "h", Method: "GET", URI: "/", Arrived: f.instant()}
	q.Route.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
	if i := rapid.IntRange(0, len(f.customers)).Draw(t, "customer"); i > 0 {
		q.Customer = f.customers[i-1]
	}
	q.Objective, q.Deadline = f.instant().Add(4*time.Second), f.instant().Add(6*time.Second)
	return q
}

// result is what a view does with a request.
type result struct {
	admission     thview.AdmissionStep
	service       string
	slot          thpick.SlotDecision
	isQuarantined bool
	picked        string
	keepsFloor    bool
	refusal       *thview.Refusal
}

// handle lets a view handle a request, whatever the steps before say of it.
func (f *explainedFleet) handle(i int, q *thmessage.Request, retryable bool, ahead int) (r result) {
	v := f.views[i]
	if q.Customer.Name != "" {
		_, r.admission = v.BeginAdmission(f.instant(), q.Customer, q.Route)
	}
	r.service = v.PickBackend(q.Route)
	v.RecordDemand(f.instant(), q, r.service)
	r.slot = v.DecideSlot(f.instant(), q, r.service, ahead)
	r.isQuarantined = v.IsQuarantined(f.instant(), q)
	var p thview.Picked
	p, r.refusal = v.Pick(f.instant(), q, r.service, nil, retryable)
	if r.refusal == nil {
		r.picked, r.keepsFloor = p.Target.ID, p.KeepsFloor
		f.underWay[i] = append(f.underWay[i], startedPick{p, q})
	}
	return r
}

// explain returns what the first view says that it would do, given the state of its source of
// randomness.
func (f *explainedFleet) explain(q *thmessage.Request, retryable bool, ahead int) (result, thview.Explanation) {
	source := *f.source[0]
	e := f.views[0].Explain(f.instant(), rand.New(&source), q, retryable, func(string, bool) int { return ahead })
	r := result{e.Admission, e.Service, e.Slot, e.IsQuarantined, e.Picked, e.KeepsFloor, e.Refusal}
	if r.refusal != nil {
		r.picked, r.keepsFloor = "", false
	}
	return r, e
}

// kind names what became of the request, to show that the drawn states reach all kinds.
func (r result) kind() string {
	switch {
	case r.refusal == nil && r.keepsFloor:
		return "keepsFloor"
	case r.refusal == nil:
		return "sent"
	case r.refusal.Overloaded:
		return "overloaded"
	case r.refusal.Paused:
		return "paused"
	case r.refusal.Cold:
		return "cold"
	case r.refusal.Evacuated:
		return "evacuated"
	}
	return "noTarget"
}

// TestExplanationAgreesWithWhatIsDone guards against explanations that differ from what the VM then
// does in the same state, and against those that change it: the view that explains must go on to do
// the same as one that does not.
func TestExplanationAgreesWithWhatIsDone(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		f := newExplainedFleet(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for range rapid.IntRange(0, 2).Draw(t, "changes") {
				f.change(t)
			}
			q := f.drawRequest(t)
			retryable := q.Route.IsIdempotent()
			if rapid.Bool().Draw(t, "twice") {
				f.explain(f.drawRequest(t), retryable, 0)
			}
			ahead := rapid.SampledFrom([]int{0, 50}).Draw(t, "ahead")
			explained, e := f.explain(q, retryable, ahead)
			done, undisturbed := f.handle(0, q, retryable, ahead), f.handle(1, q, retryable, ahead)
			assert.Assert(t, reflect.DeepEqual(explained, done), "explained %+v, done %+v", explained, done)
			assert.Assert(t, reflect.DeepEqual(done, undisturbed), "done %+v, without explanation %+v", done, undisturbed)
			assert.Equal(t, *f.source[0], *f.source[1])
			checkReasons(t, e)
			seen[done.kind()]++
			seen[fmt.Sprintf("%T", done.admission)]++
			seen[fmt.Sprintf("%T", done.slot)]++
		}
		assert.DeepEqual(t, byID(f.views[0].TargetStatuses(f.instant())), byID(f.views[1].TargetStatuses(f.instant())))
		assert.Equal(t, len(f.views[0].TakeNotices(f.instant())), len(f.views[1].TakeNotices(f.instant())))
	})
	for _, kind := range []string{
		"sent", "keepsFloor", "overloaded", "paused", "cold", "evacuated", "noTarget", "thpick.TakeSlot", "thpick.AwaitSlot", "thpick.RefuseSlot",
		"thview.Admitted", "thview.AskOwner", "thview.OverLimit", "thview.AwaitJoin", "<nil>",
	} {
		assert.Assert(t, seen[kind] > 0, "no drawn state leads to %s: %v", kind, seen)
	}
	t.Log(seen)
}

// checkReasons checks that the targets' reasons explain the result: a picked target is the cheapest
// candidate, but for the part that breaks ties, and without one no candidate is left.
func checkReasons(t *rapid.T, e thview.Explanation) {
	for _, x := range e.Targets {
		isEligible := x.IsCandidate && x.Exclusion == thpick.NotExcluded
		if e.Picked == "" {
			assert.Assert(t, !isEligible, "%s is eligible, but none was picked", x.ID)
		}
		if x.ID != e.Picked {
			continue
		}
		assert.Assert(t, isEligible)
		assert.Assert(t, e.KeepsFloor || x.Cost-e.Targets[0].Cost <= 0.01, "%s is picked at %f, the cheapest is %s at %f", x.ID, x.Cost, e.Targets[0].ID, e.Targets[0].Cost)
	}
}
