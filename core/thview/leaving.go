package thview

import (
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thtable"
)

// MarkLeaving records that the target of the pick has said in an answer that it leaves. The
// target gets no new requests for as long as its process is listed, whatever the list says
// of it, and the VMs that use it are told. MarkLeaving reports whether that is new.
func (v *View) MarkLeaving(p Picked) (isNew bool) {
	t := v.pickedTarget(p)
	if t == nil || !v.setLeaving(t, false) {
		return false
	}
	v.outbox.leaving[t.key] = t.StartMillis
	return true
}

// LeavingTargets returns the targets that have said that they leave, for a VM that starts.
func (v *View) LeavingTargets() []thfleet.LeavingTarget {
	var leaving []thfleet.LeavingTarget
	for _, t := range v.targets {
		if t.leaving {
			leaving = append(leaving, thfleet.LeavingTarget{Target: t.key, StartMillis: t.StartMillis})
		}
	}
	return leaving
}

// NoteLeaving records targets that another VM knows to leave.
func (v *View) NoteLeaving(targets []thfleet.LeavingTarget) { v.receiveLeaving(targets) }

// receiveLeaving records the targets that another VM reports as leaving, and reports whether
// there are new ones.
func (v *View) receiveLeaving(targets []thfleet.LeavingTarget) (isNew bool) {
	for _, l := range targets {
		if t := v.targetsByKey[l.Target]; t != nil && t.StartMillis == l.StartMillis {
			isNew = v.setLeaving(t, true) || isNew
		}
	}
	return isNew
}

// setLeaving marks the target as leaving, calls OnLeaving with whether another VM has
// reported it, and reports whether it was not marked before.
func (v *View) setLeaving(t *target, reported bool) bool {
	if t.leaving {
		return false
	}
	t.leaving = true
	if v.options.OnLeaving != nil {
		v.options.OnLeaving(t.current(), reported)
	}
	return true
}

// current returns the target as it is to be used: it drains if the list or the target itself
// says so.
func (t *target) current() thtable.Target {
	c := t.Target
	c.Draining = c.Draining || t.leaving
	return c
}

// Targets returns the listed targets, with those as draining that have said that they leave or
// are in an evacuated zone.
func (v *View) Targets() []thtable.Target {
	ts := make([]thtable.Target, 0, len(v.targets))
	for _, t := range v.targets {
		c := t.current()
		c.Draining = c.Draining || t.isEvacuated
		ts = append(ts, c)
	}
	return ts
}
