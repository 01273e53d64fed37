// Package thsend sends requests to targets. One call of Send is at most one
// write of one request on one connection: nothing here ever repeats a request
// of which a byte may have left.
package thsend

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
)

const (
	// dialTimeout is how long a target's machine may take to accept a
	// connection; round trips within a region take 2 ms.
	dialTimeout = 400 * time.Millisecond
	// defaultConnections bounds the connections to a target whose service
	// names no bound.
	defaultConnections = 64
)

// Options are what a Client is made of. Clock is needed.
type Options struct {
	// LocalIP is the address that connections leave from; empty leaves it open.
	LocalIP string
	Clock   thclock.Clock
	Names   thmessage.HeaderNames
	// MaxAnswerBytes bounds the body of an answer; 0 means the default.
	MaxAnswerBytes int
}

// Result is how one attempt ended.
type Result struct {
	End thpick.End
	// Outcome is what the attempt shows of the target.
	Outcome thjudge.Outcome
	// Answer is set if End is Answered or Failure.
	Answer *thmessage.Answer
	// Connected is set if a connection was made for the attempt.
	Connected bool
	// Err says what went wrong, for the log.
	Err  error
	Took time.Duration
}

// Client sends requests to targets and keeps connections to them. Make one
// with New. It is safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer
	mu      sync.Mutex
	// pools are by the target's ID: an address may pass to another target.
	pools map[string]*pool
}

const defaultMaxAnswerBytes = 16 << 20

// New returns a client without connections.
func New(o Options) *Client {
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	c := &Client{options: o, pools: make(map[string]*pool)}
	c.dialer.Timeout = dialTimeout
	c.dialer.KeepAlive = -1 // TCP_USER_TIMEOUT and the deadlines find silent connections
	c.dialer.Control = controlSocket
	if o.LocalIP != "" {
		c.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(o.LocalIP)}
	}
	return c
}

func (c *Client) pool(id string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[id]
	if p == nil {
		p = &pool{}
		c.pools[id] = p
	}
	return p
}

func margin(repeatable bool) time.Duration {
	if repeatable {
		return repeatableMargin
	}
	return onceMargin
}

// HasIdle reports whether a request to the target would need no new connection.
func (c *Client) HasIdle(id string, repeatable bool) bool {
	c.mu.Lock()
	p := c.pools[id]
	c.mu.Unlock()
	return p != nil && p.hasIdle(c.options.Clock.Now(), margin(repeatable))
}

// Retain closes the connections to all targets but those.
func (c *Client) Retain(targets []thtable.Target) {
	keep := make(map[string]bool, len(targets))
	for _, t := range targets {
		keep[t.ID] = !t.Draining
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.pools {
		if !keep[id] {
			p.retire()
			delete(c.pools, id)
		}
	}
}

// Expire closes the connections that were idle for too long.
func (c *Client) Expire() {
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.expire(now)
	}
}

// Manner says by which connection an attempt is made.
type Manner struct {
	// Most bounds this VM's connections to the target; 0 means a default.
	Most int
	// Fresh asks for a new connection: the idle ones may have gone silent.
	Fresh bool
}

// Send makes one attempt, which ends when the context or the request's
// deadline does.
func (c *Client) Send(ctx context.Context, t thtable.Target, q *thmessage.Request, m Manner) Result {
	began := c.options.Clock.Now()
	if m.Most <= 0 {
		m.Most = defaultConnections
	}
	r := c.attempt(ctx, t, q, m)
	r.Took = c.options.Clock.Now().Sub(began)
	return r
}

func (c *Client) attempt(ctx context.Context, t thtable.Target, q *thmessage.Request, m Manner) Result {
	p := c.pool(t.ID)
	if !m.Fresh {
		if n := p.take(c.options.Clock.Now(), margin(q.Route.IsIdempotent())); n != nil {
			if r, again := c.exchange(ctx, p, n, t, q); !again {
				return r
			}
		}
	}
	n, err := c.connect(ctx, p, t, q, m.Most)
	if err != nil {
		return Result{End: thpick.NotSent, Outcome: dialOutcome(ctx, err), Err: err}
	}
	r, _ := c.exchange(ctx, p, n, t, q)
	r.Connected = true
	return r
}

// errConnections says that the VM has its share of the target's connections.
var errConnections = errors.New("all connections to the target are in use")

func dialOutcome(ctx context.Context, err error) thjudge.Outcome {
	switch {
	case ctx.Err() != nil || errors.Is(err, errConnections):
		return thjudge.Unknown
	case errors.Is(err, syscall.ECONNREFUSED):
		return thjudge.Refused
	}
	return thjudge.Silent
}

func (c *Client) connect(ctx context.Context, p *pool, t thtable.Target, q *thmessage.Request, most int) (*connection, error) {
	if !p.reserve(most) {
		return nil, errConnections
	}
	bounded, cancel := context.WithTimeout(ctx, q.TimeLeft(c.options.Clock.Now()))
	defer cancel()
	nc, err := c.dialer.DialContext(bounded, "tcp", t.Address)
	if err != nil {
		p.release()
		return nil, err
	}
	n, err := newConnection(nc)
	if err != nil {
		p.release()
		return nil, err
	}
	return n, nil
}
