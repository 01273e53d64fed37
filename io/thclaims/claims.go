// Package thclaims sees to it that a request with an idempotency key runs at
// most once, whichever VMs its caller sends it through. It writes a claim to
// the platform's store before the request is sent, and what became of the
// request after it; package thclaim decides.
package thclaims

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"tamarackhollow/core/thclaim"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/thstore"
	"tamarackhollow/io/thpool"
)

const (
	// storePause is the time between two tries at a store that fails.
	storePause = 50 * time.Millisecond
	// releaseWait is how long a refusal is held back until its claim is released.
	releaseWait = 500 * time.Millisecond
	// maxRowBody is the largest body that is recorded in the row itself, and
	// maxObjectBody the largest that is recorded at all.
	maxRowBody    = 8 << 10
	maxObjectBody = 4 << 20
	objectPrefix  = "answers/"
	tokenBytes    = 16
)

// Next sends a claimed request on.
type Next func(context.Context, *threquest.Request) (*threquest.Answer, error)

// Options are what Claims are made of. Platform, Clock, Log and Self are needed.
type Options struct {
	Platform thstore.Platform
	Clock    thclock.Clock
	Log      thevent.Logger
	Self     throster.VM
	// Peers and Roster serve to gather the fleet's writes; without them each
	// VM writes its own.
	Peers  Peers
	Roster func() throster.Roster
}

// Claims guards requests with idempotency keys. Make one with New. It is safe
// for concurrent use.
type Claims struct {
	options  Options
	store    writer
	gatherer gatherer
	finisher finisher
}

// New returns claims without any pending.
func New(o Options) *Claims {
	c := &Claims{options: o}
	c.store.commit = (&storeCommitter{platform: o.Platform, clock: o.Clock}).commit
	c.store.clock = o.Clock
	c.gatherer.claims = c
	c.finisher.claims = c
	return c
}

// Start adds the controllers that finish claims which the store did not take
// at once, and delete those that have expired.
func (c *Claims) Start(p *thpool.Pool) {
	p.Every(finishInterval, nil, func(context.Context) { c.finisher.retry() })
	p.Every(sweepInterval, nil, c.sweep)
}

// Leave records what is pending. It fails if the context ends first.
func (c *Claims) Leave(ctx context.Context) error {
	for c.finisher.pending() > 0 {
		c.finisher.retry()
		if !sleep(ctx, storePause) {
			return therror.Wrap(therror.StoreUnavailable, ctx.Err(), "%d claims are not recorded", c.finisher.pending())
		}
	}
	return nil
}

// Run sends the request on by calling next at most once. A request with an
// idempotency key, unless it may be repeated anyway, is sent only after its
// claim has been written; a resend of it gets the recorded answer, or is
// refused with ClaimRunning, ClaimOutcomeLost or ClaimMismatch. It fails with
// ClaimUnavailable, and sends nothing, if the store does not take the claim.
func (c *Claims) Run(ctx context.Context, q *threquest.Request, next Next) (*threquest.Answer, error) {
	if q.IdempotencyKey == "" || q.RepeatSafe() {
		return next(ctx, q)
	}
	m, action := thclaim.Begin(q, c.options.Self.ID, newToken(), c.options.Clock.Now())
	if row, ok := c.finisher.ended(m.Key()); ok {
		m, action = m.Found(c.options.Clock.Now(), row, nil)
	}
	var found *conflict
	for {
		switch a := action.(type) {
		case thclaim.Write:
			err := c.gatherer.write(m.Key(), a.Version, a.Claim.Encode(), a.Until)
			found = nil
			errors.As(err, &found)
			m, action = m.Wrote(c.options.Clock.Now(), err)
		case thclaim.Read:
			r, err := c.read(ctx, m.Key(), a.Pause, found)
			found = nil
			m, action = m.Found(c.options.Clock.Now(), r, err)
		case thclaim.Send:
			return c.run(ctx, q, a, next)
		case thclaim.Reply:
			return c.recorded(ctx, a.Answer)
		case thclaim.Refuse:
			c.undo(a.Undo)
			return nil, a.Err
		}
	}
}

func newToken() string {
	var b [tokenBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// read reads a claim's row, unless the write's conflict has brought it, and
// after a pause if the store has just failed.
func (c *Claims) read(ctx context.Context, key string, pause bool, found *conflict) (thstore.Row, error) {
	if found != nil {
		return found.found, nil
	}
	if pause {
		sleep(ctx, storePause)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	return c.options.Platform.ReadRow(ctx, key)
}

// run sends the claimed request. It goes on when the caller goes away, so that
// the answer can be recorded for the resend that is to be expected.
func (c *Claims) run(ctx context.Context, q *threquest.Request, s thclaim.Send, next Next) (*threquest.Answer, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Until.Sub(c.options.Clock.Now()))
	defer cancel()
	answer, err := next(ctx, q)
	c.finish(s.Held.Ended(c.record(s.Held, answer), err))
	return answer, err
}

// undo releases a claim that will not be used.
func (c *Claims) undo(h *thclaim.Held) {
	switch {
	case h == nil:
	case h.Version == 0:
		c.finisher.keep(*h, false)
	default:
		c.finish(*h)
	}
}

// finish records what became of the request. Only a release is waited for,
// so that a resend after the refusal finds the key free.
func (c *Claims) finish(h thclaim.Held) {
	done := c.finisher.start(h)
	if h.Claim.State != thclaim.Released {
		return
	}
	t := time.NewTimer(releaseWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

func (c *Claims) record(h thclaim.Held, a *threquest.Answer) *thclaim.Answer {
	if a == nil {
		return nil
	}
	r := &thclaim.Answer{Status: a.Status, Headers: a.Headers, Target: a.Target}
	switch {
	case len(a.Body) <= maxRowBody:
		r.Body = a.Body
	case len(a.Body) <= maxObjectBody:
		r.Object = objectPrefix + h.Key + "/" + h.Claim.Token
		r.Body = a.Body
	default:
		r.Dropped = true
	}
	return r
}

// recorded returns a recorded answer whole.
func (c *Claims) recorded(ctx context.Context, a thclaim.Answer) (*threquest.Answer, error) {
	answer := &threquest.Answer{Status: a.Status, Headers: a.Headers, Body: a.Body, Target: a.Target}
	if a.Object == "" || len(a.Body) > 0 {
		return answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	body, err := c.options.Platform.GetObject(ctx, a.Object)
	if err != nil {
		return nil, therror.Wrap(therror.ClaimOutcomeLost, err, "the request has run, but its answer cannot be read")
	}
	answer.Body = body
	return answer, nil
}

// sleep waits, and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
