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
	// CachedOwners is how many other VMs were not asked, because they had said until when
	// they have no token.
	CachedOwners int
	// LiveVMs and Members are the VMs that this one knows to live, and those that were
	// live lately, itself included.
	LiveVMs, Members int
	// Own is a part that this VM owns and that had no token; zero if there is none.
	Own OwnPart
}

// AdmissionReason says why a request was refused for its customer's limit.
type AdmissionReason uint8

const (
	// OwnersNotAsked means that no owner was asked or known to be empty: this VM has not
	// joined the fleet, or all VMs in line were silent lately.
	OwnersNotAsked AdmissionReason = iota
	// OwnersCached means that all owners had said before that they have no token.
	OwnersCached
	// OwnersEmpty means that at least one owner was asked and had no token.
	OwnersEmpty
	// OwnersSilent means that at least one VM did not answer.
	OwnersSilent
)

// String returns the reason as logs and metrics name it.
func (r AdmissionReason) String() string {
	switch r {
	case OwnersCached:
		return "cached"
	case OwnersEmpty:
		return "empty"
	case OwnersSilent:
		return "silent"
	default:
		return "notAsked"
	}
}

// Reason returns why the request was refused. A VM that did not answer goes before others
// that had no token, since it may have had one.
func (b AdmissionBasis) Reason() AdmissionReason {
	switch {
	case b.SilentOwners > 0:
		return OwnersSilent
	case b.EmptyOwners > 0 || b.CachedOwners == 0 && b.Own.Share > 0:
		return OwnersEmpty
	case b.CachedOwners > 0:
		return OwnersCached
	default:
		return OwnersNotAsked
	}
}

// basisOf returns what the VM knows when it refuses the request.
func (v *View) basisOf(now thclock.Instant, a *Admission) AdmissionBasis {
	b := AdmissionBasis{EmptyOwners: a.empty, SilentOwners: a.silent, CachedOwners: a.knownEmpty, Own: a.own}
	b.LiveVMs, b.Members = v.Fleet.Size(now)
	if c := v.customers[a.customer]; c != nil {
		b.Limit = c.limit
	}
	return b
}

// ownPart describes the given part of a customer's limit, of which a token was asked last.
func (v *View) ownPart(now thclock.Instant, r thfleet.TokenRequest, p ownedPart) OwnPart {
	_, parts, _ := v.Fleet.LimitPart(now, r.Key, r.Part)
	return OwnPart{Share: v.usablePartShare(now) / float64(max(1, parts)), Tokens: p.bucket.Tokens(), OwnedFor: now.Sub(p.since)}
}
