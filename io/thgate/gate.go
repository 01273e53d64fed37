// Package thgate looks once more at a request's key, right before the request
// leaves for a target. Since the request was let in it may have waited in a
// queue, or the whole VM may have been paused.
package thgate

import (
	"context"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/threquest"
)

// Sender makes one attempt against one target.
type Sender interface {
	Send(ctx context.Context, target string, q *threquest.Request) threquest.Attempt
}

// Gate is a Sender that sends a request only while its key is in force. All
// fields are needed.
type Gate struct {
	Next       Sender
	Config     func() thconfig.Config
	CheckFresh func() error
	Clock      thclock.Clock
}

// Send makes one attempt, or none if the key may have been withdrawn.
func (g Gate) Send(ctx context.Context, target string, q *threquest.Request) threquest.Attempt {
	if err := g.check(q); err != nil {
		now := g.Clock.Now()
		return threquest.Attempt{Target: target, Err: err, Began: now, Ended: now}
	}
	return g.Next.Send(ctx, target, q)
}

func (g Gate) check(q *threquest.Request) error {
	if q.Route.Open {
		return nil
	}
	// Freshness comes first: the configuration read after it is as new.
	if err := g.CheckFresh(); err != nil {
		return err
	}
	k, ok := g.Config().Key(q.KeyID)
	if !ok || k.Customer != q.Customer.Name {
		return therror.New(therror.KeyUnknown, "the key was withdrawn while the request waited")
	}
	return nil
}
