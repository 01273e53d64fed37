package thview_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"gotest.tools/v3/assert"
)

const (
	// The simulated times of a round trip, and those of io/thgossip that bound questions.
	roundTripInZone       = 2 * time.Millisecond
	roundTripBetweenZones = 20 * time.Millisecond
	questionTimeout       = 50 * time.Millisecond
	presenceTimeout       = 15 * time.Millisecond
)

// timedFleet is a limitedFleet with several customers, whose questions take time. The first
// customer is the one that may exceed its limit.
type timedFleet struct {
	*limitedFleet
	// events holds what happens next, ordered by time.
	events []event
	counts []admissionCounts
}

// admissionCounts is what became of a customer's requests.
type admissionCounts struct {
	admitted, refused int
	// unknown are the refusals as LimitUnknown; they count as refused as well.
	unknown int
	// questions are those of all requests, and refusedQuestions those of refused ones.
	questions, refusedQuestions int
	// waited and longest are the sum and the longest of the waits.
	waited, longest time.Duration
	times           []time.Duration
}

func newTimedFleet(vms, zones int, seed uint64, customers ...thtable.Customer) *timedFleet {
	f := &timedFleet{limitedFleet: newLimitedFleet(vms, zones, customers...), counts: make([]admissionCounts, len(customers))}
	f.rng = rand.New(rand.NewPCG(seed, 7))
	f.after(0, f.probeForever)
	return f
}

func (f *timedFleet) after(delay time.Duration, do func()) {
	e := event{f.now + delay, do}
	i, _ := slices.BinarySearchFunc(f.events, e, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	f.events = slices.Insert(f.events, i, e)
}

// advance lets the time pass and does what is due.
func (f *timedFleet) advance(span time.Duration) {
	until := f.now + span
	for len(f.events) > 0 && f.events[0].at <= until {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.do()
	}
	f.now = until
}

func (f *timedFleet) probeForever() {
	f.probe()
	f.after(thfleet.ProbeInterval, f.probeForever)
}

// load makes a customer send requests at random times until the given one, to VMs that run.
func (f *timedFleet) load(customer int, perSecond float64, until time.Duration) {
	f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if f.now >= until {
			return
		}
		vm := f.rng.IntN(len(f.views))
		for f.down[vm] {
			vm = f.rng.IntN(len(f.views))
		}
		f.sendTimed(vm, customer)
		f.load(customer, perSecond, until)
	})
}

// sendTimed sends one request of a customer to a VM.
func (f *timedFleet) sendTimed(vm, customer int) {
	v, began, questions := f.views[vm], f.now, 0
	f.joinWhenDue(vm)
	a, step := v.BeginAdmission(f.instant(), f.customers[customer], thtable.Route{LatencyObjectiveMillis: 1000})
	var follow func(step thview.AdmissionStep)
	follow = func(step thview.AdmissionStep) {
		if f.views[vm] != v || f.down[vm] {
			return // the request has ended with its VM
		}
		c := &f.counts[customer]
		switch s := step.(type) {
		case thview.AskOwner:
			questions++
			c.questions++
			f.askTimed(vm, f.index(s.Owner.Key), s.Request, func(t *thfleet.Tokens) { follow(v.ContinueAdmission(f.instant(), a, t)) })
			return
		case thview.AwaitJoin:
			f.after(max(0, min(f.joinAt[vm], f.now+s.Until.Sub(f.instant()))-f.now), func() {
				f.joinWhenDue(vm)
				follow(v.ResumeAdmission(f.instant(), a))
			})
			return
		case thview.Admitted:
			c.admitted++
			c.times = append(c.times, f.now)
		case thview.LimitUnknown:
			c.unknown++
			c.refused++
			c.refusedQuestions += questions
		default:
			c.refused++
			c.refusedQuestions += questions
		}
		c.waited += f.now - began
		c.longest = max(c.longest, f.now-began)
	}
	follow(step)
}

func (f *timedFleet) roundTrip(a, b int) time.Duration {
	if f.ids[a].Zone == f.ids[b].Zone {
		return roundTripInZone
	}
	return roundTripBetweenZones
}

