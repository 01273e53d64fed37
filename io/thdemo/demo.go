// Package thdemo runs a small fleet in one process on loopback: a fake store,
// fake targets of which some are unhealthy, three VMs, and callers that send
// requests to them.
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
	"tamarackhollow/io/thfake"
	"tamarackhollow/io/thnode"
)

const (
	loopback   = "127.0.0.1:0"
	credential = "demo-credential"
	host       = "nyabugogo.example"
	// readyTimeout limits the wait until all VMs have the routing table and the
	// targets.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond

	vmCount = 3
	// gracePeriod is the time that a VM may take to finish requests when it is
	// stopped.
	gracePeriod = 2 * time.Second
	// floorShare is the minimum share, 0 to 1, of a service's healthy targets
	// that stays in use.
	floorShare = 0.6
)

// retryBudget limits the retries of each service over all VMs.
var retryBudget = thpick.RetryBudgetRule{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}

var zones = [vmCount]string{"kigali-1", "kigali-2", "kigali-3"}

// Options sets the duration and the outputs of the demo.
type Options struct {
	// Until is the time at which the callers stop sending.
	Until time.Time
	// Output receives the tables of results.
	Output io.Writer
	// Log receives the VMs' events; nil discards them.
	Log thevent.Logger
}

// demo holds the parts of a running demo.
type demo struct {
	options Options
	store   *thfake.Store
	targets map[string][]*thfake.Target
	vms     []*thnode.Node
	// callerAddresses are the VMs' addresses for callers.
	callerAddresses []string
	keys            []customerKey
}

// customerKey is a customer's name and its API key.
type customerKey struct{ customer, key string }

// Run starts the fleet, sends requests until Options.Until or until the context
// ends, stops the VMs and prints the results. It returns an error if the fleet
// can't be started or the VMs don't become ready in time.
func Run(ctx context.Context, o Options) error {
	if o.Log == nil {
		o.Log = thevent.Discard{}
	}
	d := &demo{options: o, store: &thfake.Store{}, targets: make(map[string][]*thfake.Target)}
	defer d.close()
	if err := d.startTargets(); err != nil {
		return err
	}
	d.configure()
	if err := d.startVMs(ctx); err != nil {
		return err
	}
	t := newTally()
	d.runCallers(ctx, t)
	d.drain()
	t.print(o.Output, d)
	return nil
}

// demoService describes a service of the demo's deployment and its one route.
type demoService struct {
	name        string
	targetCount int
	pathPrefix  string
	safety      thtable.Safety
}

var services = []demoService{
	{"inventory", 6, "/stock", thtable.Idempotent},
	{"dispatch", 10, "/dispatch", thtable.AtMostOnce},
	{"documents", 8, "/documents", thtable.Idempotent},
}

// targetBehaviour returns the behaviour of a service's target with index i: the
// second one is slow, and the third one fails half its requests.
func targetBehaviour(i int) thfake.TargetBehaviour {
	switch i {
	case 1:
		return thfake.TargetBehaviour{LatencyMillis: 120}
	case 2:
		return thfake.TargetBehaviour{LatencyMillis: 3, FailShare: 0.5}
	}
	return thfake.TargetBehaviour{LatencyMillis: 4}
}

func (d *demo) startTargets() error {
	for _, s := range services {
		for i := range s.targetCount {
			l, err := net.Listen("tcp", loopback)
			if err != nil {
				return therror.Wrap(therror.Internal, err, "open a listener for a target")
			}
			id := s.name + "/" + l.Addr().String()
			d.targets[s.name] = append(d.targets[s.name], thfake.StartTarget(l, id, targetBehaviour(i), uint64(i)))
		}
	}
	return nil
}

// configure writes the routing table and the targets of the demo's deployment to
// the store, with a random API key for each customer.
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
			Store: d.store, HeaderNames: thmessage.DefaultHeaderNames(), Log: d.options.Log,
			LiveSettings: thnode.LiveSettings{RetryBudget: retryBudget, FloorShare: floorShare, GracePeriod: gracePeriod},
		})
		if err != nil {
			return err
		}
		d.vms, d.callerAddresses = append(d.vms, n), append(d.callerAddresses, callers)
	}
	return d.awaitReady(ctx)
}

// freeAddress returns a loopback address with a port that is currently unused.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", therror.Wrap(therror.Internal, err, "find a free address for a VM")
	}
	return l.Addr().String(), l.Close()
}

// awaitReady waits until all VMs are ready, at most readyTimeout.
func (d *demo) awaitReady(ctx context.Context) error {
	for until := time.Now().Add(readyTimeout); ; {
		ready := 0
		for _, n := range d.vms {
			if n.IsReady() {
				ready++
			}
		}
		switch {
		case ready == len(d.vms):
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(until):
			return therror.New(therror.NotReady, "only %d of %d VMs became ready in time", ready, len(d.vms))
		}
		time.Sleep(readyPollInterval)
	}
}

// drain stops all VMs concurrently and waits until they have stopped.
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
			Name: s.name, Slots: 2, MaxConnections: 300, Floor: floorShare, TimeoutMillis: 2000,
			Objective: thconfig.Objective{Availability: 0.999, LatencyMillis: 250},
		}
		for i, t := range d.targets[s.name] {
			service.Targets = append(service.Targets, thconfig.Target{Address: t.Address(), Zone: zones[i%vmCount]})
		}
		n.Services = append(n.Services, service)
		n.Routes = append(n.Routes, thconfig.Route{
			Name: s.name, Host: host, Prefix: s.pathPrefix, Service: s.name, Safety: string(s.safety), MaxAttempts: 2,
		})
	}
	return n
}

// customers lists the demo's customers. The last one sends several times its
// allowed rate.
var customers = []thconfig.Customer{
	{Name: "wholesaler", Rate: 200, Burst: 50},
	{Name: "depot", Rate: 100, Burst: 20},
	{Name: "bottling", Rate: 50, Burst: 20},
	{Name: "overdriven", Rate: 20, Burst: 10},
}
