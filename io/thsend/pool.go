package thsend

import (
	"sync"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// defaultKeepAlive is how long an idle connection may be reused if the target
	// does not send a Keep-Alive timeout.
	defaultKeepAlive = 5 * time.Second
	// idempotentCloseMargin and nonIdempotentCloseMargin are how long before its
	// expiry an idle connection is no longer used. If the target closes the
	// connection while a request is on its way, the request may have run.
	idempotentCloseMargin    = 300 * time.Millisecond
	nonIdempotentCloseMargin = time.Second
)

// pool holds the idle connections to one target and counts the open ones. The
// zero pool is empty and ready to use.
type pool struct {
	mu sync.Mutex
	// idle is ordered by last use, the most recently used last.
	idle []*connection
	// open counts the connections that are idle, in use or being opened.
	open int
	// retired is set once connections are closed instead of returned to idle.
	retired bool
}

// takeIdle removes and returns the most recently used idle connection that does
// not expire within the margin, or nil. It closes those it finds closed by the
// target or with unexpected data, and those whose latest request had the same ID: a
// second copy of its answer could not be told from the answer to this one.
func (p *pool) takeIdle(now thclock.Instant, margin time.Duration, requestID string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		n := p.idle[len(p.idle)-1]
		if !now.Add(margin).Before(n.expiresAt) {
			// Connections used earlier usually expire earlier. All are kept, since
			// idempotent requests, whose margin is smaller, may still use them.
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if n.isQuiet() && n.requestID != requestID {
			return n
		}
		p.closeLocked(n)
	}
	return nil
}

// hasIdle reports whether takeIdle is likely to return a connection. It does not
// check whether the connection is still open.
func (p *pool) hasIdle(now thclock.Instant, margin time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && now.Add(margin).Before(p.idle[len(p.idle)-1].expiresAt)
}

// reserve counts a connection that is about to be opened. At the limit it closes
// the least recently used idle connection, and returns false if none is idle.
func (p *pool) reserve(maxOpen int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= maxOpen && len(p.idle) > 0 {
		p.closeLocked(p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.open >= maxOpen {
		return false
	}
	p.open++
	return true
}

// closeLocked closes the connection. p.mu must be held.
func (p *pool) closeLocked(n *connection) {
	_ = n.Close() // an error does not matter, the connection is not used again
	p.open--
}

// releaseReservation undoes reserve for a connection that could not be opened.
func (p *pool) releaseReservation() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// putIdle returns a connection to the pool after a whole answer, or closes it if
// the pool is retired.
func (p *pool) putIdle(n *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		p.closeLocked(n)
		return
	}
	p.idle = append(p.idle, n)
}

// discard closes a connection that was in use.
func (p *pool) discard(n *connection) {
	p.mu.Lock()
	p.closeLocked(n)
	p.mu.Unlock()
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.idle {
		p.closeLocked(n)
	}
	p.idle = nil
}

// closeExpired closes the idle connections that have expired.
func (p *pool) closeExpired(now thclock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, n := range p.idle {
		if now.Before(n.expiresAt) {
			kept = append(kept, n)
			continue
		}
		p.closeLocked(n)
	}
	p.idle = kept
}

// retire closes the idle connections now, and those in use when they are
// returned.
func (p *pool) retire() {
	p.closeIdle()
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
}
