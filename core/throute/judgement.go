package throute

import (
	"slices"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thhealth"
)

// Evidence is a copy of what the balancer knows of its targets, to be judged
// without holding up requests.
type Evidence struct {
	policy  thhealth.Policy
	targets []*target
	samples []thhealth.Sample
}

// Verdicts are the outcome of judging an Evidence.
type Verdicts struct {
	Evidence
	verdicts []thhealth.Verdict
}

// calmPause is between judgements of a service from which there is no news
// that could change a verdict.
const calmPause = 2 * time.Second

// Due reports whether the targets are to be judged now: something bad was
// seen or heard of one, one is not in ordinary use, or it is long ago.
func (b *Balancer[W]) Due(now thclock.Instant) bool {
	if b.stirred || now.Sub(b.judged) >= calmPause {
		return true
	}
	return slices.ContainsFunc(b.targets, func(g *target) bool { return g.suspect || g.state.Phase != thhealth.Healthy })
}

// Targets returns how many targets the balancer has.
func (b *Balancer[W]) Targets() int { return len(b.targets) }

// Evidence returns what is known at the present moment.
func (b *Balancer[W]) Evidence(now thclock.Instant) Evidence {
	b.stirred, b.judged = false, now
	e := Evidence{policy: b.policy, targets: b.targets, samples: make([]thhealth.Sample, len(b.targets))}
	for i, g := range b.targets {
		e.samples[i] = g.row.Sample(now)
	}
	rests := b.rests(now)
	for i := range e.samples {
		e.samples[i].Rest = rests[i]
	}
	return e
}

// Judge compares the targets. It reads nothing that the balancer changes.
func (e Evidence) Judge() Verdicts {
	return Verdicts{Evidence: e, verdicts: thhealth.Judge(e.policy, e.samples)}
}

// Apply moves the targets to the states that follow from the verdicts.
func (b *Balancer[W]) Apply(now thclock.Instant, vs Verdicts) {
	for i, g := range vs.targets {
		b.turn(now, g, vs.verdicts[i], vs.samples[i])
	}
	b.rebuild(now)
}

func (b *Balancer[W]) turn(now thclock.Instant, g *target, v thhealth.Verdict, evidence thhealth.Sample) {
	g.peersBusy = evidence.PeersBusy()
	before := g.state
	g.state = before.Next(now, b.policy, v, evidence.Recent())
	g.suspect = v.Suspect && g.state.Phase != thhealth.Ejected
	if g.state.Phase == before.Phase {
		return
	}
	fields := []thevent.Field{
		thevent.F("target", g.address),
		thevent.F("requests", v.Seen.Requests), thevent.F("failed", v.Seen.Failed), thevent.F("slow", v.Seen.Slow),
	}
	switch g.state.Phase {
	case thhealth.Ejected:
		g.row.Reset()
		b.notify(thevent.TargetEjected, append(fields, thevent.F("local", v.Local), thevent.F("strikes", g.state.Strikes))...)
	case thhealth.Warming:
		b.notify(thevent.TargetReadmitted, fields...)
	}
}

// Offers returns the rows that may be told to other VMs.
func (b *Balancer[W]) Offers(now thclock.Instant, entries []thhealth.Entry) []thhealth.Entry {
	rests := b.rests(now)
	for i, g := range b.targets {
		entries = append(entries, thhealth.Entry{
			Row: &g.row, Key: g.key, Rest: rests[i], Suspect: g.suspect,
			Ejected: g.state.JustEjected(now), Leaving: now.Before(g.leavingUntil),
		})
	}
	return entries
}

// rests returns, for each target, what this VM saw of the others that are in
// ordinary use.
func (b *Balancer[W]) rests(now thclock.Instant) []thhealth.Rest {
	var sum thhealth.Rest
	for _, g := range b.targets {
		if g.state.InUse() {
			sum = sum.Plus(g.row.Own().Faded(now))
		}
	}
	rests := make([]thhealth.Rest, len(b.targets))
	for i, g := range b.targets {
		rests[i] = sum
		if g.state.InUse() {
			rests[i] = sum.Minus(g.row.Own().Faded(now))
		}
	}
	return rests
}

// Receive takes in another VM's tally, and returns false if it concerns none
// of the targets.
func (b *Balancer[W]) Receive(now thclock.Instant, c thhealth.Cell) bool {
	for _, g := range b.targets {
		if g.key == c.Target {
			b.stirred = b.stirred || c.Suspect || c.Ejected || c.Leaving || c.Tally.Short.Bad() > 0
			g.row.Receive(now, c)
			return true
		}
	}
	return false
}

// TargetStatus is what a VM believes of one target, and why.
type TargetStatus struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// State is healthy, ejected, trial, warming or leaving.
	State string `json:"state"`
	// Open is whether ordinary work goes to the target; a sick one may be kept
	// open by the floor.
	Open     bool    `json:"open"`
	Strikes  int     `json:"strikes,omitempty"`
	InFlight int     `json:"inFlight"`
	Requests float64 `json:"requests"`
	Failed   float64 `json:"failed"`
	Slow     float64 `json:"slow"`
	// Severity and Local tell of the verdict that last ejected the target.
	Severity float64 `json:"severity,omitempty"`
	Local    bool    `json:"local,omitempty"`
	// PeersBusy is the work in flight from other VMs by their latest reports.
	PeersBusy float64 `json:"peersBusy"`
}

// Status returns the state of every target in use.
func (b *Balancer[W]) Status(now thclock.Instant) []TargetStatus {
	rows := make([]TargetStatus, len(b.targets))
	for i, g := range b.targets {
		sample := g.row.Sample(now)
		seen := sample.Own.Long
		for _, r := range sample.Peers {
			seen = seen.Plus(r.Tally.Long)
		}
		rows[i] = TargetStatus{
			Service: b.spec.Name, Address: g.address, Zone: g.spec.Zone,
			State: g.state.Phase.String(), Open: slices.Contains(b.set.Open(), i),
			Strikes: g.state.Strikes, InFlight: g.inFlight,
			Requests: seen.Requests, Failed: seen.Failed, Slow: seen.Slow,
			PeersBusy: g.peersBusy,
		}
		if g.state.Phase != thhealth.Healthy {
			rows[i].Severity, rows[i].Local = g.state.Verdict.Severity, g.state.Verdict.Local
		}
		if g.leaving(now) {
			rows[i].State = StateLeaving
		}
	}
	return rows
}
