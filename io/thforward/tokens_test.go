package thforward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thforward"
	"tamarackhollow/io/thingress"
	"tamarackhollow/io/thsend"

	"gotest.tools/v3/assert"
)

// askingFixture is a forwarder of a VM that knows three other VMs, and the questions that
// it has asked them.
type askingFixture struct {
	forwarder *thforward.Forwarder
	sender    *fakeSender
	asked     []thfleet.TokenRequest
	// recorded holds what was recorded for metrics.
	recorded []string
}

// newAskingFixture returns a fixture whose other VMs answer questions with the tokens that
// answer returns, or not at all if it returns false.
func newAskingFixture(rule thpick.RetryBudgetRule, answer func(r thfleet.TokenRequest) (thfleet.Tokens, bool)) *askingFixture {
	g := &askingFixture{sender: &fakeSender{}}
	clock := thclock.System{}
	v := thview.New(thview.Options{
		Self: thfleet.Identity{ID: "vm", Zone: "z"}, RetryBudgetRule: rule, StartedAt: clock.Now(), Rand: rand.New(rand.NewPCG(1, 2)),
	})
	v.MarkJoined(clock.Now())
	for i := range 3 {
		id := thfleet.Identity{ID: fmt.Sprintf("other-%d", i), Zone: "z", Address: fmt.Sprintf("10.0.0.%d:1", i+1)}
		v.Receive(clock.Now(), thfleet.Notice{From: thfleet.VMKeyOf(id.ID), StartMillis: 1, Sequence: 1, Identity: &id})
	}
	table := thtable.New(thtable.Document{Version: 1, Services: []thtable.Service{{Name: "s", MaxConnections: 110}}})
	g.forwarder = thforward.New(thforward.Options{
		View: v, Table: func() thtable.Table { return table }, Sender: g.sender, Clock: clock, NotifyPeers: func() {},
		Ask: func(_ thfleet.Peer, r thfleet.TokenRequest) (thfleet.Tokens, bool) {
			g.asked = append(g.asked, r)
			return answer(r)
		},
		RecordLimitQuestion: func(answer string) { g.recorded = append(g.recorded, answer) },
		RecordLimitRefusal:  func(r thview.AdmissionReason) { g.recorded = append(g.recorded, "refused "+r.String()) },
	})
	var ts []thtable.Target
	for i := range 6 {
		ts = append(ts, thtable.Target{ID: fmt.Sprint(i), Service: "s", Slots: 2})
	}
	g.forwarder.SetTargets(ts)
	return g
}

// customerOfOthers returns the name of a customer of whose limit the VM is in line for no
// part.
func (g *askingFixture) customerOfOthers() (name string) {
	isSelf := func(o thfleet.Owner) bool { return o.IsSelf }
	g.forwarder.WithView(func(now thclock.Instant, v *thview.View) {
		for i := 0; name == ""; i++ {
			parts := v.Fleet.LimitParts(now, thfleet.KeyOf(fmt.Sprint(i)))
			if !slices.ContainsFunc(parts, func(p thfleet.Part) bool { return slices.ContainsFunc(p.Line[:3], isSelf) }) {
				name = fmt.Sprint(i)
			}
		}
	})
	return name
}

