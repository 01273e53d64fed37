package thview

import (
	"cmp"
	"slices"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thhealth"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thsubset"
)

// rings are the rings of a service's targets from which the VMs of one zone choose
// those that they use: the zone's own targets and, if these are fewer than
// thsubset.Size, also those of other zones.
type rings struct {
	own, others []*target
	// ownPosition and otherPosition hold the targets' positions on the rings.
	ownPosition, otherPosition map[*target]int
}

func newRings(all []*target, zone string) *rings {
	r := &rings{ownPosition: make(map[*target]int), otherPosition: make(map[*target]int)}
	for _, t := range all {
		if t.Zone == zone {
			r.own = append(r.own, t)
		} else {
			r.others = append(r.others, t)
		}
	}
	for position, t := range r.own {
		r.ownPosition[t] = position
	}
	for position, t := range r.others {
		r.otherPosition[t] = position
	}
	return r
}

// rings returns the rings for the VMs of a zone.
func (s *service) rings(zone string) *rings {
	r := s.ringsByZone[zone]
	if r == nil {
		if s.ringsByZone == nil {
			s.ringsByZone = make(map[string]*rings)
		}
		r = newRings(s.ringTargets(), zone)
		s.ringsByZone[zone] = r
	}
	return r
}

// ringTargets returns the targets that stand on the rings: those that any VM may use. Cold ones are
// used by the owners of their parts only.
func (s *service) ringTargets() []*target {
	if s.onRings == nil {
		s.onRings = slices.DeleteFunc(slices.Clone(s.targets), func(t *target) bool { return t.isEvacuated || t.isCold })
	}
	return s.onRings
}

// sortTargets puts the service's targets in the order of their keys, which all VMs
// know, and drops the rings made before.
func (s *service) sortTargets() {
	slices.SortFunc(s.targets, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.ID, b.ID))
	})
	s.dropRings()
}

// dropRings drops the rings, which are made anew when they are next used.
func (s *service) dropRings() { s.ringsByZone, s.onRings = nil, nil }

// windows returns the windows of the targets that a VM uses on both rings.
func (r *rings) windows(m thfleet.Member) (own, others thsubset.Window) {
	own = thsubset.WindowOf(m.Rank, m.ZoneSize, thsubset.Size, len(r.own))
	others = thsubset.WindowOf(m.Rank, m.ZoneSize, thsubset.Size-own.Length, len(r.others))
	return own, others
}

// uses reports whether a VM uses the target.
func (s *service) uses(m thfleet.Member, t *target) bool {
	r := s.rings(m.Zone)
	own, others := r.windows(m)
	if position, ok := r.ownPosition[t]; ok {
		return own.Contains(position)
	}
	position, ok := r.otherPosition[t]
	return ok && others.Contains(position)
}

// subset returns the targets of the service that a VM uses.
func (s *service) subset(m thfleet.Member) []*target {
	r := s.rings(m.Zone)
	own, others := r.windows(m)
	ts := make([]*target, 0, own.Length+others.Length)
	for i := range own.Length {
		ts = append(ts, r.own[own.At(i)])
	}
	for i := range others.Length {
		ts = append(ts, r.others[others.At(i)])
	}
	return ts
}

// users returns the live VMs that use the target, and whether these are all.
func (v *View) users(t *target) (members []thfleet.Member, all bool) {
	live := v.Fleet.Live()
	s := v.services[t.Service]
	if s == nil || len(s.targets) <= thsubset.Size {
		return live, true
	}
	if t.isCold {
		return ColdOwners(live, t.key, t.Zone), false
	}
	for _, m := range live {
		if s.uses(m, t) {
			members = append(members, m)
		}
	}
	return members, len(members) == len(live)
}

// ConnectionShare returns how many of the connections that a target accepts from all VMs
// this one may open: an equal share, but at least one. It returns 0, which means no limit,
// for a limit of 0.
func (v *View) ConnectionShare(now thclock.Instant, limit int) int {
	if limit <= 0 {
		return 0
	}
	_, members := v.Fleet.Size(now)
	return max(1, limit/members)
}

// extraTargets is how many targets outside of its subset a VM considers for a request, in
// case the ones that it uses fail or are busy.
const extraTargets = 2

// fillCandidates fills v.candidates and v.candidateTargets with the targets of the
// service that the request may be sent to.
func (v *View) fillCandidates(now thclock.Instant, s *service, request *thmessage.Request) {
	v.refreshCold(now, s)
	v.candidates, v.candidateTargets = v.candidates[:0], v.candidateTargets[:0]
	inFlight := 0
	for _, t := range s.subset(v.Fleet.Self()) {
		c := v.newCandidate(now, t, request.Route.IsIdempotent())
		inFlight += c.InFlight
		v.candidates, v.candidateTargets = append(v.candidates, c), append(v.candidateTargets, t)
	}
	used := len(v.candidates)
	v.addOwnedCold(now, s, request.Route.IsIdempotent())
	onRings := s.ringTargets()
	for range min(extraTargets, len(onRings)-used) {
		t := onRings[v.options.Rand.IntN(len(onRings))]
		if slices.Contains(v.candidateTargets, t) {
			continue
		}
		c := v.newCandidate(now, t, request.Route.IsIdempotent())
		c.IsExtra = true
		// Other VMs don't tell this one what they have in flight there.
		c.InFlight = max(c.InFlight, inFlight/max(1, used))
		v.candidates, v.candidateTargets = append(v.candidates, c), append(v.candidateTargets, t)
	}
}

// fillWithAll fills v.candidates with all targets of the service.
func (v *View) fillWithAll(now thclock.Instant, s *service, request *thmessage.Request) {
	v.candidates, v.candidateTargets = v.candidates[:0], v.candidateTargets[:0]
	for _, t := range s.targets {
		v.candidates, v.candidateTargets = append(v.candidates, v.newCandidate(now, t, request.Route.IsIdempotent())), append(v.candidateTargets, t)
	}
}

// newCandidate returns the target as a candidate for a pick.
func (v *View) newCandidate(now thclock.Instant, t *target, idempotent bool) thpick.Candidate {
	c := thpick.Candidate{
		Target: t.current(), Health: t.health, WarmupUntil: t.warmupUntil,
		InFlight: v.expectedRequests(now, t), UsedAt: t.usedAt, FailedAt: t.failedAt, PausedUntil: t.pausedUntil,
		IsEvacuated: t.isEvacuated, IsThrottled: t.isCold && v.isThrottled(now, v.services[t.Service], t),
	}
	// Other targets that this VM knows nothing of were used before it started, or by other
	// VMs before it began to use them.
	c.IsNew = v.firstListedAt.Before(t.listedAt) && t.health == (thhealth.Health{}) && c.InFlight == 0
	if v.options.HasIdleConnection != nil {
		c.HasIdleConnection = v.options.HasIdleConnection(t.ID, idempotent)
	}
	return c
}
