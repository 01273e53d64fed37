package thvm

import (
	"time"

	"tamarackhollow/core/thburn"
	"tamarackhollow/io/thburns"
	"tamarackhollow/io/thgrant"
	"tamarackhollow/io/thmetrics"
	"tamarackhollow/io/thwire"
)

// record counts what a caller saw, and the part of its wait that no target took.
func (v *VM) record(o thburn.Observation, added time.Duration) {
	v.burns.Record(o)
	v.seen.Record(o, added)
}

// agreementStats are how the VM stands towards the others.
type agreementStats struct {
	Version       uint64
	Fresh         bool
	FreshMillis   int64
	RosterVersion uint64
	RosterSize    int
	StoreAnswers  bool
	Ready         bool
	Draining      bool
}

// targetStats count this VM's targets by state.
type targetStats struct {
	Known   int
	ByState map[string]int
}

// registry holds every metric of the VM. docs/METRICS.md lists them.
func (v *VM) registry(wire *thwire.Client) *thmetrics.Registry {
	r := new(thmetrics.Registry)
	thmetrics.Publish(r, "process", thmetrics.ReadProcess)
	thmetrics.Publish(r, "requests", v.seen.Stats)
	thmetrics.Publish(r, "inFlight", v.callers.InFlight)
	thmetrics.Publish(r, "agreement", v.agreementStats)
	thmetrics.Publish[thgrant.Stats](r, "limits", v.limiter.Stats)
	thmetrics.Publish(r, "targets", v.targetStats)
	thmetrics.Publish[thburns.Stats](r, "burn", v.burns.Stats)
	thmetrics.Publish(r, "served", v.burns.Served)
	thmetrics.Publish(r, "peersAsked", wire.Stats)
	thmetrics.Publish(r, "peersAnswered", v.peers.Stats)
	thmetrics.Publish(r, "operatorsAnswered", v.operators.Stats)
	return r
}

func (v *VM) agreementStats() agreementStats {
	s := fleet{v}.Status()
	return agreementStats{
		Version: s.Version, Fresh: s.Fresh, FreshMillis: s.FreshMillis, RosterVersion: s.RosterVersion,
		RosterSize: s.RosterSize, StoreAnswers: s.StoreAnswers, Ready: s.Ready, Draining: s.Draining,
	}
}

func (v *VM) targetStats() targetStats {
	s := targetStats{ByState: make(map[string]int)}
	for _, t := range v.balance.Status() {
		s.Known++
		s.ByState[t.State]++
	}
	return s
}