// askTimed asks a VM for tokens. The answer, or nil at the timeout, comes later.
func (f *timedFleet) askTimed(from, to int, r thfleet.TokenRequest, got func(t *thfleet.Tokens)) {
	asker, done := f.views[from], false
	end := func(t *thfleet.Tokens) {
		if !done && f.views[from] == asker && !f.down[from] {
			done = true
			got(t)
		}
	}
	f.after(questionTimeout, func() { end(nil) })
	if !f.arrives(from, to) {
		return
	}
	answer := func(t thfleet.Tokens) {
		if f.down[to] || !f.arrives(to, from) {
			return
		}
		n := f.views[to].Tokens(t)
		f.after(f.roundTrip(from, to)/2, func() {
			if f.views[from] == asker && !f.down[from] {
				asker.Receive(f.instant(), n)
				end(&t)
			}
		})
	}
	f.after(f.roundTrip(from, to)/2, func() {
		if f.down[to] {
			return
		}
		v := f.views[to]
		f.joinWhenDue(to)
		v.Receive(f.instant(), asker.TokenRequest(r))
		t, before := v.GiveTokens(f.instant(), r)
		if before == nil {
			answer(t)
			return
		}
		other, wait := f.index(before.Key), roundTripInZone
		isPresent := f.arrives(to, other) && f.arrives(other, to)
		if !isPresent {
			wait += presenceTimeout
			isPresent = f.arrives(to, other) && f.arrives(other, to)
		}
		f.after(wait, func() {
			if !isPresent {
				v.Fleet.Suspect(f.instant(), before.Key)
				t, _ = v.GiveTokens(f.instant(), r)
			}
			answer(t)
		})
	})
}

// resetCounts forgets what became of the requests so far, but not when some were admitted.
func (f *timedFleet) resetCounts() {
	for i, c := range f.counts {
		f.counts[i] = admissionCounts{times: c.times}
	}
}

// checkWindows fails if a customer was admitted more requests in a window than the
// platform's specification allows.
func (f *timedFleet) checkWindows(t *testing.T) {
	t.Helper()
	for i, c := range f.customers {
		g := &limitedFleet{customers: []thtable.Customer{c}, admitted: f.counts[i].times}
		assert.Assert(t, g.maxPerWindow() <= g.allowedPerWindow(), "customer %d: %d of %d", i, g.maxPerWindow(), g.allowedPerWindow())
	}
}

// loseVMs stops VMs at once.
func (f *timedFleet) loseVMs(vms []int) {
	for _, i := range vms {
		f.unreachable[i], f.down[i] = true, true
	}
}

// restartVMs restarts as many VMs, drawn at random, in five seconds.
func (f *timedFleet) restartVMs(count int) {
	for i := range count {
		f.after(time.Duration(i)*5*time.Second/time.Duration(count), func() { f.start(f.rng.IntN(len(f.views))) })
	}
}

// newLoadedFleet returns a fleet of 40 VMs in 3 zones that loses 3 % of its datagrams. The
// first customer has sent 8 times its limit for 15 s, the others the given share of theirs.
func newLoadedFleet(seed uint64, share float64) *timedFleet {
	customers := []thtable.Customer{{Name: "above", Rate: 18, Burst: 18}}
	for i := range 10 {
		rate := float64(2 + 2*i)
		customers = append(customers, thtable.Customer{Name: fmt.Sprintf("within-%d", i), Rate: rate, Burst: rate})
	}
	f := newTimedFleet(40, 3, seed, customers...)
	f.lossShare, f.joinDelay = 0.03, 300*time.Millisecond
	for i := 1; i < len(customers); i++ {
		f.load(i, share*customers[i].Rate, f.now+time.Hour)
	}
	f.load(0, 8*customers[0].Rate, f.now+15*time.Second)
	f.advance(15 * time.Second)
	f.resetCounts()
	return f
}

