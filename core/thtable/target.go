package thtable

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
)

// Target is one running process of a service, as it registered itself. A process
// that is started again is another target.
type Target struct {
	// ID identifies the target among all that are listed at one time.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Address is "IP:port". It may be that of an earlier target which is gone.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// Draining is set if the target must get no new requests.
	Draining bool `json:"leaving,omitempty"`
	// WarmupMillis is how much of the target's warm-up was left when the list was read that
	// first had this report. The target is slow until it has warmed up.
	WarmupMillis int64 `json:"coldMillis,omitempty"`
	// WarmupAgeMillis is how long ago that was when the target was sent to this VM. It is not
	// part of the content.
	WarmupAgeMillis int64 `json:"coldAgeMillis,omitempty"`
	// StartMillis is when the process started, in Unix milliseconds. It tells
	// targets apart whose processes used the same ID one after the other.
	StartMillis int64 `json:"start,omitempty"`
	// Sequence counts what the process has written of itself since its start, up to when the
	// list was read. It is not part of the content.
	Sequence int64 `json:"seq,omitempty"`
}

// WarmUntil returns until when a target is warming up that was received at the given time.
func (t Target) WarmUntil(receivedAt thclock.Instant) thclock.Instant {
	return receivedAt.Add(time.Duration(t.WarmupMillis-t.WarmupAgeMillis) * time.Millisecond)
}

// HasReportOf reports whether the target is the same process as the other one and both have the
// same report of its warm-up.
func (t Target) HasReportOf(o Target) bool {
	return t.ID == o.ID && t.StartMillis == o.StartMillis && t.WarmupMillis == o.WarmupMillis
}

// TargetList is the list of all services' targets at one position of the store.
type TargetList struct {
	// Position orders lists.
	Position
	Targets []Target `json:"targets"`
	// Left holds targets that have recently left the list, and Earlier what the sender of the
	// list keeps against it. Neither is part of the content.
	Left    []LeftTarget    `json:"left,omitempty"`
	Earlier []EarlierTarget `json:"earlier,omitempty"`
}

// EarlierTarget is what a VM knows of a target, by a list of an earlier era of the store.
type EarlierTarget struct {
	Target
	Era uint64 `json:"era"`
}

// UnknownSequence is the sequence number of a target that has left and may have written more than
// is known. No later number is known to be higher.
const UnknownSequence = math.MaxInt64

// LeftTarget is a target that is no longer listed.
type LeftTarget struct {
	ID          string `json:"id"`
	StartMillis int64  `json:"start,omitempty"`
	// Sequence is the highest that it may have written, or UnknownSequence.
	Sequence int64 `json:"seq,omitempty"`
	// Era is that of the list which it left.
	Era uint64 `json:"era,omitempty"`
}

// TargetSet is a list of targets with its digest. It is immutable. The zero
// TargetSet has the zero position and no targets.
type TargetSet struct {
	list   TargetList
	digest Digest
}

// NewTargetSet returns the set of the list's targets.
func NewTargetSet(l TargetList) TargetSet {
	l.Targets = slices.Clone(l.Targets)
	sortTargets(l.Targets)
	return TargetSet{list: l, digest: emptyTargetsDigest + digestRows(l.Targets)}
}

// List returns the list that the set holds, ordered by ID. It must not be modified.
func (s TargetSet) List() TargetList { return s.list }

// Digest returns the digest of the set's content; 0 if no list was loaded.
func (s TargetSet) Digest() Digest { return s.digest }

// EqualTargets reports whether both lists hold the same targets in the same state
// and order. What changes with each read is ignored.
func EqualTargets(a, b []Target) bool {
	return slices.EqualFunc(a, b, equalTargets)
}

// sortTargets orders the targets by ID.
func sortTargets(ts []Target) {
	slices.SortFunc(ts, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
}

// WithRetained returns the list, ordered by ID, with the targets added that only
// the older one holds. It is used for a short time after an outage of the store:
// entries that expired during the outage are written again soon, so that targets
// which the list lacks at first are not taken as gone.
func (l TargetList) WithRetained(older []Target) TargetList {
	listed := make(map[string]bool, len(l.Targets))
	for _, t := range l.Targets {
		listed[t.ID] = true
	}
	l.Targets = slices.Clone(l.Targets)
	for _, t := range older {
		if !listed[t.ID] {
			l.Targets = append(l.Targets, t)
		}
	}
	sortTargets(l.Targets)
	return l
}
