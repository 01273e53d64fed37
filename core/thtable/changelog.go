package thtable

// Change is a change of a routing table or of a list of targets.
type Change interface {
	TableChange | TargetsChange
	// digests returns what the change leads from and to.
	digests() (base, result Digest)
	// rows returns the number of rows that the change names.
	rows() int
}

func (c TableChange) digests() (base, result Digest)   { return c.Base, c.Result }
func (c TargetsChange) digests() (base, result Digest) { return c.Base, c.Result }

func (c TableChange) rows() int {
	rows := c.Routes.rows() + c.Services.rows() + c.Customers.rows()
	if c.Orders != nil {
		rows += len(c.Orders.List)
	}
	return rows
}
func (c TargetsChange) rows() int { return c.Targets.rows() }

// Following returns those of the changes that start at the content with the digest. It
// returns false if none of them does.
func Following[C Change](changes []C, d Digest) ([]C, bool) {
	for i, c := range changes {
		if base, _ := c.digests(); base == d {
			return changes[i:], true
		}
	}
	return nil, false
}

// maxLoggedChanges bounds the changes of a ChangeLog. At two changes a second, a VM
// that missed half a minute can still be sent changes.
const maxLoggedChanges = 64

// ChangeLog holds the latest changes, each of which leads to the base of the next.
// With them a VM that holds an earlier content is brought up to date without being
// sent all rows. It is immutable; the zero value holds no changes.
type ChangeLog[C Change] struct {
	changes []C
}

// With returns the log with one more change. If that does not start where the last
// one leads to, earlier changes are dropped.
func (l ChangeLog[C]) With(c C) ChangeLog[C] {
	kept := l.changes
	if len(kept) > 0 {
		base, _ := c.digests()
		if _, result := kept[len(kept)-1].digests(); result != base {
			kept = nil
		}
	}
	kept = kept[max(0, len(kept)-maxLoggedChanges+1):]
	return ChangeLog[C]{changes: append(kept[:len(kept):len(kept)], c)}
}

// Since returns the changes that lead from the content with the digest to the
// newest one. It returns false if there are none, or if they name more rows than
// maxRows, so that sending all rows is shorter; for the digest 0 there are none.
func (l ChangeLog[C]) Since(d Digest, maxRows int) ([]C, bool) {
	if d == 0 {
		return nil, false
	}
	rows := 0
	for i := len(l.changes) - 1; i >= 0; i-- {
		if rows += l.changes[i].rows(); rows > maxRows {
			return nil, false
		}
		if base, _ := l.changes[i].digests(); base == d {
			return l.changes[i:], true
		}
	}
	return nil, false
}
