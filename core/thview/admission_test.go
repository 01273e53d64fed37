package thview_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The platform's specification allows, in any window, the limit times tolerance
// plus slack requests.
const (
	limitWindow    = 5 * time.Second
	limitTolerance = 1.1
	limitSlack     = 20
)

// limitedFleet simulates VMs that admit requests of one customer. Messages between VMs
// arrive at once, or never if one of the two is unreachable.
type limitedFleet struct {
	// customers are those of the routing table; request sends requests of the first.
	customers []thtable.Customer
	ids       []thfleet.Identity
	views     []*thview.View
	rng       *rand.Rand
	now       time.Duration
	// unreachable holds the VMs that no message leaves or reaches, and down those of them
	// that don't run.
	unreachable, down map[int]bool
	// lossShare is the share of messages that are lost.
	lossShare float64
	// joinDelay is how long VMs that start take until they know the others, and joinAt
	// holds when those that have not will.
	joinDelay time.Duration
	joinAt    map[int]time.Duration
	// starts counts the VMs' starts, for their start times.
	starts uint64
	// admitted holds the times of all admitted requests, in order.
	admitted []time.Duration
	refused  int
}

func newLimitedFleet(vms, zones int, customers ...thtable.Customer) *limitedFleet {
	f := &limitedFleet{
		customers: customers, views: make([]*thview.View, vms), rng: rand.New(rand.NewPCG(1, 2)), now: time.Hour,
		unreachable: map[int]bool{}, down: map[int]bool{}, joinAt: map[int]time.Duration{},
	}
	for i := range vms {
		f.ids = append(f.ids, thfleet.Identity{ID: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Address: fmt.Sprintf("10.0.0.1:%d", i+1)})
		f.start(i)
	}
	// The VMs have run for long before the script begins.
	f.run(10*time.Second, 0)
	return f
}

func (f *limitedFleet) instant() thclock.Instant { return thclock.At(f.now) }

// start starts or restarts a VM, which learns of all others and introduces itself.
func (f *limitedFleet) start(vm int) {
	f.starts++
	delete(f.down, vm)
	delete(f.unreachable, vm)
	v := thview.New(thview.Options{Self: f.ids[vm], StartMillis: f.starts, StartedAt: f.instant(), Rand: rand.New(rand.NewPCG(uint64(vm), f.starts))})
	v.SetTable(thtable.New(thtable.Document{Customers: f.customers}))
	f.views[vm] = v
	for _, id := range f.ids {
		v.Fleet.RecordPeer(f.instant(), id)
	}
	if f.joinAt[vm] = f.now + f.joinDelay; f.joinDelay == 0 {
		v.MarkJoined(f.instant())
	}
	f.broadcast(vm, func() thfleet.Notice { return v.Introduction(true) })
}

// joinWhenDue lets a VM that has started know all others once its joinDelay is over.
func (f *limitedFleet) joinWhenDue(vm int) {
	if f.joinDelay > 0 && f.now >= f.joinAt[vm] {
		f.views[vm].MarkJoined(f.instant())
	}
}

// arrives draws whether a message between two VMs arrives.
func (f *limitedFleet) arrives(from, to int) bool {
	return from != to && f.views[to] != nil && !f.unreachable[from] && !f.unreachable[to] && !f.down[to] && f.rng.Float64() >= f.lossShare
}

// broadcast sends a notice of one VM to all others, which answer introductions.
func (f *limitedFleet) broadcast(from int, notice func() thfleet.Notice) {
	for to := range f.views {
		f.send(from, to, notice())
	}
}

func (f *limitedFleet) send(from, to int, n thfleet.Notice) {
	if !f.arrives(from, to) {
		return
	}
	u := f.views[to].Receive(f.instant(), n)
	if n.WantsIdentity || u.SenderUnknown || n.Identity != nil && u.BecameLive {
		f.send(to, from, f.views[to].Introduction(u.SenderUnknown))
	}
	if u.ReportedLost {
		f.broadcast(to, func() thfleet.Notice { return f.views[to].Introduction(false) })
	}
}

