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
	if !a.node.HeadRead(sent, had, h.Version) {
		a.log.Log(thevent.ConfigOlderIgnored, thevent.F("version", a.records.Version()), thevent.F("offered", h.Version))
		return h, nil
	}
	a.publish()
	return h, nil
}

// catchUp loads the stored changes up to the version.
func (a *Agreement) catchUp(ctx context.Context, version uint64) error {
	if a.Config().Version() == 0 && version > 0 {
		c, err := a.chain.snapshot(ctx)
		if err != nil {
			return err
		}
		a.mu.Lock()
		a.takeSnapshot(c, []throster.Roster{c.Roster()})
		a.mu.Unlock()
	}
	for a.Config().Version() < version {
		rs, err := a.chain.records(ctx, a.Config().Version())
		if err != nil {
			return err
		}
		if len(rs) == 0 {
			return therror.New(therror.StoreUnavailable, "the store lacks change %d", a.Config().Version()+1)
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
