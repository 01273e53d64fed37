package thbalance

import (
	"context"
	"time"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throute"
	"tamarackhollow/io/thpool"
)

const (
	checkEvery   = 250 * time.Millisecond
	checkTimeout = time.Second
	// checksAtOnce bounds the checks that one round begins.
	checksAtOnce = 16
)

// check begins the checks that are due.
func (f *Forwarder) check(ctx context.Context, p *thpool.Pool) {
	begun := 0
	f.each(func(s *service) {
		var due []string
		var spec thconfig.Service
		if begun >= checksAtOnce {
			return
		}
		now := f.Clock.Now()
		s.with(func(b *throute.Balancer[*waiter]) { due, spec = b.Checks(now), b.Service() })
		for _, address := range due {
			begun++
			if p.Submit(func() { s.check(ctx, spec, address) }) != nil {
				return
			}
		}
	})
}

// check asks one target how it is.
func (s *service) check(ctx context.Context, spec thconfig.Service, address string) {
	began := s.f.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	a := s.f.Sender.Send(ctx, address, &threquest.Request{
		ID: "check", Service: spec, Method: "GET", URI: s.f.HealthPath, Deadline: began.Add(checkTimeout),
	})
	now := s.f.Clock.Now()
	s.with(func(b *throute.Balancer[*waiter]) { b.Checked(now, address, a) })
}
