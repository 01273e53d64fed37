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
	// Duty returns what this VM has to do to keep its zone current.
	Duty() thfleet.Duty
	// ReadElsewhere reports whether a VM of another zone has read the store lately.
	ReadElsewhere() bool
	// Ahead returns a VM that knows what this one lacks.
	Ahead(have thfleet.Reading) (thfleet.Identity, bool)
	// Introduce takes in VMs that are listed.
	Introduce(all []thfleet.Identity)
	// Tell tells the zone what this VM knows that is current and, if the VM has
	// read it itself, the leaders of the other zones.
	Tell(r thfleet.Reading, read bool)
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
	// lookEvery is how often a VM that does not read looks whether it should.
	lookEvery = 250 * time.Millisecond
	// callTimeout bounds a call to the store; it may be sixty times slower
	// than its usual 4 ms.
	callTimeout = time.Second
	// tableWait is how long a call waits for a newer table.
	tableWait = 15 * time.Second
	// retryPause and maxRetryPause bound the pause after a failed call, which
	// doubles: each call is paid for.
	retryPause    = 250 * time.Millisecond
	maxRetryPause = 2 * time.Second
)

// Source keeps table and targets current. Make one with New.
type Source struct {
	o    Options
	wake chan struct{}

	mu      sync.Mutex
	table   thtable.Table
	targets thtable.TargetList
	// reading is set while this VM reads the store.
	reading bool
	// readAt is when the store last answered.
	readAt time.Time
	lost   bool
	// lostAt is when the store was lost; until keepUntil, targets that are no
	// longer listed are kept.
	lostAt, keepUntil time.Time
}

// New returns a source that knows nothing yet.
func New(o Options) *Source {
	return &Source{o: o, wake: make(chan struct{}, 1)}
}

// Table returns the table in force.
func (s *Source) Table() thtable.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// Known reports whether the VM has a table and a list of targets.
func (s *Source) Known() bool {
	have := s.have()
	return have.Table > 0 && have.Targets > 0
}

// Status is how current a source is, for metrics.
type Status struct {
	TableVersion, TargetsVersion uint64
	Targets                      int
	Reading, StoreAnswers        bool
	ReadAgeMillis                int64
}

// Status returns how current the source is.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		TableVersion: s.table.Version(), TargetsVersion: s.targets.Version, Targets: len(s.targets.Targets),
		Reading: s.reading, StoreAnswers: !s.lost, ReadAgeMillis: time.Since(s.readAt).Milliseconds(),
	}
}

func (s *Source) have() thfleet.Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return thfleet.Reading{Table: s.table.Version(), Targets: s.targets.Version}
}

// Heard makes the source act at once on what another VM has told of its
// reading: this VM may lack it, or be the one to pass it on.
func (s *Source) Heard() {
	if _, behind := s.o.Fleet.Ahead(s.have()); !behind && s.o.Fleet.Duty() != thfleet.Relay {
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
	s.o.Seeds = seeds
}

// Run keeps table and targets current until the context ends.
func (s *Source) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { s.followTable(ctx) })
	all.Go(func() { s.followTargets(ctx) })
	all.Go(func() { s.join(ctx) })
	all.Wait()
}

// followTargets reads the list of targets while this VM is the reader, and
// else fetches what the reader has told of.
func (s *Source) followTargets(ctx context.Context) {
	pause := time.Duration(0)
	for sleep(ctx, pause, s.wake) {
		s.fetch(ctx)
		duty := s.o.Fleet.Duty()
		s.note(duty == thfleet.Read)
		switch {
		case duty == thfleet.Follow:
			pause = lookEvery
		case duty == thfleet.Relay:
			pause = lookEvery
			s.o.Fleet.Tell(s.have(), false)
		case s.readTargets(ctx):
			pause = thfleet.ReadEvery
			s.o.Fleet.Tell(s.have(), true)
		default:
			pause = min(maxRetryPause, max(retryPause, 2*pause))
			s.readFailed(ctx)
		}
	}
}

