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
	s.demand = s.demand.WithRequest(now, UrgencyOf(request), v.ExpectedLatency(request.Route))
}

// WaitForSlot reports whether the request, which was not sent yet, waits for a slot of the named
// service that more urgent requests do not need, and until when at most.
func (v *View) WaitForSlot(now thclock.Instant, request *thmessage.Request, name string) (until thclock.Instant, wait bool) {
	s := v.service(name)
	above := s.demand.ShareAbove(UrgencyOf(request))
	if above <= 0 {
		return until, false
	}
	query := v.newQuery(now, request, s, nil, request.Route.IsIdempotent())
	return thpick.WaitForSlot(query, v.candidates, above)
}
