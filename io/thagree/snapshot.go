package thagree

import (
	"context"
	"time"

	"tamarackhollow/core/thconfig"
)

const (
	// snapshotEvery is how many versions lie between two stored snapshots.
	snapshotEvery = 200
	// snapshotTimeout bounds the loading or storing of a snapshot, which is
	// megabytes large.
	snapshotTimeout = 10 * time.Second
)

// snapshotDue returns the configuration that this VM is to store now, or
// false; a.mu is held. Only accepted versions are stored, so that a VM that begins with one
// needs no older roster.
func (a *Agreement) snapshotDue() (thconfig.Config, bool) {
	v := a.records.Version()
	h, ok := a.node.Roster().Home(rowSnapshot)
	if !ok || h.ID != a.self.ID || v < a.snapshotAt+snapshotEvery || a.node.Accepted() < v {
		return thconfig.Config{}, false
	}
	a.snapshotAt = v
	return a.records.Config(), true
}

func (a *Agreement) storeSnapshot(ctx context.Context, c thconfig.Config) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	// A failure of either is made up for by the next one.
	if err := a.chain.putSnapshot(ctx, c); err == nil {
		_ = a.chain.prune(ctx, c.Version())
	}
}
