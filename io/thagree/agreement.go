// Package thagree keeps one VM's configuration, roster and freshness in
// agreement with the others, through the platform's store and by asking peers.
package thagree

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackhollow/core/thboard"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/thstore"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thwire"
)

const (
	tick         = 50 * time.Millisecond
	storeTimeout = 2 * time.Second
	peerTimeout  = time.Second
	// maxAsking bounds the questions under way at once.
	maxAsking = 8
)

// Options is what an Agreement needs.
type Options struct {
	Self     throster.VM
	Platform thstore.Platform
	Client   *thwire.Client
	Clock    thclock.Clock
	Log      thevent.Logger
	// Seeds are peer addresses to ask while the roster is not known.
	Seeds []string
	// Board takes the configuration and the freshness; nil makes one.
	Board *thboard.Board
}

// Agreement is one VM's part in the agreement. Make one with New.
type Agreement struct {
	self  throster.VM
	chain chain
	// wake runs the controller before its next tick.
	wake   chan struct{}
	client *thwire.Client
	clock  thclock.Clock
	log    thevent.Logger
	seeds  []string

	// board is what the request path reads.
	board *thboard.Board

	// mu guards what follows; it is held for decisions only, never for calls.
	mu       sync.Mutex
	node     *throster.Node
	records  thconfig.Log
	schedule throster.Schedule
	rng      *rand.Rand
	asking   int
	reading  bool
	wasFresh bool
	// older says that the store last offered a version that had been passed.
	older    bool
	leaving  bool
	changed  chan struct{}
	nextJoin thclock.Instant
	nextList thclock.Instant
	// departures tells which VMs are gone.
	departures throster.Departures
	// snapshotAt is the version of the last snapshot that this VM stored.
	snapshotAt uint64
}

// New returns an agreement that knows nothing until Start.
func New(o Options) *Agreement {
	if o.Log == nil {
		o.Log = thevent.Discard{}
	}
	if o.Clock == nil {
		o.Clock = thclock.System{}
	}
	if o.Board == nil {
		o.Board = new(thboard.Board)
	}
	return &Agreement{
		board: o.Board,
		self:  o.Self, chain: chain{o.Platform}, client: o.Client, clock: o.Clock, log: o.Log, seeds: o.Seeds,
		node:    throster.NewNode(o.Self),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
}

// Config returns the configuration in force. It takes no lock.
func (a *Agreement) Config() thconfig.Config { return a.board.Config.Load() }

// Roster returns the roster of that configuration. It takes no lock.
func (a *Agreement) Roster() throster.Roster { return a.board.Config.Load().Roster() }

// CheckFresh returns nil while no accepted change can be unknown to this VM,
// and NotFresh otherwise. It takes no lock.
func (a *Agreement) CheckFresh() error {
	if a.clock.Now().Passed(a.board.FreshUntil.Load()) {
		return errNotFresh
	}
	return nil
}

var errNotFresh = therror.New(therror.NotFresh, "this VM cannot rule out a newer configuration")

// Ready reports whether the VM may take callers.
func (a *Agreement) Ready() bool {
	a.mu.Lock()
	leaving := a.leaving
	a.mu.Unlock()
	return !leaving && a.CheckFresh() == nil
}

// Start begins to ask the store and the peers.
func (a *Agreement) Start(p *thpool.Pool) {
	p.Every(tick, a.wake, func(ctx context.Context) { a.tick(ctx, p) })
}

func (a *Agreement) tick(ctx context.Context, p *thpool.Pool) {
	now := a.clock.Now()
	a.mu.Lock()
	d := a.schedule.Due(now, a.rng, a.node)
	if len(d.Ask) == 0 && a.node.Roster().Len() == 0 {
		d.Ask = a.seedPeers()
	}
	d.Ask = d.Ask[:min(len(d.Ask), maxAsking-a.asking)]
	a.asking += len(d.Ask)
	read := d.ReadHead && !a.reading
	a.reading = a.reading || read
	news := a.news(d.Tell)
	join := a.joinDue(now)
	snapshot, store := a.snapshotDue()
	list := a.listDue(now)
	a.mu.Unlock()

	for _, v := range d.Ask {
		a.submit(p, func() { a.ask(ctx, v) })
	}
	for _, v := range d.Tell {
		a.submit(p, func() { _ = a.exchangeWith(ctx, v, news) })
	}
	if read {
		a.submit(p, func() { a.readHead(ctx) })
	}
	if join {
		a.submit(p, func() { a.join(ctx) })
	}
	if store {
		a.submit(p, func() { a.storeSnapshot(ctx, snapshot) })
	}
	if list {
		a.submit(p, func() { a.readList(ctx) })
	}
	a.noteFreshness()
}

// submit runs a task on the pool, or here if the pool is closed, so that what
// the task would undo is undone.
func (a *Agreement) submit(p *thpool.Pool, task func()) {
	if err := p.Submit(task); err != nil {
		task()
	}
}

func (a *Agreement) seedPeers() []throster.VM {
	if len(a.seeds) == 0 {
		return nil
	}
	return []throster.VM{{PeerAddress: a.seeds[a.rng.IntN(len(a.seeds))]}}
}

func (a *Agreement) noteFreshness() {
	fresh := a.CheckFresh() == nil
	a.mu.Lock()
	turned := fresh != a.wasFresh
	a.wasFresh = fresh
	version := a.records.Version()
	a.mu.Unlock()
	if !turned {
		return
	}
	id := thevent.FreshnessLost
	if fresh {
		id = thevent.FreshnessGained
	}
	a.log.Log(id, thevent.F("version", version))
}

// publish shows the request path what the node knows; a.mu is held.
func (a *Agreement) publish() {
	// The configuration goes first: who sees the new deadline sees it too.
	if a.board.Config.Load().Version() != a.records.Version() {
		a.board.Config.Store(a.records.Config())
	}
	a.board.FreshUntil.Store(a.node.Deadline())
	a.board.Accepted.Store(a.node.Accepted())
	close(a.changed)
	a.changed = make(chan struct{})
}

// takeRecords moves to the newest of the records; a.mu is held.
func (a *Agreement) takeRecords(rs []thconfig.Record) error {
	before := a.records.Version()
	var err error
	for _, r := range rs {
		var n thconfig.Log
		if n, err = a.records.WithRecords([]thconfig.Record{r}); err != nil {
			break
		}
		a.records = n
		a.node.Advance(n.Version(), n.Config().Roster())
	}
	if v := a.records.Version(); v > before {
		a.log.Log(thevent.ConfigApplied, thevent.F("version", v))
		a.wakeUp()
	}
	if err != nil {
		a.log.Log(thevent.ConfigChainBroken, thevent.F("version", a.records.Version()), thevent.F("error", err.Error()))
	}
	a.publish()
	return err
}

// wakeUp lets the controller run soon; a wake-up that is waiting already serves.
func (a *Agreement) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// takeSnapshot moves to a newer snapshot; a.mu is held.
func (a *Agreement) takeSnapshot(c thconfig.Config, rosters []throster.Roster) {
	n, err := a.records.WithSnapshot(c)
	if err != nil {
		return
	}
	a.records = n
	a.node.Restart(c.Version(), rosters)
	a.log.Log(thevent.ConfigApplied, thevent.F("version", c.Version()))
	a.publish()
}
