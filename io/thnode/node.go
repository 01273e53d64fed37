// Package thnode starts and stops one VM's process: the listeners, the exchange
// of notices with other VMs, the source of routing table and targets, the server
// for callers and the client for targets. Stopping lets requests finish within
// the grace period.
package thnode

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thfleet"
	"tamarackhollow/core/thmemory"
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

// Options configure a Node.
type Options struct {
	Settings thsettings.Settings
	Store    thsource.Store
	// HeaderNames are the names of the header fields that callers and targets use.
	HeaderNames thmessage.HeaderNames
	// ReadinessPath is the path on which the load balancer checks readiness.
	ReadinessPath string
	// LiveSettings are applied at the start; ApplyLiveSettings changes them later.
	LiveSettings LiveSettings
	Log          thevent.Logger
	// StoreCalls returns the number of calls to the store by outcome, for metrics;
	// nil is allowed.
	StoreCalls func() map[string]uint64
}

// LiveSettings are the settings that may change while a VM runs.
type LiveSettings struct {
	// RetryBudget bounds the retries of all VMs together.
	RetryBudget thpick.RetryBudgetRule
	// FloorShare is the share of a service's targets, 0 to 1, that stays in use
	// while requests to the service fail.
	FloorShare float64
	// GracePeriod is the time between the signal to stop and the forced end of
	// the process.
	GracePeriod time.Duration
	// Seeds are the addresses of VMs to fetch table and targets from while the
	// store does not answer.
	Seeds []string
	// MaxConnections bounds the connections of callers; 0 derives it from the memory and the number
	// of descriptors that the process may have.
	MaxConnections int
	// MemoryMegabytes is how much memory the process may use; 0 leaves the
	// current limit.
	MemoryMegabytes int
}

// Node is one VM's running process. Create it with Start.
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
	burn           burnRecorder
	pool           *thpool.Pool
	monitor        *monitor
	// context ends when the process stops.
	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// gracePeriod is in nanoseconds.
	gracePeriod atomic.Int64
	stopping    sync.Once
}

const (
	// requestWorkers bounds the requests that one VM handles at once.
	requestWorkers = 2048
	// gcPercent saves processor time at the cost of memory, which a VM can afford
	// because its heap is small.
	gcPercent = 200
	// unfinishedShare is the share of the allowed memory that answers may take which are
	// not complete yet. Their buffers take up to twice as much.
	unfinishedShare = 0.15
	megabyte        = 1 << 20
)

// Start starts a VM's process and begins to serve callers.
func Start(options Options) (*Node, error) {
	debug.SetGCPercent(gcPercent)
	n := &Node{options: options, clock: thclock.System{}}
	n.context, n.cancel = context.WithCancel(context.Background())
	callers, err := net.Listen("tcp", options.Settings.Listen.Callers)
	if err != nil {
		return nil, therror.Wrap(therror.Internal, err, "listener for callers")
	}
	if err := n.build(); err != nil {
		return nil, err
	}
	n.ApplyLiveSettings(options.LiveSettings)
	n.serve(callers)
	options.Log.Log(thevent.ProcessStarted, thevent.F("callers", options.Settings.Listen.Callers), thevent.F("zone", options.Settings.VM.Zone))
	return n, nil
}

// ApplyLiveSettings puts changed settings into effect. It interrupts no request.
func (n *Node) ApplyLiveSettings(s LiveSettings) {
	n.gracePeriod.Store(int64(s.GracePeriod))
	n.source.SetSeeds(s.Seeds)
	n.forwarder.WithView(func(_ thclock.Instant, v *thview.View) { v.SetRules(s.RetryBudget, s.FloorShare) })
	if s.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(thmemory.RuntimeLimit(int64(s.MemoryMegabytes) * megabyte))
		n.sender.LimitUnfinishedBytes(int64(unfinishedShare * float64(s.MemoryMegabytes) * megabyte))
	}
	n.ingress.LimitMemory(n.callerLimits(s))
}

// callerLimits returns how many bytes callers may make the process hold, and how many connections they
// may have open.
func (n *Node) callerLimits(s LiveSettings) (bytes int64, connections int) {
	if s.MemoryMegabytes > 0 {
		bytes = thmemory.CallerLimit(int64(s.MemoryMegabytes) * megabyte)
	}
	if s.MaxConnections > 0 {
		return bytes, s.MaxConnections
	}
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		n.options.Log.Log(thevent.AcceptFailed, thevent.F("during", "the limit of descriptors"), thevent.F("error", err.Error()))
	}
	return bytes, thmemory.ConnectionLimit(bytes, int64(min(descriptors.Cur, math.MaxInt32)), thingress.ConnectionBytes)
}

