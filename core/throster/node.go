package throster

import (
	"slices"
	"time"

	"tamarackhollow/core/thclock"
)

const (
	// FreshFor is how long a VM may serve on what it knew for certain. With it
	// an accepted change is in force, or the VM refuses, within this time.
	FreshFor = 4 * time.Second
	// keptRosters bounds the rosters that wait for a majority; while there are
	// as many, no VM joins.
	keptRosters = 64
)

// seat is what a VM knows of one member of the roster.
type seat struct {
	// incarnation is the highest one known. What is known of a lower one is
	// void, because a restarted VM has forgotten it.
	incarnation uint64
	// heard is a moment at or after which the member knew nothing beyond the
	// version of this VM.
	heard thclock.Instant
	// acked is the version that the member is known to have reached.
	acked uint64
	// address is where to ask the incarnation, if not where the roster says.
	address string
}

// Node decides what one VM knows for certain: whether it is fresh, which
// changes a majority has, and what it tells others. It is driven by messages
// and by the moments they were sent at, and is not safe for concurrent use.
type Node struct {
	self    VM
	version uint64
	// rosters begins with the last one that a majority is known to have; the
	// last is in force.
	rosters []Roster
	// seats holds what is known of each VM of the roster in force, in its order.
	seats    []seat
	accepted uint64
	asOf     thclock.Instant
	// confirmed holds who answered this incarnation since it began to claim
	// its seat without the store.
	confirmed map[string]bool
	left      bool
}

// NewNode returns a node that knows nothing yet.
func NewNode(self VM) *Node {
	return &Node{self: self, rosters: []Roster{{}}, confirmed: map[string]bool{}}
}

// Roster returns the roster in force.
func (n *Node) Roster() Roster { return n.rosters[len(n.rosters)-1] }

// Version returns the version that the node has reached.
func (n *Node) Version() uint64 { return n.version }

// AsOf returns the moment up to which the node knows every accepted change.
func (n *Node) AsOf() thclock.Instant { return n.asOf }

// Deadline returns until when the node may serve requests that need a key.
func (n *Node) Deadline() thclock.Instant {
	if n.asOf == (thclock.Instant{}) {
		return thclock.Instant{}
	}
	return n.asOf.Add(FreshFor)
}

// Leave makes the node stop counting as a member, ahead of a planned stop.
func (n *Node) Leave() { n.left = true }

// Voter reports whether the node counts as a member: it stands in the roster
// with its incarnation, or has claimed its seat from a majority of the others.
func (n *Node) Voter() bool {
	i, ok := n.Roster().index(n.self.ID)
	if !ok || n.left || n.seats[i].incarnation > n.self.Incarnation {
		return false
	}
	v := n.Roster().VMs()[i]
	return v.Incarnation == n.self.Incarnation ||
		v.Incarnation < n.self.Incarnation && len(n.confirmed) >= majority(n.Roster().Len())
}

// Claiming reports whether the node is a restarted member that has yet to
// hear a majority of the others before it counts again.
func (n *Node) Claiming() bool {
	v, ok := n.Roster().VM(n.self.ID)
	return ok && !n.left && v.Incarnation < n.self.Incarnation && !n.Voter()
}

// Full reports whether too many rosters wait for a majority for one more.
func (n *Node) Full() bool { return len(n.rosters) >= keptRosters }

// Rosters returns the rosters from the last one that a majority is known to
// have to the one in force.
func (n *Node) Rosters() []Roster { return n.rosters }

// Accepted returns the highest version known to be accepted.
func (n *Node) Accepted() uint64 { return n.accepted }

// Advance moves the node to a higher version with the roster of that version.
// A lower version changes nothing.
func (n *Node) Advance(version uint64, r Roster) {
	if version <= n.version {
		return
	}
	n.version = version
	if before := n.Roster(); r.Version() != before.Version() {
		n.rosters = append(n.rosters, r)
		n.confirmed = map[string]bool{}
		n.reseat(before)
	}
	n.settle()
}

// Restart moves a node that has been given a snapshot to its version and the
// rosters that came with it.
func (n *Node) Restart(version uint64, rosters []Roster) {
	if version <= n.version || len(rosters) == 0 {
		return
	}
	before := n.Roster()
	n.version = version
	n.rosters = slices.Clone(rosters)
	n.confirmed = map[string]bool{}
	n.reseat(before)
	n.settle()
}

// reseat makes the seats of the roster before fit the one in force.
func (n *Node) reseat(before Roster) {
	vs := n.Roster().VMs()
	seats := make([]seat, len(vs))
	for i, v := range vs {
		if j, ok := before.index(v.ID); ok {
			seats[i] = n.seats[j]
		}
		if seats[i].incarnation < v.Incarnation {
			seats[i] = seat{incarnation: v.Incarnation}
		}
	}
	n.seats = seats
}

// seat returns what is known of a VM of the roster in force, or nil.
func (n *Node) seat(id string) *seat {
	if i, ok := n.Roster().index(id); ok {
		return &n.seats[i]
	}
	return nil
}

func (n *Node) selfAcks() {
	if s := n.seat(n.self.ID); s != nil && n.Voter() {
		s.incarnation = n.self.Incarnation
		s.acked = n.version
	}
}

func majority(n int) int { return n/2 + 1 }
