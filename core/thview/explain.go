package thview

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thquota"
	"tamarackhollow/core/thtable"
)

// Explanation is what a VM would decide on a request, and why.
type Explanation struct {
	// Limit is that of the request's customer, and Admission the first step of asking for a token
	// of it. An AskOwner leaves open whether the request is admitted. Admission is nil if the
	// request has no customer.
	Limit     thquota.Limit
	Admission AdmissionStep
	// Service is the service of the route that would get the request.
	Service string
	// IsBeyondShare is set if the request is beyond its customer's fair share of the service.
	IsBeyondShare bool
	// Slot is whether the request would be sent at once, wait for a slot, or be refused one.
	Slot thpick.SlotDecision
	// IsQuarantined is set if the request, with the body that was given, is quarantined.
	IsQuarantined bool
	// ExpectedLatency is the expected median latency of the route's answers.
	ExpectedLatency time.Duration
	// Picked is the ID of the best target if the request were sent now, "" if there is none.
	// KeepsFloor is set if it is the best one because too few targets are in use.
	Picked     string
	KeepsFloor bool
	// Refusal says why no target would be picked; nil if Picked would get the request.
	Refusal *Refusal
	// Targets are all targets of the service: first the candidates in the order of their costs,
	// then the others in the order of their IDs.
	Targets []TargetExplanation
}

// TargetExplanation is what a VM knows of a target, and as what it considers it for a request.
type TargetExplanation struct {
	TargetStatus
	// Slots is how many requests the target runs at once.
	Slots int
	// IsLeaving is set if the target has said that it leaves, and IsEvacuated if it is in an
	// evacuated zone.
	IsLeaving, IsEvacuated bool
	// IsCandidate is set if the VM considers the target for the request; the fields below have no
	// meaning otherwise. It is not set for targets that other VMs use.
	IsCandidate bool
	// IsExtra is set if the VM does not use the target regularly and drew it at random.
	IsExtra bool
	// Requests is how many requests the VM expects at the target.
	Requests int
	// ExpectedWait is how long the request would wait for a slot at the target.
	ExpectedWait time.Duration
	// Cost is the expected cost of the request at the target, in credit; the least one is picked,
	// but for a small random part that breaks ties.
	Cost float64
	// Exclusion is why the target may not run the request.
	Exclusion thpick.Exclusion
}

// Explain returns what the VM would decide on the request, which has arrived and was not sent yet:
// BeginAdmission, PickBackend, RecordDemand, DecideSlot and Pick, by the same decisions. It changes
// nothing in the view, and draws from rng only. Where a decision depends on chance, such as which of
// two equal targets is picked, another rng may give another answer. The function ahead returns how
// many waiting requests of a service go before this one.
func (v *View) Explain(now thclock.Instant, rng *rand.Rand, request *thmessage.Request, retryable bool, ahead func(service string, isBeyondShare bool) int) Explanation {
	d := v.detached(now, rng)
	e := Explanation{ExpectedLatency: d.ExpectedLatency(request.Route)}
	if request.Customer.Name != "" {
		state := d.customerOf(request.Customer)
		_, admission := d.decideAdmission(now, state, request.Customer, request.Route)
		e.Limit, e.Admission = state.limit, admission.step
	}
	e.Service, _ = d.decideBackend(request.Route)
	s := v.services[e.Service].clone(e.Service)
	d.services = map[string]*service{e.Service: s}
	d.RecordDemand(now, request, e.Service)
	e.IsBeyondShare = d.IsBeyondShare(now, request, e.Service)
	e.Slot = d.DecideSlot(now, request, e.Service, ahead(e.Service, e.IsBeyondShare))
	e.IsQuarantined = d.IsQuarantined(now, request)
	pick := d.decidePick(now, request, s, nil, retryable)
	if pick.hasTarget {
		e.Picked, e.KeepsFloor = d.candidates[pick.chosen].Target.ID, pick.keepsFloor
	}
	e.Refusal, e.Targets = pick.refusal, d.explainTargets(now, s, pick.query)
	return e
}

// detached returns a copy of the view for decisions that must change nothing: it draws from rng,
// reports no events, and has caches of its own. It has no services, and what it shares with the view
// must not be changed.
func (v *View) detached(now thclock.Instant, rng *rand.Rand) *View {
	d, fleet := *v, *v.Fleet
	d.Fleet = &fleet
	d.options.Rand = rng
	d.options.OnSuspectChange, d.options.OnLeaving, d.options.OnColdChange, d.options.OnFloorChange = nil, nil, nil, nil
	d.candidates, d.candidateTargets = nil, nil
	d.sweptAt = now // the quarantine table is shared
	return &d
}

// customerOf returns the state of the customer in a detached view.
func (v *View) customerOf(c thtable.Customer) *customer {
	if v.customers[thfleet.KeyOf(c.Name)] == nil {
		v.customers = maps.Clone(v.customers)
	}
	return v.customer(c)
}

// clone returns a copy of the service that shares no targets with it. A nil service gives an empty
// one of the name.
func (s *service) clone(name string) *service {
	if s == nil {
		return &service{name: name, key: thfleet.KeyOf(name)}
	}
	c := *s
	copies := make(map[*target]*target, len(s.targets))
	c.targets = make([]*target, 0, len(s.targets))
	for _, t := range s.targets {
		copied := *t
		copies[t] = &copied
		c.targets = append(c.targets, &copied)
	}
	c.cold.targets = nil
	for _, t := range s.cold.targets {
		c.cold.targets = append(c.cold.targets, copies[t])
	}
	c.dropRings()
	return &c
}

// explainTargets returns all targets of the service, for the latest pick of a detached view.
func (v *View) explainTargets(now thclock.Instant, s *service, query thpick.Query) []TargetExplanation {
	all := make([]TargetExplanation, 0, len(s.targets))
	for _, t := range s.targets {
		x := TargetExplanation{TargetStatus: v.targetStatus(now, t), Slots: t.Slots, IsLeaving: t.leaving, IsEvacuated: t.isEvacuated}
		if i := slices.Index(v.candidateTargets, t); i >= 0 {
			c := v.candidates[i]
			x.IsCandidate, x.IsExtra, x.Requests = true, c.IsExtra, c.InFlight
			x.ExpectedWait, x.Cost, x.Exclusion = thpick.ExpectedWait(query, c), thpick.Cost(query, c), thpick.ExclusionOf(query, c)
		}
		all = append(all, x)
	}
	slices.SortFunc(all, compareExplained)
	return all
}

// compareExplained orders candidates by their costs, those that may run the request first, before
// other targets by their IDs.
func compareExplained(a, b TargetExplanation) int {
	rank := func(x TargetExplanation) int {
		switch {
		case !x.IsCandidate:
			return 2
		case x.Exclusion != thpick.NotExcluded:
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.ID, b.ID))
}
