package throster

import (
	"slices"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// GoneAfter is how long the platform's list and the heartbeats have to
	// agree that a VM is gone. It is longer than the list lags.
	GoneAfter = 2 * time.Minute
	// listGap is how long the platform's list may not be read before what was
	// learned from it is void.
	listGap = 45 * time.Second
	// deputyAfter is how much longer each next VM waits before it removes what
	// the one before it should have removed.
	deputyAfter = 5 * time.Second
)

// Departures decides which VMs of the roster are gone for good. The zero
// Departures knows of none.
type Departures struct {
	read    thclock.Instant
	missing map[string]thclock.Instant
}

// Read takes in the platform's list, as the IDs of the VMs that it holds as
// live.
func (d *Departures) Read(now thclock.Instant, r Roster, live []string) {
	if now.Passed(d.read.Add(listGap)) {
		d.missing = nil
	}
	d.read = now
	missing := make(map[string]thclock.Instant)
	for _, v := range r.VMs() {
		if slices.Contains(live, v.ID) {
			continue
		}
		since, ok := d.missing[v.ID]
		if !ok {
			since = now
		}
		missing[v.ID] = since
	}
	d.missing = missing
}

// Due returns the VMs that the node should remove now: those that the
// platform's list has lacked and that nobody has heard of for GoneAfter. Of
// the VMs that could do it, each waits a little longer than the one before.
func (d *Departures) Due(now thclock.Instant, n *Node) []VM {
	if now.Passed(d.read.Add(listGap)) || !n.Voter() {
		return nil
	}
	wait := GoneAfter + time.Duration(n.rank(now))*deputyAfter
	var gone []VM
	for i, v := range n.Roster().VMs() {
		since, missing := d.missing[v.ID]
		if missing && v.ID != n.self.ID && now.SurelyPassed(since.Add(wait)) && now.SurelyPassed(n.seats[i].heard.Add(wait)) {
			gone = append(gone, v)
		}
	}
	return gone
}

// rank returns how many VMs that were heard of lately come before this one.
func (n *Node) rank(now thclock.Instant) int {
	const task = "roster/departures"
	own := weight(task, n.self.ID)
	before := 0
	for i, v := range n.Roster().VMs() {
		if weight(task, v.ID) > own && elapsed(now, n.seats[i].heard) < silentAfter {
			before++
		}
	}
	return before
}
