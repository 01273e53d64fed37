// Package thnode puts one VM's process on the platform together: listeners,
// the exchange with other VMs, the source of table and targets, the callers'
// side and the targets' side, and takes them down again without cutting a
// request.
package thnode

import (
	"context"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thsettings"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thview"
	"tamarackhollow/io/thforward"
	"tamarackhollow/io/thgossip"
	"tamarackhollow/io/thingress"
	"tamarackhollow/io/thoperator"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thsend"
	"tamarackhollow/io/thsource"
	"tamarackhollow/io/thwire"
)

// Options are what a Node is made of.
type Options struct {
	Settings thsettings.Settings
	// Store is the platform's store.
	Store thsource.Store
	// Names are the header fields of callers and targets.
	Names thmessage.HeaderNames
	// ReadinessPath is where the balancer asks.
	ReadinessPath string
	// Rules are what may change while the VM runs.
	Rules Rules
	Log   thevent.Logger
	// StoreCalls counts the calls to the store by outcome, for metrics.
	StoreCalls func() map[string]uint64
}

// Rules are the settings that may change while a VM runs.
type Rules struct {
	// Budget bounds repeats over all VMs.
	Budget thpick.BudgetRule
	// FloorShare is the share of a service's targets that stays in use while
	// the service loses requests.
	FloorShare float64
	// Grace is the time between the order to stop and the end by force.
	Grace time.Duration
	// Seeds are VMs that are asked while the store does not answer.
	Seeds []string
	// MemoryMegabytes is what the process may use; 0 is no bound.
	MemoryMegabytes int
}

// Node is one running VM. Make one with Start.
type Node struct {
	o         Options
	clock     thclock.Clock
	forwarder *thforward.Forwarder
	exchange  *thgossip.Exchange
	source    *thsource.Source
	sender    *thsend.Client
	ingress   *thingress.Server
	peers     *thwire.Server
	operators *thwire.Server
	burn      burn
	pool      *thpool.Pool
	monitor   *monitor
	cancel    context.CancelFunc
	wait      sync.WaitGroup
	// grace is in nanoseconds.
	grace atomic.Int64
}

const (
	// requestWorkers bounds the requests that run at once in one VM.
	requestWorkers = 2048
	// gcPercent trades processor time for memory: a VM's heap is small.
	gcPercent = 200
	// memoryShare is the part of the VM's memory that the runtime stays under.
	memoryShare = 0.7
	megabyte    = 1 << 20
)

// Start makes a VM of the options and begins to take callers.
func Start(o Options) (*Node, error) {
	debug.SetGCPercent(gcPercent)
	n := &Node{o: o, clock: thclock.System{}}
	callers, err := net.Listen("tcp", o.Settings.Listen.Callers)
	if err != nil {
		return nil, therror.Wrap(therror.Internal, err, "listener for callers")
	}
	if err := n.assemble(); err != nil {
		return nil, err
	}
	n.Adopt(o.Rules)
	n.run(callers)
	o.Log.Log(thevent.ProcessStarted, thevent.F("callers", o.Settings.Listen.Callers), thevent.F("zone", o.Settings.VM.Zone))
	return n, nil
}

// Adopt takes the rules into effect. No request is cut by it.
func (n *Node) Adopt(r Rules) {
	n.grace.Store(int64(r.Grace))
	n.source.SetSeeds(r.Seeds)
	n.forwarder.With(func(_ thclock.Instant, v *thview.View) { v.SetRules(r.Budget, r.FloorShare) })
	if r.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(r.MemoryMegabytes) * megabyte))
	}
}

func (n *Node) assemble() error {
	t := n.o.Settings
	self := thfleet.Identity{ID: t.VM.ID, Zone: t.VM.Zone, Address: t.Listen.Peers}
	pool, err := thpool.New(requestWorkers, n.o.Log)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "worker pool")
	}
	n.pool = pool
	n.sender = thsend.New(thsend.Options{LocalIP: t.LocalIP(), Clock: n.clock, Names: n.o.Names})
	view := thview.New(thview.Options{
		Self: self, Start: uint64(time.Now().UnixMilli()), HasIdle: n.sender.HasIdle,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Changed: n.noteTarget,
	})
	n.forwarder = thforward.New(thforward.Options{
		View: view, Table: n.table, Sender: n.sender, Clock: n.clock, Log: n.o.Log,
		Stir: n.stir, Attempted: n.noteAttempt,
	})
	if err := n.assembleExchange(); err != nil {
		return err
	}
	client := thwire.NewClient(thwire.Identity{Credential: t.Peers.Credential, From: t.VM.ID, LocalIP: t.LocalIP()})
	n.source = thsource.New(thsource.Options{
		Self: self, Store: n.o.Store, Fleet: fleet{n}, Client: client, Log: n.o.Log,
		ApplyTable: n.applyTable, ApplyTargets: n.forwarder.SetTargets,
	})
	n.peers = &thwire.Server{Credential: t.Peers.Credential, Log: n.o.Log}
	n.source.Register(n.peers)
	n.operators = &thwire.Server{Credential: t.Operators.Credential, Log: n.o.Log, Dropped: thevent.OperatorRefused}
	answers := thoperator.Server{Status: n.status, Report: n.report, Peers: n.others, Client: client, Log: n.o.Log}
	answers.Register(n.operators, n.peers)
	n.monitor = newMonitor(n)
	n.ingress = thingress.New(thingress.Options{
		Table: n.table, Runner: n.forwarder, Clock: n.clock, Log: n.o.Log, Names: n.o.Names,
		Submit: n.pool.Submit, Record: n.record,
	})
	return nil
}

