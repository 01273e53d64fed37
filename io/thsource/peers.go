package thsource

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
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
	Table uint64 `json:"table"`
	// Targets and TargetsEra are the position of the list of targets. VMs of older builds
	// send no era.
	Targets       uint64         `json:"targets"`
	TargetsEra    uint64         `json:"targetsEra,omitempty"`
	TableDigest   thtable.Digest `json:"tableDigest,omitempty"`
	TargetsDigest thtable.Digest `json:"targetsDigest,omitempty"`
	// Orders is the position of the orders to evacuate zones. It has no meaning unless KnowsOrders
	// is set, which VMs of older builds do not do.
	Orders      thtable.Position `json:"orders,omitzero"`
	KnowsOrders bool             `json:"knowsOrders,omitempty"`
	// WaitMillis is how long the called VM may wait until it has something newer.
	WaitMillis int64 `json:"waitMillis,omitempty"`
}

// newKnownRequest returns the request for the whole content that is newer than the versions.
func newKnownRequest(have thfleet.StoreVersions) knownRequest {
	return knownRequest{Table: have.Table, Targets: have.Targets.Version, TargetsEra: have.Targets.Era, Orders: have.Orders, KnowsOrders: true}
}

func (r knownRequest) versions() thfleet.StoreVersions {
	v := thfleet.StoreVersions{Table: r.Table, Targets: thtable.Position{Era: r.TargetsEra, Version: r.Targets}, Orders: r.Orders}
	if !r.KnowsOrders { // it would be sent the table again for orders of which it does not know
		v.Orders = thtable.Position{Era: math.MaxUint64, Version: math.MaxUint64}
	}
	return v
}

// knownResponse holds the table and targets of the called VM as far as they are
// newer than the caller's, whole or as changes, and the called VM's identity.
type knownResponse struct {
	Table         *thtable.Document       `json:"table,omitempty"`
	TableChanges  []thtable.TableChange   `json:"tableChanges,omitempty"`
	Targets       *thtable.TargetList     `json:"targets,omitempty"`
	TargetChanges []thtable.TargetsChange `json:"targetChanges,omitempty"`
	VMs           []thfleet.Identity      `json:"vms,omitempty"`
	// KeptOrders holds the orders that the called VM keeps against the store.
	KeptOrders []thtable.KeptOrder `json:"keptOrders,omitempty"`
	// Leaving holds the targets that have said that they leave, if Targets is set: a VM that
	// needs the whole list has mostly just started.
	Leaving []thfleet.LeavingTarget `json:"leaving,omitempty"`
}

// answerCache holds the answer to the call /known that was encoded last. The VMs of
// a zone mostly hold the same version and so get the same answer.
type answerCache struct {
	mu      sync.Mutex
	request knownRequest
	// versions are those that the answer brings the caller to.
	versions thfleet.StoreVersions
	answer   thwire.Encoded
	// until is when the answer is encoded anew, since it tells how old reports are.
	until time.Time
}

// answerLifetime is how long an encoded answer is sent, which bounds the error of the ages in it.
const answerLifetime = 100 * time.Millisecond

// Register adds the handlers of the calls /known and /roster to the server for other VMs.
func (s *Source) Register(w *thwire.Server) {
	s.registerRoster(w)
	thwire.Handle(w, pathKnown, func(_ thwire.Sender, request knownRequest) (thwire.Encoded, error) {
		wait := min(time.Duration(request.WaitMillis)*time.Millisecond, maxWait)
		s.content.awaitNewer(request.versions(), time.Now().Add(wait))
		return s.encodeAnswer(request)
	})
}

// encodeAnswer returns the answer to the call /known.
func (s *Source) encodeAnswer(request knownRequest) (thwire.Encoded, error) {
	k, versions := s.newerThan(request)
	if k.Targets != nil {
		k.Leaving = s.options.Fleet.LeavingTargets()
	}
	if len(k.KeptOrders) > 0 {
		return thwire.Encode(k) // the time that they are kept goes by
	}
	s.answers.mu.Lock()
	defer s.answers.mu.Unlock()
	if s.answers.request == request && s.answers.versions == versions && time.Now().Before(s.answers.until) {
		return s.answers.answer, nil
	}
	encoded, err := thwire.Encode(k)
	if err != nil {
		return encoded, err
	}
	s.answers.request, s.answers.versions, s.answers.answer = request, versions, encoded
	s.answers.until = time.Now().Add(answerLifetime)
	return encoded, nil
}

