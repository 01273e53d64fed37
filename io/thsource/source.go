// Package thsource keeps a VM's routing table and list of targets current.
//
// One VM, the reader, reads the platform's store and announces the versions it
// holds, and how old its reads are, to its zone and to the leaders of the other
// zones. A leader fetches newer versions from the reader and announces them in its
// zone, whose VMs fetch them from the leader; a deputy does so for a leader that
// does not. A VM that hears of no recent read of both table and targets reads the
// store itself, and one that cannot reach the store fetches from any VM that has
// newer versions. The table is ordered by its own version, which only rises, the list of
// targets and the orders to evacuate zones, which are a part of the table, by their positions
// in the store's history, since the store may come back from an older copy of itself. What a
// VM knows of targets and orders is not taken back by such a copy.
package thsource

import (
	"context"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/io/thwire"
)

// Store holds the routing table, the list of targets and the list of VMs.
// Errors have the kind StoreUnavailable if the call had no effect, and
// MessageMalformed if the store holds a table that cannot be decoded.
type Store interface {
	// Table returns the routing table. If its version is not above after, the
	// call waits for a newer one, or for another order to evacuate a zone, for at most wait.
	// The orders have the position of the read, at which they are complete. With a
	// MessageMalformed error it returns the orders, and the last table that can be decoded.
	Table(ctx context.Context, after uint64, wait time.Duration) (thtable.Document, error)
	// Targets returns the list of targets. Each change raises its version, which
	// may also rise without one. If the store is silent, it returns within about a second.
	Targets(ctx context.Context) (thtable.TargetList, error)
	// Join adds this VM to the list of VMs and returns the whole list.
	Join(ctx context.Context, self thfleet.Identity) ([]thfleet.Identity, error)
	// Leave removes this VM from the list of VMs.
	Leave(ctx context.Context, self thfleet.Identity) error
	// Era returns the highest era that the store has told this VM; 0 if it has told none.
	Era() uint64
}

// Fleet is the source's access to the other VMs.
type Fleet interface {
	// Role returns whether this VM reads the store, relays within its zone or
	// follows.
	Role() thfleet.Role
	// RoleBasis returns what the role follows from.
	RoleBasis() thfleet.RoleBasis
	// IsRelayDue reports whether this VM has to announce the versions that it holds to its
	// zone because they are newer than what was announced there, or because another VM has
	// read the store since.
	IsRelayDue(have thfleet.StoreVersions) bool
	// FetchOrder returns the VMs from which to fetch what is newer than the given
	// versions, in the order in which to ask them; none if there is nothing newer.
	FetchOrder(have thfleet.StoreVersions) []thfleet.Identity
	// RecordPeers records the listed VMs and introduces this one to those that are new.
	RecordPeers(all []thfleet.Identity)
	// NotePeer records a VM that has just started and will introduce itself.
	NotePeer(i thfleet.Identity)
	// Roster returns the VMs that are known to run, this one included, and whether
	// these are all members of the fleet.
	Roster() (vms []thfleet.Identity, joined bool)
	// NoteEra records an era of the store, and returns since when any VM is known to have seen
	// it.
	NoteEra(era uint64) thclock.Instant
	// LeavingTargets returns the targets that have said that they leave, and NoteLeaving records
	// those that another VM knows.
	LeavingTargets() []thfleet.LeavingTarget
	NoteLeaving(targets []thfleet.LeavingTarget)
	// MarkJoined records that all members of the fleet are known, and IsJoined reports
	// whether they are.
	MarkJoined()
	IsJoined() bool
	// RandomPeers returns up to n live VMs.
	RandomPeers(n int) []thfleet.Identity
	// ZoneRank returns this VM's rank in its zone; the first ones lead it.
	ZoneRank() int
	// AnnounceVersions sends the versions that this VM holds, and how long ago it has read
	// them from the store itself, to its zone and, if elsewhere is set, to the leaders and
	// deputies of the other zones.
	AnnounceVersions(versions thfleet.StoreVersions, own thfleet.ReadAges, elsewhere bool)
}