// A VM that has just started has no retries of its own. It must borrow one, and pass on
// the target's failure if it cannot.
func TestRetryIsBorrowedOrNotMade(t *testing.T) {
	for _, c := range []struct {
		name         string
		answer       func(r thfleet.TokenRequest) (thfleet.Tokens, bool)
		wantAttempts int
		wantStatus   int
		maxAsked     int
	}{
		{"lent", func(r thfleet.TokenRequest) (thfleet.Tokens, bool) {
			return thfleet.Tokens{Thousandths: r.Thousandths}, true
		}, 2, 200, 1},
		{"lent by two", func(r thfleet.TokenRequest) (thfleet.Tokens, bool) {
			return thfleet.Tokens{Thousandths: min(600, r.Thousandths)}, true
		}, 2, 200, 2},
		{"nothing left", func(thfleet.TokenRequest) (thfleet.Tokens, bool) { return thfleet.Tokens{}, true }, 1, 500, 3},
		{"no answer", func(thfleet.TokenRequest) (thfleet.Tokens, bool) { return thfleet.Tokens{}, false }, 1, 500, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newAskingFixture(thpick.RetryBudgetRule{Window: 10 * time.Second, Slack: 6}, c.answer)
			g.sender.attempt = func(_ context.Context, number int) thsend.Result {
				if number == 1 {
					return failed
				}
				return answered
			}
			a, refusal := g.forwarder.Forward(context.Background(), newRequest(thtable.Idempotent, time.Second))
			assert.Assert(t, refusal == nil)
			assert.Equal(t, a.Status, c.wantStatus)
			assert.Equal(t, len(g.sender.attempts()), c.wantAttempts)
			assert.Assert(t, len(g.asked) <= c.maxAsked, "%+v", g.asked)
		})
	}
}

// A VM that has asked in vain must not ask for each failed request.
func TestVainQuestionsForRetriesArePaused(t *testing.T) {
	g := newAskingFixture(thpick.RetryBudgetRule{Window: 10 * time.Second, Slack: 6}, func(thfleet.TokenRequest) (thfleet.Tokens, bool) {
		return thfleet.Tokens{}, true
	})
	g.sender.attempt = func(context.Context, int) thsend.Result { return failed }
	for range 5 {
		_, refusal := g.forwarder.Forward(context.Background(), newRequest(thtable.Idempotent, time.Second))
		assert.Assert(t, refusal == nil)
	}
	assert.Assert(t, len(g.asked) <= 3, "%d questions", len(g.asked))
}

// The owners of a customer's limit decide on a request, and a refusal says whether the
// customer is over its limit or no owner answers.
func TestAdmitFollowsOwnersOfLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(r thfleet.TokenRequest) (thfleet.Tokens, bool)
		want   therror.Kind
		// isRefused is set if the request must be refused with an error of that kind.
		isRefused bool
		// logged is one of the refusal's log fields.
		logged string
		// recorded begins what is recorded for metrics if a refused request is sent twice.
		recorded string
	}{
		{"token", func(r thfleet.TokenRequest) (thfleet.Tokens, bool) {
			return thfleet.Tokens{Thousandths: r.Thousandths}, true
		}, 0, false, "", "[token]"},
		{"no tokens left", func(thfleet.TokenRequest) (thfleet.Tokens, bool) {
			return thfleet.Tokens{RetryAfterMillis: 700}, true
		}, therror.OverLimit, true, "{reason empty} {cachedOwners 0} {emptyOwners 3}", "[empty empty empty refused empty refused cached]"},
		{"no answer", func(thfleet.TokenRequest) (thfleet.Tokens, bool) { return thfleet.Tokens{}, false }, therror.LimitUnknown, true, "{silentOwners 5}", "[silent silent silent silent silent refused silent"},
		{"not the owner", func(thfleet.TokenRequest) (thfleet.Tokens, bool) { return thfleet.Tokens{NotOwner: true}, true }, therror.LimitUnknown, true, "{emptyOwners 0}", "[notOwner notOwner notOwner refused notAsked notOwner notOwner notOwner refused notAsked]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newAskingFixture(thpick.RetryBudgetRule{}, c.answer)
			customer := thtable.Customer{Name: g.customerOfOthers(), Rate: 1, Burst: 1}
			refusal := g.forwarder.Admit(customer, thtable.Route{})
			if refusal != nil {
				g.forwarder.Admit(customer, thtable.Route{})
			}
			assert.Assert(t, strings.HasPrefix(fmt.Sprint(g.recorded), c.recorded), "%v", g.recorded)
			if !c.isRefused {
				assert.Assert(t, refusal == nil)
				return
			}
			assert.Assert(t, refusal != nil)
			assert.Assert(t, therror.Is(refusal.Err, c.want), "%v", refusal.Err)
			assert.Assert(t, refusal.RetryAfter > 0)
			logged := fmt.Sprint(refusal.LogFields)
			for _, field := range []string{"{rate 1}", "{burst 1}", "{vmsLive 4}", "{vmsKnown 4}", c.logged} {
				assert.Assert(t, strings.Contains(logged, field), "%s in %s", field, logged)
			}
		})
	}
}

