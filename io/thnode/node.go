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
	// HeaderNames are the header fields of callers and targets.
	HeaderNames thmessage.Names
	// ReadinessPath is where the balancer asks.
	ReadinessPath string
	// LiveSettings are what may change while the VM runs.
	LiveSettings LiveSettings
	Log          thevent.Logger
	// StoreCalls counts the calls to the store by outcome, for metrics.
	StoreCalls func() map[string]uint64
}

// LiveSettings are the settings that may change while a VM runs.
type LiveSettings struct {
	// RetryBudget bounds repeats over all VMs.
	RetryBudget thpick.BudgetRule
	// FloorShare is the share of a service's targets that stays in use while
	// the service loses requests.
	FloorShare float64
	// GracePeriod is the time between the order to stop and the end by force.
	GracePeriod time.Duration
	// Seeds are VMs that are asked while the store does not answer.
	Seeds []string
	// MemoryMegabytes is what the process may use; 0 is no bound.
	MemoryMegabytes int
}

// Node is one running VM. Make one with Start.
type Node struct {
	options        Options
	clock          thclock.Clock
	forwarder      *thforward.Forwarder
	exchange       *thgossip.Exchange
	source         *thsource.Source
	sender         *thsend.Client
	ingress        *thingress.Server
	peerServer     *thwire.Server
	operatorServer *thwire.Server
	burn           burnLedger
	pool           *thpool.Pool
	monitor        *monitor
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	// gracePeriod is in nanoseconds.
	gracePeriod atomic.Int64
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
	n := &Node{options: o, clock: thclock.System{}}
	callers, err := net.Listen("tcp", o.Settings.Listen.Callers)
	if err != nil {
		return nil, therror.Wrap(therror.Internal, err, "listener for callers")
	}
	if err := n.build(); err != nil {
		return nil, err
	}
	n.ApplyLiveSettings(o.LiveSettings)
	n.serve(callers)
	o.Log.Log(thevent.ProcessStarted, thevent.F("callers", o.Settings.Listen.Callers), thevent.F("zone", o.Settings.VM.Zone))
	return n, nil
}

// ApplyLiveSettings takes the rules into effect. No request is cut by it.
func (n *Node) ApplyLiveSettings(r LiveSettings) {
	n.gracePeriod.Store(int64(r.GracePeriod))
	n.source.SetSeeds(r.Seeds)
	n.forwarder.With(func(_ thclock.Instant, v *thview.View) { v.SetRules(r.RetryBudget, r.FloorShare) })
	if r.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(r.MemoryMegabytes) * megabyte))
	}
}

func (n *Node) build() error {
	t := n.options.Settings
	self := thfleet.Identity{ID: t.VM.ID, Zone: t.VM.Zone, Address: t.Listen.Peers}
	pool, err := thpool.New(requestWorkers, n.options.Log)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "worker pool")
	}
	n.pool = pool
	n.sender = thsend.New(thsend.Options{LocalIP: t.LocalIP(), Clock: n.clock, Names: n.options.HeaderNames})
	view := thview.New(thview.Options{
		Self: self, Start: uint64(time.Now().UnixMilli()), HasIdle: n.sender.HasIdle,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Changed: n.logTargetState,
	})
	n.forwarder = thforward.New(thforward.Options{
		View: view, Table: n.table, Sender: n.sender, Clock: n.clock, Log: n.options.Log,
		Stir: n.wakeExchange, Attempted: n.recordAttempt,
	})
	if err := n.openExchange(); err != nil {
		return err
	}
	client := thwire.NewClient(thwire.Identity{Credential: t.Peers.Credential, From: t.VM.ID, LocalIP: t.LocalIP()})
	n.source = thsource.New(thsource.Options{
		Self: self, Store: n.options.Store, Fleet: fleetView{n}, Client: client, Log: n.options.Log,
		ApplyTable: n.applyTable, ApplyTargets: n.forwarder.SetTargets,
	})
	n.peerServer = &thwire.Server{Credential: t.Peers.Credential, Log: n.options.Log}
	n.source.Register(n.peerServer)
	n.operatorServer = &thwire.Server{Credential: t.Operators.Credential, Log: n.options.Log, Dropped: thevent.OperatorRefused}
	answers := thoperator.Server{Status: n.status, Report: n.report, Peers: n.livePeers, Client: client, Log: n.options.Log}
	answers.Register(n.operatorServer, n.peerServer)
	n.monitor = newMonitor(n)
	n.ingress = thingress.New(thingress.Options{
		Table: n.table, Runner: n.forwarder, Clock: n.clock, Log: n.options.Log, Names: n.options.HeaderNames,
		Submit: n.pool.Submit, Record: n.recordRequest,
	})
	return nil
}

