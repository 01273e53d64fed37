// Package thfake provides fakes of what the fleet depends on: the platform's
// store, targets, and a network link that can be stalled. The demo and the tests
// use them.
package thfake

import (
	"context"
	"sync"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thsource"
)

// Store is an in-memory fake of the platform's store that implements
// thsource.Store. The zero Store is empty and available.
type Store struct {
	mu      sync.Mutex
	table   thtable.Document
	targets thtable.TargetList
	vms     []thfleet.Identity
	// down is set while the store is unavailable.
	down bool
}

var _ thsource.Store = (*Store)(nil)

// PutTable replaces the routing table, but for the orders to evacuate zones.
func (s *Store) PutTable(d thtable.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.Orders = s.table.Orders
	s.table = d
}

// PutTargets replaces the list of targets and raises its version by one.
func (s *Store) PutTargets(ts []thtable.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = thtable.TargetList{Position: thtable.Position{Version: s.targets.Version + 1}, Targets: ts}
}

// SetDown makes the store unavailable or available again. While it is
// unavailable, every call returns a StoreUnavailable error.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// PutOrders replaces the orders to evacuate zones, as of a version above those before.
func (s *Store) PutOrders(version uint64, zones ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Orders = thtable.Orders{Position: thtable.Position{Version: version}}
	for _, z := range zones {
		s.table.Orders.List = append(s.table.Orders.List, thtable.Order{Zone: z, Position: s.table.Orders.Position})
	}
}

const (
	// pollInterval is the interval at which Table checks for a newer routing table.
	pollInterval = 20 * time.Millisecond
	// maxWait bounds the wait of Table: it does not see orders that change between two calls.
	maxWait = 300 * time.Millisecond
)

// Table implements thsource.Store.
func (s *Store) Table(ctx context.Context, after uint64, wait time.Duration) (thtable.Document, error) {
	var before *thtable.Document
	for until := time.Now().Add(min(wait, maxWait)); ; {
		s.mu.Lock()
		d, err := s.table, s.checkAvailable()
		s.mu.Unlock()
		if before == nil {
			before = &d
		}
		if err != nil || d.Version > after || d.IsNewerThan(*before) || time.Now().After(until) || ctx.Err() != nil {
			return d, err
		}
		time.Sleep(pollInterval)
	}
}

// checkAvailable returns a StoreUnavailable error while the store is down. The
// caller must hold mu.
func (s *Store) checkAvailable() error {
	if s.down {
		return therror.New(therror.StoreUnavailable, "the fake store is down")
	}
	return nil
}

// Targets implements thsource.Store.
func (s *Store) Targets(context.Context) (thtable.TargetList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets, s.checkAvailable()
}

// Join implements thsource.Store.
func (s *Store) Join(_ context.Context, self thfleet.Identity) ([]thfleet.Identity, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(); err != nil {
		return nil, err
	}
	s.remove(self)
	s.vms = append(s.vms, self)
	return append([]thfleet.Identity(nil), s.vms...), nil
}

// Leave implements thsource.Store.
func (s *Store) Leave(_ context.Context, self thfleet.Identity) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(); err != nil {
		return err
	}
	s.remove(self)
	return nil
}

// Era implements thsource.Store: the fake tells none.
func (s *Store) Era() uint64 { return 0 }

func (s *Store) remove(self thfleet.Identity) {
	kept := s.vms[:0]
	for _, i := range s.vms {
		if i.ID != self.ID {
			kept = append(kept, i)
		}
	}
	s.vms = kept
}
