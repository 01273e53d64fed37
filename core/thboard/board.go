// Package thboard is the blackboard: the tables that controllers read and
// write, and the snapshots that the request path reads without a lock.
//
// Lock order: a goroutine that holds a table's lock may only lock tables of a
// higher Rank. Controllers compute on copies and hold a lock only to swap the
// result in, so most need no second lock at all.
package thboard

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
)

// Rank is a table's place in the lock order, lowest first.
type Rank int

// The lock order.
const (
	RankConfig Rank = iota + 1
	RankRoster
	RankFreshness
	RankLimits
	RankHealth
	RankClaims
	RankBurn
)

// Cell holds one immutable value. Readers never wait. The zero Cell holds the
// zero value.
type Cell[T any] struct {
	value   atomic.Pointer[T]
	writers sync.Mutex
	changed atomic.Pointer[chan struct{}]
}

// Load returns the value.
func (c *Cell[T]) Load() T {
	if p := c.value.Load(); p != nil {
		return *p
	}
	var zero T
	return zero
}

// Update replaces the value by what the function makes of it, unless the
// function returns false. The function must be short: other writers wait.
func (c *Cell[T]) Update(f func(T) (T, bool)) bool {
	c.writers.Lock()
	defer c.writers.Unlock()
	n, ok := f(c.Load())
	if !ok {
		return false
	}
	c.value.Store(&n)
	if ch := c.changed.Swap(nil); ch != nil {
		close(*ch)
	}
	return true
}

// Store replaces the value.
func (c *Cell[T]) Store(v T) {
	c.Update(func(T) (T, bool) { return v, true })
}

// Changed returns a channel that is closed at the next Update. Fetch it before
// the Load whose successor is awaited.
func (c *Cell[T]) Changed() <-chan struct{} {
	for {
		if p := c.changed.Load(); p != nil {
			return *p
		}
		ch := make(chan struct{})
		if c.changed.CompareAndSwap(nil, &ch) {
			return ch
		}
	}
}

// Table is a locked map from names to values. The zero Table is empty, with
// rank zero.
type Table[V any] struct {
	rank Rank
	mu   sync.Mutex
	rows map[string]V
}

// NewTable returns an empty table of the given rank.
func NewTable[V any](r Rank) *Table[V] { return &Table[V]{rank: r} }

// Rank returns the table's place in the lock order.
func (t *Table[V]) Rank() Rank { return t.rank }

// Get returns a copy of a row.
func (t *Table[V]) Get(name string) (V, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.rows[name]
	return v, ok
}

// Update sets a row to what the function makes of it; a row that was missing
// comes as the zero value. It is removed if the function returns false.
func (t *Table[V]) Update(name string, f func(V) (V, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, keep := f(t.rows[name])
	if !keep {
		delete(t.rows, name)
		return
	}
	if t.rows == nil {
		t.rows = make(map[string]V)
	}
	t.rows[name] = v
}

// Each calls the function with each row, in order of name, until it returns
// false. It works on a copy and holds no lock during the calls.
func (t *Table[V]) Each(f func(string, V) bool) {
	for _, r := range t.copied() {
		if !f(r.name, r.value) {
			return
		}
	}
}

type row[V any] struct {
	name  string
	value V
}

func (t *Table[V]) copied() []row[V] {
	t.mu.Lock()
	rs := make([]row[V], 0, len(t.rows))
	for name, v := range t.rows {
		rs = append(rs, row[V]{name, v})
	}
	t.mu.Unlock()
	slices.SortFunc(rs, func(a, b row[V]) int { return cmp.Compare(a.name, b.name) })
	return rs
}

// Len returns the number of rows.
func (t *Table[V]) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// Lockable is a table as Together sees it.
type Lockable interface {
	Rank() Rank
	lock() func()
}

func (t *Table[V]) lock() func() {
	t.mu.Lock()
	return t.mu.Unlock
}

// Together runs the function with all the tables locked in their order of
// rank. Inside it the rows are reached with Row and SetRow.
func Together(f func(), tables ...Lockable) {
	ts := slices.Clone(tables)
	slices.SortFunc(ts, func(a, b Lockable) int { return cmp.Compare(a.Rank(), b.Rank()) })
	for _, t := range ts {
		defer t.lock()()
	}
	f()
}

// Row returns a row; only for use inside Together.
func (t *Table[V]) Row(name string) (V, bool) {
	v, ok := t.rows[name]
	return v, ok
}

// SetRow sets a row; only for use inside Together.
func (t *Table[V]) SetRow(name string, v V) {
	if t.rows == nil {
		t.rows = make(map[string]V)
	}
	t.rows[name] = v
}
