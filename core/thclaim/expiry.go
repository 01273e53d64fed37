package thclaim

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thstore"
)

// Sweep returns the transaction that deletes the claims in the rows that
// nobody can need any more, and false if there are none.
//
// Deleting a claim lets its key run again, so one clock that is wrong must not
// do it: besides the sweeper's own clock, the claims that another VM made show
// how late it is.
func Sweep(rows []thstore.Row, self string, now thclock.Instant) (thstore.Transaction, bool) {
	var t thstore.Transaction
	late := min(now.Wall, latest(rows, self))
	for _, r := range rows {
		m, err := Decode(r)
		if err != nil || m.Expires > late {
			continue
		}
		t.Conditions = append(t.Conditions, thstore.Condition{Key: r.Key, Version: r.Version})
		t.Writes = append(t.Writes, thstore.Write{Key: r.Key, Delete: true})
	}
	return t, len(t.Writes) > 0
}

// latest returns how late it is by the claims of VMs other than self, leaving
// out the one VM whose clock is furthest on.
func latest(rows []thstore.Row, self string) time.Duration {
	var first, second time.Duration
	var owner string
	for _, r := range rows {
		m, err := Decode(r)
		if err != nil || m.Owner == self {
			continue
		}
		switch made := m.Expires - Retention; {
		case m.Owner == owner:
			first = max(first, made)
		case made > first:
			first, second, owner = made, first, m.Owner
		case made > second:
			second = made
		}
	}
	return second
}
