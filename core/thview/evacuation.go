package thview

import (
	"slices"

	"tamarackhollow/core/thclock"
)

// SetEvacuated replaces the availability zones whose targets get no requests by order of the
// operator. Targets of released zones count as cold until they report otherwise, where a bound for
// cold targets is configured. It returns the zones that are new and those that were released.
func (v *View) SetEvacuated(now thclock.Instant, zones []string) (added, released []string) {
	for _, z := range zones {
		if !slices.Contains(v.evacuated, z) {
			added = append(added, z)
		}
	}
	for _, z := range v.evacuated {
		if !slices.Contains(zones, z) {
			released = append(released, z)
		}
	}
	v.evacuated = slices.Clone(zones)
	for _, s := range v.services {
		for _, t := range s.targets {
			t.isEvacuated = slices.Contains(zones, t.Zone)
			if slices.Contains(released, t.Zone) {
				s.assumeCold(now, t)
			}
		}
		s.dropRings()
		v.updateCold(now, s)
	}
	return added, released
}

// isEvacuated reports whether the service has targets and all of them are in evacuated zones.
func (s *service) isEvacuated() bool {
	return len(s.targets) > 0 && !slices.ContainsFunc(s.targets, func(t *target) bool { return !t.isEvacuated })
}
