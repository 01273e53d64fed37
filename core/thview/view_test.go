package thview_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"gotest.tools/v3/assert"
)

// world is a fleet of views that hear each other, and targets of one service
// of which some fail for a while.
type world struct {
	views []*thview.View
	now   time.Duration
	rng   *rand.Rand
	// failsUntil tells until when a target fails.
	failsUntil map[string]time.Duration
	// silent is whether no notice arrives.
	silent bool
	sent   map[string]int
	lost   int
	served int
}

const slots = 2

func newWorld(vms, targets int) *world {
	w := &world{rng: rand.New(rand.NewPCG(7, 7)), failsUntil: map[string]time.Duration{}, sent: map[string]int{}}
	var ts []thtable.Target
	for i := range targets {
		ts = append(ts, thtable.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Zone: "z", Slots: slots})
	}
	for i := range vms {
		v := thview.New(thview.Options{
			Self:   thfleet.Identity{ID: fmt.Sprintf("vm-%d", i), Zone: "z", Address: "10.0.0.1:1"},
			Budget: thpick.BudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 56}, FloorShare: 0.7,
			Start: 1, HasIdle: func(string, bool) bool { return true },
			Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		})
		v.SetTargets(w.instant(), ts)
		w.views = append(w.views, v)
	}
	w.now = time.Second
	return w
}

func (w *world) instant() thclock.Instant { return thclock.At(time.Hour + w.now) }

func (w *world) tell(from int) {
	n := w.views[from].Notice()
	if w.silent {
		return
	}
	for i, v := range w.views {
		if i != from {
			v.Receive(w.instant(), n)
		}
	}
}

// request has one VM make one attempt, which ends after the work.
func (w *world) request(safety thtable.Safety, work time.Duration) string {
	vm := w.rng.IntN(len(w.views))
	v := w.views[vm]
	q := &thmessage.Request{
		Route:     thtable.Route{Name: "r", Safety: safety, MaxAttempts: 2, LatencyObjectiveMillis: 800},
		Objective: w.instant().Add(800 * time.Millisecond), Deadline: w.instant().Add(2 * time.Second),
	}
	p, refusal := v.Pick(w.instant(), q, "s", nil, false)
	if refusal != nil {
		return ""
	}
	w.sent[p.Target.ID]++
	w.tell(vm)
	o := thjudge.Answered
	w.served++
	if w.now < w.failsUntil[p.Target.ID] {
		o = thjudge.Failed
		w.served--
		w.lost++
	}
	v.Finish(w.instant(), p, q, o, work)
	w.tell(vm)
	return p.Target.ID
}

func (w *world) run(span time.Duration, perSecond int) {
	for until := w.now + span; w.now < until; w.now += time.Second / time.Duration(perSecond) {
		w.request(thtable.AtMostOnce, 100*time.Millisecond)
	}
}

// TestOneVMsFailureSteersAll is the differential test against VMs that keep
// what they learn to themselves.
func TestOneVMsFailureSteersAll(t *testing.T) {
	lost := func(silent bool) int {
		w := newWorld(32, 10)
		w.silent = silent
		w.run(5*time.Second, 30)
		for i := range 3 {
			w.failsUntil[fmt.Sprintf("t%d", i)] = w.now + 9*time.Second
		}
		w.lost = 0
		w.run(9*time.Second, 30)
		return w.lost
	}
	together, alone := lost(false), lost(true)
	assert.Assert(t, together <= 6, "%d lost", together)
	assert.Assert(t, alone > 2*together, "%d lost alone, %d together", alone, together)
}

func TestTargetsThatAreWellAgainGetWork(t *testing.T) {
	w := newWorld(8, 3)
	w.run(3*time.Second, 30)
	w.failsUntil["t0"] = w.now + 5*time.Second
	w.run(20*time.Second, 30)
	for _, s := range w.views[0].Standings(w.instant()) {
		assert.Assert(t, s.Bad < 0.3, "%+v", s)
	}
}

