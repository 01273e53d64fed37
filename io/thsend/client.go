// Package thsend sends HTTP requests to targets over pooled connections. Each
// call of Send writes the request at most once: it is moved to another
// connection only if no byte of it has been sent.
package thsend

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
)

const (
	// dialTimeout bounds the time to connect to a target. Round trips within a
	// region take 2 ms.
	dialTimeout = 400 * time.Millisecond
	// defaultMaxConnections bounds the connections to a target whose service
	// sets no limit.
	defaultMaxConnections = 64
)

// Options configure a Client. Clock is required.
type Options struct {
	// LocalIP is the source address of connections; if empty, the system
	// chooses it.
	LocalIP     string
	Clock       thclock.Clock
	HeaderNames thmessage.HeaderNames
	// MaxAnswerBytes bounds the body of an answer; 0 means 16 MiB.
	MaxAnswerBytes int
}

// Result describes how one attempt ended.
type Result struct {
	// End decides whether the request may be retried.
	End thpick.AttemptEnd
	// Outcome is the evidence that the attempt gives about the target's health.
	Outcome thhealth.Outcome
	// Answer is set if End is Answered or Failure.
	Answer *thmessage.Answer
	// NewConnection is set if a connection was opened for the attempt.
	NewConnection bool
	// TargetLeaves is set if the target said in its answer that it leaves.
	TargetLeaves bool
	// Load is what the target said of its load in its answer; the zero report if it said
	// nothing that can be read.
	Load thpick.LoadReport
	// PausedUntil is when the target wants the next request from this VM, if it turned this
	// one away and said so; otherwise it is the zero Instant.
	PausedUntil thclock.Instant
	// PauseErr is set if the target asked for a pause that could not be read.
	PauseErr error
	// ColdUntil is until when the target is cold, if it said so in its answer; otherwise it is
	// the zero Instant.
	ColdUntil thclock.Instant
	// Err is the cause of an attempt without an answer, for the log.
	Err  error
	Took time.Duration
}

// Client sends requests to targets and keeps a pool of connections to each.
// It must be created with New and is safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer
	// unfinished holds the bytes of the answers that have not been read whole yet.
	unfinished byteBudget
	mu         sync.Mutex
	// pools is keyed by target ID, since another target may later get the same
	// address.
	pools map[string]*pool
}

const (
	defaultMaxAnswerBytes     = 16 << 20
	defaultMaxUnfinishedBytes = 64 << 20
)

// New returns a client that has no connections yet.
func New(o Options) *Client {
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	c := &Client{options: o, pools: make(map[string]*pool)}
	c.LimitUnfinishedBytes(defaultMaxUnfinishedBytes)
	c.dialer.Timeout = dialTimeout
	c.dialer.KeepAlive = -1 // TCP_USER_TIMEOUT and deadlines detect dead connections
	c.dialer.Control = setUserTimeout
	if o.LocalIP != "" {
		c.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(o.LocalIP)}
	}
	return c
}

// LimitUnfinishedBytes bounds the answers together that have not been read whole yet. Until
// it is called, the limit is 64 MiB.
func (c *Client) LimitUnfinishedBytes(limit int64) { c.unfinished.limit.Store(limit) }

// pool returns the target's pool, which it creates if there is none.
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

// closeMargin returns how long before its expiry a connection is no longer
// used for a request.
func closeMargin(idempotent bool) time.Duration {
	if idempotent {
		return idempotentCloseMargin
	}
	return nonIdempotentCloseMargin
}

// HasIdleConnection reports whether there is an idle connection to the target
// with the given ID that a request could use.
func (c *Client) HasIdleConnection(id string, idempotent bool) bool {
	c.mu.Lock()
	p := c.pools[id]
	c.mu.Unlock()
	return p != nil && p.hasIdle(c.options.Clock.Now(), closeMargin(idempotent))
}

// Retain closes the connections to all targets but the given ones. Connections
// to given targets that are draining are closed too. Those in use are closed
// after their exchange.
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

// CloseExpired closes the idle connections that the targets may close by now.
func (c *Client) CloseExpired() {
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeExpired(now)
	}
}

// ConnectionOptions configure the choice of the connection for an attempt.
type ConnectionOptions struct {
	// MaxConnections bounds this VM's connections to the target; 0 means 64.
	MaxConnections int
	// RequireNew makes the attempt open a connection instead of using an idle
	// one. It is for when the idle connections may be dead.
	RequireNew bool
}

// Send makes one attempt to send the request to the target. It returns at the
// request's deadline at the latest, or when the context ends.
func (c *Client) Send(ctx context.Context, t thtable.Target, request *thmessage.Request, o ConnectionOptions) Result {
	start := c.options.Clock.Now()
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	r := c.attempt(ctx, t, request, o)
	r.Took = c.options.Clock.Now().Sub(start)
	return r
}

// attempt sends the request on an idle connection. It opens a new one if none is
// idle, if o requires it, or if the idle one failed before a byte was sent.
func (c *Client) attempt(ctx context.Context, t thtable.Target, request *thmessage.Request, o ConnectionOptions) Result {
	p := c.pool(t.ID)
	if !o.RequireNew {
		if n := p.takeIdle(c.options.Clock.Now(), closeMargin(request.Route.IsIdempotent()), request.ID); n != nil {
			if r, retry := c.exchange(ctx, p, n, t, request); !retry {
				return r
			}
		}
	}
	n, err := c.connect(ctx, p, t, request, o.MaxConnections)
	if err != nil {
		return Result{End: thpick.NotSent, Outcome: outcomeOfDialError(ctx, err), Err: err}
	}
	r, _ := c.exchange(ctx, p, n, t, request)
	r.NewConnection = true
	return r
}

// errConnectionLimit is returned when the VM may open no further connection to
// the target and none is idle.
var errConnectionLimit = errors.New("all connections to the target are in use")

// outcomeOfDialError returns the evidence about the target that a failure to
// connect gives. A cancelled attempt and the VM's own limit give none.
func outcomeOfDialError(ctx context.Context, err error) thhealth.Outcome {
	switch {
	case ctx.Err() != nil || errors.Is(err, errConnectionLimit):
		return thhealth.Inconclusive
	case errors.Is(err, syscall.ECONNREFUSED):
		return thhealth.ConnectionRefused
	}
	return thhealth.TimedOut
}

// connect opens a connection to the target unless the pool has maxOpen already.
// It gives up after dialTimeout or at the request's deadline.
func (c *Client) connect(ctx context.Context, p *pool, t thtable.Target, request *thmessage.Request, maxOpen int) (*connection, error) {
	if !p.reserve(maxOpen) {
		return nil, errConnectionLimit
	}
	bounded, cancel := context.WithTimeout(ctx, request.TimeLeft(c.options.Clock.Now()))
	defer cancel()
	nc, err := c.dialer.DialContext(bounded, "tcp", t.Address)
	if err != nil {
		p.releaseReservation()
		return nil, err
	}
	n, err := newConnection(nc, &c.unfinished)
	if err != nil {
		p.releaseReservation()
		return nil, err
	}
	return n, nil
}