// A refusal by the VM that owns a part of the limit says what that part had left.
func TestRefusalByOwnPartIsLoggedWithItsTokens(t *testing.T) {
	g := newAskingFixture(thpick.RetryBudgetRule{}, func(thfleet.TokenRequest) (thfleet.Tokens, bool) { return thfleet.Tokens{}, true })
	for i := range 100 {
		c := thtable.Customer{Name: fmt.Sprint(i), Rate: 0.001, Burst: 1}
		refusal := g.forwarder.Admit(c, thtable.Route{})
		for refusal == nil {
			refusal = g.forwarder.Admit(c, thtable.Route{})
		}
		logged := fmt.Sprint(refusal.LogFields)
		if !strings.Contains(logged, "{ownShare") {
			continue // it owns no part of this customer's limit
		}
		for _, field := range []string{"{ownTokens 0.", "{ownedMillis "} {
			assert.Assert(t, strings.Contains(logged, field), "%s in %s", field, logged)
		}
		return
	}
	t.Fatal("the VM owns no part of a customer's limit")
}

// A target accepts a number of connections from all VMs together.
func TestConnectionLimitIsDividedAmongVMs(t *testing.T) {
	g := newAskingFixture(thpick.RetryBudgetRule{}, nil)
	g.sender.attempt = func(context.Context, int) thsend.Result { return answered }
	_, refusal := g.forwarder.Forward(context.Background(), newRequest(thtable.Idempotent, time.Second))
	assert.Assert(t, refusal == nil)
	assert.Equal(t, g.sender.options.MaxConnections, 110/4)
	g.forwarder.WithView(func(now thclock.Instant, v *thview.View) {
		assert.Equal(t, v.ConnectionShare(now, 0), 0)
		assert.Equal(t, v.ConnectionShare(now, 3), 1)
	})
}

// While a VM joins the fleet it admits few requests of a customer, as all other VMs may do the
// same. Further ones wait until it has joined, which takes less time than a refused caller
// stays away, and are refused if that takes long.
func TestRequestsWaitUntilVMHasJoined(t *testing.T) {
	for _, c := range []struct {
		name      string
		joins     bool
		isRefused bool
	}{{"the VM joins", true, false}, {"the VM does not join", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			clock := thclock.System{}
			v := thview.New(thview.Options{Self: thfleet.Identity{ID: "vm", Zone: "z"}, StartedAt: clock.Now(), Rand: rand.New(rand.NewPCG(1, 2))})
			f := thforward.New(thforward.Options{View: v, Clock: clock})
			customer, route := thtable.Customer{Name: "c", Rate: 100, Burst: 100}, thtable.Route{LatencyObjectiveMillis: 1000}
			assert.Assert(t, f.Admit(customer, route) == nil, "the first request was refused")
			decided := make(chan *thingress.Refusal, 1)
			go func() { decided <- f.Admit(customer, route) }()
			if c.joins {
				time.Sleep(20 * time.Millisecond)
				f.MarkJoined()
			}
			refusal := <-decided
			assert.Equal(t, refusal != nil, c.isRefused)
			if c.isRefused {
				assert.Assert(t, therror.Is(refusal.Err, therror.LimitUnknown), "%v", refusal.Err)
				assert.Assert(t, refusal.RetryAfter > 0)
			}
		})
	}
}