// build creates the parts of the node and connects them, without serving yet.
func (n *Node) build() error {
	settings := n.options.Settings
	self := thfleet.Identity{ID: settings.VM.ID, Zone: settings.VM.Zone, Address: settings.Listen.Peers}
	pool, err := thpool.New(requestWorkers, n.options.Log)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "worker pool")
	}
	n.pool = pool
	n.sender = thsend.New(thsend.Options{LocalIP: settings.LocalIP(), Clock: n.clock, HeaderNames: n.options.HeaderNames})
	view := thview.New(thview.Options{
		Self: self, StartMillis: uint64(time.Now().UnixMilli()), StartedAt: n.clock.Now(), HasIdleConnection: n.sender.HasIdleConnection,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), OnSuspectChange: n.logSuspectChange,
		OnFloorChange: n.logFloorChange, OnLeaving: n.logLeaving, OnColdChange: n.logColdChange,
	})
	n.forwarder = thforward.New(thforward.Options{
		View: view, Table: n.table, Sender: n.sender, Clock: n.clock, Log: n.options.Log,
		NotifyPeers: n.wakeExchange, Ask: n.ask, RecordAttempt: n.recordAttempt, RecordWait: n.recordWait, RecordBeyondShare: n.recordBeyondShare,
		RecordLimitQuestion: n.recordLimitQuestion, RecordLimitRefusal: n.recordLimitRefusal,
	})
	if err := n.openExchange(); err != nil {
		return err
	}
	client := thwire.NewClient(thwire.ClientOptions{Credential: settings.Peers.Credential, From: settings.VM.ID, LocalIP: settings.LocalIP()})
	n.source = thsource.New(thsource.Options{
		Self: self, FirstStart: settings.VM.FirstStart, Store: n.options.Store, Fleet: fleetAdapter{n}, Client: client, Log: n.options.Log,
		ApplyTable: n.applyTable, ApplyTargets: n.forwarder.SetTargets, ApplyEvacuated: n.applyEvacuated,
	})
	n.peerServer = &thwire.Server{Credential: settings.Peers.Credential, Log: n.options.Log}
	n.source.Register(n.peerServer)
	n.operatorServer = &thwire.Server{Credential: settings.Operators.Credential, Log: n.options.Log, RefusedEvent: thevent.OperatorRefused}
	operatorAPI := thoperator.Server{Status: n.status, Report: n.report, Explain: n.explain, Peers: n.livePeers, Client: client, Log: n.options.Log}
	operatorAPI.Register(n.operatorServer, n.peerServer)
	n.monitor = newMonitor(n)
	n.ingress = thingress.New(thingress.Options{
		Table: n.table, Forwarder: n.forwarder, Clock: n.clock, Log: n.options.Log, HeaderNames: n.options.HeaderNames,
		AwaitConfiguration: n.source.AwaitLoaded, Submit: n.pool.Submit, RecordRequest: n.recordRequest,
	})
	return nil
}

// openExchange opens the UDP socket for notices. Other VMs' calls arrive on the
// TCP port of the same number.
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
		LockedView: n.forwarder, Log: n.options.Log, OnAnnouncement: func(ages thfleet.ReadAges) { n.source.HandleAnnouncement(ages) },
		OnTargetsLeave: n.forwarder.RetainConnections,
		OnRosterDiffers: func(p thfleet.Peer) {
			n.goroutines.Go(func() { n.source.CompareRoster(n.context, p.Identity.Address) })
		},
	}, socket)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "codec of notices")
	}
	return nil
}

func (n *Node) table() thtable.Table { return n.source.Table() }

func (n *Node) wakeExchange() { n.exchange.Wake() }

func (n *Node) ask(p thfleet.Peer, r thfleet.TokenRequest) (thfleet.Tokens, bool) {
	return n.exchange.Ask(p, r)
}

func (n *Node) applyTable(t thtable.Table) {
	n.forwarder.WithView(func(_ thclock.Instant, v *thview.View) { v.SetTable(t) })
}

// applyEvacuated replaces the evacuated zones, and logs which are new or were released.
func (n *Node) applyEvacuated(zones []string, at thtable.Position) {
	added, released := n.forwarder.SetEvacuated(zones)
	for _, z := range added {
		n.options.Log.Log(thevent.ZoneEvacuated, thevent.F("zone", z), thevent.F("version", at.Version), thevent.F("era", at.Era))
	}
	for _, z := range released {
		n.options.Log.Log(thevent.ZoneReleased, thevent.F("zone", z), thevent.F("version", at.Version), thevent.F("era", at.Era))
	}
}

// expireInterval is how often idle connections to targets are closed that have expired or lead to
// targets that get no requests any more.
const expireInterval = 2 * time.Second

