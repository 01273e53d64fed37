package throster

// Tally says how many of the roster's members have a version.
type Tally struct {
	Acknowledged int
	Of           int
	// Accepted says that a majority has it in every roster that a VM may
	// still be using, so that no VM that hears a majority can miss it.
	Accepted bool
}

// Tally counts who is known to have the version.
func (n *Node) Tally(version uint64) Tally {
	t := Tally{Of: n.Roster().Len(), Acknowledged: n.acknowledged(n.Roster(), version)}
	t.Accepted = version <= n.accepted || n.majorities(version)
	return t
}

// majorities reports whether a majority of each roster up to the version has
// it. A VM that lags may count by any of these rosters; one that lags further
// is told of a newer roster by the majority it asks.
func (n *Node) majorities(version uint64) bool {
	for i, r := range n.rosters {
		if i > 0 && r.Version() > version {
			break
		}
		if r.Len() > 0 && n.acknowledged(r, version) < majority(r.Len()) {
			return false
		}
	}
	return version <= n.version
}

// acknowledged counts the members of the roster that have the version or are
// gone for good: those will never tell anybody of an older one.
func (n *Node) acknowledged(r Roster, version uint64) int {
	count := 0
	if r.Version() == n.Roster().Version() {
		for _, s := range n.seats {
			if s.acked >= version {
				count++
			}
		}
		return count
	}
	for _, v := range r.VMs() {
		i, ok := n.Roster().index(v.ID)
		gone := !ok || n.Roster().VMs()[i].Incarnation > v.Incarnation
		if gone || n.seats[i].acked >= version {
			count++
		}
	}
	return count
}

// settle looks whether the version in force is accepted by now.
func (n *Node) settle() {
	n.selfAcks()
	if n.version > n.accepted && n.majorities(n.version) {
		n.acceptedUpTo(n.version)
	}
}

// acceptedUpTo drops the rosters that no VM can count by any more: those
// before the last one that came no later than an accepted version.
func (n *Node) acceptedUpTo(version uint64) {
	if version <= n.accepted {
		return
	}
	n.accepted = version
	last := 0
	for i, r := range n.rosters {
		if r.Version() <= version {
			last = i
		}
	}
	n.rosters = n.rosters[last:]
}

// Lacking returns the VMs of the roster not known to have the version.
func (n *Node) Lacking(version uint64) []VM {
	var out []VM
	for i, v := range n.Roster().VMs() {
		if v.ID != n.self.ID && n.seats[i].acked < version {
			out = append(out, n.peer(i))
		}
	}
	return out
}

// peer returns the VM of the roster with the address of its newest incarnation.
func (n *Node) peer(i int) VM {
	v := n.Roster().VMs()[i]
	if address := n.seats[i].address; address != "" {
		v.PeerAddress = address
	}
	return v
}
