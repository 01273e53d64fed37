// Package thbalance forwards requests to targets: it queues them fairly across
// customers, picks a target, sends, decides on repeats, and exchanges with
// other VMs what requests showed of the targets.
package thbalance

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/throute"
	"tamarackhollow/io/thwire"

	"github.com/cespare/xxhash/v2"
)

// Sender makes one attempt against one target. It returns soon after the
// context has ended.
type Sender interface {
	Send(ctx context.Context, target string, q *threquest.Request) threquest.Attempt
}

// Blame tells deaths caused by a request from deaths of a sick target.
type Blame interface {
	// Died is told of an attempt whose connection died before the answer, and
	// reports whether the request rather than the target is to blame.
	Died(q *threquest.Request, target string) bool
}

// Options are what a Forwarder is made of. Self, Sender and Config are needed.
type Options struct {
	Self   throster.VM
	Roster func() throster.Roster
	Config func() thconfig.Config
	Sender Sender
	// Client makes the calls to peers; without one nothing is exchanged.
	Client *thwire.Client
	Clock  thclock.Clock
	// Rand seeds the forwarder's own sources; nil seeds them at random.
	Rand *rand.Rand
	Log  thevent.Logger
	// Blame is nil if no request is ever to blame.
	Blame Blame
	// HealthPath is where targets answer health checks; empty means /health.
	HealthPath string
}

// Forwarder sends requests to targets. Make one with New; it is safe for
// concurrent use.
type Forwarder struct {
	Options

	origin uint32
	// rota is used by the judging controller alone.
	rota throute.Rota
	// services maps names to *service.
	services sync.Map
	seedMu   sync.Mutex
	seed     *rand.Rand
	version  atomic.Uint64
	vms      atomic.Int64
	pacer    thhealth.Pacer
}

const defaultHealthPath = "/health"

// New returns a forwarder that knows nothing of its targets yet.
func New(o Options) *Forwarder {
	if o.Clock == nil {
		o.Clock = thclock.System{}
	}
	if o.Log == nil {
		o.Log = thevent.Discard{}
	}
	if o.Roster == nil {
		o.Roster = func() throster.Roster { return throster.Roster{} }
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.HealthPath == "" {
		o.HealthPath = defaultHealthPath
	}
	return &Forwarder{Options: o, origin: thhealth.OriginKey(o.Self.ID, o.Self.Incarnation), seed: o.Rand}
}

// Forward sends the request to a target, or to several in turn where that
// cannot run it twice, and returns the whole answer. Its errors carry what is
// known of the outcome.
func (f *Forwarder) Forward(ctx context.Context, q *threquest.Request) (*threquest.Answer, error) {
	s := f.service(q.Service)
	if err := s.enter(ctx, q); err != nil {
		return nil, err
	}
	began := f.Clock.Now()
	a, err := f.attempts(ctx, s, q)
	s.leave(q, f.Clock.Now().Sub(began))
	return a, err
}

// attempts sends the request until it is answered or given up.
func (f *Forwarder) attempts(ctx context.Context, s *service, q *threquest.Request) (*threquest.Answer, error) {
	t := throute.Try{Request: q}
	for {
		d, answer := f.attempt(ctx, s, &t)
		switch d := d.(type) {
		case throute.Deliver:
			answer.Attempts = t.Attempts()
			return answer, nil
		case throute.Refuse:
			return nil, t.Refusal(d.Err)
		case throute.Repeat:
			if err := f.pause(ctx, s, q, d); err != nil {
				return nil, t.Refusal(err)
			}
		}
	}
}

// attempt makes one attempt and decides what follows it.
func (f *Forwarder) attempt(ctx context.Context, s *service, t *throute.Try) (throute.Decision, *threquest.Answer) {
	now := f.Clock.Now()
	if now.Passed(t.Request.Deadline) {
		return throute.Refuse{Err: therror.New(therror.QueueTimeout, "no time was left to send the request")}, nil
	}
	address, patience, err := s.pick(now, t)
	if err != nil {
		return throute.Refuse{Err: err}, nil
	}
	bounded, cancel := context.WithTimeout(ctx, patience)
	a := f.Sender.Send(bounded, address, t.Request)
	cancel()
	a = f.complete(ctx, a, now)
	return s.settle(t, a, f.blamed(t.Request, a)), a.Answer
}

// complete fills in what a sender may leave out.
func (f *Forwarder) complete(ctx context.Context, a threquest.Attempt, began thclock.Instant) threquest.Attempt {
	if a.Ended == (thclock.Instant{}) {
		a.Began, a.Ended = began, f.Clock.Now()
	}
	if a.Answer != nil {
		a.Answer.Took = a.Ended.Sub(a.Began)
	}
	if a.Err == nil && a.Answer == nil {
		a.Err = therror.New(therror.AnswerBroken, "target %s gave no answer", a.Target)
	}
	if a.Err != nil && ctx.Err() == context.Canceled && !therror.Is(a.Err, therror.CallerGone) {
		a.Err = therror.Wrap(therror.CallerGone, a.Err, "target %s was cancelled", a.Target)
	}
	return a
}

func (f *Forwarder) blamed(q *threquest.Request, a threquest.Attempt) bool {
	return f.Blame != nil && therror.Is(a.Err, therror.AnswerLost) && a.Sent && !a.Reused && f.Blame.Died(q, a.Target)
}

// pause waits until the request may be sent again: for the pause, if there is
// one, and then for the budget.
func (f *Forwarder) pause(ctx context.Context, s *service, q *threquest.Request, r throute.Repeat) error {
	if r.Pause <= 0 {
		return nil
	}
	t := time.NewTimer(r.Pause)
	defer t.Stop()
	for {
		if f.Clock.Now().Add(r.Pause).Passed(q.Deadline) {
			return therror.New(therror.Shed, "no target took the request before its deadline")
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ended(ctx)
		}
		if s.again(q, r) {
			return nil
		}
		t.Reset(r.Pause)
	}
}

// ended is the refusal of a request that is not sent any more.
func ended(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return therror.Wrap(therror.CallerGone, ctx.Err(), "while the request was waiting")
	}
	return therror.Wrap(therror.QueueTimeout, ctx.Err(), "while the request was waiting")
}

// service returns the state of a service, and makes it at the first request.
func (f *Forwarder) service(spec thconfig.Service) *service {
	if v, ok := f.services.Load(spec.Name); ok {
		return v.(*service)
	}
	f.seedMu.Lock()
	defer f.seedMu.Unlock()
	if v, ok := f.services.Load(spec.Name); ok {
		return v.(*service)
	}
	rng := rand.New(rand.NewPCG(f.seed.Uint64(), xxhash.Sum64String(spec.Name)))
	s := &service{f: f, name: spec.Name}
	s.balancer = throute.NewBalancer[*waiter](f.Clock.Now(), spec, f.place(), rng)
	f.services.Store(spec.Name, s)
	return s
}

// place is this VM's place among all VMs.
func (f *Forwarder) place() throute.Place {
	return throute.Place{ID: f.Self.ID, VMs: f.Roster().Len()}
}

// each calls the function with every service that has state.
func (f *Forwarder) each(visit func(*service)) {
	f.services.Range(func(_, v any) bool {
		visit(v.(*service))
		return true
	})
}
