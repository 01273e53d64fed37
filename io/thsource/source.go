// Package thsource keeps a VM's routing table and list of targets current.
//
// One VM reads the platform's store and tells the leaders of the other zones; a
// leader fetches what it lacks and tells the others of its zone, which fetch
// from it. A VM that hears of no reading reads for itself, and one that cannot
// reach the store asks any VM that knows more. Versions only rise.
package thsource

import (
	"context"
	"sync"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thwire"
)

// Store is the platform's store, as far as it holds what this package needs.
// Errors are of kind StoreUnavailable if nothing was done.
type Store interface {
	// Table returns the routing table. If its version is not above the given
	// one, the call waits up to the given time for a newer one.
	Table(ctx context.Context, after uint64, wait time.Duration) (thtable.Document, error)
	// Targets returns the list of targets. Its version rises only if something
	// changed that matters.
	Targets(ctx context.Context) (thtable.TargetList, error)
	// Join lists this VM, and returns all that are listed.
	Join(ctx context.Context, self thfleet.Identity) ([]thfleet.Identity, error)
	// Leave takes this VM off the list.
	Leave(ctx context.Context, self thfleet.Identity) error
}

// Fleet is what the source asks of the fleet of VMs.
type Fleet interface {
	// Role returns what this VM has to do to keep its zone current.
	Role() thfleet.Duty
	// HasOtherZoneRead reports whether a VM of another zone has read the store lately.
	HasOtherZoneRead() bool
	// FindNewer returns a VM that knows what this one lacks.
	FindNewer(have thfleet.Reading) (thfleet.Identity, bool)
	// RecordPeers takes in VMs that are listed.
	RecordPeers(all []thfleet.Identity)
	// AnnounceVersions tells the zone what this VM knows that is current and, if the VM has
	// read it itself, the leaders of the other zones.
	AnnounceVersions(r thfleet.Reading, read bool)
}

// Options are what a Source is made of.
type Options struct {
	Self  thfleet.Identity
	Seeds []string
	Store Store
	Fleet Fleet
	// Client makes the calls to other VMs.
	Client *thwire.Client
	Log    thevent.Logger
	// ApplyTable and ApplyTargets take in what is newer.
	ApplyTable   func(thtable.Table)
	ApplyTargets func([]thtable.Target)
}

const (
	// roleCheckInterval is how often a VM that does not read looks whether it should.
	roleCheckInterval = 250 * time.Millisecond
	// storeTimeout bounds a call to the store; it may be sixty times slower
	// than its usual 4 ms.
	storeTimeout = time.Second
	// tableLongPoll is how long a call waits for a newer table.
	tableLongPoll = 15 * time.Second
	// minRetryDelay and maxRetryPause bound the pause after a failed call, which
	// doubles: each call is paid for.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Source keeps table and targets current. Make one with New.
type Source struct {
	options Options
	wake    chan struct{}

	mu      sync.Mutex
	table   thtable.Table
	targets thtable.TargetList
	// reader is set while this VM reads the store.
	reader bool
	// answeredAt is when the store last answered.
	answeredAt time.Time
	storeLost  bool
	// storeLostAt is when the store was lost; until keepUnlistedUntil, targets that are no
	// longer listed are kept.
	storeLostAt, keepUnlistedUntil time.Time
}

// New returns a source that knows nothing yet.
func New(options Options) *Source {
	return &Source{options: options, wake: make(chan struct{}, 1)}
}

// Table returns the table in force.
func (s *Source) Table() thtable.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// IsLoaded reports whether the VM has a table and a list of targets.
func (s *Source) IsLoaded() bool {
	have := s.versions()
	return have.Table > 0 && have.Targets > 0
}

// Status is how current a source is, for metrics.
type Status struct {
	TableVersion, TargetsVersion uint64
	TargetCount                  int
	IsReader, IsStoreReachable   bool
	ReadAgeMillis                int64
}

// Status returns how current the source is.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		TableVersion: s.table.Version(), TargetsVersion: s.targets.Version, TargetCount: len(s.targets.Targets),
		IsReader: s.reader, IsStoreReachable: !s.storeLost, ReadAgeMillis: time.Since(s.answeredAt).Milliseconds(),
	}
}

