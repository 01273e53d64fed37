package thnode

import (
	"errors"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thforward"
	"tamarackhollow/io/thingress"
	"tamarackhollow/io/thoperator"
)

// explain returns what this VM would do with a request if it arrived now. It logs and counts nothing.
func (n *Node) explain(q thoperator.ExplainQuery) (thoperator.Explanation, error) {
	x := thoperator.Explanation{
		VM: n.options.Settings.VM.ID, Zone: n.options.Settings.VM.Zone, State: n.state(), TableVersion: n.table().Version(),
		IsBodyUnknown: q.BodyBytes > 0,
	}
	request, refusal, err := n.ingress.Inquire(thingress.Inquiry{
		Method: q.Method, Host: q.Host, URI: q.URI, Key: q.Key, Customer: q.Customer,
		BodyBytes: q.BodyBytes, Timeout: time.Duration(q.TimeoutMillis) * time.Millisecond,
	})
	if err != nil {
		return x, err
	}
	x.Route, x.Customer = explainedRoute(request), explainedCustomer(request)
	if refusal != nil {
		return withRefusal(x, refusal), nil
	}
	e := n.forwarder.Explain(request)
	explainAdmission(x.Customer, e.Admission)
	x.Service, x.ExpectedLatencyMillis = e.Service, inMillis(e.ExpectedLatency)
	x.Picked, x.KeepsFloor = e.Picked, e.KeepsFloor
	for _, t := range e.Targets {
		x.Targets = append(x.Targets, explainedTarget(e.At, t))
	}
	return withOutcome(x, e), nil
}

// withOutcome returns the explanation with what becomes of the request in the end.
func withOutcome(x thoperator.Explanation, e thforward.Explanation) thoperator.Explanation {
	if e.Refusal != nil {
		return withRefusal(x, e.Refusal)
	}
	x.Outcome = thoperator.OutcomeSent
	if s, ok := e.Slot.(thpick.AwaitSlot); ok {
		x.Outcome, x.WaitMillis = thoperator.OutcomeWaits, s.Until.Sub(e.At).Milliseconds()
	}
	return x
}

func withRefusal(x thoperator.Explanation, r *thingress.Refusal) thoperator.Explanation {
	a := therror.KindOf(r.Err).Answer()
	x.Outcome = thoperator.OutcomeRefused
	x.Refusal = &thoperator.ExplainedRefusal{Status: a.Status, Error: a.Name, RetryAfterMillis: r.RetryAfter.Milliseconds()}
	var e *therror.Error
	if errors.As(r.Err, &e) {
		x.Refusal.Detail = e.Detail
	}
	return x
}

// explainedRoute returns the route of the request, or nil if it has none.
func explainedRoute(request *thmessage.Request) *thoperator.ExplainedRoute {
	r := request.Route
	if r.Name == "" {
		return nil
	}
	return &thoperator.ExplainedRoute{
		Name: r.Name, IsIdempotent: r.IsIdempotent(), Priority: r.Priority, ObjectiveMillis: r.LatencyObjectiveMillis, TimeoutMillis: r.TimeoutMillis,
	}
}

// explainedCustomer returns the customer of the request, or nil if it has none.
func explainedCustomer(request *thmessage.Request) *thoperator.ExplainedCustomer {
	c := request.Customer
	if c.Name == "" {
		return nil
	}
	return &thoperator.ExplainedCustomer{Name: c.Name, Priority: c.Priority, Rate: c.Rate, Burst: c.Burst}
}

// explainAdmission records the first step of the customer's admission.
func explainAdmission(c *thoperator.ExplainedCustomer, step thview.AdmissionStep) {
	switch s := step.(type) {
	case thview.Admitted:
		c.Admission = thoperator.AdmissionAdmitted
	case thview.AskOwner:
		c.Admission, c.Owner = thoperator.AdmissionAsksOwner, s.Owner.Identity.ID
	case thview.AwaitJoin:
		c.Admission = thoperator.AdmissionAwaitsJoin
	case thview.OverLimit, thview.LimitUnknown:
		c.Admission = thoperator.AdmissionRefused
	}
}

func explainedTarget(now thclock.Instant, t thview.TargetExplanation) thoperator.ExplainedTarget {
	x := thoperator.ExplainedTarget{
		Target: t.ID, Address: t.Address, Zone: t.Zone, IsCandidate: t.IsCandidate, IsExtra: t.IsExtra, Excluded: t.Exclusion.String(),
		Cost: t.Cost, Requests: t.Expected, Slots: t.Slots, WaitMillis: inMillis(t.ExpectedWait),
		FailurePerMille: int(t.FailureProbability * 1000), LatencyRatio: t.LatencyRatio,
		IsDraining: t.Draining, IsLeaving: t.IsLeaving, IsEvacuated: t.IsEvacuated, PausedMillis: max(0, t.PausedUntil.Sub(now).Milliseconds()),
	}
	if t.IsCandidate {
		x.Requests = t.Requests
	}
	if t.IsCold {
		x.ColdMillis = max(0, t.WarmAt.Sub(now).Milliseconds())
	}
	return x
}

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