// Options configure a Source.
type Options struct {
	Self thfleet.Identity
	// Seeds are the addresses, "IP:port", of VMs to learn of the other VMs from, and to
	// fetch from while the store does not answer.
	Seeds []string
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	Store      Store
	Fleet      Fleet
	// Client makes the calls to other VMs.
	Client *thwire.Client
	Log    thevent.Logger
	// ApplyTable and ApplyTargets are called with each newer version.
	ApplyTable   func(thtable.Table)
	ApplyTargets func([]thtable.Target)
	// ApplyEvacuated is called with the evacuated zones, in their order, when they change, and
	// the position of the orders; nil is allowed.
	ApplyEvacuated func(zones []string, at thtable.Position)
}

const (
	// roleCheckInterval is how often a VM that is not the reader checks whether
	// it has become so.
	roleCheckInterval = 250 * time.Millisecond
	// relayCheckInterval is how often a VM checks whether it has to relay without having been
	// told.
	relayCheckInterval = time.Second
	// storeTimeout bounds a call to the store, which usually takes 4 ms but may
	// be sixty times slower.
	storeTimeout = time.Second
	// listTimeout bounds a read of the list of targets, which may take many calls.
	listTimeout = 10 * time.Second
	// tableLongPoll is how long a call waits at the store for a newer table. A
	// connection that has gone silent holds back changes for that long and storeTimeout.
	tableLongPoll = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. It
	// doubles with each failure because every call to the store costs money.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 750 * time.Millisecond
	// lostTableRetryDelay replaces maxRetryDelay for the table while the reads of the
	// targets fail too: the first one that succeeds wakes the table's.
	lostTableRetryDelay = 3 * time.Second
)

// Source keeps the routing table and the list of targets current. Create it with
// New.
type Source struct {
	options Options
	// targetsDue and tableDue wake the goroutines that read the list of targets and the
	// table, behind and news those that fetch from other VMs and relay what they announce.
	targetsDue, tableDue, behind, news chan struct{}
	// joined wakes the goroutine that loads table and targets once this VM has joined a
	// fleet that was running before.
	joined  chan struct{}
	fetches fetches

	content content
	answers answerCache

	mu sync.Mutex
	// wantsWhole is set if changes from another VM did not fit.
	wantsWhole bool
	// reader tells whether this VM is the one that reads the store.
	reader bool
	reads  ownReads
	// registered is set once this VM has been in the store's list of VMs, and registeredEra is
	// the era in which it was written there.
	registered    bool
	registeredEra uint64
	// answeredAt is when the store last answered a call of Targets or Join.
	answeredAt time.Time
	// storeLost tells whether the last call of Targets or Join failed.
	storeLost bool
	// behindSince is when this VM learned that another VM has newer versions; zero
	// if it knows of none.
	behindSince time.Time
	// fleetReadAt is when this VM last read the store, or heard of a VM that had.
	fleetReadAt time.Time
	// olderTable is the last version of a table in the store that was older than this VM's.
	olderTable uint64
	// announced are the versions that this VM last announced.
	announced thfleet.StoreVersions
	// storeLostAt is when the store first failed to answer in the last outage.
	// Until keepUnlistedUntil, targets that are no longer listed are kept.
	storeLostAt, keepUnlistedUntil time.Time
}

// New returns a source without table and targets; Run gets them.
func New(options Options) *Source {
	if options.ApplyEvacuated == nil {
		options.ApplyEvacuated = func([]string, thtable.Position) {}
	}
	return &Source{
		options: options, joined: make(chan struct{}, 1),
		targetsDue: make(chan struct{}, 1), tableDue: make(chan struct{}, 1), behind: make(chan struct{}, 1), news: make(chan struct{}, 1),
		fetches: fetches{underWay: make(map[string]bool)}, content: content{changed: make(chan struct{})},
	}
}

// Table returns the current routing table.
func (s *Source) Table() thtable.Table { return s.content.currentTable() }

// IsLoaded reports whether the source has both a table and a list of targets.
func (s *Source) IsLoaded() bool {
	have := s.versions()
	return have.Table > 0 && !have.Targets.IsZero()
}

