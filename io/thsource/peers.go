package thsource

import (
	"context"
	"time"

	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thwire"
)

// pathKnown is the path of the call by which one VM fetches the table, targets
// and identity of another.
const pathKnown = "/known"

// knownRequest holds the versions that the calling VM has.
type knownRequest struct {
	Table   uint64 `json:"table"`
	Targets uint64 `json:"targets"`
}

// knownResponse holds the table and targets of the called VM as far as they are
// newer than the caller's, and the called VM's identity.
type knownResponse struct {
	Table   *thtable.Document   `json:"table,omitempty"`
	Targets *thtable.TargetList `json:"targets,omitempty"`
	VMs     []thfleet.Identity  `json:"vms,omitempty"`
}

// Register adds the handler of the call /known to the server for other VMs.
func (s *Source) Register(w *thwire.Server) {
	thwire.Handle(w, pathKnown, func(_ thwire.Sender, request knownRequest) (knownResponse, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		k := knownResponse{VMs: []thfleet.Identity{s.options.Self}}
		if s.table.Version() > request.Table {
			d := s.table.Document()
			k.Table = &d
		}
		if s.targets.Version > request.Targets {
			list := s.targets
			k.Targets = &list
		}
		return k, nil
	})
}

// fetchTimeout bounds a call to another VM.
const fetchTimeout = 500 * time.Millisecond

// fetchFromNewest fetches from the VM that has announced the newest versions, if
// this VM lacks any.
func (s *Source) fetchFromNewest(ctx context.Context) {
	p, ok := s.options.Fleet.FindNewerPeer(s.versions())
	s.recordBehind(ok)
	if ok {
		s.fetchFrom(ctx, p.Address)
	}
}

// fetchFromSeeds fetches from the seeds in turn until this VM has a table and a
// list of targets.
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

// fetchFrom fetches and applies the newer versions that the VM at the address has.
func (s *Source) fetchFrom(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have, startedAt := s.versions(), time.Now()
	k, size, err := thwire.CallSized[knownRequest, knownResponse](callCtx, s.options.Client, address, pathKnown, knownRequest{have.Table, have.Targets})
	fields := []thevent.Field{thevent.F("peer", address), thevent.F("bytes", size), thevent.F("tookMillis", time.Since(startedAt).Milliseconds())}
	s.mu.Lock()
	if !s.behindSince.IsZero() {
		fields = append(fields, thevent.F("behindMillis", time.Since(s.behindSince).Milliseconds()))
	}
	s.mu.Unlock()
	if err != nil {
		s.options.Log.Log(thevent.PeerAsked, append(fields, thevent.F("error", err.Error()))...)
		return
	}
	s.options.Log.Log(thevent.PeerAsked, append(fields, thevent.F("table", k.Table != nil), thevent.F("targets", k.Targets != nil))...)
	s.options.Fleet.RecordPeers(k.VMs)
	if k.Table != nil {
		s.applyTable(*k.Table, address)
	}
	if k.Targets != nil {
		s.applyTargets(*k.Targets)
	}
}
