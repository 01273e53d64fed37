package thtable

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// RelistTimeout is how long a target may take to be listed again by a store that was away.
	// By the platform's specification it is gone if it is still missing after about two
	// seconds.
	RelistTimeout = 2200 * time.Millisecond
	// restoredRelistTimeout is RelistTimeout for a store that has come back from an older copy,
	// with the time until the list has been read once more and has reached all VMs.
	restoredRelistTimeout = RelistTimeout + 800*time.Millisecond
	// knowledgeTime is how long a VM keeps what it knew against an older copy, and how long
	// it remembers targets that have left. Copies are some seconds old.
	knowledgeTime = time.Minute
)

// KnownTargets is what a VM remembers of targets, so that a list which the store has from an older
// copy of itself does not take back what they have said since: a target that was draining or has
// left gets no requests, and one that the copy does not know yet goes on to get them. It is
// immutable; the zero KnownTargets remembers nothing.
type KnownTargets struct {
	position Position
	targets  map[string]knownTarget
	// eraSince is when the first VM is known to have seen the current era, relistBy when targets
	// that a restored store does not list count as gone, and keepUntil until when what was known
	// before is kept against its lists. They are zero if this VM has seen no other era.
	eraSince, relistBy, keepUntil thclock.Instant
	// dueAt is when Targets changes without another list; zero if it does not.
	dueAt thclock.Instant
}

// knownTarget is the last that a target has said of itself, as far as the VM knows.
type knownTarget struct {
	Target
	// era is that of the list that said it.
	era uint64
	// forgetAt is when a target that has left the list is forgotten; zero if it has not left.
	forgetAt thclock.Instant
	// warmUntil is until when the target warms up by its last report.
	warmUntil thclock.Instant
}

// newKnownTarget returns what a list of the era says of a target, given what was known of it.
func newKnownTarget(now thclock.Instant, t Target, era uint64, before knownTarget) knownTarget {
	k := knownTarget{Target: t, era: era, warmUntil: before.warmUntil}
	if before.hasLeft() || !t.HasReportOf(before.Target) {
		k.warmUntil = t.WarmUntil(now)
	}
	return k
}

func (t knownTarget) hasLeft() bool { return t.forgetAt != thclock.Instant{} }

// leaving returns the target as one that leaves the list of the era now.
func (t knownTarget) leaving(now thclock.Instant, era uint64) knownTarget {
	t.era, t.forgetAt = era, now.Add(knowledgeTime)
	return t
}

// isNewerThan reports whether what is remembered of a target was said later than what a list of a
// later era holds of it. Of two words that can't be ordered, the one by which the target gets no
// requests counts.
func (t knownTarget) isNewerThan(listed Target) bool {
	order := cmp.Or(cmp.Compare(t.StartMillis, listed.StartMillis), cmp.Compare(t.Sequence, listed.Sequence))
	return order > 0 || order == 0 && (t.hasLeft() || t.Draining)
}

// Kept is a target of which a restored store holds something older than the VM.
type Kept struct {
	ID  string
	Why KeptReason
}

// KeptReason says what the VM knows of a target that a restored store does not.
type KeptReason string

// The reasons. Any target that the restored store does not list is unlisted.
const (
	KeptLeft     KeptReason = "left"
	KeptDraining KeptReason = "draining"
	KeptNewer    KeptReason = "newer"
	KeptUnlisted KeptReason = "unlisted"
)

// WithList returns what is known after a list that is not before the last one, or after the same
// one at a later time. If the list is the first one of its era, it also returns which targets the
// VM keeps against it; eraSince is when the first VM is known to have seen that era, and has no
// meaning for other lists.
func (r KnownTargets) WithList(now thclock.Instant, list TargetList, eraSince thclock.Instant) (KnownTargets, []Kept) {
	next := KnownTargets{
		position: list.Position, eraSince: r.eraSince, relistBy: r.relistBy, keepUntil: r.keepUntil,
		targets: make(map[string]knownTarget, len(r.targets)+len(list.Targets)),
	}
	isNewEra := !r.position.IsZero() && list.Era > r.position.Era
	if isNewEra {
		next.eraSince, next.relistBy, next.keepUntil = eraSince, eraSince.Add(restoredRelistTimeout), now.Add(knowledgeTime)
	}
	known := next.withKnowledgeOf(now, r.targets, list)
	if len(list.Earlier) > 0 && next.relistBy == (thclock.Instant{}) {
		next.relistBy = eraSince.Add(restoredRelistTimeout)
	}
	kept := next.recordListed(now, known, list)
	kept = append(kept, next.recordUnlisted(now, known)...)
	if !isNewEra {
		return next, nil
	}
	return next, kept
}

