package thsource

import (
	"context"
	"slices"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"

	"github.com/cockroachdb/errors"
)

// content holds a VM's routing table and list of targets, and the latest changes of
// both, which are sent to VMs that hold an earlier version.
type content struct {
	// applying is held while a newer version is applied, so that versions are handed
	// on in their order. It is locked before mu.
	applying sync.Mutex

	mu    sync.Mutex
	table thtable.Table
	// targets is the list as it was read from the store, which all VMs hold alike. What this
	// VM remembers decides which of them it uses.
	targets thtable.TargetSet
	known   thtable.KnownTargets
	// orders is what this VM remembers of orders to evacuate zones.
	orders        thtable.KnownOrders
	tableChanges  thtable.ChangeLog[thtable.TableChange]
	targetChanges thtable.ChangeLog[thtable.TargetsChange]
	// changed is closed, and replaced, when a newer table or list is applied.
	changed chan struct{}
}

func (c *content) versions() thfleet.StoreVersions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versionsLocked()
}

// versionsLocked is versions for callers that hold c.mu.
func (c *content) versionsLocked() thfleet.StoreVersions {
	return thfleet.StoreVersions{Table: c.table.Version(), Targets: c.targets.List().Position, Orders: c.table.Document().Orders.Position}
}

func (c *content) currentTable() thtable.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

func (c *content) currentTargets() thtable.TargetSet {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets
}

// nextChange returns a channel that is closed when a newer table or list is applied.
func (c *content) nextChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// awaitNewer waits until a version is newer than the given ones, or until the time
// has passed.
func (c *content) awaitNewer(than thfleet.StoreVersions, until time.Time) {
	c.await(context.Background(), until, func() bool { return c.versions().IsNewerThan(than) })
}

