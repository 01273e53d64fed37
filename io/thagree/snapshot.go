package thagree

import (
	"context"
)

// snapshotEvery is how many versions lie between two stored snapshots.
const snapshotEvery = 200

// snapshotDue reports whether this VM is to store a snapshot now; a.mu is
// held. Only accepted versions are stored, so that a VM that begins with one
// needs no older roster.
func (a *Agreement) snapshotDue() bool {
	v := a.records.Version()
	h, ok := a.node.Roster().Home(rowSnapshot)
	if !ok || h.ID != a.self.ID || v < a.snapshotAt+snapshotEvery || a.node.Accepted() < v {
		return false
	}
	a.snapshotAt = v
	return true
}

func (a *Agreement) storeSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// A failure is made up for by the next one.
	_ = a.chain.putSnapshot(ctx, a.Config())
}
