package thsource

import (
	"context"
	"slices"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thtable"
)

// useOrders records what is known of orders to evacuate zones and hands on the zones if they have
// changed. content.applying must be held.
func (s *Source) useOrders(after thtable.KnownOrders) {
	before := s.content.knownOrders()
	s.content.setOrders(after)
	if zones := after.Zones(); !slices.Equal(before.Zones(), zones) {
		s.options.ApplyEvacuated(zones, after.Position())
	}
}

// updateOrders forgets orders whose time has passed to be written again to a store that came back
// from an older copy.
func (s *Source) updateOrders() {
	s.content.applying.Lock()
	defer s.content.applying.Unlock()
	now := thclock.System{}.Now()
	if known := s.content.knownOrders(); known.IsDue(now) {
		s.useOrders(known.WithoutExpired(now))
	}
}

// learnKept records what another VM keeps against the store.
func (s *Source) learnKept(kept []thtable.KeptOrder) {
	if len(kept) == 0 {
		return
	}
	s.content.applying.Lock()
	defer s.content.applying.Unlock()
	known := s.content.knownOrders()
	s.useOrders(known.WithKept(thclock.System{}.Now(), kept, s.options.Fleet.NoteEra(known.Position().Era)))
}

// askForKeptOrders asks other VMs which orders they keep against a store that came back from an
// older copy. A VM that has read the orders from the store itself would not ask for them else.
func (s *Source) askForKeptOrders(ctx context.Context) {
	if s.versions().Orders.Era == 0 {
		return // the store has told no era yet, and so did not come back from an older copy
	}
	for _, p := range s.options.Fleet.RandomPeers(peersComparedAtStart) {
		s.fetchFrom(ctx, p.Address, startFetchTimeout, 0)
	}
}
