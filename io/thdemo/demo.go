// Package thdemo runs a small fleet in one process on loopback: a platform
// stand-in, targets of which some are sick, three VMs and callers.
package thdemo

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/thevent"
	"tamarackhollow/core/thsettings"
	"tamarackhollow/core/thstore"
	"tamarackhollow/io/thstand"
	"tamarackhollow/io/thvm"
)

const (
	loopback   = "127.0.0.1:0"
	credential = "demo-credential"
	// joinLimit bounds the wait until the VMs hold the configuration.
	joinLimit = 20 * time.Second
	joinStep  = 20 * time.Millisecond
	vmCount   = 3

	drainNoticeMillis = 100
)

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
	o        Options
	platform *thstand.Platform
	address  string
	targets  map[string][]*thstand.Target
	vms      []*thvm.VM
	keys     []customerKey
}

type customerKey struct{ customer, key string }

// Run runs the demo until its end or until the context ends, drains it and
// prints what happened.
func Run(ctx context.Context, o Options) error {
	if o.Log == nil {
		o.Log = thevent.Discard{}
	}
	d := &demo{o: o, targets: make(map[string][]*thstand.Target)}
	defer d.close()
	if err := d.start(); err != nil {
		return err
	}
	if err := d.configure(ctx); err != nil {
		return err
	}
	t := newTally()
	d.load(ctx, t)
	err := d.drain()
	t.print(o.Output, d)
	return err
}

func (d *demo) start() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "listener for the platform")
	}
	d.platform = &thstand.Platform{}
	d.address = l.Addr().String()
	d.platform.Start(l, credential)
	if err := d.startTargets(); err != nil {
		return err
	}
	return d.startVMs()
}

// serviceShape is one service of the demo's deployment.
type serviceShape struct {
	name    string
	targets int
	path    string
}

var services = []serviceShape{
	{"inventory", 6, "/stock"},
	{"dispatch", 10, "/dispatch"},
	{"documents", 8, "/documents"},
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
			d.targets[s.name] = append(d.targets[s.name], thstand.StartTarget(l, behaviour(i), uint64(i)))
		}
	}
	return nil
}

func (d *demo) startVMs() error {
	listed := make([]thstore.VM, 0, vmCount)
	var seeds []string
	for i, zone := range zones {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			return therror.Wrap(therror.Internal, err, "address for a VM")
		}
		address := l.Addr().String()
		_ = l.Close()
		id := fmt.Sprintf("vm%d", i+1)
		listed = append(listed, thstore.VM{ID: id, Zone: zone})
		d.platform.SetVMs(listed)
		v, err := thvm.Start(thvm.Options{Settings: d.settings(id, zone, address, seeds), Incarnation: uint64(time.Now().UnixMilli())}, d.o.Log)
		if err != nil {
			return err
		}
		seeds = append(seeds, address)
		d.vms = append(d.vms, v)
	}
	return nil
}

func (d *demo) settings(id, zone, peers string, seeds []string) thsettings.Settings {
	return thsettings.Settings{
		VM:        thsettings.VM{ID: id, Zone: zone},
		Listen:    thsettings.Listen{Callers: loopback, Peers: peers, Operators: loopback},
		Platform:  thsettings.Platform{Address: d.address, Credential: credential},
		Peers:     thsettings.Peers{Credential: credential, Seeds: seeds},
		Operators: thsettings.Operators{Credential: credential},
		Drain:     thsettings.Drain{NoticeMillis: drainNoticeMillis},
	}
}

func (d *demo) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var all sync.WaitGroup
	errs := make([]error, len(d.vms))
	for i, v := range d.vms {
		all.Go(func() { errs[i] = v.Stop(ctx) })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) close() {
	for _, s := range services {
		for _, t := range d.targets[s.name] {
			t.Close()
		}
	}
	if d.platform != nil {
		d.platform.Close()
	}
}

func (d *demo) deployment() thconfig.Deployment {
	n := thconfig.Deployment{Name: "nyabugogo"}
	for _, s := range services {
		service := thconfig.Service{Name: s.name, Slots: 2, Connections: 300, Floor: 0.5, TimeoutMillis: 2000}
		for i, t := range d.targets[s.name] {
			service.Targets = append(service.Targets, thconfig.Target{Address: t.Address(), Zone: zones[i%vmCount]})
		}
		n.Services = append(n.Services, service)
		n.Routes = append(n.Routes, thconfig.Route{Name: s.name, Prefix: s.path, Service: s.name})
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
