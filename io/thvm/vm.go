// Package thvm puts one VM's process together: listeners, controllers and the
// parts that decide, and takes them down again without cutting a request.
package thvm

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"tamarackhollow/core/thboard"
	"tamarackhollow/core/thclock"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/threquest"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/thsettings"
	"tamarackhollow/io/thagree"
	"tamarackhollow/io/thbalance"
	"tamarackhollow/io/thburns"
	"tamarackhollow/io/thcaller"
	"tamarackhollow/io/thclaims"
	"tamarackhollow/io/thgate"
	"tamarackhollow/io/thgrant"
	"tamarackhollow/io/thmetrics"
	"tamarackhollow/io/thoperator"
	"tamarackhollow/io/thplatform"
	"tamarackhollow/io/thpool"
	"tamarackhollow/io/thquarantines"
	"tamarackhollow/io/thtarget"
	"tamarackhollow/io/thwire"
)

// readyInterval is how often readiness is looked at for the log.
const readyInterval = 200 * time.Millisecond

// Options are what a VM is made of.
type Options struct {
	Settings thsettings.Settings
	// Incarnation is taken unless the settings name one.
	Incarnation uint64
}

// VM is one running VM. Make one with Start.
type VM struct {
	settings  thsettings.Settings
	self      throster.VM
	log       thevent.Logger
	clock     thclock.Clock
	board     thboard.Board
	pool      *thpool.Pool
	platform  *thplatform.Client
	agreement *thagree.Agreement
	limiter   *thgrant.Limiter
	balance   *thbalance.Forwarder
	sender    *thtarget.Client
	guard     *thquarantines.Guard
	claims    *thclaims.Claims
	burns     *thburns.Burns
	seen      *thmetrics.Requests
	metrics   *thmetrics.Server
	callers   *thcaller.Server
	peers     *thwire.Server
	operators *thwire.Server
	listeners listeners
	wasReady  atomic.Bool
	stopping  atomic.Bool
}

// listeners are a VM's; metrics is nil if none are served.
type listeners struct{ callers, peers, operators, metrics net.Listener }

// Start makes a VM of the settings and has it join. It takes callers as soon
// as it has a configuration.
func Start(o Options, log thevent.Logger) (*VM, error) {
	v := &VM{settings: o.Settings, self: o.Settings.Self(o.Incarnation), log: log, clock: thclock.System{}}
	if err := v.listen(); err != nil {
		return nil, err
	}
	pool, err := thpool.New(o.Settings.Workers.Size(), log)
	if err != nil {
		return nil, therror.Wrap(therror.Internal, err, "worker pool")
	}
	v.pool = pool
	v.assemble()
	v.serve()
	log.Log(thevent.ProcessStarted, thevent.F("callers", v.CallerAddress()), thevent.F("zone", v.self.Zone))
	return v, nil
}

func (v *VM) listen() error {
	l := v.settings.Listen
	var err error
	if v.listeners.callers, err = net.Listen("tcp", l.Callers); err != nil {
		return therror.Wrap(therror.Internal, err, "listener for callers")
	}
	if v.listeners.peers, err = net.Listen("tcp", l.Peers); err != nil {
		return therror.Wrap(therror.Internal, err, "listener for peers")
	}
	if v.listeners.operators, err = net.Listen("tcp", l.Operators); err != nil {
		return therror.Wrap(therror.Internal, err, "listener for operators")
	}
	if l.Metrics == "" {
		return nil
	}
	if v.listeners.metrics, err = net.Listen("tcp", l.Metrics); err != nil {
		return therror.Wrap(therror.Internal, err, "listener for metrics")
	}
	return nil
}

// CallerAddress is where the VM takes callers.
func (v *VM) CallerAddress() string { return v.listeners.callers.Addr().String() }

// OperatorAddress is where the VM takes operators.
func (v *VM) OperatorAddress() string { return v.listeners.operators.Addr().String() }

// Agreement is the VM's part in what the VMs agree on.
func (v *VM) Agreement() *thagree.Agreement { return v.agreement }