// withKnowledgeOf returns what was known of targets, by this VM or the sender of the list. The list
// may say something older if the store has it from an older copy.
func (r *KnownTargets) withKnowledgeOf(now thclock.Instant, known map[string]knownTarget, list TargetList) map[string]knownTarget {
	if len(list.Left)+len(list.Earlier) == 0 {
		return known
	}
	all := make(map[string]knownTarget, len(known)+len(list.Left)+len(list.Earlier))
	maps.Copy(all, known)
	learn := func(word knownTarget) {
		k, ok := all[word.ID]
		switch {
		case ok && k.hasLeft() && word.hasLeft() && k.StartMillis == word.StartMillis:
			k.Sequence = min(k.Sequence, word.Sequence) // one of the VMs may not know it
			word = k
		case ok && !word.isNewerThan(k.Target):
			return
		case word.era < r.position.Era:
			r.keepUntil = r.keepUntil.Max(now.Add(knowledgeTime))
		}
		all[word.ID] = word
	}
	for _, l := range list.Left {
		learn(knownTarget{Target: Target{ID: l.ID, StartMillis: l.StartMillis, Sequence: l.Sequence}}.leaving(now, l.Era))
	}
	for _, k := range list.Earlier {
		learn(newKnownTarget(now, k.Target, k.Era, known[k.ID]))
	}
	return all
}

// recordListed records the targets of the list, or what was known of them if that is newer.
func (r *KnownTargets) recordListed(now thclock.Instant, known map[string]knownTarget, list TargetList) (kept []Kept) {
	for _, t := range list.Targets {
		k, ok := known[t.ID]
		if ok && k.era < list.Era && now.Before(r.keepUntil) && k.isNewerThan(t) {
			r.targets[t.ID] = k
			r.noteDue(r.keepUntil)
			kept = append(kept, Kept{ID: t.ID, Why: k.reason()})
			continue
		}
		r.targets[t.ID] = newKnownTarget(now, t, list.Era, k)
	}
	return kept
}

// recordUnlisted records what was known of the targets that the list lacks.
func (r *KnownTargets) recordUnlisted(now thclock.Instant, known map[string]knownTarget) (kept []Kept) {
	for id, k := range known {
		_, isListed := r.targets[id]
		switch {
		case isListed, k.hasLeft() && !now.Before(k.forgetAt):
		case k.hasLeft():
			r.targets[id] = k
		case k.era < r.position.Era && now.Before(r.relistBy):
			r.targets[id] = k
			r.noteDue(r.relistBy)
			kept = append(kept, Kept{ID: id, Why: KeptUnlisted})
		default:
			k.Sequence = UnknownSequence
			r.targets[id] = k.leaving(now, r.position.Era)
		}
	}
	return kept
}

// noteDue records that Targets changes at a time.
func (r *KnownTargets) noteDue(at thclock.Instant) {
	if r.dueAt == (thclock.Instant{}) || at.Before(r.dueAt) {
		r.dueAt = at
	}
}

func (t knownTarget) reason() KeptReason {
	switch {
	case t.hasLeft():
		return KeptLeft
	case t.Draining:
		return KeptDraining
	}
	return KeptNewer
}

// IsDue reports whether WithList has to be called with the same list again, since the time has
// come to which a target was kept.
func (r KnownTargets) IsDue(now thclock.Instant) bool {
	return r.dueAt != (thclock.Instant{}) && !now.Before(r.dueAt)
}

// WithEraSince returns what is known if a VM saw the era of the list at the
// given time.
func (r KnownTargets) WithEraSince(since thclock.Instant) KnownTargets {
	if r.relistBy == (thclock.Instant{}) || !since.Before(r.eraSince) {
		return r
	}
	r.eraSince, r.relistBy = since, since.Add(restoredRelistTimeout)
	r.noteDue(r.relistBy)
	return r
}

// Targets returns the targets that are listed or kept, ordered by ID.
func (r KnownTargets) Targets() []Target {
	ts := make([]Target, 0, len(r.targets))
	for _, t := range r.targets {
		if !t.hasLeft() {
			ts = append(ts, t.Target)
		}
	}
	sortTargets(ts)
	return ts
}

// WithKnowledge returns the list, which is the last one, with what a VM that has just started needs
// besides: which targets have left, and what is kept against the list.
func (r KnownTargets) WithKnowledge(list TargetList) TargetList {
	list.Left, list.Earlier = nil, nil
	for _, t := range r.targets {
		switch {
		case t.hasLeft():
			list.Left = append(list.Left, LeftTarget{ID: t.ID, StartMillis: t.StartMillis, Sequence: t.Sequence, Era: t.era})
		case t.era < r.position.Era:
			list.Earlier = append(list.Earlier, EarlierTarget{Target: t.Target, Era: t.era})
		}
	}
	slices.SortFunc(list.Left, func(a, b LeftTarget) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(list.Earlier, func(a, b EarlierTarget) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
