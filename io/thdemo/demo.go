// Package thdemo runs a small fleet in one process on loopback: a platform
// stand-in, targets of which some are sick, three VMs and callers.
package thdemo

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thpick"
	"tamarackhollow/core/thsettings"
	"tamarackhollow/core/thtable"
	"tamarackhollow/core/thtemplate"
	"tamarackhollow/io/thnode"
	"tamarackhollow/io/thstand"
)

const (
	loopback   = "127.0.0.1:0"
	credential = "demo-credential"
	host       = "nyabugogo.example"
	// readyLimit bounds the wait until the VMs know table and targets.
	readyLimit = 20 * time.Second
	readyStep  = 20 * time.Millisecond

	vmCount = 3
	// grace is the time that a planned stop may take.
	grace = 2 * time.Second
	// floor is the share of a service's targets that stays in use.
	floor = 0.6
)

// repeats bounds repeats over all VMs.
var repeats = thpick.BudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}

var zones = [vmCount]string{"kigali-1", "kigali-2", "kigali-3"}

// Options are the demo's settings.
type Options struct {
	// Until is when the callers stop.
	Until time.Time
	// Output takes the table.
	Output io.Writer
	Log    thevent.Logger
}

// demo is a running demo.
type demo struct {
	o       Options
	store   *thstand.Store
	targets map[string][]*thstand.Target
	vms     []*thnode.Node
	callers []string
	keys    []customerKey
}

type customerKey struct{ customer, key string }

// Run runs the demo until its end or until the context ends, drains it and
// prints what happened.
func Run(ctx context.Context, o Options) error {
	if o.Log == nil {
		o.Log = thevent.Discard{}
	}
	d := &demo{o: o, store: &thstand.Store{}, targets: make(map[string][]*thstand.Target)}
	defer d.close()
	if err := d.startTargets(); err != nil {
		return err
	}
	d.configure()
	if err := d.startVMs(ctx); err != nil {
		return err
	}
	t := newTally()
	d.load(ctx, t)
	d.drain()
	t.print(o.Output, d)
	return nil
}

// serviceShape is one service of the demo's deployment.
type serviceShape struct {
	name    string
	targets int
	path    string
	safety  thtable.Safety
}

var services = []serviceShape{
	{"inventory", 6, "/stock", thtable.Idempotent},
	{"dispatch", 10, "/dispatch", thtable.AtMostOnce},
	{"documents", 8, "/documents", thtable.Idempotent},
}

// behaviour makes the second target of each service slow and the third one
// fail half its requests while its health endpoint says that it is well.
func behaviour(i int) thstand.TargetBehaviour {
	switch i {
	case 1:
		return thstand.TargetBehaviour{LatencyMillis: 120}
	case 2:
		return thstand.TargetBehaviour{LatencyMillis: 3, FailShare: 0.5}
	}
	return thstand.TargetBehaviour{LatencyMillis: 4}
}

func (d *demo) startTargets() error {
	for _, s := range services {
		for i := range s.targets {
			l, err := net.Listen("tcp", loopback)
			if err != nil {
				return therror.Wrap(therror.Internal, err, "listener for a target")
			}
			id := s.name + "/" + l.Addr().String()
			d.targets[s.name] = append(d.targets[s.name], thstand.StartTarget(l, id, behaviour(i), uint64(i)))
		}
	}
	return nil
}

// configure fills the store with the expansion of the demo's deployment.
func (d *demo) configure() {
	e := thtemplate.Expansion{Deployment: d.deployment(), Customers: customers}
	for i := range e.Customers {
		key := rand.Text()
		e.Customers[i].Keys = []string{key}
		d.keys = append(d.keys, customerKey{e.Customers[i].Name, key})
	}
	d.store.PutTable(e.Document(1))
	d.store.PutTargets(e.Targets())
}

func (d *demo) startVMs(ctx context.Context) error {
	for i, zone := range zones {
		callers, err := freeAddress()
		if err != nil {
			return err
		}
		peers, err := freeAddress()
		if err != nil {
			return err
		}
		n, err := thnode.Start(thnode.Options{
			Settings: thsettings.Settings{
				VM:     thsettings.VM{ID: fmt.Sprintf("vm%d", i+1), Zone: zone},
				Listen: thsettings.Listen{Callers: callers, Peers: peers},
				Peers:  thsettings.Peers{Credential: credential},
			},
			Store: d.store, Names: thmessage.DefaultHeaderNames(), Log: d.o.Log,
			Rules: thnode.Rules{Budget: repeats, FloorShare: floor, Grace: grace},
		})
		if err != nil {
			return err
		}
		d.vms, d.callers = append(d.vms, n), append(d.callers, callers)
	}
	return d.awaitReady(ctx)
}

// freeAddress returns an address on loopback that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", therror.Wrap(therror.Internal, err, "address for a VM")
	}
	return l.Addr().String(), l.Close()
}

func (d *demo) awaitReady(ctx context.Context) error {
	for until := time.Now().Add(readyLimit); ; {
		ready := 0
		for _, n := range d.vms {
			if n.Ready() {
				ready++
			}
		}
		switch {
		case ready == len(d.vms):
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(until):
			return therror.New(therror.NotReady, "%d of %d VMs are ready", ready, len(d.vms))
		}
		time.Sleep(readyStep)
	}
}

func (d *demo) drain() {
	var all sync.WaitGroup
	for _, n := range d.vms {
		all.Go(n.Stop)
	}
	all.Wait()
}

func (d *demo) close() {
	for _, s := range services {
		for _, t := range d.targets[s.name] {
			t.Close()
		}
	}
}

func (d *demo) deployment() thconfig.Deployment {
	n := thconfig.Deployment{Name: "nyabugogo"}
	for _, s := range services {
		service := thconfig.Service{
			Name: s.name, Slots: 2, Connections: 300, Floor: floor, TimeoutMillis: 2000,
			Objective: thconfig.Objective{Availability: 0.999, LatencyMillis: 250},
		}
		for i, t := range d.targets[s.name] {
			service.Targets = append(service.Targets, thconfig.Target{Address: t.Address(), Zone: zones[i%vmCount]})
		}
		n.Services = append(n.Services, service)
		n.Routes = append(n.Routes, thconfig.Route{
			Name: s.name, Host: host, Prefix: s.path, Service: s.name, Safety: string(s.safety), Attempts: 2,
		})
	}
	return n
}

// customers are the demo's: the last one sends several times its rate.
var customers = []thconfig.Customer{
	{Name: "wholesaler", Rate: 200, Burst: 50},
	{Name: "depot", Rate: 100, Burst: 20},
	{Name: "bottling", Rate: 50, Burst: 20},
	{Name: "overdriven", Rate: 20, Burst: 10},
}
