package thgrant

import (
	"context"
	"fmt"

	"github.com/panjf2000/ants/v2"

	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thlimit"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thwire"
)

const (
	pathAsk    = "/limit/ask"
	pathReport = "/limit/report"
)

// reportCall carries reports that do not ride on an ask.
type reportCall struct {
	Reports []thlimit.Report `json:"reports"`
}

// reportAnswer answers a reportCall.
type reportAnswer struct{}

func newAskPool(log thevent.Logger) *ants.Pool {
	p, err := ants.NewPool(askWorkers, ants.WithNonblocking(true), ants.WithPanicHandler(func(v any) {
		log.Log(thevent.ControllerPanic, thevent.F("panic", fmt.Sprint(v)))
	}))
	if err != nil {
		panic(err) // only for options that contradict each other
	}
	return p
}

// send makes a call to a home in the background.
func (m *Limiter) send(s *spendShard, o *thlimit.Outgoing) {
	m.count.asks.Add(1)
	if o.Home.ID == m.o.Self.ID {
		g, _ := m.takeAsk(thwire.Sender{ID: m.o.Self.ID, Incarnation: m.o.Self.Incarnation}, o.Ask)
		s.answer(m.o.Clock.Now(), o.Ask.Part, g)
		return
	}
	if err := m.asks.Submit(func() { m.call(s, o) }); err != nil {
		m.askFailed(s, o)
	}
}

func (m *Limiter) call(s *spendShard, o *thlimit.Outgoing) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	g, err := thwire.Call[thlimit.Ask, thlimit.Grant](ctx, m.o.Client, o.Home.PeerAddress, pathAsk, o.Ask)
	if err != nil {
		m.askFailed(s, o)
		return
	}
	s.answer(m.o.Clock.Now(), o.Ask.Part, g)
}

func (m *Limiter) askFailed(s *spendShard, o *thlimit.Outgoing) {
	m.count.asksFailed.Add(1)
	s.failed(m.o.Clock.Now(), o.Ask.Part, o.Ask.Number)
}

// takeAsk answers a spender. The present is read before freshness is checked,
// so that a pause between the two shortens lots and never lengthens them.
func (m *Limiter) takeAsk(from thwire.Sender, a thlimit.Ask) (thlimit.Grant, error) {
	m.adopt()
	now := m.o.Clock.Now()
	u, known := m.o.Config().Customer(a.Part.Customer)
	fresh := m.o.CheckFresh() == nil
	if !known || !fresh {
		return thlimit.Grant{Status: thlimit.StatusNotHome, Number: a.Number}, nil
	}
	m.count.grants.Add(1)
	v := throster.VM{ID: from.ID, Incarnation: from.Incarnation}
	return m.homes[shardOf(u.Name)].ask(now, v, u, a), nil
}

func (m *Limiter) takeReports(from thwire.Sender, c reportCall) (reportAnswer, error) {
	now := m.o.Clock.Now()
	v := throster.VM{ID: from.ID, Incarnation: from.Incarnation}
	for _, r := range c.Reports {
		m.homes[shardOf(r.Part.Customer)].report(now, v, []thlimit.Report{r})
	}
	return reportAnswer{}, nil
}

// adopt takes up the newest roster.
func (m *Limiter) adopt() {
	r := m.o.Roster()
	if r.Version() == m.layout.Load().Roster().Version() {
		return
	}
	m.layout.Update(func(old *thlimit.Layout) (*thlimit.Layout, bool) {
		if r.Version() <= old.Roster().Version() {
			return old, false
		}
		l := thlimit.NewLayout(r)
		now := m.o.Clock.Now()
		for i := range m.homes {
			m.homes[i].adopt(now, l)
		}
		return l, true
	})
}

// flush gives back tokens that nobody spends and forgets what is idle.
func (m *Limiter) flush(ctx context.Context) {
	now := m.o.Clock.Now()
	rs := make([]thlimit.Report, 0, shards)
	for i := range m.spends {
		rs = append(rs, m.spends[i].flush(now)...)
		m.homes[i].prune(now)
	}
	m.report(ctx, rs)
}

// report tells the homes what became of lots.
func (m *Limiter) report(ctx context.Context, rs []thlimit.Report) {
	l := m.layout.Load()
	calls := make(map[string]*reportCall)
	for _, r := range rs {
		home, ok := l.Home(r.Part)
		if !ok {
			continue
		}
		m.count.reports.Add(1)
		if home.ID == m.o.Self.ID {
			_, _ = m.takeReports(thwire.Sender{ID: m.o.Self.ID, Incarnation: m.o.Self.Incarnation}, reportCall{[]thlimit.Report{r}})
			continue
		}
		c := calls[home.PeerAddress]
		if c == nil {
			c = &reportCall{}
			calls[home.PeerAddress] = c
		}
		c.Reports = append(c.Reports, r)
	}
	for address, c := range calls {
		m.sendReports(ctx, address, *c)
	}
}

// sendReports is not repeated: a lost report costs tokens and makes none.
func (m *Limiter) sendReports(ctx context.Context, address string, c reportCall) {
	send := func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		_, _ = thwire.Call[reportCall, reportAnswer](limited, m.o.Client, address, pathReport, c)
	}
	_ = m.asks.Submit(send)
}
