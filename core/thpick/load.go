package thpick

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
)

// LoadReport is what a target says of its load in an answer. It does not count the answered
// request. The zero LoadReport says nothing; others have at least one slot.
type LoadReport struct{ Running, Waiting, Slots int }

// IsZero reports whether the target said nothing.
func (r LoadReport) IsZero() bool { return r.Slots == 0 }

// Requests returns the number of requests at the target.
func (r LoadReport) Requests() int { return r.Running + r.Waiting }

// Load joins the two sources of how many requests are at a target: the requests that the fleet
// counts as in flight there, and what the target last reported. It answers the loads that one
// source alone gets wrong: callers that do not go through the fleet, attempts that were cancelled
// but still run, and VMs that are cut off, whose requests are counted although they have ended.
//
// The number of requests is the count plus a correction, the difference between report and count
// at the time of the report. So a report that is older than requests that were counted since is
// never taken for the state after these.
//
//   - If more was reported than counted, the rest is foreign load, and counts as long as it lasts:
//     it fades with loadMemory, since nothing is known of its end, and each report renews it.
//   - If more was counted than reported, requests have ended of which the fleet does not know, or
//     have not arrived yet. The report wins, fading alike: a count that nobody renews expires, and
//     must not be subtracted again then.
//   - A difference of up to loadTolerance requests is none.
//   - A report that is older than the latest one says nothing.
//
// It is immutable; the zero Load takes the count as it is.
type Load struct {
	report     LoadReport
	reportedAt thclock.Instant
	// difference is the number of requests that were reported above those counted, at reportedAt.
	difference float64
}

const (
	// loadMemory is the time constant with which a difference fades.
	loadMemory = time.Second
	// loadTolerance is the difference that is explained by requests and notices on their way, and
	// by targets that also count the request that they answer. Taking a difference of two for
	// foreign load counts requests twice once their notices arrive; above the capacity that makes
	// VMs refuse requests that would be in time.
	loadTolerance = 2
	// minSurpriseShare is the least difference, as a share of the slots, that other VMs need to
	// know. Less hardly changes their picks.
	minSurpriseShare = 0.25
)

// WithReport returns the load after a report that the target made at the given time, when the fleet
// counted that many requests there, without the answered one.
func (l Load) WithReport(at thclock.Instant, r LoadReport, counted int) Load {
	if r.IsZero() || at.Before(l.reportedAt) {
		return l
	}
	difference := float64(r.Requests() - counted)
	if math.Abs(difference) <= loadTolerance {
		difference = 0
	}
	return Load{report: r, reportedAt: at, difference: difference}
}

// Requests returns how many requests are expected at the target if the fleet counts that many.
func (l Load) Requests(now thclock.Instant, counted int) int {
	if l.difference == 0 {
		return counted
	}
	fading := math.Exp(-max(0, now.Sub(l.reportedAt).Seconds()) / loadMemory.Seconds())
	return max(0, counted+int(math.Round(l.difference*fading)))
}

// Report returns the latest report, and when it was made. It is the zero report if there is none.
func (l Load) Report() (LoadReport, thclock.Instant) { return l.report, l.reportedAt }

// IsSurprisedBy reports whether a report differs from what the load says by so much that VMs that
// hold this load should get the report.
func (l Load) IsSurprisedBy(now thclock.Instant, r LoadReport, counted int) bool {
	difference := math.Abs(float64(r.Requests() - l.Requests(now, counted)))
	return !r.IsZero() && difference > loadTolerance && difference >= minSurpriseShare*float64(r.Slots)
}

const (
	// countErrorMemory is the time constant with which a CountError forgets. Causes such as
	// cancelled attempts and VMs that are cut off last for seconds.
	countErrorMemory = 3 * time.Second
	// countErrorPrior is the number of reports without an error that a CountError begins with.
	countErrorPrior = 2
)

// CountError estimates how many more requests are at each target of a service than are expected there,
// from the targets' reports. Load takes no notice of small differences at one target, which may be
// requests and notices on their way; those of all targets together show whether there are more requests
// than the fleet counts. It is immutable; the zero CountError has seen no report.
type CountError struct {
	updatedAt   thclock.Instant
	sum, weight float64
}

// WithReport returns the estimate after a report of a target at which that many requests were expected.
func (e CountError) WithReport(now thclock.Instant, r LoadReport, expected int) CountError {
	keep := e.keepUntil(now)
	return CountError{now, e.sum*keep + float64(r.Requests()-expected), e.weight*keep + 1}
}

// PerTarget returns the estimate; it may be negative.
func (e CountError) PerTarget(now thclock.Instant) float64 {
	keep := e.keepUntil(now)
	return e.sum * keep / (e.weight*keep + countErrorPrior)
}

func (e CountError) keepUntil(now thclock.Instant) float64 {
	return math.Exp(-max(0, now.Sub(e.updatedAt).Seconds()) / countErrorMemory.Seconds())
}
