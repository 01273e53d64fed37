// Package thboard is the blackboard: what one part of a VM writes and others
// read. Readers, the request path among them, take no lock and see one
// immutable value; a writer holds a cell's lock only to swap its value in.
//
// docs/DESIGN.md lists the locks of the shared tables that lie within the
// parts, and their order.
package thboard

import (
	"sync"
	"sync/atomic"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
)

// Board holds what the parts of one VM share. The zero Board is ready.
type Board struct {
	// Config is the configuration in force. The agreement writes it; versions
	// only rise.
	Config Cell[thconfig.Config]
	// FreshUntil is until when no accepted change can be unknown to the VM. The
	// agreement writes it.
	FreshUntil Cell[thclock.Instant]
	// Accepted is the highest version known to be accepted: a majority has it.
	// The agreement writes it.
	Accepted Cell[uint64]
}

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