// assembleExchange opens the port between VMs: notices come as datagrams,
// calls over TCP.
func (n *Node) assembleExchange() error {
	address, err := net.ResolveUDPAddr("udp", n.o.Settings.Listen.Peers)
	if err != nil {
		return therror.Wrap(therror.SettingsInvalid, err, "listen.peers")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "socket for notices")
	}
	n.exchange, err = thgossip.New(thgossip.Options{
		Guard: n.forwarder, Log: n.o.Log, Heard: func() { n.source.Heard() },
	}, socket)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "codec of notices")
	}
	return nil
}

func (n *Node) table() thtable.Table { return n.source.Table() }

func (n *Node) stir() { n.exchange.Stir() }

func (n *Node) applyTable(t thtable.Table) {
	n.forwarder.With(func(_ thclock.Instant, v *thview.View) { v.SetTable(t) })
}

// expireEvery is how often idle connections to targets are looked through.
const expireEvery = 2 * time.Second

func (n *Node) run(callers net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.listen(n.o.Settings.Listen.Peers, n.peers)
	n.listen(n.o.Settings.Listen.Operators, n.operators)
	n.exchange.Start()
	n.wait.Go(func() { n.source.Run(ctx) })
	n.wait.Go(func() { n.ingress.Serve(callers) })
	n.pool.Every(expireEvery, nil, func(context.Context) { n.sender.Expire() })
	n.monitor.start()
}

// listen has a server take calls, unless there is no address for it. A VM whose
// address is taken serves callers all the same.
func (n *Node) listen(address string, s *thwire.Server) {
	if address == "" {
		return
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		n.o.Log.Log(thevent.AcceptFailed, thevent.F("address", address), thevent.F("error", err.Error()))
		return
	}
	s.Start(l)
}

// Ready reports whether the VM may take callers.
func (n *Node) Ready() bool { return !n.ingress.Draining() && n.source.Known() }

const (
	// idleShare and workShare are the parts of the grace after which idle
	// connections are closed and requests are no longer waited for.
	idleShare = 0.6
	workShare = 0.93
)

// Stop drains the VM: readiness goes first, each answer ends its connection,
// and idle connections are closed once the balancer has had time to notice.
func (n *Node) Stop() {
	n.o.Log.Log(thevent.ProcessDraining, thevent.F("inFlight", n.ingress.InFlight()))
	began, grace := time.Now(), float64(n.grace.Load())
	n.ingress.Drain()
	leave, cancel := context.WithTimeout(context.Background(), time.Second)
	if err := n.source.Leave(leave); err != nil {
		n.o.Log.Log(thevent.StoreLost, thevent.F("error", err.Error()), thevent.F("during", "leave"))
	}
	cancel()
	idle := began.Add(time.Duration(idleShare * grace))
	for time.Now().Before(idle) && n.ingress.Connections() > 0 {
		time.Sleep(50 * time.Millisecond)
	}
	n.ingress.CloseIdle()
	work, cancel := context.WithDeadline(context.Background(), began.Add(time.Duration(workShare*grace)))
	n.ingress.Quiet(work)
	cancel()
	n.cancel()
	n.exchange.Close()
	n.o.Log.Log(thevent.ProcessStopped, thevent.F("inFlight", n.ingress.InFlight()))
	time.Sleep(flushPause)
}

// flushPause lets the last answers and log lines out.
const flushPause = 50 * time.Millisecond

// fleet shows the source the other VMs.
type fleet struct{ n *Node }

func (f fleet) Duty() (d thfleet.Duty) {
	f.n.forwarder.With(func(now thclock.Instant, v *thview.View) { d = v.Fleet.Duty(now) })
	return d
}

func (f fleet) ReadElsewhere() (read bool) {
	f.n.forwarder.With(func(now thclock.Instant, v *thview.View) { read = v.Fleet.ReadElsewhere(now) })
	return read
}

func (f fleet) Ahead(have thfleet.Reading) (i thfleet.Identity, ok bool) {
	f.n.forwarder.With(func(now thclock.Instant, v *thview.View) {
		var p thfleet.Peer
		p, ok = v.Fleet.Ahead(now, have)
		i = p.Identity
	})
	return i, ok
}

func (f fleet) Introduce(all []thfleet.Identity) {
	f.n.forwarder.With(func(now thclock.Instant, v *thview.View) {
		for _, i := range all {
			v.Fleet.Introduce(now, i)
		}
	})
	f.n.exchange.Introduce()
}

func (f fleet) Tell(r thfleet.Reading, read bool) { f.n.exchange.Tell(r, read) }