// Guards against requests within their limits that are refused because an owner was just
// lost, against limits that are exceeded meanwhile, and against questions, and their wait,
// for requests of a customer that all owners have refused.
func TestLimitsHoldAndAreUsableWhileOwnersAreLost(t *testing.T) {
	for _, c := range []struct {
		name string
		// share is what the customers within their limits send. A zone that is lost takes
		// a third of the limits with it.
		share float64
		// usable is the share of the limit that the customer above it must get.
		usable float64
		begin  func(f *timedFleet)
	}{
		{"calm", 0.6, 0.95, func(*timedFleet) {}},
		{"18 % of the VMs lost", 0.6, 0.8, func(f *timedFleet) { f.loseVMs(f.rng.Perm(40)[:7]) }},
		{"a zone lost", 0.4, 0.6, func(f *timedFleet) { f.loseVMs([]int{1, 4, 7, 10, 13, 16, 19, 22, 25, 28, 31, 34, 37}) }},
		{"8 VMs restarted", 0.6, 0.9, func(f *timedFleet) { f.restartVMs(8) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			var above, within admissionCounts
			for seed := range uint64(5) {
				f := newLoadedFleet(seed, c.share)
				f.load(0, 8*f.customers[0].Rate, f.now+time.Hour)
				c.begin(f)
				f.advance(5 * time.Second)
				for _, counts := range f.counts[1:] {
					within.add(counts)
				}
				f.advance(10 * time.Second)
				above.add(f.counts[0])
				f.checkWindows(t)
			}
			t.Logf("above its limit: %v", above)
			t.Logf("within their limits: %v", within)
			assert.Assert(t, within.refused*100 <= within.total(), "within their limits: %v", within)
			assert.Assert(t, within.questions*10 <= within.total()*12, "within their limits: %v", within)
			assert.Assert(t, above.refusedQuestions*2 < above.refused, "above its limit: %v", above)
			assert.Assert(t, float64(above.admitted) >= c.usable*18*15*5, "above its limit: %v", above)
		})
	}
}

// Guards against VMs that take a customer's owners for empty long after the customer is back
// within its limit.
func TestCustomerBackWithinItsLimitIsServed(t *testing.T) {
	var first, next admissionCounts
	for seed := range uint64(10) {
		f := newLoadedFleet(seed, 0.6)
		f.load(0, 0.8*f.customers[0].Rate, f.now+time.Hour)
		f.advance(3 * time.Second)
		first.add(f.counts[0])
		f.resetCounts()
		f.advance(3 * time.Second)
		next.add(f.counts[0])
	}
	t.Logf("first 3 s: %v; next 3 s: %v", first, next)
	assert.Assert(t, first.refused*4 <= first.total(), "first 3 s: %v", first)
	assert.Assert(t, next.refused*100 <= next.total(), "next 3 s: %v", next)
}

func (c *admissionCounts) add(o admissionCounts) {
	c.admitted += o.admitted
	c.refused += o.refused
	c.unknown += o.unknown
	c.questions += o.questions
	c.refusedQuestions += o.refusedQuestions
	c.waited += o.waited
	c.longest = max(c.longest, o.longest)
}

func (c admissionCounts) total() int { return c.admitted + c.refused }

func (c admissionCounts) String() string {
	n := float64(max(1, c.total()))
	return fmt.Sprintf("%d requests, %.4f refused (%d as unknown), %.2f questions each, %.2f if refused, wait %.1f ms on average, %v at most",
		c.total(), float64(c.refused)/n, c.unknown, float64(c.questions)/n, float64(c.refusedQuestions)/float64(max(1, c.refused)), c.waited.Seconds()*1000/n, c.longest)
}

// newScriptedView returns a view whose VM knows 60 others in two zones, and a customer of
// whose limit, which has four parts, it is in line for none.
func newScriptedView(seed uint64) (*thview.View, thtable.Customer) {
	now := thclock.At(time.Hour)
	v := thview.New(thview.Options{Self: thfleet.Identity{ID: "self", Zone: "zone-0"}, Rand: rand.New(rand.NewPCG(seed, 1))})
	for i := range 60 {
		id := thfleet.Identity{ID: fmt.Sprint("vm-", i), Zone: fmt.Sprint("zone-", i%2), Address: "10.0.0.2:1"}
		v.Receive(now, thfleet.Notice{From: thfleet.VMKeyOf(id.ID), StartMillis: 1, Sequence: 1, Identity: &id})
	}
	v.MarkJoined(now)
	isSelf := func(o thfleet.Owner) bool { return o.IsSelf }
	for i := 0; ; i++ {
		c := thtable.Customer{Name: fmt.Sprint("c-", i), Rate: 10, Burst: 10}
		parts := v.Fleet.LimitParts(now, thfleet.KeyOf(c.Name))
		if !slices.ContainsFunc(parts, func(p thfleet.Part) bool { return slices.ContainsFunc(p.Line, isSelf) }) {
			return v, c
		}
	}
}

