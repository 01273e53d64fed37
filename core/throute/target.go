package throute

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thhealth"
)

// target is what this VM knows of one target of a service.
type target struct {
	address string
	key     uint32
	spec    thconfig.Target
	row     thhealth.Row
	state   thhealth.State
	// suspect is whether more evidence is needed.
	suspect bool
	// leavingUntil is how long the target's own word that it leaves holds.
	leavingUntil thclock.Instant
	// busyUntil is set by a shed answer.
	busyUntil thclock.Instant
	// nextTrial is when an ejected target may get the next trial request.
	nextTrial thclock.Instant
	// checked and nextCheck are when this VM checked the target and will again.
	checked, nextCheck thclock.Instant

	inFlight  int
	peersBusy float64
	reported  float64
	// reportedUntil bounds the trust in the reported load.
	reportedUntil thclock.Instant
}

func (g *target) candidate(now thclock.Instant) Candidate {
	c := Candidate{
		Address:  g.address,
		Gone:     g.leaving(now),
		Sick:     g.state.Phase == thhealth.Ejected || g.state.Phase == thhealth.Trial,
		Severity: g.state.Verdict.Severity,
		Cold:     g.state.ColdShare(now),
	}
	if g.row.SaidLeaving(now) {
		c.Sick, c.Severity = true, math.Inf(1)
	}
	return c
}

// leaving is whether the configuration or the target itself says so. What
// other VMs say of it only makes it the first to be ejected, within the floor.
func (g *target) leaving(now thclock.Instant) bool {
	return g.spec.Leaving || now.Before(g.leavingUntil)
}

const (
	// busyLoad is what a target that just shed a request counts more by.
	busyLoad = 8
	// reportWeight is how far a load that may be stale or a lie is believed.
	reportWeight = 0.5
	// reportMax bounds it, in slots.
	reportMax = 2.0

	leavingBelieved = 30 * time.Second
	loadBelieved    = time.Second
	shedBelieved    = 20 * time.Millisecond
)

// load is the work expected at the target, in requests.
func (g *target) load(now thclock.Instant, slots int) float64 {
	load := float64(g.inFlight) + g.peersBusy
	if now.Before(g.reportedUntil) {
		load += reportWeight * min(g.reported, reportMax*float64(slots))
	}
	if now.Before(g.busyUntil) {
		load += busyLoad
	}
	return load
}