func (f *limitedFleet) index(vm thfleet.VMKey) int {
	for i, id := range f.ids {
		if thfleet.VMKeyOf(id.ID) == vm {
			return i
		}
	}
	return -1
}

// probe lets every VM probe others, as the exchange of notices does.
func (f *limitedFleet) probe() {
	for i, v := range f.views {
		if f.down[i] {
			continue
		}
		probe, _ := v.Probe(f.instant())
		for _, p := range probe {
			f.send(i, f.index(p.Key), v.Introduction(true))
		}
		if p, ok := v.Fleet.RandomSilentPeer(f.rng); ok {
			f.send(i, f.index(p.Key), v.Introduction(true))
		}
		for _, o := range v.TakeNotices(f.instant()) {
			f.broadcast(i, func() thfleet.Notice { return o.Notice })
		}
	}
}

// ask asks a VM for tokens, as the exchange of notices does. It returns nil if the
// question or the answer is lost.
func (f *limitedFleet) ask(from, to int, r thfleet.TokenRequest) *thfleet.Tokens {
	if !f.arrives(from, to) {
		return nil
	}
	v := f.views[to]
	f.joinWhenDue(to)
	v.Receive(f.instant(), f.views[from].TokenRequest(r))
	t, before := v.GiveTokens(f.instant(), r)
	if before != nil && !f.isPresent(to, f.index(before.Key)) {
		v.Fleet.Suspect(f.instant(), before.Key)
		t, _ = v.GiveTokens(f.instant(), r)
	}
	if !f.arrives(to, from) {
		return nil
	}
	f.views[from].Receive(f.instant(), v.Tokens(t))
	return &t
}

// isPresent reports whether a VM answers one of two questions.
func (f *limitedFleet) isPresent(from, to int) bool {
	for range 2 {
		if f.ask(from, to, thfleet.TokenRequest{Kind: thfleet.NoTokens}) != nil {
			return true
		}
	}
	return false
}

// request sends one request to a VM that runs.
func (f *limitedFleet) request(vm int) {
	if f.down[vm] {
		return
	}
	v := f.views[vm]
	f.joinWhenDue(vm)
	a, step := v.BeginAdmission(f.instant(), f.customers[0], thtable.Route{})
	for {
		switch s := step.(type) {
		case thview.Admitted:
			f.admitted = append(f.admitted, f.now)
			return
		case thview.AskOwner:
			step = v.ContinueAdmission(f.instant(), a, f.ask(vm, f.index(s.Owner.Key), s.Request))
		default:
			f.refused++
			return
		}
	}
}

// run lets the time pass, with requests at random times, perSecond on average, to VMs
// drawn from the given ones, or from all if none are given.
func (f *limitedFleet) run(span time.Duration, perSecond float64, vms ...int) {
	for until := f.now + span; f.now < until; {
		next := until
		if perSecond > 0 {
			next = f.now + time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second))
		}
		for probeAt := f.now.Truncate(thfleet.ProbeInterval) + thfleet.ProbeInterval; probeAt <= min(next, until); probeAt += thfleet.ProbeInterval {
			f.now = probeAt
			f.probe()
		}
		if f.now = next; f.now >= until {
			break
		}
		if len(vms) == 0 {
			f.request(f.rng.IntN(len(f.views)))
		} else {
			f.request(vms[f.rng.IntN(len(vms))])
		}
	}
}

// maxPerWindow returns the largest number of requests admitted in any window.
func (f *limitedFleet) maxPerWindow() int {
	largest, begin := 0, 0
	for end := range f.admitted {
		for f.admitted[end]-f.admitted[begin] > limitWindow {
			begin++
		}
		largest = max(largest, end-begin+1)
	}
	return largest
}