// serve starts all servers, the exchange, the source and the regular closing of
// expired connections.
func (n *Node) serve(callers net.Listener) {
	n.listen(n.options.Settings.Listen.Peers, n.peerServer)
	n.listen(n.options.Settings.Listen.Operators, n.operatorServer)
	n.exchange.Start()
	n.goroutines.Go(func() { n.source.Run(n.context) })
	n.goroutines.Go(func() { n.ingress.Serve(callers) })
	n.pool.RunEvery(expireInterval, nil, func(context.Context) {
		n.sender.CloseExpired()
		n.forwarder.RetainConnections() // an attempt that was picked before may have opened one since
	})
	n.monitor.start()
}

// listen starts a server on the address, unless that is empty. If the address is
// in use, it only logs that: the VM can serve callers without this server.
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

// IsReady reports whether the load balancer may send callers to the VM.
func (n *Node) IsReady() bool { return !n.ingress.IsDraining() && n.source.IsLoaded() }

// fleetAdapter implements thsource.Fleet with the node's view and exchange.
type fleetAdapter struct{ node *Node }

func (f fleetAdapter) Role() (role thfleet.Role) {
	f.node.forwarder.WithView(func(now thclock.Instant, v *thview.View) { role = v.Role(now) })
	return role
}

func (f fleetAdapter) RoleBasis() (b thfleet.RoleBasis) {
	f.node.forwarder.WithView(func(now thclock.Instant, v *thview.View) { b = v.Fleet.RoleBasis(now) })
	return b
}

func (f fleetAdapter) IsRelayDue(have thfleet.StoreVersions) (due bool) {
	f.node.forwarder.WithView(func(now thclock.Instant, v *thview.View) { due = v.Fleet.IsRelayDue(now, v.Role(now), have) })
	return due
}

func (f fleetAdapter) FetchOrder(have thfleet.StoreVersions) (order []thfleet.Identity) {
	f.node.forwarder.WithView(func(now thclock.Instant, v *thview.View) {
		for _, p := range v.Fleet.FetchOrder(now, have) {
			order = append(order, p.Identity)
		}
	})
	return order
}

func (f fleetAdapter) RecordPeers(all []thfleet.Identity) {
	var discovered []thfleet.Peer
	f.node.forwarder.WithView(func(now thclock.Instant, v *thview.View) {
		for _, i := range all {
			if v.Fleet.RecordPeer(now, i) {
				discovered = append(discovered, thfleet.Peer{Identity: i})
			}
		}
	})
	f.node.exchange.IntroduceTo(discovered)
}

func (f fleetAdapter) NotePeer(i thfleet.Identity) {
	f.node.forwarder.WithView(func(now thclock.Instant, v *thview.View) { v.Fleet.RecordPeer(now, i) })
}

func (f fleetAdapter) Roster() (vms []thfleet.Identity, joined bool) {
	f.node.forwarder.WithView(func(now thclock.Instant, v *thview.View) { vms, joined = v.Fleet.Roster(now), v.IsJoined(now) })
	return vms, joined
}

func (f fleetAdapter) IsJoined() (joined bool) {
	f.node.forwarder.WithView(func(now thclock.Instant, v *thview.View) { joined = v.IsJoined(now) })
	return joined
}

func (f fleetAdapter) RandomPeers(n int) (all []thfleet.Identity) {
	f.node.forwarder.WithView(func(_ thclock.Instant, v *thview.View) {
		for _, p := range v.RandomPeers(n) {
			all = append(all, p.Identity)
		}
	})
	return all
}

func (f fleetAdapter) ZoneRank() (rank int) {
	f.node.forwarder.WithView(func(_ thclock.Instant, v *thview.View) { rank = v.Fleet.ZoneRank() })
	return rank
}

func (f fleetAdapter) NoteEra(era uint64) (since thclock.Instant) {
	f.node.forwarder.WithView(func(now thclock.Instant, v *thview.View) { since = v.Fleet.NoteEra(now, era) })
	return since
}

func (f fleetAdapter) LeavingTargets() (leaving []thfleet.LeavingTarget) {
	f.node.forwarder.WithView(func(_ thclock.Instant, v *thview.View) { leaving = v.LeavingTargets() })
	return leaving
}

func (f fleetAdapter) NoteLeaving(targets []thfleet.LeavingTarget) {
	f.node.forwarder.WithView(func(_ thclock.Instant, v *thview.View) { v.NoteLeaving(targets) })
}

func (f fleetAdapter) MarkJoined() { f.node.forwarder.MarkJoined() }

func (f fleetAdapter) AnnounceVersions(versions thfleet.StoreVersions, own thfleet.ReadAges, elsewhere bool) {
	f.node.exchange.AnnounceVersions(versions, own, elsewhere)
}
