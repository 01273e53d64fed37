package thstore

import (
	"slices"
	"strings"

	"tamarackhollow/core/therror"
)

// Memory is a table service and object store in memory, without faults; fakes
// and stand-ins add theirs. The zero Memory is empty. It is not safe for
// concurrent use.
type Memory struct {
	rows    map[string]Row
	objects map[string][]byte
}

// Row returns a row; a missing one has version 0.
func (m *Memory) Row(key string) Row {
	r := m.rows[key]
	r.Key = key
	return r
}

// Rows returns at most limit rows whose keys begin with prefix and lie after
// the given key, in order of their keys; a limit of 0 is none.
func (m *Memory) Rows(prefix, after string, limit int) []Row {
	var found []Row
	for key, r := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found
}

// Commit applies a transaction whole, or fails with ChangeConflict and does
// nothing.
func (m *Memory) Commit(t Transaction) error {
	for _, c := range t.Conditions {
		if v := m.rows[c.Key].Version; v != c.Version {
			return therror.New(therror.ChangeConflict, "row %s stands at version %d, not %d", c.Key, v, c.Version)
		}
	}
	if m.rows == nil {
		m.rows = make(map[string]Row)
	}
	for _, w := range t.Writes {
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = Row{Key: w.Key, Version: m.rows[w.Key].Version + 1, Value: slices.Clone(w.Value)}
	}
	return nil
}

// Put stores an object.
func (m *Memory) Put(name string, data []byte) {
	if m.objects == nil {
		m.objects = make(map[string][]byte)
	}
	m.objects[name] = slices.Clone(data)
}

// Get returns an object, or NotFound.
func (m *Memory) Get(name string) ([]byte, error) {
	data, ok := m.objects[name]
	if !ok {
		return nil, therror.New(therror.NotFound, "no object %s", name)
	}
	return slices.Clone(data), nil
}
