// Package thforward forwards requests to targets. For each attempt it picks a
// target, sends the request, records the outcome and decides whether to retry. It
// also guards the VM's view, which is shared with the exchange of notices between
// VMs, by one lock that is never held during I/O.
package thforward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thingress"
	"tamarackhollow/io/thsend"
)

// Sender makes attempts and keeps connections to targets, as thsend.Client does.
type Sender interface {
	Send(ctx context.Context, t thtable.Target, request *thmessage.Request, o thsend.ConnectionOptions) thsend.Result
	Retain(targets []thtable.Target)
}

// Options configure a Forwarder. Only Log, Ask and the Record functions may be nil.
type Options struct {
	View   *thview.View
	Table  func() thtable.Table
	Sender Sender
	Clock  thclock.Clock
	Log    thevent.Logger
	// NotifyPeers is called when the view has something new to send to other VMs.
	NotifyPeers func()
	// Ask asks another VM for tokens, without the lock, and returns its answer, and false
	// if none came in time. It may be nil if there are no other VMs.
	Ask func(p thfleet.Peer, r thfleet.TokenRequest) (thfleet.Tokens, bool)
	// RecordAttempt, if not nil, is called after each attempt, for metrics.
	// newConnection is true if a connection was opened for the attempt.
	RecordAttempt func(service string, end thpick.AttemptEnd, took time.Duration, newConnection bool)
	// RecordWait, if not nil, is called for each request that has waited for a slot, for metrics.
	RecordWait func(service string, waited time.Duration)
	// RecordBeyondShare, if not nil, is called for each request beyond its customer's fair share that
	// is sent or refused, for metrics.
	RecordBeyondShare func(service string, refused bool)
	// RecordLimitQuestion, if not nil, is called for each question to an owner of a
	// customer's limit, for metrics: the answer is token, empty, notOwner or silent.
	RecordLimitQuestion func(answer string)
	// RecordLimitRefusal, if not nil, is called for each refusal by a customer's limit, for
	// metrics.
	RecordLimitRefusal func(reason thview.AdmissionReason)
}

// Forwarder forwards requests to targets. It must be created with New and is safe
// for concurrent use.
type Forwarder struct {
	options Options
	// mu guards options.View.
	mu sync.Mutex
	// joined is closed once the VM knows the members of the fleet.
	joined     chan struct{}
	joinedOnce sync.Once
	// slots is locked before mu.
	slots slotQueue
}

var _ thingress.Forwarder = (*Forwarder)(nil)

// New returns a forwarder, which discards log events if options.Log is nil.
func New(options Options) *Forwarder {
	if options.Log == nil {
		options.Log = thevent.Discard{}
	}
	if options.Ask == nil {
		options.Ask = func(thfleet.Peer, thfleet.TokenRequest) (thfleet.Tokens, bool) { return thfleet.Tokens{}, false }
	}
	return &Forwarder{options: options, joined: make(chan struct{})}
}

// MarkJoined records that the VM knows the members of the fleet.
func (f *Forwarder) MarkJoined() {
	f.WithView(func(now thclock.Instant, v *thview.View) { v.MarkJoined(now) })
	f.joinedOnce.Do(func() { close(f.joined) })
}