// AwaitLoaded waits until IsLoaded, but not beyond the time until or the context.
func (s *Source) AwaitLoaded(ctx context.Context, until time.Time) {
	s.content.await(ctx, until, s.IsLoaded)
}

// Status tells which versions a source holds and how it gets them, for metrics
// and operators.
type Status struct {
	TableVersion uint64
	// Targets is the position of the list of targets, and TargetCount how many are in use.
	Targets     thtable.Position
	TargetCount int
	// Orders is the position of the orders to evacuate zones, and Evacuated holds the zones that
	// are evacuated on this VM, in their order.
	Orders                     thtable.Position
	Evacuated                  []string
	IsReader, IsStoreReachable bool
	// ReadAgeMillis is the time since the store last answered this VM's call of
	// Targets or Join.
	ReadAgeMillis int64
}

// Status returns the source's current status.
func (s *Source) Status() Status {
	table, have, used := s.content.currentTable(), s.versions(), s.content.knownTargets().Targets()
	evacuated := s.content.knownOrders().Zones()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		TableVersion: table.Version(), Targets: have.Targets, TargetCount: len(used), Orders: have.Orders, Evacuated: evacuated,
		IsReader: s.reader, IsStoreReachable: !s.storeLost, ReadAgeMillis: time.Since(s.answeredAt).Milliseconds(),
	}
}

func (s *Source) versions() thfleet.StoreVersions { return s.content.versions() }

// HandleAnnouncement makes the source act at once on versions that another VM has
// announced, which were read as long ago as given, if this VM lacks them or relays them
// within its zone.
func (s *Source) HandleAnnouncement(ages thfleet.ReadAges) {
	if ages.Targets != thfleet.UnknownReadAge {
		s.recordFleetRead(time.Now().Add(-time.Duration(ages.Targets) * time.Millisecond))
	}
	behind := len(s.options.Fleet.FetchOrder(s.versions())) > 0
	s.recordBehind(behind)
	if behind {
		wake(s.behind)
	}
	wake(s.news)
}

// wake makes the goroutine that waits for the channel continue, now or when it next
// waits.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// recordBehind records whether another VM is known to have newer versions, and
// returns since when.
func (s *Source) recordBehind(behind bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !behind:
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = time.Now()
	}
	return s.behindSince
}

// SetSeeds replaces the addresses of the VMs to fetch from while the store does
// not answer.
func (s *Source) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Seeds = seeds
}

// Run joins the fleet and keeps table and targets current until the context
// ends.
func (s *Source) Run(ctx context.Context) {
	var goroutines sync.WaitGroup
	for _, task := range []func(context.Context){s.join, s.loadAtStart, s.syncTable, s.syncTargets, s.syncFromPeers, s.relay} {
		goroutines.Go(func() { task(ctx) })
	}
	goroutines.Wait()
	s.fetches.done.Wait()
}

// syncTargets reads the list of targets from the store while this VM is the reader.
func (s *Source) syncTargets(ctx context.Context) {
	delay := time.Duration(0)
	for sleep(ctx, delay, s.targetsDue) {
		s.updateTargets()
		s.updateOrders()
		role := s.options.Fleet.Role()
		s.setReader(role == thfleet.Reader)
		switch {
		case role != thfleet.Reader:
			delay = roleCheckInterval
		case s.readTargets(ctx):
			delay = thfleet.ReadInterval
			s.announce(true)
		default:
			delay = min(maxRetryDelay, max(minRetryDelay, 2*delay))
			s.fetchFromSeeds(ctx)
		}
	}
}

// relay announces what other VMs have announced, and this VM has fetched, to its zone while
// this VM leads it or is a deputy. A leader that reads the store itself relays too, since
// its own reads may fail.
func (s *Source) relay(ctx context.Context) {
	for sleep(ctx, relayCheckInterval, s.news) {
		if s.options.Fleet.IsRelayDue(s.versions()) {
			s.announce(false)
		}
	}
}

