// Package thquarantines watches the attempts that go to targets for requests
// that crash them, shares what it sees with the other VMs, and refuses such
// requests on all of them; package thquarantine decides.
package thquarantines

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thquarantine"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throster"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thwire"
)

const (
	path = "/quarantine/suspects"

	gossipInterval = time.Second
	probeInterval  = 100 * time.Millisecond
	// probeFor is how long after a cut its target is tried for a refusal.
	probeFor     = time.Second
	probeTimeout = 200 * time.Millisecond
	callTimeout  = time.Second
	// maxProbes bounds the targets that are tried at a time.
	maxProbes = 64
	// urgentPeers bounds the peers told of a death at once; the others hear of
	// it from them.
	urgentPeers = 64
)

// Sender makes one attempt against one target.
type Sender interface {
	Send(ctx context.Context, target string, q *threquest.Request) threquest.Attempt
}

// Options are what a Guard is made of. Sender, Clock and Log are needed.
type Options struct {
	Sender Sender
	Clock  thclock.Clock
	Log    thevent.Logger
	Self   throster.VM
	// Client and Roster serve to tell the other VMs; without them nothing is shared.
	Client *thwire.Client
	Roster func() throster.Roster
}

// Guard is a Sender that refuses quarantined requests. Make one with New. It
// is safe for concurrent use.
type Guard struct {
	options Options
	// count is the number of suspects, for the path of requests, on which
	// there are nearly always none.
	count atomic.Int64
	wake  chan struct{}
	probe chan struct{}

	mu     sync.Mutex
	table  thquarantine.Table
	probes []probe
	// urgent is set if there is news for the other VMs.
	urgent bool
}

// probe is a target to be tried until the instant.
type probe struct {
	target string
	until  thclock.Instant
}

// New returns a guard that suspects nothing.
func New(o Options) *Guard {
	return &Guard{options: o, wake: make(chan struct{}, 1), probe: make(chan struct{}, 1)}
}

// Register adds the calls that peers make.
func (g *Guard) Register(s *thwire.Server) {
	thwire.Handle(s, path, func(_ thwire.Sender, others []thquarantine.Suspect) ([]thquarantine.Suspect, error) {
		g.merge(others)
		return g.suspects(), nil
	})
}

// Start adds the controllers that try targets after cuts and tell the other VMs.
func (g *Guard) Start(p *thpool.Pool) {
	p.Every(probeInterval, g.probe, g.probeTargets)
	p.Every(gossipInterval, g.wake, g.gossip)
}

// Check returns an error of kind Quarantined if the request is not to run.
func (g *Guard) Check(q *threquest.Request) error {
	if g.count.Load() == 0 {
		return nil
	}
	k := thquarantine.KeyOf(q)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table.Held(g.options.Clock.Now(), k) {
		return therror.New(therror.Quarantined, "targets died whenever they ran this request")
	}
	return nil
}

// Died reports whether the death of the target just now is put down to a
// request that kills its targets, this one or another that ran beside it.
func (g *Guard) Died(_ *threquest.Request, target string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Blamed(g.options.Clock.Now(), target)
}

// Send makes one attempt, unless the request is quarantined.
func (g *Guard) Send(ctx context.Context, target string, q *threquest.Request) threquest.Attempt {
	if err := g.Check(q); err != nil {
		now := g.options.Clock.Now()
		return threquest.Attempt{Target: target, Err: err, Began: now, Ended: now}
	}
	a := g.options.Sender.Send(ctx, target, q)
	g.observe(q, a)
	return a
}

func (g *Guard) observe(q *threquest.Request, a threquest.Attempt) {
	switch {
	case a.Err == nil:
		if g.count.Load() > 0 && a.Answer != nil && a.Answer.Status < serverFailure {
			g.answered(q)
		}
	case a.Sent && therror.Is(a.Err, therror.AnswerLost):
		g.cut(q, a.Target, false)
	case a.Sent && therror.Is(a.Err, therror.AnswerBroken):
		g.cut(q, a.Target, true)
	case refused(a.Err):
		g.refused(a.Target)
	}
}

// serverFailure is the lowest status that does not clear a request.
const serverFailure = 500

