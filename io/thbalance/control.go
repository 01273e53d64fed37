package thbalance

import (
	"context"
	"encoding/base64"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/throute"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thwire"
)

const (
	judgeEvery    = 250 * time.Millisecond
	exchangeEvery = 250 * time.Millisecond
	// judgedTargets bounds the targets that are judged in one round.
	judgedTargets = 320
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
	p.Every(checkEvery, nil, func(ctx context.Context) { f.check(ctx, p) })
}

// judge takes in the configuration and decides each target's state.
func (f *Forwarder) judge() {
	now := f.Clock.Now()
	c, p := f.Config(), f.place()
	changed := f.version.Swap(c.Version()) != c.Version()
	changed = f.vms.Swap(int64(p.VMs)) != int64(p.VMs) || changed
	var due []throute.Turn
	f.each(func(s *service) {
		s.with(func(b *throute.Balancer[*waiter]) {
			if spec, ok := c.Service(s.name); ok && changed {
				b.Configure(now, spec, p)
			}
			if b.Due(now) {
				due = append(due, throute.Turn{Name: s.name, Targets: b.Targets()})
			}
		})
	})
	var names []string
	names, f.rota = f.rota.Next(due, judgedTargets)
	f.each(func(s *service) {
		if slices.Contains(names, s.name) {
			s.judge(now)
		}
	})
}

// judge computes on a copy, so that requests are not held up.
func (s *service) judge(now thclock.Instant) {
	var e throute.Evidence
	s.with(func(b *throute.Balancer[*waiter]) { e = b.Evidence(now) })
	vs := e.Judge()
	s.with(func(b *throute.Balancer[*waiter]) { b.Apply(now, vs) })
}

// exchange swaps observations with one peer drawn at random.
func (f *Forwarder) exchange(ctx context.Context) {
	vms := f.Roster().VMs()
	if f.Client == nil || len(vms) < 2 || !f.due() {
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
	message := f.collect()
	answer, err := thwire.Call[exchange, exchange](ctx, f.Client, v.PeerAddress, exchangePath, message)
	f.pacer = f.pacer.WithExchange(base64.StdEncoding.EncodedLen(len(message.Cells) + len(answer.Cells)))
	if err != nil {
		return
	}
	_ = f.receive(answer)
}

// due decides whether to exchange now. Only the exchange controller uses the
// pacer, and never twice at the same time.
func (f *Forwarder) due() bool {
	now := f.Clock.Now()
	urgent := false
	f.each(func(s *service) {
		s.with(func(b *throute.Balancer[*waiter]) {
			urgent = urgent || thhealth.Urgent(now, b.Offers(now, nil))
		})
	})
	pacer, due := f.pacer.Next(now, urgent)
	f.pacer = pacer
	return due
}

// collect returns the message that is most urgent now.
func (f *Forwarder) collect() exchange {
	now := f.Clock.Now()
	var cells []thhealth.Cell
	f.each(func(s *service) {
		s.with(func(b *throute.Balancer[*waiter]) {
			cells = append(cells, thhealth.Collect(now, f.origin, b.Offers(now, nil), cellsPerMessage-len(cells))...)
		})
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
	cells = slices.DeleteFunc(cells, func(c thhealth.Cell) bool { return c.Origin == f.origin })
	f.each(func(s *service) {
		s.with(func(b *throute.Balancer[*waiter]) {
			cells = slices.DeleteFunc(cells, func(c thhealth.Cell) bool { return b.Receive(now, c) })
		})
	})
	return nil
}
