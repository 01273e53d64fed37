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

// burn guards the ledger of how requests ended for this VM's callers. The zero
// burn has seen none.
type burn struct {
	mu     sync.Mutex
	ledger thburn.Recorder
}

// availability is the share of requests that a service's error budget allows
// for, since the platform sets a latency objective only.
const availability = 0.99

// record takes in how a request ended.
func (n *Node) record(e thingress.Ended) {
	n.monitor.record(e)
	o := thburn.Observation{
		Customer: e.Request.Customer.Name, Refused: e.Refused, Kind: e.Kind, Status: e.Status, Latency: e.Took,
	}
	if len(e.Request.Route.Backends) > 0 {
		o.Service = e.Request.Route.Backends[0].Service
	}
	n.burn.mu.Lock()
	counted := n.burn.ledger.Record(n.clock.Now(), o, objectiveOf(e.Request.Route))
	n.burn.mu.Unlock()
	if !counted {
		n.monitor.uncounted.Inc()
	}
}

func objectiveOf(r thtable.Route) thburn.Objective {
	return thburn.Objective{Availability: availability, LatencyMillis: r.LatencyObjectiveMillis}
}

// report returns this VM's part of the burn report.
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
	return n.burn.ledger.Report(n.clock.Now(), thburn.Lookup{
		Objective: func(service string) thburn.Objective { return objectives[service] },
		Rate:      func(customer string) float64 { return rates[customer] },
	})
}

// others returns the other VMs that are heard.
func (n *Node) others() []thfleet.Identity {
	var all []thfleet.Identity
	n.forwarder.With(func(now thclock.Instant, v *thview.View) {
		for _, p := range v.Fleet.Peers() {
			if p.IsHeard(now) {
				all = append(all, p.Identity)
			}
		}
	})
	return all
}

// status returns how this VM stands.
func (n *Node) status() thoperator.Status {
	known := n.source.Status()
	s := thoperator.Status{
		VM: n.o.Settings.VM.ID, Zone: n.o.Settings.VM.Zone, State: n.state(),
		TableVersion: known.TableVersion, TargetsVersion: known.TargetsVersion,
		StoreAnswers: known.StoreAnswers, Reading: known.Reading, InFlight: n.ingress.InFlight(),
	}
	n.forwarder.With(func(now thclock.Instant, v *thview.View) {
		s.VMsHeard, _ = v.Fleet.Size(now)
		for _, t := range v.Standings(now) {
			if t.State() == thview.StateWell {
				continue
			}
			s.Targets = append(s.Targets, thoperator.TargetStatus{
				Service: t.Service, Target: t.ID, Address: t.Address, State: t.State(), BadPerMille: int(t.Bad * 1000),
			})
		}
	})
	return s
}

func (n *Node) state() string {
	switch {
	case n.ingress.Draining():
		return "draining"
	case n.Ready():
		return "ready"
	}
	return "not ready"
}

// noteTarget logs that a target became suspect or was cleared.
func (n *Node) noteTarget(s thview.Standing) {
	id := thevent.TargetCleared
	if s.State() == thview.StateSuspect {
		id = thevent.TargetSuspected
	}
	n.o.Log.Log(id, thevent.F("target", s.ID), thevent.F("service", s.Service), thevent.F("address", s.Address),
		thevent.F("badPerMille", int(s.Bad*1000)), thevent.F("inFlight", s.InFlight))
}
