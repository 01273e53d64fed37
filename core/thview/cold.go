package thview

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thquota"
	"tamarackhollow/core/thtable"

	"github.com/cespare/xxhash/v2"
)

// coldParts is how many parts the rate of a cold target is divided into, each with an owner. With
// fewer, the loss of an owner would take too much of the rate away.
const coldParts = 3

// coldState is what a service knows of its cold targets: those that warm up and, as their service has
// a bound, get few requests a second.
type coldState struct {
	// rate is how many requests a second a cold target may get over all VMs; 0 means no bound.
	rate float64
	// span is for how long a target is cold that this VM does not hear from after an evacuation.
	span time.Duration
	// targets are the service's targets that are cold; the next one is warm at nextWarmAt.
	targets    []*target
	nextWarmAt thclock.Instant
	// isOutdated is set if the above must be made anew.
	isOutdated bool
	// generation is that of the live VMs for which target.ownsPart was last set; 0 if it is to be
	// set anew.
	generation uint64
}

// coldShare is the fraction of its parts that this VM may use, until a time.
type coldShare struct {
	share      float64
	generation uint64
	validUntil thclock.Instant
}

// ColdOwners returns the VMs that own the parts of a cold target's rate: those that rank first by
// rendezvous hashing among the live VMs of the target's availability zone or, if it has none, among
// all. If a VM joins or is lost, only the parts that it owns move. There are fewer owners than parts
// if there are fewer VMs.
func ColdOwners(live []thfleet.Member, target thfleet.Key, zone string) []thfleet.Member {
	isElsewhere := func(m thfleet.Member) bool { return m.Zone != zone }
	candidates := slices.DeleteFunc(slices.Clone(live), isElsewhere)
	if len(candidates) == 0 {
		candidates = slices.Clone(live)
	}
	slices.SortFunc(candidates, func(a, b thfleet.Member) int {
		return cmp.Or(cmp.Compare(coldWeight(target, b.Key), coldWeight(target, a.Key)), cmp.Compare(a.Key, b.Key))
	})
	return candidates[:min(coldParts, len(candidates))]
}

func coldWeight(target thfleet.Key, vm thfleet.VMKey) uint64 {
	var data [12]byte
	binary.LittleEndian.PutUint32(data[:], uint32(target))
	binary.LittleEndian.PutUint64(data[4:], uint64(vm))
	return xxhash.Sum64(data[:])
}

// MarkCold records that the target of the pick has said in an answer that it is cold until the given
// time, which replaces what it said before. The time now or earlier means that it is warm.
func (v *View) MarkCold(now thclock.Instant, p Picked, until thclock.Instant) {
	if t := v.pickedTarget(p); t != nil {
		t.warmupUntil = until
		v.updateCold(now, v.service(t.Service))
	}
}

// setColdRates applies the bounds of a routing table.
func (v *View) setColdRates(services []thtable.Service) {
	for _, s := range v.services {
		s.cold.rate, s.cold.isOutdated = 0, true
	}
	for _, configured := range services {
		if configured.ColdRate > 0 {
			s := v.service(configured.Name)
			s.cold.rate, s.cold.span = configured.ColdRate, time.Duration(configured.ColdMillis)*time.Millisecond
		}
	}
}

// assumeCold takes the target of a released zone for cold, since it may have become so while it got
// no requests, and the report may be under way. The target's next report replaces this.
func (s *service) assumeCold(now thclock.Instant, t *target) {
	if s.cold.rate > 0 {
		t.warmupUntil = t.warmupUntil.Max(now.Add(s.cold.span))
	}
}

// updateCold records which of the service's targets are cold, and calls OnColdChange for those that
// became cold or warm.
func (v *View) updateCold(now thclock.Instant, s *service) {
	c := &s.cold
	c.targets, c.nextWarmAt, c.isOutdated, c.generation = c.targets[:0], thclock.Instant{}, false, 0
	for _, t := range s.targets {
		isCold := c.rate > 0 && now.Before(t.warmupUntil)
		if isCold {
			c.targets = append(c.targets, t)
			if len(c.targets) == 1 || t.warmupUntil.Before(c.nextWarmAt) {
				c.nextWarmAt = t.warmupUntil
			}
		}
		if isCold == t.isCold {
			continue
		}
		t.isCold, t.ownsPart, t.pace = isCold, false, thquota.Pace{}
		s.dropRings()
		if v.options.OnColdChange != nil {
			v.options.OnColdChange(v.targetStatus(now, t))
		}
	}
}