// openExchange opens the port between VMs: notices come as datagrams,
// calls over TCP.
func (n *Node) openExchange() error {
	address, err := net.ResolveUDPAddr("udp", n.options.Settings.Listen.Peers)
	if err != nil {
		return therror.Wrap(therror.SettingsInvalid, err, "listen.peers")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "socket for notices")
	}
	n.exchange, err = thgossip.New(thgossip.Options{
		LockedView: n.forwarder, Log: n.options.Log, OnAnnouncement: func() { n.source.HandleAnnouncement() },
	}, socket)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "codec of notices")
	}
	return nil
}

func (n *Node) table() thtable.Table { return n.source.Table() }

func (n *Node) wakeExchange() { n.exchange.Wake() }

func (n *Node) applyTable(t thtable.Table) {
	n.forwarder.With(func(_ thclock.Instant, v *thview.View) { v.SetTable(t) })
}

// expireInterval is how often idle connections to targets are looked through.
const expireInterval = 2 * time.Second

func (n *Node) serve(callers net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.listen(n.options.Settings.Listen.Peers, n.peerServer)
	n.listen(n.options.Settings.Listen.Operators, n.operatorServer)
	n.exchange.Start()
	n.goroutines.Go(func() { n.source.Run(ctx) })
	n.goroutines.Go(func() { n.ingress.Serve(callers) })
	n.pool.Every(expireInterval, nil, func(context.Context) { n.sender.Expire() })
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
		n.options.Log.Log(thevent.AcceptFailed, thevent.F("address", address), thevent.F("error", err.Error()))
		return
	}
	s.Start(l)
}

// IsReady reports whether the VM may take callers.
func (n *Node) IsReady() bool { return !n.ingress.Draining() && n.source.IsLoaded() }

const (
	// idleCloseShare and workShare are the parts of the grace after which idle
	// connections are closed and requests are no longer waited for.
	idleCloseShare   = 0.6
	requestWaitShare = 0.93
)

// Stop drains the VM: readiness goes first, each answer ends its connection,
// and idle connections are closed once the balancer has had time to notice.
func (n *Node) Stop() {
	n.options.Log.Log(thevent.ProcessDraining, thevent.F("inFlight", n.ingress.InFlight()))
	began, grace := time.Now(), float64(n.gracePeriod.Load())
	n.ingress.Drain()
	leave, cancel := context.WithTimeout(context.Background(), time.Second)
	if err := n.source.Leave(leave); err != nil {
		n.options.Log.Log(thevent.StoreLost, thevent.F("error", err.Error()), thevent.F("during", "leave"))
	}
	cancel()
	idle := began.Add(time.Duration(idleCloseShare * grace))
	for time.Now().Before(idle) && n.ingress.Connections() > 0 {
		time.Sleep(50 * time.Millisecond)
	}
	n.ingress.CloseIdle()
	work, cancel := context.WithDeadline(context.Background(), began.Add(time.Duration(requestWaitShare*grace)))
	n.ingress.Quiet(work)
	cancel()
	n.cancel()
	n.exchange.Close()
	n.options.Log.Log(thevent.ProcessStopped, thevent.F("inFlight", n.ingress.InFlight()))
	time.Sleep(flushDelay)
}

// flushDelay lets the last answers and log lines out.
const flushDelay = 50 * time.Millisecond

// fleetView shows the source the other VMs.
type fleetView struct{ node *Node }

func (f fleetView) Role() (d thfleet.Duty) {
	f.node.forwarder.With(func(now thclock.Instant, v *thview.View) { d = v.Fleet.Duty(now) })
	return d
}

func (f fleetView) HasOtherZoneRead() (read bool) {
	f.node.forwarder.With(func(now thclock.Instant, v *thview.View) { read = v.Fleet.ReadElsewhere(now) })
	return read
}

func (f fleetView) FindNewer(have thfleet.Reading) (i thfleet.Identity, ok bool) {
	f.node.forwarder.With(func(now thclock.Instant, v *thview.View) {
		var p thfleet.Peer
		p, ok = v.Fleet.Ahead(now, have)
		i = p.Identity
	})
	return i, ok
}

func (f fleetView) RecordPeers(all []thfleet.Identity) {
	f.node.forwarder.With(func(now thclock.Instant, v *thview.View) {
		for _, i := range all {
			v.Fleet.Introduce(now, i)
		}
	})
	f.node.exchange.Introduce()
}

func (f fleetView) AnnounceVersions(r thfleet.Reading, read bool) {
	f.node.exchange.AnnounceVersions(r, read)
}
