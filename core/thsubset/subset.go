// Package thsubset assigns to each VM the targets of a service that it uses. With a
// part of the targets, a VM uses each of them often enough to keep a connection open,
// and has to tell what it learns of a target only to the few VMs that use the same one.
//
// The targets of a service stand on a ring in a fixed order, and so do the VMs of an
// availability zone. A VM uses the targets in a window that begins at its own position,
// as a fraction of the ring. So windows cover the targets evenly, all VMs compute the
// same windows, and one VM or target more or less shifts them by at most one target.
package thsubset

// Size is how many targets of a service a VM uses. It leaves a choice if many of them
// fail or are busy.
const Size = 16

// Window is a run of positions on a ring. The zero Window is empty.
type Window struct {
	// Start is the first position, and Length the number of positions.
	Start, Length int
	// Ring is the number of positions on the ring.
	Ring int
}

// WindowOf returns the window of the given length for the VM of the given rank, from
// 0, among a number of VMs.
func WindowOf(rank, vms, length, ring int) Window {
	if vms <= 0 || ring <= 0 {
		return Window{}
	}
	return Window{Start: rank * ring / vms % ring, Length: min(length, ring), Ring: ring}
}

// Contains reports whether the position is in the window.
func (w Window) Contains(position int) bool {
	if w.Ring == 0 {
		return false
	}
	return (position-w.Start+w.Ring)%w.Ring < w.Length
}

// At returns the i-th position of the window, for i from 0 to Length-1.
func (w Window) At(i int) int { return (w.Start + i) % w.Ring }
