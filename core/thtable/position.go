package thtable

import "cmp"

// Position is a point in the history of the platform's store. It orders what the store says
// about itself as a whole, such as which targets are listed. The zero Position comes before all
// others.
type Position struct {
	// Era rises each time the store comes back from an older copy of itself. It is 0 if the
	// store does not tell its era.
	Era uint64 `json:"era,omitempty"`
	// Version counts the transactions of the store. It goes back when the store does.
	Version uint64 `json:"version"`
}

// Compare returns -1, 0 or +1 if the position is before, at or after the other one.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Version, o.Version))
}

// IsAfter reports whether the position is after the other one.
func (p Position) IsAfter(o Position) bool { return p.Compare(o) > 0 }

// IsBefore reports whether the position is before the other one.
func (p Position) IsBefore(o Position) bool { return p.Compare(o) < 0 }

// IsZero reports whether the position is the zero Position.
func (p Position) IsZero() bool { return p == Position{} }