func (v *VM) assemble() {
	t := v.settings
	identity := thwire.Identity{From: v.self.ID, Incarnation: v.self.Incarnation, LocalIP: t.LocalIP()}
	identity.Credential = t.Platform.Credential
	v.platform = thplatform.New(thwire.NewClient(identity), t.Platform.Address, v.log)
	identity.Credential = t.Peers.Credential
	wire := thwire.NewClient(identity)

	v.agreement = thagree.New(thagree.Options{
		Self: v.self, Platform: v.platform, Client: wire, Clock: v.clock, Log: v.log, Seeds: t.Peers.Seeds, Board: &v.board,
	})
	v.limiter = thgrant.New(thgrant.Options{
		Self: v.self, Roster: v.agreement.Roster, CheckFresh: v.agreement.CheckFresh, Config: v.board.Config.Load,
		Accepted: v.board.Accepted.Load, Client: wire, Clock: v.clock, Log: v.log,
	})
	v.sender = thtarget.New(thtarget.Options{LocalIP: t.LocalIP(), Clock: v.clock, Log: v.log, VMs: func() int { return v.agreement.Roster().Len() }})
	gate := thgate.Gate{Next: v.sender, Config: v.board.Config.Load, CheckFresh: v.agreement.CheckFresh, Clock: v.clock}
	v.guard = thquarantines.New(thquarantines.Options{
		Sender: gate, Clock: v.clock, Log: v.log, Self: v.self, Client: wire, Roster: v.agreement.Roster,
	})
	v.balance = thbalance.New(thbalance.Options{
		Self: v.self, Roster: v.agreement.Roster, Config: v.board.Config.Load, Sender: v.guard, Blame: v.guard,
		Client: wire, Clock: v.clock, Log: v.log,
	})
	v.claims = thclaims.New(thclaims.Options{
		Platform: v.platform, Clock: v.clock, Log: v.log, Self: v.self,
		Peers: thclaims.NewPeers(wire), Roster: v.agreement.Roster,
	})
	v.burns = thburns.New(thburns.Options{
		Self: v.self, Config: v.board.Config.Load, Roster: v.agreement.Roster, Platform: v.platform,
		Client: wire, Clock: v.clock, Log: v.log,
	})
	v.seen = thmetrics.NewRequests()
	v.callers = thcaller.New(thcaller.Options{
		Config: v.board.Config.Load, CheckFresh: v.agreement.CheckFresh, Limiter: v.limiter, Runner: v,
		Clock: v.clock, Record: v.record, Ready: v.agreement.Ready, MaxBodyBytes: t.Requests.MaxBody(),
		IDPrefix: v.self.ID + "-" + strconv.FormatUint(v.self.Incarnation, 36),
	})
	v.registerPeers(wire)
}

func (v *VM) registerPeers(wire *thwire.Client) {
	v.peers = &thwire.Server{Credential: v.settings.Peers.Credential, Log: v.log}
	v.agreement.Register(v.peers)
	v.limiter.Register(v.peers)
	v.balance.Register(v.peers)
	v.guard.Register(v.peers)
	v.claims.Register(v.peers)
	v.burns.Register(v.peers)
	v.operators = &thwire.Server{Credential: v.settings.Operators.Credential, Log: v.log, Dropped: thevent.OperatorRefused}
	o := &thoperator.Server{Fleet: fleet{v}, Peers: wire, Burn: v.burns.Report}
	o.Register(v.operators)
	o.RegisterPeers(v.peers)
	v.metrics = thmetrics.NewServer(v.registry(wire))
}

// Run claims the request where that is needed and forwards it.
func (v *VM) Run(ctx context.Context, q *threquest.Request) (*threquest.Answer, error) {
	if err := v.guard.Check(q); err != nil {
		return nil, err
	}
	return v.claims.Run(ctx, q, v.balance.Forward)
}

func (v *VM) serve() {
	v.peers.Start(v.listeners.peers)
	v.operators.Start(v.listeners.operators)
	v.agreement.Start(v.pool)
	v.pool.Every(readyInterval, nil, func(context.Context) { v.noteReady() })
	v.limiter.Start(v.pool)
	v.balance.Start(v.pool)
	v.claims.Start(v.pool)
	v.sender.Start(v.pool)
	v.guard.Start(v.pool)
	v.burns.Start(v.pool)
	if v.listeners.metrics != nil {
		go func() { _ = v.metrics.Serve(v.listeners.metrics) }()
	}
	go func() { _ = v.callers.Serve(v.listeners.callers) }()
}

// noteReady logs when the VM first takes callers.
func (v *VM) noteReady() {
	if v.agreement.Ready() && !v.wasReady.Swap(true) {
		v.log.Log(thevent.ProcessReady, thevent.F("version", v.board.Config.Load().Version()))
	}
}

// Stop drains the VM: readiness goes first, requests in flight are finished,
// what it holds is handed over, and then it leaves the roster.
func (v *VM) Stop(ctx context.Context) error {
	if v.stopping.Swap(true) {
		return nil
	}
	v.log.Log(thevent.ProcessDraining)
	v.callers.Drain()
	v.pause(ctx)
	limit, cancel := context.WithTimeout(ctx, v.settings.Drain.Limit())
	defer cancel()
	err := v.callers.Shutdown(limit)
	_ = v.claims.Leave(limit)
	_ = v.limiter.Leave(limit)
	_ = v.burns.Leave(limit)
	_ = v.agreement.Leave(limit)
	_ = v.operators.Shutdown()
	_ = v.peers.Shutdown()
	_ = v.metrics.Shutdown()
	v.pool.Close()
	v.sender.Close()
	v.log.Log(thevent.ProcessStopped)
	return err
}

func (v *VM) pause(ctx context.Context) {
	t := time.NewTimer(v.settings.Drain.Notice())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
