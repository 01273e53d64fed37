package thnode

import (
	"sync"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thingress"
	"tamarackhollow/io/thoperator"
)

// burnRecorder counts how this VM's requests ended, for the report of SLO burn
// rates. mu guards the recorder. The zero value is ready to use.
type burnRecorder struct {
	mu       sync.Mutex
	recorder thburn.Recorder
}

// availabilityObjective is the share of a service's requests that must succeed;
// the rest is its error budget. It is fixed because the platform sets a latency
// objective only.
const availabilityObjective = 0.99

// recordRequest records a request that ended, in the metrics and for the burn
// report.
func (n *Node) recordRequest(e thingress.RequestResult) {
	n.monitor.recordRequest(e)
	observation := thburn.Observation{
		Customer: e.Request.Customer.Name, Refused: e.Refused, Kind: e.Kind, Status: e.Status, Latency: e.Took,
	}
	if len(e.Request.Route.Backends) > 0 {
		observation.Service = e.Request.Route.Backends[0].Service
	}
	n.burn.mu.Lock()
	counted := n.burn.recorder.Record(n.clock.Now(), observation, objectiveOf(e.Request.Route))
	n.burn.mu.Unlock()
	if !counted {
		n.monitor.uncounted.Inc()
	}
}

func objectiveOf(r thtable.Route) thburn.Objective {
	return thburn.Objective{Availability: availabilityObjective, LatencyMillis: r.LatencyObjectiveMillis}
}

// report returns this VM's part of the burn report. A service's latency objective
// is the longest of its routes'.
func (n *Node) report() thburn.Report {
	d := n.table().Document()
	objectives := make(map[string]thburn.Objective, len(d.Services))
	for _, r := range d.Routes {
		for _, b := range r.Backends {
			o := objectiveOf(r)
			o.LatencyMillis = max(o.LatencyMillis, objectives[b.Service].LatencyMillis)
			objectives[b.Service] = o
		}
	}
	rates := make(map[string]float64, len(d.Customers))
	for _, c := range d.Customers {
		rates[c.Name] = c.Rate
	}
	n.burn.mu.Lock()
	defer n.burn.mu.Unlock()
	return n.burn.recorder.Report(n.clock.Now(), thburn.Lookup{
		Objective: func(service string) thburn.Objective { return objectives[service] },
		Rate:      func(customer string) float64 { return rates[customer] },
	})
}

// livePeers returns the other VMs that are live.
func (n *Node) livePeers() []thfleet.Identity {
	var all []thfleet.Identity
	n.forwarder.WithView(func(now thclock.Instant, v *thview.View) {
		for _, p := range v.Fleet.Peers() {
			if p.IsLive() {
				all = append(all, p.Identity)
			}
		}
	})
	return all
}

// status returns this VM's status for operators, with all targets that are not
// healthy.
func (n *Node) status() thoperator.VMStatus {
	sourceStatus, ages := n.source.Status(), n.monitor.readAges()
	s := thoperator.VMStatus{
		VM: n.options.Settings.VM.ID, Zone: n.options.Settings.VM.Zone, State: n.state(),
		TableVersion: sourceStatus.TableVersion, TargetsVersion: sourceStatus.Targets.Version, StoreEra: sourceStatus.Targets.Era,
		StoreAnswers: sourceStatus.IsStoreReachable, IsReader: sourceStatus.IsReader,
		TableAgeMillis: ages.Table, TargetsAgeMillis: ages.Targets, InFlight: n.ingress.InFlight(),
		Evacuated: sourceStatus.Evacuated, EvacuationsVersion: sourceStatus.Orders.Version, EvacuationsEra: sourceStatus.Orders.Era,
	}
	n.forwarder.WithView(func(now thclock.Instant, v *thview.View) {
		s.LiveVMs, _ = v.Fleet.Size(now)
		for _, t := range v.TargetStatuses(now) {
			if t.State() == thview.StateHealthy {
				continue
			}
			reported := thoperator.TargetStatus{
				Service: t.Service, Target: t.ID, Address: t.Address, State: t.State(), FailurePerMille: int(t.FailureProbability * 1000),
				PausedMillis: max(0, t.PausedUntil.Sub(now).Milliseconds()),
			}
			if t.IsCold {
				reported.ColdMillis = max(0, t.WarmAt.Sub(now).Milliseconds())
			}
			s.Targets = append(s.Targets, reported)
		}
	})
	return s
}

// state returns this VM's state as operators see it.
func (n *Node) state() string {
	switch {
	case n.ingress.IsDraining():
		return "draining"
	case n.IsReady():
		return "ready"
	}
	return "not ready"
}

// logSuspectChange logs that a target became suspect or stopped being so.
func (n *Node) logSuspectChange(s thview.TargetStatus) {
	id := thevent.TargetCleared
	if s.State() == thview.StateSuspect {
		id = thevent.TargetSuspected
	}
	n.options.Log.Log(id, thevent.F("target", s.ID), thevent.F("service", s.Service), thevent.F("address", s.Address),
		thevent.F("badPerMille", int(s.FailureProbability*1000)), thevent.F("inFlight", s.InFlight))
}

// logLeaving logs that a target has said that it leaves.
func (n *Node) logLeaving(t thtable.Target, reported bool) {
	n.options.Log.Log(thevent.TargetSaidLeaving, thevent.F("target", t.ID), thevent.F("service", t.Service),
		thevent.F("address", t.Address), thevent.F("reported", reported))
}

// logColdChange logs that a target became cold or warm.
func (n *Node) logColdChange(s thview.TargetStatus) {
	id := thevent.TargetWarm
	if s.IsCold {
		id = thevent.TargetCold
	}
	n.options.Log.Log(id, thevent.F("target", s.ID), thevent.F("service", s.Service), thevent.F("address", s.Address),
		thevent.F("coldMillis", max(0, s.WarmAt.Sub(n.clock.Now()).Milliseconds())))
}

// logFloorChange logs that this VM begins or ceases to enforce a service's floor.
func (n *Node) logFloorChange(s thview.FloorStatus) {
	id := thevent.FloorReleased
	if s.IsEnforced {
		id = thevent.FloorEnforced
	}
	n.options.Log.Log(id, thevent.F("service", s.Service), thevent.F("succeeded", s.Succeeded), thevent.F("failed", s.Failed))
}
