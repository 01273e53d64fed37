package thlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thlimit"
	"tamarackhollow/core/throster"
)

// slow is a rate that adds nothing worth speaking of during a test.
const slow = 0.0001

func oneVM() (*thlimit.Layout, throster.VM) {
	v := throster.VM{ID: "vm00", Zone: "a", Incarnation: 1}
	return thlimit.NewLayout(throster.NewRoster(1, []throster.VM{v})), v
}

var start = thclock.At(time.Hour)

// holding returns a spender that has just been granted a lot of three tokens
// and has spent one of them.
func holding(t *testing.T, u thconfig.Customer) (*thlimit.Spender, *thlimit.Layout) {
	t.Helper()
	l, _ := oneVM()
	s := &thlimit.Spender{}
	var try thlimit.Try
	d := s.Admit(start, l, u, &try)
	assert.Equal(t, d.Verdict, thlimit.Asking)
	s.Answer(start, d.Ask.Ask.Part, thlimit.Grant{Status: thlimit.StatusGranted, Number: d.Ask.Ask.Number, Tokens: 3, LifeMillis: 2000})
	assert.Equal(t, s.Admit(start, l, u, &try).Verdict, thlimit.Admitted)
	return s, l
}

func TestLotEndsByEitherClock(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Rate: slow, Burst: 1}
	for _, c := range []struct {
		name       string
		mono, wall time.Duration
		want       thlimit.Verdict
	}{
		{"in time", 1999 * time.Millisecond, 1999 * time.Millisecond, thlimit.Admitted},
		{"after a pause", 2 * time.Second, 2 * time.Second, thlimit.Asking},
		{"after a suspend without monotonic time", 0, 2 * time.Second, thlimit.Asking},
		{"after a pause with the wall clock set back", 2 * time.Second, -time.Hour, thlimit.Asking},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, l := holding(t, u)
			now := thclock.Instant{Mono: start.Mono + c.mono, Wall: start.Wall + c.wall}
			assert.Equal(t, s.Admit(now, l, u, &thlimit.Try{}).Verdict, c.want)
		})
	}
}

func TestLotLifeCountsFromTheAsk(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Rate: slow, Burst: 1}
	l, _ := oneVM()
	s := &thlimit.Spender{}
	var try thlimit.Try
	d := s.Admit(start, l, u, &try)
	late := start.Add(1900 * time.Millisecond)
	s.Answer(late, d.Ask.Ask.Part, thlimit.Grant{Status: thlimit.StatusGranted, Number: d.Ask.Ask.Number, Tokens: 2, LifeMillis: 2000})
	assert.Equal(t, s.Admit(late, l, u, &try).Verdict, thlimit.Admitted)
	assert.Assert(t, s.Admit(start.Add(2*time.Second), l, u, &thlimit.Try{}).Verdict != thlimit.Admitted)
}

// homeWith returns a home that has kept the customer's only part for long.
func homeWith(u thconfig.Customer) (*thlimit.Home, thclock.Instant) {
	l, v := oneVM()
	h := thlimit.NewHome(v, freshFor)
	f := newFleet(1, u)
	h.Adopt(start, l)
	h.Accept(start, 1)
	h.Configure(start, f.config)
	return h, start.Add(365 * 24 * time.Hour)
}

func answer(h *thlimit.Home, now thclock.Instant, v throster.VM, a thlimit.Ask) thlimit.Grant {
	g, _ := h.Ask(now, v, a)
	return g
}

func ask(number uint64, need int) thlimit.Ask {
	return thlimit.Ask{Part: thlimit.Part{Customer: "depot"}, Number: number, Need: need}
}

func TestHomeWaitsForBothClocksBeforeALotEnds(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: 1000, Burst: 1}
	for _, c := range []struct {
		name       string
		mono, wall time.Duration
		want       thlimit.Status
	}{
		{"wall clock set forward", 10 * time.Millisecond, time.Hour, thlimit.StatusShort},
		{"wall clock set back", time.Hour, -time.Hour, thlimit.StatusShort},
		{"both passed", time.Hour, time.Hour, thlimit.StatusGranted},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, now := homeWith(u)
			a, b := throster.VM{ID: "a", Incarnation: 1}, throster.VM{ID: "b", Incarnation: 1}
			assert.Equal(t, answer(h, now, a, ask(1, 1)).Status, thlimit.StatusGranted)
			later := thclock.Instant{Mono: now.Mono + c.mono, Wall: now.Wall + c.wall}
			// The bucket fills once the lot has ended.
			answer(h, later, b, ask(1, 1))
			assert.Equal(t, answer(h, later.Add(time.Second), b, ask(2, 1)).Status, c.want)
		})
	}
}

