package thview

import (
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
)

// pickDecision is what Pick decides, before it carries anything out.
type pickDecision struct {
	query thpick.Query
	// hasTarget is set if a target was eligible; then chosen is the index of the best one in
	// View.candidates, also if the request is refused because it would wait there too long.
	hasTarget  bool
	chosen     int
	keepsFloor bool
	// refusal is nil if the request is sent to the chosen target.
	refusal *Refusal
}

// decidePick decides what Pick does. It counts and takes nothing: apart from drawing from
// Options.Rand, it changes only v.candidates and caches. Explain calls it on a detached view.
func (v *View) decidePick(now thclock.Instant, request *thmessage.Request, s *service, tried []string, retryable bool) pickDecision {
	d := pickDecision{query: v.newQuery(now, request, s, tried, retryable)}
	if len(tried) > 0 && !s.retryBudget.HasRoom(now, v.retryRule(now)) {
		d.refusal = &Refusal{OverBudget: true}
		return d
	}
	d.chosen, d.hasTarget = thpick.Pick(v.options.Rand, d.query, v.candidates)
	if !d.hasTarget && len(v.candidates) < len(s.targets) {
		v.fillWithAll(now, s, request)
		d.chosen, d.hasTarget = thpick.Pick(v.options.Rand, d.query, v.candidates)
	}
	if !d.hasTarget {
		d.refusal = v.refuseWithoutTarget(now, s)
		return d
	}
	if unused, ok := thpick.PickUnused(d.query, v.candidates, v.options.FloorShare, s.floor.IsEnforced(now), d.chosen); ok {
		d.chosen, d.keepsFloor = unused, true
	}
	if retryAfter, shed := thpick.ShouldShed(d.query, v.candidates[d.chosen]); shed && len(tried) == 0 {
		d.refusal = &Refusal{Overloaded: true, RetryAfter: retryAfter}
	}
	return d
}

// countsAsFailure reports whether the refusal counts as a failed request for the service's floor:
// only if the service has targets that could be used later.
func (r *Refusal) countsAsFailure() bool { return r.Overloaded || r.Paused || r.Cold }
