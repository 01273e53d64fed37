package thtable

import (
	"cmp"
	"slices"
)

// Target is one running process of a service, as it registered itself. Each
// start of a process is a target of its own.
type Target struct {
	// ID is unique over all starts.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Address is "IP:port"; targets that are gone leave theirs to others.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is how many requests the target runs at once.
	Slots int `json:"slots"`
	// Draining targets get no new requests.
	Draining bool `json:"leaving,omitempty"`
	// WarmupMillis is how much longer the target was slow after its start when it
	// was first listed.
	WarmupMillis int64 `json:"coldMillis,omitempty"`
	// StartMillis is when the process started, in Unix milliseconds; an ID may be
	// used again by a later start.
	StartMillis int64 `json:"start,omitempty"`
}

// TargetList is the targets of all services at one version of the list.
type TargetList struct {
	// Version orders lists; it only rises.
	Version uint64   `json:"version"`
	Targets []Target `json:"targets"`
}

// EqualTargets reports whether the targets are the same ones in the same state. How
// long they are still cold does not count: it changes all the time.
func EqualTargets(a, b []Target) bool {
	return slices.EqualFunc(a, b, func(x, y Target) bool {
		x.WarmupMillis, y.WarmupMillis = 0, 0
		return x == y
	})
}

// WithRetained returns the list with the targets of an older one that it lacks.
// After the store was away, entries that lapsed meanwhile come back within a
// short time, so that those that are missing at first are not taken as gone.
func (l TargetList) WithRetained(older []Target) TargetList {
	have := make(map[string]bool, len(l.Targets))
	for _, t := range l.Targets {
		have[t.ID] = true
	}
	l.Targets = slices.Clone(l.Targets)
	for _, t := range older {
		if !have[t.ID] {
			l.Targets = append(l.Targets, t)
		}
	}
	slices.SortFunc(l.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return l
}
