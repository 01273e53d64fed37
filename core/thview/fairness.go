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
