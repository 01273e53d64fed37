// Package thburns counts what callers of this VM saw, brings the counts to
// their homes, and makes reports over all VMs. The counts outlast a VM through
// the platform's object store, in a few hundred objects for the whole fleet.
package thburns

import (
	"context"
	"sync"
	"time"

	"tamarackhollow/core/thburn"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/thstore"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thwire"
)

const (
	tick = time.Second
	// A VM sends its counts each sendPerVM times the number of VMs, so that a
	// home hears as many messages a second however many VMs there are.
	sendPerVM    = 125 * time.Millisecond
	minSend      = 2 * time.Second
	maxSend      = time.Minute
	storeEvery   = 5 * time.Minute
	callTimeout  = 2 * time.Second
	storeTimeout = 5 * time.Second
	// maxHeld bounds the entries that all outboxes keep together.
	maxHeld = 40_000
	// handOverWait is how long a new home waits for the earlier one's windows
	// before it looks into the store. Senders keep their counts meanwhile.
	handOverWait = 3 * time.Second
	// loadPatience is how long a new home waits for the store before it begins
	// without what was stored.
	loadPatience = 10 * time.Minute
)

// Options is what Burns needs.
type Options struct {
	Self     throster.VM
	Config   func() thconfig.Config
	Roster   func() throster.Roster
	Platform thstore.Platform
	Client   *thwire.Client
	Clock    thclock.Clock
	Log      thevent.Logger
}

// Burns is one VM's part in the report on service-level burn. Make one with
// New.
type Burns struct {
	o        Options
	source   string
	recorder recorder

	// mu guards what follows. It is held for decisions, never for calls.
	mu       sync.Mutex
	roster   uint64
	homes    [thburn.Parts]throster.VM
	outboxes [thburn.Parts]thburn.Outbox
	parts    map[int]*part
	nextSend thclock.Instant
	stats    Stats
}

// part is a part of the customers that this VM is the home of.
type part struct {
	mu     sync.Mutex
	ledger thburn.Ledger
	loaded bool
	// since is when the VM became the home.
	since     thclock.Instant
	nextStore thclock.Instant
}

// Stats are counters and sizes for the metrics.
type Stats struct {
	// Home is of how many parts the VM is the home.
	Home int
	// Series is how many windows' sets it keeps for them.
	Series int
	// Held is how many entries wait to outlast their home; Dropped were let go.
	Held, Dropped int
	// Sent and SentEntries count batches and entries brought to homes.
	Sent, SentEntries uint64
	// Failed counts batches that a home did not take.
	Failed uint64
	// Stored and StoredBytes count objects written.
	Stored, StoredBytes uint64
}

// New returns Burns that has counted nothing.
func New(o Options) *Burns {
	if o.Clock == nil {
		o.Clock = thclock.System{}
	}
	if o.Log == nil {
		o.Log = thevent.Discard{}
	}
	return &Burns{
		o:      o,
		source: sourceName(o.Self),
		parts:  make(map[int]*part),
	}
}

// Record counts one request as its caller saw it end.
func (b *Burns) Record(o thburn.Observation) {
	var objective thconfig.Objective
	if s, ok := b.o.Config().Service(o.Service); ok {
		objective = s.Objective
	}
	b.recorder.record(thburn.Name{Customer: o.Customer, Service: o.Service}, thburn.Classify(o, objective), o.Refused, o.Kind)
}

// Start brings the counts to their homes from now on.
func (b *Burns) Start(p *thpool.Pool) { p.Every(tick, nil, b.tick) }

func (b *Burns) tick(ctx context.Context) {
	now := b.o.Clock.Now()
	b.handOver(ctx, b.follow(now))
	b.load(ctx, now)
	b.mu.Lock()
	due := now.Passed(b.nextSend)
	if due {
		b.nextSend = now.Add(sendInterval(b.o.Roster().Len()))
	}
	b.mu.Unlock()
	if due {
		b.send(ctx, now)
	}
	b.closeMinutes(now)
	// What is not stored now is due again later.
	_ = b.store(ctx, now, false)
}

func sendInterval(vms int) time.Duration {
	return min(max(minSend, sendPerVM*time.Duration(vms)), maxSend)
}

// follow works out the homes anew when the roster has changed, and returns the
// parts whose home is another VM now.
func (b *Burns) follow(now thclock.Instant) []moved {
	r := b.o.Roster()
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Version() == b.roster && r.Len() > 0 && b.homes[0].ID != "" {
		return nil
	}
	b.roster = r.Version()
	var gone []moved
	for i, home := range thburn.Homes(r) {
		b.homes[i] = home
		p, mine := b.parts[i]
		switch {
		case home.ID == b.o.Self.ID && !mine:
			b.parts[i] = &part{since: now, nextStore: now.Add(storeEvery)}
		case home.ID != b.o.Self.ID && mine:
			delete(b.parts, i)
			gone = append(gone, moved{i, p, home})
		}
	}
	return gone
}

// ownParts returns the parts that this VM is the home of.
func (b *Burns) ownParts() map[int]*part {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make(map[int]*part, len(b.parts))
	for i, p := range b.parts {
		own[i] = p
	}
	return own
}

func (b *Burns) part(i int) (*part, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.parts[i]
	return p, ok
}

func (b *Burns) closeMinutes(now thclock.Instant) {
	config := b.o.Config()
	rates := func(customer string) (float64, bool) {
		u, ok := config.Customer(customer)
		return u.Rate, ok
	}
	for _, p := range b.ownParts() {
		p.mu.Lock()
		p.ledger.Close(now, rates)
		p.mu.Unlock()
	}
}

// Stats returns the counters and sizes of the present moment.
func (b *Burns) Stats() Stats {
	b.mu.Lock()
	s := b.stats
	for i := range b.outboxes {
		s.Held += b.outboxes[i].Held()
		s.Dropped += b.outboxes[i].Dropped
	}
	b.mu.Unlock()
	for _, p := range b.ownParts() {
		p.mu.Lock()
		s.Home++
		s.Series += p.ledger.Len()
		p.mu.Unlock()
	}
	return s
}

// Leave brings all counts to their homes and stores what this VM is the home
// of.
func (b *Burns) Leave(ctx context.Context) error {
	now := b.o.Clock.Now()
	b.send(ctx, now)
	return b.store(ctx, now, true)
}
