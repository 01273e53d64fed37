package thview

import "tamarackhollow/core/thclock"

// TargetStatus is what this VM knows of a target, for operators and metrics.
type TargetStatus struct {
	ID, Service, Address, Zone       string
	Draining                         bool
	FailureProbability, LatencyRatio float64
	// InFlight is the number of requests of all VMs that are counted as in flight at the target,
	// and Expected the number that is expected there by what the target reported as well.
	InFlight, Expected int
	// PausedUntil is when this VM may use the target again, if it has asked for a pause.
	PausedUntil thclock.Instant
	// IsPaused is set until then.
	IsPaused bool
	// IsCold is set if the target is cold and its service bounds the rate of cold targets. It is
	// warm at WarmAt.
	IsCold bool
	WarmAt thclock.Instant
}

// TargetStatuses returns the status of every target.
func (v *View) TargetStatuses(now thclock.Instant) []TargetStatus {
	all := make([]TargetStatus, 0, len(v.targets))
	for _, t := range v.targets {
		all = append(all, v.targetStatus(now, t))
	}
	return all
}

func (v *View) targetStatus(now thclock.Instant, t *target) TargetStatus {
	return TargetStatus{
		ID: t.ID, Service: t.Service, Address: t.Address, Zone: t.Zone, Draining: t.current().Draining,
		FailureProbability: t.health.FailureProbability(now), LatencyRatio: t.health.LatencyRatio(), InFlight: v.countInFlight(now, t), Expected: v.expectedRequests(now, t),
		PausedUntil: t.pausedUntil, IsPaused: now.Before(t.pausedUntil), IsCold: t.isCold, WarmAt: t.warmupUntil,
	}
}

// The states that TargetStatus.State returns, as metrics and operators' answers name
// them.
const (
	StateHealthy  = "well"
	StateSuspect  = "suspect"
	StateDraining = "leaving"
	StatePaused   = "paused"
	StateCold     = "cold"
)

// State returns the target's state, one of the constants above.
func (s TargetStatus) State() string {
	switch {
	case s.Draining:
		return StateDraining
	case s.FailureProbability > suspectProbability:
		return StateSuspect
	case s.IsPaused:
		return StatePaused
	case s.IsCold:
		return StateCold
	}
	return StateHealthy
}

// FloorStatus is what this VM knows of the floor of a service.
type FloorStatus struct {
	Service string
	// IsEnforced is whether the VM uses idle targets, whatever it expects of them, to
	// keep the service's floor.
	IsEnforced bool
	// Succeeded and Failed are the requests of the last two seconds that the VM counts.
	Succeeded, Failed float64
}

// FloorStatuses returns the status of each service's floor.
func (v *View) FloorStatuses(now thclock.Instant) []FloorStatus {
	all := make([]FloorStatus, 0, len(v.services))
	for _, s := range v.services {
		all = append(all, v.floorStatus(now, s))
	}
	return all
}

func (v *View) floorStatus(now thclock.Instant, s *service) FloorStatus {
	f := FloorStatus{Service: s.name, IsEnforced: s.floor.IsEnforced(now)}
	f.Succeeded, f.Failed = s.floor.Counts(now)
	return f
}

// suspectProbability is the failure probability above which a target is suspect.
const suspectProbability = 0.5