// announce announces this VM's versions, to the leaders and deputies of the other zones too
// if elsewhere is set. It logs versions that are newer than those before.
func (s *Source) announce(elsewhere bool) {
	versions := s.versions()
	s.mu.Lock()
	isNewer, ages := versions.IsNewerThan(s.announced), s.reads.ages(time.Now())
	s.announced = versions
	s.mu.Unlock()
	s.options.Fleet.AnnounceVersions(versions, ages, elsewhere)
	if isNewer {
		s.options.Log.Log(thevent.VersionsAnnounced, thevent.F("version", versions.Table), thevent.F("targets", versions.Targets.Version), thevent.F("era", versions.Targets.Era), thevent.F("orders", versions.Orders.Version),
			thevent.F("tableAgeMillis", ages.Table), thevent.F("targetsAgeMillis", ages.Targets))
	}
}

// sleep waits for the delay or a wake-up, and returns false if the context
// ended.
func sleep(ctx context.Context, delay time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-t.C:
	}
	return true
}

// setReader records whether this VM is the reader, and logs a change.
func (s *Source) setReader(reader bool) {
	s.mu.Lock()
	wasReader := s.reader
	s.reader = reader
	s.reads.followsTable = s.reads.followsTable && reader
	s.mu.Unlock()
	switch {
	case reader && !wasReader:
		b := s.options.Fleet.RoleBasis()
		s.options.Log.Log(thevent.ReadingBegun, thevent.F("zoneRank", b.ZoneRank),
			thevent.F("silentInZoneMillis", b.SilentInZone.Milliseconds()), thevent.F("silentElsewhereMillis", b.SilentElsewhere.Milliseconds()))
	case wasReader && !reader:
		s.options.Log.Log(thevent.ReadingEnded)
	}
}

// readTargets reads the list of targets from the store and applies it. It
// reports whether the store answered.
func (s *Source) readTargets(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	startedAt := time.Now()
	list, err := s.options.Store.Targets(callCtx)
	if err == nil {
		s.recordFleetRead(time.Now())
	}
	s.recordStoreResult(ctx, err)
	if err != nil {
		s.options.Log.Log(thevent.TargetsUnread, thevent.F("error", err.Error()), thevent.F("tookMillis", time.Since(startedAt).Milliseconds()))
		return false
	}
	s.applyStoreTargets(list)
	s.mu.Lock()
	s.reads.targetsAt = startedAt
	s.mu.Unlock()
	return true
}

// minOutage is how long the store must be unreachable before targets' entries
// can expire because of it. Targets renew their entries every 1.5 s and
// entries expire after 3 s, so one may have only 1.5 s left when an outage
// begins.
const minOutage = 1500 * time.Millisecond

// recordFleetRead records that this or another VM has read the list of targets from the store
// at the given time. If this VM can't read it and no other VM has read it for minOutage,
// targets could not renew their entries meanwhile. A store that refuses only some VMs leaves
// the entries as they are.
func (s *Source) recordFleetRead(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !at.After(s.fleetReadAt) {
		return
	}
	silentSince := s.storeLostAt
	if s.fleetReadAt.After(silentSince) {
		silentSince = s.fleetReadAt
	}
	if s.storeLost && at.Sub(silentSince) > minOutage {
		s.keepUnlistedUntil = at.Add(thtable.RelistTimeout)
	}
	s.fleetReadAt = at
}

// applyStoreTargets applies a list that was read from the store, unless it holds
// the same targets as the current one, under whatever version of the same era. For
// thtable.RelistTimeout after an outage, targets that are not listed are kept.
func (s *Source) applyStoreTargets(list thtable.TargetList) {
	current := s.content.currentTargets().List()
	list.Targets = s.content.knownTargets().WithKnownWarmups(thclock.System{}.Now(), list.Targets)
	s.mu.Lock()
	if time.Now().Before(s.keepUnlistedUntil) {
		list = list.WithRetained(current.Targets)
	}
	s.mu.Unlock()
	if current.Era < list.Era || current.IsZero() || len(list.Left) > 0 || !thtable.EqualTargets(current.Targets, list.Targets) {
		s.applyTargets(list)
	}
}

