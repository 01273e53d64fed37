// Package thforward has requests run: it picks a target, sends, takes in what
// the attempt showed, and decides what follows. It guards the VM's view, which
// the exchange with other VMs shares, with one lock that is never held during
// input or output.
package thforward

import (
	"context"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thjudge"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thingress"
	"tamarackhollow/io/thsend"
)

// Sender makes one attempt.
type Sender interface {
	Send(ctx context.Context, t thtable.Target, q *thmessage.Request, m thsend.Manner) thsend.Result
	Retain(targets []thtable.Target)
}

// Options are what a Forwarder is made of.
type Options struct {
	View   *thview.View
	Table  func() thtable.Table
	Sender Sender
	Clock  thclock.Clock
	Log    thevent.Logger
	// Stir is called when there is something to tell the other VMs.
	Stir func()
	// Attempted is called after each attempt, for metrics; nil is allowed.
	Attempted func(service string, end thpick.End, took time.Duration, connected bool)
}

// Forwarder has requests run. Make one with New; it is safe for concurrent use.
type Forwarder struct {
	o Options
	// mu guards the view.
	mu sync.Mutex
}

var _ thingress.Runner = (*Forwarder)(nil)

// New returns a forwarder.
func New(o Options) *Forwarder {
	if o.Log == nil {
		o.Log = thevent.Discard{}
	}
	return &Forwarder{o: o}
}

