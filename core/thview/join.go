package thview

import (
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thfleet"
)

const (
	// joinTimeout is how long a VM that starts waits until it knows the other VMs. Until
	// then it gives out no tokens, which others may give out as well.
	joinTimeout = 5 * time.Second
	// settleDelay is how long the live VMs must not have changed before a VM that has just
	// joined may lead its zone or read the store. While all VMs of a fleet start, each
	// would otherwise take itself for the one with the best rank. maxSettleDelay bounds
	// the wait.
	settleDelay    = 300 * time.Millisecond
	maxSettleDelay = 2 * time.Second
)

// MarkJoined records that this VM knows the members of the fleet.
func (v *View) MarkJoined(now thclock.Instant) { v.joined, v.joinedAt = true, now }

// IsJoined reports whether this VM knows the members of the fleet, or has waited so long
// for them that it goes without.
func (v *View) IsJoined(now thclock.Instant) bool {
	return v.joined || now.Sub(v.options.StartedAt) >= joinTimeout
}

// Role returns the current role of this VM. A VM that has just started follows until it
// knows the others.
func (v *View) Role(now thclock.Instant) thfleet.Role {
	if !v.settled {
		if !v.isSettled(now) {
			return thfleet.Follower
		}
		v.settled, v.settledAt = true, now
	}
	return v.Fleet.Role(now, v.settledAt)
}

// isSettled reports whether this VM knows the others well enough to tell its role.
func (v *View) isSettled(now thclock.Instant) bool {
	if !v.joined {
		return now.Sub(v.options.StartedAt) >= joinTimeout
	}
	sinceJoined := now.Sub(v.joinedAt)
	return len(v.Fleet.Peers()) == 0 || sinceJoined >= maxSettleDelay ||
		sinceJoined >= settleDelay && now.Sub(v.Fleet.ChangedAt()) >= settleDelay
}

// RandomPeers returns up to n live VMs, the first of them from this VM's zone if there is
// one.
func (v *View) RandomPeers(n int) []thfleet.Peer { return v.Fleet.RandomPeers(v.options.Rand, n) }
