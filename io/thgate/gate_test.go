package thgate_test

import (
	"context"
	"testing"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
	"tamarackhollow/io/thgate"

	"gotest.tools/v3/assert"
)

// counter is a Sender that counts what it sends.
type counter int

func (c *counter) Send(_ context.Context, target string, _ *threquest.Request) threquest.Attempt {
	*c++
	return threquest.Attempt{Target: target, Answer: &threquest.Answer{Status: 200}, Sent: true}
}

func next(t *testing.T, c thconfig.Config, change thconfig.Change) thconfig.Config {
	t.Helper()
	r, err := thconfig.NextRecord(c, "change", change)
	assert.NilError(t, err)
	c, err = c.WithRecord(r)
	assert.NilError(t, err)
	return c
}

// TestKeyIsLookedAtOnceMore lets a request in and then changes the world before
// it is sent, as a pause or a wait in a queue would.
func TestKeyIsLookedAtOnceMore(t *testing.T) {
	var before thconfig.Config
	before = next(t, before, thconfig.PutDeployment{
		Deployment: thconfig.Deployment{Name: "cordial"},
		Customers:  []thconfig.Customer{{Name: "depot", Rate: 1, Burst: 1}, {Name: "other", Rate: 1, Burst: 1}},
	})
	text, key := thconfig.NewKey("depot", "k1", []byte("secret"))
	before = next(t, before, thconfig.IssueKey{Key: key})
	customer, ok := before.Authenticate(text)
	assert.Assert(t, ok)
	after := next(t, before, thconfig.WithdrawKey{ID: "k1"})
	stale := therror.New(therror.NotFresh, "stale")
	keyed := &threquest.Request{Customer: customer, KeyID: thconfig.KeyID(text)}
	cases := []struct {
		name    string
		request *threquest.Request
		config  thconfig.Config
		fresh   error
		want    therror.Kind
		sent    bool
	}{
		{name: "in force", request: keyed, config: before, sent: true},
		{name: "withdrawn", request: keyed, config: after, want: therror.KeyUnknown},
		{name: "stale", request: keyed, config: before, fresh: stale, want: therror.NotFresh},
		{name: "another's key", request: &threquest.Request{Customer: thconfig.Customer{Name: "other"}, KeyID: "k1"}, config: before, want: therror.KeyUnknown},
		{name: "no key", request: &threquest.Request{}, config: before, want: therror.KeyUnknown},
		{name: "open route", request: &threquest.Request{Route: thconfig.Route{Open: true}}, config: after, fresh: stale, sent: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var sent counter
			g := thgate.Gate{
				Next: &sent, Clock: thclock.System{},
				Config:     func() thconfig.Config { return c.config },
				CheckFresh: func() error { return c.fresh },
			}
			a := g.Send(t.Context(), "127.0.0.1:1", c.request)
			assert.Equal(t, sent == 1, c.sent)
			assert.Equal(t, a.Sent, c.sent)
			if !c.sent {
				assert.Equal(t, therror.KindOf(a.Err), c.want, "%v", a.Err)
			}
		})
	}
}
