package thview

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thquota"
)

// OwnPart describes a part of a customer's limit at the VM that owns it.
type OwnPart struct {
	// Share is the fraction of the limit that the VM may give out, 0 if it owns none.
	Share float64
	// Tokens is the number of requests that the part has left.
	Tokens float64
	// OwnedFor is how long the VM has owned the part.
	OwnedFor time.Duration
}

// AdmissionBasis is what the refusal of a request for its customer's limit was based on.
type AdmissionBasis struct {
	Limit thquota.Limit
	// EmptyOwners and SilentOwners are how many other VMs had no token, and how many did
	// not answer.
	EmptyOwners, SilentOwners int
	// LiveVMs and Members are the VMs that this one knows to live, and those that were
	// live lately, itself included.
	LiveVMs, Members int
	// Own is a part that this VM owns and that had no token; zero if there is none.
	Own OwnPart
}

// basisOf returns what the VM knows when it refuses the request.
func (v *View) basisOf(now thclock.Instant, a *Admission) AdmissionBasis {
	b := AdmissionBasis{EmptyOwners: a.empty, SilentOwners: a.silent, Own: a.own}
	b.LiveVMs, b.Members = v.Fleet.Size(now)
	if c := v.customers[a.customer]; c != nil {
		b.Limit = c.limit
	}
	return b
}

// ownPart describes the part of a customer's limit of which a token was asked last.
func (v *View) ownPart(now thclock.Instant, r thfleet.TokenRequest) OwnPart {
	c := v.customers[r.Key]
	if c == nil {
		return OwnPart{}
	}
	_, parts, _ := v.Fleet.LimitPart(now, r.Key, r.Part)
	p := c.owned[r.Part]
	return OwnPart{Share: v.usablePartShare(now) / float64(max(1, parts)), Tokens: p.bucket.Tokens(), OwnedFor: now.Sub(p.since)}
}
