package throster

import "tamarackhollow/core/thclock"

// Knowledge is what a VM knows of a member of the roster.
type Knowledge struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	// Version is the highest one that the member is known to have.
	Version uint64 `json:"version"`
	// HeardMillis is how long ago the member was heard of, directly or through
	// others; -1 if never.
	HeardMillis int64 `json:"heardMillis"`
}

// Knowledge returns what the node knows of each member, ordered by ID.
func (n *Node) Knowledge(now thclock.Instant) []Knowledge {
	out := make([]Knowledge, 0, n.Roster().Len())
	for i, v := range n.Roster().VMs() {
		s := n.seats[i]
		k := Knowledge{ID: v.ID, Incarnation: s.incarnation, Version: s.acked, HeardMillis: asOfMillis(now, s.heard)}
		if v.ID == n.self.ID && n.Voter() {
			k.HeardMillis = 0
		}
		out = append(out, k)
	}
	return out
}
