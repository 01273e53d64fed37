package thview_test

import (
	"fmt"
	"math/rand/v2"
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
)

// fleet simulates the views of several VMs, which exchange notices, and the
// targets of one service, some of which fail for a while.
type fleet struct {
	views []*thview.View
	now   time.Duration
	rng   *rand.Rand
	// failsUntil holds the time until which a target fails.
	failsUntil map[string]time.Duration
	// dropNotices is whether all notices are lost.
	dropNotices bool
	// sent counts the attempts by target.
	sent map[string]int
	// failed and answered count the attempts by their end.
	failed   int
	answered int
}

// slots is the number of requests that each target runs at once.
const slots = 2

// newFleet returns a fleet whose VMs all know the targets t0, t1 and so on.
func newFleet(vms, targets int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(7, 7)), failsUntil: map[string]time.Duration{}, sent: map[string]int{}}
	var ts []thtable.Target
	for i := range targets {
		ts = append(ts, thtable.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Zone: "z", Slots: slots})
	}
	for i := range vms {
		v := thview.New(thview.Options{
			Self:            thfleet.Identity{ID: fmt.Sprintf("vm-%d", i), Zone: "z", Address: "10.0.0.1:1"},
			RetryBudgetRule: thpick.RetryBudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 56}, FloorShare: 0.7,
			StartMillis: 1, HasIdleConnection: func(string, bool) bool { return true },
			Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		})
		v.SetTargets(f.instant(), ts)
		f.views = append(f.views, v)
	}
	f.now = time.Second
	return f
}

// instant returns the simulated time as an Instant.
func (f *fleet) instant() thclock.Instant { return thclock.At(time.Hour + f.now) }

// broadcast passes the notice of one VM to all others.
func (f *fleet) broadcast(from int) {
	outgoing := f.views[from].TakeNotices(f.instant())
	if f.dropNotices {
		return
	}
	for _, o := range outgoing {
		for i, v := range f.views {
			if i != from {
				v.Receive(f.instant(), o.Notice)
			}
		}
	}
}

// introduceAll introduces all VMs to each other.
func (f *fleet) introduceAll() {
	for _, other := range f.views {
		n := other.Introduction(false)
		for _, v := range f.views {
			v.Receive(f.instant(), n)
		}
	}
}

// attempt makes one attempt from a random VM. The attempt is answered after the
// given latency, or fails if its target fails. It returns the target's ID, or "" if
// the request was refused.
func (f *fleet) attempt(safety thtable.Safety, latency time.Duration) string {
	vm := f.rng.IntN(len(f.views))
	v := f.views[vm]
	q := &thmessage.Request{
		Route:     thtable.Route{Name: "r", Safety: safety, MaxAttempts: 2, LatencyObjectiveMillis: 800},
		Objective: f.instant().Add(800 * time.Millisecond), Deadline: f.instant().Add(2 * time.Second),
	}
	p, refusal := v.Pick(f.instant(), q, "s", nil, false)
	if refusal != nil {
		return ""
	}
	f.sent[p.Target.ID]++
	f.broadcast(vm)
	o := thhealth.Answered
	f.answered++
	if f.now < f.failsUntil[p.Target.ID] {
		o = thhealth.Failed
		f.answered--
		f.failed++
	}
	v.Finish(f.instant(), p, q, o, latency)
	f.broadcast(vm)
	return p.Target.ID
}

// run makes perSecond attempts a second for the given span.
func (f *fleet) run(span time.Duration, perSecond int) {
	for until := f.now + span; f.now < until; f.now += time.Second / time.Duration(perSecond) {
		f.attempt(thtable.AtMostOnce, 100*time.Millisecond)
	}
}

