package thclaims

import (
	"sync"
	"time"

	"tamarackhollow/core/thclaim"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thstore"
)

const (
	// recentFor is how long a written row is remembered at the least.
	recentFor = 5 * time.Second
	// claimedFor is how long a row is gone by that says that its request is
	// running. It soon is not, and that may be written by another VM.
	claimedFor = 250 * time.Millisecond
	// recentBytes bounds each of the two generations that are remembered.
	recentBytes = 1 << 20
)

// recent remembers the rows that this VM wrote last, so that a resend which
// comes right after need not ask the store. What it remembers may be out of
// date, which is harmless: a row only becomes one's own by a write that the
// store takes, and the ends of a claim are final.
type recent struct {
	mu       sync.Mutex
	now, old map[string]recentRow
	bytes    int
	until    thclock.Instant
}

type recentRow struct {
	thstore.Row

	until thclock.Instant
}

func (r *recent) add(now thclock.Instant, batch []*operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now == nil || r.bytes > recentBytes || now.Passed(r.until) {
		r.old, r.now, r.bytes = r.now, make(map[string]recentRow), 0
		r.until = now.Add(recentFor)
	}
	for _, o := range batch {
		r.now[o.key] = recentRow{thstore.Row{Key: o.key, Version: o.version + 1, Value: o.value}, now.Add(claimedFor)}
		r.bytes += len(o.key) + len(o.value)
	}
}

// forget drops what is remembered of rows whose writes did not go well.
func (r *recent) forget(batch []*operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range batch {
		delete(r.now, o.key)
		delete(r.old, o.key)
	}
}

// newer returns the row if it is remembered at a later version than the
// operation asks for.
func (r *recent) newer(now thclock.Instant, o *operation) (thstore.Row, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.now[o.key]
	if !ok {
		row, ok = r.old[o.key]
	}
	if !ok || row.Version <= o.version {
		return thstore.Row{}, false
	}
	if !now.Passed(row.until) {
		return row.Row, true
	}
	m, err := thclaim.Decode(row.Row)
	return row.Row, err == nil && m.Final()
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
