package thquarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sameCrashWindow is the time within which two reports of a crash of the same
	// target are taken as one crash that two VMs saw. A crashed target takes longer
	// than that to restart and crash again.
	sameCrashWindow = 500 * time.Millisecond
	// confirmationWindow is the time after a closed connection within which the
	// target has to refuse a new one to confirm that it crashed.
	confirmationWindow = 3 * time.Second
	// firstQuarantine is how long a request that has just reached quarantineWeight
	// stays quarantined after its last crash. The time doubles with each further
	// confirmed crash, up to maxQuarantine.
	firstQuarantine = 10 * time.Minute
	maxQuarantine   = 4 * time.Hour
	// crashRetention is how long a suspect is kept after its last crash.
	crashRetention = 24 * time.Hour
	// maxCrashes bounds the crashes that are kept per suspect.
	maxCrashes = 8

	// A closed connection alone may be a network fault, so an unconfirmed crash
	// weighs less than one that a refused connection confirms.
	unconfirmedWeight = 1
	confirmedWeight   = 2
	// fewTargets is the number of targets up to which unconfirmed crashes count
	// at most once per target: the target or the network path to it may be at
	// fault rather than the request.
	fewTargets = 2
	// quarantineWeight is the weight from which a request is quarantined.
	quarantineWeight = 6
)

// Crash is a suspected or confirmed crash of a target: its connection closed while
// it ran a request.
type Crash struct {
	Target string
	// At is when this VM saw the crash or received a report of it, by its monotonic
	// clock.
	At time.Duration
	// Confirmed is set if the target refused a connection soon afterwards.
	Confirmed bool
	// DuringAnswer is set if the connection closed after the answer had begun. Such
	// a crash counts only once confirmed, since the answer may just have been
	// malformed.
	DuringAnswer bool
}

// Suspect holds the crashes that coincided with one request. It is immutable.
// The zero Suspect has no crashes.
type Suspect struct {
	Key Key
	// Crashes holds the latest crashes, at most maxCrashes, ordered by time.
	Crashes []Crash
	// ClearedAt is when a target last answered the request completely. Crashes up
	// to then no longer count.
	ClearedAt time.Duration
}

// WithCrash returns the suspect with the crash added, or merged into one of the
// same target within sameCrashWindow.
func (s Suspect) WithCrash(crash Crash) Suspect {
	crashes := slices.Clone(s.Crashes)
	for i, c := range crashes {
		if c.Target == crash.Target && (c.At-crash.At).Abs() < sameCrashWindow {
			crashes[i].At = min(c.At, crash.At)
			crashes[i].Confirmed = c.Confirmed || crash.Confirmed
			crashes[i].DuringAnswer = c.DuringAnswer && crash.DuringAnswer
			s.Crashes = crashes
			return s
		}
	}
	crashes = append(crashes, crash)
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Target, b.Target)) })
	s.Crashes = crashes[max(0, len(crashes)-maxCrashes):]
	return s
}

// WithAnswer returns the suspect cleared of all crashes up to the given time.
func (s Suspect) WithAnswer(at time.Duration) Suspect {
	s.ClearedAt = max(s.ClearedAt, at)
	return s
}

// WithConnectionRefused returns the suspect after the target refused a connection
// at the given time, which confirms the target's crashes of less than
// confirmationWindow before.
func (s Suspect) WithConnectionRefused(target string, at time.Duration) Suspect {
	for i, c := range s.Crashes {
		if c.Target == target && !c.Confirmed && at >= c.At && at-c.At < confirmationWindow {
			s.Crashes = slices.Clone(s.Crashes)
			s.Crashes[i].Confirmed = true
		}
	}
	return s
}

// countedCrashes returns the crashes since the request was last answered.
func (s Suspect) countedCrashes() []Crash {
	i := slices.IndexFunc(s.Crashes, func(c Crash) bool { return c.At > s.ClearedAt })
	if i < 0 {
		return nil
	}
	return s.Crashes[i:]
}

// weight returns the summed weight of the counted crashes.
func (s Suspect) weight() int {
	confirmed, unconfirmed := 0, 0
	var targets []string
	for _, c := range s.countedCrashes() {
		switch {
		case c.Confirmed:
			confirmed++
		case c.DuringAnswer:
			continue
		default:
			unconfirmed++
		}
		if !slices.Contains(targets, c.Target) {
			targets = append(targets, c.Target)
		}
	}
	if len(targets) <= fewTargets {
		unconfirmed = min(unconfirmed, len(targets))
	}
	return confirmed*confirmedWeight + unconfirmed*unconfirmedWeight
}

// QuarantinedUntil returns when the quarantine of the request ends, by the
// monotonic clock, and 0 if its weight is below quarantineWeight.
func (s Suspect) QuarantinedUntil() time.Duration {
	excess := s.weight() - quarantineWeight
	if excess < 0 {
		return 0
	}
	last := s.Crashes[len(s.Crashes)-1].At
	return last + min(maxQuarantine, firstQuarantine<<(excess/confirmedWeight))
}

// ExpiresAt returns when the crashes need no longer be kept, by the monotonic
// clock, and 0 if none of them counts.
func (s Suspect) ExpiresAt() time.Duration {
	if len(s.countedCrashes()) == 0 {
		return 0
	}
	return max(s.QuarantinedUntil(), s.Crashes[len(s.Crashes)-1].At+crashRetention)
}