// With calls the function with the view, under its lock.
func (f *Forwarder) With(visit func(now thclock.Instant, v *thview.View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	visit(f.o.Clock.Now(), f.o.View)
}

// SetTargets takes in a list of targets.
func (f *Forwarder) SetTargets(ts []thtable.Target) {
	f.With(func(now thclock.Instant, v *thview.View) { v.SetTargets(now, ts) })
	f.o.Sender.Retain(ts)
}

// Admit counts a request on the route against its customer's limit over all VMs.
func (f *Forwarder) Admit(c thtable.Customer, r thtable.Route) *thingress.Refusal {
	var wait time.Duration
	var ok bool
	f.With(func(now thclock.Instant, v *thview.View) { wait, ok = v.Admit(now, c, r) })
	if ok {
		return nil
	}
	return &thingress.Refusal{Err: therror.New(therror.OverLimit, "customer %s is over its rate", c.Name), After: wait}
}

// trip is one request on its way.
type trip struct {
	q       *thmessage.Request
	service string
	// most bounds the connections to a target.
	most int
	// fresh is set once an attempt over an idle connection was lost or overdue.
	fresh    bool
	attempts thpick.Attempts
	tried    []string
}

// Run has the request run.
func (f *Forwarder) Run(ctx context.Context, q *thmessage.Request) (*thmessage.Answer, *thingress.Refusal) {
	t := &trip{q: q}
	f.With(func(_ thclock.Instant, v *thview.View) { t.service = v.Backend(q.Route) })
	service, ok := f.o.Table().Service(t.service)
	if !ok {
		return nil, f.refuse(t, &thingress.Refusal{Err: therror.New(therror.NoTarget, "service %q is not configured", t.service)})
	}
	t.most = service.MaxConnections
	if !q.Route.IsIdempotent() {
		// What may not run twice is left to finish once it has been sent.
		if ctx.Err() != nil {
			return nil, f.refuse(t, gone())
		}
		ctx = context.WithoutCancel(ctx)
	}
	for {
		answer, refusal, done := f.attempt(ctx, t)
		if done {
			return answer, refusal
		}
	}
}

func gone() *thingress.Refusal {
	return &thingress.Refusal{Err: therror.New(therror.CallerGone, "the caller left")}
}

// attempt makes one attempt, and reports whether the request is done.
func (f *Forwarder) attempt(ctx context.Context, t *trip) (*thmessage.Answer, *thingress.Refusal, bool) {
	picked, refusal := f.pick(t)
	if refusal != nil {
		return nil, f.refuse(t, refusal), true
	}
	e := f.send(ctx, t, picked)
	d := f.decide(t, e)
	if ctx.Err() != nil {
		return nil, f.refuse(t, gone()), true
	}
	switch d := d.(type) {
	case thpick.Deliver:
		f.noteAnswer(t, e.picked, e.result)
		return e.result.Answer, nil, true
	case thpick.Refuse:
		return nil, f.refuse(t, &thingress.Refusal{Err: therror.New(d.Kind, "%s", detailOf(d.Kind)), After: f.after(d.Kind, e.picked)}), true
	}
	return nil, nil, false
}

// after is when a refused caller may try again.
func (f *Forwarder) after(k therror.Kind, p thview.Picked) time.Duration {
	if k.Answer().Outcome != therror.NotRun {
		return 0
	}
	return p.Expected / 2
}

func detailOf(k therror.Kind) string {
	switch k {
	case therror.AnswerLate:
		return "the answer did not come in time"
	case therror.AnswerLost:
		return "the target's answer was lost"
	case therror.NoTarget:
		return "no target could be reached"
	case therror.Shed:
		return "the targets turned the request down"
	}
	return "the request failed"
}

func (f *Forwarder) pick(t *trip) (p thview.Picked, refusal *thingress.Refusal) {
	f.With(func(now thclock.Instant, v *thview.View) {
		if t.q.TimeLeft(now) == 0 {
			refusal = &thingress.Refusal{Err: f.late(t)}
			return
		}
		if v.Quarantined(now, t.q) {
			refusal = &thingress.Refusal{Err: quarantined(t)}
			return
		}
		repeatable := t.q.Route.IsIdempotent() && t.attempts.Ran+1 < t.q.Route.MaxAttempts
		picked, none := v.Pick(now, t.q, t.service, t.tried, repeatable)
		switch {
		case none == nil:
			p = picked
		case t.attempts.Ran > 0:
			refusal = &thingress.Refusal{Err: therror.New(therror.AnswerLost, "no other target is left")}
		case none.Overloaded:
			refusal = &thingress.Refusal{Err: therror.New(therror.QueueFull, "all targets of the service are busy"), After: none.After}
		default:
			refusal = &thingress.Refusal{Err: therror.New(therror.NoTarget, "the service has no target left to try"), After: none.After}
		}
	})
	return p, refusal
}

func quarantined(t *trip) error {
	if t.attempts.Ran > 0 {
		return therror.New(therror.AnswerLost, "the request crashes the targets that run it")
	}
	return therror.New(therror.Quarantined, "the request has crashed the targets that ran it")
}

func (f *Forwarder) late(t *trip) error {
	if t.attempts.Ran > 0 {
		return therror.New(therror.AnswerLate, "the time ran out during a repeat")
	}
	return therror.New(therror.QueueFull, "no time was left to send the request")
}

// rules are what the request allows.
func rules(t *trip, expected time.Duration) thpick.Rules {
	return thpick.Rules{
		Repeatable: t.q.Route.IsIdempotent(), MaxAttempts: t.q.Route.MaxAttempts,
		Expected: expected, Deadline: t.q.Deadline,
	}
}

// decide returns what follows the last of the request's attempts.
func (f *Forwarder) decide(t *trip, e ended) (d thpick.Decision) {
	f.With(func(now thclock.Instant, v *thview.View) {
		d = thpick.Next(now, rules(t, e.picked.Expected), t.attempts, e.result.End, v.Affords(now, t.service))
	})
	return d
}

// silentFactor is how many times its usual time an answer has to be late to
// speak against the target.
const silentFactor = 3

// outcomeOf returns what the attempt shows of the target. An answer that came
// too late for an impatient caller shows nothing.
func outcomeOf(p thview.Picked, r thsend.Result) thjudge.Outcome {
	if r.End == thpick.Late && r.Took < silentFactor*p.Expected {
		return thjudge.Unknown
	}
	return r.Outcome
}

func (f *Forwarder) noteAttempt(t *trip, p thview.Picked, r thsend.Result, number int) {
	if f.o.Attempted != nil {
		f.o.Attempted(t.service, r.End, r.Took, r.Connected)
	}
	if r.End == thpick.Answered {
		return
	}
	fields := append(t.fields(number), picked(p)...)
	fields = append(fields, thevent.F("end", r.End.String()), thevent.F("tookMillis", r.Took.Milliseconds()))
	if r.Answer != nil {
		fields = append(fields, thevent.F("status", r.Answer.Status))
	}
	if r.Err != nil {
		fields = append(fields, thevent.F("error", r.Err.Error()))
	}
	f.o.Log.Log(thevent.AttemptFailed, fields...)
}

func (t *trip) fields(sends int) []thevent.Field {
	return []thevent.Field{
		thevent.F("request", t.q.ID), thevent.F("route", t.q.Route.Name), thevent.F("service", t.service),
		thevent.F("customer", t.q.Customer.Name), thevent.F("sends", sends),
	}
}

func picked(p thview.Picked) []thevent.Field {
	return []thevent.Field{
		thevent.F("target", p.Target.ID), thevent.F("address", p.Target.Address),
		thevent.F("bad", round(p.Bad)), thevent.F("inFlight", p.InFlight),
	}
}

// round keeps log lines short.
func round(x float64) float64 { return float64(int(x*1000)) / 1000 }

func (f *Forwarder) noteAnswer(t *trip, p thview.Picked, r thsend.Result) {
	fields := append(t.fields(t.attempts.Sends), picked(p)...)
	f.o.Log.Log(thevent.RequestAnswered, append(fields, thevent.F("status", r.Answer.Status),
		thevent.F("tookMillis", r.Took.Milliseconds()))...)
}

func (f *Forwarder) refuse(t *trip, r *thingress.Refusal) *thingress.Refusal {
	f.o.Log.Log(thevent.RequestRefused, append(t.fields(t.attempts.Sends), thevent.F("error", r.Err.Error()),
		thevent.F("afterMillis", r.After.Milliseconds()))...)
	return r
}
