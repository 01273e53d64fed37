package thagree

import (
	"context"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/thstore"
)

const (
	// joinEvery is how often a VM outside the roster tries to join it.
	joinEvery = time.Second
	// listEvery is how often a VM of a small fleet reads the platform's list,
	// and listShare what each VM of a large one adds to that.
	listEvery = 10 * time.Second
	listShare = 25 * time.Millisecond
)

// joinDue reports whether to try to join now; a.mu is held.
func (a *Agreement) joinDue(now thclock.Instant) bool {
	v, ok := a.node.Roster().VM(a.self.ID)
	if a.leaving || a.node.Full() || ok && v.Incarnation >= a.self.Incarnation || !now.Passed(a.nextJoin) {
		return false
	}
	a.nextJoin = now.Add(a.jittered(joinEvery))
	return true
}

// jittered returns the interval give or take a half; a.mu is held.
func (a *Agreement) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(a.rng.Int64N(int64(d)))
}

// join tries once to take this VM into the roster, and all others that want to
// join with it. When a whole fleet starts at once, the one that wins takes the
// losers along.
func (a *Agreement) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := a.chain.askToJoin(ctx, a.self); err != nil {
		return
	}
	wanting, taken, err := a.chain.joining(ctx)
	if err != nil {
		return
	}
	v, _, err := a.storeOnce(ctx, a.randomID(), 0, func(c thconfig.Config) (draft, bool) {
		m, some := c.Joining(append(wanting, a.self))
		return draft{change: m, also: taken}, some
	})
	if err == nil && v > 0 {
		a.rosterChanged(ctx, v, "joined", a.self.ID)
	}
}

func (a *Agreement) rosterChanged(ctx context.Context, version uint64, what, id string) {
	a.log.Log(thevent.RosterChanged, thevent.F("version", version), thevent.F(what, id))
	// A majority that is late to acknowledge is heard of by the questions.
	_ = a.spread(ctx, version)
}

// Leave takes the VM out of the roster ahead of a planned stop.
func (a *Agreement) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.node.Leave()
	a.mu.Unlock()
	v, err := a.store(ctx, "", 0, func(c thconfig.Config) (draft, bool) {
		old, ok := c.Roster().VM(a.self.ID)
		return draft{change: thconfig.ChangeMembers{Leave: []throster.VM{old}}}, ok && old.Incarnation == a.self.Incarnation
	})
	if err == nil && v > 0 {
		a.rosterChanged(ctx, v, "left", a.self.ID)
	}
	return err
}

// listDue reports whether to read the platform's list now; a.mu is held.
func (a *Agreement) listDue(now thclock.Instant) bool {
	if a.leaving || !now.Passed(a.nextList) {
		return false
	}
	a.nextList = now.Add(a.jittered(listEvery + time.Duration(a.node.Roster().Len())*listShare))
	return true
}

// readList reads the platform's list and removes who is gone.
func (a *Agreement) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	vms, err := a.chain.platform.ListVMs(ctx)
	if err != nil {
		return
	}
	now := a.clock.Now()
	a.mu.Lock()
	a.departures.Read(now, a.node.Roster(), liveIDs(vms))
	gone := a.departures.Due(now, a.node)
	a.mu.Unlock()
	if len(gone) == 0 {
		return
	}
	v, _, err := a.storeOnce(ctx, a.randomID(), 0, func(thconfig.Config) (draft, bool) {
		return draft{change: thconfig.ChangeMembers{Leave: gone}}, true
	})
	if err == nil && v > 0 {
		a.rosterChanged(ctx, v, "removed", gone[0].ID)
	}
}

func liveIDs(vms []thstore.VM) []string {
	ids := make([]string, 0, len(vms))
	for _, v := range vms {
		if !v.Leaving {
			ids = append(ids, v.ID)
		}
	}
	return ids
}