func (s *Source) versions() thfleet.Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return thfleet.Reading{Table: s.table.Version(), Targets: s.targets.Version}
}

// HandleAnnouncement makes the source act at once on what another VM has told of its
// reading: this VM may lack it, or be the one to pass it on.
func (s *Source) HandleAnnouncement() {
	if _, behind := s.options.Fleet.FindNewer(s.versions()); !behind && s.options.Fleet.Role() != thfleet.Relay {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// SetSeeds replaces the addresses of the VMs that are asked while the store
// does not answer.
func (s *Source) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Seeds = seeds
}

// Run keeps table and targets current until the context ends.
func (s *Source) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { s.syncTable(ctx) })
	all.Go(func() { s.syncTargets(ctx) })
	all.Go(func() { s.join(ctx) })
	all.Wait()
}

// syncTargets reads the list of targets while this VM is the reader, and
// else fetches what the reader has told of.
func (s *Source) syncTargets(ctx context.Context) {
	pause := time.Duration(0)
	for sleep(ctx, pause, s.wake) {
		s.fetchFromNewest(ctx)
		duty := s.options.Fleet.Role()
		s.setReader(duty == thfleet.Read)
		switch {
		case duty == thfleet.Follow:
			pause = roleCheckInterval
		case duty == thfleet.Relay:
			pause = roleCheckInterval
			s.options.Fleet.AnnounceVersions(s.versions(), false)
		case s.readTargets(ctx):
			pause = thfleet.ReadEvery
			s.options.Fleet.AnnounceVersions(s.versions(), true)
		default:
			pause = min(maxRetryDelay, max(minRetryDelay, 2*pause))
			s.handleReadFailure(ctx)
		}
	}
}

// handleReadFailure makes the best of a store that does not answer: what a VM of
// another zone has read is as good, and spares the zone a further reader.
func (s *Source) handleReadFailure(ctx context.Context) {
	if s.IsLoaded() && s.options.Fleet.HasOtherZoneRead() {
		s.options.Fleet.AnnounceVersions(s.versions(), false)
		return
	}
	s.fetchFromSeeds(ctx)
}

// sleep waits for the pause or a wake-up, and returns false if the context
// ended.
func sleep(ctx context.Context, pause time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-t.C:
	}
	return true
}

func (s *Source) setReader(reading bool) {
	s.mu.Lock()
	was := s.reader
	s.reader = reading
	s.mu.Unlock()
	switch {
	case reading && !was:
		s.options.Log.Log(thevent.ReadingBegun)
	case was && !reading:
		s.options.Log.Log(thevent.ReadingEnded)
	}
}

func (s *Source) readTargets(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := s.options.Store.Targets(bounded)
	s.mu.Lock()
	if err == nil && s.storeLost && time.Since(s.storeLostAt) > minOutage {
		s.keepUnlistedUntil = time.Now().Add(relistTimeout)
	}
	s.mu.Unlock()
	s.recordStoreResult(ctx, err)
	if err != nil {
		return false
	}
	s.applyTargetsRead(list)
	return true
}

const (
	// minOutage is how long the store has to be out of reach for entries to have
	// lapsed for want of it: targets write each 1.5 s and lapse after three, so
	// that one may have been close to its end before.
	minOutage = 1500 * time.Millisecond
	// relistTimeout is how long entries that lapsed during an outage may take to
	// come back.
	relistTimeout = 2200 * time.Millisecond
)

// applyTargetsRead takes in a list that was read from the store. Its version counts
// only if something changed.
func (s *Source) applyTargetsRead(list thtable.TargetList) {
	s.mu.Lock()
	if time.Now().Before(s.keepUnlistedUntil) {
		list = list.WithKept(s.targets.Targets)
	}
	same := s.targets.Version > 0 && thtable.Same(s.targets.Targets, list.Targets)
	s.mu.Unlock()
	if !same {
		s.applyTargets(list)
	}
}

