package thagree

import (
	"context"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/throster"
)

// joinEvery is how often a VM outside the roster tries to join it.
const joinEvery = time.Second

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

// joinDue reports whether to try to join now; a.mu is held.
func (a *Agreement) joinDue(now thclock.Instant) bool {
	v, ok := a.node.Roster().VM(a.self.ID)
	if a.leaving || a.node.Full() || ok && v.Incarnation >= a.self.Incarnation || !now.Passed(a.nextJoin) {
		return false
	}
	a.nextJoin = now.Add(joinEvery/2 + time.Duration(a.rng.Int64N(int64(joinEvery))))
	return true
}

func (a *Agreement) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := a.store(ctx, "", 0, func(c thconfig.Config) (thconfig.Change, bool) {
		old, ok := c.Roster().VM(a.self.ID)
		return thconfig.ChangeMembers{Join: []throster.VM{a.self}}, !ok || old.Incarnation < a.self.Incarnation
	})
	if err != nil || v == 0 {
		return
	}
	a.log.Log(thevent.RosterChanged, thevent.F("version", v), thevent.F("joined", a.self.ID))
	_ = a.spread(ctx, v)
}

// Leave takes the VM out of the roster ahead of a planned stop.
func (a *Agreement) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.node.Leave()
	a.mu.Unlock()
	v, err := a.store(ctx, "", 0, func(c thconfig.Config) (thconfig.Change, bool) {
		old, ok := c.Roster().VM(a.self.ID)
		return thconfig.ChangeMembers{Leave: []throster.VM{old}}, ok && old.Incarnation == a.self.Incarnation
	})
	if err != nil || v == 0 {
		return err
	}
	a.log.Log(thevent.RosterChanged, thevent.F("version", v), thevent.F("left", a.self.ID))
	return a.spread(ctx, v)
}
