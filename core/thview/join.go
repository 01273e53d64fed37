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
	// settleDelay is how long a VM that has joined waits for the answers to its
	// introductions before it may lead its zone or read the store. Otherwise all VMs of
	// a fleet that starts would.
	settleDelay = 300 * time.Millisecond
)

// MarkJoined records that this VM knows the members of the fleet.
func (v *View) MarkJoined(now thclock.Instant) { v.joined, v.joinedAt = true, now }

// IsJoined reports whether this VM knows the members of the fleet, or has waited so long
// for them that it goes without.
func (v *View) IsJoined(now thclock.Instant) bool {
	return v.joined || now.Sub(v.options.StartedAt) >= joinTimeout
}

// Role returns the current role of this VM.
func (v *View) Role(now thclock.Instant) thfleet.Role {
	isSettled := v.joined && (len(v.Fleet.Peers()) == 0 || now.Sub(v.joinedAt) >= settleDelay)
	if !isSettled && now.Sub(v.options.StartedAt) < joinTimeout {
		return thfleet.Follower
	}
	return v.Fleet.Role(now)
}

// RandomPeers returns up to n live VMs, the first of them from this VM's zone if there is
// one.
func (v *View) RandomPeers(n int) []thfleet.Peer { return v.Fleet.RandomPeers(v.options.Rand, n) }
