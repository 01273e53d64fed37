package thclaims

import (
	"context"
	"encoding/hex"
	"time"

	"tamarackhollow/core/thclaim"
)

const (
	sweepInterval = 10 * time.Second
	sweepRows     = 200
	sweepAttempts = 4
)

// sweep deletes expired claims from a few pages that begin at random places,
// so that the VMs need not agree on who sweeps what.
func (c *Claims) sweep(ctx context.Context) {
	for range sweepAttempts {
		place := newToken()[:hex.EncodedLen(2)]
		if !c.sweepPage(ctx, thclaim.KeyPrefix+place) {
			return
		}
	}
}

// sweepPage reports whether it is worth going on at once.
func (c *Claims) sweepPage(ctx context.Context, after string) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := c.options.Platform.ScanRows(ctx, thclaim.KeyPrefix, after, sweepRows)
	if err != nil {
		return false
	}
	t, found := thclaim.Sweep(rows, c.options.Self.ID, c.options.Clock.Now())
	if !found {
		return false
	}
	// If another VM sweeps the same page, one of the two fails, which is well.
	return c.options.Platform.Commit(ctx, t) == nil
}
