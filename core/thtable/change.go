package thtable

import (
	"reflect"

	"github.com/cockroachdb/errors"
)

// RowsChange turns one set of rows into another. Each row of a set has its own key.
type RowsChange[T any] struct {
	// Put holds the rows that are new or differ, and Removed the keys of those that
	// are gone.
	Put     []T      `json:"put,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// TableChange turns a routing table with the digest Base into the one that has the
// given version and the digest Result.
type TableChange struct {
	Base        Digest               `json:"base"`
	Result      Digest               `json:"result"`
	Version     uint64               `json:"version"`
	Routes      RowsChange[Route]    `json:"routes"`
	Services    RowsChange[Service]  `json:"services"`
	Customers   RowsChange[Customer] `json:"customers"`
	Limits      Limits               `json:"limits"`
	RequiresKey bool                 `json:"keyed"`
	// Orders replaces the orders; nil if they stay as they are.
	Orders *Orders `json:"orders,omitempty"`
}

// IsNewerThan reports whether the change leads to a newer part than that of the document.
func (c TableChange) IsNewerThan(d Document) bool {
	return c.Version > d.Version || c.Orders != nil && c.Orders.IsAfter(d.Orders.Position)
}

// TargetsChange turns a list of targets with the digest Base into the one that has
// the given position and the digest Result.
type TargetsChange struct {
	Base   Digest `json:"base"`
	Result Digest `json:"result"`
	Position
	Targets RowsChange[Target] `json:"targets"`
	// Left says more of the targets that are removed.
	Left []LeftTarget `json:"left,omitempty"`
}

// errWrongBase means that a change was made for another content, or that it does not
// lead to the content that its maker had.
var errWrongBase = errors.New("the change does not fit this content")

func routeKey(r Route) string       { return r.Host + " " + r.Prefix }
func serviceKey(s Service) string   { return s.Name }
func customerKey(c Customer) string { return c.Name }
func targetKey(t Target) string     { return t.ID }

func equalRows[T any](a, b T) bool { return reflect.DeepEqual(a, b) }

func equalTargets(a, b Target) bool { return a.withoutCounters() == b.withoutCounters() }

// diffRows returns the change from one set of rows to another. It returns false if
// several rows of either have the same key.
func diffRows[T any](before, after []T, key func(T) string, equal func(a, b T) bool) (RowsChange[T], bool) {
	var c RowsChange[T]
	old := make(map[string]T, len(before))
	for _, r := range before {
		old[key(r)] = r
	}
	kept := make(map[string]bool, len(after))
	for _, r := range after {
		k := key(r)
		kept[k] = true
		if o, ok := old[k]; !ok || !equal(o, r) {
			c.Put = append(c.Put, r)
		}
	}
	for _, r := range before {
		if k := key(r); !kept[k] {
			c.Removed = append(c.Removed, k)
		}
	}
	return c, len(old) == len(before) && len(kept) == len(after)
}

// apply returns the changed rows, and by how much their digest changes. Rows that
// stay keep their order, and new ones follow.
func (c RowsChange[T]) apply(rows []T, key func(T) string) ([]T, Digest) {
	if c.rows() == 0 {
		return rows, 0
	}
	removed := make(map[string]bool, len(c.Removed))
	for _, k := range c.Removed {
		removed[k] = true
	}
	put := make(map[string]T, len(c.Put))
	for _, r := range c.Put {
		put[key(r)] = r
	}
	digest := digestRows(c.Put)
	changed := make([]T, 0, len(rows)+len(c.Put))
	for _, r := range rows {
		k := key(r)
		replacement, replaced := put[k]
		switch {
		case removed[k]:
			digest -= digestValue(r)
		case replaced:
			digest -= digestValue(r)
			changed = append(changed, replacement)
			delete(put, k)
		default:
			changed = append(changed, r)
		}
	}
	for _, r := range c.Put {
		if _, isNew := put[key(r)]; isNew {
			changed = append(changed, r)
		}
	}
	return changed, digest
}

// rows returns the number of rows that the change names.
func (c RowsChange[T]) rows() int { return len(c.Put) + len(c.Removed) }

// Diff returns the change from the table to the document. It returns false if the
// table was not loaded or several rows of either have the same key; the document then has
// to be sent whole.
func (t Table) Diff(after Document) (TableChange, bool) {
	c := TableChange{Base: t.digest, Version: after.Version, Limits: after.Limits, RequiresKey: after.RequiresKey}
	var routesOK, servicesOK, customersOK bool
	c.Routes, routesOK = diffRows(t.document.Routes, after.Routes, routeKey, equalRows[Route])
	c.Services, servicesOK = diffRows(t.document.Services, after.Services, serviceKey, equalRows[Service])
	c.Customers, customersOK = diffRows(t.document.Customers, after.Customers, customerKey, equalRows[Customer])
	if !t.document.Orders.equal(after.Orders) {
		c.Orders = &after.Orders
	}
	_, c.Result = c.apply(t)
	return c, t.Version() > 0 && routesOK && servicesOK && customersOK
}

// apply returns the changed document and its digest.
func (c TableChange) apply(t Table) (Document, Digest) {
	d := Document{Version: c.Version, Limits: c.Limits, RequiresKey: c.RequiresKey, Orders: t.document.Orders}
	var routes, services, customers, orders Digest
	if c.Orders != nil {
		d.Orders = *c.Orders
		orders = digestRows(d.Orders.List) - digestRows(t.document.Orders.List)
	}
	d.Routes, routes = c.Routes.apply(t.document.Routes, routeKey)
	d.Services, services = c.Services.apply(t.document.Services, serviceKey)
	d.Customers, customers = c.Customers.apply(t.document.Customers, customerKey)
	return d, t.digest - digestSettings(t.document) + digestSettings(d) + routes + services + customers + orders
}

// WithChange returns the table that the change leads to. It returns an error if the
// change was made for a table of another content.
func (t Table) WithChange(c TableChange) (Table, error) {
	d, digest := c.apply(t)
	if c.Base != t.digest || c.Result != digest {
		return t, errWrongBase
	}
	return newTable(d, digest), nil
}

// Diff returns the change from the set to the list. It returns false if no list was
// loaded or several targets of either have the same ID; the list then has to be sent
// whole.
func (s TargetSet) Diff(after TargetList) (TargetsChange, bool) {
	c := TargetsChange{Base: s.digest, Position: after.Position, Left: after.Left}
	var ok bool
	c.Targets, ok = diffRows(s.list.Targets, after.Targets, targetKey, equalTargets)
	_, delta := c.Targets.apply(s.list.Targets, targetKey)
	c.Result = s.digest + delta
	return c, ok && s.digest != 0
}

// WithChange returns the set that the change leads to. It returns an error if the
// change was made for a set of another content.
func (s TargetSet) WithChange(c TargetsChange) (TargetSet, error) {
	ts, delta := c.Targets.apply(s.list.Targets, targetKey)
	if c.Base != s.digest || c.Result != s.digest+delta {
		return s, errWrongBase
	}
	sortTargets(ts)
	return TargetSet{list: TargetList{Position: c.Position, Targets: ts, Left: c.Left}, digest: c.Result}, nil
}

// WithChanges returns the set that the changes lead to, one after the other. Its list tells of all
// targets that left on the way.
func (s TargetSet) WithChanges(changes []TargetsChange) (TargetSet, error) {
	changed := s
	var left []LeftTarget
	for _, c := range changes {
		var err error
		if changed, err = changed.WithChange(c); err != nil {
			return s, err
		}
		left = append(left, c.Left...)
	}
	changed.list.Left = left
	return changed, nil
}
