// Package thclaims sees to it that a request with an idempotency key runs at
// most once, whichever VMs its caller sends it through. It writes a claim to
// the platform's store before the request is sent, and what became of the
// request after it; package thclaim decides.
package thclaims

import (
	"context"
	"crypto/rand"
	"encoding/hex"
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
	// claimWait bounds the time spent on getting a claim written.
	claimWait = 2 * time.Second
	// claimShare is the part of the request's time that claiming may take.
	claimShare = 2
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

// Options are what Claims are made of; all fields are needed.
type Options struct {
	Platform thstore.Platform
	Clock    thclock.Clock
	Log      thevent.Logger
	Self     throster.VM
}

// Claims guards requests with idempotency keys. Make one with New. It is safe
// for concurrent use.
type Claims struct {
	options  Options
	writer   writer
	finisher finisher
}

// New returns claims without any pending.
func New(o Options) *Claims {
	c := &Claims{options: o, writer: writer{platform: o.Platform}}
	c.finisher.claims = c
	return c
}

// Start adds the controller that finishes claims which the store did not take
// at once.
func (c *Claims) Start(p *thpool.Pool) {
	p.Every(finishInterval, nil, func(context.Context) { c.finisher.retry() })
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
	h := held{key: thclaim.Key(q.Customer.Name, q.IdempotencyKey), claim: c.newClaim(q)}
	answer, err := c.claim(ctx, q, &h)
	if answer != nil || err != nil {
		return answer, err
	}
	return c.run(ctx, q, h, next)
}

// held is a claim that this VM holds at a version of its row.
type held struct {
	key     string
	claim   thclaim.Claim
	version uint64
}

func (c *Claims) newClaim(q *threquest.Request) thclaim.Claim {
	return thclaim.Claim{
		Digest:    thclaim.Digest(q),
		Token:     newToken(),
		Owner:     c.options.Self.ID,
		State:     thclaim.Claimed,
		SendUntil: q.Deadline.Wall,
		Expires:   q.Deadline.Wall + thclaim.Retention,
	}
}

func newToken() string {
	var b [tokenBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// claim writes the claim and sets the version that it stands at, or returns
// the recorded answer or the refusal.
func (c *Claims) claim(ctx context.Context, q *threquest.Request, h *held) (*threquest.Answer, error) {
	value := h.claim.Encode()
	began := c.options.Clock.Now()
	until := began.Add(min(claimWait, q.Deadline.Sub(began)/claimShare))
	doubtful := false
	for version := uint64(0); ; {
		err := c.writer.write(h.key, version, value)
		if err == nil {
			h.version = version + 1
			return nil, nil
		}
		doubtful = doubtful || therror.Is(err, therror.StoreOutcomeUnknown)
		verdict, err := c.look(ctx, h)
		if err == nil {
			switch v := verdict.(type) {
			case thclaim.Own:
				h.version = v.Version
				return nil, nil
			case thclaim.Answered:
				return c.recorded(ctx, v.Answer)
			case thclaim.Refused:
				return nil, v.Err
			case thclaim.Free:
				version = v.Version
			}
		}
		if c.options.Clock.Now().Passed(until) || !sleep(ctx, storePause) {
			if doubtful {
				c.finisher.add(*h, thclaim.Released)
			}
			return nil, therror.New(therror.ClaimUnavailable, "the store did not take the claim")
		}
	}
}

// look reads the row and judges it.
func (c *Claims) look(ctx context.Context, h *held) (thclaim.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r, err := c.options.Platform.ReadRow(ctx, h.key)
	if err != nil {
		return nil, err
	}
	found, err := thclaim.Decode(r)
	if err != nil {
		return nil, err
	}
	return thclaim.Judge(h.claim, found, r.Version, c.options.Clock.Now()), nil
}

// run sends the claimed request. It goes on when the caller goes away, so that
// the answer can be recorded for the resend that is to be expected.
func (c *Claims) run(ctx context.Context, q *threquest.Request, h held, next Next) (*threquest.Answer, error) {
	now := c.options.Clock.Now()
	if now.Passed(q.Deadline) {
		c.finish(h, thclaim.Released, nil)
		return nil, therror.New(therror.QueueTimeout, "no time is left to send the request")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), q.Deadline.Sub(now))
	defer cancel()
	answer, err := next(ctx, q)
	c.finish(h, thclaim.Outcome(err), answer)
	return answer, err
}

// finish records what became of the request. Only a release is waited for,
// so that a resend after the refusal finds the key free.
func (c *Claims) finish(h held, s thclaim.State, answer *threquest.Answer) {
	h.claim = h.claim.WithState(s, c.record(h, answer))
	done := c.finisher.start(h)
	if s != thclaim.Released {
		return
	}
	t := time.NewTimer(releaseWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

func (c *Claims) record(h held, a *threquest.Answer) *thclaim.Answer {
	if a == nil {
		return nil
	}
	r := &thclaim.Answer{Status: a.Status, Headers: a.Headers, Target: a.Target}
	switch {
	case len(a.Body) <= maxRowBody:
		r.Body = a.Body
	case len(a.Body) <= maxObjectBody:
		r.Object = objectPrefix + h.key + "/" + h.claim.Token
		r.Body = a.Body
	default:
		r.Dropped = true
	}
	return r
}

// recorded returns a recorded answer whole.
func (c *Claims) recorded(ctx context.Context, a thclaim.Answer) (*threquest.Answer, error) {
	answer := &threquest.Answer{Status: a.Status, Headers: a.Headers, Body: a.Body, Target: a.Target}
	if a.Object == "" {
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
