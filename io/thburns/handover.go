package thburns

import (
	"context"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thwire"

	"golang.org/x/sync/errgroup"
)

const pathHandOver = "/burn/handOver"

// moved is a part that has got another home.
type moved struct {
	number int
	part   *part
	home   throster.VM
}

// handedOver carries a part's windows to its new home.
type handedOver struct {
	Part int    `json:"part"`
	Data []byte `json:"data"`
}

type taken struct{}

// handOver brings the windows of parts to their new homes. What a new home
// does not take is lost as far as it is neither stored nor held by senders.
func (b *Burns) handOver(ctx context.Context, all []moved) {
	var g errgroup.Group
	g.SetLimit(parallelCalls)
	for _, m := range all {
		g.Go(func() error {
			b.handOverPart(ctx, m)
			return nil
		})
	}
	_ = g.Wait() // the functions above never fail
}

func (b *Burns) handOverPart(ctx context.Context, m moved) {
	s, due, err := m.part.snapshot(b.o.Clock.Now(), true)
	if err != nil || !due || m.home.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = thwire.Call[handedOver, taken](ctx, b.o.Client, m.home.PeerAddress, pathHandOver, handedOver{m.number, s.Data})
}

// takeOver takes an earlier home's windows, unless this VM has begun to count
// already: senders may have brought it the same counts.
func (b *Burns) takeOver(_ thwire.Sender, h handedOver) (taken, error) {
	now := b.o.Clock.Now()
	b.handOver(context.Background(), b.follow(now))
	p, ok := b.part(h.Part)
	if !ok {
		return taken{}, therror.New(therror.NotReady, "the VM is not the home of part %d", h.Part)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loaded {
		return taken{}, therror.New(therror.MessageStale, "part %d has been loaded already", h.Part)
	}
	var l thburn.Ledger
	if err := l.Absorb(now, h.Data, false); err != nil {
		return taken{}, err
	}
	p.ledger = l
	p.loaded = true
	p.nextStore = now
	return taken{}, nil
}