// TestFailureSeenByOneVMSteersAllVMs compares VMs that share their evidence with
// VMs that don't. It guards against VMs that each have to lose requests to a failing
// target before they avoid it.
func TestFailureSeenByOneVMSteersAllVMs(t *testing.T) {
	failed := func(dropNotices bool) int {
		f := newFleet(32, 10)
		f.dropNotices = dropNotices
		f.run(5*time.Second, 30)
		for i := range 3 {
			f.failsUntil[fmt.Sprintf("t%d", i)] = f.now + 9*time.Second
		}
		f.failed = 0
		f.run(9*time.Second, 30)
		return f.failed
	}
	shared, alone := failed(false), failed(true)
	assert.Assert(t, shared <= 6, "%d failed", shared)
	assert.Assert(t, alone > 2*shared, "%d failed without notices, %d with them", alone, shared)
}

func TestRecoveredTargetsRegainHealth(t *testing.T) {
	f := newFleet(8, 3)
	f.run(3*time.Second, 30)
	f.failsUntil["t0"] = f.now + 5*time.Second
	f.run(20*time.Second, 30)
	for _, s := range f.views[0].TargetStatuses(f.instant()) {
		assert.Assert(t, s.FailureProbability < 0.3, "%+v", s)
	}
}

// TestFloorKeepsTargetsInUseWhileRequestsFail guards against VMs that send a
// service's requests to only a few of its targets when all of them fail some
// requests at random.
func TestFloorKeepsTargetsInUseWhileRequestsFail(t *testing.T) {
	f := newFleet(32, 8)
	f.run(3*time.Second, 30)
	for range 5 {
		clear(f.sent)
		for until := f.now + 2*time.Second; f.now < until; f.now += time.Second / 50 {
			if f.rng.IntN(100) < 15 {
				for i := range 8 {
					f.failsUntil[fmt.Sprintf("t%d", i)] = f.now + time.Millisecond
				}
			}
			f.attempt(thtable.AtMostOnce, 100*time.Millisecond)
		}
		assert.Assert(t, len(f.sent) >= 6, "%d of 8 targets are in use", len(f.sent))
	}
}

func TestNewTargetsGetRequestsWithinTwoSeconds(t *testing.T) {
	f := newFleet(4, 4)
	f.run(5*time.Second, 30)
	var ts []thtable.Target
	for i := range 7 {
		ts = append(ts, thtable.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Zone: "z", Slots: slots})
	}
	for _, v := range f.views {
		v.SetTargets(f.instant(), ts)
	}
	clear(f.sent)
	f.run(2*time.Second, 30)
	for i := 4; i < 7; i++ {
		assert.Assert(t, f.sent[fmt.Sprintf("t%d", i)] > 0, "%v", f.sent)
	}
}

// A VM that starts, or that begins to use other targets because a VM has left, knows nothing of
// targets that others have long used. It must not send requests that can't be retried there
// as if they had just been added, since some of them are failing.
func TestUnknownTargetIsNotTakenForNew(t *testing.T) {
	v := thview.New(thview.Options{
		Self: thfleet.Identity{ID: "vm"}, Rand: rand.New(rand.NewPCG(1, 1)),
		HasIdleConnection: func(string, bool) bool { return true },
	})
	now := thclock.At(time.Hour)
	ts := []thtable.Target{{ID: "t0", Service: "s", Slots: 2}, {ID: "t1", Service: "s", Slots: 2}}
	v.SetTargets(now, ts)
	q := &thmessage.Request{Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	pick := func() string {
		p, refusal := v.Pick(now, q, "s", nil, false)
		assert.Assert(t, refusal == nil)
		v.Finish(now, p, q, thhealth.Answered, 10*time.Millisecond)
		return p.Target.ID
	}
	known := pick()
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		assert.Equal(t, pick(), known)
	}
	v.SetTargets(now, append(ts, thtable.Target{ID: "t2", Service: "s", Slots: 2}))
	assert.Equal(t, pick(), "t2")
}