func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (g *Guard) cut(q *threquest.Request, target string, answering bool) {
	now := g.options.Clock.Now()
	k := thquarantine.KeyOf(q)
	g.mu.Lock()
	before := g.table.Held(now, k)
	g.table.Cut(now, k, target, answering)
	if len(g.probes) < maxProbes {
		g.probes = append(g.probes, probe{target, now.Add(probeFor)})
	}
	held := !before && g.table.Held(now, k)
	g.news()
	g.mu.Unlock()
	signal(g.probe)
	if held {
		g.logHeld(k)
	}
}

func (g *Guard) refused(target string) {
	if g.count.Load() == 0 {
		return
	}
	g.mu.Lock()
	before := g.heldKeys()
	if g.table.Refused(g.options.Clock.Now(), target) {
		g.news()
	}
	after := g.heldKeys()
	g.mu.Unlock()
	for k := range after {
		if !before[k] {
			g.logHeld(k)
		}
	}
}

func (g *Guard) heldKeys() map[thquarantine.Key]bool {
	now := g.options.Clock.Now()
	held := make(map[thquarantine.Key]bool)
	for _, s := range g.table.Suspects() {
		if g.table.Held(now, s.Key) {
			held[s.Key] = true
		}
	}
	return held
}

func (g *Guard) logHeld(k thquarantine.Key) {
	g.options.Log.Log(thevent.RequestQuarantined, thevent.F("customer", k.Customer), thevent.F("digest", fmt.Sprintf("%016x", k.Hash)))
}

func (g *Guard) answered(q *threquest.Request) {
	k := thquarantine.KeyOf(q)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table.Answered(g.options.Clock.Now(), k) {
		g.news()
	}
}

// news marks that the other VMs are to be told; the lock is held.
func (g *Guard) news() {
	g.count.Store(int64(g.table.Len()))
	g.urgent = true
	signal(g.wake)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// probeTargets tries the targets of recent cuts: one that refuses connections
// has died, one that takes them has not.
func (g *Guard) probeTargets(ctx context.Context) {
	now := g.options.Clock.Now()
	g.mu.Lock()
	var left []probe
	for _, p := range g.probes {
		if !now.Passed(p.until) {
			left = append(left, p)
		}
	}
	g.probes = left
	g.mu.Unlock()
	for _, p := range left {
		d := net.Dialer{Timeout: probeTimeout}
		if g.options.Self.PeerAddress != "" {
			d.LocalAddr = localAddress(g.options.Self.PeerAddress)
		}
		c, err := d.DialContext(ctx, "tcp", p.target)
		if err == nil {
			_ = c.Close()
		}
		if refused(err) {
			g.refused(p.target)
		}
	}
}

func localAddress(peer string) net.Addr {
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(host)}
}

// gossip tells all VMs of news, and else one VM at random what it knows.
func (g *Guard) gossip(ctx context.Context) {
	g.mu.Lock()
	urgent := g.urgent
	g.urgent = false
	g.table.Sweep(g.options.Clock.Now())
	g.count.Store(int64(g.table.Len()))
	g.mu.Unlock()
	if g.options.Client == nil || g.options.Roster == nil || g.count.Load() == 0 {
		return
	}
	peers := g.peers()
	if !urgent {
		peers = peers[:min(1, len(peers))]
	}
	var wait sync.WaitGroup
	for _, v := range peers[:min(urgentPeers, len(peers))] {
		wait.Go(func() { g.exchange(ctx, v) })
	}
	wait.Wait()
}

// peers returns the other VMs in random order.
func (g *Guard) peers() []throster.VM {
	var vs []throster.VM
	for _, v := range g.options.Roster().VMs() {
		if v.ID != g.options.Self.ID {
			vs = append(vs, v)
		}
	}
	rand.Shuffle(len(vs), func(i, j int) { vs[i], vs[j] = vs[j], vs[i] })
	return vs
}

func (g *Guard) exchange(ctx context.Context, v throster.VM) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	others, err := thwire.Call[[]thquarantine.Suspect, []thquarantine.Suspect](ctx, g.options.Client, v.PeerAddress, path, g.suspects())
	if err == nil {
		g.merge(others)
	}
}

func (g *Guard) merge(others []thquarantine.Suspect) {
	if len(others) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Merge(g.options.Clock.Now(), others)
	g.count.Store(int64(g.table.Len()))
}

func (g *Guard) suspects() []thquarantine.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Suspects()
}
