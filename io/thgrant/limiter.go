// Package thgrant admits requests within their customers' rates and bursts,
// counted over all VMs together. It carries the decisions of package thlimit
// between VMs.
package thgrant

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/panjf2000/ants/v2"

	"tamarackhollow/core/thboard"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thlimit"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thwire"
)

const (
	// shards spreads the customers over locks.
	shards = 64
	// askWorkers bounds the calls on their way.
	askWorkers = 2048
	// askTimeout bounds one ask.
	askTimeout = 150 * time.Millisecond
	// reportTimeout bounds one call that only reports.
	reportTimeout = time.Second
	// flushInterval is how often tokens go back that nobody spends.
	flushInterval = 100 * time.Millisecond
	// mentionInterval is how often a customer is logged as out of reach.
	mentionInterval = 10 * time.Second
	// rosterInterval is how often the roster is looked at, besides at each ask.
	rosterInterval = 200 * time.Millisecond
)

// Options are what a Limiter is made of.
type Options struct {
	Self throster.VM
	// Roster returns the newest roster that this VM goes by.
	Roster func() throster.Roster
	// CheckFresh returns nil only while this VM surely knows every roster and
	// configuration that was accepted longer than FreshFor ago.
	CheckFresh func() error
	// Config returns the configuration in force.
	Config func() thconfig.Config
	Client *thwire.Client
	Clock  thclock.Clock
	Log    thevent.Logger
	// Accepted returns the highest version of roster and configuration that is
	// known to be accepted; nil takes every roster as accepted.
	Accepted func() uint64
	// FreshFor is for how long a VM that misses an accepted change may go on
	// as fresh; zero takes throster.FreshFor.
	FreshFor time.Duration
}

// Limiter admits requests. Make one with New.
type Limiter struct {
	o      Options
	layout thboard.Cell[*thlimit.Layout]
	// configured is the version of the configuration that the homes go by.
	configured thboard.Cell[uint64]
	homes      [shards]homeShard
	spends     [shards]spendShard
	count      counters
	// member is set once the VM stands in an accepted roster.
	member atomic.Bool
	// offering is set while parts are being offered.
	offering atomic.Bool
	// asks runs the calls to homes; a call that finds no worker fails at once.
	asks *ants.Pool
}

// New returns a limiter. It admits once Register, the server and Start have
// brought it into the fleet.
func New(o Options) *Limiter {
	if o.FreshFor == 0 {
		o.FreshFor = throster.FreshFor
	}
	if o.Log == nil {
		o.Log = thevent.Discard{}
	}
	m := &Limiter{o: o, asks: newAskPool(o.Log)}
	m.layout.Store(thlimit.NewLayout(throster.Roster{}))
	for i := range m.homes {
		m.homes[i].home = thlimit.NewHome(o.Self, o.FreshFor)
	}
	return m
}

// Register adds the limiter's peer calls to a server.
func (m *Limiter) Register(s *thwire.Server) {
	thwire.Handle(s, pathAsk, m.takeAsk)
	thwire.Handle(s, pathReport, m.takeReports)
	thwire.Handle(s, pathRecall, m.takeRecall)
	thwire.Handle(s, pathPull, m.takePull)
	thwire.Handle(s, pathOffer, m.takeOffer)
}

// Start starts the limiter's controllers.
func (m *Limiter) Start(p *thpool.Pool) {
	m.adopt()
	p.Every(rosterInterval, nil, func(ctx context.Context) {
		m.adopt()
		m.follow(ctx)
	})
	p.Every(flushInterval, nil, m.flush)
}

// Admit returns nil if the request falls within its customer's rate and burst,
// and then it has been counted. Otherwise the error is OverLimit, or
// LimitUnavailable if that cannot be known now.
func (m *Limiter) Admit(ctx context.Context, u thconfig.Customer) error {
	s := &m.spends[shardOf(u.Name)]
	var t thlimit.Try
	for {
		l := m.layout.Load()
		if l.Roster().Len() == 0 {
			m.adopt()
			l = m.layout.Load()
		}
		d, answered := s.admit(m.o.Clock, l, u, &t)
		if d.Ask != nil {
			m.send(s, d.Ask)
		}
		if d.Notice != nil {
			m.notify([]thlimit.Notice{*d.Notice}, m.background)
		}
		switch d.Verdict {
		case thlimit.Admitted:
			m.count.admitted.Add(1)
			return nil
		case thlimit.OverLimit:
			m.count.overLimit.Add(1)
			return therror.New(therror.OverLimit, "customer %s is over its rate", u.Name)
		case thlimit.Unreachable:
			return m.unreachable(u)
		case thlimit.Asking, thlimit.Waiting:
			if err := await(ctx, answered); err != nil {
				s.abandon(u.Name, &t)
				return therror.Wrap(therror.LimitUnavailable, err, "the limit of customer %s was not answered in time", u.Name)
			}
		}
	}
}

func (m *Limiter) unreachable(u thconfig.Customer) error {
	m.count.unavailable.Add(1)
	if m.spends[shardOf(u.Name)].mention(m.o.Clock.Now(), u.Name) {
		m.o.Log.Log(thevent.LimitHomeUnreachable, thevent.F("customer", u.Name))
	}
	return therror.New(therror.LimitUnavailable, "the limit of customer %s is out of reach", u.Name)
}

// await waits for an answer, but no longer than until another home may be asked.
func await(ctx context.Context, answered <-chan struct{}) error {
	t := time.NewTimer(thlimit.HedgeAfter)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-answered:
	case <-t.C:
	}
	return nil
}

// Leave gives back every token that this VM holds and hands over every part
// that it is home to, for a planned stop. The VM must stay reachable for its
// peers until the context ends or Leave returns.
func (m *Limiter) Leave(ctx context.Context) error {
	ns := make([]thlimit.Notice, 0, shards)
	for i := range m.spends {
		ns = append(ns, m.spends[i].close(m.layout.Load())...)
	}
	m.notify(ns, func(task func()) { task() })
	return m.handOver(ctx)
}

func shardOf(customer string) int { return int(xxhash.Sum64String(customer) % shards) }