func TestRefillIsDeafToTheWallClock(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: 1, Burst: 1}
	h, now := homeWith(u)
	a := throster.VM{ID: "a", Incarnation: 1}
	assert.Equal(t, answer(h, now, a, ask(1, 1)).Status, thlimit.StatusGranted)
	h.Report(now, a, []thlimit.Report{{Part: ask(1, 1).Part, Number: 1, Spent: 1, Done: true}})
	ahead := thclock.Instant{Mono: now.Mono, Wall: now.Wall + time.Hour}
	assert.Equal(t, answer(h, ahead, a, ask(2, 1)).Status, thlimit.StatusShort)
}

func TestRepeatedAskAndReportCountOnce(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: slow, Burst: 1}
	f := newFleet(1, u)
	f.advance(365 * 24 * time.Hour)
	h, now := f.nodes[0].home, f.nodes[0].clock()
	a := throster.VM{ID: "a", Incarnation: 1}
	q := ask(1, 1)
	assert.Equal(t, answer(h, now, a, q).Tokens, 1)
	assert.Equal(t, answer(h, now, a, q).Tokens, 1, "the same lot again")
	back := []thlimit.Report{{Part: q.Part, Number: 1, Done: true}}
	h.Report(now, a, back)
	h.Report(now, a, back)
	assert.Equal(t, answer(h, now, a, ask(2, 5)).Tokens, 1, "one token is all that the part has")
}

func TestRepeatedReportMakesNoRoom(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: 1000, Burst: 2}
	h, now := homeWith(u)
	a := throster.VM{ID: "a", Incarnation: 1}
	q := ask(1, 2)
	assert.Equal(t, answer(h, now, a, q).Tokens, 2)
	for range 5 {
		h.Report(now, a, []thlimit.Report{{Part: q.Part, Number: 1, Spent: 1}})
	}
	assert.Equal(t, answer(h, now.Add(100*time.Millisecond), a, ask(2, 9)).Tokens, 1, "one of the part's two tokens may still be spent")
}

func TestLotsBelongToOneIncarnation(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: slow, Burst: 1}
	h, now := homeWith(u)
	assert.Equal(t, answer(h, now, throster.VM{ID: "a", Incarnation: 1}, ask(1, 1)).Tokens, 1)
	second := throster.VM{ID: "a", Incarnation: 2}
	h.Report(now, second, []thlimit.Report{{Part: ask(1, 1).Part, Number: 1, Done: true}})
	assert.Equal(t, answer(h, now, second, ask(1, 1)).Status, thlimit.StatusShort)
}

// TestCuttingTheBucketAnewNeverAddsRate raises a burst so that the bucket gets
// more parts, while one home still goes by the old configuration.
func TestCuttingTheBucketAnewNeverAddsRate(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: 30, Burst: 20}
	f := newFleet(3, u)
	f.advance(takeoverWait + time.Minute)
	f.syncAll()
	u.Burst = 30
	f.setCustomer(u)
	behind, _ := f.nodes[0].layout.Home(thlimit.Part{Customer: "depot"})
	for end := f.now + freshFor; f.now < end; f.advance(10 * time.Millisecond) {
		for _, n := range f.nodes {
			if n.vm.ID != behind.ID {
				n.sync()
			}
			n.request()
			n.request()
		}
	}
	over := f.excess()
	assert.Assert(t, over <= tolerance, "over by %v of %d", over, len(f.admitted))
}

// TestTakeoverWaitsForTheFormerHome cuts a home off from the roster's changes,
// but from no spender, and removes it.
func TestTakeoverWaitsForTheFormerHome(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: 30, Burst: 12}
	f := newFleet(4, u)
	f.advance(takeoverWait + time.Minute)
	f.syncAll()
	former, _ := f.nodes[0].layout.Home(thlimit.Part{Customer: "depot"})
	f.setRoster(f.roster.WithoutVM(former.ID), 0)
	behind := f.nodes[0]
	if behind.vm.ID == former.ID {
		behind = f.nodes[1]
	}
	f.drain(20*time.Second, f.nodes, func(n *node) {
		if n.vm.ID != former.ID && n != behind {
			n.sync()
		}
	})
	over := f.excess()
	assert.Assert(t, over <= tolerance, "over by %v of %d", over, len(f.admitted))
}

// drain lets more requests come to each of the VMs than any limit allows.
func (f *fleet) drain(d time.Duration, ns []*node, each func(*node)) {
	for end := f.now + d; f.now < end; f.advance(10 * time.Millisecond) {
		for _, n := range ns {
			each(n)
			for range 2 {
				n.request()
			}
		}
	}
}

