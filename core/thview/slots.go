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

// DecideSlot decides whether the request, which was not sent yet, takes a slot of the named service
// that more urgent requests, or those of other customers, may need. The given number of requests that wait at this VM go before it.
func (v *View) DecideSlot(now thclock.Instant, request *thmessage.Request, name string, ahead int) thpick.SlotDecision {
	s := v.service(name)
	above, below := s.demand.Shares(UrgencyOf(request))
	if above <= 0 && v.FairShare(now, request, name) >= 1 {
		return thpick.TakeSlot{}
	}
	query := v.newQuery(now, request, s, nil, request.Route.IsIdempotent())
	queue := thpick.SlotQueue{Above: above, Below: below, Ahead: ahead, Throughput: s.throughput}
	queue.BeyondShare = v.IsBeyondShare(now, request, name)
	if queue.BeyondShare && above <= 0 {
		queue.Throughput = s.fairness.LimitedThroughput(now, UrgencyOf(request), query.ExpectedLatency)
	}
	d := thpick.DecideSlot(query, v.candidates, queue)
	if _, ok := d.(thpick.TakeSlot); ok {
		s.throughput = s.throughput.WithRequest(now)
	}
	return d
}