// recordStoreResult logs when the store is lost and regained.
func (s *Source) recordStoreResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	was := s.storeLost
	s.storeLost = err != nil
	switch {
	case err == nil:
		s.answeredAt = time.Now()
	case !was:
		s.storeLostAt = time.Now()
	}
	age := time.Since(s.answeredAt)
	s.mu.Unlock()
	switch {
	case err != nil && !was:
		s.options.Log.Log(thevent.StoreLost, thevent.F("error", err.Error()), thevent.F("ageMillis", age.Milliseconds()))
	case err == nil && was:
		s.options.Log.Log(thevent.StoreRegained)
	}
}

// syncTable waits at the store for newer tables while this VM is the reader.
func (s *Source) syncTable(ctx context.Context) {
	pause := time.Duration(0)
	for sleep(ctx, pause, nil) {
		if s.options.Fleet.Role() != thfleet.Read {
			pause = roleCheckInterval
			continue
		}
		asked := time.Now()
		bounded, cancel := context.WithTimeout(ctx, tableLongPoll+storeTimeout)
		d, err := s.options.Store.Table(bounded, s.versions().Table, tableLongPoll)
		cancel()
		if err != nil {
			if therror.Is(err, therror.MessageMalformed) {
				s.options.Log.Log(thevent.TableRefused, thevent.F("error", err.Error()))
			}
			pause = min(maxRetryDelay, max(minRetryDelay, 2*pause))
			continue
		}
		pause = 0
		if !s.applyTable(d) && time.Since(asked) < minRetryDelay {
			pause = minRetryDelay // a store without history or configuration answers at once
			continue
		}
		if s.isReader() {
			s.options.Fleet.AnnounceVersions(s.versions(), true)
		}
	}
}

func (s *Source) isReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader
}

func (s *Source) applyTable(d thtable.Document) bool {
	s.mu.Lock()
	if d.Version <= s.table.Version() {
		s.mu.Unlock()
		return false
	}
	t := thtable.New(d)
	s.table = t
	s.mu.Unlock()
	s.options.ApplyTable(t)
	s.options.Log.Log(thevent.TableApplied, thevent.F("version", d.Version), thevent.F("routes", len(d.Routes)), thevent.F("customers", len(d.Customers)))
	return true
}

func (s *Source) applyTargets(list thtable.TargetList) {
	s.mu.Lock()
	before := s.targets
	if list.Version <= before.Version {
		s.mu.Unlock()
		return
	}
	s.targets = list
	s.mu.Unlock()
	s.options.ApplyTargets(list.Targets)
	s.logTargetChanges(before, list)
}

func (s *Source) logTargetChanges(before, after thtable.TargetList) {
	known := make(map[string]thtable.Target, len(before.Targets))
	for _, t := range before.Targets {
		known[t.ID] = t
	}
	for _, t := range after.Targets {
		was, ok := known[t.ID]
		delete(known, t.ID)
		switch {
		case !ok:
			s.logTarget(thevent.TargetListed, t, after.Version)
		case t.Leaving && !was.Leaving:
			s.logTarget(thevent.TargetLeaving, t, after.Version)
		}
	}
	for _, t := range known {
		s.logTarget(thevent.TargetGone, t, after.Version)
	}
}

func (s *Source) logTarget(id thevent.ID, t thtable.Target, version uint64) {
	s.options.Log.Log(id, thevent.F("target", t.ID), thevent.F("service", t.Service), thevent.F("address", t.Address), thevent.F("version", version))
}

// join lists this VM and takes in those that are listed.
func (s *Source) join(ctx context.Context) {
	for pause := time.Duration(0); sleep(ctx, pause, nil); pause = min(maxRetryDelay, max(minRetryDelay, 2*pause)) {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		all, err := s.options.Store.Join(bounded, s.options.Self)
		cancel()
		s.recordStoreResult(ctx, err)
		if err == nil {
			s.options.Fleet.RecordPeers(all)
			return
		}
	}
}

// Leave takes this VM off the list.
func (s *Source) Leave(ctx context.Context) error { return s.options.Store.Leave(ctx, s.options.Self) }
