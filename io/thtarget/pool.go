package thtarget

import (
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
)

const (
	// maxIdle is how long an unused connection is kept.
	maxIdle = 20 * time.Second
	// provenFor is how long an answer shows that a connection works. A request
	// that must not run twice goes only on a connection proven to work, because
	// its loss could not be made good by sending it again.
	provenFor = time.Second
	// keptUnused is how long a pool without connections is kept.
	keptUnused = time.Minute
	// silenceFloor and silenceFactor bound how long a reused connection may
	// give nothing, against the slowest first byte that the target gave lately.
	silenceFloor  = 500 * time.Millisecond
	silenceFactor = 4
	// slowestDecay is the part by which each answer lets the slowest one fade.
	slowestDecay = 64
)

// pool holds the connections to one target. The zero pool is empty.
type pool struct {
	mu sync.Mutex
	// idle is ordered by last use, the latest last.
	idle []*connection
	// open counts the connections in idle and in use.
	open    int
	retired bool
	used    thclock.Instant
	// slowest is a fading maximum of the wait for an answer's first byte.
	slowest time.Duration
}

// take returns a usable idle connection, or nil if the caller is to make a
// new one, which it has then reserved room for.
func (p *pool) take(now thclock.Instant, share int, repeatSafe, fresh bool) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = now
	p.closeOld(now)
	for len(p.idle) > 0 && !fresh {
		n := p.idle[len(p.idle)-1]
		if !repeatSafe && now.Sub(n.used) >= provenFor {
			break
		}
		p.idle = p.idle[:len(p.idle)-1]
		if n.usable() {
			return n, nil
		}
		p.drop(n)
	}
	if p.open >= share && len(p.idle) > 0 {
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.open >= share {
		return nil, therror.New(therror.QueueFull, "all connections to the target are in use")
	}
	p.open++
	return nil, nil
}

func (p *pool) closeOld(now thclock.Instant) {
	old := 0
	for old < len(p.idle) && now.Sub(p.idle[old].used) >= maxIdle {
		p.drop(p.idle[old])
		old++
	}
	p.idle = p.idle[old:]
}

func (p *pool) drop(n *connection) {
	n.close()
	p.open--
}

// forget gives back the room reserved for a connection that was not made.
func (p *pool) forget() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put takes a connection back after one whole, clean answer.
func (p *pool) put(n *connection, now thclock.Instant, firstByte time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowest = max(firstByte, p.slowest-p.slowest/slowestDecay)
	n.used = now
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

// suspect closes every idle connection: one that was made at another time than
// they has gone silent, and what silenced it may have silenced them.
func (p *pool) suspect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.idle {
		p.drop(n)
	}
	p.idle = nil
}

// silence returns how long a reused connection may give nothing.
func (p *pool) silence() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(silenceFloor, silenceFactor*p.slowest)
}

// sweep closes what is old and reports whether the pool may be removed.
func (p *pool) sweep(now thclock.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOld(now)
	p.retired = p.open == 0 && now.Sub(p.used) >= keptUnused
	return p.retired
}

// retire closes the idle connections and those that come back later.
func (p *pool) retire() {
	p.suspect()
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
}