// await waits until isDone returns true, which it asks after each change, but not beyond
// the time until or the context.
func (c *content) await(ctx context.Context, until time.Time, isDone func() bool) {
	if isDone() {
		return
	}
	timeout := time.NewTimer(time.Until(until))
	defer timeout.Stop()
	for {
		changed := c.nextChange()
		if isDone() {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// setTable replaces the table. The changes lead to it from the one before; without
// any, earlier changes no longer lead to it and are dropped.
func (c *content) setTable(t thtable.Table, changes ...thtable.TableChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = t
	c.tableChanges = extended(c.tableChanges, changes)
	close(c.changed)
	c.changed = make(chan struct{})
}

// setTargets replaces the list of targets, whose era is known since the given time; see setTable.
// It returns what was known before, and what was kept against the list.
func (c *content) setTargets(s thtable.TargetSet, eraSince thclock.Instant, changes []thtable.TargetsChange) (before thtable.KnownTargets, kept []thtable.Kept) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.known
	c.targets = s
	c.known, kept = before.WithList(thclock.System{}.Now(), s.List(), eraSince)
	c.targetChanges = extended(c.targetChanges, changes)
	close(c.changed)
	c.changed = make(chan struct{})
	return before, kept
}

// updateKnown removes targets from use whose time has passed to be listed again, given since
// when the list's era is known. It returns what was known before, and false if nothing changes.
func (c *content) updateKnown(eraSince thclock.Instant) (before thtable.KnownTargets, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := thclock.System{}.Now()
	before = c.known
	c.known = before.WithEraSince(eraSince)
	if !c.known.IsDue(now) {
		return before, false
	}
	c.known, _ = c.known.WithList(now, c.targets.List(), eraSince)
	return before, true
}

func (c *content) knownOrders() thtable.KnownOrders {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.orders
}

func (c *content) setOrders(k thtable.KnownOrders) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = k
}

func (c *content) knownTargets() thtable.KnownTargets {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

func extended[C thtable.Change](l thtable.ChangeLog[C], changes []C) thtable.ChangeLog[C] {
	if len(changes) == 0 {
		return thtable.ChangeLog[C]{}
	}
	for _, c := range changes {
		l = l.With(c)
	}
	return l
}

// sourceStore names the store in log lines that say where a table came from.
const sourceStore = "store"

// applyTable applies those parts of a whole table that are newer than the current ones, and
// reports whether there are any. The origin is sourceStore or the address of a VM.
func (s *Source) applyTable(d thtable.Document, origin string) bool {
	s.content.applying.Lock()
	defer s.content.applying.Unlock()
	current := s.content.currentTable()
	if origin == sourceStore {
		// Another VM may know of an order whose revocation it has missed, and this one of neither.
		// The position of the read tells which is later.
		d.Orders = current.Document().Orders.WithRead(thtable.OrdersRead{Position: d.Orders.Position, Whole: true, Rows: d.Orders.List})
	}
	if !d.IsNewerThan(current.Document()) {
		return false
	}
	s.publishDocument(current.Document().Merged(d), origin)
	return true
}

// publishDocument replaces the current table by that of the document.
func (s *Source) publishDocument(d thtable.Document, origin string) {
	current := s.content.currentTable()
	if c, ok := current.Diff(d); ok {
		if t, err := current.WithChange(c); err == nil {
			s.publishTable(t, origin, c)
			return
		}
	}
	s.publishTable(thtable.New(d), origin)
}

// errChangesDoNotFit means that another VM sent changes of a content that this VM does
// not hold.
var errChangesDoNotFit = errors.New("the changes were made for another content")

// applyTableChanges applies changes that lead from the current table to a newer one.
// It does nothing if the table is as new already, as when two VMs have sent the same
// changes, and returns an error if they were made for another table.
func (s *Source) applyTableChanges(changes []thtable.TableChange, origin string) error {
	s.content.applying.Lock()
	defer s.content.applying.Unlock()
	t := s.content.currentTable()
	current := t.Document()
	if !slices.ContainsFunc(changes, func(c thtable.TableChange) bool { return c.IsNewerThan(current) }) {
		return nil
	}
	changes, ok := thtable.Following(changes, t.Digest())
	if !ok {
		return errChangesDoNotFit
	}
	for _, c := range changes {
		var err error
		if t, err = t.WithChange(c); err != nil {
			return err
		}
	}
	if current.IsNewerThan(t.Document()) { // in the other part
		s.publishDocument(current.Merged(t.Document()), origin)
		return nil
	}
	s.publishTable(t, origin, changes...)
	return nil
}

func (s *Source) publishTable(t thtable.Table, origin string, changes ...thtable.TableChange) {
	d, before := t.Document(), s.content.currentTable().Version()
	if !d.Orders.IsZero() {
		// Orders take effect before the table is in force, so that requests that wait for the
		// table of a VM that starts are not sent to an evacuated zone.
		s.useOrders(s.content.knownOrders().WithOrders(thclock.System{}.Now(), d.Orders, s.options.Fleet.NoteEra(d.Orders.Era)))
	}
	s.content.setTable(t, changes...)
	if d.Version == before {
		return // only the orders have changed
	}
	s.options.ApplyTable(t)
	s.options.Log.Log(thevent.TableApplied, thevent.F("version", d.Version), thevent.F("routes", len(d.Routes)),
		thevent.F("customers", len(d.Customers)), thevent.F("origin", origin), thevent.F("changes", len(changes)))
}

// applyTargets applies a whole list if it is newer than the current one.
func (s *Source) applyTargets(list thtable.TargetList) {
	s.content.applying.Lock()
	defer s.content.applying.Unlock()
	current := s.content.currentTargets()
	if !list.IsAfter(current.List().Position) {
		return
	}
	if c, ok := current.Diff(list); ok {
		if changed, err := current.WithChange(c); err == nil {
			s.publishTargets(changed, c)
			return
		}
	}
	s.publishTargets(thtable.NewTargetSet(list))
}

// applyTargetChanges applies changes that lead from the current list to a newer one,
// as applyTableChanges does.
func (s *Source) applyTargetChanges(changes []thtable.TargetsChange) error {
	s.content.applying.Lock()
	defer s.content.applying.Unlock()
	current := s.content.currentTargets()
	if len(changes) == 0 || !changes[len(changes)-1].IsAfter(current.List().Position) {
		return nil
	}
	changes, ok := thtable.Following(changes, current.Digest())
	if !ok {
		return errChangesDoNotFit
	}
	changed, err := current.WithChanges(changes)
	if err != nil {
		return err
	}
	s.publishTargets(changed, changes...)
	return nil
}

func (s *Source) publishTargets(after thtable.TargetSet, changes ...thtable.TargetsChange) {
	before, kept := s.content.setTargets(after, s.options.Fleet.NoteEra(after.List().Era), changes)
	for _, k := range kept {
		s.options.Log.Log(thevent.TargetKept, thevent.F("target", k.ID), thevent.F("why", string(k.Why)), thevent.F("era", after.List().Era))
	}
	s.useTargets(before)
}

// updateTargets removes targets from use whose time has passed to be listed again by a store that
// came back from an older copy.
func (s *Source) updateTargets() {
	s.content.applying.Lock()
	defer s.content.applying.Unlock()
	if before, changed := s.content.updateKnown(s.options.Fleet.NoteEra(s.versions().Targets.Era)); changed {
		s.useTargets(before)
	}
}

// useTargets hands on the targets to use, and logs which were listed, began to drain or are gone
// since before.
func (s *Source) useTargets(before thtable.KnownTargets) {
	used, version := s.content.knownTargets().Targets(), s.versions().Targets.Version
	s.options.ApplyTargets(used)
	remaining := make(map[string]thtable.Target)
	for _, t := range before.Targets() {
		remaining[t.ID] = t
	}
	for _, t := range used {
		was, ok := remaining[t.ID]
		delete(remaining, t.ID)
		switch {
		case !ok:
			s.logTarget(thevent.TargetListed, t, version)
		case t.Draining && !was.Draining:
			s.logTarget(thevent.TargetLeaving, t, version)
		}
	}
	for _, t := range remaining {
		s.logTarget(thevent.TargetGone, t, version)
	}
}

func (s *Source) logTarget(id thevent.ID, t thtable.Target, version uint64) {
	s.options.Log.Log(id, thevent.F("target", t.ID), thevent.F("service", t.Service), thevent.F("address", t.Address), thevent.F("version", version))
}
