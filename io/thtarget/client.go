// Package thtarget sends requests to targets. One call of Send is at most one
// write of one request on one connection: nothing here ever repeats a request
// of which a byte may have left.
//
// A connection serves a further request only after it has given one whole,
// clean answer to the one before; everything else closes it.
package thtarget

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throute"
	"tamarackhollow/io/thpool"
)

const (
	defaultMaxAnswerBytes = 16 << 20
	defaultConnections    = 64
	dialTimeout           = time.Second
	sweepInterval         = 5 * time.Second
)

// Options are what a Client is made of. Only Clock and Log are needed.
type Options struct {
	// LocalIP is the address that connections leave from; empty leaves it open.
	LocalIP string
	Clock   thclock.Clock
	Log     thevent.Logger
	// VMs returns how many VMs share a target's connections; nil means one.
	VMs func() int
	// MaxAnswerBytes bounds the body of an answer; zero means 16 MiB.
	MaxAnswerBytes int
}

// Client sends requests to targets and keeps connections to them. Make one
// with New. It is safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer
	mu      sync.Mutex
	pools   map[string]*pool
}

// New returns a client without connections.
func New(o Options) *Client {
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	c := &Client{options: o, pools: make(map[string]*pool)}
	c.dialer.Timeout = dialTimeout
	c.dialer.Control = controlSocket
	if o.LocalIP != "" {
		c.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(o.LocalIP)}
	}
	return c
}

// Start adds the controller that closes connections idle for too long.
func (c *Client) Start(p *thpool.Pool) {
	p.Every(sweepInterval, nil, func(context.Context) { c.sweep() })
}

// Close closes the connections that are idle. Those in use are closed when
// their request ends.
func (c *Client) Close() {
	c.mu.Lock()
	ps := c.pools
	c.pools = make(map[string]*pool)
	c.mu.Unlock()
	for _, p := range ps {
		p.retire()
	}
}

func (c *Client) sweep() {
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, p := range c.pools {
		if p.sweep(now) {
			delete(c.pools, target)
		}
	}
}

func (c *Client) pool(target string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[target]
	if p == nil {
		p = &pool{}
		c.pools[target] = p
	}
	return p
}

// share returns how many connections this VM may hold to a target. Where the
// budget is scarce, each VM uses some of the targets, and the balancer reckons
// with the same share.
func (c *Client) share(q *threquest.Request) int {
	if q.Service.Connections <= 0 {
		return defaultConnections
	}
	place := throute.Place{VMs: 1}
	if c.options.VMs != nil {
		place.VMs = c.options.VMs()
	}
	_, each := place.Connections(q.Service)
	return each
}

// Send makes one attempt. Its answer, if there is one, is whole and was read
// off the connection that the request went out on. If Sent is false, no byte
// of the request left for the target.
func (c *Client) Send(ctx context.Context, target string, q *threquest.Request) threquest.Attempt {
	a := threquest.Attempt{Target: target, Began: c.options.Clock.Now()}
	if q.Deadline == (thclock.Instant{}) {
		bounded := *q
		bounded.Deadline = a.Began.Add(q.Service.Timeout())
		q = &bounded
	}
	c.attempt(ctx, &a, q)
	a.Ended = c.options.Clock.Now()
	return a
}

func (c *Client) attempt(ctx context.Context, a *threquest.Attempt, q *threquest.Request) {
	if err := checkRequest(q); err != nil {
		a.Err = err
		return
	}
	p := c.pool(a.Target)
	for fresh := false; ; fresh = true {
		n, err := c.connection(ctx, p, a.Target, q, fresh)
		if err != nil {
			a.Err = err
			return
		}
		again := c.exchange(ctx, p, n, a, q)
		if !again {
			return
		}
	}
}

// connection returns an idle connection, or a new one.
func (c *Client) connection(ctx context.Context, p *pool, target string, q *threquest.Request, fresh bool) (*connection, error) {
	now := c.options.Clock.Now()
	if ctx.Err() != nil || now.Passed(q.Deadline) {
		return nil, therror.New(therror.QueueTimeout, "no time is left to send the request")
	}
	n, err := p.take(now, c.share(q), q.RepeatSafe(), fresh)
	if n != nil || err != nil {
		return n, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, rest(now, q.Deadline))
	defer cancel()
	nc, err := c.dialer.DialContext(dialCtx, "tcp", target)
	if err == nil {
		return newConnection(nc), nil
	}
	p.forget()
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, therror.Wrap(therror.QueueTimeout, err, "the request was given up before it was sent")
	}
	return nil, therror.Wrap(therror.ConnectFailed, err, "no connection to the target")
}

// rest returns the time left until the deadline by the reading that is further on.
func rest(now, deadline thclock.Instant) time.Duration {
	return min(deadline.Mono-now.Mono, deadline.Wall-now.Wall)
}
