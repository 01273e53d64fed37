package thsource

import (
	"context"
	"slices"
	"sync"
	"time"

	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/io/thwire"
)

// pathRoster is the path of the call by which one VM learns of the others from another.
const pathRoster = "/roster"

// rosterRequest introduces the calling VM.
type rosterRequest struct {
	Self thfleet.Identity `json:"self"`
}

// rosterResponse holds the VMs that the called VM knows to run, itself included.
type rosterResponse struct {
	VMs []thfleet.Identity `json:"vms"`
	// Joined is set if the called VM knows all members of the fleet. Otherwise it has
	// just started itself.
	Joined bool `json:"joined"`
}

const (
	// seedRetryDelay is the time between two rounds of calls to the seeds.
	seedRetryDelay = 100 * time.Millisecond
	// seedPatience is how long a VM that starts waits for a seed that has joined the
	// fleet before it reads table and targets from the store, which costs money. If all
	// VMs restart at once, callers wait meanwhile.
	seedPatience = 60 * time.Millisecond
	// gatherTime is how long VMs that start together wait until they take those that the
	// seeds know for all members of the fleet.
	gatherTime = 250 * time.Millisecond
	// firstStartPatience replaces seedPatience when the fleet starts for the first time:
	// there are no callers yet, and each read of each VM would cost money.
	firstStartPatience = 2 * time.Second
	// storeJoinPatience is how long a VM waits for a seed before it learns of the other
	// VMs from the store.
	storeJoinPatience = time.Second
	// maxJoinDelay bounds the delay after a failed call for the store's list of VMs. All VMs
	// that start make this call if no seed is left.
	maxJoinDelay = 2 * time.Second
	// peersAskedAtStart is how many VMs chosen at random a VM that starts asks for table
	// and targets at most, until peersComparedAtStart have answered. It waits for each
	// for startFetchTimeout.
	peersAskedAtStart    = 3
	peersComparedAtStart = 2
	startFetchTimeout    = 150 * time.Millisecond
	// registeredRanks is how many VMs of each zone are listed in the store, for VMs that
	// start while all seeds are gone.
	registeredRanks = 2
	// registerInterval is how often a VM checks whether it has to be listed.
	registerInterval = time.Second
)

// registerRoster adds the handler of the call /roster to the server for other VMs.
func (s *Source) registerRoster(w *thwire.Server) {
	thwire.Handle(w, pathRoster, func(_ thwire.Sender, request rosterRequest) (rosterResponse, error) {
		vms, joined := s.options.Fleet.Roster()
		s.options.Fleet.NotePeer(request.Self)
		return rosterResponse{VMs: vms, Joined: joined}, nil
	})
}

// join makes this VM and the others known to each other, through a seed or, if none
// answers, through the store. It then lists this VM in the store while it is one of the
// first-ranked of its zone.
func (s *Source) join(ctx context.Context) {
	startedAt, storeAt := time.Now(), time.Now().Add(storeJoinPatience)
	if !s.hasSeeds() {
		storeAt = startedAt
	}
	answered := make(map[string]bool)
	for delay := time.Duration(0); sleep(ctx, delay, nil); delay = seedRetryDelay {
		joined := s.askSeeds(ctx, answered)
		if joined {
			wake(s.joined)
		}
		if joined || len(answered) > 0 && time.Since(startedAt) >= gatherTime {
			break
		}
		if len(answered) == 0 && !time.Now().Before(storeAt) {
			if s.joinThroughStore(ctx) {
				break
			}
			storeAt = time.Now().Add(max(minRetryDelay, min(maxJoinDelay, time.Since(startedAt))))
		}
	}
	if ctx.Err() != nil {
		return
	}
	s.options.Fleet.MarkJoined()
	s.askForKeptOrders(ctx)
	s.keepRegistered(ctx)
}

// loadAtStart gets table and targets for a VM that starts. It fetches them from other VMs
// if the fleet was running before, and else reads them from the store, unless another VM
// does so first.
func (s *Source) loadAtStart(ctx context.Context) {
	patience := seedPatience
	if s.options.FirstStart {
		patience = firstStartPatience
	}
	if !s.hasSeeds() {
		patience = 0
	}
	if s.awaitRunningFleet(ctx, patience) && s.fetchFromRandomPeers(ctx) || s.IsLoaded() || ctx.Err() != nil {
		return
	}
	var reads sync.WaitGroup
	reads.Go(func() { s.readTargets(ctx) })
	_, err := s.readTable(ctx, 0)
	reads.Wait()
	if err != nil {
		s.fetchFromSeeds(ctx)
	}
}

