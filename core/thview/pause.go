package thview

import (
	"math"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// spreadShare is the part of a pause by which it is prolonged at most, and maxSpread the
	// time: VMs and callers that were turned away together should not return together.
	spreadShare = 0.1
	maxSpread   = time.Second
	// retryAfterEvacuated is the time after which a request to a service may be sent again whose
	// targets are all in evacuated zones. Nothing tells when a zone is released; a VM learns of it
	// within five seconds.
	retryAfterEvacuated = time.Second
)

// Pause keeps new requests of this VM from the target of the pick until the given time, or a
// little longer. It never ends a pause earlier, and holds for the target's current process
// only. Pause reports whether the target was not paused before.
func (v *View) Pause(now thclock.Instant, p Picked, until thclock.Instant) (isNew bool) {
	t := v.pickedTarget(p)
	if t == nil || !now.Before(until) {
		return false
	}
	isNew = !now.Before(t.pausedUntil)
	t.pausedUntil = t.pausedUntil.Max(until.Add(v.pauseSpread(until.Sub(now))))
	return isNew
}

// IgnorePause records that the target of the pick asked for a pause that could not be read,
// and reports whether it is the first one of its current process.
func (v *View) IgnorePause(p Picked) (isFirst bool) {
	t := v.pickedTarget(p)
	if t == nil || t.pauseIgnored {
		return false
	}
	t.pauseIgnored = true
	return true
}

// pauseSpread returns by how much to prolong a pause, drawn at random.
func (v *View) pauseSpread(pause time.Duration) time.Duration {
	return time.Duration(v.options.Rand.Float64() * min(spreadShare*float64(pause), float64(maxSpread)))
}

// RetryAfterPause returns the time after which a request to the service may be sent again
// because all of its targets that neither drain nor are evacuated have asked for a pause or
// are cold: once the first pause ends, the first token for a cold target is available or the first of
// these is warm, or a little later. It returns 0 if a target may be used.
func (v *View) RetryAfterPause(now thclock.Instant, name string) time.Duration {
	after, _ := v.firstUsable(now, v.service(name))
	return after
}

// firstUsable is RetryAfterPause, and also returns whether a target is cold and not paused.
func (v *View) firstUsable(now thclock.Instant, s *service) (after time.Duration, cold bool) {
	first := time.Duration(math.MaxInt64)
	for _, t := range s.targets {
		usableAt := v.usableAt(now, s, t)
		switch {
		case t.current().Draining, t.isEvacuated:
		case !now.Before(usableAt):
			return 0, false
		default:
			first = min(first, usableAt.Sub(now))
			cold = cold || !now.Before(t.pausedUntil)
		}
	}
	if first == math.MaxInt64 {
		return 0, false
	}
	return first + v.pauseSpread(first), cold
}

// refuseWithoutTarget returns the refusal of a request for which no target is left.
func (v *View) refuseWithoutTarget(now thclock.Instant, s *service) *Refusal {
	if s.isEvacuated() {
		return &Refusal{Evacuated: true, RetryAfter: retryAfterEvacuated}
	}
	if after, cold := v.firstUsable(now, s); after > 0 {
		return &Refusal{Paused: !cold, Cold: cold, RetryAfter: after}
	}
	return &Refusal{RetryAfter: retryAfterNoTarget}
}
