package thview

import (
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thmessage"
)

// IsBeyondShare reports whether the request, which RecordDemand has counted, is beyond its customer's
// fair share of the named service.
func (v *View) IsBeyondShare(now thclock.Instant, request *thmessage.Request, name string) bool {
	return v.service(name).fairness.IsBeyondShare(now, request.Customer.Name, UrgencyOf(request))
}

// FairShare returns the share, 0 to 1, of the work for which the request's customer asks at the named
// service by requests of this urgency that is within its fair share.
func (v *View) FairShare(now thclock.Instant, request *thmessage.Request, name string) float64 {
	return v.service(name).fairness.Share(now, request.Customer.Name, UrgencyOf(request))
}