// allowedPerWindow returns the largest number of requests that the platform's
// specification allows in a window.
func (f *limitedFleet) allowedPerWindow() int {
	return int((f.customers[0].Rate*limitWindow.Seconds()+f.customers[0].Burst)*limitTolerance) + limitSlack
}

// limited returns a customer with the rate and an equal burst.
func limited(rate float64) thtable.Customer {
	return thtable.Customer{Name: "c", Rate: rate, Burst: rate}
}

// A customer that sends five times its rate must not exceed the limit beyond the
// tolerance, also while some VMs are isolated.
func TestCustomerFarOverItsRateStaysWithinTolerance(t *testing.T) {
	for _, c := range []struct {
		name     string
		rate     float64
		isolated int
	}{
		{"small", 2, 0},
		{"large", 40, 0},
		{"6 of 32 VMs isolated", 18, 6},
		{"16 of 32 VMs isolated", 18, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newLimitedFleet(32, 3, limited(c.rate))
			f.run(10*time.Second, 5*c.rate)
			for i := range c.isolated {
				f.unreachable[i] = true
			}
			f.run(30*time.Second, 5*c.rate)
			assert.Assert(t, f.maxPerWindow() <= f.allowedPerWindow(), "%d of %d", f.maxPerWindow(), f.allowedPerWindow())
		})
	}
}

// At most one in a thousand requests of a customer within its rate may be refused.
func TestCustomerWithinItsRateIsRarelyRefused(t *testing.T) {
	for _, vms := range []int{1, 2, 32, 444} {
		f := newLimitedFleet(vms, min(vms, 3), limited(16))
		f.run(time.Minute, 10)
		assert.Assert(t, f.refused*1000 <= len(f.admitted), "%d VMs: %d refused of %d", vms, f.refused, len(f.admitted))
	}
}

// Half of the VMs are lost, and with them the owners of parts of the limit. For three
// seconds, at most one in twenty requests of a customer within its rate may then be
// refused.
func TestLossOfHalfTheVMsRefusesFewRequestsForThreeSeconds(t *testing.T) {
	var refused, admitted int
	for seed := range uint64(20) {
		f := newLimitedFleet(32, 3, limited(16))
		f.rng = rand.New(rand.NewPCG(5, seed))
		f.run(20*time.Second, 10)
		vms := f.rng.Perm(32)
		for _, i := range vms[:16] {
			f.unreachable[i], f.down[i] = true, true
		}
		refusedBefore, admittedBefore := f.refused, len(f.admitted)
		f.run(3*time.Second, 10, vms[16:]...)
		refused += f.refused - refusedBefore
		admitted += len(f.admitted) - admittedBefore
	}
	assert.Assert(t, refused*20 <= admitted, "%d refused, %d admitted", refused, admitted)
}

// All VMs restart at once: the limit holds from the first request, and requests within
// the rate are served again soon.
func TestLimitHoldsThroughRestartOfAllVMs(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		// maxRefusedShare is the share of requests after the restart that may be refused.
		maxRefusedShare float64
		// joinDelay is how long VMs take to know each other.
		joinDelay time.Duration
	}{{10, 0.1, 0}, {80, 1, 0}, {10, 0.1, 300 * time.Millisecond}, {80, 1, 300 * time.Millisecond}} {
		f := newLimitedFleet(32, 3, limited(16))
		f.run(20*time.Second, c.perSecond)
		refusedBefore, admittedBefore := f.refused, len(f.admitted)
		f.joinDelay = c.joinDelay
		f.now += c.joinDelay // VMs that take long to know each other were down for longer
		for i := range f.views {
			f.start(i)
		}
		f.run(5*time.Second, c.perSecond)
		assert.Assert(t, f.maxPerWindow() <= f.allowedPerWindow(), "%d of %d", f.maxPerWindow(), f.allowedPerWindow())
		refused, admitted := float64(f.refused-refusedBefore), float64(len(f.admitted)-admittedBefore)
		assert.Assert(t, refused <= c.maxRefusedShare*(refused+admitted), "%.0f refused, %.0f admitted", refused, admitted)
	}
}

