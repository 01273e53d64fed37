package thsource

import (
	"context"
	"time"

	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thwire"
)

// pathKnown is the call by which one VM fetches what another knows.
const pathKnown = "/known"

// question says what the asking VM has.
type question struct {
	Table   uint64 `json:"table"`
	Targets uint64 `json:"targets"`
}

// known is what the asked VM has that is newer; the rest is left out.
type known struct {
	Table   *thtable.Document   `json:"table,omitempty"`
	Targets *thtable.TargetList `json:"targets,omitempty"`
	VMs     []thfleet.Identity  `json:"vms,omitempty"`
}

// Register adds the call to the server for other VMs.
func (s *Source) Register(w *thwire.Server) {
	thwire.Handle(w, pathKnown, func(_ thwire.Sender, q question) (known, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		k := known{VMs: []thfleet.Identity{s.o.Self}}
		if s.table.Version() > q.Table {
			d := s.table.Document()
			k.Table = &d
		}
		if s.targets.Version > q.Targets {
			list := s.targets
			k.Targets = &list
		}
		return k, nil
	})
}

// fetchTimeout bounds a call to another VM.
const fetchTimeout = 500 * time.Millisecond

// fetch asks the VM that knows the newest of what this one lacks.
func (s *Source) fetch(ctx context.Context) {
	if p, ok := s.o.Fleet.FindNewer(s.have()); ok {
		s.ask(ctx, p.Address)
	}
}

// askSeeds asks the VMs that the settings name, while this VM knows nothing
// and the store does not answer.
func (s *Source) askSeeds(ctx context.Context) {
	s.mu.Lock()
	seeds := s.o.Seeds
	s.mu.Unlock()
	for _, address := range seeds {
		if s.IsLoaded() {
			return
		}
		if address != s.o.Self.Address {
			s.ask(ctx, address)
		}
	}
}

func (s *Source) ask(ctx context.Context, address string) {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have := s.have()
	k, err := thwire.Call[question, known](bounded, s.o.Client, address, pathKnown, question{have.Table, have.Targets})
	if err != nil {
		s.o.Log.Log(thevent.PeerAsked, thevent.F("peer", address), thevent.F("error", err.Error()))
		return
	}
	s.o.Log.Log(thevent.PeerAsked, thevent.F("peer", address), thevent.F("table", k.Table != nil), thevent.F("targets", k.Targets != nil))
	s.o.Fleet.RecordPeers(k.VMs)
	if k.Table != nil {
		s.applyTable(*k.Table)
	}
	if k.Targets != nil {
		s.applyTargets(*k.Targets)
	}
}
