package thagree

import (
	"context"
	"encoding/hex"
	"time"

	"golang.org/x/sync/errgroup"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thstore"
)

const (
	// spreadAtOnce bounds the calls under way while a change is spread.
	spreadAtOnce = 128
	// applyTimeout bounds the tries to store a change.
	applyTimeout = 10 * time.Second
	// acceptTimeout bounds the wait for a majority.
	acceptTimeout = 2 * time.Second
	conflictPause = 20 * time.Millisecond
)

// State says how far a change has come.
type State string

// The states of a change that is stored.
const (
	// Accepted means that a majority has the change: within throster.FreshFor
	// every VM either has it too or refuses requests that need a key.
	Accepted State = "accepted"
	// Stored means that the change will be in force, but a majority has not
	// acknowledged it yet.
	Stored State = "stored"
)

// ApplyResult is what became of a change.
type ApplyResult struct {
	Version      uint64 `json:"version"`
	State        State  `json:"state"`
	Acknowledged int    `json:"acknowledged"`
	Of           int    `json:"of"`
}

// Apply stores an operator's change and spreads it. The same change id applied
// twice is one change. With a precondition, no operator's change may have come
// after that version, or Apply fails with ChangeConflict naming the one that won.
func (a *Agreement) Apply(ctx context.Context, changeID string, precondition uint64, change thconfig.Change) (ApplyResult, error) {
	if changeID == "" {
		return ApplyResult{}, therror.New(therror.ChangeInvalid, "a change id is needed")
	}
	v, err := a.store(ctx, changeID, precondition, func(thconfig.Config) (draft, bool) { return draft{change: change}, true })
	if err != nil {
		a.log.Log(thevent.ConfigChangeRefused, thevent.F("changeId", changeID), thevent.F("error", err.Error()))
		return ApplyResult{}, err
	}
	a.log.Log(thevent.ConfigChangeStored, thevent.F("changeId", changeID), thevent.F("version", v))
	_ = a.spread(ctx, v)
	return a.result(v), nil
}

func (a *Agreement) result(version uint64) ApplyResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.node.Tally(version)
	r := ApplyResult{Version: version, State: Stored, Acknowledged: t.Acknowledged, Of: t.Of}
	if t.Accepted {
		r.State = Accepted
	}
	return r
}

// draft is a change to be stored, along with other writes.
type draft struct {
	change thconfig.Change
	also   []thstore.Write
}

// wish makes a draft of the newest configuration, or returns false if nothing
// is wanted any more.
type wish func(thconfig.Config) (draft, bool)

// store appends what the wish makes, until it is stored, refused or out of
// time. It returns version 0 if nothing is wanted. A lost answer is resolved by
// reading the change id back.
func (a *Agreement) store(ctx context.Context, changeID string, precondition uint64, w wish) (uint64, error) {
	if changeID == "" {
		changeID = a.randomID()
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	unknown := false
	for {
		v, again, err := a.storeOnce(ctx, changeID, precondition, w)
		unknown = unknown || therror.Is(err, therror.StoreOutcomeUnknown)
		if again && a.pause(ctx) {
			continue
		}
		if err != nil && unknown {
			return 0, therror.Wrap(therror.StoreOutcomeUnknown, err, "apply change id %s again to learn what became of it", changeID)
		}
		return v, err
	}
}

// storeOnce tries once, and reports whether another try can tell more.
func (a *Agreement) storeOnce(ctx context.Context, changeID string, precondition uint64, w wish) (version uint64, again bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	h, err := a.follow(ctx)
	if err != nil {
		return 0, false, err
	}
	c := a.Config()
	if c.Version() != h.Version {
		return 0, c.Version() < h.Version, therror.New(therror.StoreUnavailable, "the store offers version %d, this VM is at %d", h.Version, c.Version())
	}
	earlier, err := a.chain.recordOf(ctx, changeID)
	if err != nil {
		return 0, false, err
	}
	d, wanted := w(c)
	if !wanted {
		return 0, false, nil
	}
	r, isNew, err := thconfig.Proposal{ID: changeID, Precondition: precondition, Change: d.change}.Next(c, earlier)
	if err != nil || !isNew {
		return r.Version, false, err
	}
	if err := a.chain.append(ctx, h, r, d.also); err != nil {
		return 0, therror.Is(err, therror.ChangeConflict) || therror.Is(err, therror.StoreOutcomeUnknown), err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return r.Version, false, a.takeRecords([]thconfig.Record{r})
}

// spread brings the changes up to the version to all VMs and waits until a
// majority has them, or the time is out.
func (a *Agreement) spread(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	go a.push(ctx, version)
	for {
		a.mu.Lock()
		t, changed := a.node.Tally(version), a.changed
		a.mu.Unlock()
		if t.Accepted {
			return nil
		}
		select {
		case <-ctx.Done():
			return therror.New(therror.StoreOutcomeUnknown, "stored, spreading: %d of %d", t.Acknowledged, t.Of)
		case <-changed:
		}
	}
}

// push brings the change to all VMs not known to have it, also after the
// operator has been answered.
func (a *Agreement) push(ctx context.Context, version uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTimeout)
	defer cancel()
	a.mu.Lock()
	rs, _ := a.records.Since(version - 1)
	lacking := a.node.Lacking(version)
	a.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(spreadAtOnce)
	for _, v := range lacking {
		g.Go(func() error { return a.exchangeWith(ctx, v, rs) })
	}
	_ = g.Wait()
}

func (a *Agreement) pause(ctx context.Context) bool {
	a.mu.Lock()
	d := conflictPause + time.Duration(a.rng.Int64N(int64(conflictPause)))
	a.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// randomID returns a change id for the VM's own changes.
func (a *Agreement) randomID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var b [16]byte
	for i := range b {
		b[i] = byte(a.rng.UintN(256))
	}
	return a.self.ID + "-" + hex.EncodeToString(b[:])
}