// TestLimitHoldsInDrawnScripts draws joins, restarts, crashes, VMs that are cut off for a
// while, and lost messages, while a customer sends up to six times its rate.
func TestLimitHoldsInDrawnScripts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 24).Draw(t, "vms")
		f := newLimitedFleet(vms, rapid.IntRange(1, 4).Draw(t, "zones"), limited(float64(rapid.IntRange(1, 60).Draw(t, "rate"))))
		f.lossShare = rapid.SampledFrom([]float64{0, 0.03, 0.2}).Draw(t, "loss")
		perSecond := f.customers[0].Rate * rapid.Float64Range(0.2, 6).Draw(t, "load")
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				f.unreachable[vm], f.down[vm] = true, true
			case 1:
				f.start(vm)
			case 2:
				f.unreachable[vm] = true
			case 3:
				if !f.down[vm] {
					delete(f.unreachable, vm)
				}
			}
			f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis"))*time.Millisecond, perSecond)
		}
		assert.Assert(t, f.maxPerWindow() <= f.allowedPerWindow(), "%d of %d", f.maxPerWindow(), f.allowedPerWindow())
	})
}

// TestPartIsNotGivenOutTwiceAroundHandOver lets another VM own a part for a moment. When
// the part comes back, the VM must not give out what it had before, since the other may
// have given out the same.
func TestPartIsNotGivenOutTwiceAroundHandOver(t *testing.T) {
	c := limited(40)
	now := thclock.At(2 * time.Hour)
	v := thview.New(thview.Options{Self: thfleet.Identity{ID: "self", Zone: "z", Address: "10.0.0.1:1"}, Rand: rand.New(rand.NewPCG(1, 1))})
	v.SetTable(thtable.New(thtable.Document{Customers: []thtable.Customer{c}}))
	v.MarkJoined(now)
	sequence := uint32(0)
	receive := func(id string, lost ...string) {
		sequence++
		n := thfleet.Notice{From: thfleet.VMKeyOf(id), StartMillis: 1, Sequence: sequence, Identity: &thfleet.Identity{ID: id, Zone: "z", Address: "10.0.0.2:1"}}
		for _, l := range lost {
			n.Lost = append(n.Lost, thfleet.Loss{VM: thfleet.VMKeyOf(l), StartMillis: 1})
		}
		v.Receive(now, n)
	}
	request := thfleet.TokenRequest{Kind: thfleet.CustomerTokens, Key: thfleet.KeyOf(c.Name), Thousandths: 1000}
	// The first VM that takes a part away from this one.
	other := ""
	for i := 0; other == ""; i++ {
		id := fmt.Sprint("vm-", i)
		receive(id)
		for part := range uint8(3) {
			if p, _, _ := v.Fleet.LimitPart(now, request.Key, part); !p.Line[0].IsSelf {
				other, request.Part = id, part
			}
		}
		if other != "" {
			receive("reporter-" + id) // it reports the loss below
		}
	}
	lose := func() {
		now = now.Add(10 * time.Second)
		receive("reporter-"+other, other)
	}
	lose()
	now = now.Add(time.Minute)
	p, _, _ := v.Fleet.LimitPart(now, request.Key, request.Part)
	assert.Assert(t, p.Line[0].IsSelf)
	given := func() (n int) {
		for ; ; n++ {
			if tokens, _ := v.GiveTokens(now, request); tokens.Thousandths == 0 {
				return n
			}
		}
	}
	tokens, _ := v.GiveTokens(now, request)
	assert.Assert(t, tokens.Thousandths > 0)
	receive(other)
	lose()
	assert.Assert(t, given() <= 2, "the part's burst is given out again")
	now = now.Add(time.Minute)
	receive("reporter-" + other) // a VM that hears no other takes itself for isolated
	assert.Assert(t, given() >= 10, "the part's burst is not given out any more")
}
