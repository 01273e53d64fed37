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

// knownRequest says what the asking VM has.
type knownRequest struct {
	Table   uint64 `json:"table"`
	Targets uint64 `json:"targets"`
}

// knownResponse is what the asked VM has that is newer; the rest is left out.
type knownResponse struct {
	Table   *thtable.Document   `json:"table,omitempty"`
	Targets *thtable.TargetList `json:"targets,omitempty"`
	VMs     []thfleet.Identity  `json:"vms,omitempty"`
}

// Register adds the call to the server for other VMs.
func (s *Source) Register(w *thwire.Server) {
	thwire.Handle(w, pathKnown, func(_ thwire.Sender, q knownRequest) (knownResponse, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		k := knownResponse{VMs: []thfleet.Identity{s.options.Self}}
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

// fetchFromNewest asks the VM that knows the newest of what this one lacks.
func (s *Source) fetchFromNewest(ctx context.Context) {
	if p, ok := s.options.Fleet.FindNewer(s.versions()); ok {
		s.fetchFrom(ctx, p.Address)
	}
}

// fetchFromSeeds asks the VMs that the settings name, while this VM knows nothing
// and the store does not answer.
func (s *Source) fetchFromSeeds(ctx context.Context) {
	s.mu.Lock()
	seeds := s.options.Seeds
	s.mu.Unlock()
	for _, address := range seeds {
		if s.IsLoaded() {
			return
		}
		if address != s.options.Self.Address {
			s.fetchFrom(ctx, address)
		}
	}
}

func (s *Source) fetchFrom(ctx context.Context, address string) {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have := s.versions()
	k, err := thwire.Call[knownRequest, knownResponse](bounded, s.options.Client, address, pathKnown, knownRequest{have.Table, have.Targets})
	if err != nil {
		s.options.Log.Log(thevent.PeerAsked, thevent.F("peer", address), thevent.F("error", err.Error()))
		return
	}
	s.options.Log.Log(thevent.PeerAsked, thevent.F("peer", address), thevent.F("table", k.Table != nil), thevent.F("targets", k.Targets != nil))
	s.options.Fleet.RecordPeers(k.VMs)
	if k.Table != nil {
		s.applyTable(*k.Table)
	}
	if k.Targets != nil {
		s.applyTargets(*k.Targets)
	}
}
