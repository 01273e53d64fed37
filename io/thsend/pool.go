package thsend

import (
	"sync"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// defaultIdle is how long an idle connection is used again if the target
	// does not say how long it keeps one.
	defaultIdle = 5 * time.Second
	// repeatableMargin and onceMargin are how long before the target may close
	// an idle connection it is no longer used: a request that crosses the close
	// may have run.
	repeatableMargin = 300 * time.Millisecond
	onceMargin       = time.Second
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

// take returns an idle connection that is fit for the request, or nil.
func (p *pool) take(now thclock.Instant, margin time.Duration) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		n := p.idle[len(p.idle)-1]
		if !now.Add(margin).Before(n.idleUntil) {
			// The older ones are no better; repeatable requests may still use them.
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if n.quiet() {
			return n
		}
		p.drop(n)
	}
	return nil
}

// hasIdle reports whether a connection is likely to be taken.
func (p *pool) hasIdle(now thclock.Instant, margin time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && now.Add(margin).Before(p.idle[len(p.idle)-1].idleUntil)
}

// reserve makes room for a new connection; at most that many stay open.
func (p *pool) reserve(most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= most && len(p.idle) > 0 {
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.open >= most {
		return false
	}
	p.open++
	return true
}

func (p *pool) drop(n *connection) {
	_ = n.Close() // nothing is lost: the connection is not used again
	p.open--
}

// release gives back the room of a connection that was not made.
func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put takes a connection back after one whole answer.
func (p *pool) put(n *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		p.drop(n)
		return
	}
	p.idle = append(p.idle, n)
}

// discard closes a connection in use.
func (p *pool) discard(n *connection) {
	p.mu.Lock()
	p.drop(n)
	p.mu.Unlock()
}

// clear closes the idle connections: one of them has gone silent, and what
// silenced it may have silenced the others.
func (p *pool) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.idle {
		p.drop(n)
	}
	p.idle = nil
}

// expire closes the idle connections whose time is over.
func (p *pool) expire(now thclock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, n := range p.idle {
		if now.Before(n.idleUntil) {
			kept = append(kept, n)
			continue
		}
		p.drop(n)
	}
	p.idle = kept
}

// retire closes the idle connections, and those in use when they come back.
func (p *pool) retire() {
	p.clear()
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
}