// TestTheFloorHoldsWhileRequestsAreLost has a service in which all targets
// lose some requests at random: most of its targets stay in use.
func TestTheFloorHoldsWhileRequestsAreLost(t *testing.T) {
	w := newWorld(32, 8)
	w.run(3*time.Second, 30)
	for range 5 {
		clear(w.sent)
		for until := w.now + 2*time.Second; w.now < until; w.now += time.Second / 50 {
			if w.rng.IntN(100) < 15 {
				for i := range 8 {
					w.failsUntil[fmt.Sprintf("t%d", i)] = w.now + time.Millisecond
				}
			}
			w.request(thtable.AtMostOnce, 100*time.Millisecond)
		}
		assert.Assert(t, len(w.sent) >= 6, "%d of 8 targets are used", len(w.sent))
	}
}

func TestNewTargetsGetWorkWithinSeconds(t *testing.T) {
	w := newWorld(4, 4)
	w.run(5*time.Second, 30)
	var ts []thtable.Target
	for i := range 7 {
		ts = append(ts, thtable.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Zone: "z", Slots: slots})
	}
	for _, v := range w.views {
		v.SetTargets(w.instant(), ts)
	}
	clear(w.sent)
	w.run(2*time.Second, 30)
	for i := 4; i < 7; i++ {
		assert.Assert(t, w.sent[fmt.Sprintf("t%d", i)] > 0, "%v", w.sent)
	}
}

