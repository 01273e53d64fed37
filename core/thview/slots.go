package thview

import (
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
)

// UrgencyOf returns the urgency of a request.
func UrgencyOf(request *thmessage.Request) thpick.Urgency {
	return thpick.Urgency{Customer: request.Customer.Priority, Route: request.Route.Priority}
}

// RecordDemand counts a request for the named service, so that less urgent ones leave it room.
func (v *View) RecordDemand(now thclock.Instant, request *thmessage.Request, name string) {
	s := v.service(name)
	expected := v.ExpectedLatency(request.Route)
	s.demand = s.demand.WithRequest(now, UrgencyOf(request), expected)
	s.fairness = s.fairness.WithRequest(now, request.Customer.Name, UrgencyOf(request), expected)
}

// DecideSlot decides whether the request, which was not sent yet, takes a slot of the named service that
// more urgent requests may need, or those of customers that ask for less. The given number of requests
// that wait at this VM go before it.
func (v *View) DecideSlot(now thclock.Instant, request *thmessage.Request, name string, ahead int) thpick.SlotDecision {
	s, urgency := v.service(name), UrgencyOf(request)
	above, below := s.demand.Shares(urgency)
	beyondShare := v.IsBeyondShare(now, request, name)
	if above <= 0 && !beyondShare {
		return thpick.TakeSlot{}
	}
	query := v.newQuery(now, request, s, nil, request.Route.IsIdempotent())
	d := thpick.DecideSlot(query, v.candidates, thpick.SlotQueue{
		Above: above, Below: below, BeyondShare: beyondShare, Ahead: ahead, Throughput: s.throughput,
		EqualThroughput: s.fairness.Throughput(urgency, query.ExpectedLatency),
	})
	if _, ok := d.(thpick.TakeSlot); ok && above > 0 {
		s.throughput = s.throughput.WithRequest(now)
	}
	return d
}