func TestPickBackendFollowsWeightsAcrossVMs(t *testing.T) {
	r := thtable.Route{Name: "r", Backends: []thtable.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for i := range 100 {
		v := thview.New(thview.Options{Self: thfleet.Identity{ID: "vm"}, Rand: rand.New(rand.NewPCG(uint64(i), 3))})
		for range 3 {
			count[v.PickBackend(r)]++
		}
	}
	assert.Assert(t, count["b"] > 15 && count["b"] < 50, "%v", count)
}

// TestHealthyTargetsStayInUseAtLowLoad guards against VMs that stop using healthy
// targets because few requests, and so little evidence, reach them.
func TestHealthyTargetsStayInUseAtLowLoad(t *testing.T) {
	f := newFleet(16, 8)
	f.run(10*time.Second, 30)
	for range 5 {
		clear(f.sent)
		f.run(2*time.Second, 30)
		assert.Assert(t, len(f.sent) >= 6, "%v", f.sent)
	}
}

func TestSuspectChangeIsReportedOnceEachWay(t *testing.T) {
	var reported []string
	v := thview.New(thview.Options{
		Self: thfleet.Identity{ID: "vm"}, Rand: rand.New(rand.NewPCG(1, 1)),
		OnSuspectChange: func(s thview.TargetStatus) { reported = append(reported, s.State()) },
	})
	now := thclock.At(time.Hour)
	v.SetTargets(now, []thtable.Target{{ID: "t", Service: "s", Slots: 2}})
	q := &thmessage.Request{Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	for i, o := range []thhealth.Outcome{
		thhealth.Answered, thhealth.Failed, thhealth.Failed, thhealth.Failed, thhealth.Answered, thhealth.Answered, thhealth.Answered, thhealth.Answered,
	} {
		at := now.Add(time.Duration(i) * time.Second)
		p, refusal := v.Pick(at, q, "s", nil, false)
		assert.Assert(t, refusal == nil)
		v.Finish(at, p, q, o, time.Second)
	}
	assert.DeepEqual(t, reported, []string{"suspect", "well"})
}

func TestFloorChangeIsReportedOnceEachWay(t *testing.T) {
	var reported []thview.FloorStatus
	v := thview.New(thview.Options{
		Self: thfleet.Identity{ID: "vm"}, FloorShare: 0.7, Rand: rand.New(rand.NewPCG(1, 1)),
		OnFloorChange: func(s thview.FloorStatus) { reported = append(reported, s) },
	})
	now := thclock.At(time.Hour)
	v.SetTargets(now, []thtable.Target{{ID: "t", Service: "s", Slots: 2}})
	send := func(at thclock.Instant, o thhealth.Outcome) {
		q := &thmessage.Request{Objective: at.Add(time.Minute), Deadline: at.Add(time.Minute)}
		p, refusal := v.Pick(at, q, "s", nil, false)
		assert.Assert(t, refusal == nil)
		v.Finish(at, p, q, o, time.Second)
	}
	for range 5 {
		send(now, thhealth.Failed)
	}
	for i := range 5 {
		send(now.Add(time.Duration(i+5)*time.Second), thhealth.Answered)
	}
	assert.Equal(t, len(reported), 2, "%v", reported)
	assert.Equal(t, reported[0].Service, "s")
	assert.Assert(t, reported[0].IsEnforced && reported[0].Failed >= 3 && reported[0].Succeeded == 0, "%v", reported)
	assert.Assert(t, !reported[1].IsEnforced && reported[1].Failed == 0, "%v", reported)
}

// TestRateLimitRefusalsEnforceFloor has a customer far over its rate limit while
// some targets are suspect. Refused requests are not served, so they must count as
// failed for the floor, also on VMs that refused none themselves.
func TestRateLimitRefusalsEnforceFloor(t *testing.T) {
	f := newFleet(8, 8)
	f.run(3*time.Second, 30)
	for i := range 4 {
		f.failsUntil[fmt.Sprintf("t%d", i)] = f.now + 20*time.Second
	}
	greedy := thtable.Customer{Name: "greedy", Rate: 0.1, Burst: 1}
	route := thtable.Route{Name: "r", Backends: []thtable.Backend{{Service: "s", Weight: 1}}}
	f.run(3*time.Second, 30)
	clear(f.sent)
	// One VM gets all requests of the greedy customer, and no others.
	refusing := f.views[0]
	f.views = f.views[1:]
	for until := f.now + 2*time.Second; f.now < until; f.now += time.Second / 60 {
		refusing.BeginAdmission(f.instant(), greedy, route)
		for _, o := range refusing.TakeNotices(f.instant()) {
			for _, v := range f.views {
				v.Receive(f.instant(), o.Notice)
			}
		}
		f.attempt(thtable.AtMostOnce, 100*time.Millisecond)
	}
	assert.Assert(t, len(f.sent) >= 6, "%v", f.sent)
}

// borrow lets a VM borrow from others what it lacks for a retry, as the exchange of
// notices does.
func (f *fleet) borrow(vm int) {
	v := f.views[vm]
	for range 3 {
		request, lenders := v.PrepareLoan(f.instant(), "s")
		if len(lenders) == 0 {
			return
		}
		for _, other := range f.views {
			if thfleet.VMKeyOf(other.Introduction(false).Identity.ID) == lenders[0].Key {
				t, _ := other.GiveTokens(f.instant(), request)
				v.AddLoan(f.instant(), "s", t)
			}
		}
	}
}

// TestRetryBudgetGrowsWithRequestsOfAllVMs has one VM with few requests of its own
// in a fleet that has many, and lets it retry as often as it can for ten seconds. It
// guards against a budget that a VM can use only for its own requests.
func TestRetryBudgetGrowsWithRequestsOfAllVMs(t *testing.T) {
	retries := func(perSecond int) int {
		f := newFleet(16, 8)
		f.introduceAll()
		f.run(10*time.Second, perSecond)
		v, n := f.views[0], 0
		for until := f.now + 10*time.Second; f.now < until; {
			f.run(100*time.Millisecond, perSecond)
			q := &thmessage.Request{Objective: f.instant().Add(time.Minute), Deadline: f.instant().Add(time.Minute)}
			for range 5 {
				f.borrow(0)
				if !v.HasRetryBudget(f.instant(), "s") {
					break
				}
				p, refusal := v.Pick(f.instant(), q, "s", []string{"another"}, true)
				assert.Assert(t, refusal == nil)
				v.Finish(f.instant(), p, q, thhealth.Answered, time.Millisecond)
				n++
			}
		}
		return n
	}
	few, many := retries(1), retries(50)
	// The busy fleet has 490 requests more, each of which allows 0.2 retries.
	assert.Assert(t, many >= few+65, "%d and %d retries", few, many)
	assert.Assert(t, many <= 56+500/5, "%d retries", many)
}

// TestHangingTargetIsAvoidedBeforeTimeouts compares VMs that mark attempts as
// overdue with VMs that don't, which would learn of a hanging target only from its
// time-outs.
func TestHangingTargetIsAvoidedBeforeTimeouts(t *testing.T) {
	hungAttempts := func(markOverdue bool) int {
		f := newFleet(8, 6)
		f.run(5*time.Second, 40)
		type attempt struct {
			vm int
			p  thview.Picked
			at time.Duration
		}
		var hung []attempt
		hanging, n := "", 0
		for until := f.now + 6*time.Second; f.now < until; f.now += 25 * time.Millisecond {
			vm := f.rng.IntN(len(f.views))
			q := &thmessage.Request{
				Route:     thtable.Route{Name: "r", Safety: thtable.AtMostOnce, LatencyObjectiveMillis: 800},
				Objective: f.instant().Add(800 * time.Millisecond), Deadline: f.instant().Add(6 * time.Second),
			}
			p, refusal := f.views[vm].Pick(f.instant(), q, "s", nil, false)
			assert.Assert(t, refusal == nil)
			f.broadcast(vm)
			if hanging == "" {
				hanging = p.Target.ID
			}
			if p.Target.ID == hanging {
				n++
				hung = append(hung, attempt{vm, p, f.now})
			} else {
				f.views[vm].Finish(f.instant(), p, q, thhealth.Answered, 100*time.Millisecond)
				f.broadcast(vm)
			}
			for len(hung) > 0 && markOverdue && f.now-hung[0].at > thpick.OverdueAfter(100*time.Millisecond) {
				f.views[hung[0].vm].MarkOverdue(f.instant(), hung[0].p)
				f.broadcast(hung[0].vm)
				hung = hung[1:]
			}
		}
		return n
	}
	with, without := hungAttempts(true), hungAttempts(false)
	assert.Assert(t, with < without, "%d with, %d without", with, without)
}

// TestPickHedgeAvoidsSuspectAndBusyTargets offers a single target, in each state in
// which a hedged attempt may find it.
func TestPickHedgeAvoidsSuspectAndBusyTargets(t *testing.T) {
	now := thclock.At(time.Hour)
	q := &thmessage.Request{
		Route:     thtable.Route{Name: "r", Safety: thtable.Idempotent, LatencyObjectiveMillis: 800},
		Objective: now.Add(time.Second), Deadline: now.Add(10 * time.Second),
	}
	for _, c := range []struct {
		name     string
		inFlight int
		failures int
		tried    []string
		want     bool
	}{
		{name: "free", want: true},
		{name: "a short wait", inFlight: 2, want: true},
		{name: "a long wait", inFlight: 6},
		{name: "suspect", failures: 3},
		{name: "tried", tried: []string{"t"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := thview.New(thview.Options{Self: thfleet.Identity{ID: "vm"}, Rand: rand.New(rand.NewPCG(1, 1))})
			v.SetTargets(now, []thtable.Target{{ID: "t", Service: "s", Slots: 2}})
			for range c.failures {
				p, refusal := v.Pick(now, q, "s", nil, true)
				assert.Assert(t, refusal == nil)
				v.Finish(now, p, q, thhealth.Failed, time.Millisecond)
			}
			for range c.inFlight {
				_, refusal := v.Pick(now, q, "s", nil, true)
				assert.Assert(t, refusal == nil)
			}
			_, ok := v.PickHedge(now, q, "s", c.tried, true)
			assert.Equal(t, ok, c.want)
		})
	}
}

// TestCrashingRequestIsQuarantinedByAllVMs sends one request through different
// VMs to targets that it crashes, each followed by a harmless request. It guards
// against VMs that count only their own crashes, and against a quarantine that
// catches the harmless request.
func TestCrashingRequestIsQuarantinedByAllVMs(t *testing.T) {
	f := newFleet(4, 8)
	f.run(time.Second, 30)
	request := func(body string) *thmessage.Request {
		return &thmessage.Request{
			Method: "POST", URI: "/orders/", Body: thmessage.Body{[]byte(body)}, Customer: thtable.Customer{Name: "guild"},
			Route:     thtable.Route{Name: "r", Safety: thtable.AtMostOnce, LatencyObjectiveMillis: 800},
			Objective: f.instant().Add(time.Second), Deadline: f.instant().Add(2 * time.Second),
		}
	}
	attempt := func(vm int, q *thmessage.Request, o thhealth.Outcome) {
		p, refusal := f.views[vm].Pick(f.instant(), q, "s", nil, false)
		assert.Assert(t, refusal == nil)
		f.views[vm].Finish(f.instant(), p, q, o, time.Millisecond)
		f.broadcast(vm)
		if o != thhealth.ConnectionClosed {
			return
		}
		// Another VM finds the target's port closed.
		other := (vm + 1) % len(f.views)
		f.views[other].Finish(f.instant(), p, request("another"), thhealth.ConnectionRefused, time.Millisecond)
		f.broadcast(other)
	}
	for i := range 3 {
		for _, v := range f.views {
			assert.Assert(t, !v.IsQuarantined(f.instant(), request("poison")), "quarantined after %d crashes", i)
		}
		attempt(i, request("poison"), thhealth.ConnectionClosed)
		attempt(i, request("harmless"), thhealth.Answered)
		f.now += time.Second
	}
	for i, v := range f.views {
		assert.Assert(t, v.IsQuarantined(f.instant(), request("poison")), "VM %d", i)
		assert.Assert(t, !v.IsQuarantined(f.instant(), request("harmless")))
	}
	f.now += 12 * time.Minute
	assert.Assert(t, !f.views[0].IsQuarantined(f.instant(), request("poison")))
}

// TestUsedUpRetryBudgetKeepsRequestsOffSuspects has the choice between a suspect and
// a busy target, before and after the retry budget is used up. It guards against
// risking a failure that can no longer be retried.
func TestUsedUpRetryBudgetKeepsRequestsOffSuspects(t *testing.T) {
	now := thclock.At(time.Hour)
	v := thview.New(thview.Options{
		Self: thfleet.Identity{ID: "vm"}, RetryBudgetRule: thpick.RetryBudgetRule{Window: 10 * time.Second, Slack: 40},
		Rand: rand.New(rand.NewPCG(1, 1)), HasIdleConnection: func(string, bool) bool { return true },
	})
	v.SetTargets(now, []thtable.Target{{ID: "busy", Service: "s", Slots: 1}, {ID: "suspect", Service: "s", Slots: 1}})
	q := &thmessage.Request{
		Route:     thtable.Route{Name: "r", Safety: thtable.Idempotent, MaxAttempts: 2, LatencyObjectiveMillis: 800},
		Objective: now.Add(400 * time.Millisecond), Deadline: now.Add(10 * time.Second),
	}
	// pick picks a target, for a retry if others were tried before.
	pick := func(tried ...string) thview.Picked {
		p, refusal := v.Pick(now, q, "s", tried, true)
		assert.Assert(t, refusal == nil)
		return p
	}
	// fail makes one retry at the suspect target, which fails.
	fail := func() { v.Finish(now, pick("busy"), q, thhealth.Failed, time.Millisecond) }
	fail()
	fail()
	for range 4 {
		v.Finish(now, pick("suspect"), q, thhealth.Answered, 200*time.Millisecond)
	}
	for range 3 {
		pick("suspect") // picks the busy target and stays in flight there
	}
	assert.Equal(t, pick().Target.ID, "suspect")
	for v.HasRetryBudget(now, "s") {
		fail()
	}
	assert.Equal(t, pick().Target.ID, "busy")
}

// An attempt may end after its target has restarted. It must neither make the new process
// look emptier than it is nor count against its health, and the same holds for an attempt
// that is overdue.
func TestAttemptAtRestartedTargetSaysNothingOfNewProcess(t *testing.T) {
	f := newFleet(1, 1)
	v := f.views[0]
	q := &thmessage.Request{Route: thtable.Route{Name: "r", MaxAttempts: 1, LatencyObjectiveMillis: 800}, Deadline: f.instant().Add(time.Minute)}
	status := func() thview.TargetStatus { return v.TargetStatuses(f.instant())[0] }
	for _, end := range []func(p thview.Picked){
		func(p thview.Picked) { v.Finish(f.instant(), p, q, thhealth.ConnectionClosed, time.Second) },
		func(p thview.Picked) {
			v.MarkOverdue(f.instant(), p)
			v.Finish(f.instant(), p, q, thhealth.Inconclusive, time.Second)
		},
	} {
		p, refusal := v.Pick(f.instant(), q, "s", nil, false)
		assert.Assert(t, refusal == nil)
		restarted := p.Target
		restarted.StartMillis++
		f.now += time.Millisecond
		v.SetTargets(f.instant(), []thtable.Target{restarted})
		before := status()
		end(p)
		assert.Equal(t, status().InFlight, 0)
		for _, o := range v.TakeNotices(f.instant()) {
			for _, l := range o.Notice.Loads {
				assert.Equal(t, l.InFlight, uint16(0))
			}
			assert.Equal(t, len(o.Notice.Results), 0)
		}
		assert.Equal(t, status().FailureProbability, before.FailureProbability)
	}
}