// awaitRunningFleet reports whether a seed answers within the given time that knows all
// members of the fleet. It also returns once this VM has table and targets.
func (s *Source) awaitRunningFleet(ctx context.Context, patience time.Duration) bool {
	timeout := time.NewTimer(patience)
	defer timeout.Stop()
	for {
		changed := s.content.nextChange()
		if s.IsLoaded() {
			return false
		}
		select {
		case <-s.joined:
			return true
		case <-changed:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// fetchFromRandomPeers asks other VMs for table and targets, and reports whether this VM
// has both. It asks those that have answered this VM's introduction, since others may
// have crashed, and applies the newest versions of two of them, since one may have been
// isolated and hold a key or target that was removed.
func (s *Source) fetchFromRandomPeers(ctx context.Context) bool {
	if !sleep(ctx, introductionDelay, nil) {
		return false
	}
	var newest knownResponse
	var source string
	answers := 0
	for _, p := range s.options.Fleet.RandomPeers(peersAskedAtStart) {
		k, ok := s.askPeer(ctx, p.Address, startFetchTimeout, newKnownRequest(newest.versions()))
		if !ok {
			continue
		}
		answers++
		if k.Table != nil {
			source = p.Address
			if newest.Table != nil {
				merged := newest.Table.Merged(*k.Table)
				k.Table = &merged
			}
			newest.Table = k.Table
		}
		newest.KeptOrders = append(newest.KeptOrders, k.KeptOrders...)
		if k.Targets != nil {
			newest.Targets, newest.Leaving = k.Targets, append(newest.Leaving, k.Leaving...)
		}
		if answers == peersComparedAtStart {
			break
		}
	}
	if err := s.apply(newest, source); err != nil {
		s.options.Log.Log(thevent.PeerAsked, thevent.F("peer", source), thevent.F("call", pathKnown), thevent.F("error", err.Error()))
	}
	return s.IsLoaded()
}

// versions returns the versions of the whole content in the response.
func (k knownResponse) versions() (v thfleet.StoreVersions) {
	if k.Table != nil {
		v.Table, v.Orders = k.Table.Version, k.Table.Orders.Position
	}
	if k.Targets != nil {
		v.Targets = k.Targets.Position
	}
	return v
}

// introductionDelay is how long answers to an introduction take.
const introductionDelay = 20 * time.Millisecond

// otherSeeds returns the seeds without this VM.
func (s *Source) otherSeeds() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var seeds []string
	for _, address := range s.options.Seeds {
		if address != s.options.Self.Address {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

func (s *Source) hasSeeds() bool { return len(s.otherSeeds()) > 0 }

// askSeeds asks the seeds that have not answered yet for the VMs that they know, and adds
// those that do to answered. One answer of each is enough: VMs that the seed does not know
// yet will learn of this one from it. askSeeds reports whether a seed has joined the fleet,
// as soon as that is known.
func (s *Source) askSeeds(ctx context.Context, answered map[string]bool) (joined bool) {
	type result struct {
		address string
		roster  rosterResponse
		err     error
	}
	seeds := slices.DeleteFunc(s.otherSeeds(), func(address string) bool { return answered[address] })
	results := make(chan result, len(seeds))
	for _, address := range seeds {
		go func() {
			roster, err := s.fetchRoster(ctx, address)
			results <- result{address, roster, err}
		}()
	}
	for range seeds {
		r := <-results
		if r.err != nil {
			continue // fetchRoster has logged the error
		}
		answered[r.address] = true
		if r.roster.Joined {
			return true
		}
	}
	return false
}

// rosterTimeout bounds a call for the list of VMs.
const rosterTimeout = 300 * time.Millisecond

// fetchRoster asks another VM for those that it knows, and records them.
func (s *Source) fetchRoster(ctx context.Context, address string) (rosterResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	r, err := thwire.Call[rosterRequest, rosterResponse](callCtx, s.options.Client, address, pathRoster, rosterRequest{Self: s.options.Self})
	fields := []thevent.Field{thevent.F("peer", address), thevent.F("call", pathRoster)}
	if err != nil {
		s.options.Log.Log(thevent.PeerAsked, append(fields, thevent.F("error", err.Error()))...)
		return r, err
	}
	s.options.Log.Log(thevent.PeerAsked, append(fields, thevent.F("vms", len(r.VMs)), thevent.F("joined", r.Joined))...)
	s.options.Fleet.RecordPeers(r.VMs)
	return r, nil
}

// CompareRoster asks a VM that knows other VMs than this one for them.
func (s *Source) CompareRoster(ctx context.Context, address string) {
	_, _ = s.fetchRoster(ctx, address) // fetchRoster logs the error; the VMs are compared again with the next probes
}

// joinThroughStore adds this VM to the store's list of VMs and records the others. It
// reports whether the store answered.
func (s *Source) joinThroughStore(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	era := s.versions().Targets.Era // if a higher one becomes known during the call, the row may be gone
	all, err := s.options.Store.Join(callCtx, s.options.Self)
	s.recordStoreResult(ctx, err)
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.registered, s.registeredEra = true, era
	s.mu.Unlock()
	s.options.Fleet.RecordPeers(all)
	s.options.Fleet.NoteEra(s.options.Store.Era()) // a reader of an older build tells none
	return true
}

// keepRegistered lists this VM in the store once it is one of the first-ranked of its
// zone, until the context ends. It does so again when the store has come back from an older copy.
func (s *Source) keepRegistered(ctx context.Context) {
	for sleep(ctx, registerInterval, nil) {
		if !s.isRegistered() && s.options.Fleet.ZoneRank() < registeredRanks {
			s.joinThroughStore(ctx)
		}
	}
}

// isRegistered reports whether this VM was listed in the store's current era.
func (s *Source) isRegistered() bool {
	era := s.versions().Targets.Era
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registered && s.registeredEra >= era
}

// Leave removes this VM from the store's list of VMs if it may be there.
func (s *Source) Leave(ctx context.Context) error {
	s.mu.Lock()
	registered := s.registered
	s.mu.Unlock()
	if !registered {
		return nil
	}
	return s.options.Store.Leave(ctx, s.options.Self)
}