func TestBackendsKeepToTheirWeightsOverManyVMs(t *testing.T) {
	r := thtable.Route{Name: "r", Backends: []thtable.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for i := range 100 {
		v := thview.New(thview.Options{Self: thfleet.Identity{ID: "vm"}, Rand: rand.New(rand.NewPCG(uint64(i), 3))})
		for range 3 {
			count[v.Backend(r)]++
		}
	}
	assert.Assert(t, count["b"] > 15 && count["b"] < 50, "%v", count)
}

// TestTargetsAreNotLeftOutForWantOfNews has a service with little to do, whose
// targets are all well: most of them stay in use.
func TestTargetsAreNotLeftOutForWantOfNews(t *testing.T) {
	w := newWorld(16, 8)
	w.run(10*time.Second, 30)
	for range 5 {
		clear(w.sent)
		w.run(2*time.Second, 30)
		assert.Assert(t, len(w.sent) >= 6, "%v", w.sent)
	}
}

func TestSuspectsAreToldOnceAndWhenTheyAreCleared(t *testing.T) {
	var told []string
	v := thview.New(thview.Options{
		Self: thfleet.Identity{ID: "vm"}, Rand: rand.New(rand.NewPCG(1, 1)),
		Changed: func(s thview.Standing) { told = append(told, s.State()) },
	})
	now := thclock.At(time.Hour)
	v.SetTargets(now, []thtable.Target{{ID: "t", Service: "s", Slots: 2}})
	q := &thmessage.Request{Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	for i, o := range []thjudge.Outcome{
		thjudge.Answered, thjudge.Failed, thjudge.Failed, thjudge.Failed, thjudge.Answered, thjudge.Answered, thjudge.Answered, thjudge.Answered,
	} {
		at := now.Add(time.Duration(i) * time.Second)
		p, refusal := v.Pick(at, q, "s", nil, false)
		assert.Assert(t, refusal == nil)
		v.Finish(at, p, q, o, time.Second)
	}
	assert.DeepEqual(t, told, []string{"suspect", "well"})
}

// TestRefusalsOfTheLimitHoldTheFloor has a customer far over its rate while some
// targets are suspect: what is refused is not served, so the floor binds.
func TestRefusalsOfTheLimitHoldTheFloor(t *testing.T) {
	w := newWorld(8, 8)
	w.run(3*time.Second, 30)
	for i := range 4 {
		w.failsUntil[fmt.Sprintf("t%d", i)] = w.now + 20*time.Second
	}
	greedy := thtable.Customer{Name: "greedy", Rate: 0.1, Burst: 1}
	route := thtable.Route{Name: "r", Backends: []thtable.Backend{{Service: "s", Weight: 1}}}
	w.run(3*time.Second, 30)
	clear(w.sent)
	// One VM has all of the greedy customer's callers, and no others.
	refusing := w.views[0]
	w.views = w.views[1:]
	for until := w.now + 2*time.Second; w.now < until; w.now += time.Second / 60 {
		refusing.Admit(w.instant(), greedy, route)
		n := refusing.Notice()
		for _, v := range w.views {
			v.Receive(w.instant(), n)
		}
		w.request(thtable.AtMostOnce, 100*time.Millisecond)
	}
	assert.Assert(t, len(w.sent) >= 6, "%v", w.sent)
}

// TestTheBudgetOfRepeatsGrowsWithAllVMsRequests has one VM with few requests
// of its own in a fleet that has many.
func TestTheBudgetOfRepeatsGrowsWithAllVMsRequests(t *testing.T) {
	repeats := func(perSecond int) int {
		w := newWorld(16, 8)
		w.run(10*time.Second, perSecond)
		v := w.views[0]
		q := &thmessage.Request{Objective: w.instant().Add(time.Minute), Deadline: w.instant().Add(time.Minute)}
		n := 0
		for ; v.Affords(w.instant(), "s"); n++ {
			p, refusal := v.Pick(w.instant(), q, "s", []string{"another"}, true)
			assert.Assert(t, refusal == nil)
			v.Finish(w.instant(), p, q, thjudge.Answered, time.Millisecond)
		}
		return n
	}
	few, many := repeats(1), repeats(50)
	// 0.2 of 490 requests more, of which three quarters are used.
	assert.Assert(t, many >= few+65, "%d and %d repeats", few, many)
	assert.Assert(t, many <= 56+500/5, "%d repeats", many)
}

// TestATargetThatHangsIsAvoidedBeforeItsRequestsTimeOut is the differential
// test against VMs that learn of a hanging target only from its time-outs.
func TestATargetThatHangsIsAvoidedBeforeItsRequestsTimeOut(t *testing.T) {
	swallowed := func(overdue bool) int {
		w := newWorld(8, 6)
		w.run(5*time.Second, 40)
		type hanging struct {
			vm int
			p  thview.Picked
			at time.Duration
		}
		var hung []hanging
		sick, n := "", 0
		for until := w.now + 6*time.Second; w.now < until; w.now += 25 * time.Millisecond {
			vm := w.rng.IntN(len(w.views))
			q := &thmessage.Request{
				Route:     thtable.Route{Name: "r", Safety: thtable.AtMostOnce, LatencyObjectiveMillis: 800},
				Objective: w.instant().Add(800 * time.Millisecond), Deadline: w.instant().Add(6 * time.Second),
			}
			p, refusal := w.views[vm].Pick(w.instant(), q, "s", nil, false)
			assert.Assert(t, refusal == nil)
			w.tell(vm)
			if sick == "" {
				sick = p.Target.ID
			}
			if p.Target.ID == sick {
				n++
				hung = append(hung, hanging{vm, p, w.now})
			} else {
				w.views[vm].Finish(w.instant(), p, q, thjudge.Answered, 100*time.Millisecond)
				w.tell(vm)
			}
			for len(hung) > 0 && overdue && w.now-hung[0].at > thpick.OverdueAfter(100*time.Millisecond) {
				w.views[hung[0].vm].Overdue(w.instant(), hung[0].p)
				w.tell(hung[0].vm)
				hung = hung[1:]
			}
		}
		return n
	}
	with, without := swallowed(true), swallowed(false)
	assert.Assert(t, with < without, "%d with, %d without", with, without)
}

// TestPickBeside picks among one target in all states in which a second attempt
// may find it.
func TestPickBeside(t *testing.T) {
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
				v.Finish(now, p, q, thjudge.Failed, time.Millisecond)
			}
			for range c.inFlight {
				_, refusal := v.Pick(now, q, "s", nil, true)
				assert.Assert(t, refusal == nil)
			}
			_, ok := v.PickBeside(now, q, "s", c.tried, true)
			assert.Equal(t, ok, c.want)
		})
	}
}

