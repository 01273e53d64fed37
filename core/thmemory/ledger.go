// Package thmemory divides a bounded amount of memory among holders, so that none of them
// takes all of it.
package thmemory

// ownPart bounds a holder to ownPart times what is left for all others. So one holder alone
// gets three quarters of the limit, and the next one three quarters of the rest.
const ownPart = 3

// Ledger counts the bytes that each holder has, within a limit for all together. The zero
// Ledger has no limit. It is not safe for concurrent use.
type Ledger struct {
	// limit is in bytes; 0 means no limit.
	limit, used int64
	held        map[string]int64
}

// SetLimit sets the limit in bytes; 0 means none. What is held already stays held.
func (l *Ledger) SetLimit(bytes int64) { l.limit = bytes }

// Used returns how many bytes all holders have together.
func (l *Ledger) Used() int64 { return l.used }

// Hold counts further bytes as the holder's. It returns false, and counts nothing, if all
// bytes would exceed the limit, or the holder's would exceed its part.
func (l *Ledger) Hold(holder string, bytes int64) bool {
	if !l.hasRoom(bytes, 0) || !l.isWithinPart(holder, bytes) {
		return false
	}
	l.add(holder, bytes)
	return true
}

// hasRoom reports whether the limit has room for further bytes and the reserved ones.
func (l *Ledger) hasRoom(bytes, reserved int64) bool {
	return l.limit <= 0 || l.used+bytes+reserved <= l.limit
}

// isWithinPart reports whether the holder's part has room for further bytes.
func (l *Ledger) isWithinPart(holder string, bytes int64) bool {
	return l.limit <= 0 || l.held[holder]+bytes <= ownPart*(l.limit-l.used-bytes)
}

// add counts further bytes as the holder's, whatever the limit.
func (l *Ledger) add(holder string, bytes int64) {
	if l.held == nil {
		l.held = make(map[string]int64)
	}
	l.used += bytes
	l.held[holder] += bytes
}

// Release gives back bytes that the holder has.
func (l *Ledger) Release(holder string, bytes int64) {
	l.used -= bytes
	if l.held[holder] -= bytes; l.held[holder] <= 0 {
		delete(l.held, holder)
	}
}
