package thquarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sameCrashWindow is the time within which two deaths of a target are one that two
	// VMs tell of. A target that died takes longer to come back and die again.
	sameCrashWindow = 500 * time.Millisecond
	// confirmationWindow is how soon after a cut a target has to refuse connections
	// for the cut to have been its death.
	confirmationWindow = 3 * time.Second
	// firstQuarantine is how long the first quarantine lasts after the last death; it
	// doubles with each further death up to maxHold.
	firstQuarantine = 10 * time.Minute
	maxQuarantine   = 4 * time.Hour
	// crashRetention is how long a death is remembered.
	crashRetention = 24 * time.Hour
	maxCrashes     = 8

	// A cut connection alone may be the network's doing, so it counts less
	// than a death that the target's refusal of connections confirms.
	unconfirmedWeight = 1
	confirmedWeight   = 2
	// fewTargets is the number of targets up to which unconfirmed cuts at the
	// same target count once: they may be the target's or the path's doing.
	fewTargets       = 2
	quarantineWeight = 6
)

// Crash is one end of a target while it ran a request.
type Crash struct {
	Target string
	// At is when the VM heard of it, by its steady clock.
	At time.Duration
	// Confirmed is set if the target refused connections right after.
	Confirmed bool
	// DuringAnswer is set if the connection ended within an answer, which counts
	// only if the death is confirmed: the answer may just have been wrong.
	DuringAnswer bool
}

// Suspect is what is known of one request that coincided with deaths. It is
// immutable. The zero Suspect is of no deaths.
type Suspect struct {
	Key Key
	// Crashes are ordered by time.
	Crashes []Crash
	// ClearedAt is when a target last answered the request whole.
	ClearedAt time.Duration
}

// WithCrash returns the suspect with the death added, or joined to the same
// death as another saw it.
func (s Suspect) WithCrash(d Crash) Suspect {
	ds := slices.Clone(s.Crashes)
	for i, o := range ds {
		if o.Target == d.Target && (o.At-d.At).Abs() < sameCrashWindow {
			ds[i].At = min(o.At, d.At)
			ds[i].Confirmed = o.Confirmed || d.Confirmed
			ds[i].DuringAnswer = o.DuringAnswer && d.DuringAnswer
			s.Crashes = ds
			return s
		}
	}
	ds = append(ds, d)
	slices.SortFunc(ds, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Target, b.Target)) })
	s.Crashes = ds[max(0, len(ds)-maxCrashes):]
	return s
}

// WithAnswer returns the suspect cleared of the deaths until then.
func (s Suspect) WithAnswer(at time.Duration) Suspect {
	s.ClearedAt = max(s.ClearedAt, at)
	return s
}

// WithConnectionRefused returns the suspect after the target refused a connection.
func (s Suspect) WithConnectionRefused(target string, at time.Duration) Suspect {
	for i, d := range s.Crashes {
		if d.Target == target && !d.Confirmed && at >= d.At && at-d.At < confirmationWindow {
			s.Crashes = slices.Clone(s.Crashes)
			s.Crashes[i].Confirmed = true
		}
	}
	return s
}

// countedCrashes returns the deaths that still count.
func (s Suspect) countedCrashes() []Crash {
	i := slices.IndexFunc(s.Crashes, func(d Crash) bool { return d.At > s.ClearedAt })
	if i < 0 {
		return nil
	}
	return s.Crashes[i:]
}

// weight sums up the deaths that count.
func (s Suspect) weight() int {
	deaths, cuts := 0, 0
	var targets []string
	for _, d := range s.countedCrashes() {
		switch {
		case d.Confirmed:
			deaths++
		case d.DuringAnswer:
			continue
		default:
			cuts++
		}
		if !slices.Contains(targets, d.Target) {
			targets = append(targets, d.Target)
		}
	}
	if len(targets) <= fewTargets {
		cuts = min(cuts, len(targets))
	}
	return deaths*confirmedWeight + cuts*unconfirmedWeight
}

// QuarantinedUntil returns when the request may be tried again, by the steady clock;
// zero if it is not quarantined.
func (s Suspect) QuarantinedUntil() time.Duration {
	over := s.weight() - quarantineWeight
	if over < 0 {
		return 0
	}
	last := s.Crashes[len(s.Crashes)-1].At
	return last + min(maxQuarantine, firstQuarantine<<(over/confirmedWeight))
}

// ExpiresAt returns when the suspect can be forgotten.
func (s Suspect) ExpiresAt() time.Duration {
	if len(s.countedCrashes()) == 0 {
		return 0
	}
	return max(s.QuarantinedUntil(), s.Crashes[len(s.Crashes)-1].At+crashRetention)
}