// recordStoreResult records whether the store answered, and logs when it stops or
// resumes answering. Results after the context ended are ignored.
func (s *Source) recordStoreResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	wasLost := s.storeLost
	s.storeLost = err != nil
	switch {
	case err == nil:
		s.answeredAt = time.Now()
	case !wasLost:
		s.storeLostAt = time.Now()
	}
	age := time.Since(s.answeredAt)
	s.mu.Unlock()
	switch {
	case err != nil && !wasLost:
		s.options.Log.Log(thevent.StoreLost, thevent.F("error", err.Error()), thevent.F("ageMillis", age.Milliseconds()))
	case err == nil && wasLost:
		s.options.Log.Log(thevent.StoreRegained)
		wake(s.tableDue)
	}
}

// syncTable reads newer tables from the store, by long polling, while this VM is
// the reader.
func (s *Source) syncTable(ctx context.Context) {
	delay := time.Duration(0)
	for sleep(ctx, delay, s.tableDue) {
		if s.options.Fleet.Role() != thfleet.Reader {
			delay = roleCheckInterval
			continue
		}
		startedAt, followed, era := time.Now(), s.followsTable(), s.versions().Orders.Era
		applied, err := s.readTable(ctx, tableWait(followed))
		if err != nil && applied && s.isReader() {
			s.announce(true)
		}
		switch {
		case err != nil && s.isStoreLost():
			delay = lostTableRetryDelay
			continue
		case err != nil:
			delay = min(maxRetryDelay, max(minRetryDelay, 2*delay))
			continue
		case !followed:
			wake(s.targetsDue) // the store may have been regained
			delay = 0
		case !applied && time.Since(startedAt) < minRetryDelay:
			delay = minRetryDelay // a store that has dropped its history or has no table answers at once
			continue
		default:
			delay = 0
		}
		if s.isReader() && (applied || !followed) {
			s.announce(true)
		}
		if s.versions().Orders.Era > era {
			s.askForKeptOrders(ctx) // this VM may not have heard of all orders before
		}
	}
}

// tableWait returns how long the next call for a newer table may wait for one, given whether
// this VM follows the table. The first call does not wait, nor does the one after a failure,
// so that an answer shows soon whether the store is there.
func tableWait(followsTable bool) time.Duration {
	if followsTable {
		return tableLongPoll
	}
	return 0
}

func (s *Source) followsTable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads.followsTable
}

// readTable reads a newer table from the store and applies it. If there is none, the
// store waits for the given time. readTable reports whether it applied one, or new orders, which
// it does in spite of an error if only the configuration can't be decoded; it logs errors.
func (s *Source) readTable(ctx context.Context, wait time.Duration) (applied bool, err error) {
	startedAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	s.recordTableCall(startedAt.Add(wait + pollGrace))
	d, err := s.options.Store.Table(callCtx, s.versions().Table, wait)
	s.recordTableResult(err)
	if err != nil {
		id := thevent.TableUnread
		if therror.Is(err, therror.MessageMalformed) {
			id = thevent.TableRefused
		}
		s.options.Log.Log(id, thevent.F("error", err.Error()), thevent.F("tookMillis", time.Since(startedAt).Milliseconds()))
		return id == thevent.TableRefused && s.applyTable(d, sourceStore), err
	}
	s.logOlderTable(d.Version)
	return s.applyTable(d, sourceStore), nil
}

// logOlderTable logs that the store has an older table than this VM, once for each version.
func (s *Source) logOlderTable(version uint64) {
	have := s.versions()
	s.mu.Lock()
	isNew := version < have.Table && version != s.olderTable
	if isNew {
		s.olderTable = version
	}
	s.mu.Unlock()
	if isNew {
		s.options.Log.Log(thevent.TableKept, thevent.F("version", have.Table), thevent.F("inStore", version), thevent.F("era", have.Targets.Era))
	}
}

func (s *Source) isStoreLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeLost
}

func (s *Source) isReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader
}
