// Package thmemory divides a bounded amount of memory among holders, so that none of them
// takes all of it.
package thmemory

// ownPart bounds a holder to ownPart times what is left for all others. So one holder alone
// gets three quarters of the limit, and the next one three quarters of the rest.
const ownPart = 3

// ledger counts the bytes that each holder has, within a limit for all together. The zero
// ledger has no limit. It is not safe for concurrent use.
type ledger struct {
	// limit is in bytes; 0 means no limit.
	limit, used int64
	held        map[string]int64
}

// hasRoom reports whether the limit has room for further bytes and the reserved ones.
func (l *ledger) hasRoom(bytes, reserved int64) bool {
	return l.limit <= 0 || l.used+bytes+reserved <= l.limit
}

// isWithinPart reports whether the holder's part has room for further bytes once others have freed
// some, and the holder itself as many of these as given.
func (l *ledger) isWithinPart(holder string, bytes, freed, freedOwn int64) bool {
	return l.limit <= 0 || l.held[holder]+bytes-freedOwn <= ownPart*(l.limit-l.used-bytes+freed)
}

// add counts further bytes as the holder's, whatever the limit.
func (l *ledger) add(holder string, bytes int64) {
	if l.held == nil {
		l.held = make(map[string]int64)
	}
	l.used += bytes
	l.held[holder] += bytes
}

// release gives back bytes that the holder has.
func (l *ledger) release(holder string, bytes int64) {
	l.used -= bytes
	if l.held[holder] -= bytes; l.held[holder] <= 0 {
		delete(l.held, holder)
	}
}
