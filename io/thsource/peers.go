package thsource

import (
	"context"
	"sync"
	"time"

	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thwire"

	"github.com/cockroachdb/errors"
)

// pathKnown is the path of the call by which one VM fetches the table, targets
// and identity of another.
const pathKnown = "/known"

// knownRequest holds the versions that the calling VM has, and the digests of their
// content; a digest of 0 asks for the whole content.
type knownRequest struct {
	Table         uint64         `json:"table"`
	Targets       uint64         `json:"targets"`
	TableDigest   thtable.Digest `json:"tableDigest,omitempty"`
	TargetsDigest thtable.Digest `json:"targetsDigest,omitempty"`
}

// knownResponse holds the table and targets of the called VM as far as they are
// newer than the caller's, whole or as changes, and the called VM's identity.
type knownResponse struct {
	Table         *thtable.Document       `json:"table,omitempty"`
	TableChanges  []thtable.TableChange   `json:"tableChanges,omitempty"`
	Targets       *thtable.TargetList     `json:"targets,omitempty"`
	TargetChanges []thtable.TargetsChange `json:"targetChanges,omitempty"`
	VMs           []thfleet.Identity      `json:"vms,omitempty"`
}

// answerCache holds the answer to the call /known that was encoded last. The VMs of
// a zone mostly hold the same version and so get the same answer.
type answerCache struct {
	mu      sync.Mutex
	request knownRequest
	// versions are those that the answer brings the caller to.
	versions thfleet.StoreVersions
	answer   thwire.Encoded
}

// Register adds the handler of the call /known to the server for other VMs.
func (s *Source) Register(w *thwire.Server) {
	thwire.Handle(w, pathKnown, func(_ thwire.Sender, request knownRequest) (thwire.Encoded, error) {
		return s.encodeAnswer(request)
	})
}

// encodeAnswer returns the answer to the call /known.
func (s *Source) encodeAnswer(request knownRequest) (thwire.Encoded, error) {
	s.answers.mu.Lock()
	defer s.answers.mu.Unlock()
	k, versions := s.newerThan(request)
	if s.answers.request == request && s.answers.versions == versions {
		return s.answers.answer, nil
	}
	encoded, err := thwire.Encode(k)
	if err != nil {
		return encoded, err
	}
	s.answers.request, s.answers.versions, s.answers.answer = request, versions, encoded
	return encoded, nil
}

// newerThan returns what the calling VM lacks, and the versions that this VM has.
func (s *Source) newerThan(request knownRequest) (knownResponse, thfleet.StoreVersions) {
	c := &s.content
	c.mu.Lock()
	defer c.mu.Unlock()
	k := knownResponse{VMs: []thfleet.Identity{s.options.Self}}
	d, list := c.table.Document(), c.targets.List()
	if d.Version > request.Table {
		rows := len(d.Routes) + len(d.Services) + len(d.Customers)
		var ok bool
		if k.TableChanges, ok = c.tableChanges.Since(request.TableDigest, rows); !ok {
			k.Table = &d
		}
	}
	if list.Version > request.Targets {
		var ok bool
		if k.TargetChanges, ok = c.targetChanges.Since(request.TargetsDigest, len(list.Targets)); !ok {
			k.Targets = &list
		}
	}
	return k, thfleet.StoreVersions{Table: d.Version, Targets: list.Version}
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
	startedAt := time.Now()
	k, size, err := thwire.CallSized[knownRequest, knownResponse](callCtx, s.options.Client, address, pathKnown, s.nextRequest())
	fields := []thevent.Field{thevent.F("peer", address), thevent.F("bytes", size), thevent.F("tookMillis", time.Since(startedAt).Milliseconds())}
	s.mu.Lock()
	if !s.behindSince.IsZero() {
		fields = append(fields, thevent.F("behindMillis", time.Since(s.behindSince).Milliseconds()))
	}
	s.mu.Unlock()
	if err == nil {
		s.options.Fleet.RecordPeers(k.VMs)
		err = s.apply(k, address)
	}
	if err != nil {
		s.options.Log.Log(thevent.PeerAsked, append(fields, thevent.F("error", err.Error()))...)
		return
	}
	s.options.Log.Log(thevent.PeerAsked, append(fields, thevent.F("table", k.Table != nil), thevent.F("targets", k.Targets != nil),
		thevent.F("tableChanges", len(k.TableChanges)), thevent.F("targetChanges", len(k.TargetChanges)))...)
}

// nextRequest returns the request for what this VM lacks.
func (s *Source) nextRequest() knownRequest {
	s.mu.Lock()
	wantsWhole := s.wantsWhole
	s.mu.Unlock()
	s.content.mu.Lock()
	defer s.content.mu.Unlock()
	request := knownRequest{Table: s.content.table.Version(), Targets: s.content.targets.List().Version}
	if !wantsWhole {
		request.TableDigest, request.TargetsDigest = s.content.table.Digest(), s.content.targets.Digest()
	}
	return request
}

// apply applies what another VM sent. It returns an error if changes do not fit the
// content of this VM; the next request then asks for the whole content.
func (s *Source) apply(k knownResponse, address string) error {
	var tableErr, targetsErr error
	switch {
	case k.Table != nil:
		s.applyTable(*k.Table, address)
	case len(k.TableChanges) > 0:
		tableErr = s.applyTableChanges(k.TableChanges, address)
	}
	switch {
	case k.Targets != nil:
		s.applyTargets(*k.Targets)
	case len(k.TargetChanges) > 0:
		targetsErr = s.applyTargetChanges(k.TargetChanges)
	}
	s.mu.Lock()
	s.wantsWhole = tableErr != nil || targetsErr != nil
	s.mu.Unlock()
	return errors.CombineErrors(tableErr, targetsErr)
}
