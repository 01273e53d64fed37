package thvm

import (
	"tamarackhollow/io/thmetrics"
	"tamarackhollow/io/thwire"
)

// health sums up what the VM believes of its targets.
type health struct {
	Targets  int
	Ejected  int
	Trial    int
	Leaving  int
	InFlight int
}

// freshness is what the VM knows of the configuration.
type freshness struct {
	Version     uint64
	Accepted    uint64
	FreshMillis int64
	RosterSize  int
	Member      bool
}

// store tells of the platform's service.
type store struct {
	Calls   uint64
	Answers bool
}

// registry publishes what the parts count.
func (v *VM) registry() *thmetrics.Registry {
	r := &thmetrics.Registry{}
	thmetrics.Publish(r, "process", thmetrics.ReadProcess)
	thmetrics.Publish(r, "requests", v.requests.Stats)
	thmetrics.Publish(r, "limits", v.limiter.Stats)
	thmetrics.Publish(r, "burn", v.burns.Stats)
	thmetrics.Publish(r, "served", v.burns.Served)
	thmetrics.Publish(r, "peersAsked", v.wire.Stats)
	thmetrics.Publish(r, "peersAnswered", func() thwire.Stats { return v.peers.Stats() })
	thmetrics.Publish(r, "targets", v.health)
	thmetrics.Publish(r, "agreement", v.freshness)
	thmetrics.Publish(r, "store", func() store {
		return store{Calls: v.platform.Calls(), Answers: v.platform.Answers()}
	})
	return r
}

func (v *VM) health() health {
	var h health
	for _, t := range v.balance.Status() {
		h.Targets++
		h.InFlight += t.InFlight
		switch t.State {
		case "ejected":
			h.Ejected++
		case "trial":
			h.Trial++
		case "leaving":
			h.Leaving++
		}
	}
	return h
}

func (v *VM) freshness() freshness {
	s := v.agreement.Status()
	return freshness{
		Version: s.Version, Accepted: s.Accepted, FreshMillis: s.FreshMillis,
		RosterSize: s.Roster.Len(), Member: s.Member,
	}
}
