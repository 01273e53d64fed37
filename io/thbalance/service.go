package thbalance

import (
	"context"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throute"
)

// service guards the balancer of one service. The mutex is held for moments
// only: controllers compute on copies.
type service struct {
	f    *Forwarder
	name string

	mu       sync.Mutex
	balancer *throute.Balancer[*waiter]
}

// waiter is a request waiting for its turn.
type waiter struct {
	turn chan error
}

// with runs the function on the balancer and logs what it gives notice of.
func (s *service) with(f func(b *throute.Balancer[*waiter])) {
	s.mu.Lock()
	f(s.balancer)
	notices := s.balancer.Notices()
	s.mu.Unlock()
	for _, n := range notices {
		s.f.Log.Log(n.ID, n.Fields...)
	}
}

// enter waits for the request's turn.
func (s *service) enter(ctx context.Context, q *threquest.Request) error {
	now := s.f.Clock.Now()
	s.mu.Lock()
	if s.balancer.EnterNow(q) {
		s.mu.Unlock()
		return nil
	}
	w := &waiter{turn: make(chan error, 1)}
	displaced, err := s.balancer.Wait(now, q, w)
	s.mu.Unlock()
	for _, d := range displaced {
		d.turn <- therror.New(therror.QueueFull, "other customers' requests took the place")
	}
	if err != nil {
		return err
	}
	return s.await(ctx, q, w, q.Deadline.Sub(now))
}

func (s *service) await(ctx context.Context, q *threquest.Request, w *waiter, left time.Duration) error {
	t := time.NewTimer(left)
	defer t.Stop()
	var gone error
	select {
	case err := <-w.turn:
		return err
	case <-t.C:
		gone = therror.New(therror.QueueTimeout, "no target was free before the deadline")
	case <-ctx.Done():
		gone = ended(ctx)
	}
	s.mu.Lock()
	waiting := s.balancer.Cancel(q, w)
	s.mu.Unlock()
	if waiting {
		return gone
	}
	// The turn came at the same moment: hand it on.
	if err := <-w.turn; err != nil {
		return err
	}
	s.leave(q, 0)
	return gone
}

// leave ends the request's turn and gives it to those who wait.
func (s *service) leave(q *threquest.Request, took time.Duration) {
	now := s.f.Clock.Now()
	s.mu.Lock()
	turns, expired := s.balancer.Leave(now, q, took)
	s.mu.Unlock()
	for _, w := range turns {
		w.turn <- nil
	}
	for _, w := range expired {
		w.turn <- therror.New(therror.QueueTimeout, "no target was free before the deadline")
	}
}

// pick chooses the target of the next attempt and how long it may take.
func (s *service) pick(now thclock.Instant, t *throute.Try) (address string, patience time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address, err = s.balancer.Pick(now, t)
	return address, s.balancer.Patience(now, t), err
}

// settle takes in an attempt and decides what follows.
func (s *service) settle(t *throute.Try, a threquest.Attempt, blamed bool) (d throute.Decision) {
	s.with(func(b *throute.Balancer[*waiter]) { d = b.Settle(t, a, blamed) })
	return d
}

func (s *service) again(q *threquest.Request, r throute.Repeat) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Again(q, r)
}
