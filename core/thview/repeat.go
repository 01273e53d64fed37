package thview

import (
	"slices"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
)

const (
	// repeatCount is how often evidence is sent again. With 3 % of the datagrams lost, one VM in a
	// thousand may miss it, and once again leaves nine in ten thousand.
	repeatCount = 2
	// repeatInterval is the time between the sendings of the same evidence. Datagrams that are sent
	// at once are often lost together.
	repeatInterval = 60 * time.Millisecond
	// repeatExpiry is the age from which evidence is not sent again: it has to be known within a
	// second.
	repeatExpiry = time.Second
	// maxRepeats bounds the notices that wait to be sent again. A VM that has more of them tells
	// its peers of its failing targets often enough.
	maxRepeats = 64
)

// evidenceRepeat is a notice with evidence against targets that is to be sent again.
type evidenceRepeat struct {
	notice           thfleet.Notice
	dueAt, expiresAt thclock.Instant
	// left is how often it is still to be sent.
	left int
}

// scheduleRepeat lets the results and loads of the notice be sent again if they include evidence
// against a target. It answers the loss of datagrams: of evidence that is sent once, some of the
// VMs that use the target never learn. Repeats keep the sequence number, by which receivers count
// results once.
func (o *outbox) scheduleRepeat(now thclock.Instant, n thfleet.Notice) {
	hasEvidence := slices.ContainsFunc(n.Results, func(r thfleet.AttemptResult) bool { return r.Outcome.IsNegative() })
	if !hasEvidence || len(o.repeats) >= maxRepeats {
		return
	}
	o.repeats = append(o.repeats, evidenceRepeat{
		notice: thfleet.Notice{From: n.From, StartMillis: n.StartMillis, Sequence: n.Sequence, Loads: n.Loads, Results: n.Results, LeavingTargets: n.LeavingTargets, Repeated: true},
		dueAt:  now.Add(repeatInterval), expiresAt: now.Add(repeatExpiry), left: repeatCount,
	})
}

// NextRepeat returns when the next notice is due to be sent again, or false if there is none.
func (v *View) NextRepeat() (next thclock.Instant, waits bool) {
	for i, r := range v.outbox.repeats {
		if i == 0 || r.dueAt.Before(next) {
			next = r.dueAt
		}
	}
	return next, len(v.outbox.repeats) > 0
}

// TakeRepeats returns the notices that are due to be sent again, and drops those that are too old.
// They go to the VMs that use their targets by now, the last time only to those that get them
// directly: the others have been sent three copies through relays by then.
func (v *View) TakeRepeats(now thclock.Instant) (outgoing []Outgoing) {
	o := &v.outbox
	for i := range o.repeats {
		r := &o.repeats[i]
		if now.Before(r.dueAt) {
			continue
		}
		if members := v.RelayMembers(r.notice); now.Before(r.expiresAt) && len(members) > 0 {
			outgoing = append(outgoing, Outgoing{Notice: r.notice, Members: members, DirectOnly: r.left == 1})
		}
		r.left--
		r.dueAt = now.Add(repeatInterval)
	}
	o.repeats = slices.DeleteFunc(o.repeats, func(r evidenceRepeat) bool { return r.left == 0 || !now.Before(r.expiresAt) })
	return outgoing
}
