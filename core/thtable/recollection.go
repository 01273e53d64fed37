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
	// recollectionTime is how long a VM keeps what it knew against an older copy, and how long
	// it remembers targets that have left. Copies are some seconds old.
	recollectionTime = time.Minute
)

// Recollection is what a VM remembers of targets, so that a list which the store has from an older
// copy of itself does not take back what they have said since: a target that was draining or has
// left gets no requests, and one that the copy does not know yet goes on to get them. It is
// immutable; the zero Recollection remembers nothing.
type Recollection struct {
	position Position
	targets  map[string]recollected
	// eraSince is when the first VM is known to have seen the current era, relistBy when targets
	// that a restored store does not list count as gone, and keepUntil until when what was known
	// before is kept against its lists. They are zero if this VM has seen no other era.
	eraSince, relistBy, keepUntil thclock.Instant
	// dueAt is when Targets changes without another list; zero if it does not.
	dueAt thclock.Instant
}

// recollected is the last that a target has said of itself, as far as the VM knows.
type recollected struct {
	Target
	// era is that of the list that said it.
	era uint64
	// forgetAt is when a target that has left the list is forgotten; zero if it has not left.
	forgetAt thclock.Instant
}

func (t recollected) hasLeft() bool { return t.forgetAt != thclock.Instant{} }

// leaving returns the target as one that leaves the list of the era now.
func (t recollected) leaving(now thclock.Instant, era uint64) recollected {
	t.era, t.forgetAt = era, now.Add(recollectionTime)
	return t
}

// isNewerThan reports whether what is remembered of a target was said later than what a list of a
// later era holds of it. Of two words that can't be ordered, the one by which the target gets no
// requests counts.
func (t recollected) isNewerThan(listed Target) bool {
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

// WithList returns the recollection after a list that is not before the last one, or after the same
// one at a later time. If the list is the first one of its era, it also returns which targets the
// VM keeps against it; eraSince is when the first VM is known to have seen that era, and has no
// meaning for other lists.
func (r Recollection) WithList(now thclock.Instant, list TargetList, eraSince thclock.Instant) (Recollection, []Kept) {
	next := Recollection{
		position: list.Position, eraSince: r.eraSince, relistBy: r.relistBy, keepUntil: r.keepUntil,
		targets: make(map[string]recollected, len(r.targets)+len(list.Targets)),
	}
	isNewEra := !r.position.IsZero() && list.Era > r.position.Era
	if isNewEra {
		next.eraSince, next.relistBy, next.keepUntil = eraSince, eraSince.Add(restoredRelistTimeout), now.Add(recollectionTime)
	}
	known := next.withKnowledgeOf(now, r.targets, list)
	if len(list.Kept) > 0 && next.relistBy == (thclock.Instant{}) {
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
func (r *Recollection) withKnowledgeOf(now thclock.Instant, known map[string]recollected, list TargetList) map[string]recollected {
	if len(list.Left)+len(list.Kept) == 0 {
		return known
	}
	all := make(map[string]recollected, len(known)+len(list.Left)+len(list.Kept))
	maps.Copy(all, known)
	learn := func(word recollected) {
		k, ok := all[word.ID]
		switch {
		case ok && k.hasLeft() && word.hasLeft() && k.StartMillis == word.StartMillis:
			k.Sequence = min(k.Sequence, word.Sequence) // one of the VMs may not know it
			word = k
		case ok && !word.isNewerThan(k.Target):
			return
		case word.era < r.position.Era:
			r.keepUntil = r.keepUntil.Max(now.Add(recollectionTime))
		}
		all[word.ID] = word
	}
	for _, l := range list.Left {
		learn(recollected{Target: Target{ID: l.ID, StartMillis: l.StartMillis, Sequence: l.Sequence}}.leaving(now, l.Era))
	}
	for _, k := range list.Kept {
		learn(recollected{Target: k.Target, era: k.Era})
	}
	return all
}

// recordListed records the targets of the list, or what was known of them if that is newer.
func (r *Recollection) recordListed(now thclock.Instant, known map[string]recollected, list TargetList) (kept []Kept) {
	for _, t := range list.Targets {
		k, ok := known[t.ID]
		if ok && k.era < list.Era && now.Before(r.keepUntil) && k.isNewerThan(t) {
			r.targets[t.ID] = k
			r.noteDue(r.keepUntil)
			kept = append(kept, Kept{ID: t.ID, Why: k.reason()})
			continue
		}
		r.targets[t.ID] = recollected{Target: t, era: list.Era}
	}
	return kept
}

// recordUnlisted records what was known of the targets that the list lacks.
func (r *Recollection) recordUnlisted(now thclock.Instant, known map[string]recollected) (kept []Kept) {
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
func (r *Recollection) noteDue(at thclock.Instant) {
	if r.dueAt == (thclock.Instant{}) || at.Before(r.dueAt) {
		r.dueAt = at
	}
}

func (t recollected) reason() KeptReason {
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
func (r Recollection) IsDue(now thclock.Instant) bool {
	return r.dueAt != (thclock.Instant{}) && !now.Before(r.dueAt)
}

// WithEraSince returns the recollection with the knowledge that a VM saw the era of the list at the
// given time.
func (r Recollection) WithEraSince(since thclock.Instant) Recollection {
	if r.relistBy == (thclock.Instant{}) || !since.Before(r.eraSince) {
		return r
	}
	r.eraSince, r.relistBy = since, since.Add(restoredRelistTimeout)
	r.noteDue(r.relistBy)
	return r
}

// Targets returns the targets that are listed or kept, ordered by ID.
func (r Recollection) Targets() []Target {
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
func (r Recollection) WithKnowledge(list TargetList) TargetList {
	list.Left, list.Kept = nil, nil
	for _, t := range r.targets {
		switch {
		case t.hasLeft():
			list.Left = append(list.Left, LeftTarget{ID: t.ID, StartMillis: t.StartMillis, Sequence: t.Sequence, Era: t.era})
		case t.era < r.position.Era:
			list.Kept = append(list.Kept, KeptTarget{Target: t.Target, Era: t.era})
		}
	}
	slices.SortFunc(list.Left, func(a, b LeftTarget) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(list.Kept, func(a, b KeptTarget) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
