package thclaims

import (
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thstore"
)

const (
	// recentFor is how long a written row is remembered at the least.
	recentFor = 5 * time.Second
	// recentBytes bounds each of the two generations that are remembered.
	recentBytes = 1 << 20
)

// recent remembers the rows that this VM wrote last, so that a resend which
// comes right after need not ask the store. What it remembers may be out of
// date, which is harmless: a row only becomes one's own by a write that the
// store takes, and the ends of a claim are final.
type recent struct {
	mu       sync.Mutex
	now, old map[string]thstore.Row
	bytes    int
	until    thclock.Instant
}

func (r *recent) add(now thclock.Instant, batch []*operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now == nil || r.bytes > recentBytes || now.Passed(r.until) {
		r.old, r.now, r.bytes = r.now, make(map[string]thstore.Row), 0
		r.until = now.Add(recentFor)
	}
	for _, o := range batch {
		r.now[o.key] = thstore.Row{Key: o.key, Version: o.version + 1, Value: o.value}
		r.bytes += len(o.key) + len(o.value)
	}
}

// newer returns the row if it is remembered at a later version than the
// operation asks for. What the operation shows to be out of date is forgotten.
func (r *recent) newer(o *operation) (thstore.Row, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.now[o.key]
	if !ok {
		row, ok = r.old[o.key]
	}
	if ok && row.Version > o.version {
		return row, true
	}
	if ok && row.Version < o.version {
		delete(r.now, o.key)
		delete(r.old, o.key)
	}
	return thstore.Row{}, false
}

// conflict is a failed condition together with the row that was found.
type conflict struct {
	err   error
	found thstore.Row
}

func newConflict(found thstore.Row) error {
	return &conflict{err: therror.New(therror.ChangeConflict, "row %s has changed", found.Key), found: found}
}

// Error returns the text of the error.
func (c *conflict) Error() string { return c.err.Error() }

// Unwrap returns the error of kind ChangeConflict.
func (c *conflict) Unwrap() error { return c.err }