// TestARequestThatCrashesTargetsIsHeldByAllVMs sends one request through
// different VMs to targets that it crashes, and others beside it.
func TestARequestThatCrashesTargetsIsHeldByAllVMs(t *testing.T) {
	w := newWorld(4, 8)
	w.run(time.Second, 30)
	request := func(body string) *thmessage.Request {
		return &thmessage.Request{
			Method: "POST", URI: "/orders/", Body: []byte(body), Customer: thtable.Customer{Name: "guild"},
			Route:     thtable.Route{Name: "r", Safety: thtable.AtMostOnce, LatencyObjectiveMillis: 800},
			Objective: w.instant().Add(time.Second), Deadline: w.instant().Add(2 * time.Second),
		}
	}
	attempt := func(vm int, q *thmessage.Request, o thjudge.Outcome) {
		p, refusal := w.views[vm].Pick(w.instant(), q, "s", nil, false)
		assert.Assert(t, refusal == nil)
		w.views[vm].Finish(w.instant(), p, q, o, time.Millisecond)
		w.tell(vm)
		if o != thjudge.Cut {
			return
		}
		// Another VM finds the target's port closed.
		other := (vm + 1) % len(w.views)
		w.views[other].Finish(w.instant(), p, request("another"), thjudge.Refused, time.Millisecond)
		w.tell(other)
	}
	for i := range 3 {
		for _, v := range w.views {
			assert.Assert(t, !v.Quarantined(w.instant(), request("poison")), "held after %d deaths", i)
		}
		attempt(i, request("poison"), thjudge.Cut)
		attempt(i, request("well"), thjudge.Answered)
		w.now += time.Second
	}
	for i, v := range w.views {
		assert.Assert(t, v.Quarantined(w.instant(), request("poison")), "VM %d", i)
		assert.Assert(t, !v.Quarantined(w.instant(), request("well")))
	}
	w.now += 12 * time.Minute
	assert.Assert(t, !w.views[0].Quarantined(w.instant(), request("poison")))
}

// TestWithoutABudgetNoRequestTriesASuspect uses the budget of repeats up, and
// has a request choose between a suspect and a busy target before and after.
func TestWithoutABudgetNoRequestTriesASuspect(t *testing.T) {
	now := thclock.At(time.Hour)
	v := thview.New(thview.Options{
		Self: thfleet.Identity{ID: "vm"}, Budget: thpick.BudgetRule{Window: 10 * time.Second, Slack: 40},
		Rand: rand.New(rand.NewPCG(1, 1)), HasIdle: func(string, bool) bool { return true },
	})
	v.SetTargets(now, []thtable.Target{{ID: "busy", Service: "s", Slots: 1}, {ID: "suspect", Service: "s", Slots: 1}})
	q := &thmessage.Request{
		Route:     thtable.Route{Name: "r", Safety: thtable.Idempotent, MaxAttempts: 2, LatencyObjectiveMillis: 800},
		Objective: now.Add(400 * time.Millisecond), Deadline: now.Add(10 * time.Second),
	}
	pick := func(tried string) thview.Picked {
		p, refusal := v.Pick(now, q, "s", []string{tried}, true)
		assert.Assert(t, refusal == nil)
		return p
	}
	fail := func() { v.Finish(now, pick("busy"), q, thjudge.Failed, time.Millisecond) }
	fail()
	fail()
	for range 4 {
		v.Finish(now, pick("suspect"), q, thjudge.Answered, 200*time.Millisecond)
	}
	for range 3 {
		pick("suspect") // stays under way at the busy one
	}
	assert.Equal(t, pick("another").Target.ID, "suspect")
	for v.Affords(now, "s") {
		fail()
	}
	assert.Equal(t, pick("another").Target.ID, "busy")
}
