package thbalance

import (
	"slices"
	"strings"

	"tamarackhollow/core/thhealth"
)

// TargetStatus is what this VM believes of one target, and why.
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

// Status returns the state of every target of the services used so far,
// ordered by service.
func (f *Forwarder) Status() []TargetStatus {
	var all []TargetStatus
	f.each(func(s *service) { all = append(all, s.status()...) })
	slices.SortStableFunc(all, func(a, b TargetStatus) int { return strings.Compare(a.Service, b.Service) })
	return all
}

func (s *service) status() []TargetStatus {
	now := s.f.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]TargetStatus, len(s.targets))
	for i, g := range s.targets {
		sample := g.row.Sample(now)
		seen := sample.Own.Long
		for _, r := range sample.Peers {
			seen = seen.Plus(r.Tally.Long)
		}
		rows[i] = TargetStatus{
			Service: s.spec.Name, Address: g.address, Zone: g.spec.Zone,
			State: g.state.Phase.String(), Open: slices.Contains(s.set.Open(), i),
			Strikes: g.state.Strikes, InFlight: g.inFlight,
			Requests: seen.Requests, Failed: seen.Failed, Slow: seen.Slow,
			PeersBusy: g.peersBusy,
		}
		if g.state.Phase != thhealth.Healthy {
			rows[i].Severity, rows[i].Local = g.state.Verdict.Severity, g.state.Verdict.Local
		}
		if g.spec.Leaving || g.leaving(now) {
			rows[i].State = StateLeaving
		}
	}
	return rows
}