// readFailed makes the best of a store that does not answer: what a VM of
// another zone has read is as good, and spares the zone a further reader.
func (s *Source) readFailed(ctx context.Context) {
	if s.Known() && s.o.Fleet.ReadElsewhere() {
		s.o.Fleet.Tell(s.have(), false)
		return
	}
	s.askSeeds(ctx)
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

func (s *Source) note(reading bool) {
	s.mu.Lock()
	was := s.reading
	s.reading = reading
	s.mu.Unlock()
	switch {
	case reading && !was:
		s.o.Log.Log(thevent.ReadingBegun)
	case was && !reading:
		s.o.Log.Log(thevent.ReadingEnded)
	}
}

func (s *Source) readTargets(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := s.o.Store.Targets(bounded)
	s.mu.Lock()
	if err == nil && s.lost && time.Since(s.lostAt) > outage {
		s.keepUntil = time.Now().Add(lapsedBack)
	}
	s.mu.Unlock()
	s.noteStore(ctx, err)
	if err != nil {
		return false
	}
	s.applyRead(list)
	return true
}

const (
	// outage is how long the store has to be out of reach for entries to have
	// lapsed for want of it: targets write each 1.5 s and lapse after three, so
	// that one may have been close to its end before.
	outage = 1500 * time.Millisecond
	// lapsedBack is how long entries that lapsed during an outage may take to
	// come back.
	lapsedBack = 2200 * time.Millisecond
)

// applyRead takes in a list that was read from the store. Its version counts
// only if something changed.
func (s *Source) applyRead(list thtable.TargetList) {
	s.mu.Lock()
	if time.Now().Before(s.keepUntil) {
		list = list.WithRetained(s.targets.Targets)
	}
	same := s.targets.Version > 0 && thtable.EqualTargets(s.targets.Targets, list.Targets)
	s.mu.Unlock()
	if !same {
		s.applyTargets(list)
	}
}

// noteStore logs when the store is lost and regained.
func (s *Source) noteStore(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	was := s.lost
	s.lost = err != nil
	switch {
	case err == nil:
		s.readAt = time.Now()
	case !was:
		s.lostAt = time.Now()
	}
	age := time.Since(s.readAt)
	s.mu.Unlock()
	switch {
	case err != nil && !was:
		s.o.Log.Log(thevent.StoreLost, thevent.F("error", err.Error()), thevent.F("ageMillis", age.Milliseconds()))
	case err == nil && was:
		s.o.Log.Log(thevent.StoreRegained)
	}
}

// followTable waits at the store for newer tables while this VM is the reader.
func (s *Source) followTable(ctx context.Context) {
	pause := time.Duration(0)
	for sleep(ctx, pause, nil) {
		if s.o.Fleet.Duty() != thfleet.Read {
			pause = lookEvery
			continue
		}
		asked := time.Now()
		bounded, cancel := context.WithTimeout(ctx, tableWait+callTimeout)
		d, err := s.o.Store.Table(bounded, s.have().Table, tableWait)
		cancel()
		if err != nil {
			if therror.Is(err, therror.MessageMalformed) {
				s.o.Log.Log(thevent.TableRefused, thevent.F("error", err.Error()))
			}
			pause = min(maxRetryPause, max(retryPause, 2*pause))
			continue
		}
		pause = 0
		if !s.applyTable(d) && time.Since(asked) < retryPause {
			pause = retryPause // a store without history or configuration answers at once
			continue
		}
		if s.isReading() {
			s.o.Fleet.Tell(s.have(), true)
		}
	}
}

func (s *Source) isReading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reading
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
	s.o.ApplyTable(t)
	s.o.Log.Log(thevent.TableApplied, thevent.F("version", d.Version), thevent.F("routes", len(d.Routes)), thevent.F("customers", len(d.Customers)))
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
	s.o.ApplyTargets(list.Targets)
	s.noteTargets(before, list)
}

func (s *Source) noteTargets(before, after thtable.TargetList) {
	known := make(map[string]thtable.Target, len(before.Targets))
	for _, t := range before.Targets {
		known[t.ID] = t
	}
	for _, t := range after.Targets {
		was, ok := known[t.ID]
		delete(known, t.ID)
		switch {
		case !ok:
			s.noteTarget(thevent.TargetListed, t, after.Version)
		case t.Draining && !was.Draining:
			s.noteTarget(thevent.TargetLeaving, t, after.Version)
		}
	}
	for _, t := range known {
		s.noteTarget(thevent.TargetGone, t, after.Version)
	}
}

func (s *Source) noteTarget(id thevent.ID, t thtable.Target, version uint64) {
	s.o.Log.Log(id, thevent.F("target", t.ID), thevent.F("service", t.Service), thevent.F("address", t.Address), thevent.F("version", version))
}

// join lists this VM and takes in those that are listed.
func (s *Source) join(ctx context.Context) {
	for pause := time.Duration(0); sleep(ctx, pause, nil); pause = min(maxRetryPause, max(retryPause, 2*pause)) {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		all, err := s.o.Store.Join(bounded, s.o.Self)
		cancel()
		s.noteStore(ctx, err)
		if err == nil {
			s.o.Fleet.Introduce(all)
			return
		}
	}
}

// Leave takes this VM off the list.
func (s *Source) Leave(ctx context.Context) error { return s.o.Store.Leave(ctx, s.o.Self) }
