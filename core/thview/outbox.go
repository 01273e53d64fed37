package thview

import (
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
)

// outbox collects the content of this VM's next notice.
type outbox struct {
	vmKey       thfleet.VMKey
	startMillis uint64
	sequence    uint32
	identity    thfleet.Identity
	// loads holds the targets at which the number of this VM's requests in
	// flight has changed, with the new number.
	loads map[thfleet.Key]uint16
	// admitted and refused hold the totals that have risen. The refused totals are sent
	// with the next notice, but don't cause one by themselves.
	admitted map[thfleet.Key]uint32
	refused  map[thfleet.Key]uint32
	results  []thfleet.AttemptResult
	crashes  []thfleet.Crash
}

func newOutbox(o Options) outbox {
	return outbox{
		vmKey: thfleet.VMKeyOf(o.Self.ID), startMillis: o.StartMillis, identity: o.Self,
		loads:    make(map[thfleet.Key]uint16),
		admitted: make(map[thfleet.Key]uint32),
		refused:  make(map[thfleet.Key]uint32),
	}
}

// Pending reports whether a notice should be sent, and whether it is urgent because
// it includes evidence against a target, which must not wait.
func (v *View) Pending() (pending, urgent bool) {
	o := &v.outbox
	for _, r := range o.results {
		if r.Outcome.IsNegative() {
			return true, true
		}
	}
	return len(o.loads)+len(o.admitted)+len(o.results) > 0, false
}

// TakeNotice returns a notice with the content of the outbox, and empties the
// outbox.
func (v *View) TakeNotice() thfleet.Notice {
	o := &v.outbox
	n := v.Introduction(false)
	n.Identity = nil
	for k, c := range o.loads {
		n.Loads = append(n.Loads, thfleet.Load{Target: k, InFlight: c})
	}
	n.Admitted, n.Refused = totals(o.admitted), totals(o.refused)
	n.Results, n.Crashes = o.results, o.crashes
	o.results, o.crashes = nil, nil
	clear(o.loads)
	clear(o.admitted)
	clear(o.refused)
	return n
}

// totals converts counts to the form used in notices.
func totals(counts map[thfleet.Key]uint32) []thfleet.KeyCount {
	if len(counts) == 0 {
		return nil
	}
	ts := make([]thfleet.KeyCount, 0, len(counts))
	for k, c := range counts {
		ts = append(ts, thfleet.KeyCount{Key: k, Count: c})
	}
	return ts
}

// Introduction returns a notice that only carries this VM's identity. If
// wantsIdentity is set, it asks the receiver for its own.
func (v *View) Introduction(wantsIdentity bool) thfleet.Notice {
	o := &v.outbox
	o.sequence++
	return thfleet.Notice{From: o.vmKey, StartMillis: o.startMillis, Sequence: o.sequence, Identity: &o.identity, WantsIdentity: wantsIdentity}
}

// TargetStatus is what this VM knows of a target, for operators and metrics.
type TargetStatus struct {
	ID, Service, Address, Zone       string
	Draining                         bool
	FailureProbability, LatencyRatio float64
	// InFlight is the number of requests of all VMs in flight at the target.
	InFlight int
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
		ID: t.ID, Service: t.Service, Address: t.Address, Zone: t.Zone, Draining: t.Draining,
		FailureProbability: t.health.FailureProbability(now), LatencyRatio: t.health.LatencyRatio(), InFlight: t.ownInFlight + v.Fleet.InFlight(now, t.key),
	}
}

// The states that TargetStatus.State returns, as metrics and operators' answers name
// them.
const (
	StateHealthy  = "well"
	StateSuspect  = "suspect"
	StateDraining = "leaving"
)

// State returns the target's state, one of the constants above.
func (s TargetStatus) State() string {
	switch {
	case s.Draining:
		return StateDraining
	case s.FailureProbability > suspectProbability:
		return StateSuspect
	}
	return StateHealthy
}

// suspectProbability is the failure probability above which a target is suspect.
const suspectProbability = 0.5
