package thview

import (
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
)

// outbox holds what the other VMs have not been told yet.
type outbox struct {
	from     thfleet.VMKey
	start    uint64
	number   uint32
	identity thfleet.Identity
	loads    map[thfleet.Key]uint16
	admitted map[thfleet.Key]uint32
	repeats  map[thfleet.Key]uint32
	// refused goes with the next notice and makes none by itself.
	refused map[thfleet.Key]uint32
	ends    []thfleet.End
	deaths  []thfleet.Death
}

func newOutbox(o Options) outbox {
	return outbox{
		from: thfleet.VMKeyOf(o.Self.ID), start: o.Start, identity: o.Self,
		loads:    make(map[thfleet.Key]uint16),
		admitted: make(map[thfleet.Key]uint32),
		repeats:  make(map[thfleet.Key]uint32),
		refused:  make(map[thfleet.Key]uint32),
	}
}

// Pending reports whether there is something to tell the others, and whether
// it is bad news of a target, which cannot wait.
func (v *View) Pending() (pending, urgent bool) {
	o := &v.outbox
	for _, e := range o.ends {
		if e.Outcome.Bad() {
			return true, true
		}
	}
	return len(o.loads)+len(o.admitted)+len(o.repeats)+len(o.ends) > 0, false
}

// Notice returns what the others have not been told, and takes it as told.
func (v *View) Notice() thfleet.Notice {
	o := &v.outbox
	n := v.Greeting(false)
	n.Identity = nil
	for k, c := range o.loads {
		n.Loads = append(n.Loads, thfleet.Load{Target: k, InFlight: c})
	}
	n.Admitted, n.Repeats, n.Refused = totals(o.admitted), totals(o.repeats), totals(o.refused)
	n.Ends, n.Deaths = o.ends, o.deaths
	o.ends, o.deaths = nil, nil
	clear(o.loads)
	clear(o.admitted)
	clear(o.repeats)
	clear(o.refused)
	return n
}

func totals(counts map[thfleet.Key]uint32) []thfleet.Total {
	if len(counts) == 0 {
		return nil
	}
	ts := make([]thfleet.Total, 0, len(counts))
	for k, c := range counts {
		ts = append(ts, thfleet.Total{Key: k, Count: c})
	}
	return ts
}

// Greeting returns a notice that only tells who this VM is and, if asking is
// set, asks the receiver for the same.
func (v *View) Greeting(asking bool) thfleet.Notice {
	o := &v.outbox
	o.number++
	return thfleet.Notice{From: o.from, Start: o.start, Number: o.number, Identity: &o.identity, Asking: asking}
}

// Standing is what is known of one target, for operators and metrics.
type Standing struct {
	ID, Service, Address, Zone string
	Leaving                    bool
	Bad, Pace                  float64
	InFlight                   int
}

// Standings returns what is known of every target.
func (v *View) Standings(now thclock.Instant) []Standing {
	all := make([]Standing, 0, len(v.targets))
	for _, t := range v.targets {
		all = append(all, v.standing(now, t))
	}
	return all
}

func (v *View) standing(now thclock.Instant, t *target) Standing {
	return Standing{
		ID: t.ID, Service: t.Service, Address: t.Address, Zone: t.Zone, Leaving: t.Draining,
		Bad: t.belief.Bad(now), Pace: t.belief.Pace(), InFlight: t.inFlight + v.Fleet.InFlight(now, t.key),
	}
}

// The states of a target.
const (
	StateWell    = "well"
	StateSuspect = "suspect"
	StateLeaving = "leaving"
)

// State returns what the target's state is called.
func (s Standing) State() string {
	switch {
	case s.Leaving:
		return StateLeaving
	case s.Bad > suspectBad:
		return StateSuspect
	}
	return StateWell
}

// suspectBad is the belief from which a target is reported as suspect.
const suspectBad = 0.5