// addWarmupAges adds how old the reports of targets' warm-ups are, by what this VM knows.
func (k *knownResponse) addWarmupAges(known thtable.KnownTargets) {
	now := thclock.System{}.Now()
	if k.Targets != nil {
		k.Targets.Targets = known.WithWarmupAges(now, k.Targets.Targets)
	}
	k.TargetChanges = slices.Clone(k.TargetChanges)
	for i, c := range k.TargetChanges {
		k.TargetChanges[i].Targets.Put = known.WithWarmupAges(now, c.Targets.Put)
	}
}

// newerThan returns what the calling VM lacks, and the versions that this VM has.
func (s *Source) newerThan(request knownRequest) (knownResponse, thfleet.StoreVersions) {
	c := &s.content
	c.mu.Lock()
	defer c.mu.Unlock()
	d, list := c.table.Document(), c.targets.List()
	k := knownResponse{VMs: []thfleet.Identity{s.options.Self}, KeptOrders: c.orders.Kept(thclock.System{}.Now())}
	have := request.versions()
	if d.Version > have.Table || d.Orders.IsAfter(have.Orders) {
		rows := len(d.Routes) + len(d.Services) + len(d.Customers)
		var ok bool
		if k.TableChanges, ok = c.tableChanges.Since(request.TableDigest, rows); !ok {
			k.Table = &d
		}
	}
	if list.IsAfter(have.Targets) {
		var ok bool
		if k.TargetChanges, ok = c.targetChanges.Since(request.TargetsDigest, len(list.Targets)); !ok {
			list = c.known.WithKnowledge(list)
			k.Targets = &list
		}
		k.addWarmupAges(c.known)
	}
	return k, c.versionsLocked()
}

const (
	// maxWait is how long a VM keeps a call waiting for something newer.
	maxWait = time.Second
	// fetchTimeout bounds a call to another VM. It leaves a slow transfer time to
	// finish after the longest wait: others are asked meanwhile.
	fetchTimeout = 3 * time.Second
	// maxFetchSilence is how long nothing may arrive from a VM beyond the time that it may
	// wait, since its connection may have gone silent. Then it is asked again.
	maxFetchSilence = time.Second
	// seedTimeout bounds a call to a seed, which may be an address without a VM.
	seedTimeout = 500 * time.Millisecond
	// askNextAfter is how long a VM waits for an answer before it also asks the next
	// VM.
	askNextAfter = 400 * time.Millisecond
	// fetchCheckInterval is how often a VM checks whether it is behind without having
	// been told.
	fetchCheckInterval = 250 * time.Millisecond
)

// fetches are the calls under way to other VMs.
type fetches struct {
	mu sync.Mutex
	// underWay holds the addresses of the VMs that are being asked.
	underWay map[string]bool
	done     sync.WaitGroup
}

// begin records a call to the address, and returns false if one is under way.
func (f *fetches) begin(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.underWay[address] {
		return false
	}
	f.underWay[address] = true
	f.done.Add(1)
	return true
}

func (f *fetches) end(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.underWay, address)
	f.done.Done()
}

// syncFromPeers fetches newer versions that other VMs have announced.
func (s *Source) syncFromPeers(ctx context.Context) {
	for sleep(ctx, fetchCheckInterval, s.behind) {
		for more := true; more && ctx.Err() == nil; {
			more = s.fetchNewer(ctx)
		}
	}
}

