package thpick

import "slices"

// Exclusion says why a target may not run a request.
type Exclusion uint8

const (
	// NotExcluded means that the target may run the request.
	NotExcluded Exclusion = iota
	// ExcludedAsDraining means that the target drains, by the list or by its own word.
	ExcludedAsDraining
	// ExcludedAsEvacuated means that the target is in an evacuated availability zone.
	ExcludedAsEvacuated
	// ExcludedAsThrottled means that the target is cold and its bound leaves this VM no request now.
	ExcludedAsThrottled
	// ExcludedAsPaused means that the target has asked for a pause that has not ended.
	ExcludedAsPaused
	// ExcludedAsTried means that the request was sent to the target before.
	ExcludedAsTried
)

// String returns the reason as operators' answers name it, or "" for NotExcluded.
func (e Exclusion) String() string {
	switch e {
	case ExcludedAsDraining:
		return "draining"
	case ExcludedAsEvacuated:
		return "evacuated"
	case ExcludedAsThrottled:
		return "throttled"
	case ExcludedAsPaused:
		return "paused"
	case ExcludedAsTried:
		return "tried"
	default:
		return ""
	}
}

// ExclusionOf returns why the candidate may not run the request, or NotExcluded. If there are
// several reasons, it returns the one whose constant comes first.
func ExclusionOf(q Query, c Candidate) Exclusion {
	switch {
	case c.Target.Draining:
		return ExcludedAsDraining
	case c.IsEvacuated:
		return ExcludedAsEvacuated
	case c.IsThrottled:
		return ExcludedAsThrottled
	case c.IsPaused(q.Now):
		return ExcludedAsPaused
	case slices.Contains(q.Tried, c.Target.ID):
		return ExcludedAsTried
	default:
		return NotExcluded
	}
}