// Guards against refusals by empty owners while others, which may have tokens, are silent or
// were not asked although there was time, and against questions that take too long.
func TestRequestAsksOnWhileTokensMayExist(t *testing.T) {
	token := &thfleet.Tokens{Thousandths: 1000}
	empty, notOwner := &thfleet.Tokens{RetryAfterMillis: 500}, &thfleet.Tokens{NotOwner: true}
	alwaysEmpty := [][]*thfleet.Tokens{{empty}, {empty}, {empty}, {empty}}
	for _, c := range []struct {
		name string
		// answers holds, for each of the four parts, the answers to the questions for it.
		answers   [][]*thfleet.Tokens
		took      time.Duration
		objective int64
		admitted  bool
		// questions is how many are asked if the request is refused.
		questions int
	}{
		{"two silent, the others empty", [][]*thfleet.Tokens{{nil, token}, {nil, empty}, {empty}, {empty}}, 20 * time.Millisecond, 1000, true, 0},
		{"silent once, the next in line does not take over", [][]*thfleet.Tokens{{nil, notOwner, token}, {empty}, {empty}, {empty}}, 20 * time.Millisecond, 1000, true, 0},
		{"one of four has a token", [][]*thfleet.Tokens{{empty}, {empty}, {empty}, {token}}, 10 * time.Millisecond, 1000, true, 0},
		{"answers are slow", alwaysEmpty, 30 * time.Millisecond, 1000, false, 2},
		{"the objective is short", alwaysEmpty, 15 * time.Millisecond, 200, false, 2},
		{"all silent", [][]*thfleet.Tokens{{nil, nil, nil, nil}, {nil, nil, nil, nil}, {nil, nil, nil, nil}, {nil, nil, nil, nil}}, 0, 1000, false, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				v, customer := newScriptedView(seed)
				now, questions, asked := thclock.At(time.Hour), 0, [4]int{}
				a, step := v.BeginAdmission(now, customer, thtable.Route{LatencyObjectiveMillis: c.objective})
				for s, ok := step.(thview.AskOwner); ok; s, ok = step.(thview.AskOwner) {
					answer := c.answers[s.Request.Part][asked[s.Request.Part]]
					asked[s.Request.Part]++
					questions++
					if now = now.Add(c.took); answer == nil {
						now = now.Add(thview.QuestionTimeout - c.took)
					}
					step = v.ContinueAdmission(now, a, answer)
				}
				_, admitted := step.(thview.Admitted)
				assert.Equal(t, admitted, c.admitted, "%#v after %v", step, asked)
				assert.Assert(t, admitted || questions == c.questions, "%d questions", questions)
			}
		})
	}
}

// Guards against questions to owners that have said when they have a token, against callers
// that are told a later time, and against a part that is taken for empty after a change of
// the limit.
func TestEmptyOwnersAreNotAskedBeforeTheirTime(t *testing.T) {
	v, customer := newScriptedView(1)
	now := thclock.At(time.Hour)
	request := func() (questions int, last thview.AdmissionStep) {
		a, step := v.BeginAdmission(now, customer, thtable.Route{})
		for s, ok := step.(thview.AskOwner); ok; s, ok = step.(thview.AskOwner) {
			questions++
			step = v.ContinueAdmission(now, a, &thfleet.Tokens{RetryAfterMillis: 300 + 100*uint16(s.Request.Part)})
		}
		return questions, step
	}
	questions, _ := request()
	assert.Equal(t, questions, 4)
	now = now.Add(100 * time.Millisecond)
	questions, step := request()
	assert.Equal(t, questions, 0)
	refused, ok := step.(thview.OverLimit)
	assert.Assert(t, ok, "%#v", step)
	assert.Equal(t, refused.RetryAfter, 200*time.Millisecond)
	assert.Equal(t, refused.Basis.Reason(), thview.OwnersCached)
	now = now.Add(200 * time.Millisecond)
	questions, _ = request()
	assert.Equal(t, questions, 1)
	customer.Rate = 20
	v.SetTable(thtable.New(thtable.Document{Customers: []thtable.Customer{customer}}))
	questions, _ = request()
	assert.Equal(t, questions, 4)
}