// WithView calls visit with the current time and the view, whose lock is held during
// the call.
func (f *Forwarder) WithView(visit func(now thclock.Instant, v *thview.View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	visit(f.options.Clock.Now(), f.options.View)
}

// SetTargets replaces the list of targets and closes connections to those that
// are gone or draining.
func (f *Forwarder) SetTargets(ts []thtable.Target) {
	f.WithView(func(now thclock.Instant, v *thview.View) { v.SetTargets(now, ts) })
	f.RetainConnections()
}

// SetEvacuated replaces the availability zones whose targets get no requests, closes the
// connections to their targets, and returns the zones that are new and those that were released.
func (f *Forwarder) SetEvacuated(zones []string) (added, released []string) {
	f.WithView(func(now thclock.Instant, v *thview.View) { added, released = v.SetEvacuated(now, zones) })
	f.RetainConnections()
	return added, released
}

// RetainConnections closes the connections to targets that are gone or draining, by the list
// or by their own word, or in an evacuated zone. Those in use are closed after the answer.
func (f *Forwarder) RetainConnections() {
	var ts []thtable.Target
	f.WithView(func(_ thclock.Instant, v *thview.View) { ts = v.Targets() })
	f.options.Sender.Retain(ts)
}

// requestState is the state of one request while it is forwarded.
type requestState struct {
	request *thmessage.Request
	service string
	// maxConnections bounds this VM's connections to each target.
	maxConnections int
	// requireNew is set once an attempt on a reused connection was lost, or once a
	// hedged attempt is sent.
	requireNew bool
	attempts   thpick.Attempts
	// tried holds the IDs of the targets of all attempts.
	tried []string
	// last is the attempt that ended last.
	last attemptResult
	// waited is how long the request has waited for a slot.
	waited time.Duration
	// beyondShare is whether the request was beyond its customer's fair share when it arrived.
	beyondShare bool
	// fairShare is the share, 0 to 1, of what the customer asked for then that was within its fair
	// share.
	fairShare float64
}

// Forward sends the request to targets until one answers or no further attempt is
// allowed. It returns the answer or a refusal.
func (f *Forwarder) Forward(ctx context.Context, request *thmessage.Request) (*thmessage.Answer, *thingress.Refusal) {
	s := &requestState{request: request}
	table := f.options.Table()
	var ok bool
	f.WithView(func(now thclock.Instant, v *thview.View) {
		s.service = v.PickBackend(request.Route)
		var service thtable.Service
		if service, ok = table.Service(s.service); ok {
			s.maxConnections = v.ConnectionShare(now, service.MaxConnections)
		}
	})
	if !ok {
		return nil, f.logRefusal(s, unknownServiceRefusal(s.service))
	}
	if refusal := f.awaitSlot(ctx, s); refusal != nil {
		return nil, f.logRefusal(s, refusal)
	}
	if !request.Route.IsIdempotent() {
		// Non-idempotent requests are never cancelled once sent.
		if ctx.Err() != nil {
			return nil, f.logRefusal(s, callerGoneRefusal())
		}
		ctx = context.WithoutCancel(ctx)
	}
	for {
		answer, refusal, done := f.attempt(ctx, s)
		if done {
			return answer, refusal
		}
	}
}

func unknownServiceRefusal(service string) *thingress.Refusal {
	return &thingress.Refusal{Err: therror.New(therror.NoTarget, "service %q is not configured", service)}
}

func callerGoneRefusal() *thingress.Refusal {
	return &thingress.Refusal{Err: therror.New(therror.CallerGone, "the caller left")}
}

// attempt picks a target, sends the request and decides what follows. It returns
// true with the answer or refusal that ends the request, or false if the request
// is to be retried.
func (f *Forwarder) attempt(ctx context.Context, s *requestState) (*thmessage.Answer, *thingress.Refusal, bool) {
	picked, refusal, withinBudget := f.pick(s)
	if refusal != nil {
		return nil, f.logRefusal(s, refusal), true
	}
	if !withinBudget {
		return f.end(s, f.decideWithin(s, false))
	}
	s.last = f.sendHedged(ctx, s, picked)
	d := f.decide(s)
	if ctx.Err() != nil {
		return nil, f.logRefusal(s, callerGoneRefusal()), true
	}
	return f.end(s, d)
}

// end carries out the decision that follows the last attempt; see attempt for the
// results.
func (f *Forwarder) end(s *requestState, d thpick.Decision) (*thmessage.Answer, *thingress.Refusal, bool) {
	switch d := d.(type) {
	case thpick.Deliver:
		f.logAnswer(s, s.last.picked, s.last.result)
		return s.last.result.Answer, nil, true
	case thpick.Refuse:
		return nil, f.logRefusal(s, &thingress.Refusal{Err: therror.New(d.Kind, "%s", detailOf(d.Kind)), RetryAfter: f.retryAfter(s, d.Kind)}), true
	}
	return nil, nil, false
}

// retryAfter returns how long the caller should wait before it retries: half the
// time that an answer was expected to take, longer while all targets are paused, or 0
// if the request may have run.
func (f *Forwarder) retryAfter(s *requestState, k therror.Kind) (after time.Duration) {
	if k.Answer().Outcome != therror.NotRun {
		return 0
	}
	f.WithView(func(now thclock.Instant, v *thview.View) {
		after = max(s.last.picked.ExpectedLatency/2, v.RetryAfterPause(now, s.service))
	})
	return after
}

// detailOf returns the detail of a refusal that follows an attempt.
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

// pick picks the target of the next attempt, or returns the refusal that ends the
// request. If the attempt is a retry and other retries have used up the budget since
// it was decided, withinBudget is false.
func (f *Forwarder) pick(s *requestState) (p thview.Picked, refusal *thingress.Refusal, withinBudget bool) {
	withinBudget = true
	f.WithView(func(now thclock.Instant, v *thview.View) {
		if s.request.TimeLeft(now) == 0 {
			refusal = &thingress.Refusal{Err: f.deadlineError(s)}
			return
		}
		if v.IsQuarantined(now, s.request) {
			refusal = &thingress.Refusal{Err: quarantineError(s)}
			return
		}
		picked, pickRefusal := v.Pick(now, s.request, s.service, s.tried, isRetryable(s.request.Route, s.attempts))
		switch {
		case pickRefusal == nil:
			p = picked
		case pickRefusal.OverBudget:
			withinBudget = false
		case s.attempts.MayHaveRun > 0:
			refusal = &thingress.Refusal{Err: therror.New(therror.AnswerLost, "no other target is left")}
		default:
			refusal = refusalWithoutTarget(pickRefusal)
		}
	})
	return p, refusal, withinBudget
}

// isRetryable reports whether a request on the route may be retried after one more attempt.
func isRetryable(r thtable.Route, a thpick.Attempts) bool {
	return r.IsIdempotent() && a.MayHaveRun+1 < r.MaxAttempts
}

// refusalWithoutTarget returns the refusal of a request that has not run and for which no target
// was picked.
func refusalWithoutTarget(r *thview.Refusal) *thingress.Refusal {
	refuse := func(k therror.Kind, detail string) *thingress.Refusal {
		return &thingress.Refusal{Err: therror.New(k, "%s", detail), RetryAfter: r.RetryAfter}
	}
	switch {
	case r.Evacuated:
		return refuse(therror.NoTarget, "all targets of the service are in evacuated zones")
	case r.Cold:
		return refuse(therror.QueueFull, "the targets of the service that are left are cold, and get no more requests now")
	case r.Paused:
		return refuse(therror.Shed, "all targets of the service have asked for a pause")
	case r.Overloaded:
		return refuse(therror.QueueFull, "all targets of the service are busy")
	default:
		return refuse(therror.NoTarget, "the service has no target left to try")
	}
}

// quarantineError returns the error for a quarantined request. Its kind tells the
// caller whether the request may have run.
func quarantineError(s *requestState) error {
	if s.attempts.MayHaveRun > 0 {
		return therror.New(therror.AnswerLost, "the request crashes the targets that run it")
	}
	return therror.New(therror.Quarantined, "the request has crashed the targets that ran it")
}

// deadlineError returns the error for a request whose deadline passed before the
// next attempt. Its kind tells the caller whether the request may have run.
func (f *Forwarder) deadlineError(s *requestState) error {
	if s.attempts.MayHaveRun > 0 {
		return therror.New(therror.AnswerLate, "the time ran out during a repeat")
	}
	return therror.New(therror.QueueFull, "no time was left to send the request")
}

// retryRules returns the rules by which the request may be retried or hedged.
func retryRules(s *requestState, expected time.Duration) thpick.RetryRules {
	return thpick.RetryRules{
		Retryable: s.request.Route.IsIdempotent(), MaxAttempts: s.request.Route.MaxAttempts,
		ExpectedLatency: expected, Deadline: s.request.Deadline,
	}
}

// decide returns what follows the last attempt: the answer, a refusal or a retry. For
// a retry it borrows from other VMs' retry budgets if it has to.
func (f *Forwarder) decide(s *requestState) thpick.Decision {
	d := f.decideWithin(s, true)
	if s.last.result.End == thpick.Answered {
		return d
	}
	var budget thview.RetryBudgetStatus
	readBudget := func() {
		f.WithView(func(now thclock.Instant, v *thview.View) { budget = v.RetryBudget(now, s.service) })
	}
	readBudget()
	_, retry := d.(thpick.Retry)
	if retry && budget.Left < 1 {
		f.borrowRetry(s.service)
		readBudget()
	}
	if retry && budget.Left < 1 {
		d = f.decideWithin(s, false)
		retry = false
	}
	f.options.Log.Log(thevent.RetryDecided, append(s.logFields(s.attempts.Total), thevent.F("retry", retry),
		thevent.F("budgetLeft", roundToThousandths(budget.Left)), thevent.F("ownRetries", budget.Retries))...)
	return d
}

// decideWithin returns what follows the last attempt, given whether the retry budget
// has room for a retry.
func (f *Forwarder) decideWithin(s *requestState, withinBudget bool) thpick.Decision {
	rules := retryRules(s, s.last.picked.ExpectedLatency)
	return thpick.Decide(f.options.Clock.Now(), rules, s.attempts, s.last.result.End, withinBudget)
}

// minTimeoutFactor is the least ratio of waiting time to expected time at which an
// attempt that timed out counts as evidence against the target.
const minTimeoutFactor = 3

// outcomeOf returns the attempt's evidence about the target. An attempt that ended
// at a short deadline, before minTimeoutFactor times the expected time, gives none.
func outcomeOf(p thview.Picked, r thsend.Result) thhealth.Outcome {
	if r.End == thpick.TimedOut && r.Took < minTimeoutFactor*p.ExpectedLatency {
		return thhealth.Inconclusive
	}
	return r.Outcome
}

// reportAttempt records the attempt for metrics and logs it unless it was answered.
func (f *Forwarder) reportAttempt(s *requestState, p thview.Picked, r thsend.Result, number int) {
	if f.options.RecordAttempt != nil {
		f.options.RecordAttempt(s.service, r.End, r.Took, r.NewConnection)
	}
	if r.End == thpick.Answered {
		return
	}
	fields := append(s.logFields(number), targetLogFields(p)...)
	fields = append(fields, thevent.F("end", r.End.String()), thevent.F("tookMillis", r.Took.Milliseconds()))
	if r.Answer != nil {
		fields = append(fields, thevent.F("status", r.Answer.Status))
	}
	if r.Err != nil {
		fields = append(fields, thevent.F("error", r.Err.Error()))
	}
	f.options.Log.Log(thevent.AttemptFailed, fields...)
}

// logFields returns the log fields of the request after the given number of
// attempts.
func (s *requestState) logFields(attempts int) []thevent.Field {
	fields := []thevent.Field{
		thevent.F("request", s.request.ID), thevent.F("route", s.request.Route.Name), thevent.F("service", s.service),
		thevent.F("customer", s.request.Customer.Name), thevent.F("sends", attempts),
	}
	if s.beyondShare {
		fields = append(fields, thevent.F("fairShare", roundToThousandths(s.fairShare)))
	}
	if s.waited > 0 {
		fields = append(fields, thevent.F("waitedMillis", s.waited.Milliseconds()))
	}
	return fields
}

// targetLogFields returns the log fields of a picked target.
func targetLogFields(p thview.Picked) []thevent.Field {
	fields := []thevent.Field{
		thevent.F("target", p.Target.ID), thevent.F("address", p.Target.Address),
		thevent.F("bad", roundToThousandths(p.FailureProbability)), thevent.F("inFlight", p.InFlight),
	}
	if r, _ := p.Load.Report(); !r.IsZero() {
		fields = append(fields, thevent.F("reported", fmt.Sprintf("%d,%d,%d", r.Running, r.Waiting, r.Slots)))
	}
	if p.KeepsFloor {
		fields = append(fields, thevent.F("keepsFloor", true))
	}
	return fields
}

// roundToThousandths drops the digits after the third decimal, to keep log lines
// short.
func roundToThousandths(x float64) float64 { return float64(int(x*1000)) / 1000 }

// logAnswer logs that the request was answered.
func (f *Forwarder) logAnswer(s *requestState, p thview.Picked, r thsend.Result) {
	fields := append(s.logFields(s.attempts.Total), targetLogFields(p)...)
	f.options.Log.Log(thevent.RequestAnswered, append(fields, thevent.F("status", r.Answer.Status),
		thevent.F("tookMillis", r.Took.Milliseconds()))...)
}

// logRefusal logs the refusal and returns it.
func (f *Forwarder) logRefusal(s *requestState, r *thingress.Refusal) *thingress.Refusal {
	f.options.Log.Log(thevent.RequestRefused, append(s.logFields(s.attempts.Total), thevent.F("error", r.Err.Error()),
		thevent.F("afterMillis", r.RetryAfter.Milliseconds()))...)
	return r
}
