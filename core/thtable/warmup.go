package thtable

import (
	"slices"
	"time"

	"tamarackhollow/core/thclock"
)

// warmupTolerance is by how much the end of a target's warm-up may differ from the one known before
// without being passed on. A row is up to 1.5 s old when it is read, and a little older at the VM
// that reads next. The first reports are late rather than early, so that a target is not taken for
// warm before it is.
const warmupTolerance = 2 * time.Second

// WithKnownWarmups returns the targets of a list that was just read from the store, with the
// warm-up that was passed on before where the new report says the same. It answers the load of
// hundreds of targets that start together, whose remaining time is another one at each read: what
// is passed on changes once for each warm-up.
func (r KnownTargets) WithKnownWarmups(now thclock.Instant, targets []Target) []Target {
	targets = slices.Clone(targets)
	for i, t := range targets {
		k, ok := r.targets[t.ID]
		switch {
		case !ok, k.hasLeft(), k.StartMillis != t.StartMillis:
		case isSameWarmup(now, k.warmUntil, t.WarmUntil(now)):
			targets[i].WarmupMillis = k.WarmupMillis
		case k.WarmupMillis == t.WarmupMillis:
			targets[i].WarmupMillis++ // it has become cold again, for as long as before
		}
	}
	return targets
}

// isSameWarmup reports whether two reports of a warm-up say the same, the later of which is not
// before now: both that the target is warm, or ends that differ by warmupTolerance at most.
func isSameWarmup(now, known, reported thclock.Instant) bool {
	if !now.Before(reported) {
		return known.Sub(now) <= warmupTolerance
	}
	difference := reported.Sub(known)
	return difference <= warmupTolerance && difference >= -warmupTolerance
}

// WithWarmupAges returns the targets, which are those of a list or change that this VM has applied,
// for another VM: with the time that has passed since their warm-up was reported.
func (r KnownTargets) WithWarmupAges(now thclock.Instant, targets []Target) []Target {
	targets = slices.Clone(targets)
	for i, t := range targets {
		if k, ok := r.targets[t.ID]; ok && t.WarmupMillis > 0 && t.HasReportOf(k.Target) {
			targets[i].WarmupAgeMillis = t.WarmupMillis - k.warmUntil.Sub(now).Milliseconds()
		}
	}
	return targets
}
