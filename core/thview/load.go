package thview

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thpick"
)

// targetLoad holds what a target reported of its load.
type targetLoad struct {
	// own joins all reports that this VM knows of.
	own thpick.Load
	// shared joins the reports that all VMs that use the target should have.
	shared thpick.Load
}

// pendingReport is a report of a target that waits for the next notice on it.
type pendingReport struct {
	thpick.LoadReport
	at thclock.Instant
}

// maxReportAge is the age from which other VMs are not told of a report: too many of the requests
// that it counts have ended since.
const maxReportAge = 250 * time.Millisecond

// RecordLoad records what the target of the pick has reported of its load in an answer. It must
// follow the Finish of the attempt, whose notice carries the report to the other VMs that use the
// target if it differs enough from what they expect there.
func (v *View) RecordLoad(now thclock.Instant, p Picked, r thpick.LoadReport) {
	t := v.pickedTarget(p)
	if t == nil || r.IsZero() {
		return
	}
	counted := v.countInFlight(now, t)
	s := v.service(t.Service)
	s.countError = s.countError.WithReport(now, r, v.expectedRequests(now, t))
	t.load.own = t.load.own.WithReport(now, r, counted)
	_, isPending := v.outbox.reports[t.key]
	if !isPending && !t.load.shared.IsSurprisedBy(now, r, counted) {
		return
	}
	if !s.uses(v.Fleet.Self(), t) {
		return // this VM does not know what others have in flight there
	}
	t.load.shared = t.load.shared.WithReport(now, r, counted)
	v.outbox.reports[t.key] = pendingReport{r, now}
}

// receiveLoads records the loads that another VM passes on.
func (v *View) receiveLoads(now thclock.Instant, reports []thfleet.ReportedLoad) {
	for _, l := range reports {
		t := v.targetsByKey[l.Target]
		if t == nil {
			continue
		}
		at, counted := now.Add(-time.Duration(l.AgeMillis)*time.Millisecond), v.countInFlight(now, t)
		r := thpick.LoadReport{Running: int(l.Running), Waiting: int(l.Waiting), Slots: int(l.Slots)}
		t.load.own = t.load.own.WithReport(at, r, counted)
		t.load.shared = t.load.shared.WithReport(at, r, counted)
	}
}

// addReport adds the report of a target's load to the notice, unless it is too old by now.
func (o *outbox) addReport(now thclock.Instant, n *thfleet.Notice, key thfleet.Key) {
	r, ok := o.reports[key]
	age := now.Sub(r.at)
	if !ok || age > maxReportAge {
		return
	}
	n.ReportedLoads = append(n.ReportedLoads, thfleet.ReportedLoad{
		Target: key, Running: uint16(r.Running), Waiting: uint16(r.Waiting), Slots: uint16(r.Slots), AgeMillis: uint16(age.Milliseconds()),
	})
}

// countInFlight returns how many requests of all VMs are counted as in flight at the target.
func (v *View) countInFlight(now thclock.Instant, t *target) int {
	return t.ownInFlight + v.Fleet.InFlight(now, t.key)
}

// expectedRequests returns how many requests are expected at the target, by the count and the
// target's reports: at least those of this VM, which knows that they are not answered.
func (v *View) expectedRequests(now thclock.Instant, t *target) int {
	return max(t.ownInFlight, t.load.own.Requests(now, v.countInFlight(now, t)))
}