// TestHomeThatMissedItsOwnReplacement loses a part and gets it back within one
// look at the roster, while the VM between goes on by the roster between.
func TestHomeThatMissedItsOwnReplacement(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: 90, Burst: 30}
	f := newFleet(4, u)
	f.advance(takeoverWait + time.Minute)
	f.syncAll()
	part := thlimit.Part{Customer: "depot"}
	former, _ := f.nodes[0].layout.Home(part)
	own := f.node(former.ID)
	without := f.roster.WithoutVM(former.ID)
	second, _ := thlimit.NewLayout(without).Home(part)
	between := f.node(second.ID)
	f.setRoster(without, 0)
	between.sync()
	pair := []*node{own, between}
	// The former home is fresh a little longer, and finds itself in the roster
	// as ever; the one between has looked a moment before.
	f.drain(freshFor-50*time.Millisecond, pair, func(*node) {})
	between.sync()
	f.setRoster(without.WithVM(former), 0)
	f.drain(takeoverWait+freshFor, pair, func(*node) { own.sync() })
	over := f.excess()
	assert.Assert(t, over <= tolerance, "over by %v of %d", over, len(f.admitted))
}

// TestFormerIncarnationGivesNothing leaves a replaced VM running.
func TestFormerIncarnationGivesNothing(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: 30, Burst: 1}
	f := newFleet(2, u)
	f.advance(takeoverWait + time.Minute)
	f.syncAll()
	home, _ := f.nodes[0].layout.Home(thlimit.Part{Customer: "depot"})
	former := f.node(home.ID)
	home.Incarnation++
	f.setRoster(f.roster.WithVM(home), 0)
	f.start(home)
	f.drain(20*time.Second, f.nodes, func(n *node) { n.sync() })
	assert.Assert(t, former != f.node(home.ID))
	over := f.excess()
	assert.Assert(t, over <= tolerance, "over by %v of %d", over, len(f.admitted))
}

// TestPlannedStopLeavesNoGap stops a home while the roster stays as it is, as
// when the store is down.
func TestPlannedStopLeavesNoGap(t *testing.T) {
	for _, burst := range []int{1, 5, 60} {
		u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: 5, Burst: burst}
		f := newFleet(6, u)
		f.advance(takeoverWait + time.Minute)
		f.syncAll()
		f.drain(time.Second, f.nodes, func(*node) {})
		home, _ := f.nodes[0].layout.Home(thlimit.Part{Customer: "depot"})
		leaving := f.node(home.ID)
		leaving.leave()
		f.advance(100 * time.Millisecond)
		leaving.dead = true
		before := len(f.admitted)
		f.drain(10*time.Second, f.nodes, func(n *node) { n.sync() })
		assert.Assert(t, f.excess() <= tolerance)
		served := float64(len(f.admitted)-before) / 50
		assert.Assert(t, served >= 0.9, "burst %d: %.3f of the rate served", burst, served)
	}
}

// TestJoinTakesPartsOverAtOnce adds VMs one by one under full load.
func TestJoinTakesPartsOverAtOnce(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: 5, Burst: 1}
	f := newFleet(3, u)
	f.advance(takeoverWait + time.Minute)
	f.syncAll()
	for i := range 10 {
		v := throster.VM{ID: string(rune('a' + i)), Zone: "a", Incarnation: 1}
		f.setRoster(f.roster.WithVM(v), 0)
		f.start(v)
		f.drain(time.Second, f.nodes, func(n *node) { n.sync() })
	}
	assert.Assert(t, f.excess() <= tolerance)
	served := float64(len(f.admitted)) / 50
	assert.Assert(t, served >= 0.9, "%.3f of the rate served", served)
}

// TestNewCustomerIsServedAtOnce creates a customer while the homes are young.
func TestNewCustomerIsServedAtOnce(t *testing.T) {
	f := newFleet(3, thconfig.Customer{Name: "old", Deployment: "cordial", Rate: 1, Burst: 1})
	u := thconfig.Customer{Name: "new", Deployment: "cordial", Rate: 1, Burst: 12}
	f.setCustomer(u)
	f.syncAll()
	var try thlimit.Try
	f.nodes[0].admit("new", &try, 0)
	f.advance(100 * time.Millisecond)
	assert.Equal(t, len(f.admitted), 1)
}

// TestTakeoverMakesNoTokens spends the whole burst, and then removes the home.
func TestTakeoverMakesNoTokens(t *testing.T) {
	u := thconfig.Customer{Name: "depot", Deployment: "cordial", Rate: slow, Burst: 12}
	f := newFleet(4, u)
	f.advance(takeoverWait + 365*24*time.Hour)
	f.syncAll()
	f.drain(time.Second, f.nodes, func(n *node) { n.sync() })
	assert.Equal(t, len(f.admitted), 12)
	home, _ := f.nodes[0].layout.Home(thlimit.Part{Customer: "depot"})
	f.node(home.ID).dead = true
	f.setRoster(f.roster.WithoutVM(home.ID), 0)
	f.drain(20*time.Second, f.nodes, func(n *node) {
		if !n.dead {
			n.sync()
		}
	})
	assert.Equal(t, len(f.admitted), 12)
}
