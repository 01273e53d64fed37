package thforward

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thingress"
)

// Admit takes a token of the customer's limit, which holds over all VMs, for a request on
// the route. It returns a refusal if there is none left or none can be had, else nil.
func (f *Forwarder) Admit(c thtable.Customer, r thtable.Route) *thingress.Refusal {
	var admission *thview.Admission
	var step thview.AdmissionStep
	f.WithView(func(now thclock.Instant, v *thview.View) { admission, step = v.BeginAdmission(now, c, r) })
	for {
		switch s := step.(type) {
		case thview.AskOwner:
			var answer *thfleet.Tokens
			if t, ok := f.options.Ask(s.Owner, s.Request); ok {
				answer = &t
			}
			f.recordQuestion(answer)
			f.WithView(func(now thclock.Instant, v *thview.View) { step = v.ContinueAdmission(now, admission, answer) })
		case thview.AwaitJoin:
			f.awaitJoin(s.Until)
			f.WithView(func(now thclock.Instant, v *thview.View) { step = v.ResumeAdmission(now, admission) })
		case thview.OverLimit:
			f.recordLimitRefusal(s.Basis)
			return limitRefusal(c, s)
		case thview.LimitUnknown:
			f.recordLimitRefusal(s.Basis)
			return limitRefusal(c, s)
		default:
			return nil
		}
	}
}

// limitRefusal returns the refusal that a step of the customer's admission means, or nil if it
// means none.
func limitRefusal(c thtable.Customer, step thview.AdmissionStep) *thingress.Refusal {
	switch s := step.(type) {
	case thview.OverLimit:
		return &thingress.Refusal{
			Err:        therror.New(therror.OverLimit, "customer %s is over its rate", c.Name),
			RetryAfter: s.RetryAfter, LogFields: basisLogFields(s.Basis),
		}
	case thview.LimitUnknown:
		return &thingress.Refusal{
			Err:        therror.New(therror.LimitUnknown, "no owner of customer %s's limit answers, %d were asked", c.Name, s.Basis.SilentOwners),
			RetryAfter: s.RetryAfter, LogFields: basisLogFields(s.Basis),
		}
	default:
		return nil
	}
}

// recordQuestion records the answer to a question for a token of a customer's limit, nil if
// none came, for metrics.
func (f *Forwarder) recordQuestion(answer *thfleet.Tokens) {
	if f.options.RecordLimitQuestion == nil {
		return
	}
	switch {
	case answer == nil:
		f.options.RecordLimitQuestion("silent")
	case answer.NotOwner:
		f.options.RecordLimitQuestion("notOwner")
	case answer.Thousandths == 0:
		f.options.RecordLimitQuestion("empty")
	default:
		f.options.RecordLimitQuestion("token")
	}
}

func (f *Forwarder) recordLimitRefusal(b thview.AdmissionBasis) {
	if f.options.RecordLimitRefusal != nil {
		f.options.RecordLimitRefusal(b.Reason())
	}
}

// awaitJoin waits until the VM knows the members of the fleet, but not beyond the time
// until.
func (f *Forwarder) awaitJoin(until thclock.Instant) {
	timeout := time.NewTimer(until.Sub(f.options.Clock.Now()))
	defer timeout.Stop()
	select {
	case <-f.joined:
	case <-timeout.C:
	}
}

// basisLogFields returns the log fields for what a refusal by a customer's limit was
// based on.
func basisLogFields(b thview.AdmissionBasis) []thevent.Field {
	fields := []thevent.Field{
		thevent.F("rate", b.Limit.Rate), thevent.F("burst", b.Limit.Burst),
		thevent.F("reason", b.Reason().String()), thevent.F("cachedOwners", b.CachedOwners),
		thevent.F("emptyOwners", b.EmptyOwners), thevent.F("silentOwners", b.SilentOwners),
		thevent.F("vmsLive", b.LiveVMs), thevent.F("vmsKnown", b.Members),
	}
	if b.Own.Share > 0 {
		fields = append(fields, thevent.F("ownShare", roundToThousandths(b.Own.Share)),
			thevent.F("ownTokens", roundToThousandths(b.Own.Tokens)), thevent.F("ownedMillis", b.Own.OwnedFor.Milliseconds()))
	}
	return fields
}

// borrowRetry asks other VMs, one after the other, to lend what this VM's part of the
// service's retry budget lacks for one more retry. It returns when they have lent
// enough, or when all that it asked had too little or did not answer.
func (f *Forwarder) borrowRetry(service string) {
	var lenders []thfleet.Peer
	prepare := func() (request thfleet.TokenRequest) {
		f.WithView(func(now thclock.Instant, v *thview.View) { request, lenders = v.PrepareLoan(now, service) })
		return request
	}
	request := prepare()
	for _, p := range lenders {
		if t, ok := f.options.Ask(p, request); ok {
			f.WithView(func(now thclock.Instant, v *thview.View) { v.AddLoan(now, service, t) })
		}
		if request = prepare(); request.Thousandths == 0 {
			return
		}
	}
	f.WithView(func(now thclock.Instant, v *thview.View) { v.RecordNoLoan(now, service) })
}