// refreshCold brings what is known of the service's cold targets up to date.
func (v *View) refreshCold(now thclock.Instant, s *service) {
	c := &s.cold
	if c.isOutdated || len(c.targets) > 0 && !now.Before(c.nextWarmAt) {
		v.updateCold(now, s)
	}
	if len(c.targets) == 0 || c.generation == v.Fleet.Generation() {
		return
	}
	c.generation = v.Fleet.Generation()
	for _, t := range c.targets {
		owns := slices.ContainsFunc(ColdOwners(v.Fleet.Live(), t.key, t.Zone), func(m thfleet.Member) bool { return m.Key == v.outbox.vmKey })
		if owns != t.ownsPart {
			t.ownsPart, t.pace = owns, thquota.Pace{} // what the owners before gave out is not known
		}
	}
	v.updatePaces(now, s)
}

// refreshAllCold brings what is known of all cold targets up to date.
func (v *View) refreshAllCold(now thclock.Instant) {
	for _, s := range v.services {
		v.refreshCold(now, s)
		v.updatePaces(now, s)
	}
}

// updatePaces applies the rate at which this VM may send requests to the cold targets of which it
// owns a part.
func (v *View) updatePaces(now thclock.Instant, s *service) {
	for _, t := range s.cold.targets {
		if t.ownsPart {
			t.pace = t.pace.WithRate(now, v.coldPartRate(now, s))
		}
	}
}

// coldPartRate returns the rate at which this VM may send requests to a cold target of which it owns
// a part.
func (v *View) coldPartRate(now thclock.Instant, s *service) float64 {
	return s.cold.rate / coldParts * v.usableColdShare(now)
}

// usableColdShare returns the fraction of its parts that this VM may use: the share of VMs that are
// live, so that the owners in all parts of a divided fleet together stay within the bound. It is 0
// if the VM does not know the fleet or hears none of it.
//
// The VMs that are not live count for as long as they are remembered, not for MemberTimeout only: a
// path may be lost for longer than that, and after it each part of the fleet would use the whole
// rate.
func (v *View) usableColdShare(now thclock.Instant) float64 {
	if !v.joined || v.Fleet.IsIsolated(now) {
		return 0
	}
	c := &v.coldShare
	if !now.Before(c.validUntil) || c.generation != v.Fleet.Generation() {
		live, silent := len(v.Fleet.Live()), len(v.Fleet.SilentPeers())
		*c = coldShare{share: thquota.UsableShare(live, live+silent), generation: v.Fleet.Generation(), validUntil: now.Add(coldShareValidity)}
		if live == 1 && silent > 0 {
			c.share = 0
		}
	}
	return c.share
}

// coldShareValidity is how long a computed share is used while the live VMs stay the same.
const coldShareValidity = 100 * time.Millisecond

// isThrottled reports whether the target is cold and this VM may send it no request now.
func (v *View) isThrottled(now thclock.Instant, s *service, t *target) bool {
	if !t.isCold {
		return false
	}
	if !t.ownsPart {
		return true
	}
	t.pace = t.pace.WithRate(now, v.coldPartRate(now, s))
	return !t.pace.IsReady(now)
}

// takeColdToken counts a request to the target, if that is cold. A token is not returned, even if
// the request does not reach the target.
func (t *target) takeColdToken(now thclock.Instant) {
	if t.isCold {
		t.pace, _ = t.pace.WithRequest(now)
	}
}

// addOwnedCold adds the cold targets of which this VM owns a part to the candidates.
func (v *View) addOwnedCold(now thclock.Instant, s *service, idempotent bool) {
	for _, t := range s.cold.targets {
		if t.ownsPart && !t.isEvacuated {
			v.candidates, v.candidateTargets = append(v.candidates, v.newCandidate(now, t, idempotent)), append(v.candidateTargets, t)
		}
	}
}

// usableAt returns when this VM may use the target again, which is paused or cold; a time that is not
// after now means that it may. Where only other VMs may use the target until it is warm, that is when
// one of them has a token at the latest.
func (v *View) usableAt(now thclock.Instant, s *service, t *target) thclock.Instant {
	if !v.isThrottled(now, s, t) {
		return t.pausedUntil
	}
	tokenAt := now.Add(time.Duration(coldParts / s.cold.rate * float64(time.Second)))
	if t.ownsPart && v.usableColdShare(now) > 0 {
		tokenAt = t.pace.ReadyAt()
	}
	return t.pausedUntil.Max(tokenAt.Min(t.warmupUntil))
}
