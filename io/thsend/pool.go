package thsend

import (
	"sync"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// defaultKeepAlive is how long an idle connection is used again if the target
	// does not say how long it keeps one.
	defaultKeepAlive = 5 * time.Second
	// idempotentCloseMargin and onceMargin are how long before the target may close
	// an idle connection it is no longer used: a request that crosses the close
	// may have run.
	idempotentCloseMargin    = 300 * time.Millisecond
	nonIdempotentCloseMargin = time.Second
)

// pool holds the idle connections to one target. The zero pool is empty.
type pool struct {
	mu sync.Mutex
	// idle is ordered by last use, the latest last.
	idle []*connection
	// open counts all connections of the target.
	open    int
	retired bool
}

// takeIdle returns an idle connection that is fit for the request, or nil.
func (p *pool) takeIdle(now thclock.Instant, margin time.Duration) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		n := p.idle[len(p.idle)-1]
		if !now.Add(margin).Before(n.expiresAt) {
			// The older ones are no better; repeatable requests may still use them.
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if n.isQuiet() {
			return n
		}
		p.closeLocked(n)
	}
	return nil
}

// hasIdle reports whether a connection is likely to be taken.
func (p *pool) hasIdle(now thclock.Instant, margin time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && now.Add(margin).Before(p.idle[len(p.idle)-1].expiresAt)
}

// reserve makes room for a new connection; at most that many stay open.
func (p *pool) reserve(most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= most && len(p.idle) > 0 {
		p.closeLocked(p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.open >= most {
		return false
	}
	p.open++
	return true
}

func (p *pool) closeLocked(n *connection) {
	_ = n.Close() // nothing is lost: the connection is not used again
	p.open--
}

// releaseReservation gives back the room of a connection that was not made.
func (p *pool) releaseReservation() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// putIdle takes a connection back after one whole answer.
func (p *pool) putIdle(n *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		p.closeLocked(n)
		return
	}
	p.idle = append(p.idle, n)
}

// discard closes a connection in use.
func (p *pool) discard(n *connection) {
	p.mu.Lock()
	p.closeLocked(n)
	p.mu.Unlock()
}

// closeIdle closes the idle connections: one of them has gone silent, and what
// silenced it may have silenced the others.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.idle {
		p.closeLocked(n)
	}
	p.idle = nil
}

// closeExpired closes the idle connections whose time is over.
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

// retire closes the idle connections, and those in use when they come back.
func (p *pool) retire() {
	p.closeIdle()
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
}