// fetchNewer asks the VMs that may have newer versions one after the other until
// this VM's versions change, and reports whether they did. A call that takes long is
// not abandoned when the next VM is asked, since what it has transferred would be
// lost.
func (s *Source) fetchNewer(ctx context.Context) bool {
	have := s.versions()
	order := s.options.Fleet.FetchOrder(have)
	s.recordBehind(len(order) > 0)
	answered := make(chan struct{}, len(order))
	for _, p := range order {
		if !s.fetches.begin(p.Address) {
			continue
		}
		go func() {
			defer s.fetches.end(p.Address)
			s.fetchFrom(ctx, p.Address, fetchTimeout, maxWait)
			answered <- struct{}{}
		}()
		if !sleep(ctx, askNextAfter, answered) {
			return false
		}
		if s.versions() != have {
			return true
		}
	}
	return s.versions() != have
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
			s.fetchFrom(ctx, address, seedTimeout, 0)
		}
	}
}

// fetchFrom fetches and applies the newer versions that the VM at the address has. If
// it has none yet, it may wait for them.
func (s *Source) fetchFrom(ctx context.Context, address string, timeout, wait time.Duration) {
	request := s.nextRequest()
	request.WaitMillis = wait.Milliseconds()
	k, ok := s.askPeer(ctx, address, timeout, request)
	if !ok {
		return
	}
	if err := s.apply(k, address); err != nil {
		s.options.Log.Log(thevent.PeerAsked, thevent.F("peer", address), thevent.F("call", pathKnown), thevent.F("error", err.Error()))
	}
}

// askPeer asks the VM at the address for what the request lacks, and returns its answer,
// and false if there is none. It logs both.
func (s *Source) askPeer(ctx context.Context, address string, timeout time.Duration, request knownRequest) (knownResponse, bool) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	startedAt := time.Now()
	k, size, err := thwire.CallSized[knownRequest, knownResponse](callCtx, s.options.Client, address, pathKnown, request,
		time.Duration(request.WaitMillis)*time.Millisecond+maxFetchSilence)
	fields := []thevent.Field{thevent.F("peer", address), thevent.F("bytes", size), thevent.F("tookMillis", time.Since(startedAt).Milliseconds())}
	s.mu.Lock()
	if !s.behindSince.IsZero() {
		fields = append(fields, thevent.F("behindMillis", time.Since(s.behindSince).Milliseconds()))
	}
	s.mu.Unlock()
	if err != nil {
		s.options.Log.Log(thevent.PeerAsked, append(fields, thevent.F("error", err.Error()))...)
		return k, false
	}
	s.options.Log.Log(thevent.PeerAsked, append(fields, thevent.F("table", k.Table != nil), thevent.F("targets", k.Targets != nil),
		thevent.F("tableChanges", len(k.TableChanges)), thevent.F("targetChanges", len(k.TargetChanges)))...)
	s.options.Fleet.RecordPeers(k.VMs)
	return k, true
}

// nextRequest returns the request for what this VM lacks.
func (s *Source) nextRequest() knownRequest {
	s.mu.Lock()
	wantsWhole := s.wantsWhole
	s.mu.Unlock()
	s.content.mu.Lock()
	defer s.content.mu.Unlock()
	request := newKnownRequest(s.content.versionsLocked())
	if !wantsWhole {
		request.TableDigest, request.TargetsDigest = s.content.table.Digest(), s.content.targets.Digest()
	}
	return request
}

// apply applies what another VM sent. It returns an error if changes do not fit the
// content of this VM; the next request then asks for the whole content.
func (s *Source) apply(k knownResponse, address string) error {
	var tableErr, targetsErr error
	if k.Table != nil {
		s.applyTable(*k.Table, address)
	} else {
		tableErr = s.applyTableChanges(k.TableChanges, address)
	}
	s.learnKept(k.KeptOrders)
	if k.Targets != nil {
		s.applyTargets(*k.Targets)
		s.options.Fleet.NoteLeaving(k.Leaving)
	} else {
		targetsErr = s.applyTargetChanges(k.TargetChanges)
	}
	s.mu.Lock()
	s.wantsWhole = tableErr != nil || targetsErr != nil
	s.mu.Unlock()
	wake(s.news) // to announce what was fetched
	return errors.CombineErrors(tableErr, targetsErr)
}
