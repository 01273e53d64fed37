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
	pathRecall = "/limit/recall"
)

// reportCall carries reports that do not ride on an ask.
type reportCall struct {
	// Spender is whose lots they are; a former home may send them on.
	Spender     string           `json:"spender"`
	Incarnation uint64           `json:"incarnation"`
	Reports     []thlimit.Report `json:"reports"`
}

// recallCall asks for advance tokens back.
type recallCall struct {
	Part thlimit.Part `json:"part"`
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
	s.failed(m.o.Clock.Now(), m.layout.Load(), o.Ask.Part, o.Ask.Number)
}

// takeAsk answers a spender. The present is read before freshness is checked,
// so that a pause between the two shortens lots and never lengthens them.
func (m *Limiter) takeAsk(from thwire.Sender, a thlimit.Ask) (thlimit.Grant, error) {
	m.adopt()
	now := m.o.Clock.Now()
	if m.o.CheckFresh() != nil {
		return thlimit.Grant{Status: thlimit.StatusNotHome, Number: a.Number}, nil //nolint:nilerr // the spender asks elsewhere
	}
	m.count.grants.Add(1)
	v := throster.VM{ID: from.ID, Incarnation: from.Incarnation}
	g, ids := m.homes[shardOf(a.Part.Customer)].ask(now, v, a)
	for _, id := range ids {
		m.background(func() { m.recall(id, a.Part) })
	}
	return g, nil
}

// recall fetches back what a VM holds of a part in advance.
func (m *Limiter) recall(id string, p thlimit.Part) {
	v, ok := m.layout.Load().Roster().VM(id)
	if !ok {
		return
	}
	if v.ID == m.o.Self.ID {
		a, _ := m.takeRecall(thwire.Sender{}, recallCall{p})
		_, _ = m.takeReports(thwire.Sender{}, a)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	a, err := thwire.Call[recallCall, reportCall](ctx, m.o.Client, v.PeerAddress, pathRecall, recallCall{p})
	if err == nil {
		_, _ = m.takeReports(thwire.Sender{}, a)
	}
}

// takeRecall gives back what this VM holds of a part in advance.
func (m *Limiter) takeRecall(_ thwire.Sender, c recallCall) (reportCall, error) {
	rs := m.spends[shardOf(c.Part.Customer)].recall(c.Part)
	return reportCall{m.o.Self.ID, m.o.Self.Incarnation, rs}, nil
}

func (m *Limiter) takeReports(_ thwire.Sender, c reportCall) (reportAnswer, error) {
	now := m.o.Clock.Now()
	v := throster.VM{ID: c.Spender, Incarnation: c.Incarnation}
	on := make([]thlimit.Notice, 0, len(c.Reports))
	for _, r := range c.Reports {
		on = append(on, m.homes[shardOf(r.Part.Customer)].report(now, v, []thlimit.Report{r})...)
	}
	m.notifyFor(v, on, m.background)
	return reportAnswer{}, nil
}

// adopt takes up the newest roster and configuration.
func (m *Limiter) adopt() {
	m.adoptRoster()
	m.adoptConfig()
}

func (m *Limiter) adoptRoster() {
	before := m.layout.Load().Roster()
	r := m.o.Roster()
	if r.Version() <= before.Version() {
		return
	}
	changed := m.layout.Update(func(old *thlimit.Layout) (*thlimit.Layout, bool) {
		if r.Version() <= old.Roster().Version() {
			return old, false
		}
		l := thlimit.NewLayout(r)
		for i := range m.homes {
			m.homes[i].adopt(m.o.Clock.Now(), l)
		}
		return l, true
	})
	if !changed {
		return
	}
	m.o.Log.Log(thevent.LimitHomeTaken, thevent.F("roster", r.Version()))
	if before.Len() > 0 {
		m.background(m.lose)
	}
	m.follow(context.Background())
}

// follow tells the homes when the VM is fresh and what has been accepted. It
// looks at freshness before it looks for a newer roster.
func (m *Limiter) follow(context.Context) {
	now := m.o.Clock.Now()
	fresh := m.o.CheckFresh() == nil
	version := m.o.Roster().Version()
	confirmed := fresh && version == m.layout.Load().Roster().Version()
	if m.o.Accepted != nil {
		version = m.o.Accepted()
	}
	gained := false
	for i := range m.homes {
		if confirmed {
			m.homes[i].confirm(now)
		}
		gained = m.homes[i].accept(now, version) || gained
	}
	m.count.follows.Add(1)
	if gained && member(m.layout.Load().Roster(), m.o.Self) && !m.member.Swap(true) {
		m.background(m.pullGained)
	}
}

func member(r throster.Roster, v throster.VM) bool {
	o, ok := r.VM(v.ID)
	return ok && o.Incarnation == v.Incarnation
}

func (m *Limiter) adoptConfig() {
	c := m.o.Config()
	if c.Version() == m.configured.Load() {
		return
	}
	m.configured.Update(func(old uint64) (uint64, bool) {
		if c.Version() <= old {
			return old, false
		}
		for i := range m.homes {
			m.homes[i].configure(m.o.Clock.Now(), c)
		}
		return c.Version(), true
	})
}

// flush gives back tokens that nobody spends and forgets what is idle.
func (m *Limiter) flush(context.Context) {
	now := m.o.Clock.Now()
	for i := range m.spends {
		m.notify(m.spends[i].flush(now, m.layout.Load()), m.background)
		m.homes[i].prune(now)
	}
	m.offerMoving(now)
}

// notify tells homes what became of this VM's lots.
func (m *Limiter) notify(ns []thlimit.Notice, run func(func())) {
	m.count.reports.Add(uint64(len(ns)))
	m.notifyFor(m.o.Self, ns, run)
}

// notifyFor makes one call to each home. None is repeated: a lost report costs
// tokens and makes none.
func (m *Limiter) notifyFor(spender throster.VM, ns []thlimit.Notice, run func(func())) {
	if len(ns) == 0 {
		return
	}
	calls := make(map[string]*reportCall)
	for _, n := range ns {
		c := calls[n.Home.PeerAddress]
		if c == nil {
			c = &reportCall{Spender: spender.ID, Incarnation: spender.Incarnation}
			calls[n.Home.PeerAddress] = c
		}
		c.Reports = append(c.Reports, n.Report)
	}
	for address, c := range calls {
		run(func() { m.sendReports(address, *c) })
	}
}

func (m *Limiter) sendReports(address string, c reportCall) {
	if address == m.o.Self.PeerAddress {
		_, _ = m.takeReports(thwire.Sender{}, c)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_, _ = thwire.Call[reportCall, reportAnswer](ctx, m.o.Client, address, pathReport, c)
}

// background runs a task on a worker, or not at all if none is free.
func (m *Limiter) background(task func()) { _ = m.asks.Submit(task) }
