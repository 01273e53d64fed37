package thbalance

import (
	"context"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thwire"
)

const (
	judgeEvery    = 250 * time.Millisecond
	exchangeEvery = 500 * time.Millisecond
	// cellsPerMessage bounds one message of the exchange.
	cellsPerMessage = 24
	exchangeTimeout = time.Second
	exchangePath    = "/targets/exchange"
)

// exchange is a message between VMs, and the answer to it.
type exchange struct {
	Cells []byte `json:"cells"`
}

// Register adds the calls that peers make.
func (f *Forwarder) Register(s *thwire.Server) {
	thwire.Handle(s, exchangePath, func(_ thwire.Sender, m exchange) (exchange, error) {
		if err := f.receive(m); err != nil {
			return exchange{}, err
		}
		return f.collect(), nil
	})
}

// Start runs the controllers on the pool.
func (f *Forwarder) Start(p *thpool.Pool) {
	p.Every(judgeEvery, nil, func(context.Context) { f.judge() })
	p.Every(exchangeEvery, nil, f.exchange)
}

// judge takes in the configuration and decides each target's state.
func (f *Forwarder) judge() {
	now := f.Clock.Now()
	c := f.Config()
	changed := f.version.Swap(c.Version()) != c.Version()
	f.each(func(s *service) {
		if spec, ok := c.Service(s.name()); ok && changed {
			s.mu.Lock()
			s.configure(now, spec, true)
			s.mu.Unlock()
		}
		s.judge(now)
	})
}

func (s *service) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spec.Name
}

func (s *service) judge(now thclock.Instant) {
	s.mu.Lock()
	targets, policy := s.targets, s.policy
	samples := make([]thhealth.Sample, len(targets))
	for i, g := range targets {
		samples[i] = g.row.Sample(now)
	}
	s.mu.Unlock()
	verdicts := thhealth.Judge(policy, samples)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, g := range targets {
		s.turn(now, g, verdicts[i], samples[i])
	}
	s.rebuild(now)
}

// turn moves a target to its next state.
func (s *service) turn(now thclock.Instant, g *target, v thhealth.Verdict, evidence thhealth.Sample) {
	g.peersBusy = evidence.PeersBusy()
	before := g.state
	g.state = before.Next(now, s.policy, v, evidence.Recent())
	if g.state.Phase == before.Phase {
		return
	}
	fields := []thevent.Field{
		thevent.F("service", s.spec.Name), thevent.F("target", g.address),
		thevent.F("requests", v.Seen.Requests), thevent.F("failed", v.Seen.Failed), thevent.F("slow", v.Seen.Slow),
	}
	switch g.state.Phase {
	case thhealth.Ejected:
		g.row.Reset()
		s.f.Log.Log(thevent.TargetEjected, append(fields, thevent.F("local", v.Local), thevent.F("strikes", g.state.Strikes))...)
	case thhealth.Warming:
		s.f.Log.Log(thevent.TargetReadmitted, fields...)
	}
}

// exchange swaps observations with one peer drawn at random.
func (f *Forwarder) exchange(ctx context.Context) {
	vms := f.Roster().VMs()
	if f.Client == nil || len(vms) < 2 {
		return
	}
	f.seedMu.Lock()
	v := vms[f.seed.IntN(len(vms))]
	f.seedMu.Unlock()
	if v.ID == f.Self.ID {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := thwire.Call[exchange, exchange](ctx, f.Client, v.PeerAddress, exchangePath, f.collect())
	if err != nil {
		return
	}
	_ = f.receive(answer)
}

// collect returns the message that is most urgent now.
func (f *Forwarder) collect() exchange {
	now := f.Clock.Now()
	var cells []thhealth.Cell
	f.each(func(s *service) {
		s.mu.Lock()
		defer s.mu.Unlock()
		entries := make([]thhealth.Entry, len(s.targets))
		for i, g := range s.targets {
			entries[i] = thhealth.Entry{Row: &g.row, Key: g.key, Leaving: g.leaving(now)}
		}
		cells = append(cells, thhealth.Collect(now, f.origin, entries, cellsPerMessage-len(cells))...)
	})
	return exchange{Cells: thhealth.EncodeCells(cells)}
}

// receive takes in a peer's message.
func (f *Forwarder) receive(m exchange) error {
	cells, err := thhealth.DecodeCells(m.Cells)
	if err != nil {
		return err
	}
	now := f.Clock.Now()
	f.each(func(s *service) { s.receive(now, f.origin, cells) })
	return nil
}

func (s *service) receive(now thclock.Instant, self uint32, cells []thhealth.Cell) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range cells {
		if c.Origin == self {
			continue
		}
		for _, g := range s.targets {
			if g.key == c.Target {
				g.row.Receive(now, c)
			}
		}
	}
}
