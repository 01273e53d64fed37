package thsource

import (
	"sync"

	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
)

// content holds a VM's routing table and list of targets, and the latest changes of
// both, which are sent to VMs that hold an earlier version.
type content struct {
	// applying is held while a newer version is applied, so that versions are handed
	// on in their order. It is locked before mu.
	applying sync.Mutex

	mu            sync.Mutex
	table         thtable.Table
	targets       thtable.TargetSet
	tableChanges  thtable.ChangeLog[thtable.TableChange]
	targetChanges thtable.ChangeLog[thtable.TargetsChange]
}

func (c *content) versions() thfleet.StoreVersions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return thfleet.StoreVersions{Table: c.table.Version(), Targets: c.targets.List().Version}
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

// setTable replaces the table. The changes lead to it from the one before; without
// any, earlier changes no longer lead to it and are dropped.
func (c *content) setTable(t thtable.Table, changes ...thtable.TableChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = t
	c.tableChanges = extended(c.tableChanges, changes)
}

// setTargets replaces the list of targets; see setTable.
func (c *content) setTargets(s thtable.TargetSet, changes ...thtable.TargetsChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = s
	c.targetChanges = extended(c.targetChanges, changes)
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

// applyTable applies a whole table if it is newer than the current one, and reports
// whether it is. The origin is sourceStore or the address of a VM.
func (s *Source) applyTable(d thtable.Document, origin string) bool {
	s.content.applying.Lock()
	defer s.content.applying.Unlock()
	current := s.content.currentTable()
	if d.Version <= current.Version() {
		return false
	}
	if c, ok := current.Diff(d); ok {
		if t, err := current.WithChange(c); err == nil {
			s.publishTable(t, origin, c)
			return true
		}
	}
	s.publishTable(thtable.New(d), origin)
	return true
}

// applyTableChanges applies changes that lead from the current table to a newer one.
// It returns an error if they were made for another table.
func (s *Source) applyTableChanges(changes []thtable.TableChange, origin string) error {
	s.content.applying.Lock()
	defer s.content.applying.Unlock()
	current := s.content.currentTable()
	t, err := current, error(nil)
	for _, c := range changes {
		if t, err = t.WithChange(c); err != nil {
			return err
		}
	}
	if t.Version() > current.Version() {
		s.publishTable(t, origin, changes...)
	}
	return nil
}

func (s *Source) publishTable(t thtable.Table, origin string, changes ...thtable.TableChange) {
	s.content.setTable(t, changes...)
	s.options.ApplyTable(t)
	d := t.Document()
	s.options.Log.Log(thevent.TableApplied, thevent.F("version", d.Version), thevent.F("routes", len(d.Routes)),
		thevent.F("customers", len(d.Customers)), thevent.F("origin", origin), thevent.F("changes", len(changes)))
}

// applyTargets applies a whole list if it is newer than the current one.
func (s *Source) applyTargets(list thtable.TargetList) {
	s.content.applying.Lock()
	defer s.content.applying.Unlock()
	current := s.content.currentTargets()
	if list.Version <= current.List().Version {
		return
	}
	if c, ok := current.Diff(list); ok && current.List().Version > 0 {
		if changed, err := current.WithChange(c); err == nil {
			s.publishTargets(current, changed, c)
			return
		}
	}
	s.publishTargets(current, thtable.NewTargetSet(list))
}

// applyTargetChanges applies changes that lead from the current list to a newer one.
// It returns an error if they were made for another list.
func (s *Source) applyTargetChanges(changes []thtable.TargetsChange) error {
	s.content.applying.Lock()
	defer s.content.applying.Unlock()
	current := s.content.currentTargets()
	set, err := current, error(nil)
	for _, c := range changes {
		if set, err = set.WithChange(c); err != nil {
			return err
		}
	}
	if set.List().Version > current.List().Version {
		s.publishTargets(current, set, changes...)
	}
	return nil
}

func (s *Source) publishTargets(before, after thtable.TargetSet, changes ...thtable.TargetsChange) {
	s.content.setTargets(after, changes...)
	s.options.ApplyTargets(after.List().Targets)
	s.logTargetChanges(before.List(), after.List())
}

// logTargetChanges logs which targets were listed, began to drain or are gone.
func (s *Source) logTargetChanges(before, after thtable.TargetList) {
	remaining := make(map[string]thtable.Target, len(before.Targets))
	for _, t := range before.Targets {
		remaining[t.ID] = t
	}
	for _, t := range after.Targets {
		was, ok := remaining[t.ID]
		delete(remaining, t.ID)
		switch {
		case !ok:
			s.logTarget(thevent.TargetListed, t, after.Version)
		case t.Draining && !was.Draining:
			s.logTarget(thevent.TargetLeaving, t, after.Version)
		}
	}
	for _, t := range remaining {
		s.logTarget(thevent.TargetGone, t, after.Version)
	}
}

func (s *Source) logTarget(id thevent.ID, t thtable.Target, version uint64) {
	s.options.Log.Log(id, thevent.F("target", t.ID), thevent.F("service", t.Service), thevent.F("address", t.Address), thevent.F("version", version))
}
