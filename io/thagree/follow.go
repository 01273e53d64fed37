package thagree

import (
	"context"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/throster"
)

// readHead reads the store's head and moves up to it.
func (a *Agreement) readHead(ctx context.Context) {
	defer a.read()
	_, _ = a.follow(ctx)
}

func (a *Agreement) read() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reading = false
}

// follow moves up to the store's head and returns it.
func (a *Agreement) follow(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent, had := a.clock.Now(), a.Config().Version()
	h, err := a.chain.head(ctx)
	if err != nil {
		return h, err
	}
	if err := a.catchUp(ctx, h.Version); err != nil {
		return h, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	proved := a.node.HeadRead(sent, had, h.Version)
	again := a.older
	a.older = !proved
	if !proved && !again {
		a.log.Log(thevent.ConfigOlderIgnored, thevent.F("version", a.records.Version()), thevent.F("offered", h.Version))
	}
	a.publish()
	return h, nil
}

// catchUp loads the stored changes up to the version, and a snapshot first
// where the changes do not reach back far enough.
func (a *Agreement) catchUp(ctx context.Context, version uint64) error {
	if a.Config().Version() == 0 && version > 0 {
		if err := a.loadSnapshot(ctx); err != nil {
			return err
		}
	}
	for a.Config().Version() < version {
		next := a.Config().Version() + 1
		rs, err := a.chain.records(ctx, next-1)
		if err != nil {
			return err
		}
		if len(rs) == 0 || rs[0].Version > next {
			if err := a.loadSnapshot(ctx); err != nil {
				return err
			}
			if a.Config().Version() < next {
				return therror.New(therror.StoreUnavailable, "the store lacks change %d", next)
			}
			continue
		}
		a.mu.Lock()
		err = a.takeRecords(rs)
		a.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// loadSnapshot moves to the stored snapshot if it is newer. It is of an
// accepted version, so its roster is all that is needed of the past.
func (a *Agreement) loadSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), snapshotTimeout)
	defer cancel()
	c, err := a.chain.snapshot(ctx)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.takeSnapshot(c, []throster.Roster{c.Roster()})
	return nil
}
